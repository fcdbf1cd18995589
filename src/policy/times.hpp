#pragma once
#include <algorithm>
#include "petrelpond/time.hpp"
namespace petrelpond::policy {
struct AnswerTimes {
    double high = 0, slowest = 0, sum = 0, weight = 0;
    int count = 0;
    void add(Span took, bool delivered) {
        double s = std::max(took.inSeconds(), 0.001);
        if (delivered) slowest = std::max(0.98 * slowest, s);
        high = count == 0 ? 2 * s : high * (s > high ? 1.36 : 0.96);
        sum = 0.85 * sum + s, weight = 0.85 * weight + 1, ++count;
    }
};
}
