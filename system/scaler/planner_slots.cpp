// Which sender may use how many slots of which instance.
#include "system/scaler/apportion.hpp"
#include "system/scaler/planner_state.hpp"

namespace petrelpond::scaler {

namespace {

// Free slots beyond this number make an instance no better than another.
constexpr uint32_t kScoredFreeSlots = 9;

// Busy slots that are moved in one pass. Each move searches all allocations of a service.
constexpr SlotCount kMaxMovesPerPass = 1000;

}  // namespace

// Recalls slots where more are reserved than the instance has: an earlier holder, or this one after 5 s
// of a sender's silence, granted some twice.
void Planner::State::recallOvercommitted(Instant now, Instance* instance) {
    const SlotCount used = instance->reservedSlots();
    if (used <= instance->slots || !instance->isUsable() ||
        !(instance->wasListed || instance->service->isConfigured))
        return;
    SlotCount promised = 0;
    for (const auto& s : instance->allocations) promised += s.granted;
    if (promised <= instance->slots) return;  // already recalled
    SlotCount over = promised - instance->slots;
    ++counters.overcommitted;
    std::vector<Allocation*> by;
    for (auto& s : instance->allocations)
        if (s.granted > 0 && s.canDecrease()) by.push_back(&s);
    std::sort(by.begin(), by.end(), [](Allocation* a, Allocation* b) {
        return int64_t(a->granted) - a->busy > int64_t(b->granted) - b->busy;
    });
    for (Allocation* s : by) {
        const auto n = static_cast<uint32_t>(std::min<SlotCount>(over, s->granted));
        if (n > 0) setGranted(now, instance, *s, s->granted - n);
        over -= n;
    }
}

// Detects senders that hang or lost power. Their links look alive for seconds, and without this other
// senders wait for slots that are idle or recalled there. Recalled slots that are not known to be in use
// count as returned: the revocation is in the sender's socket, so it reads that first when it resumes. A
// sender that is only cut off from this holder is treated alike: two senders may then use such a slot,
// and the instance rejects one of two calls as not executed. Drawback: that call needs another attempt.
void Planner::State::detectUnresponsiveSenders(Instant now) {
    // If this process was suspended or has a report backlog, the replies are unread in its sockets or
    // queue.
    bool slept =
        now - lastTick > tuning.tickInterval * 3.0 || now < backlogReportedAt + tuning.unresponsiveAfter;
    for (auto& [id, sender] : senders) {
        if (slept && sender->unansweredSince != Instant::never()) sender->unansweredSince = now;
        if (!sender->isLinked || !sender->isSynced ||
            now < sender->unansweredSince + tuning.unresponsiveAfter)
            continue;
        if (!sender->isUnresponsive)
            for (Service* s : sender->services) markDirty(s);
        sender->isUnresponsive = true;
        for (Instance* instance : sender->heldInstances) {
            Allocation& s = *instance->findAllocation(sender.get());
            if (!instance->isUsable() || !s.reassignableSlots() ||
                now < s.changedAt + tuning.unresponsiveAfter * 0.5)
                continue;
            counters.reassignedSlots += s.reassignableSlots();
            s.held -= s.reassignableSlots();
            markDirty(instance->service);
        }
    }
}

// Slots that cannot be granted now: those reserved by senders that do not respond, less the reassigned
// ones.
SlotCount Planner::State::unavailableSlots(const Service* service) const {
    SlotCount n = 0;
    for (const Instance* instance : service->instances) {
        if (!instance->isUsable()) continue;
        for (const auto& sh : instance->allocations)
            if (!sh.sender->isResponsive())
                n += sh.sender->isUnresponsive ? std::min(sh.busy, sh.reservedSlots()) : sh.reservedSlots();
    }
    return n;
}

// Prefers the sender's zone, then instances that few senders hold, so that few have to return slots when
// it is retired. Callers try running instances of any zone before booting ones: a boot takes a second,
// another zone costs 1 to 20 ms.
Instance* Planner::State::chooseFreeInstance(Service* service, Sender* sender, Phase phase) {
    ++counters.slotSearches;
    Instance* best = nullptr;
    int bestScore = 0;
    uint64_t records = 0;
    for (Instance* instance : service->instances) {
        records += 1 + instance->allocations.size();
        if (instance->phase != phase || instance->freeSlots() == 0 || instance->suspectedBy) continue;
        Allocation* own = instance->findAllocation(sender);
        if (own && !own->canIncrease()) continue;
        int score = 1000 + (instance->zone == sender->zone ? 500 : 0) + (own ? 50 : 0);
        score -= 10 * int(instance->allocations.size());
        if (phase == Phase::up) score += int(std::min(instance->freeSlots(), kScoredFreeSlots));
        if (score > bestScore) best = instance, bestScore = score;
    }
    countRecords(records);
    return best;
}

// Grants slots of the best instance, at least one and at most `most`; returns how many, 0 if none is
// free. While an instance has more free slots than its score counts, it stays the best, so all of these
// are granted at once. Against a pass whose length grows with the slots of an instance: a function
// without a limit has two thousand million, and the holder answered nobody until each had been granted by
// itself.
SlotCount Planner::State::grantSlots(Instant now, Service* service, SenderDemand& u, Phase phase,
                                     SlotCount most) {
    Instance* instance = chooseFreeInstance(service, u.sender, phase);
    if (!instance) return 0;
    const uint32_t free = instance->freeSlots();
    const uint32_t atOnce = free > kScoredFreeSlots ? free - kScoredFreeSlots : 1;
    const auto n = static_cast<uint32_t>(std::min<SlotCount>(atOnce, most));
    Allocation* allocation = findOrAddAllocation(now, instance, u.sender);
    setGranted(now, instance, *allocation, allocation->granted + n);
    u.lastGrantedAt = now;
    u.granted += n;
    return n;
}

void Planner::State::serveWaiting(Instant now, Service* service) {
    for (Instance* instance : service->instances) recallOvercommitted(now, instance);
    if (service->waiting == 0) return;
    const QueueState queue = countWaiting(service);
    const SlotCount unmet = grantInTurns(now, service, queue.waitingSenders, Phase::up);
    if (unmet > queue.returning) {
        const SlotCount need = unmet - queue.returning;
        const SlotCount recalled = recallIdleSlots(now, service, need);
        if (recalled < need) recallBusySlots(now, service, queue, need - recalled);
    }
    grantInTurns(now, service, queue.waitingSenders, Phase::booting);
}

QueueState Planner::State::countWaiting(Service* service) {
    QueueState queue;
    for (auto& [sender, u] : service->demands) {
        u.upCover = u.bootCover = u.granted = 0;
        queue.requests += u.requests();
        if (u.waiting > 0 && sender->isResponsive()) queue.waitingSenders.push_back(&u);
    }
    for (Instance* instance : service->instances) {
        if (!instance->isUsable()) continue;
        const bool isUp = instance->phase == Phase::up;
        if (isUp) queue.upSlots += instance->slots;
        for (auto& sh : instance->allocations) {
            sh.demand->granted += sh.granted;
            if (!isUp) {
                sh.demand->bootCover += sh.granted;
                continue;
            }
            sh.demand->upCover += sh.granted > sh.busy ? sh.granted - sh.busy : 0;
            queue.returning +=
                sh.sender->isResponsive() ? sh.reservedSlots() - sh.granted : sh.reassignableSlots();
        }
        if (isUp)
            for (auto& g : instance->reservations) queue.returning += g.slots;
    }
    std::sort(queue.waitingSenders.begin(), queue.waitingSenders.end(), [](SenderDemand* a, SenderDemand* b) {
        return a->lastGrantedAt != b->lastGrantedAt ? a->lastGrantedAt < b->lastGrantedAt
                                                    : a->sender->id < b->sender->id;
    });
    return queue;
}

// Grants free slots of the instances in `phase` to senders with waiting requests, in their order: one slot at
// a time where slots are scarce, otherwise an equal part of the free ones. Returns how many requests got
// none.
SlotCount Planner::State::grantInTurns(Instant now, Service* service, const std::vector<SenderDemand*>& want,
                                       Phase phase) {
    SlotCount unmet = 0, spare = 0;
    std::vector<SenderDemand*> open = want;
    // Counts the free slots once. When none was free, each waiting sender searched all allocations of all
    // instances, so the holder got slower the more waited, and after a loss of all cores it never caught up.
    for (const Instance* instance : service->instances)
        if (instance->phase == phase && !instance->suspectedBy) spare += instance->freeSlots();
    while (!open.empty()) {
        std::vector<SenderDemand*> still;
        const SlotCount turn = std::max<SlotCount>(1, spare / open.size());
        for (SenderDemand* u : open) {
            const SlotCount lacking = u->uncovered(phase);
            if (lacking == 0) continue;
            const SlotCount most = std::min({lacking, turn, spare});
            const SlotCount granted = most > 0 ? grantSlots(now, service, *u, phase, most) : 0;
            if (granted == 0) {
                unmet += lacking;
                continue;
            }
            spare -= granted;
            (phase == Phase::up ? u->upCover : u->bootCover) += granted;
            still.push_back(u);
        }
        open.swap(still);
    }
    return unmet;
}

// Recalls up to `need` idle slots of senders without waiting requests, first those that were idle for
// longest. Returns how many.
SlotCount Planner::State::recallIdleSlots(Instant now, Service* service, SlotCount need) {
    struct IdleSlots {
        Instance* instance;
        Allocation* allocation;
        uint32_t count;
    };
    std::vector<IdleSlots> idle;
    for (Instance* instance : service->instances) {
        if (instance->phase != Phase::up) continue;
        for (auto& sh : instance->allocations)
            if (sh.canDecrease() && sh.granted > sh.busy && sh.demand->waiting == 0)
                idle.push_back({instance, &sh, sh.granted - sh.busy});
    }
    std::sort(idle.begin(), idle.end(), [](const IdleSlots& a, const IdleSlots& b) {
        const Allocation &first = *a.allocation, &second = *b.allocation;
        if (first.sender->isUnresponsive != second.sender->isUnresponsive)
            return second.sender->isUnresponsive;
        return first.idleSince != second.idleSince ? first.idleSince < second.idleSince
                                                   : a.instance->id < b.instance->id;
    });
    SlotCount recalled = 0;
    for (const IdleSlots& each : idle) {
        if (recalled == need) break;
        const auto n = static_cast<uint32_t>(std::min<SlotCount>(need - recalled, each.count));
        setGranted(now, each.instance, *each.allocation, each.allocation->granted - n);
        SenderDemand& demand = *each.allocation->demand;
        demand.granted -= std::min<SlotCount>(n, demand.granted);
        recalled += n;
    }
    counters.recalledSlots += recalled;
    return recalled;
}

// All slots are busy: a sender with few or none gets its share as calls end, so that one sender cannot starve
// another. Drawback: a round trip per moved slot, so the number per pass is limited.
void Planner::State::recallBusySlots(Instant now, Service* service, const QueueState& queue, SlotCount need) {
    if (queue.requests == 0 || queue.upSlots == 0) return;
    auto fair = [&](const SenderDemand& u) {
        return double(queue.upSlots) * double(u.requests()) / double(queue.requests);
    };
    SlotCount moves = std::min({need, queue.upSlots / 4 + 1, kMaxMovesPerPass});
    for (SenderDemand* u : queue.waitingSenders) {
        while (moves > 0 && u->waiting > u->upCover && u->granted < u->requests() &&
               (u->granted == 0 || double(u->granted) + 0.5 <= fair(*u))) {
            Instance* from = nullptr;
            Allocation* best = nullptr;
            double most = u->granted == 0 ? 0.3 : 0.5;
            for (Instance* instance : service->instances) {
                if (instance->phase != Phase::up) continue;
                for (auto& sh : instance->allocations) {
                    if (sh.demand == u || sh.granted == 0 || !sh.canDecrease() || sh.sender->isUnresponsive)
                        continue;
                    double over = double(sh.demand->granted) - fair(*sh.demand);
                    if (over > most) most = over, best = &sh, from = instance;
                }
            }
            if (!best) break;
            setGranted(now, from, *best, best->granted - 1);
            --best->demand->granted;
            ++u->upCover;  // counts as granted for the rest of this pass
            ++u->granted;
            ++counters.recalledSlots;
            --moves;
        }
    }
}

// Grants free slots ahead of demand in proportion to call rates, so that a burst needs no round trip to
// the holder.
void Planner::State::spreadFreeSlots(Instant now, Service* service) {
    if (service->demands.empty() || service->instances.empty()) return;
    std::vector<SlotShare> shares;
    double totalRate = 0;
    for (auto& [sender, u] : service->demands) {
        u.granted = 0;
        const bool takesPart = sender->isResponsive() && !sender->isLeaving;
        const double rate = takesPart ? u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau) : 0.0;
        shares.push_back({&u, rate, 0});
        totalRate += rate;
    }
    SlotCount slots = 0, spare = 0;
    for (Instance* instance : service->instances) {
        if (instance->phase != Phase::up) continue;
        slots += instance->slots;
        spare += instance->freeSlots();
        for (auto& sh : instance->allocations) sh.demand->granted += sh.granted;
    }
    if (totalRate < 0.2 || slots == 0) return;
    for (SlotShare& share : shares) share.fair = double(slots) * share.fair / totalRate;
    if (grantShares(now, service, shares, spare) > 0 || shares.size() < 2) return;
    moveIdleSlot(now, service, shares);
}

// Grants each sender its part of the free slots. Returns how many stay free.
SlotCount Planner::State::grantShares(Instant now, Service* service, std::vector<SlotShare>& shares,
                                      SlotCount spare) {
    std::vector<double> lacks;
    lacks.reserve(shares.size());
    for (const SlotShare& share : shares) lacks.push_back(share.lack());
    const std::vector<uint64_t> due = apportionSlots(lacks, spare);
    for (size_t i = 0; i < shares.size(); ++i) shares[i].due = due[i];
    while (spare > 0) {
        SlotShare* neediest = nullptr;
        for (SlotShare& share : shares)
            if (share.due > 0 && (!neediest || share.lack() > neediest->lack())) neediest = &share;
        if (!neediest) break;
        const SlotCount granted =
            grantSlots(now, service, *neediest->demand, Phase::up, std::min(neediest->due, spare));
        if (granted == 0) break;
        neediest->due -= granted;
        spare -= granted;
    }
    return spare;
}

// Moves at most one idle slot per tick from the sender with most surplus, so that allocations do not
// oscillate.
void Planner::State::moveIdleSlot(Instant now, Service* service, const std::vector<SlotShare>& shares) {
    const bool isNeeded =
        std::any_of(shares.begin(), shares.end(), [](const SlotShare& s) { return s.lack() >= 1; });
    if (!isNeeded) return;
    std::unordered_map<const SenderDemand*, double> surplus;
    for (const SlotShare& share : shares) surplus[share.demand] = -share.lack();
    Allocation* best = nullptr;
    Instance* from = nullptr;
    double most = 1;
    for (Instance* instance : service->instances) {
        if (instance->phase != Phase::up) continue;
        for (auto& sh : instance->allocations) {
            if (!sh.canDecrease() || sh.granted <= sh.busy || sh.sender->isUnresponsive) continue;
            const double over = surplus[sh.demand];
            if (over >= most) most = over, best = &sh, from = instance;
        }
    }
    if (!best) return;
    setGranted(now, from, *best, best->granted - 1);
    ++counters.recalledSlots;
}

}  // namespace petrelpond::scaler
