// The planner's tables, its messages to senders, and the order of a pass.
#include "system/scaler/planner_state.hpp"

#include <unordered_set>
#include <utility>

namespace petrelpond::scaler {

double Planner::State::bucketDepth() const {
    return std::max(1.0, tuning.bucketDepthFactor * maxCallsPerSecond);
}

// Whether there is a token for one start or stop. Calls that are not urgent leave a part of the bucket for
// starts that waiting requests need.
bool Planner::State::hasToken(Instant now, bool urgent) {
    double dt = std::max(0.0, (now - tokensUpdatedAt).inSeconds());
    tokens = std::min(bucketDepth(), tokens + dt * tuning.bucketRateFactor * maxCallsPerSecond);
    tokensUpdatedAt = std::max(tokensUpdatedAt, now);
    double least = urgent || bucketDepth() < 4 ? 0 : tuning.urgentReserveFraction * bucketDepth();
    if (tokens - 1 < least) {
        isOutOfTokens = true;
        return false;
    }
    return true;
}

bool Planner::State::takeToken(Instant now, bool urgent) {
    if (!hasToken(now, urgent)) return false;
    tokens -= 1;
    return true;
}

void Planner::State::markDirty(Service* service) {
    if (service->isDirty) return;
    service->isDirty = true;
    dirtyServices.push_back(service);
}

Service* Planner::State::findOrAddService(Instant now, const std::string& name) {
    auto& p = services[name];
    if (!p) {
        p = std::make_unique<Service>();
        p->creationNumber = ++lastCreationNumber;
        p->spec.name = name;
        p->spec.bootTime = Span::seconds(1);
        p->spec.targetLatency = Span::seconds(1);
        p->rateUpdatedAt = p->peakUpdatedAt = now;
        // Services that were configured together are swept one after another.
        constexpr uint64_t kSweepTurns = 16;
        const double turn = double(p->creationNumber % kSweepTurns) / double(kSweepTurns);
        p->demandsSweptAt = now - tuning.demandSweepInterval * turn;
    }
    return p.get();
}

SenderDemand* Planner::State::findOrAddDemand(Instant now, Service* service, Sender* sender) {
    auto [it, fresh] = service->demands.try_emplace(sender);
    if (fresh) {
        it->second.sender = sender;
        it->second.rateUpdatedAt = now;
        sender->services.insert(service);
    }
    return &it->second;
}

Allocation* Planner::State::findOrAddAllocation(Instant now, Instance* instance, Sender* sender) {
    if (Allocation* s = instance->findAllocation(sender)) return s;
    Allocation s;
    s.sender = sender;
    s.demand = findOrAddDemand(now, instance->service, sender);
    s.idleSince = now;
    instance->allocations.push_back(s);
    sender->heldInstances.insert(instance);
    return &instance->allocations.back();
}

Instance* Planner::State::addInstance(Instant now, const std::string& id, const std::string& service,
                                      const std::string& address) {
    auto& p = instances[id];
    p = std::make_unique<Instance>();
    p->creationNumber = ++lastCreationNumber;
    p->id = id;
    p->address = address;
    p->service = findOrAddService(now, service);
    p->slots = p->service->spec.slotsPerInstance();
    p->startedAt = now;
    p->service->instances.push_back(p.get());
    p->service->lastCallAt = std::max(p->service->lastCallAt,
                                      now);  // counts as idle from now on, so it is not stopped at once
    return p.get();
}

void Planner::State::removeInstance(Instance* instance) {
    for (auto& s : instance->allocations) {
        s.sender->heldInstances.erase(instance);
        std::erase(s.sender->grantsDue, instance);
    }
    std::erase(instance->service->instances, instance);
    closing.erase(instance);
    instances.erase(instance->id);
}

void Planner::State::setDemand(SenderDemand& u, Service* service, uint32_t waiting, uint32_t busy) {
    service->waiting = service->waiting - u.waiting + waiting;
    service->busy = service->busy - u.busy + busy;
    u.waiting = waiting;
    u.busy = busy;
}

void Planner::State::queueGrant(Instance* instance, Allocation& s) {
    if (s.isGrantDue || !s.sender->isLinked || !s.sender->isSynced) return;
    s.isGrantDue = true;
    if (s.sender->grantsDue.empty()) sendersWithGrants.push_back(s.sender);
    s.sender->grantsDue.push_back(instance);
}

void Planner::State::setGranted(Instant now, Instance* instance, Allocation& s, uint32_t n) {
    if (n == s.granted && !(n < s.held && !s.isUnconfirmed)) return;
    s.isIncrease = n > s.granted;
    s.granted = n;
    s.isUnconfirmed = true;
    s.changedAt = s.sentAt = now;
    queueGrant(instance, s);
}

// Revokes all slots of an instance. Of an ending instance also those with an unconfirmed increase, since
// none of its slots is granted again.
void Planner::State::revokeAll(Instant now, Instance* instance, bool includeUnconfirmed) {
    for (auto& s : instance->allocations)
        if (s.reservedSlots() > 0 && s.granted > 0 && (includeUnconfirmed || s.canDecrease()))
            setGranted(now, instance, s, 0);
}

void Planner::State::sendGrants(Instant now) {
    for (Sender* sender : sendersWithGrants) {
        if (sender->grantsDue.empty()) continue;
        GrantsMessage message;
        message.to = sender->id;
        message.grants.term = term;
        for (Instance* instance : sender->grantsDue) {
            Allocation* s = instance->findAllocation(sender);
            if (!s) continue;
            s->isGrantDue = false;
            Grant g;
            g.instance = instance->id;
            g.slots = s->granted;
            g.fleetSlots = saturate32(usableCapacity(instance->service).slots);
            g.isEnding = !instance->isUsable();
            // A sender knows the instance of a revoked grant by its id.
            if (s->granted > 0)
                g.service = instance->service->spec.name, g.address = instance->address,
                g.zone = instance->zone;
            if (instance->phase == Phase::booting) {
                int64_t us = (instance->startedAt + instance->service->spec.bootTime - now).inMicros();
                g.upInMs = saturate32(static_cast<uint64_t>(std::max<int64_t>(1, us / 1000)));
            }
            message.grants.grants.push_back(std::move(g));
        }
        sender->grantsDue.clear();
        sender->unansweredSince = std::min(sender->unansweredSince, now);
        ++counters.grantMessages;
        outputs.emplace_back(std::move(message));
    }
    sendersWithGrants.clear();
}

// Drops queued grants of a closed link: their numbers are out of date and must not be sent over the next
// one.
void Planner::State::discardUnsent(Sender* sender) {
    std::erase_if(outputs, [&](const Output& o) {
        const auto* t = std::get_if<GrantsMessage>(&o);
        return t && t->to == sender->id;
    });
    for (Instance* instance : sender->grantsDue)
        if (Allocation* s = instance->findAllocation(sender)) s->isGrantDue = false;
    sender->grantsDue.clear();
    std::erase(sendersWithGrants, sender);
}

void Planner::State::removeSender(Instant now, Sender* sender, Span reservationTime) {
    discardUnsent(sender);
    for (Instance* instance : sender->heldInstances) {
        Allocation* s = instance->findAllocation(sender);
        if (s && s->reservedSlots() > 0 && reservationTime > Span()) {
            instance->reservations.push_back({s->reservedSlots(), now + reservationTime});
            nextReservationEnd = std::min(nextReservationEnd, now + reservationTime);
        }
        if (instance->suspectedBy == sender) instance->suspectedBy = nullptr;
        std::erase_if(instance->allocations, [&](const Allocation& x) { return x.sender == sender; });
        markDirty(instance->service);
    }
    for (Service* s : sender->services) {
        setDemand(s->demands[sender], s, 0, 0);
        s->demands.erase(sender);
        markDirty(s);
    }
    for (auto& [id, instance] : instances)
        if (instance->suspectedBy == sender) instance->suspectedBy = nullptr;
    senders.erase(SenderId(sender->id));
}

void Planner::State::applyHeld(Instant now, Instance* instance, Allocation& s, uint32_t slots, uint32_t busy,
                               bool isFirstFullReport) {
    if (busy > 0 && instance->phase == Phase::booting) markUp(now, instance);
    uint32_t idle = slots > busy ? slots - busy : 0, idleWas = s.held > s.busy ? s.held - s.busy : 0;
    if (idle > 0 && (idleWas == 0 || busy != s.busy)) s.idleSince = now;
    bool fewer = slots < s.reservedSlots();
    s.held = slots;
    s.busy = busy;
    if (isFirstFullReport) {
        s.granted = slots;  // no earlier grant is still in flight
        s.isUnconfirmed = false;
    } else if (s.isUnconfirmed) {
        if (s.held == s.granted && !s.isGrantDue)
            s.isUnconfirmed =
                false;  // with isGrantDue the grant was not sent yet, so an equal number proves nothing
    } else if (s.held < s.granted) {
        s.granted = s.held;  // returned without a recall
    }
    if (s.held > s.granted && !s.isUnconfirmed) setGranted(now, instance, s, s.granted);
    if (!instance->isUsable() && instance->phase != Phase::retiring && s.granted > 0)
        setGranted(now, instance, s, 0);
    if (fewer || slots > 0) markDirty(instance->service);
}

void Planner::State::finishLearning(Instant now) {
    if (isReady || now < createdAt + tuning.learningTime ||
        (!hasInstanceList && now < createdAt + tuning.maxLearningTime))
        return;
    if (now < createdAt + tuning.maxLearningTime)
        for (auto& [id, s] : senders)
            if (s->isLinked && !s->isSynced) return;
    isReady = true;
    for (auto& [name, s] : services) markDirty(s.get());
}

// Events of one loop turn are handled in one pass when the outputs are pulled, with one message per
// sender. On a small machine with thousands of reports per second, a pass for each left no time for the
// heartbeats of the startup duty. Drawback: an event waits for the others of its turn.
void Planner::State::schedulePass(Instant now) {
    isPassDue = true;
    passTime = now;
}

void Planner::State::runPass(Instant now) {
    recordsLeft = maxRecordsPerPass;
    continuePass(now);
}

void Planner::State::continuePass(Instant now) {
    isPassDue = isPassCut = false;
    finishLearning(now);
    if (isReady) {
        std::vector<Service*> work;
        work.swap(dirtyServices);
        auto next = work.begin();
        for (; next != work.end() && recordsLeft > 0; ++next) handleDirty(now, *next);
        if (next != work.end()) {
            isPassCut = true;
            ++counters.cutPasses;
            dirtyServices.insert(dirtyServices.begin(), next, work.end());
        }
        advanceClosing(now);
    }
    sendGrants(now);
}

void Planner::State::handleDirty(Instant now, Service* service) {
    countRecords(service);
    service->isDirty = false;
    decayRates(now, service);
    if (service->waiting > 0) {
        ServiceCapacity capacity = usableCapacity(service);
        double need = slotsNeededNow(service, capacity.up) + double(unavailableSlots(service));
        if (need > double(capacity.slots)) startUpTo(now, service, need, true);
    }
    if (service->needsRefill) {
        service->needsRefill = false;
        double want = wantedSlots(now, service);
        if (want > double(usableCapacity(service).slots)) startUpTo(now, service, want, true);
    }
    serveWaiting(now, service);
}

void Planner::State::countRecords(uint64_t n) {
    counters.recordsVisited += n;
    recordsLeft -= std::min(recordsLeft, n);
}
void Planner::State::countRecords(const Service* service) {
    uint64_t n = 1 + service->demands.size();
    for (const Instance* instance : service->instances) n += 1 + instance->allocations.size();
    countRecords(n);
}

Instant Planner::State::nextTickAt() const {
    // Without tokens, wakes when a few are available again, not a whole tick later.
    return std::min(lastTick + (isOutOfTokens ? tuning.tickInterval * 0.25 : tuning.tickInterval),
                    nextReservationEnd);
}

void Planner::State::tick(Instant now) {
    const bool onlyContinues = hasUnfinishedWork() && now < nextTickAt();
    if (!onlyContinues) beginTick(now);
    if (isReady) {
        runPass(now);
        continueRound(now);
    }
    continuePass(now);
    if (!onlyContinues) updateGauges();
}

void Planner::State::beginTick(Instant now) {
    detectUnresponsiveSenders(now);
    lastTick = now;
    isOutOfTokens = false;
    if (now >= nextReservationEnd) nextReservationEnd = Instant::never();
    expire(now);
    finishLearning(now);
    if (!isReady) return;
    const bool beginsRound = roundServices.empty();
    for (auto& [name, p] : services) {
        Service* service = p.get();
        if (service->waiting > 0) markDirty(service);  // a pass starts instances for waiting requests first
        if (!beginsRound) continue;
        service->isInRound = true;
        roundServices.push_back(service);
    }
}

void Planner::State::continueRound(Instant now) {
    recordsLeft = maxRecordsPerPass;
    while (!roundServices.empty() && recordsLeft > 0) {
        Service* service = roundServices.front();
        roundServices.pop_front();
        service->isInRound = false;
        reviewService(now, service);
    }
}

// What a service needs without any event: fewer or more instances, slots ahead of demand.
void Planner::State::reviewService(Instant now, Service* service) {
    if (service->instances.empty() && service->pendingStartCount == 0 && service->waiting == 0 &&
        now > service->lastCallAt + tuning.maxKeepTime && now >= service->warmUntil)
        return countRecords(1);
    countRecords(service);
    decayRates(now, service);
    double peak = service->peakBusy * decayFactor(service->peakUpdatedAt, now, tuning.peakTau);
    service->peakBusy = std::max(double(service->busy), peak);
    service->peakUpdatedAt = now;
    double want = wantedSlots(now, service);
    if (want > double(usableCapacity(service).slots)) startUpTo(now, service, want, false);
    spreadFreeSlots(now, service);
    retireSurplus(now, service);
}

// Ends what is due by time.
void Planner::State::expire(Instant now) {
    std::vector<Sender*> ended;
    for (auto& [id, s] : senders)
        if (!s->isLinked && now >= s->slotsFreeAt) ended.push_back(s.get());
    for (Sender* s : ended) removeSender(now, s, Span());
    std::vector<Instance*> old;
    for (auto& [id, p] : instances) {
        Instance* instance = p.get();
        auto over = [&](const SlotReservation& g) { return now >= g.until; };
        if (std::erase_if(instance->reservations, over) > 0) markDirty(instance->service);
        for (const auto& g : instance->reservations)
            nextReservationEnd = std::min(nextReservationEnd, g.until);
        if (instance->phase == Phase::gone) {
            if (now >= instance->goneAt + tuning.tombstoneTime) old.push_back(instance);
            continue;
        }
        expireAllocations(now, instance);
        if (instance->suspectedBy && now >= instance->suspectedAt + tuning.suspicionTime)
            instance->suspectedBy = nullptr;
    }
    for (Instance* instance : old) removeInstance(instance);
    expireStarts(now);
    expireServices(now);
}

// Settles grants that no report has confirmed for long, repeats others, and drops empty allocations.
void Planner::State::expireAllocations(Instant now, Instance* instance) {
    for (auto& s : instance->allocations) {
        if (!s.isUnconfirmed || !s.sender->isLinked || !s.sender->isSynced) continue;
        if (now >= s.changedAt + tuning.acceptHeldAfter && s.held != s.granted) {
            // An increase counts as in use. After a decrease, fewer held than granted means that the sender
            // returned some on its own; more held means that calls still run.
            if (s.isIncrease)
                s.held = s.granted, s.isUnconfirmed = false;
            else if (s.held < s.granted)
                s.granted = s.held, s.isUnconfirmed = false;
            markDirty(instance->service);
        }
        if (s.isUnconfirmed && now >= s.sentAt + tuning.resendAfter) {
            s.sentAt = now;
            queueGrant(instance, s);
        }
    }
    std::erase_if(instance->allocations, [&](const Allocation& s) {
        bool empty = s.reservedSlots() == 0 && !s.isUnconfirmed && !s.isGrantDue;
        if (empty) s.sender->heldInstances.erase(instance);
        return empty;
    });
}

// Repeats starts without a response, and abandons those that were repeated often or are old.
void Planner::State::expireStarts(Instant now) {
    std::vector<std::string> abandoned;
    for (auto& [nonce, start] : pendingStarts) {
        const Span mostBootTime = start.service->spec.bootTime * tuning.maxBootFactor;
        if (start.isCounted && now >= start.at + mostBootTime + tuning.startsBlockedTime) {
            start.isCounted = false;
            --start.service->pendingStartCount;
            markDirty(start.service);
        }
        if (start.attempts >= tuning.maxAttempts || now >= start.at + tuning.tombstoneTime) {
            abandoned.push_back(nonce);
        } else if (now >= start.retryAt && takeToken(now, true)) {
            start.retryAt = Instant::never();
            outputs.emplace_back(StartCall{start.service->spec.name, start.worker, nonce});
        }
    }
    for (const auto& nonce : abandoned) removeStart(nonce);
}

// Drops the demands of senders that no longer call a service. Against passes and memory that grow for as long
// as the holder runs: in the end with the number of senders times the number of functions.
void Planner::State::expireDemands(Instant now, Service* service) {
    if (now < service->demandsSweptAt + tuning.demandSweepInterval) return;
    service->demandsSweptAt = now;
    std::unordered_set<const Sender*> holders;  // an allocation points to its sender's demand
    for (const Instance* instance : service->instances)
        for (const Allocation& allocation : instance->allocations) holders.insert(allocation.sender);
    std::erase_if(service->demands, [&](const auto& entry) {
        const auto& [sender, demand] = entry;
        if (demand.requests() > 0 || now < demand.rateUpdatedAt + tuning.demandLifetime) return false;
        if (holders.count(sender)) return false;
        sender->services.erase(service);
        return true;
    });
}

// Forgets services that the configuration no longer names and that have nothing left.
void Planner::State::expireServices(Instant now) {
    for (auto it = services.begin(); it != services.end();) {
        Service* s = it->second.get();
        expireDemands(now, s);
        const bool isIdle = !s->isConfigured && s->instances.empty() && s->pendingStartCount == 0 &&
                            !s->isDirty && !s->isInRound && s->waiting + s->busy == 0 &&
                            now > s->lastCallAt + tuning.tombstoneTime &&
                            std::none_of(pendingStarts.begin(), pendingStarts.end(),
                                         [&](const auto& x) { return x.second.service == s; });
        if (!isIdle) {
            ++it;
            continue;
        }
        for (auto& [sender, u] : s->demands) sender->services.erase(s);
        it = services.erase(it);
    }
}

void Planner::State::removeStart(const std::string& nonce) {
    auto it = pendingStarts.find(nonce);
    if (it == pendingStarts.end()) return;
    if (it->second.isCounted) --it->second.service->pendingStartCount;
    markDirty(it->second.service);
    pendingStarts.erase(it);
}

void Planner::State::updateGauges() {
    counters.instances = counters.booting = counters.slots = counters.waiting = counters.demands = 0;
    for (auto& [id, instance] : instances) {
        if (instance->phase == Phase::gone) continue;
        ++counters.instances;
        if (instance->phase == Phase::booting) ++counters.booting;
        if (instance->isUsable()) counters.slots += instance->slots;
    }
    for (auto& [name, s] : services) {
        counters.waiting += s->waiting;
        counters.demands += s->demands.size();
    }
}

}  // namespace petrelpond::scaler
