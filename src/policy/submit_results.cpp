// What the result of a call says about its endpoint and its limit group.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::recordResult(Instant now, const Text& text, const SubmitResult& e) {
    Endpoint& at = endpoints_[text.endpoint.value];
    LimitGroup& g = groups_[at.core.group];
    if (e.reportedLimit) g.reportedRate = *e.reportedLimit;
    destination(text.arrival.destination).usedAt = at.usedAt = now;
    Call& call = calls_[text.call];
    bool first = call.ended++ == 0;  // the texts of a call share its result, which counts once
    double load = call.load;
    if (--call.texts == 0) {
        calls_.erase(text.call), --callsInFlight_, waitQueues_.release(WaitReason::slot, kMaxDestinations);
        for (auto* out : {&g.inFlight, &at.inFlight}) out->starts.erase(out->starts.find(text.started));
        Span idle = kindState(at).idle.timeout;
        if (idle < connections_.idleTimeout) timers_.insert({now + idle, TimerKind::idleClose, text.endpoint.value});
    }
    // For a small fair share, the pace learned from limited calls to this kind of endpoint is the better base rate.
    double fairShare = g.fairShare(now, senderGroup_.senders);
    double base = std::max(fairShare, isLargeGroup() ? kindState(at).pace : 0.0);
    if (e.retryAfter > Span()) {  // the answer to a batch may also deliver some texts
        g.waitUntil = std::max(g.waitUntil, now + e.retryAfter);
        g.bucket.onRetryAfter(now, now + e.retryAfter, base, fairShare < 0.5, random_);
    }
    bool silent = e.status == SubmitStatus::cancelled || e.status == SubmitStatus::timeout;
    if (first && (now - text.started).inSeconds() > overdueAfter(g, load)) {
        if (e.status == SubmitStatus::delivered) overdueAnswerShare_ += 0.3 * (1 - overdueAnswerShare_);
        if (silent && g.outage.phase == Phase::normal) overdueAnswerShare_ *= 0.8;
    }
    if (!first || e.status == SubmitStatus::cancelled || e.status == SubmitStatus::notSent) return;
    // An idle connection that breaks on reuse is a fault of the connection, not of the limit group.
    if (e.status == SubmitStatus::reset && kindState(at).idle.onBrokenAfter(text.started - at.idleSince)) return;
    // Rejected on a new connection with no load report and no wait: a connection table is full, the endpoint's or its
    // proxy's, which says nothing about its limit. Drawback: an endpoint too busy to report is noticed a call later.
    if (e.status == SubmitStatus::overloaded && e.newConnection && e.retryAfter <= Span() && !e.reportedRemaining &&
        g.reportedRate > 0) {
        // Until the connections that are idle there, this sender's and others', have closed.
        double pause = std::max(typicalCallTime_, kindState(at).idle.timeout.inSeconds());
        at.connectAfter = now + random_.jittered(Span::seconds(pause * std::pow(2, std::min(at.failures++, 3))));
        return at.connectFailedAt = now, kindState(at).idle.shorten(connections_.idleTimeout, true);
    }
    for (AnswerTimes* times : {&g.times, &at.times})
        if (e.status == SubmitStatus::delivered ||
            (e.status == SubmitStatus::timeout && at.inFlight.answeredStart < text.started))
            times->add((now - text.started) * (1 / load), e.status == SubmitStatus::delivered);
    if (e.status == SubmitStatus::delivered) {
        typicalCallTime_ += 0.02 * ((now - text.started).inSeconds() / load - typicalCallTime_);
        at.probeRate = at.probeRate > 4 ? 0 : at.probeRate * 2;
        if (at.inFlight.liveCount() + 2 > at.concurrencyLimit) at.concurrencyLimit += 1 / at.concurrencyLimit;
        g.inFlight.lostAfter = at.inFlight.lostAfter = Span::seconds(overdueAfter(g, 1));
        for (auto* out : {&g.inFlight, &at.inFlight}) out->answeredStart = std::max(out->answeredStart, text.started);
        g.deliveries.add(now);
        retryCredit_ = std::min(retryCredit_ + 1, maxRetryCredit_), waitQueues_.release(WaitReason::credit, 1);
        if (g.bucket.limitedSince(text.started)) kindState(at).pace = std::min(kindState(at).pace * 1.25, 0.5);
        bool known = g.fleetRate() > 0;
        g.bucket.onDelivered(now, known ? fairShare : 1e9, known ? g.fleetRate() : 1e9,
                             known ? std::min(e.reportedRemaining.value_or(0), 1.0) : 0);
        g.outage.onDelivered(now);
        if (now - at.connectFailedAt < Span::seconds(2)) kindState(at).idle.shorten(connections_.idleTimeout, true);
        at.deliveredAt = now, at.failures = 0, at.connectFailedAt = Instant::longAgo();
        return;
    }
    if (e.status == SubmitStatus::overloaded) {
        if (g.bucket.limitedSince(text.started)) kindState(at).pace = std::max(kindState(at).pace * 0.5, 0.01);
        g.bucket.onRejected(now, text.started, base, fairShare, g.fleetRate() > 0 || isLargeGroup(), random_);
        at.concurrencyLimit = std::max(2.0, 0.8 * at.concurrencyLimit);
    } else if (e.status == SubmitStatus::unreachable) {
        at.connectFailedAt = now, kindState(at).idle.shorten(connections_.idleTimeout, false);
        at.concurrencyLimit = std::max(1.0, 0.7 * (at.inFlight.liveCount() + 1));
    }
    bool peerHealthy = false;  // a peer without overdue calls: then the failure is the endpoint's own
    for (uint32_t i : destination(at.core.destination).endpoints) {
        const Endpoint& f = endpoints_[i];
        double age = f.inFlight.liveCount() <= 0 ? 0
                     : (now - std::max(*f.inFlight.firstLive(), f.deliveredAt)).inSeconds();
        peerHealthy |= &f != &at && f.core.group == at.core.group && f.core.usable() && f.failures == 0 &&
                 age < overdueAfter(g, load);
    }
    bool sure = ++at.failures > (e.status == SubmitStatus::unreachable ? 2 : 1) || e.status == SubmitStatus::timeout;
    if (e.status != SubmitStatus::overloaded && peerHealthy && at.deliveredAt < text.started)
        return sure ? demote(now, at) : void();
    g.outage.onFailure(now, text.started, e.status, e.retryAfter, fairShare, isLargeGroup(), coldStart_, random_);
    if (g.outage.phase == Phase::down) g.bucket.tokens = 0, g.bucket.refilledAt = now;
}

}  // namespace petrelpond::policy
