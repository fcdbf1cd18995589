// A token bucket, and the random source that keeps senders from acting in step.
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

// Holds one token at most. It limits nothing until a rejection as overloaded or a requested wait activates it.
struct TokenBucket {
    bool limitedSince(Instant started) const { return limited && started >= limitedAt; }
    // A call that started before the last cut says nothing about the reduced rate. The fair share is a floor.
    void onRejected(Instant now, Instant started, double base, double fairShare, bool known, Random& random) {
        startLimiting(now, base, random);
        if (started < lastCutAt) return;
        // Rejected again at its fair share with no delivery in between: the limit is lower than the listed one.
        if (!deliveredSinceCut && rate <= fairShare * trust) trust = std::max(0.7 * trust, 0.1);
        deliveredSinceCut = false;
        rate = std::max(rate / 2, known ? 0.95 * fairShare * trust : 1.0);
        lastCutAt = lastRaisedAt = now;
    }
    void onRetryAfter(Instant now, Instant until, double base, bool thinShare, Random& random) {
        startLimiting(now, base, random);
        // The smaller the fair share, the more senders may be waiting for the same moment.
        Span spread = thinShare ? (until - now) * random.uniform(0, 1) : Span();
        nextTokenAt = std::max(nextTokenAt, until + jitter(random) + spread);
    }
    // A busy sender may use what idle ones leave: deliveries raise its rate, above its fair share in small steps.
    // A reported unused share is used at once, as a small fair share grows slowly. Drawback: all senders take it.
    void onDelivered(Instant now, double fairShare, double ceiling, double left) {
        deliveredSinceCut = true;
        if (!limited || now - lastRaisedAt < Span::seconds(1)) return;
        trust = std::min(1.0, std::max(trust + 0.03, left));
        rate = std::max(rate, fairShare * left);
        rate = std::min(rate * (rate < fairShare * trust ? 1.25 : 1.05), std::max(ceiling, 1.0));
        lastRaisedAt = now;
    }
    // Whether a call may start; the caller takes the token. `cap` (of a recovering group) limits the rate too. A wait
    // is 1 us at least, as one of zero would be rechecked at the same instant forever. A rate that grew past 100,000
    // per second, because no limit is known, deactivates the bucket. Drawback: a limit above that is not kept.
    bool hasToken(Instant now, double cap, Random& random) {
        if (limited && (rate > 1e5 || now - std::max(heldAt, nextTokenAt) > Span::seconds(10))) *this = TokenBucket();
        if (!limited && cap <= 0) return true;
        double pace = limited ? rate : cap;
        if (cap > 0) pace = std::min(pace, cap);
        if (now < nextTokenAt) return false;
        tokens = std::min(1.0, tokens + (now - refilledAt).inSeconds() * pace), refilledAt = now;
        if (tokens >= 1) return true;
        nextTokenAt = now + std::max(Span::seconds((1 - tokens) / pace) + jitter(random), Span::micros(1));
        return heldAt = now, false;
    }

    // A rejection doesn't tell how full the token was; with a small fair share it may be anywhere between 0 and 1.
    void startLimiting(Instant now, double base, Random& random) {
        heldAt = now;
        if (limited) return;
        limited = true, rate = base, tokens = base < 0.5 ? random.uniform(0, 1) : 0;
        refilledAt = lastRaisedAt = limitedAt = now;
    }
    Span jitter(Random& random) const {
        return Span::seconds(random.uniform(0.05, 0.25) * std::min(1.0, rate > 0 ? 1 / rate : 1.0));
    }

    bool limited = false, deliveredSinceCut = true;
    double rate = 0, tokens = 1, trust = 1;
    Instant refilledAt = Instant::longAgo(), lastRaisedAt, limitedAt, lastCutAt = Instant::longAgo();
    Instant nextTokenAt = Instant::longAgo(), heldAt = Instant::longAgo();
};

}  // namespace petrelpond::policy
