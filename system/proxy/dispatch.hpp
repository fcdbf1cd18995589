// Which request goes to which instance now, which waits, and which is told at once that it has not run: the
// decisions of one proxy, without I/O, clocks or threads. Inputs carry `now`; outputs are pulled by next().
//
// Per service (the destination) the design's bound one-token bucket paces the starts. It binds when a request
// is held: the function's concurrency is taken, or its instance boots; or when an instance answers full.
// Slots of instances are this proxy's own, as the holder of the startup duty granted them.
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

namespace petrelpond::proxy {

using RequestId = uint64_t;
using InstanceIndex = uint32_t;

struct ServiceSpec {
    std::string name;
    int maxConcurrency = 1;
    Span boot;
    int maxConnections = 0;  // that one instance takes from all senders together; 0: not known
};

struct IncomingRequest {
    RequestId id = 0;
    std::string service;
    bool isIdempotent = false;
    int priority = 2;     // 0 is highest
    int maxAttempts = 1;  // endpoints that it may be sent to
    Instant deadline;     // the client's or the route's, whichever is sooner
    Span targetLatency;   // the time within which it earns its full worth
    Span routeTimeout;    // the route's; with the fields above it tells kinds of request apart
};

// How a request that was sent ended. One place says what that means for running it again: mayHaveRun().
enum class AttemptOutcome : uint8_t {
    answered,          // an answer that is the client's
    serverError,       // the endpoint's own failure (5xx), which counts as run
    notExecuted,       // the endpoint says that it did not run it: full
    misdirected,       // 421: another endpoint has the address
    connectFailed,     // no connection came up; nothing was sent
    notSent,           // the connection ended before any byte of the request had left
    connectionBroken,  // reset, closed, or bytes that are no answer, after something was sent
    timedOut,          // given up by us after something was sent
};
bool mayHaveExecuted(AttemptOutcome);

struct SendRequest {
    RequestId id;
    InstanceIndex instance;
    Span attemptTimeout;  // give it up as silent after this; zero: at its deadline
};
struct RejectRequest {  // has not run and never will
    RequestId id;
    int status;
    Span retryAfter;
};
struct FailRequest {  // may have run: 502 or 504, or the endpoint's own failure where there is one
    RequestId id;
    int status;
};
struct ForwardResponse {  // the answer that the host holds for this request
    RequestId id;
};
struct ProbeInstance {  // see whether it takes a connection
    InstanceIndex instance;
};
struct ReleaseInstance {  // no slot of it is ours any more
    InstanceIndex instance;
    size_t maxIdleConnections;  // so many idle connections to it may stay open, as a slot may come back
};
struct SendReport {
    scaler::Report report;
};
using Output = std::variant<SendRequest, RejectRequest, FailRequest, ForwardResponse, ProbeInstance,
                            ReleaseInstance, SendReport>;

struct InstanceInfo {
    std::string id, address, zone;
};

struct Counters {
    uint64_t received = 0, sent = 0, forwarded = 0, rejectedImmediately = 0, rejectedAfterQueueing = 0,
             retries = 0, failed = 0;
    uint64_t notExecuted = 0, misdirected = 0, connectionBroken = 0, timedOut = 0, connectFailed = 0,
             probes = 0, reports = 0;
    uint64_t borrowed = 0, borrowedNotExecuted = 0;  // sent without a slot of ours; turned away as full
};

class Dispatch {
  public:
    struct Options {
        uint32_t seed = 1;
        std::string zone;
        double retryBudgetRatio = 0.2, retryBudgetSlack = 50;
        Span retryBudgetWindow = Span::seconds(10);
        // An earlier life may have made further sends that nobody here remembers.
        bool mayHaveRestarted = false;
    };
    Dispatch(Instant now, Options);

    // So many may wait at most. Beyond, who can't be sent at once is told so: those who wait hold a
    // connection each, and where none is left a client is reset without a word of when to come back.
    void setMaxQueued(size_t maxQueued) { maxQueued_ = maxQueued; }
    void updateServices(Instant now, const std::vector<ServiceSpec>&);
    // The holder that is reported to, and the number of living senders. A new term or link asks for all anew.
    void updatePlannerStatus(Instant now, uint64_t term, bool linked, uint32_t proxyCount);
    void onPlannerDisconnected() { isLinked_ = false; }  // the way to the holder is broken
    // Nothing is heard of the holder: who waits without a slot may borrow one, see borrow().
    void setPlannerSilent(Instant now, bool);
    void applyGrants(Instant now, const scaler::Grants&);
    void onRequest(Instant now, const IncomingRequest&);
    void cancelRequest(Instant now, RequestId);  // its client has gone; nothing is answered
    void onAttemptEnded(Instant now, RequestId, AttemptOutcome);
    // Whether a request that was sent with patience may be given up now that it is over.
    bool mayAbandonAttempt(Instant now, RequestId);
    void onProbeResult(Instant now, InstanceIndex, bool up);
    void startDraining(Instant now);
    void rejectQueued(
        Instant now);  // all that wait are told that they have not run; the process is about to end
    void tick(Instant now);
    Instant wakeAt() const { return wakeAt_; }
    std::optional<Output> next();

    const InstanceInfo* findInstance(InstanceIndex) const;
    bool isQueued(RequestId id) const;
    const Counters& counters() const { return counters_; }
    size_t queuedCount() const { return queuedCount_; }  // requests that wait

  private:
    struct RequestClass {  // requests alike: their answer times are learned together, as rare functions see
                           // few
        policy::AnswerTimes latencies;
        double meanSeconds = 0;  // seconds; of answers
    };
    struct Instance {
        InstanceInfo info;
        uint32_t service = 0;
        uint32_t slots = 0, inFlight = 0;
        bool isReady = false, isProbing = false, isReleased = false;
        Instant expectedReadyAt;  // when its start is thought to be over
        Instant nextProbeAt = Instant::longAgo();
        Instant backoffUntil = Instant::longAgo();  // it just refused: not before
        Instant idleSince;
        int connectFailures = 0;  // failed connects and breaks since it last answered
        bool isReportedDead = false;
        bool isTerminating = false;  // as the holder said
        Instant reportedDeadAt = Instant::longAgo();
    };
    // An instance that had a slot of ours not long ago.
    struct FormerInstance {
        InstanceInfo info;
        Instant expiresAt;  // then it is forgotten
    };
    struct Service {
        ServiceSpec spec;
        bool isConfigured = false;
        std::vector<InstanceIndex> instances;
        std::map<std::pair<int, uint64_t>, RequestId> queue;  // by priority, then in order
        policy::TokenBucket bucket;
        RetryBudget retryBudget;
        uint32_t pendingRetries = 0;  // further sends that were allowed and have not gone out yet
        double meanSeconds = 0;       // seconds of a call; 0: none seen
        uint32_t inFlight = 0, peakDemand = 0, arrivals = 0;
        uint32_t fleetSlots = 0;
        std::vector<FormerInstance> formerInstances;  // oldest first
        Instant nextBorrowAt = Instant::longAgo();    // not before, as one was full
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
    void requestUrgentReport(Instant now);  // a report in this round, not with the next that gathers
    std::optional<InstanceIndex> pickInstance(Instant now, const Service&, const Request&) const;
    double fairRate(const Service&) const;
    // slotMayTransfer: as a slot that another sender has may be ours soon; not for when to come back.
    Span expectedWait(Instant now, const Service&, size_t ahead, bool slotMayTransfer) const;
    Span expectedCallTime(const Service&, const Request&) const;
    void sendRequest(Instant now, Request&, InstanceIndex);
    void releaseSlot(Instant now, Instance&);
    void retryOrFinish(Instant now, Request&);
    bool mayRetry(Instant now, Service&);
    void setPendingRetry(Request&, bool);
    void rejectRequest(Instant now, Request&, bool atOnce);
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
    std::multimap<Instant, RequestId> queueDeadlines_;  // until when a request may wait; looked at in sweeps
    std::deque<Output> outputs_;
    std::vector<std::string> deadInstances_, readyInstances_;
    std::map<std::string, scaler::HeldSlots> heldChanges_;
    std::vector<uint32_t> changedServices_;
    std::set<uint32_t> queuedServices_;  // services for which requests wait
    uint64_t term_ = 0, grantsTerm_ = 0, lastSequence_ = 0;
    bool isPlannerSilent_ = false;  // nothing is heard of the holder
    bool isLinked_ = false, isReportUrgent_ = false, isDraining_ = false;
    uint32_t proxyCount_ = 1, maxProxyCount_ = 1;  // as told; the most of them within a window
    Instant fewerProxiesSince_ = Instant::never();
    Instant createdAt_;
    Instant reportedAt_, wakeAt_, nextSweepAt_;
    size_t queuedCount_ = 0, maxQueued_ = SIZE_MAX;
    Counters counters_;
};

}  // namespace petrelpond::proxy
