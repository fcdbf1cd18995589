// Records of held texts, of the calls that carry them, and of timers.
#pragma once

#include <list>
#include <tuple>

#include "petrelpond/sender.hpp"

namespace petrelpond::index {

// Reconsider a destination, give a text its final answer before it expires, or close an endpoint's idle connections.
enum class TimerKind { recheck, textExpiry, idleClose };
using Timer = std::tuple<Instant, TimerKind, uint32_t>;

struct Text {
    Arrival arrival;
    const Product* product = nullptr;
    Instant firstMayHaveRun = Instant::never(), started;
    ZoneIndex ranInZone;
    EndpointIndex endpoint;
    int64_t call = 0;
    int submits = 0;
    std::list<TextIndex>::iterator queuePosition;  // in its destination's queue
    // Restores the progress made before a restart of the sender.
    void restoreFromArrival() {
        submits = arrival.submits, ranInZone = arrival.ranInZone, mayHaveRun = arrival.mayHaveRunSince.has_value();
        firstMayHaveRun = arrival.mayHaveRunSince.value_or(Instant::never());
    }
    bool queued = false, inFlight = false, withdrawn = false, mayHaveRun = false, cancelRequested = false;
};

struct Call {
    int texts = 0, ended = 0;  // texts still in flight, and results received
    double load = 1;           // relative to a call with one text; each further text adds 0.2
};

}  // namespace petrelpond::index
