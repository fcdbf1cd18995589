// Implements Sender: the path of a text from its arrival to its final answer. src/policy has the other concerns.
#include "src/policy/logic.hpp"

namespace petrelpond {
namespace policy {

void Logic::onArrival(Instant now, const Arrival& a) {
    Text& text = texts_[a.text.value];
    text.arrival = a;
    text.product = a.product.value < products_.size() ? &products_[a.product.value] : nullptr;
    if (!text.product) return unsendable_.push_back(a.text);
    text.restoreFromArrival();
    if (inOrder(text)) keyOrder_.enqueue(*a.key, a.text);
    if (inOrder(text) && text.mayHaveRun) holdKey(now, text);
    timers_.insert({a.validUntil - answerMargin(), TimerKind::textExpiry, a.text.value});
    enqueue(now, text), limitBacklog(now, text);
}

void Logic::onSubmitResult(Instant now, const SubmitResult& e) {
    auto found = texts_.find(e.text.value);
    if (found == texts_.end() || !found->second.inFlight) return;
    Text& text = found->second;
    text.inFlight = false, textsInFlight_.erase(e.text);
    recordResult(now, text, e), recordMayHaveRun(now, text, e.status);
    markReady(text.arrival.destination.value);
    e.isFinal || text.withdrawn ? removeText(e.text) : enqueue(now, text);
    removeIfUnused(e.endpoint.value);
}

void Logic::onWithdrawn(Instant, TextIndex text) {
    auto found = texts_.find(text.value);
    if (found == texts_.end()) return;
    found->second.withdrawn = true, dequeue(found->second);
    if (!found->second.inFlight) removeText(text);
}

std::optional<Decision> Logic::nextDecision(Instant now) {
    if (wakeUpAt_ <= now) wakeUpAt_ = Instant::never();
    while (!timers_.empty() && std::get<Instant>(*timers_.begin()) <= now) {
        auto [at, what, which] = timers_.extract(timers_.begin()).value();
        if (what == TimerKind::idleClose) toClose_.push_back(EndpointIndex(which));
        if (what == TimerKind::recheck) which == kNone ? waitQueues_.releaseAll(WaitReason::key) : markReady(which);
        if (what != TimerKind::textExpiry) continue;
        auto found = texts_.find(which);
        if (found == texts_.end() || found->second.withdrawn || found->second.inFlight) continue;
        dequeue(found->second), unsendable_.push_back(TextIndex(which));
    }
    while (!unsendable_.empty()) {
        auto found = texts_.find(unsendable_.front().value);
        unsendable_.pop_front();
        if (found != texts_.end() && !found->second.inFlight) return finalAnswer(now, found->second);
    }
    if (now >= nextTickAt_) tick(now);
    if (auto nack = evictText(now)) return nack;
    if (decisions_.empty() && callsAllowed_) startCall(now);
    if (!unsendable_.empty()) return nextDecision(now);
    if (!decisions_.empty()) {
        Decision d = std::move(decisions_.front());
        return decisions_.pop_front(), d;
    }
    while (!toClose_.empty()) {
        EndpointIndex ix = toClose_.back();
        toClose_.pop_back();
        const Endpoint* e = endpoints_.find(ix.value);
        if (!e) return CloseIdleConnections{ix};  // unloaded after a long idle time
        if (!e->inFlight.starts.empty()) continue;
        Instant end = e->usedAt + kindState(*e).idle.timeout;  // it may have been used since the timer was set
        if (now >= end) return CloseIdleConnections{ix};
        timers_.insert({end, TimerKind::idleClose, ix.value});
    }
    Instant wake = timers_.empty() ? nextTickAt_ : std::min(nextTickAt_, std::get<Instant>(*timers_.begin()));
    if (wake >= wakeUpAt_) return std::nullopt;
    return WakeAt{wakeUpAt_ = wake};
}

// Considers only destinations whose state changed, and parks those that can't send now. Of many that could send,
// kMaxDestinations are compared at a time, in turn. Drawback: the others wait for a later round.
void Logic::startCall(Instant now) {
    bool full = limits_.maxCalls > 0 && callsInFlight_ >= limits_.maxCalls;
    if (full) waitQueues_.release(WaitReason::slot, kMaxDestinations);
    bestEndpoint_ = EndpointIndex(), bestScore_ = -1;
    waitQueues_.queue(WaitReason::ready).nextBatch(kMaxDestinations, candidates_);
    for (uint32_t ix : candidates_) considerDestination(now, ix, full);
    if (bestEndpoint_.isKnown()) full ? cancelOverdueCall(now) : submitCall(now, bestEndpoint_, bestText_);
}

void Logic::considerDestination(Instant now, uint32_t ix, bool full) {
    Destination& d = destination(DestinationIndex(ix));
    recheckAt_ = Instant::never(), demoteSlowEndpoints(now, d);
    double takes = expectedCallTime(now, d);
    if (!full && !mayTakeSlot(d, takes)) return park(ix, WaitReason::slot);
    // A call that is cut off when the process ends may have run; a non-idempotent text would be lost by that.
    if (now + Span::seconds(2 * takes) > shutdownAt_) return park(ix);
    EndpointIndex at = drawEndpoint(now, d);
    at.isKnown() ? offerBestText(now, d, at, takes) : park(ix);
}

void Logic::submitCall(Instant now, EndpointIndex at, TextIndex firstText) {
    Endpoint& e = endpoints_[at.value];
    LimitGroup& g = groups_[e.core.group];
    int64_t call = nextCall_++;
    std::vector<TextIndex> batch = {firstText};
    for (TextIndex ix : destination(e.core.destination).waiting) {
        if (static_cast<int>(batch.size()) >= std::max(1, kindState(e).kind.batch)) break;
        const Text& t = texts_.at(ix.value);
        if (ix == batch.front() || inOrder(t) || !maySubmitTo(t, now, e)) continue;
        if (g.outage.phase == Phase::down && 2 * t.submits >= limits_.maxSubmits) continue;
        batch.push_back(ix);
    }
    double load = 1 + 0.2 * (static_cast<double>(batch.size()) - 1);
    if (e.inFlight.starts.empty()) e.idleSince = e.usedAt;
    for (TextIndex ix : batch) {
        Text& t = texts_.at(ix.value);
        dequeue(t), textsInFlight_.insert(ix);
        if (t.submits > 0 || g.outage.phase == Phase::down) retryCredit_ -= 1;
        t.endpoint = at, t.started = now, t.call = call, t.inFlight = true, t.cancelRequested = false, ++t.submits;
        decisions_.push_back(Submit{ix, t.endpoint, timeout(now, t, g, load)});
    }
    calls_[call] = {static_cast<int>(batch.size()), 0, load};
    ++callsInFlight_, g.inFlight.starts.insert(now), e.inFlight.starts.insert(now);
    g.bucket.tokens -= g.outage.phase == Phase::recovering ? load : 1;
    if (e.probeRate > 0) e.nextProbeAt = now + random_.jittered(Span::seconds(1 / e.probeRate));
}

void Logic::tick(Instant now) {  // all periodic work
    nextTickAt_ = now + Span::millis(250), keyOrder_.eraseIdle(now);
    if (now >= requestListAt_) requestListAt_ = Instant::never(), decisions_.push_back(SubscribeToList{});
    // Even if nothing is delivered, retries may use each slot once in four seconds.
    retryCredit_ = std::min(retryCredit_ + maxRetryCredit_ / 16, maxRetryCredit_);
    waitQueues_.release(WaitReason::credit, static_cast<size_t>(maxRetryCredit_ / 16) + 1);
    for (size_t n = destinations_.size() / 200 + 1; n > 0 && destinations_.size() > 0; --n)
        unloadIfIdle(now, static_cast<uint32_t>(sweepIndex_++ % destinations_.size()));
    for (KindState& kind : kindStates_) kind.idle.relax();
}

}  // namespace policy

std::unique_ptr<Sender> makeSender(uint32_t seed, std::vector<Product> products, std::vector<EndpointKind> kinds,
                                   const SenderGroup& group, const SenderLimits& limits, const ColdStartRule& cold,
                                   const EndpointListRule& list, Decay decay, const ConnectionRule& links) {
    return std::make_unique<policy::Logic>(seed, std::move(products), std::move(kinds), group, limits,
                                           cold, list, decay, links);
}

}  // namespace petrelpond
