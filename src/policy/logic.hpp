// State of the decision module; its member functions are in src/logic.cpp and, by concern, in src/policy/*.cpp.
#pragma once

#include <unordered_map>
#include <utility>

#include "src/index/in_flight.hpp"
#include "src/index/wait_queues.hpp"
#include "src/index/endpoint_registry.hpp"
#include "src/index/delivery_history.hpp"
#include "src/index/texts.hpp"
#include "src/index/revenue.hpp"
#include "src/policy/outage_tracker.hpp"
#include "src/policy/answer_times.hpp"

namespace petrelpond::policy {

using index::Call, index::Timer, index::TimerKind, index::Text;

constexpr int kMaxSmallGroup = 8;  // senders; with no more, each fair share is large enough to be measured

struct SavedState {
    OutageTracker outage;
    Instant waitUntil;
    double trust = 1, reportedRate = 0;
};
struct LimitGroupCore {
    double listedRate = 0;
    std::shared_ptr<const SavedState> saved;
};

// What a rate limit, pacing and outages apply to: a destination, or one endpoint if it has separate routes.
struct LimitGroup {
    void onLoaded() {
        if (core.saved) outage = core.saved->outage, waitUntil = core.saved->waitUntil;
        if (core.saved) bucket.trust = core.saved->trust, reportedRate = core.saved->reportedRate;
    }
    LimitGroupCore core;
    TokenBucket bucket;
    InFlightCalls inFlight;
    OutageTracker outage;
    AnswerTimes times;
    Instant waitUntil = Instant::longAgo();
    double reportedRate = 0;
    DeliveryHistory deliveries;

    double fleetRate() const { return core.listedRate > 0 ? core.listedRate : reportedRate; }
    // This sender's part of the rate; if unknown, its deliveries. A floor of 1/s for each of hundreds is a flood.
    double fairShare(Instant now, int senders) {
        if (fleetRate() > 0) return fleetRate() / senders;
        double lately = deliveries.rate(now, Span::seconds(2)), longer = deliveries.rate(now, Span::seconds(20));
        if (senders <= kMaxSmallGroup) return std::max({1.0, lately, longer});
        return std::max({lately / 2, longer, 0.01});
    }
};

struct Endpoint {
    EndpointCore core;
    int failures = 0;             // since its last delivery
    double concurrencyLimit = 4;  // estimate of the concurrent calls that it can take
    double probeRate = 0;         // when demoted: calls per second that it gets; 0: in full use
    Instant nextProbeAt = Instant::longAgo(), deliveredAt = Instant::longAgo();
    AnswerTimes times;
    InFlightCalls inFlight;
    Instant connectFailedAt = Instant::longAgo();  // failed connect with no delivery since
    Instant connectAfter = Instant::longAgo();     // connection table full: no call before
    Instant usedAt = Instant::longAgo(), idleSince = Instant::longAgo();  // idleSince: start of the last idle time
};

// Learned by kind of endpoint, because a sender of a large group meets a single endpoint too seldom.
struct KindState {
    EndpointKind kind;
    IdleTimeout idle;
    double pace;  // calls per second to start limiting at, if the fair share is smaller
};

class Logic final : public Sender, EndpointRegistry<LimitGroup, Endpoint> {
  public:
    Logic(uint32_t seed, std::vector<Product> products, std::vector<EndpointKind> kinds, const SenderGroup& group,
          const SenderLimits& limits, const ColdStartRule& cold, const EndpointListRule& list, Decay decay,
          const ConnectionRule& links)
        : random_{std::mt19937(seed)}, products_(std::move(products)), senderGroup_(group), limits_(limits),
          coldStart_(cold), listRule_(list), decay_(decay), connections_(links) {
        senderGroup_.senders = std::max(1, senderGroup_.senders);
        kinds.emplace_back();  // for endpoints of no known kind
        for (const EndpointKind& k : kinds)
            kindStates_.push_back({k, IdleTimeout(links.idleTimeout, senderGroup_.senders, isLargeGroup()), 0.2});
        if (list.changesOnRequest) requestListAt_ = Instant::longAgo();
        if (limits.maxCalls > 0) maxRetryCredit_ = retryCredit_ = limits.maxCalls;
    }
    void onArrival(Instant now, const Arrival& a) override;
    void onSubmitResult(Instant now, const SubmitResult& e) override;
    void onWithdrawn(Instant, TextIndex text) override;
    void onEndpointList(Instant, ListScope scope, const std::vector<ListEntry>& entries) override;
    void onEndpointListFailed(Instant now) override;
    void setEndpointDisabled(Instant now, EndpointIndex ix, bool disabled) override;
    void onDestinationRemoved(Instant, DestinationIndex d) override { forgetDestination(d); }
    void setCallsAllowed(Instant, bool may) override { callsAllowed_ = may; }
    std::vector<double> exportEndpointState(Instant now, EndpointIndex ix) override;
    bool importEndpointState(Instant now, EndpointIndex ix, const std::vector<double>& l) override;
    void onShutdown(Instant by) override { shutdownAt_ = by; }
    std::optional<Decision> nextDecision(Instant now) override;
    std::string describeEndpoint(Instant now, EndpointIndex ix) const override;

  private:
    // src/logic.cpp: the path of a text.
    void startCall(Instant now);
    void considerDestination(Instant now, uint32_t ix, bool full);
    void submitCall(Instant now, EndpointIndex at, TextIndex firstText);
    void tick(Instant now);
    // endpoint_state.cpp: state of listed endpoints.
    void unloadIfIdle(Instant now, uint32_t ix);
    // submit_results.cpp: what the result of a call says.
    void recordResult(Instant now, const Text& text, const SubmitResult& e);
    // endpoint_choice.cpp: which endpoint gets a call.
    double expectedCallTime(Instant now, const Destination& d);
    EndpointIndex drawEndpoint(Instant now, const Destination& d);
    double freeCapacity(Instant now, const Endpoint& e);
    bool passesRateLimit(Instant now, const Endpoint& e);
    void demoteSlowEndpoints(Instant now, const Destination& d);
    void demote(Instant now, Endpoint& e);
    // resend.cpp: which texts may be submitted, and the final answer of the others.
    void recordMayHaveRun(Instant now, Text& t, SubmitStatus status);
    bool maySubmitAgain(Instant now, const Text& t) const;
    bool maySubmitTo(const Text& t, Instant now, const Endpoint& e) const;
    void holdKey(Instant now, const Text& t);
    Span timeout(Instant now, const Text& t, const LimitGroup& g, double load) const;
    Decision finalAnswer(Instant now, Text& t);
    // text_choice.cpp: which text is sent first, and which is given up.
    void enqueue(Instant now, Text& t);
    void dequeue(Text& t);
    void removeText(TextIndex ix);
    void limitBacklog(Instant now, Text& text);
    void offerBestText(Instant now, const Destination& d, EndpointIndex at, double takes);
    std::optional<Decision> evictText(Instant now);
    bool mayTakeSlot(const Destination& d, double takes);
    void cancelOverdueCall(Instant now);

    bool isLargeGroup() const { return senderGroup_.senders > kMaxSmallGroup; }
    KindState& kindState(KindIndex kind) { return kindStates_[std::min<size_t>(kind.value, kindStates_.size() - 1)]; }
    KindState& kindState(const Endpoint& e) { return kindState(e.core.kind); }
    Span answerMargin() const { return limits_.roundInterval * 2 + Span::millis(1); }
    bool inOrder(const Text& t) const { return t.arrival.key && t.product && t.product->inOrder; }
    double revenue(const Text& t, Instant at) const {
        return revenueAt(*t.product, t.arrival.validUntil, at, decay_);
    }
    double overdueAfter(const LimitGroup& g, double load) const {
        return std::max(1.2 * g.times.slowestDelivered * load, 3 * typicalCallTime_);
    }
    // A nack promises that no effect took place which a repeat would double.
    static bool mayNack(const Text& t) { return !t.mayHaveRun || t.product->effect == Effect::idempotent; }
    double recheckBy(Instant at) { return recheckAt_ = std::min(recheckAt_, at), 0; }
    // The destination's state changed, so that one of its texts may be sent.
    void markReady(uint32_t ix) {
        if (const Destination* d = destinations_.find(ix); d && !d->waiting.empty()) waitQueues_.markReady(ix);
    }
    // `reason`: what it waits for, apart from the time recheckAt_.
    void park(uint32_t ix, WaitReason reason = WaitReason::none) {
        waitQueues_.park(ix, reason);
        if (recheckAt_ < Instant::never()) timers_.insert({recheckAt_, TimerKind::recheck, ix});
    }

    static constexpr size_t kMaxDestinations = 64; static constexpr int kMaxTexts = 256;  // compared at a time
    Random random_;
    std::vector<Product> products_;
    std::vector<KindState> kindStates_;
    SenderGroup senderGroup_; SenderLimits limits_;
    ColdStartRule coldStart_; EndpointListRule listRule_;
    Decay decay_; ConnectionRule connections_;
    KeyOrder keyOrder_;
    std::set<uint32_t> withWaiting_;  // destinations with waiting texts
    WaitQueues waitQueues_;           // of these destinations
    std::vector<uint32_t> candidates_; std::vector<double> peerTimes_;
    EndpointIndex bestEndpoint_; TextIndex bestText_;  // best of the destinations compared in this round
    Instant recheckAt_;  // when to reconsider the current destination
    std::unordered_map<uint32_t, Text> texts_;
    std::set<TextIndex> textsInFlight_;
    std::map<int64_t, Call> calls_;
    std::set<Timer> timers_;
    std::deque<Decision> decisions_;
    std::deque<TextIndex> unsendable_; std::vector<EndpointIndex> toClose_;
    Instant nextTickAt_ = Instant::longAgo(), wakeUpAt_ = Instant::never(), requestListAt_ = Instant::never();
    Instant shutdownAt_ = Instant::never();
    bool callsAllowed_ = true;
    double typicalCallTime_ = 0.3, overdueAnswerShare_ = 1, maxRetryCredit_ = 256, retryCredit_ = 256, bestScore_ = 0;
    size_t sweepIndex_ = 0; int callsInFlight_ = 0, listFailures_ = 0;
    int64_t nextCall_ = 0;
};

}  // namespace petrelpond::policy
