// How a host pulls decisions: one by one, and no more than so many at one instant. A Sender that asks to be woken
// at the very instant in which it decides never comes to an end, and whoever waits for it waits for ever.
#pragma once

#include <cstddef>

#include "petrelpond/sender.hpp"

namespace petrelpond {

// False where `most` were pulled and there may be more: the clock must go on before the rest are.
template <class Each>
[[nodiscard]] bool pullDecisions(Sender& sender, Instant now, size_t most, Each each) {
    for (size_t n = 0; n < most; ++n) {
        auto decision = sender.nextDecision(now);
        if (!decision) return true;
        each(*decision);
    }
    return false;
}

// At an instant of a simulated clock, which does not go on by itself: that many come from no sender that is well.
constexpr size_t kMaxDecisionsPerInstant = 1'000'000;

}  // namespace petrelpond
