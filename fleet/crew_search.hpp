// Random schedules of partitions, losses, stops, kills and restarts over the crew's model, held against what must
// hold: views that only go forward, no member that answers held dead by most, all views alike after the last fault.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "petrelpond/time.hpp"

namespace petrelpond::fleet {

struct CrewSearch {
    uint64_t firstSeed = 1;
    long steps = 1000000;                        // inputs and due moments of cores, all schedules together
    int fewest = 3, most = 12;                   // members
    Span faults = Span::seconds(60);             // faults begin within that
    Span agreeWithin = Span::seconds(60);        // after the last one all views are alike
    Span answersFor = Span::seconds(40);         // so long undisturbed, and most must not hold it dead
    int findings = 5;                            // then it ends
};

struct CrewFindings {
    long steps = 0, schedules = 0;
    std::vector<std::string> violations;  // with seed, moment and whose view
    std::vector<double> agreedAfter;      // seconds, of each schedule
};

CrewFindings searchCrew(const CrewSearch& search);

}  // namespace petrelpond::fleet
