// The design's one-token bucket, and the chance that spreads what would else happen in step.
#pragma once

#include <algorithm>
#include <random>

#include "petrelpond/time.hpp"

namespace petrelpond::policy {

struct Chance {
    std::mt19937 source;
    double between(double low, double high) { return low + (high - low) * (source() / 4294967296.0); }
    Span about(Span s) { return s * between(0.75, 1.25); }
};

// The design's bucket: one token, bound only by a refusal as full or a told wait.
struct Bucket {
    bool pacedSince(Instant started) const { return bound && started >= boundAt; }
    // A call that left before the last cut says nothing of the cut rate; the floor under the slice is ours.
    void refused(Instant now, Instant started, double base, double slice, bool known, Chance& chance) {
        bind(now, base, chance);
        if (started < cutAt) return;
        // Refused again at its slice with nothing delivered between: the limit is lower than listed.
        if (!delivered && rate <= slice * trust) trust = std::max(0.7 * trust, 0.1);
        delivered = false;
        rate = std::max(rate / 2, known ? 0.95 * slice * trust : 1.0);
        cutAt = raisedAt = now;
    }
    void toldToWait(Instant now, Instant until, double base, bool thin, Chance& chance) {
        bind(now, base, chance);
        // The thinner the slice, the more may be waiting for the same moment.
        Span apart = thin ? (until - now) * chance.between(0, 1) : Span();
        askAt = std::max(askAt, until + jitter(chance) + apart);
    }
    // A busy sender may use what idle ones leave, as its successes show; past its slice by small steps.
    // A reported share that is left is trusted at once, as a thin slice climbs slowly. Harm: all take it.
    void succeeded(Instant now, double slice, double ceiling, double left) {
        delivered = true;
        if (!bound || now - raisedAt < Span::seconds(1)) return;
        trust = std::min(1.0, std::max(trust + 0.03, left));
        rate = std::max(rate, slice * left);
        rate = std::min(rate * (rate < slice * trust ? 1.25 : 1.05), std::max(ceiling, 1.0));
        raisedAt = now;
    }
    // The caller takes the token; a cap from outside (a cold place's) paces by it. A wait is a microsecond
    // or more: one that came to none was looked for in the same instant for ever. A rate that climbed past
    // 100,000, as no limit is known, holds nothing back. Harm: a limit beyond that is not kept.
    bool ready(Instant now, double cap, Chance& chance) {
        if (bound && (rate > 1e5 || now - std::max(heldAt, askAt) > Span::seconds(10))) *this = Bucket();
        if (!bound && cap <= 0) return true;
        double pace = bound ? rate : cap;
        if (cap > 0) pace = std::min(pace, cap);
        if (now < askAt) return false;
        tokens = std::min(1.0, tokens + (now - refilledAt).inSeconds() * pace), refilledAt = now;
        if (tokens >= 1) return true;
        askAt = now + std::max(Span::seconds((1 - tokens) / pace) + jitter(chance), Span::micros(1));
        return heldAt = now, false;
    }

    // A refusal does not say where in its turn a sender was: with a thin slice it may be anywhere.
    void bind(Instant now, double base, Chance& chance) {
        heldAt = now;
        if (bound) return;
        bound = true, rate = base, tokens = base < 0.5 ? chance.between(0, 1) : 0;
        refilledAt = raisedAt = boundAt = now;
    }
    Span jitter(Chance& chance) const {
        return Span::seconds(chance.between(0.05, 0.25) * std::min(1.0, rate > 0 ? 1 / rate : 1.0));
    }

    bool bound = false, delivered = true;
    double rate = 0, tokens = 1, trust = 1;
    Instant refilledAt = Instant::longAgo(), raisedAt, boundAt, cutAt = Instant::longAgo();
    Instant askAt = Instant::longAgo(), heldAt = Instant::longAgo();
};

}  // namespace petrelpond::policy
