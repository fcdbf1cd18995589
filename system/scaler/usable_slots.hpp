// How many requests the fleet sends to one instance at a time.
#pragma once

#include <algorithm>
#include <cstdint>

namespace petrelpond::scaler {

// `slots`: requests that the instance may hold at once. `maxConnections`: connections that it takes from all
// senders together, 0 if unknown.
//
// A request occupies a connection while it runs, and the instance resets connections beyond its number. So a
// function without a limit, or with one above its connections, is used up to half of these; the other half is
// for connections that are idle at senders whose slots moved elsewhere. Against resets, each of which fails a
// request that may run once. Drawback: an instance that takes hardly more connections than it has slots is
// used by half.
inline uint32_t usableSlots(int slots, int maxConnections) {
    const int atLeastOne = std::max(1, slots);
    if (maxConnections <= 0) return static_cast<uint32_t>(atLeastOne);
    return static_cast<uint32_t>(std::min(atLeastOne, std::max(1, maxConnections / 2)));
}

}  // namespace petrelpond::scaler
