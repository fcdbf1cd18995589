// How a host pulls decisions: one at a time and with an upper bound for each instant. Without the bound, a faulty
// Sender that asks to be woken at the current instant would keep its host in an endless loop.
#pragma once

#include <cstddef>

#include "petrelpond/sender.hpp"

namespace petrelpond {

// Passes decisions to `each` until there are none. Returns false if `most` were pulled and more may be pending; the
// caller must then let the clock advance before it pulls the rest.
template <class Each>
[[nodiscard]] bool pullDecisions(Sender& sender, Instant now, size_t most, Each each) {
    for (size_t n = 0; n < most; ++n) {
        auto decision = sender.nextDecision(now);
        if (!decision) return true;
        each(*decision);
    }
    return false;
}

// Bound for simulated clocks, which don't advance on their own. A correct sender never decides this often at one
// instant.
constexpr size_t kMaxDecisionsPerInstant = 1'000'000;

}  // namespace petrelpond
