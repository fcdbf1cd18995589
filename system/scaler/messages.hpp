// Messages about slots between a sender's agent and the holder of the startup duty. Members are packed in
// order.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace petrelpond::scaler {

// Demand for one service at one sender since its last report.
struct Demand {
    std::string service;
    uint32_t waiting = 0;     // requests currently waiting for a slot
    uint32_t busy = 0;        // requests currently at instances
    uint32_t peak = 0;        // maximum of waiting + busy since the last report
    uint32_t arrived = 0;     // requests received since the last report
    uint32_t meanCallUs = 0;  // mean duration of a call in microseconds; 0: unknown
    MSGPACK_DEFINE(service, waiting, busy, peak, arrived, meanCallUs)
};

// Slots of one instance that this sender may use, or still uses although they were recalled.
struct HeldSlots {
    std::string instance, service, address;
    uint32_t slots = 0, busy = 0;
    MSGPACK_DEFINE(instance, service, address, slots, busy)
};

// Sender to holder. Sent at once when a request waits without a slot, otherwise at most every 100 ms.
struct Report {
    uint64_t term = 0;        // term of the holder it is addressed to
    bool isFull = false;      // `held` lists everything, not only changes; always on a new link or term
    bool isLeaving = false;   // the sender shuts down: unused slots may go to others
    uint32_t intervalMs = 0;  // time since the last report
    std::vector<Demand> demands;
    std::vector<HeldSlots> held;
    std::vector<std::string> unreachable;  // instances that refused or reset a connection, or timed out
    std::vector<std::string> up;           // booting instances that accepted a connection
    MSGPACK_DEFINE(term, isFull, isLeaving, intervalMs, demands, held, unreachable, up)
};

// Holder to sender: the number of slots of this instance that the sender may use (absolute; 0 revokes all).
struct Grant {
    std::string instance, service, address, zone;
    uint32_t slots = 0;
    uint32_t upInMs = 0;      // 0: believed to be up; otherwise the estimated remaining boot time
    uint32_t fleetSlots = 0;  // slots of all instances of the service, for the fleet-wide rate
    bool isEnding = false;    // it drains, stops or is gone: never use it again
    MSGPACK_DEFINE(instance, service, address, zone, slots, upInMs, fleetSlots, isEnding)
};
struct Grants {
    uint64_t term = 0;
    bool isFull = false;  // slots of instances that are not named are revoked
    std::vector<Grant> grants;
    MSGPACK_DEFINE(term, isFull, grants)
};

}  // namespace petrelpond::scaler
