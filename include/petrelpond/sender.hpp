// The decisions' interface: what a host tells a sender, and what a sender decides. It knows no protocol.
//
// A host makes one Sender, reports each input as it comes, and after every round of inputs pulls
// decisions with next() until there is none. Inputs only update what is known.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "petrelpond/ids.hpp"
#include "petrelpond/time.hpp"

namespace petrelpond {

// ---- settings, one small record for each matter -------------------------------------------------------

enum class Effect { resendable, referenced, onceOnly };
enum class Decay { linear, halving };

struct Product {
    Span sla;       // delivered within this, a text earns its whole revenue
    Span validity;  // from when it was first handed in
    Effect effect = Effect::onceOnly;
    Span memory;                // referenced: how long a destination knows the reference
    bool memoryByZone = false;  // referenced: only endpoints of one zone share that memory
    double revenue = 1;
    double lateShare = 0;  // share of the revenue left at the end of the validity period
    bool inOrder = false;  // texts with one key go one at a time
};

struct Kind {
    int batch = 1;                // texts in one call at most
    bool separateRoutes = false;  // each endpoint has its own limit, pace and outages
};

struct Crew {
    int senders = 1;
    ZoneIx zone;
};

struct Room {
    int calls = 0;    // calls out at once; 0: not limited
    int held = 0;     // texts held at most; 0: not limited
    int submits = 0;  // submits of one text at most; 0: not limited
    bool cancel = false;
    Span tick;          // the host's rounds come no closer than this
    Span longestPause;  // the longest pause a client observes after a nack; 0: none is passed on
};

struct ColdRule {
    double share = 0;     // of its capacity that a returning destination has at least
    Span warmUp;          // and all of it after this
    double multiple = 0;  // sent more than this times what it can do
    Span window;          // for this long, it falls over
};

struct ListRule {
    bool onRequest = false;    // changes come only to those that asked
    bool ratesListed = false;  // entries carry the destination's rate in calls a second
    Span mustAskIn;
};

struct Links {
    Span idle;       // connections close after this
    Span orderRest;  // a key rests this long after a submit that may still run
};

// ---- inputs -------------------------------------------------------------------------------------------

struct Arrival {
    TextIx text;
    DestinationIx destination;
    ProductIx product;
    Instant validUntil;
    std::optional<uint64_t> key;
    // What an earlier life of the sender did for it, where it was taken on before a restart.
    int submits = 0;
    std::optional<Instant> mayHaveRunSince = std::nullopt;  // the start of the first submit that may have run
    ZoneIx ranIn = ZoneIx();                                // and its endpoint's zone
};

enum class End { delivered, error, full, timeout, unreachable, reset, cancelled, notSent };

struct SubmitEnd {
    TextIx text;
    EndpointIx endpoint;
    End end = End::error;
    bool over = false;                    // the text has had its final answer
    Span wait;                            // the told wait, zero if none
    std::optional<double> reportedLimit;  // calls a second, 0 where there is none
    std::optional<double> reportedLeft;   // share of the allowance that is left, by the same report
    bool fresh = false;                   // a connection was made for it
};

// What is known of an endpoint that is gone (or missing from a whole list) is forgotten once no call of it is
// out; from then on the host may give its index to another.
enum class Listed { active, leaving, gone };
enum class ListScope { changes, whole, old };

struct ListEntry {
    EndpointIx endpoint;
    DestinationIx destination;
    ZoneIx zone;
    KindIx kind;
    Listed state = Listed::active;
    double rate = 0;
};

// ---- decisions ----------------------------------------------------------------------------------------

struct Submit {
    TextIx text;
    EndpointIx endpoint;
    Span timeout;  // zero: until the text's validity period ends
};
struct Nack {
    TextIx text;
    Span pause;  // zero: no advice
};
struct Undeliverable {
    TextIx text;
};
struct CancelSubmit {
    TextIx text;
    int submit = 0;
};
struct WakeAt {
    Instant at;
};
struct WatchList {};
struct CloseIdle {
    EndpointIx endpoint;
};
struct Note {
    std::string words;
};
using Decision = std::variant<Submit, Nack, Undeliverable, CancelSubmit, WakeAt, WatchList, CloseIdle, Note>;

class Sender {
  public:
    virtual ~Sender() = default;
    virtual void arrived(Instant now, const Arrival& arrival) = 0;
    virtual void ended(Instant now, const SubmitEnd& end) = 0;
    virtual void withdrawn(Instant now, TextIx text) = 0;
    virtual void listed(Instant now, ListScope scope, const std::vector<ListEntry>& entries) = 0;
    virtual void listFailed(Instant now) = 0;
    // An operator takes an endpoint that is listed out of use, whatever lists say, or gives it back: it was
    // restarted meanwhile. Ends with the endpoint's index.
    virtual void banned(Instant, EndpointIx, bool) {}
    // Nothing is listed of it and no text is for it: its index becomes another's.
    virtual void forgotten(Instant, DestinationIx) {}
    // Another process of this sender starts the calls, or does no longer: nothing is submitted meanwhile.
    virtual void mayStart(Instant, bool) {}
    // What was learned of an endpoint's place, for the process that takes over, in numbers that only a Sender reads;
    // empty where nothing was.
    virtual std::vector<double> learned(Instant, EndpointIx) { return {}; }
    // True where a told wait binds there now: what has not left yet must not leave.
    virtual bool recall(Instant, EndpointIx, const std::vector<double>&) { return false; }
    virtual void leaving(Instant) {}  // the process ends then; what it holds comes back with its next life
    virtual void woke(Instant) {}     // a timer fell due; next() sees to what that brings
    virtual std::optional<Decision> next(Instant now) = 0;
    virtual std::string belief(Instant, EndpointIx) const { return {}; }  // in words, for logs alone
};

std::unique_ptr<Sender> makeSender(uint32_t seed, std::vector<Product> products, std::vector<Kind> kinds,
                                   const Crew& crew, const Room& room, const ColdRule& cold,
                                   const ListRule& list, Decay decay, const Links& links);

}  // namespace petrelpond
