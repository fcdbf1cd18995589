// Records of the texts held, of the calls that carry them, and of what falls due.
#pragma once

#include <list>
#include <tuple>

#include "petrelpond/sender.hpp"

namespace petrelpond::index {

// What falls due: a look round, a text's last chance of an answer, an idle connection's end.
enum class TimerKind { recheck, textExpiry, idleConnection };
using Timer = std::tuple<Instant, TimerKind, uint32_t>;

struct Text {
    Arrival arrival;
    const Product* product = nullptr;
    Instant firstMayHaveRun = Instant::never(), started;
    ZoneIndex ranInZone;
    EndpointIndex endpoint;
    int64_t call = 0;
    int submits = 0;
    std::list<TextIndex>::iterator queuePosition;  // where it waits
    // As an earlier life of the sender left it.
    void restoreFromArrival() {
        submits = arrival.submits, ranInZone = arrival.ranInZone, mayHaveRun = arrival.mayHaveRunSince.has_value();
        firstMayHaveRun = arrival.mayHaveRunSince.value_or(Instant::never());
    }
    bool queued = false, inFlight = false, withdrawn = false, mayHaveRun = false, cancelRequested = false;
};

struct Call {
    int texts = 0, ended = 0;  // ended: of its texts
    double load = 1;           // beside a call with one text; each further one adds a little (ours)
};

}  // namespace petrelpond::index
