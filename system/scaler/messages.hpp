// What a sender's agent and the holder of the startup duty say to each other about slots.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace petrelpond::scaler {

// One service as one sender sees it since its last report.
struct Demand {
    std::string service;
    uint32_t waiting = 0;     // requests held for want of a slot, now
    uint32_t busy = 0;        // requests at instances, now
    uint32_t peak = 0;        // most of waiting + busy since the last report
    uint32_t arrived = 0;     // requests that came since the last report
    uint32_t meanCallUs = 0;  // mean time of a call, microseconds; 0: not known
    MSGPACK_DEFINE(service, waiting, busy, peak, arrived, meanCallUs)
};

// Slots of one instance that this sender may use (or still uses though it was asked to give them back).
struct HeldSlots {
    std::string instance, service, address;
    uint32_t slots = 0, busy = 0;
    MSGPACK_DEFINE(instance, service, address, slots, busy)
};

// Sender to holder. Comes at once where a request waits without a slot, else at most every 100 ms.
struct Report {
    uint64_t term = 0;    // of the holder it is meant for
    bool isFull = false;  // held is all that is held, not only what changed; always so at a new link or term
    bool isLeaving = false;   // the sender ends: what it no longer uses may go to others
    uint32_t intervalMs = 0;  // since the last report
    std::vector<Demand> demands;
    std::vector<HeldSlots> held;
    std::vector<std::string> unreachable;  // instances that refused, reset or did not answer a connection
    std::vector<std::string> up;           // booting instances that took a connection
    MSGPACK_DEFINE(term, isFull, isLeaving, intervalMs, demands, held, unreachable, up)
};

// Holder to sender: from now on so many slots of this instance are yours (an absolute number; 0 takes all
// back).
struct Grant {
    std::string instance, service, address, zone;
    uint32_t slots = 0;
    uint32_t upInMs = 0;  // 0: it is thought to be up; else the time that its start is thought to still take
    uint32_t fleetSlots = 0;  // of all instances of the service, for the fleet's rate
    bool isEnding = false;    // it drains, ends or is gone: never to be used again
    MSGPACK_DEFINE(instance, service, address, zone, slots, upInMs, fleetSlots, isEnding)
};
struct Grants {
    uint64_t term = 0;
    bool isFull = false;  // what is not named is not yours any more
    std::vector<Grant> grants;
    MSGPACK_DEFINE(term, isFull, grants)
};

}  // namespace petrelpond::scaler
