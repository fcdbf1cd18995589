// What may have run, what may go, or go again, and what is answered where nothing may.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::noteRun(Instant now, Text& t, SubmitStatus end) {
    if (end != SubmitStatus::error && end != SubmitStatus::timeout && end != SubmitStatus::reset && end != SubmitStatus::cancelled) return;
    if (!t.mayHaveRun) t.firstMayHaveRun = t.started, t.ranIn = endpoints_[t.at.value].is.zone;
    t.mayHaveRun = true;
    if (inOrder(t) && end != SubmitStatus::error) restKey(now, t);
}

void Logic::restKey(Instant now, const Text& t) {
    Instant until = now + links_.keyHoldTime;
    order_.rest(*t.arrival.key, t.arrival.text, until), dues_.insert({until, Falls::look, kNone});
}

bool Logic::maySubmitAgain(Instant now, const Text& t) const {
    if (room_.maxSubmits > 0 && t.submits >= room_.maxSubmits) return false;
    if (now + lastCall() >= t.arrival.validUntil) return false;
    if (!t.mayHaveRun || t.product->effect == Effect::idempotent) return true;
    return t.product->effect == Effect::idempotencyKey &&
           now + lastCall() < t.firstMayHaveRun + t.product->dedupWindow;
}

bool Logic::mayGo(const Text& t, Instant now, const Endpoint& e) const {
    if (!maySubmitAgain(now, t)) return false;
    bool tied = t.mayHaveRun && t.product->effect == Effect::idempotencyKey && t.product->dedupPerZone;
    if (tied && e.is.zone != t.ranIn) return false;
    return !inOrder(t) || order_.mayGo(*t.arrival.key, t.arrival.text, now);
}

// Cutting what may be sent again buys a retry. Bounded, as time-outs raise what they are set by.
Span Logic::timeout(Instant now, const Text& t, const Place& p, double load) const {
    if (t.product->effect == Effect::nonIdempotent) return Span();
    double sla = t.product->sla.inSeconds();
    double cut = std::clamp(4 * p.times.high * load, sla, std::max(3 * sla, p.times.slowest * load));
    if ((t.arrival.validUntil - now).inSeconds() < 1.5 * cut) return Span();
    return Span::seconds(cut);
}

Decision Logic::answer(Instant now, Text& t) {
    Decision d = Undeliverable{t.arrival.text};
    bool over = now + lastCall() >= t.arrival.validUntil;
    if (mayNack(t)) d = Nack{t.arrival.text, over ? Span() : room_.maxNackPause};
    unqueue(t), forget(t.arrival.text);
    return d;
}

}  // namespace petrelpond::policy
