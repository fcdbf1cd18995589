// What the end of a call tells of its endpoint and its place.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::noteCall(Instant now, const Text& text, const SubmitResult& e) {
    Endpoint& at = endpoints_[text.at.value];
    Place& p = places_[at.is.place];
    if (e.reportedLimit) p.reportedRate = *e.reportedLimit;
    destination(text.arrival.destination).usedAt = at.usedAt = now;
    Call& call = calls_[text.call];
    bool first = call.ended++ == 0;  // a call's texts share its fate: it counts once
    double load = call.load;
    if (--call.texts == 0) {
        calls_.erase(text.call), --callsOut_, parking_.release(Row::slot, kCompared);
        for (auto* out : {&p.out, &at.out}) out->starts.erase(out->starts.find(text.started));
        Span idle = sort(at).idle.span;
        if (idle < links_.idleTimeout) dues_.insert({now + idle, Falls::idle, text.at.value});
    }
    // A thin slice tells less of what to bind at than how bound calls at this kind of endpoint go.
    double slice = p.slice(now, crew_.senders);
    double base = std::max(slice, many() ? sort(at).pace : 0.0);
    if (e.retryAfter > Span()) {  // an answer to several may deliver some and tell to wait
        p.toldUntil = std::max(p.toldUntil, now + e.retryAfter);
        p.bucket.toldToWait(now, now + e.retryAfter, base, slice < 0.5, chance_);
    }
    bool silent = e.status == SubmitStatus::cancelled || e.status == SubmitStatus::timeout;
    if (first && (now - text.started).inSeconds() > overdueAfter(p, load)) {
        if (e.status == SubmitStatus::delivered) hope_ += 0.3 * (1 - hope_);
        if (silent && p.guard.phase == Phase::clear) hope_ *= 0.8;
    }
    if (!first || e.status == SubmitStatus::cancelled || e.status == SubmitStatus::notSent) return;
    // A quick break of an idle connection is the connection's trouble, not the place's.
    if (e.status == SubmitStatus::reset && sort(at).idle.brokeAfter(text.started - at.idleAt)) return;
    // Refused on a new connection, without report and wait: its table of connections is full, which says
    // nothing of its limit. Also a proxy's own. Harm: a place too busy to report is found at the next.
    if (e.status == SubmitStatus::overloaded && e.newConnection && e.retryAfter <= Span() && !e.reportedRemaining && p.reportedRate > 0) {
        // Until what lies idle there, the others' as this sender's own, has closed.
        double pause = std::max(usualTime_, sort(at).idle.span.inSeconds());
        at.doorAt = now + chance_.about(Span::seconds(pause * std::pow(2, std::min(at.misses++, 3))));
        return at.noneHadAt = now, sort(at).idle.noneHad(links_.idleTimeout, true);
    }
    for (AnswerTimes* times : {&p.times, &at.times})
        if (e.status == SubmitStatus::delivered || (e.status == SubmitStatus::timeout && at.out.answered < text.started))
            times->add((now - text.started) * (1 / load), e.status == SubmitStatus::delivered);
    if (e.status == SubmitStatus::delivered) {
        usualTime_ += 0.02 * ((now - text.started).inSeconds() / load - usualTime_);
        at.trickle = at.trickle > 4 ? 0 : at.trickle * 2;
        if (at.out.count() + 2 > at.reach) at.reach += 1 / at.reach;
        p.out.late = at.out.late = Span::seconds(overdueAfter(p, 1));
        for (auto* out : {&p.out, &at.out}) out->answered = std::max(out->answered, text.started);
        p.served.add(now);
        credit_ = std::min(credit_ + 1, mostCredit_), parking_.release(Row::pay, 1);
        if (p.bucket.pacedSince(text.started)) sort(at).pace = std::min(sort(at).pace * 1.25, 0.5);
        bool known = p.fleetRate() > 0;
        p.bucket.succeeded(now, known ? slice : 1e9, known ? p.fleetRate() : 1e9,
                           known ? std::min(e.reportedRemaining.value_or(0), 1.0) : 0);
        p.guard.delivered(now);
        if (now - at.noneHadAt < Span::seconds(2)) sort(at).idle.noneHad(links_.idleTimeout, true);
        at.deliveredAt = now, at.misses = 0, at.noneHadAt = Instant::longAgo();
        return;
    }
    if (e.status == SubmitStatus::overloaded) {
        if (p.bucket.pacedSince(text.started)) sort(at).pace = std::max(sort(at).pace * 0.5, 0.01);
        p.bucket.refused(now, text.started, base, slice, p.fleetRate() > 0 || many(), chance_);
        at.reach = std::max(2.0, 0.8 * at.reach);
    } else if (e.status == SubmitStatus::unreachable) {
        at.noneHadAt = now, sort(at).idle.noneHad(links_.idleTimeout, false);
        at.reach = std::max(1.0, 0.7 * (at.out.count() + 1));
    }
    bool lives = false;  // a fellow, with no call overdue: then a miss is the endpoint's own trouble
    for (uint32_t i : destination(at.is.destination).endpoints) {
        const Endpoint& f = endpoints_[i];
        double age = f.out.count() <= 0 ? 0 : (now - std::max(*f.out.live(), f.deliveredAt)).inSeconds();
        lives |= &f != &at && f.is.place == at.is.place && f.is.usable() && f.misses == 0 &&
                 age < overdueAfter(p, load);
    }
    bool sure = ++at.misses > (e.status == SubmitStatus::unreachable ? 2 : 1) || e.status == SubmitStatus::timeout;
    if (e.status != SubmitStatus::overloaded && lives && at.deliveredAt < text.started)
        return sure ? setAside(now, at) : void();
    p.guard.missed(now, text.started, e.status, e.retryAfter, slice, many(), cold_, chance_);
    if (p.guard.phase == Phase::down) p.bucket.tokens = 0, p.bucket.refilledAt = now;
}

}  // namespace petrelpond::policy
