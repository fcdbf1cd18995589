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
    uint32_t waiting = 0;  // requests held for want of a slot, now
    uint32_t busy = 0;     // requests at instances, now
    uint32_t peak = 0;     // most of waiting + busy since the last report
    uint32_t arrived = 0;  // requests that came since the last report
    uint32_t workUs = 0;   // mean time of a call, microseconds; 0: not known
    MSGPACK_DEFINE(service, waiting, busy, peak, arrived, workUs)
};

// Slots of one instance that this sender may use (or still uses though it was asked to give them back).
struct Held {
    std::string instance, service, address;
    uint32_t slots = 0, busy = 0;
    MSGPACK_DEFINE(instance, service, address, slots, busy)
};

// Sender to holder. Comes at once where a request waits without a slot, else at most every 100 ms.
struct Report {
    uint64_t term = 0;     // of the holder it is meant for
    bool whole = false;    // held is all that is held, not only what changed; always so at a new link or term
    bool leaving = false;  // the sender ends: what it no longer uses may go to others
    uint32_t spanMs = 0;   // since the last report
    std::vector<Demand> demands;
    std::vector<Held> held;
    std::vector<std::string> dead;  // instances that refused, reset or did not answer a connection
    std::vector<std::string> up;    // booting instances that took a connection
    MSGPACK_DEFINE(term, whole, leaving, spanMs, demands, held, dead, up)
};

// Holder to sender: from now on so many slots of this instance are yours (an absolute number; 0 takes all
// back).
struct Grant {
    std::string instance, service, address, zone;
    uint32_t slots = 0;
    uint32_t upInMs = 0;  // 0: it is thought to be up; else the time that its start is thought to still take
    uint32_t fleetSlots = 0;  // of all instances of the service, for the fleet's rate
    bool ends = false;        // it drains, ends or is gone: never to be used again
    MSGPACK_DEFINE(instance, service, address, zone, slots, upInMs, fleetSlots, ends)
};
struct Grants {
    uint64_t term = 0;
    bool whole = false;  // what is not named is not yours any more
    std::vector<Grant> grants;
    MSGPACK_DEFINE(term, whole, grants)
};

}  // namespace petrelpond::scaler
