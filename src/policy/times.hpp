// How long calls take, and how long a connection may lie idle.
#pragma once

#include <algorithm>

#include "petrelpond/time.hpp"

namespace petrelpond::policy {

// A high quantile, and a mean that counts calls still out by their age, so that silence shows early.
struct AnswerTimes {
    double high = 0, slowest = 0, sum = 0, weight = 0;  // slowest: of those delivered lately
    int count = 0;

    void add(Span took, bool delivered) {
        double s = std::max(took.inSeconds(), 0.001);
        if (delivered) slowest = std::max(0.98 * slowest, s);
        high = count == 0 ? 2 * s : high * (s > high ? 1.36 : 0.96);
        sum = 0.85 * sum + s, weight = 0.85 * weight + 1, ++count;
    }
    double mean(double ageOfThoseOut, double unknown) const {
        return (sum + ageOfThoseOut + 0.5 * unknown) / (weight + 0.5);
    }
};

// How long connections to a kind of endpoint lie idle: less where they die unseen and where those of hundreds
// fill its table (the many start with two's). Creeps up. Harm: more handshakes.
struct IdleBound {
    IdleBound(Span idle, int senders, bool many)
        : span(many ? idle * (2.0 / senders) : Span::seconds(300)), start(span) {}
    bool brokeAfter(Span idle) {
        if (idle < Span::millis(500) || idle > Span::seconds(300)) return false;
        if (++breaks >= 3) span = std::min(span, idle * 0.9), growth = 1.005;
        return true;
    }
    // A crash looks the same, so one that does not deliver counts only against a span still growing.
    void noneHad(Span idle, bool delivers) {
        if (!delivers && (growth < 1.01 || span >= idle)) return;
        span = std::min({span * 0.5, idle * 0.5, growth > 1.01 ? start : idle}), growth = 1.005;
    }
    void ease() {  // four times a second
        breaks = std::max(0.0, breaks - 0.02);
        if (breaks < 3) span = std::min(span * growth + Span::micros(50), Span::seconds(300));
    }

    Span span, start;
    double breaks = 0, growth = 1.03;  // fast until the first connection that could not be had
};

}  // namespace petrelpond::policy
