// What the end of a call tells of its endpoint and its place.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::recordResult(Instant now, const Text& text, const SubmitResult& e) {
    Endpoint& at = endpoints_[text.endpoint.value];
    LimitGroup& g = groups_[at.core.group];
    if (e.reportedLimit) g.reportedRate = *e.reportedLimit;
    destination(text.arrival.destination).lastUsedAt = at.lastUsedAt = now;
    Call& call = calls_[text.call];
    bool first = call.ended++ == 0;  // a call's texts share its fate: it counts once
    double load = call.load;
    if (--call.texts == 0) {
        calls_.erase(text.call), --callsInFlight_, waitQueues_.releaseSome(WaitReason::slot, kMaxDestinations);
        for (auto* out : {&g.inFlight, &at.inFlight}) out->starts.erase(out->starts.find(text.started));
        Span idle = kindState(at).idle.timeout;
        if (idle < connections_.idleTimeout) timers_.insert({now + idle, TimerKind::idleConnection, text.endpoint.value});
    }
    // A thin slice tells less of what to bind at than how bound calls at this kind of endpoint go.
    double fairShare = g.fairShare(now, senderGroup_.senders);
    double base = std::max(fairShare, isLargeGroup() ? kindState(at).pace : 0.0);
    if (e.retryAfter > Span()) {  // an answer to several may deliver some and tell to wait
        g.retryAfterUntil = std::max(g.retryAfterUntil, now + e.retryAfter);
        g.bucket.onRetryAfter(now, now + e.retryAfter, base, fairShare < 0.5, random_);
    }
    bool silent = e.status == SubmitStatus::cancelled || e.status == SubmitStatus::timeout;
    if (first && (now - text.started).inSeconds() > overdueAfter(g, load)) {
        if (e.status == SubmitStatus::delivered) overdueAnswerShare_ += 0.3 * (1 - overdueAnswerShare_);
        if (silent && g.outage.phase == Phase::normal) overdueAnswerShare_ *= 0.8;
    }
    if (!first || e.status == SubmitStatus::cancelled || e.status == SubmitStatus::notSent) return;
    // A quick break of an idle connection is the connection's trouble, not the place's.
    if (e.status == SubmitStatus::reset && kindState(at).idle.onBrokenAfter(text.started - at.idleSince)) return;
    // Refused on a new connection, without report and wait: its table of connections is full, which says
    // nothing of its limit. Also a proxy's own. Harm: a place too busy to report is found at the next.
    if (e.status == SubmitStatus::overloaded && e.newConnection && e.retryAfter <= Span() && !e.reportedRemaining && g.reportedRate > 0) {
        // Until what lies idle there, the others' as this sender's own, has closed.
        double pause = std::max(typicalCallTime_, kindState(at).idle.timeout.inSeconds());
        at.connectBackoffUntil = now + random_.jittered(Span::seconds(pause * std::pow(2, std::min(at.failuresInRow++, 3))));
        return at.connectFailedAt = now, kindState(at).idle.onConnectFailed(connections_.idleTimeout, true);
    }
    for (AnswerTimes* times : {&g.times, &at.times})
        if (e.status == SubmitStatus::delivered || (e.status == SubmitStatus::timeout && at.inFlight.latestAnsweredStart < text.started))
            times->add((now - text.started) * (1 / load), e.status == SubmitStatus::delivered);
    if (e.status == SubmitStatus::delivered) {
        typicalCallTime_ += 0.02 * ((now - text.started).inSeconds() / load - typicalCallTime_);
        at.probeRate = at.probeRate > 4 ? 0 : at.probeRate * 2;
        if (at.inFlight.liveCount() + 2 > at.concurrencyLimit) at.concurrencyLimit += 1 / at.concurrencyLimit;
        g.inFlight.lostAfter = at.inFlight.lostAfter = Span::seconds(overdueAfter(g, 1));
        for (auto* out : {&g.inFlight, &at.inFlight}) out->latestAnsweredStart = std::max(out->latestAnsweredStart, text.started);
        g.deliveries.add(now);
        retryCredit_ = std::min(retryCredit_ + 1, maxRetryCredit_), waitQueues_.releaseSome(WaitReason::retryCredit, 1);
        if (g.bucket.limitedSince(text.started)) kindState(at).pace = std::min(kindState(at).pace * 1.25, 0.5);
        bool known = g.fleetRate() > 0;
        g.bucket.onDelivered(now, known ? fairShare : 1e9, known ? g.fleetRate() : 1e9,
                           known ? std::min(e.reportedRemaining.value_or(0), 1.0) : 0);
        g.outage.onDelivered(now);
        if (now - at.connectFailedAt < Span::seconds(2)) kindState(at).idle.onConnectFailed(connections_.idleTimeout, true);
        at.lastDeliveredAt = now, at.failuresInRow = 0, at.connectFailedAt = Instant::longAgo();
        return;
    }
    if (e.status == SubmitStatus::overloaded) {
        if (g.bucket.limitedSince(text.started)) kindState(at).pace = std::max(kindState(at).pace * 0.5, 0.01);
        g.bucket.onRejected(now, text.started, base, fairShare, g.fleetRate() > 0 || isLargeGroup(), random_);
        at.concurrencyLimit = std::max(2.0, 0.8 * at.concurrencyLimit);
    } else if (e.status == SubmitStatus::unreachable) {
        at.connectFailedAt = now, kindState(at).idle.onConnectFailed(connections_.idleTimeout, false);
        at.concurrencyLimit = std::max(1.0, 0.7 * (at.inFlight.liveCount() + 1));
    }
    bool lives = false;  // a fellow, with no call overdue: then a miss is the endpoint's own trouble
    for (uint32_t i : destination(at.core.destination).endpoints) {
        const Endpoint& f = endpoints_[i];
        double age = f.inFlight.liveCount() <= 0 ? 0 : (now - std::max(*f.inFlight.firstLive(), f.lastDeliveredAt)).inSeconds();
        lives |= &f != &at && f.core.group == at.core.group && f.core.usable() && f.failuresInRow == 0 &&
                 age < overdueAfter(g, load);
    }
    bool sure = ++at.failuresInRow > (e.status == SubmitStatus::unreachable ? 2 : 1) || e.status == SubmitStatus::timeout;
    if (e.status != SubmitStatus::overloaded && lives && at.lastDeliveredAt < text.started)
        return sure ? demote(now, at) : void();
    g.outage.onFailure(now, text.started, e.status, e.retryAfter, fairShare, isLargeGroup(), coldStart_, random_);
    if (g.outage.phase == Phase::down) g.bucket.tokens = 0, g.bucket.refilledAt = now;
}

}  // namespace petrelpond::policy
