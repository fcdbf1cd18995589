// The decisions' interface: what a host tells a sender, and what a sender decides. It knows no protocol.
//
// A host makes one Sender, reports each input as it comes, and after every round of inputs pulls
// decisions with nextDecision() until there is none. Inputs only update what is known.
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

enum class Effect { idempotent, idempotencyKey, nonIdempotent };
enum class Decay { linear, halving };

struct Product {
    Span sla;       // delivered within this, a text earns its whole revenue
    Span validity;  // from when it was first handed in
    Effect effect = Effect::nonIdempotent;
    Span dedupWindow;               // referenced: how long a destination knows the reference
    bool dedupPerZone = false;  // referenced: only endpoints of one zone share that memory
    double revenue = 1;
    double lateRevenueShare = 0;  // share of the revenue left at the end of the validity period
    bool inOrder = false;  // texts with one key go one at a time
};

struct EndpointKind {
    int batch = 1;                // texts in one call at most
    bool separateRoutes = false;  // each endpoint has its own limit, pace and outages
};

struct SenderGroup {
    int senders = 1;
    ZoneIndex zone;
};

struct SenderLimits {
    int maxCalls = 0;    // calls out at once; 0: not limited
    int maxTexts = 0;     // texts held at most; 0: not limited
    int maxSubmits = 0;  // submits of one text at most; 0: not limited
    bool canCancel = false;
    Span roundInterval;          // the host's rounds come no closer than this
    Span maxNackPause;  // the longest pause a client observes after a nack; 0: none is passed on
};

struct ColdStartRule {
    double initialShare = 0;     // of its capacity that a returning destination has at least
    Span warmUpTime;          // and all of it after this
    double overloadFactor = 0;  // sent more than this times what it can do
    Span overloadWindow;          // for this long, it falls over
};

struct EndpointListRule {
    bool changesOnRequest = false;    // changes come only to those that asked
    bool includesRates = false;  // entries carry the destination's rate in calls a second
    Span maxRequestInterval;
};

struct ConnectionRule {
    Span idleTimeout;       // connections close after this
    Span keyHoldTime;  // a key rests this long after a submit that may still run
};

// ---- inputs -------------------------------------------------------------------------------------------

struct Arrival {
    TextIndex text;
    DestinationIndex destination;
    ProductIndex product;
    Instant validUntil;
    std::optional<uint64_t> key;
    // What an earlier life of the sender did for it, where it was taken on before a restart.
    int submits = 0;
    std::optional<Instant> mayHaveRunSince = std::nullopt;  // the start of the first submit that may have run
    ZoneIndex ranInZone = ZoneIndex();                                // and its endpoint's zone
};

enum class SubmitStatus { delivered, error, overloaded, timeout, unreachable, reset, cancelled, notSent };

struct SubmitResult {
    TextIndex text;
    EndpointIndex endpoint;
    SubmitStatus status = SubmitStatus::error;
    bool isFinal = false;                    // the text has had its final answer
    Span retryAfter;                            // the told wait, zero if none
    std::optional<double> reportedLimit;  // calls a second, 0 where there is none
    std::optional<double> reportedRemaining;   // share of the allowance that is left, by the same report
    bool newConnection = false;                   // a connection was made for it
};

// What is known of an endpoint that is gone (or missing from a whole list) is forgotten once no call of it is
// out; from then on the host may give its index to another.
enum class ListState { active, draining, removed };
enum class ListScope { changes, complete, cached };

struct ListEntry {
    EndpointIndex endpoint;
    DestinationIndex destination;
    ZoneIndex zone;
    KindIndex kind;
    ListState state = ListState::active;
    double rate = 0;
};

// ---- decisions ----------------------------------------------------------------------------------------

struct Submit {
    TextIndex text;
    EndpointIndex endpoint;
    Span timeout;  // zero: until the text's validity period ends
};
struct Nack {
    TextIndex text;
    Span pause;  // zero: no advice
};
struct Undeliverable {
    TextIndex text;
};
struct CancelSubmit {
    TextIndex text;
    int submit = 0;
};
struct WakeAt {
    Instant at;
};
struct SubscribeToList {};
struct CloseIdleConnections {
    EndpointIndex endpoint;
};
struct LogMessage {
    std::string message;
};
using Decision = std::variant<Submit, Nack, Undeliverable, CancelSubmit, WakeAt, SubscribeToList, CloseIdleConnections, LogMessage>;

class Sender {
  public:
    virtual ~Sender() = default;
    virtual void onArrival(Instant now, const Arrival& arrival) = 0;
    virtual void onSubmitResult(Instant now, const SubmitResult& result) = 0;
    virtual void onWithdrawn(Instant now, TextIndex text) = 0;
    virtual void onEndpointList(Instant now, ListScope scope, const std::vector<ListEntry>& entries) = 0;
    virtual void onEndpointListFailed(Instant now) = 0;
    // An operator takes an endpoint that is listed out of use, whatever lists say, or gives it back: it was
    // restarted meanwhile. Ends with the endpoint's index.
    virtual void setEndpointDisabled(Instant, EndpointIndex, bool) {}
    // Nothing is listed of it and no text is for it: its index becomes another's.
    virtual void onDestinationRemoved(Instant, DestinationIndex) {}
    // Another process of this sender starts the calls, or does no longer: nothing is submitted meanwhile.
    virtual void setCallsAllowed(Instant, bool) {}
    // What was learned of an endpoint's place, for the process that takes over, in numbers that only a Sender reads;
    // empty where nothing was.
    virtual std::vector<double> exportEndpointState(Instant, EndpointIndex) { return {}; }
    // True where a told wait binds there now: what has not left yet must not leave.
    virtual bool importEndpointState(Instant, EndpointIndex, const std::vector<double>&) { return false; }
    virtual void onShutdown(Instant) {}  // the process ends then; what it holds comes back with its next life
    virtual void onTimer(Instant) {}     // a timer fell due; nextDecision() sees to what that brings
    virtual std::optional<Decision> nextDecision(Instant now) = 0;
    virtual std::string describeEndpoint(Instant, EndpointIndex) const { return {}; }  // in words, for logs alone
};

std::unique_ptr<Sender> makeSender(uint32_t seed, std::vector<Product> products, std::vector<EndpointKind> kinds,
                                   const SenderGroup& crew, const SenderLimits& room, const ColdStartRule& cold,
                                   const EndpointListRule& list, Decay decay, const ConnectionRule& links);

}  // namespace petrelpond
