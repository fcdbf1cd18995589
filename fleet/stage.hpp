// A scenario played on sockets: partners, directory, platform and programs as stand-ins round real senders,
// under the eyes of the judge.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "fleet/process.hpp"
#include "fleet/result.hpp"
#include "fleet/scenario.hpp"

namespace petrelpond::fleet {

// What a calm run shows of the costs of sockets, raw.
struct CostSamples {
    struct Called {  // a text's first submit came to its endpoint
        Instant planned, sentAt, at;
        bool fresh = false;  // by a new connection
    };
    std::vector<double> pings, entries;  // milliseconds: of GET /alive; from handing in to 202
    std::vector<Called> called;
};

struct StageOptions {
    CostSamples* samples = nullptr;  // taken if given
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
