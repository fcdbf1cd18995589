// Records of the texts held, of the calls that carry them, and of what falls due.
#pragma once

#include <list>
#include <tuple>

#include "petrelpond/sender.hpp"

namespace petrelpond::index {

// What falls due: a look round, a text's last chance of an answer, an idle connection's end.
enum class Falls { look, text, idle };
using Due = std::tuple<Instant, Falls, uint32_t>;

struct Text {
    Arrival arrival;
    const Product* product = nullptr;
    Instant firstMayHaveRun = Instant::never(), started;
    ZoneIndex ranIn;
    EndpointIndex at;
    int64_t call = 0;
    int submits = 0;
    std::list<TextIndex>::iterator spot;  // where it waits
    // As an earlier life of the sender left it.
    void cameBack() {
        submits = arrival.submits, ranIn = arrival.ranInZone, mayHaveRun = arrival.mayHaveRunSince.has_value();
        firstMayHaveRun = arrival.mayHaveRunSince.value_or(Instant::never());
    }
    bool queued = false, out = false, over = false, mayHaveRun = false, givenUp = false;
};

struct Call {
    int texts = 0, ended = 0;  // ended: of its texts
    double load = 1;           // beside a call with one text; each further one adds a little (ours)
};

}  // namespace petrelpond::index
