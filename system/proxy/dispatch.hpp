// Decides for one proxy which request is sent to which instance, which is queued, and which is rejected as
// not executed. Contains no I/O, clocks or threads: inputs carry `now`, and the caller pulls the resulting
// actions with next().
//
// Each service has a one-token bucket that paces its requests. Pacing starts when a request is queued because
// the service's slots are in use or its instance is still booting, or when an instance answers that it is
// full. A slot is permission for one concurrent call at an instance; the planner grants each proxy slots of
// its own. The planner is the control-plane member that holds the startup duty; to it, an agent and its proxy
// are one sender.
//
// Throughout this folder, a request that "may have executed" is never sent again unless it is idempotent, and
// a rejection states that the request has not been executed.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "petrelpond/time.hpp"
#include "src/policy/answer_times.hpp"
#include "src/policy/token_bucket.hpp"
#include "system/proxy/retry_budget.hpp"
#include "system/scaler/messages.hpp"
#include "system/scaler/usable_slots.hpp"

namespace petrelpond::proxy {

using RequestId = uint64_t;
using InstanceIndex = uint32_t;

struct ServiceSpec {
    std::string name;
    int maxConcurrency = 1;
    Span boot;
    int maxConnections = 0;  // per instance, shared by all proxies; 0: unknown
};

struct IncomingRequest {
    RequestId id = 0;
    std::string service;
    bool isIdempotent = false;
    int priority = 2;     // 0 is the highest
    int maxAttempts = 1;  // maximum number of instances it may be sent to
    Instant deadline;     // the earlier of the client's and the route's
    Span targetLatency;   // answers within this time have their full value
    Span routeTimeout;    // with the fields above, identifies the request class
};

// How an attempt to run a request on an instance ended. Only mayHaveExecuted() decides what an outcome means
// for a retry.
enum class AttemptOutcome : uint8_t {
    answered,          // a response to forward to the client
    serverError,       // 5xx from the instance; counts as executed
    notExecuted,       // the instance says that it did not execute the request, because it is full
    misdirected,       // 421: the address now belongs to another instance
    connectFailed,     // no connection was established; nothing was sent
    notSent,           // the connection ended before any byte of the request was sent
    connectionBroken,  // reset, closed or invalid response after bytes were sent
    timedOut,          // abandoned by this proxy after bytes were sent
};
bool mayHaveExecuted(AttemptOutcome);

// How far the attempt of a request has got on its connection.
enum class AttemptProgress : uint8_t {
    none,        // there is no attempt, or no connection is assigned to it yet
    connecting,  // no byte of the request has been sent
    sending,     // a part of the request has not been sent, so the instance cannot run it
    sent,
};

struct SendRequest {
    RequestId id;
    InstanceIndex instance;
    Span attemptTimeout;  // abandon the attempt after this; zero: at its deadline
};
struct RejectRequest {  // the request has not been executed and will not be
    RequestId id;
    int status;
    Span retryAfter;
};
struct FailRequest {  // may have executed: 502 or 504, or the instance's own error response if there is one
    RequestId id;
    int status;
};
struct ForwardResponse {  // forward the response that the proxy stored for this request
    RequestId id;
};
struct DropRequest {  // its client has disconnected: forget it
    RequestId id;
};
struct ProbeInstance {  // check whether the instance accepts connections
    InstanceIndex instance;
};
struct ReleaseInstance {  // this proxy has no slot of the instance left
    InstanceIndex instance;
    size_t maxIdleConnections;  // idle connections that may stay open in case a slot returns
};
struct SendReport {
    scaler::Report report;
};
// What the caller has to do next.
using Output = std::variant<SendRequest, RejectRequest, FailRequest, ForwardResponse, DropRequest,
                            ProbeInstance, ReleaseInstance, SendReport>;

struct InstanceInfo {
    std::string id, address, zone;
};

// By when a proxy that shuts down has to be done with its requests.
struct DrainSchedule {
    Instant lateFrom;    // a request received after this is sent only if even a slow call ends in time
    Instant completeBy;  // attempts that have not ended by then are abandoned
};

struct Counters {
    uint64_t received = 0, sent = 0, forwarded = 0, rejectedImmediately = 0, rejectedAfterQueueing = 0,
             retries = 0, failed = 0;
    uint64_t cancelled = 0;            // their clients disconnected
    uint64_t cutOff = 0;               // of these, in flight and ended by closing the connection
    uint64_t rejectedForShutdown = 0;  // as they may not have ended in time; also among the rejected
    uint64_t notExecuted = 0, misdirected = 0, connectionBroken = 0, timedOut = 0, connectFailed = 0,
             probes = 0, reports = 0;
    uint64_t borrowed = 0, borrowedNotExecuted = 0;  // sent without a slot; of these, rejected as full
};

class Dispatch {
  public:
    struct Options {
        uint32_t seed = 1;
        std::string zone;
        double retryBudgetRatio = 0.2, retryBudgetSlack = 50;
        Span retryBudgetWindow = Span::seconds(10);
        // A previous process may have sent retries that this one does not know of.
        bool mayHaveRestarted = false;
    };
    Dispatch(Instant now, Options);

    // Limits the queue. Beyond it, a request that cannot be sent immediately is rejected: each queued request
    // occupies a client connection, and once none is left clients are reset without a Retry-After.
    void setMaxQueued(size_t maxQueued) { maxQueued_ = maxQueued; }
    // Replaces the configured services.
    void updateServices(Instant now, const std::vector<ServiceSpec>&);
    // Sets the current planner's term, whether it is connected, and the number of live proxies. A new term or
    // a new connection triggers a full report.
    void updatePlannerStatus(Instant now, uint64_t term, bool linked, uint32_t proxyCount);
    void onPlannerDisconnected() { isLinked_ = false; }  // the connection to the planner is lost
    // Sets whether nothing is heard from the planner. While it is silent, a queued request may borrow a slot,
    // see borrowInstance().
    void setPlannerSilent(Instant now, bool);
    // Applies the planner's grants of slots unless they are of an older term.
    void applyGrants(Instant now, const scaler::Grants&);
    void onRequest(Instant now, const IncomingRequest&);
    // The client has disconnected: nothing is answered, and no further attempt is made. Returns true if the
    // request is forgotten; the caller then closes the connection of its attempt, if any. Returns false if
    // the attempt goes on; once it has ended, DropRequest follows.
    bool cancelRequest(Instant now, RequestId, AttemptProgress progress = AttemptProgress::none);
    void onAttemptEnded(Instant now, RequestId, AttemptOutcome);
    // Whether an attempt whose attemptTimeout has passed may be abandoned.
    bool mayAbandonAttempt(Instant now, RequestId);
    void onProbeResult(Instant now, InstanceIndex, bool up);
    // Tells the planner that this proxy is shutting down. From then on a request that may not end in time is
    // rejected as not executed.
    void startDraining(Instant now, const DrainSchedule&);
    void rejectQueued(Instant now);  // rejects all queued requests as not executed, before the process exits
    void tick(Instant now);          // to be called at wakeAt()
    Instant wakeAt() const { return wakeAt_; }
    std::optional<Output> next();  // the next output, if any

    const InstanceInfo* findInstance(InstanceIndex) const;
    bool isQueued(RequestId id) const;
    const Counters& counters() const { return counters_; }
    size_t queuedCount() const { return queuedCount_; }

  private:
    struct RequestClass {  // latencies are learned per class, as a rare service yields few samples
        policy::AnswerTimes latencies;
        double meanSeconds = 0;  // of answered requests
    };
    struct Instance {
        InstanceInfo info;
        uint32_t service = 0;
        uint32_t slots = 0, inFlight = 0;
        bool isReady = false, isProbing = false, isReleased = false;
        Instant expectedReadyAt;  // estimated end of its boot
        Instant nextProbeAt = Instant::longAgo();
        Instant backoffUntil = Instant::longAgo();  // no request is sent before this, as it refused one
        Instant idleSince;
        // Until when a call that was cut off here may still run, and the rejections since then.
        Instant abandonedUntil = Instant::longAgo();
        int rejectionsInRow = 0;
        int connectFailures = 0;  // failed and broken connections since its last response
        bool isReportedDead = false;
        bool isTerminating = false;  // announced by the planner
        Instant reportedDeadAt = Instant::longAgo();
    };
    // An instance of which this proxy recently had a slot.
    struct FormerInstance {
        InstanceInfo info;
        Instant expiresAt;  // forgotten after this
    };
    struct Service {
        ServiceSpec spec;
        bool isConfigured = false;
        std::vector<InstanceIndex> instances;
        std::map<std::pair<int, uint64_t>, RequestId> queue;  // by priority, then by order of arrival
        policy::TokenBucket bucket;
        RetryBudget retryBudget;
        uint32_t pendingRetries = 0;  // retries that were allowed and are not sent yet
        double meanSeconds = 0;       // mean call duration; 0: none measured
        uint32_t inFlight = 0, peakDemand = 0, arrivals = 0;
        uint32_t fleetSlots = 0;
        std::vector<FormerInstance> formerInstances;  // oldest first
        Instant nextBorrowAt = Instant::longAgo();    // no borrowing before this, as an instance was full
        bool hasChanged = false, isDemandReported = false;
        Instant demandReportedAt = Instant::longAgo();
    };
    struct Request {
        IncomingRequest incoming;
        Instant receivedAt, sentAt, queueUntil;
        uint32_t service = 0, classIndex = 0;
        uint64_t sequence = 0;
        int attempts = 0;
        bool isInFlight = false, mayHaveExecuted = false, hasPendingRetry = false;
        bool isCancelled = false;  // in flight, and its client has disconnected
        InstanceIndex instance = 0, avoidInstance = UINT32_MAX;
        AttemptOutcome lastOutcome = AttemptOutcome::notExecuted;
    };

    uint32_t findOrAddService(const std::string& name);
    uint32_t findOrAddRequestClass(const IncomingRequest&);
    void scheduleWakeup(Instant at) { wakeAt_ = std::min(wakeAt_, at); }
    void enqueue(Request&);
    void dequeue(Request&);
    void dispatchQueued(Instant now, uint32_t service);
    void startPacing(Instant now, Service&);
    void raisePacingRate(Instant now, Service&);
    Instant urgentReportAt(Instant now) const;
    // Sends a report in this round instead of with the next periodic one.
    void requestUrgentReport(Instant now);
    std::optional<InstanceIndex> pickInstance(Instant now, const Service&, const Request&) const;
    double fairRate(const Service&) const;
    // slotMayTransfer: assume that a slot of another proxy may be reassigned to this one soon. Not assumed
    // for Retry-After.
    Span expectedWait(Instant now, const Service&, size_t ahead, bool slotMayTransfer) const;
    Span expectedCallTime(const Service&, const Request&) const;
    Span usualCallTime(const Service&, const Request&) const;
    Span slowCallTime(const Request&) const;
    Instant latestStart(const Service&, const Request&) const;
    void sendRequest(Instant now, Request&, InstanceIndex);
    void releaseSlot(Instant now, Instance&);
    void endCancelledAttempt(Instant now, const Request&);
    void recordCallTime(Instant now, const Request&);
    void onInstanceFull(Instant now, Instance&);
    void retryOrFinish(Instant now, Request&);
    bool mayRetry(Instant now, Service&);
    void setPendingRetry(Request&, bool);
    void rejectRequest(Instant now, Request&, bool immediately);
    void eraseRequest(Request&);
    void startProbe(Instant now, Instance&, InstanceIndex);
    void onConnectFailure(Instant now, Instance&, InstanceIndex);
    InstanceIndex addInstance(Instant now, const InstanceInfo&, uint32_t service);
    bool mayBorrow(Instant now, Service&, const Request&);
    InstanceIndex borrowInstance(Instant now, uint32_t service);
    void rememberInstance(Instant now, const Instance&);
    void forgetFormerInstance(Service&, const std::string& instance);
    void removeInstance(Instant now, InstanceIndex);
    size_t maxIdleConnections(const Instance&) const;
    void recordHeldSlots(Instance&);
    void sendReport(Instant now, bool whole);
    void rejectOverdue(Instant now);

    Options options_;
    policy::Random random_;
    std::vector<Service> services_;
    std::unordered_map<std::string, uint32_t> serviceByName_;
    std::vector<std::unique_ptr<Instance>> instances_;
    std::vector<InstanceIndex> freeIndices_;
    std::unordered_map<std::string, InstanceIndex> instanceById_;
    std::unordered_map<RequestId, Request> requests_;
    std::map<std::array<int64_t, 4>, uint32_t> requestClassByKey_;
    std::vector<RequestClass> requestClasses_;
    // Until when a request may stay queued; checked in rejectOverdue().
    std::multimap<Instant, RequestId> queueDeadlines_;
    std::deque<Output> outputs_;
    std::vector<std::string> deadInstances_, readyInstances_;
    std::map<std::string, scaler::HeldSlots> heldChanges_;
    std::vector<uint32_t> changedServices_;
    std::set<uint32_t> queuedServices_;  // services with queued requests
    uint64_t term_ = 0, grantsTerm_ = 0, lastSequence_ = 0;
    bool isPlannerSilent_ = false;  // nothing has been heard from the planner
    bool isLinked_ = false, isReportUrgent_ = false;
    std::optional<DrainSchedule> drain_;           // set while this proxy shuts down
    uint32_t proxyCount_ = 1, maxProxyCount_ = 1;  // as reported; the maximum within a window
    Instant fewerProxiesSince_ = Instant::never();
    Instant createdAt_;
    Instant reportedAt_, wakeAt_, nextSweepAt_;
    size_t queuedCount_ = 0, maxQueued_ = SIZE_MAX;
    Counters counters_;
};

}  // namespace petrelpond::proxy
