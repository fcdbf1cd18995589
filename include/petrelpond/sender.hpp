// Interface of the decision module: the inputs that a host reports and the decisions that a sender returns. It is
// independent of any protocol.
//
// A host creates one Sender, reports each input as it occurs, and after every round of inputs pulls
// decisions with nextDecision() until there is none. Inputs only update the sender's state.
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

// ---- settings, one record for each topic --------------------------------------------------------------

// What a repeated delivery does: nothing harmful, nothing while the destination remembers the text's idempotency key,
// or a second effect. A text of the last kind is never resent once it may have run.
enum class Effect { idempotent, idempotencyKey, nonIdempotent };
// How a late text's revenue falls: linearly until the end of its validity, or by half for each further SLA time.
enum class Decay { linear, halving };

// A class of texts with the same terms of delivery.
struct Product {
    Span sla;       // a text delivered within this time earns its full revenue
    Span validity;  // lifetime of a text, from its first arrival
    Effect effect = Effect::nonIdempotent;
    Span dedupWindow;           // idempotencyKey: how long a destination remembers a key
    bool dedupPerZone = false;  // idempotencyKey: only endpoints of one zone share those keys
    double revenue = 1;
    double lateRevenueShare = 0;  // share of the revenue left at the end of the validity period
    bool inOrder = false;         // texts with the same key are sent one at a time, in order of arrival
};

struct EndpointKind {
    int batch = 1;                // maximum number of texts in one call
    bool separateRoutes = false;  // each endpoint has its own rate limit, pacing and outages
};

// The senders that share the destinations' rate limits, and the zone of this one.
struct SenderGroup {
    int senders = 1;
    ZoneIndex zone;
};

struct SenderLimits {
    int maxCalls = 0;        // concurrent calls; 0: not limited
    int maxTexts = 0;        // texts held at the same time; 0: not limited
    int maxSubmits = 0;      // submits of one text; 0: not limited
    bool canCancel = false;  // whether the host can cancel a call in flight
    Span roundInterval;      // shortest time between two rounds of the host
    Span maxNackPause;       // longest pause that a client observes after a nack; 0: no pause is passed on
};

// What is known of a destination's behaviour after an outage and under overload.
struct ColdStartRule {
    double initialShare = 0;    // least share of its capacity that a recovering destination has
    Span warmUpTime;            // until it has all of its capacity again
    double overloadFactor = 0;  // a load above this multiple of its capacity
    Span overloadWindow;        // for this long makes it fail
};

struct EndpointListRule {
    bool changesOnRequest = false;  // list changes are only sent to senders that requested them
    bool includesRates = false;     // entries carry the destination's rate limit in calls per second
    Span maxRequestInterval;        // without a request in this time a sender counts as informed; 0: no bound
};

struct ConnectionRule {
    Span idleTimeout;  // idle connections close after this time
    Span keyHoldTime;  // texts of a key are held back this long after a submit that may still run
};

// ---- inputs -------------------------------------------------------------------------------------------

// A text that the sender takes on.
struct Arrival {
    TextIndex text;
    DestinationIndex destination;
    ProductIndex product;
    Instant validUntil;
    std::optional<uint64_t> key;
    // Progress made before a restart of the sender, for a text that was taken on then.
    int submits = 0;
    std::optional<Instant> mayHaveRunSince = std::nullopt;  // start of the first submit that may have run
    ZoneIndex ranInZone = ZoneIndex();                      // zone of that submit's endpoint
};

// How a submit ended. `overloaded` is a rejection by the destination or its proxy, `unreachable` a connection that
// could not be opened, `reset` one that broke, and `notSent` a submit that never left the host.
enum class SubmitStatus { delivered, error, overloaded, timeout, unreachable, reset, cancelled, notSent };

struct SubmitResult {
    TextIndex text;
    EndpointIndex endpoint;
    SubmitStatus status = SubmitStatus::error;
    bool isFinal = false;                     // the text needs no further submit
    Span retryAfter;                          // wait requested by the endpoint; zero if none
    std::optional<double> reportedLimit;      // calls per second by the answer's load report; 0: no limit
    std::optional<double> reportedRemaining;  // share of that limit which is unused, by the same report
    bool newConnection = false;               // a connection was opened for the call
};

// The state of an endpoint that is removed (or missing from a complete list) is dropped once none of its calls is in
// flight; from then on the host may reuse its index.
enum class ListState { active, draining, removed };
// The entries are changes, a complete list, or a list from a cache that may be out of date.
enum class ListScope { changes, complete, cached };

struct ListEntry {
    EndpointIndex endpoint;
    DestinationIndex destination;
    ZoneIndex zone;
    KindIndex kind;
    ListState state = ListState::active;
    double rate = 0;  // calls per second; 0: unknown
};

// ---- decisions ----------------------------------------------------------------------------------------

struct Submit {
    TextIndex text;
    EndpointIndex endpoint;
    Span timeout;  // zero: until the text's validity ends
};
// Returns the text to its client, who may hand it in again: no submit had an effect that a repeat would double.
struct Nack {
    TextIndex text;
    Span pause;  // advised wait before the client tries again; zero: none
};
// Gives the text up; an earlier submit may have had an effect.
struct Undeliverable {
    TextIndex text;
};
struct CancelSubmit {
    TextIndex text;
    int submit = 0;  // of this text, counted from 0
};
struct WakeAt {
    Instant at;
};
struct SubscribeToList {};  // request the endpoint list and its changes
struct CloseIdleConnections {
    EndpointIndex endpoint;
};
struct LogMessage {
    std::string message;
};
using Decision = std::variant<Submit, Nack, Undeliverable, CancelSubmit, WakeAt, SubscribeToList,
                              CloseIdleConnections, LogMessage>;

class Sender {
  public:
    virtual ~Sender() = default;
    virtual void onArrival(Instant now, const Arrival& arrival) = 0;
    virtual void onSubmitResult(Instant now, const SubmitResult& result) = 0;
    // The client has withdrawn the text; a call in flight still reports its result.
    virtual void onWithdrawn(Instant now, TextIndex text) = 0;
    virtual void onEndpointList(Instant now, ListScope scope, const std::vector<ListEntry>& entries) = 0;
    virtual void onEndpointListFailed(Instant now) = 0;
    // An operator takes a listed endpoint out of use regardless of later lists, or returns it to use after a restart.
    // Holds until the endpoint's index is released.
    virtual void setEndpointDisabled(Instant, EndpointIndex, bool) {}
    // The destination has no endpoints and no texts; the host will reuse its index.
    virtual void onDestinationRemoved(Instant, DestinationIndex) {}
    // False while another process of this sender starts the calls; nothing is submitted until it is true again.
    virtual void setCallsAllowed(Instant, bool) {}
    // What was learned about an endpoint and its rate limit, for the process that takes over. The numbers are opaque
    // to the host; empty if nothing was learned.
    virtual std::vector<double> exportEndpointState(Instant, EndpointIndex) { return {}; }
    // Takes over such a state. True if the endpoint has asked for a wait that is not over: what has not been sent yet
    // must not be sent.
    virtual bool importEndpointState(Instant, EndpointIndex, const std::vector<double>&) { return false; }
    virtual void onShutdown(Instant) {}  // the process ends then; its texts arrive again after the restart
    virtual void onTimer(Instant) {}     // a WakeAt is due; nextDecision() does the work
    // The next decision at `now`; none when the host must wait for an input or for the time of a WakeAt.
    virtual std::optional<Decision> nextDecision(Instant now) = 0;
    virtual std::string describeEndpoint(Instant, EndpointIndex) const { return {}; }  // for logs only
};

// Creates a sender. The same seed and inputs give the same decisions.
std::unique_ptr<Sender> makeSender(uint32_t seed, std::vector<Product> products, std::vector<EndpointKind> kinds,
                                   const SenderGroup& group, const SenderLimits& limits,
                                   const ColdStartRule& coldStart, const EndpointListRule& list, Decay decay,
                                   const ConnectionRule& connections);

}  // namespace petrelpond
