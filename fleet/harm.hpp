// What a trouble does to the fleet as a whole, by the number of senders and the size of a surge.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet/compare.hpp"
#include "fleet/result.hpp"

namespace petrelpond::fleet {

// The time in which a scenario's troubles and surges lie.
struct Trigger {
    Span from, until;
};

struct HarmRow {
    std::string scenario;
    int senders = 0;
    double surge = 1;
    Trigger trigger;
    std::vector<RunResult> runs, best;  // of the same seeds; best: the oracle's
};

Trigger triggerOf(const Scenario& scenario);
// Seconds from the trigger's end until each second's service stays within 0.05 of what it was before the trigger;
// nothing where it does not come back, or nothing came before.
std::optional<double> backAfter(const RunResult& run, const Trigger& trigger);

// The scenario with another number of senders, and its surges of that size.
Scenario withSize(Scenario scenario, int senders, double surge);
std::string harmTable(const std::vector<HarmRow>& rows);  // Markdown

}  // namespace petrelpond::fleet
