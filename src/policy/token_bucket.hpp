// The design's one-token bucket, and the chance that spreads what would else happen in step.
#pragma once

#include <algorithm>
#include <random>

#include "petrelpond/time.hpp"

namespace petrelpond::policy {

struct Random {
    std::mt19937 engine;
    double uniform(double low, double high) { return low + (high - low) * (engine() / 4294967296.0); }
    Span jittered(Span s) { return s * uniform(0.75, 1.25); }
};

// The design's bucket: one token, bound only by a refusal as full or a told wait.
struct TokenBucket {
    bool limitedSince(Instant started) const { return limited && started >= limitedAt; }
    // A call that left before the last cut says nothing of the cut rate; the floor under the slice is ours.
    void onRejected(Instant now, Instant started, double base, double fairShare, bool known, Random& random) {
        startLimiting(now, base, random);
        if (started < lastCutAt) return;
        // Refused again at its slice with nothing delivered between: the limit is lower than listed.
        if (!deliveredSinceCut && rate <= fairShare * rateTrust) rateTrust = std::max(0.7 * rateTrust, 0.1);
        deliveredSinceCut = false;
        rate = std::max(rate / 2, known ? 0.95 * fairShare * rateTrust : 1.0);
        lastCutAt = lastRaisedAt = now;
    }
    void onRetryAfter(Instant now, Instant until, double base, bool thinShare, Random& random) {
        startLimiting(now, base, random);
        // The thinner the slice, the more may be waiting for the same moment.
        Span spread = thinShare ? (until - now) * random.uniform(0, 1) : Span();
        nextTokenAt = std::max(nextTokenAt, until + jitter(random) + spread);
    }
    // A busy sender may use what idle ones leave, as its successes show; past its slice by small steps.
    // A reported share that is left is trusted at once, as a thin slice climbs slowly. Harm: all take it.
    void onDelivered(Instant now, double fairShare, double ceiling, double left) {
        deliveredSinceCut = true;
        if (!limited || now - lastRaisedAt < Span::seconds(1)) return;
        rateTrust = std::min(1.0, std::max(rateTrust + 0.03, left));
        rate = std::max(rate, fairShare * left);
        rate = std::min(rate * (rate < fairShare * rateTrust ? 1.25 : 1.05), std::max(ceiling, 1.0));
        lastRaisedAt = now;
    }
    // The caller takes the token; a cap from outside (a cold place's) paces by it. A wait is a microsecond
    // or more: one that came to none was looked for in the same instant for ever. A rate that climbed past
    // 100,000, as no limit is known, holds nothing back. Harm: a limit beyond that is not kept.
    bool hasToken(Instant now, double cap, Random& random) {
        if (limited && (rate > 1e5 || now - std::max(lastHeldAt, nextTokenAt) > Span::seconds(10))) *this = TokenBucket();
        if (!limited && cap <= 0) return true;
        double pace = limited ? rate : cap;
        if (cap > 0) pace = std::min(pace, cap);
        if (now < nextTokenAt) return false;
        tokens = std::min(1.0, tokens + (now - refilledAt).inSeconds() * pace), refilledAt = now;
        if (tokens >= 1) return true;
        nextTokenAt = now + std::max(Span::seconds((1 - tokens) / pace) + jitter(random), Span::micros(1));
        return lastHeldAt = now, false;
    }

    // A refusal does not say where in its turn a sender was: with a thin slice it may be anywhere.
    void startLimiting(Instant now, double base, Random& random) {
        lastHeldAt = now;
        if (limited) return;
        limited = true, rate = base, tokens = base < 0.5 ? random.uniform(0, 1) : 0;
        refilledAt = lastRaisedAt = limitedAt = now;
    }
    Span jitter(Random& random) const {
        return Span::seconds(random.uniform(0.05, 0.25) * std::min(1.0, rate > 0 ? 1 / rate : 1.0));
    }

    bool limited = false, deliveredSinceCut = true;
    double rate = 0, tokens = 1, rateTrust = 1;
    Instant refilledAt = Instant::longAgo(), lastRaisedAt, limitedAt, lastCutAt = Instant::longAgo();
    Instant nextTokenAt = Instant::longAgo(), lastHeldAt = Instant::longAgo();
};

}  // namespace petrelpond::policy
