// Two settings or two builds on the same seeds, and what the difference between them is worth.
#pragma once

#include <string>
#include <vector>

#include "fleet/result.hpp"

namespace petrelpond::fleet {

struct Interval {
    double middle = 0, low = 0, high = 0;
    bool shows() const { return low > 0 || high < 0; }  // a difference
};

// The mean of paired differences with its 95% interval by bootstrap over the pairs; the same input gives the
// same interval. Fewer than three pairs show nothing.
Interval bootstrap(const std::vector<double>& differences, uint32_t seed = 1);

// Where one more run would lie with 95%, as far as these say: their mean and spread, by Student's
// distribution.
Interval nextRun(const std::vector<double>& values);

struct Comparison {
    std::string measure, unit;
    double a = 0, b = 0;  // means
    Interval difference;  // b - a
    bool moreIsBetter = true;
};
// Pairs runs of one seed; throws std::runtime_error where no seed is in both.
std::vector<Comparison> compare(const std::vector<RunResult>& a, const std::vector<RunResult>& b);
std::string inWords(const std::vector<Comparison>& all, size_t pairs);

// Measured service on sockets against the model's own error bars, trial by trial.
struct Trial {
    uint64_t seed = 0;
    double measured = 0;
    Interval predicted;
    bool within() const { return measured >= predicted.low && measured <= predicted.high; }
};

}  // namespace petrelpond::fleet
