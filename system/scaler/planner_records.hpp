// What the planner keeps of senders, services, instances and workers. Only its own sources include this.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "system/scaler/planner.hpp"

namespace petrelpond::scaler {

struct Service;
struct Instance;
enum class Phase { booting, up, retiring, stopping, draining, gone };

// Sums of slots. A configuration may give one instance two thousand million, so that three instances exceed
// 32 bits.
using SlotCount = uint64_t;

inline uint32_t saturate32(SlotCount n) {
    return static_cast<uint32_t>(std::min<SlotCount>(n, std::numeric_limits<uint32_t>::max()));
}

// Orders pointers by creation number. Ordering by address would make decisions differ between runs of the
// process, so a schedule found by the randomized test could not be replayed.
struct CreationOrder {
    template <class T>
    bool operator()(const T* a, const T* b) const {
        return a->creationNumber < b->creationNumber;
    }
};

struct Sender {
    SenderId id;
    uint64_t creationNumber = 0;
    std::string zone;
    bool isLinked = false, isSynced = false, isLeaving = false;
    Instant slotsFreeAt = Instant::never();      // while unlinked: when its slots are released
    Instant unansweredSince = Instant::never();  // since when a grant message has had no report in return
    bool isUnresponsive = false;                 // linked, but a grant message went unanswered for too long
    std::set<Instance*, CreationOrder> heldInstances;
    std::set<Service*, CreationOrder> services;
    std::vector<Instance*> grantsDue;  // instances whose granted slots must be sent to it
    bool isResponsive() const { return isLinked && isSynced && !isUnresponsive; }
};

// Demand of one sender for one service.
struct SenderDemand {
    Sender* sender = nullptr;
    uint32_t waiting = 0, busy = 0;
    double rate = 0;  // calls per second, averaged with Tuning::fastTau
    Instant rateUpdatedAt;
    Instant lastGrantedAt = Instant::longAgo();
    // Slots of instances that are up and not in use; slots of booting instances; all slots. Recomputed in
    // each pass.
    SlotCount upCover = 0, bootCover = 0, granted = 0;
    SlotCount requests() const { return SlotCount(waiting) + busy; }
    // Waiting requests for which there is no slot at an instance that is up, or none at a booting one either.
    SlotCount uncovered(Phase phase) const {
        const SlotCount covered = phase == Phase::up ? upCover : upCover + bootCover;
        return waiting > covered ? waiting - covered : 0;
    }
};

// A sender's part of a service's slots, by call rate.
struct SlotShare {
    SenderDemand* demand;
    double fair;    // slots in proportion to its call rate; 0 while it does not respond or leaves
    SlotCount due;  // slots still to be granted in this pass
    double lack() const { return fair - double(demand->granted); }
};

// The requests that wait for a service and the slots that they may get.
struct QueueState {
    std::vector<SenderDemand*> waitingSenders;  // the one whose last grant is oldest goes first
    SlotCount requests = 0;                     // waiting and running
    SlotCount upSlots = 0;                      // of the instances that are up
    SlotCount returning = 0;                    // of these, recalled or reserved, and free before long
};

// The slots of one instance that one sender may use. Numbers are absolute, and only one direction of change
// is unconfirmed at a time: a HeldSlots equal to the granted number then proves that the sender has read the
// grant. Otherwise an old HeldSlots of the same number (granted 0, 2, 0: the first 0) would free slots that
// are in use.
struct Allocation {
    Sender* sender = nullptr;
    SenderDemand* demand = nullptr;
    uint32_t granted = 0, held = 0, busy = 0;
    bool isUnconfirmed = false, isIncrease = false, isGrantDue = false;
    Instant changedAt, sentAt, idleSince;
    uint32_t reservedSlots() const {
#ifdef SCALER_DEFECT_FREE_AT_GRANT
        return granted;  // deliberate defect that the randomized test must find
#else
        return std::max(granted, held);
#endif
    }
    // Slots that were recalled and, as far as known, are not in use.
    uint32_t reassignableSlots() const {
        uint32_t keeps = std::max(granted, busy);
        return isUnconfirmed && !isIncrease && held > keeps ? held - keeps : 0;
    }
    bool canIncrease() const { return !isUnconfirmed || isIncrease; }
    bool canDecrease() const {
        return (!isUnconfirmed || !isIncrease) && sender->isLinked && sender->isSynced;
    }
};

struct SlotReservation {
    uint32_t slots;
    Instant until;
};

struct Instance {
    std::string id, address, zone, worker;
    uint64_t creationNumber = 0;
    Service* service = nullptr;
    Phase phase = Phase::booting;
    uint32_t slots = 1;
    Instant startedAt, goneAt, nextStopAt;
    Instant upSince;  // when it was first known to be up; the platform lists it soon after
    bool wasListed = false, isStopSent = false;
    int missedLists = 0;
    std::vector<Allocation> allocations;
    std::vector<SlotReservation> reservations;  // slots of ended senders
    Sender* suspectedBy = nullptr;
    Instant suspectedAt = Instant::longAgo();

    bool isUsable() const { return phase == Phase::booting || phase == Phase::up; }
    SlotCount reservedSlots() const {
        SlotCount n = 0;
        for (const auto& s : allocations) n += s.reservedSlots();
        for (const auto& g : reservations) n += g.slots;
        return n;
    }
    SlotCount busySlots() const {
        SlotCount n = 0;
        for (const auto& s : allocations) n += s.busy;
        return n;
    }
    uint32_t freeSlots() const {
        const SlotCount reserved = reservedSlots();
        return isUsable() && reserved < slots ? static_cast<uint32_t>(slots - reserved) : 0;
    }
    Allocation* findAllocation(const Sender* sender) {
        for (auto& s : allocations)
            if (s.sender == sender) return &s;
        return nullptr;
    }
};

// Mean call duration shared by all services with the same configuration.
struct ServiceGroup {
    double callWeight = 0, meanCallSeconds = 0;
};
using ServiceGroupKey = std::tuple<int, int64_t, int, int64_t>;

inline ServiceGroupKey serviceGroupKey(const FunctionSpec& f) {
    return {f.memoryMb, f.bootTime.inMicros(), f.maxConcurrency, f.targetLatency.inMicros()};
}

// Instances of a service that may be used, starts without a response included.
struct ServiceCapacity {
    SlotCount slots = 0, up = 0;  // slots of all of them; of those that are up
    uint32_t count = 0;
};

struct Service {
    FunctionSpec spec;
    uint64_t creationNumber = 0;
    ServiceGroup* group = nullptr;  // set by the first measured call
    double callWeight = 0;          // weight of meanCallSeconds, in calls
    bool isConfigured = false;      // the current configuration names it
    std::vector<Instance*> instances;
    std::map<Sender*, SenderDemand, CreationOrder> demands;
    uint32_t pendingStartCount = 0;  // starts without a response
    uint32_t waiting = 0, busy = 0;
    double shortRate = 0, fastRate = 0, slowRate = 0, longRate = 0, meanCallSeconds = 0, peakBusy = 0;
    Instant rateUpdatedAt, peakUpdatedAt;
    Instant lastCallAt = Instant::longAgo(), startsBlockedUntil = Instant::longAgo();
    Instant surplusSince = Instant::never();
    Instant warmUntil = Instant::longAgo();  // one instance is kept until then even without calls
    Instant demandsSweptAt;
    bool isDirty = false, isInRound = false;
    bool needsRefill = false;  // instances were lost, replace them at once
};

struct PendingStart {
    Service* service = nullptr;
    std::string worker;
    Instant at, retryAt = Instant::never();
    int attempts = 0;
    bool isCounted = true;  // included in the service's pendingStartCount
};

struct WorkerState {
    Worker reported;
    Instant fullUntil = Instant::longAgo();
    std::vector<std::pair<Instant, int>>
        reservedMemory;  // start time and MB of starts that the worker list does not show yet
    int missedLists = 0;
    bool takesStarts(Instant now) const { return !reported.draining && missedLists == 0 && fullUntil <= now; }
    int freeMemoryMb() const {
        int mb = reported.freeMb;
        for (const auto& t : reservedMemory) mb -= t.second;
        return mb;
    }
};

}  // namespace petrelpond::scaler
