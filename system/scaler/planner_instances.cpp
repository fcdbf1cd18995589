// The life of instances: which are started, on which worker, and which are stopped.
#include "system/scaler/planner_state.hpp"

namespace petrelpond::scaler {

void Planner::State::markUp(Instant now, Instance* instance) {
    if (instance->phase != Phase::booting) return;
    instance->phase = Phase::up;
    instance->upSince = now;
    markDirty(instance->service);
}

void Planner::State::markDraining(Instant now, Instance* instance) {
    if (instance->phase == Phase::draining || instance->phase == Phase::gone) return;
    instance->phase = Phase::draining;
    closing.erase(instance);
    revokeAll(now, instance, true);
    instance->service->needsRefill = true;
    ++counters.drained;
    markDirty(instance->service);
}

void Planner::State::markGone(Instant now, Instance* instance, bool lost) {
    if (instance->phase == Phase::gone) return;
    instance->phase = Phase::gone;
    instance->goneAt = now;
    closing.erase(instance);
    revokeAll(now, instance, true);
    if (lost) {
        ++counters.lost;
        instance->service->needsRefill = true;
    }
    markDirty(instance->service);
}

void Planner::State::requestStop(Instant now, Instance* instance) {
    if (now < instance->nextStopAt) return;
    if (!takeToken(now, false)) return;
    instance->isStopSent = true;
    instance->nextStopAt = now + Span::seconds(5);  // repeated if onStopped() is not called
    ++counters.stops;
    outputs.emplace_back(StopCall{instance->id});
}

// Stops a retiring instance once every sender has reported its slots returned; until then a slot counts
// as in use.
void Planner::State::advanceClosing(Instant now) {
    for (auto it = closing.begin(); it != closing.end();) {
        Instance* instance = *it++;
        if (instance->phase == Phase::retiring) {
            revokeAll(now, instance, false);
            // A reassigned slot counts as open: its sender may only be cut off from this holder and still
            // use it.
            auto open = [](const Allocation& s) { return s.isUnconfirmed && !s.isIncrease; };
            if (instance->reservedSlots() > 0 ||
                std::any_of(instance->allocations.begin(), instance->allocations.end(), open))
                continue;
            instance->phase = Phase::stopping;
            instance->nextStopAt = now;
        }
        if (instance->phase == Phase::stopping || instance->phase == Phase::gone) requestStop(now, instance);
    }
}

void Planner::State::retire(Instant now, Instance* instance) {
    instance->phase = Phase::retiring;
    closing.insert(instance);
    revokeAll(now, instance, false);
}

// When a start that is neither listed nor reported up counts as failed.
Instant Planner::State::bootDeadline(const Instance* instance) const {
    return instance->startedAt + instance->service->spec.bootTime * tuning.maxBootFactor + listLag;
}

ServiceCapacity Planner::State::usableCapacity(const Service* service) const {
    ServiceCapacity capacity;
    for (Instance* instance : service->instances) {
        if (!instance->isUsable()) continue;
        ++capacity.count;
        capacity.slots += instance->slots;
        if (instance->phase == Phase::up) capacity.up += instance->slots;
    }
    capacity.count += service->pendingStartCount;
    capacity.slots += SlotCount(service->pendingStartCount) * service->spec.slotsPerInstance();
    return capacity;
}

void Planner::State::startUpTo(Instant now, Service* service, double slots, bool urgent) {
    ServiceCapacity capacity = usableCapacity(service);
    // Retiring instances are reused first: they are already up.
    for (Instance* instance : service->instances) {
        if (double(capacity.slots) >= slots) return;
        if (instance->phase != Phase::retiring) continue;
        instance->phase = Phase::up;
        closing.erase(instance);
        capacity.slots += instance->slots;
    }
    if (!service->isConfigured || now < service->startsBlockedUntil) return;
    const uint32_t slotsEach = service->spec.slotsPerInstance();
    while (double(capacity.slots) < slots) {
        // Before the search for a worker. Against passes in which thousands of functions that lack an
        // instance searched for one while the platform's rate was used up: the holder answered nobody.
        if (!hasToken(now, urgent)) return;
        WorkerState* worker = chooseWorker(now, service);
        if (!worker) {
            service->startsBlockedUntil = now + tuning.startsBlockedTime;
            return;
        }
        takeToken(now, urgent);
        requestStart(now, service, *worker);
        capacity.slots += slotsEach;
    }
}

void Planner::State::requestStart(Instant now, Service* service, WorkerState& worker) {
    PendingStart start;
    start.service = service;
    start.worker = worker.reported.name;
    start.at = now;
    worker.reservedMemory.emplace_back(now, service->spec.memoryMb);
    std::string nonce = noncePrefix + std::to_string(++nonceCount);
    outputs.emplace_back(StartCall{service->spec.name, start.worker, nonce});
    pendingStarts.emplace(nonce, std::move(start));
    ++service->pendingStartCount;
    ++counters.starts;
}

// Chooses a worker for a new instance: spreads a service over workers and zones (a crash takes a whole
// worker), prefers zones with demand, then free memory. Returns null if none has room.
WorkerState* Planner::State::chooseWorker(Instant now, Service* service) {
    std::vector<WorkerState*> withRoom;
    for (auto& [name, worker] : workers)
        if (worker.takesStarts(now) && worker.freeMemoryMb() >= service->spec.memoryMb)
            withRoom.push_back(&worker);
    // Before anything is counted for the scores: while all workers are full, each function that lacks an
    // instance comes here.
    if (withRoom.empty()) return nullptr;
    ++counters.workerSearches;
    std::unordered_map<std::string, double> onWorker, inZone, demandInZone;
    double total = 0, count = 0;
    auto add = [&](const std::string& worker, const std::string& zone) {
        onWorker[worker] += 1;
        inZone[zone] += 1;
        count += 1;
    };
    for (Instance* instance : service->instances)
        if (instance->isUsable()) add(instance->worker, instance->zone);
    if (service->pendingStartCount > 0)
        for (auto& [nonce, start] : pendingStarts)
            if (start.service == service && start.isCounted) {
                auto worker = workers.find(start.worker);
                add(start.worker, worker == workers.end() ? "" : worker->second.reported.zone);
            }
    for (auto& [sender, u] : service->demands) {
        double demand = u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau) + u.waiting;
        demandInZone[sender->zone] += demand;
        total += demand;
    }
    WorkerState* best = nullptr;
    double bestScore = 0;
    for (WorkerState* worker : withRoom) {
        const Worker& reported = worker->reported;
        double share = total > 0 ? demandInZone[reported.zone] / total : 0;
        double score = 2 * (share * (count + 1) - inZone[reported.zone]) - 1.5 * onWorker[reported.name] +
                       double(worker->freeMemoryMb()) / std::max(1, reported.memoryMb);
        if (!best || score > bestScore || (score == bestScore && reported.name < best->reported.name))
            best = worker, bestScore = score;
    }
    return best;
}

void Planner::State::retireSurplus(Instant now, Service* service) {
    ServiceCapacity capacity = usableCapacity(service);
    double want = wantedSlots(now, service);
    const uint32_t slotsEach = service->spec.slotsPerInstance();
    double keep = want > 0 ? std::max(want * tuning.surplusFactor, service->peakBusy) : 0;
    // No more than there are: a number of slots may exceed the range of an integer.
    auto least = uint32_t(std::min(std::ceil(keep / slotsEach), double(capacity.count)));
    // Where one instance suffices, the 15% more (tuning.surplusFactor) is left out: one is kept, not two.
    if (want > 0 && want <= slotsEach && service->peakBusy <= slotsEach) least = 1;
    if (capacity.count <= least) {
        service->surplusSince = Instant::never();
        return;
    }
    if (service->surplusSince == Instant::never()) service->surplusSince = now;
    if (want > 0 && now - service->surplusSince < surplusKeepTime(service)) return;
    std::vector<std::pair<SlotCount, Instance*>> byLoad;
    for (Instance* instance : service->instances)
        if (instance->phase == Phase::up) byLoad.emplace_back(instance->busySlots(), instance);
    std::sort(byLoad.begin(), byLoad.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first < b.first : a.second->id < b.second->id;
    });
    uint32_t surplus = capacity.count - least;
    for (auto& [busy, instance] : byLoad) {
        if (surplus == 0) break;
        retire(now, instance);
        --surplus;
    }
}

}  // namespace petrelpond::scaler
