#include "system/scaler/apportion.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numeric>

namespace petrelpond::scaler {

namespace {

// A sender is given slots while it lacks more than this.
constexpr double kLeastLack = 0.5;

uint64_t slotsToCover(double lack) {
    return lack > kLeastLack ? static_cast<uint64_t>(std::ceil(lack - kLeastLack)) : 0;
}

// The lack that is left at each sender that gets any slots, if `free` slots are not enough for all of them.
// `descending`: positive lacks, the largest first.
double commonLack(const std::vector<double>& descending, double free) {
    double sum = 0;
    for (size_t i = 0; i < descending.size(); ++i) {
        sum += descending[i];
        const double level = (sum - free) / static_cast<double>(i + 1);
        if (i + 1 == descending.size() || level >= descending[i + 1]) return std::max(level, 0.0);
    }
    return 0;
}

// Hands out `left` slots, one to each sender, to those first that still lack most.
void giveRemainder(const std::vector<double>& lacks, uint64_t left, std::vector<uint64_t>& given) {
    const auto stillLacks = [&](size_t i) { return lacks[i] - static_cast<double>(given[i]); };
    std::vector<size_t> order(lacks.size());
    std::iota(order.begin(), order.end(), size_t{0});
    std::stable_sort(order.begin(), order.end(),
                     [&](size_t a, size_t b) { return stillLacks(a) > stillLacks(b); });
    for (const size_t i : order) {
        if (left == 0 || stillLacks(i) <= kLeastLack) return;
        ++given[i];
        --left;
    }
}

}  // namespace

std::vector<uint64_t> apportionSlots(const std::vector<double>& lacks, uint64_t free) {
    std::vector<uint64_t> given(lacks.size(), 0);
    double wanted = 0;
    for (size_t i = 0; i < lacks.size(); ++i) {
        given[i] = slotsToCover(lacks[i]);
        wanted += static_cast<double>(given[i]);
    }
    if (wanted <= static_cast<double>(free)) return given;

    std::vector<double> descending;
    for (const double lack : lacks)
        if (lack > 0) descending.push_back(lack);
    std::sort(descending.begin(), descending.end(), std::greater<>());
    const double level = commonLack(descending, static_cast<double>(free));
    uint64_t left = free;
    for (size_t i = 0; i < lacks.size(); ++i) {
        const double share = std::floor(std::max(0.0, lacks[i] - level));
        given[i] = std::min(left, static_cast<uint64_t>(share));
        left -= given[i];
    }
    giveRemainder(lacks, left, given);
    return given;
}

}  // namespace petrelpond::scaler
