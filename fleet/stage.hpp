// A scenario played on sockets: partners, directory, platform and programs as stand-ins round real senders,
// under the eyes of the judge.
#pragma once

#include <functional>
#include <string>

#include "fleet/process.hpp"
#include "fleet/result.hpp"
#include "fleet/scenario.hpp"

namespace petrelpond::fleet {

struct StageOptions {
    Command sender;
    std::string folder;                                // the senders' folders are made in it
    std::function<void(const std::string&)> progress;  // a line a second; may be empty
};

// Throws std::runtime_error where the machine does not give what the scenario needs, or a sender does not
// come up.
RunResult playOnSockets(const Scenario& scenario, uint64_t seed, const StageOptions& options);

// What the stand-ins do with no sender between them: texts a second that the programs send straight to the
// partners, on one core, for so long.
struct SelfSpeed {
    double textsPerSecond = 0, cpuPerText = 0;  // microseconds
    Quantiles roundTrip;                        // milliseconds
    long texts = 0;
};
SelfSpeed measureSelf(int connections, Span lasts);

}  // namespace petrelpond::fleet
