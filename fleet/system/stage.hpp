// A play of the whole system: real processes on loopback, stand-ins of everything round them, faults, the
// judge.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "fleet/system/clients.hpp"
#include "fleet/system/operators.hpp"
#include "fleet/system/plan.hpp"
#include "fleet/system/platform.hpp"
#include "fleet/system/replacements.hpp"

namespace petrelpond::range {

struct StageOptions {
    std::string programs, folder;  // where the programs lie; a scratch folder of the play's own
    bool quiet = false;
    std::string defect;  // of the cores, broken on purpose: consensus's name of it
};

struct Outcome {
    std::string name;
    uint64_t seed = 0;
    double seconds = 0;
    std::vector<std::string> flowNames;
    std::vector<FlowResult> flows;
    std::vector<Breach> breaches;
    std::array<int, kRules> broken{};
    std::vector<ChangeResult> changes;
    std::vector<ReplacementResult> replacements;
    std::vector<std::pair<double, std::string>> faults;  // second, words
    PlatformCounts platform;
    int64_t readVersion = 0;
    int reads = 0, readWell = 0, ownEnds = 0, fileLosses = 0;
    std::map<std::string, std::pair<int, int>> strikes;  // by kind: how often, at how many machines
    double restOut = 0, restIn = 0;                      // bytes a second of a sender at rest; 0: not taken
    long connections = 0;
    double cpuSeconds = 0, memoryMb = 0, stageLagMs = 0;
    Instant began;
    bool interrupted = false;
    long asked() const;
    long served() const;
    bool fine() const { return breaches.empty(); }
};

bool countsAtRest(const Plan&);  // long enough without traffic at first to count bytes then
Outcome play(const Plan&, const StageOptions&);
std::string inWords(const Outcome&);

}  // namespace petrelpond::range
