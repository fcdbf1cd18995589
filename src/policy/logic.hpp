// What the module knows, and its parts, each in a file of its own; src/logic.cpp joins them.
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

constexpr int kMaxSmallGroup = 8;  // senders whose slices are wide enough to be judged one by one (ours)

struct SavedState {
    OutageTracker outage;
    Instant retryAfterUntil;
    double rateTrust = 1, reportedRate = 0;
};
struct LimitGroupCore {
    double listedRate = 0;
    std::shared_ptr<const SavedState> saved;
};

// What a limit, a pace and an outage belong to: a destination, or one of its separate routes.
struct LimitGroup {
    void onLoaded() {
        if (core.saved) outage = core.saved->outage, retryAfterUntil = core.saved->retryAfterUntil, bucket.rateTrust = core.saved->rateTrust;
        if (core.saved) reportedRate = core.saved->reportedRate;
    }
    LimitGroupCore core;
    TokenBucket bucket;
    InFlightCalls inFlight;
    OutageTracker outage;
    AnswerTimes times;
    Instant retryAfterUntil = Instant::longAgo();
    double reportedRate = 0;
    DeliveryHistory deliveries;

    double fleetRate() const { return core.listedRate > 0 ? core.listedRate : reportedRate; }
    // This sender's part; unknown, what it is served. The design's one call a second floods from hundreds.
    double fairShare(Instant now, int senders) {
        if (fleetRate() > 0) return fleetRate() / senders;
        double lately = deliveries.rate(now, Span::seconds(2)), longer = deliveries.rate(now, Span::seconds(20));
        if (senders <= kMaxSmallGroup) return std::max({1.0, lately, longer});
        return std::max({lately / 2, longer, 0.01});
    }
};

struct Endpoint {
    EndpointCore core;
    int failuresInRow = 0;      // since it last delivered
    double concurrencyLimit = 4;    // calls that it is thought to take at once (ours)
    double probeRate = 0;  // set aside: calls a second it gets; 0: in full use
    Instant nextProbeAt = Instant::longAgo(), lastDeliveredAt = Instant::longAgo();
    AnswerTimes times;
    InFlightCalls inFlight;
    Instant connectFailedAt = Instant::longAgo();  // no connection could be had, and nothing delivered since
    Instant connectBackoffUntil = Instant::longAgo();     // turned away at its door: not before
    Instant lastUsedAt = Instant::longAgo(), idleSince = Instant::longAgo();  // idleSince: lastUsedAt as the last call left
};

// What is learned by kind of endpoint, as one endpoint is met too seldom in a big crew.
struct KindState {
    EndpointKind kind;
    IdleTimeout idle;
    double pace;  // calls a second of a bound sender whose slice is thinner (ours)
};

class Logic final : public Sender, EndpointRegistry<LimitGroup, Endpoint> {
  public:
    Logic(uint32_t seed, std::vector<Product> products, std::vector<EndpointKind> kinds, const SenderGroup& crew,
          const SenderLimits& room, const ColdStartRule& cold, const EndpointListRule& list, Decay decay, const ConnectionRule& links)
        : random_{std::mt19937(seed)}, products_(std::move(products)), senderGroup_(crew), limits_(room), coldStart_(cold),
          listRule_(list), decay_(decay), connections_(links) {
        senderGroup_.senders = std::max(1, senderGroup_.senders);
        kinds.emplace_back();  // for those of no known kind
        for (const EndpointKind& k : kinds) kindStates_.push_back({k, IdleTimeout(links.idleTimeout, senderGroup_.senders, isLargeGroup()), 0.2});
        if (list.changesOnRequest) requestListAt_ = Instant::longAgo();
        if (room.maxCalls > 0) maxRetryCredit_ = retryCredit_ = room.maxCalls;
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
    // The ordinary path.
    void startCall(Instant now);
    void considerDestination(Instant now, uint32_t ix, bool full);
    void submitCall(Instant now, EndpointIndex at, TextIndex firstText);
    void tick(Instant now);
    // endpoint_state.cpp: what is known of who is listed.
    void unloadIfIdle(Instant now, uint32_t ix);
    // submit_results.cpp: what the end of a call tells.
    void recordResult(Instant now, const Text& text, const SubmitResult& e);
    // endpoint_choice.cpp: which endpoint gets a call.
    double expectedCallTime(Instant now, const Destination& d);
    EndpointIndex drawEndpoint(Instant now, const Destination& d);
    double freeCapacity(Instant now, const Endpoint& e);
    bool passesRateLimit(Instant now, const Endpoint& e);
    void demoteSlowEndpoints(Instant now, const Destination& d);
    void demote(Instant now, Endpoint& e);
    // resend.cpp: what may go, what may have run, and what is answered in its place.
    void recordMayHaveRun(Instant now, Text& t, SubmitStatus status);
    bool maySubmitAgain(Instant now, const Text& t) const;
    bool maySubmitTo(const Text& t, Instant now, const Endpoint& e) const;
    void holdKey(Instant now, const Text& t);
    Span timeout(Instant now, const Text& t, const LimitGroup& g, double load) const;
    Decision finalAnswer(Instant now, Text& t);
    // text_choice.cpp: which text first, and which for want of room goes.
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
    // A nack promises that nothing took effect that a repeat would double.
    static bool mayNack(const Text& t) { return !t.mayHaveRun || t.product->effect == Effect::idempotent; }
    double recheckBy(Instant at) { return recheckAt_ = std::min(recheckAt_, at), 0; }
    // Something about it changed, so that a text there may go.
    void markReady(uint32_t ix) {
        if (const Destination* d = destinations_.find(ix); d && !d->waiting.empty()) waitQueues_.markReady(ix);
    }
    // A row to wait in where it waits for something else than an instant.
    void park(uint32_t ix, WaitReason reason = WaitReason::none) {
        waitQueues_.park(ix, reason);
        if (recheckAt_ < Instant::never()) timers_.insert({recheckAt_, TimerKind::recheck, ix});
    }

    static constexpr size_t kMaxDestinations = 64;  // destinations
    static constexpr int kMaxTexts = 256;       // of one destination
    Random random_;
    std::vector<Product> products_;
    std::vector<KindState> kindStates_;
    SenderGroup senderGroup_;
    SenderLimits limits_;
    ColdStartRule coldStart_;
    EndpointListRule listRule_;
    Decay decay_;
    ConnectionRule connections_;
    KeyOrder keyOrder_;
    std::set<uint32_t> withWaiting_;  // destinations with texts to go
    WaitQueues waitQueues_;             // of those
    std::vector<uint32_t> candidates_;
    std::vector<double> peerTimes_;
    EndpointIndex bestEndpoint_;  // of those compared
    TextIndex bestText_;
    Instant recheckAt_;  // of the destination looked at: when to look again
    std::unordered_map<uint32_t, Text> texts_;
    std::set<TextIndex> textsInFlight_;
    std::map<int64_t, Call> calls_;
    std::set<Timer> timers_;
    std::deque<Decision> decisions_;
    std::deque<TextIndex> unsendable_;
    std::vector<EndpointIndex> toClose_;
    Instant nextTickAt_ = Instant::longAgo(), wakeUpAt_ = Instant::never(), requestListAt_ = Instant::never();
    Instant shutdownAt_ = Instant::never();
    bool callsAllowed_ = true;
    double typicalCallTime_ = 0.3, overdueAnswerShare_ = 1, maxRetryCredit_ = 256, retryCredit_ = 256, bestScore_ = 0;
    size_t sweepIndex_ = 0;
    int callsInFlight_ = 0, listFailures_ = 0;
    int64_t nextCall_ = 0;
};

}  // namespace petrelpond::policy
