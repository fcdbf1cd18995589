// A crew of real processes with faults between them, and what each believes of the others, look by look.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "fleet/links.hpp"
#include "fleet/process.hpp"
#include "src/crew/message.hpp"

namespace petrelpond::fleet {

struct CrewStep {
    enum class What { kill, start, startLost, stop, go, leave };
    Span at;
    What what = What::kill;
    int member = 0;
};

struct CrewPlay {
    int members = 5;
    CrewPlan plan;
    std::vector<LinkFault> links;
    std::vector<CrewStep> steps;
    Span lasts = Span::seconds(10), lookEvery = Span::millis(250);
    uint64_t seed = 1;
    Command sender;
    std::string folder;
};

// What one sender said of its crew at one look.
struct CrewView {
    bool answered = false;
    std::string phase;
    int health = 0;
    std::vector<std::optional<crew::State>> states;  // by member; none: not known there
    std::vector<std::string> says;
};

struct CrewLook {
    Instant at;
    std::vector<CrewView> views;
    std::vector<bool> runs;  // has a process that is not stopped
};

struct CrewRun {
    std::vector<CrewLook> looks;
    Instant allThere = Instant::never();  // all in the crew and known to all, from the start of the processes
    std::vector<std::vector<Links::Sum>> sums;  // from, to
    std::vector<SenderResult> used;
    double lateP999 = 0;  // of looks and faults, milliseconds
};

// Throws std::runtime_error where the senders do not come together within a minute; faults begin then.
CrewRun playCrew(const CrewPlay& play);

// Whether all that run agree on who is there: those that run alive, the others gone.
bool agrees(const CrewLook& look, std::string& why);

}  // namespace petrelpond::fleet
