// Statistics of answer times, and the idle time-out of connections.
#pragma once

#include <algorithm>

#include "petrelpond/time.hpp"

namespace petrelpond::policy {

// A high quantile, and a mean that counts calls in flight by their age, so that a silent endpoint shows early.
struct AnswerTimes {
    double highQuantile = 0, slowestDelivered = 0, sum = 0, weight = 0;  // slowestDelivered: decays by delivery
    int count = 0;

    void add(Span took, bool delivered) {
        double s = std::max(took.inSeconds(), 0.001);
        if (delivered) slowestDelivered = std::max(0.98 * slowestDelivered, s);
        highQuantile = count == 0 ? 2 * s : highQuantile * (s > highQuantile ? 1.36 : 0.96);
        sum = 0.85 * sum + s, weight = 0.85 * weight + 1, ++count;
    }
    double mean(double inFlightAge, double prior) const {
        return (sum + inFlightAge + 0.5 * prior) / (weight + 0.5);
    }
};

// How long connections to a kind of endpoint may stay idle: shorter where idle ones break unnoticed or where hundreds
// of senders fill its connection table (they start at 2/senders of it). Grows slowly. Drawback: more handshakes.
struct IdleTimeout {
    IdleTimeout(Span idle, int senders, bool isLargeGroup)
        : timeout(isLargeGroup ? idle * (2.0 / senders) : Span::seconds(300)), initial(timeout) {}
    bool onBrokenAfter(Span idle) {
        if (idle < Span::millis(500) || idle > Span::seconds(300)) return false;
        if (++breaks >= 3) timeout = std::min(timeout, idle * 0.9), growth = 1.005;
        return true;
    }
    // A crash looks the same, so without deliveries it counts only while the time-out is still growing fast.
    void shorten(Span idle, bool delivers) {
        if (!delivers && (growth < 1.01 || timeout >= idle)) return;
        timeout = std::min({timeout * 0.5, idle * 0.5, growth > 1.01 ? initial : idle}), growth = 1.005;
    }
    void relax() {  // called four times a second
        breaks = std::max(0.0, breaks - 0.02);
        if (breaks < 3) timeout = std::min(timeout * growth + Span::micros(50), Span::seconds(300));
    }

    Span timeout, initial;
    double breaks = 0, growth = 1.03;  // fast until the first failed connect
};

}  // namespace petrelpond::policy
