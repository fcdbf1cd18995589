// Which texts may be submitted or resubmitted, and the final answer of those that may not.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::recordMayHaveRun(Instant now, Text& t, SubmitStatus status) {
    if (status != SubmitStatus::error && status != SubmitStatus::timeout && status != SubmitStatus::reset &&
        status != SubmitStatus::cancelled) return;
    if (!t.mayHaveRun) t.firstMayHaveRun = t.started, t.ranInZone = endpoints_[t.endpoint.value].core.zone;
    t.mayHaveRun = true;
    if (inOrder(t) && status != SubmitStatus::error) holdKey(now, t);
}

void Logic::holdKey(Instant now, const Text& t) {
    Instant until = now + connections_.keyHoldTime;
    keyOrder_.hold(*t.arrival.key, t.arrival.text, until), timers_.insert({until, TimerKind::recheck, kNone});
}

bool Logic::maySubmitAgain(Instant now, const Text& t) const {
    if (limits_.maxSubmits > 0 && t.submits >= limits_.maxSubmits) return false;
    if (now + answerMargin() >= t.arrival.validUntil) return false;
    if (!t.mayHaveRun || t.product->effect == Effect::idempotent) return true;
    return t.product->effect == Effect::idempotencyKey &&
           now + answerMargin() < t.firstMayHaveRun + t.product->dedupWindow;
}

bool Logic::maySubmitTo(const Text& t, Instant now, const Endpoint& e) const {
    if (!maySubmitAgain(now, t)) return false;
    bool zoneBound = t.mayHaveRun && t.product->effect == Effect::idempotencyKey && t.product->dedupPerZone;
    if (zoneBound && e.core.zone != t.ranInZone) return false;
    return !inOrder(t) || keyOrder_.maySubmit(*t.arrival.key, t.arrival.text, now);
}

// Cutting a call that may be repeated leaves time for a retry. Bounded, as time-outs raise the times it is set by.
Span Logic::timeout(Instant now, const Text& t, const LimitGroup& g, double load) const {
    if (t.product->effect == Effect::nonIdempotent) return Span();
    double sla = t.product->sla.inSeconds();
    double cut = std::clamp(4 * g.times.highQuantile * load, sla, std::max(3 * sla, g.times.slowestDelivered * load));
    if ((t.arrival.validUntil - now).inSeconds() < 1.5 * cut) return Span();
    return Span::seconds(cut);
}

Decision Logic::finalAnswer(Instant now, Text& t) {
    Decision d = Undeliverable{t.arrival.text};
    bool expired = now + answerMargin() >= t.arrival.validUntil;
    if (mayNack(t)) d = Nack{t.arrival.text, expired ? Span() : limits_.maxNackPause};
    dequeue(t), removeText(t.arrival.text);
    return d;
}

}  // namespace petrelpond::policy
