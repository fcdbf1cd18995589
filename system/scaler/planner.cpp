// What the planner makes of each event. The steps that follow from them stand in planner_state.hpp.
#include "system/scaler/planner.hpp"

#include <algorithm>
#include <unordered_set>

#include "system/scaler/planner_state.hpp"

namespace petrelpond::scaler {

Planner::Planner(Instant now, uint64_t term, uint32_t randomSeed, double maxCallsPerSecond, Span listLag,
                 uint64_t maxRecordsPerPass)
    : state_(std::make_unique<State>(now, term, randomSeed, maxCallsPerSecond, listLag, maxRecordsPerPass)) {}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

void Planner::onConfiguration(Instant now, std::vector<FunctionSpec> functions) {
    State& st = *state_;
    std::unordered_set<std::string> named;
    for (auto& f : functions) {
        Service* service = st.findOrAddService(now, f.name);
        // Where a boot takes longer than the target latency, the first calls would all be late, so one
        // instance is started ahead of them. Drawback: its memory, if no calls come meanwhile.
        if (!service->isConfigured && service->lastCallAt == Instant::longAgo() &&
            f.targetLatency < f.bootTime)
            service->warmUntil = now + st.tuning.prewarmTime;
        service->isConfigured = true;
        if (serviceGroupKey(service->spec) != serviceGroupKey(f)) service->group = nullptr;
        service->spec = f;
        named.insert(f.name);
        for (Instance* instance : service->instances)
            if (!instance->wasListed) instance->slots = f.slotsPerInstance();
        st.markDirty(service);
    }
    for (auto& [name, s] : st.services) {
        if (!s->isConfigured || named.count(name)) continue;
        s->isConfigured = false;
        s->lastCallAt = std::max(s->lastCallAt, now);  // calls from before the change may still run
        st.markDirty(s.get());
    }
    st.hasConfiguration = true;
    st.schedulePass(now);
}

void Planner::onReportBacklog(Instant now) { state_->backlogReportedAt = now; }
bool Planner::isReady() const { return state_->isReady; }

void Planner::onTermRenewed(Instant now, uint64_t term) {
    State& st = *state_;
    if (term <= st.term) return;
    st.term = term;
    st.noncePrefix = std::to_string(term) + "-" + std::to_string(st.random()) + "-";
    for (auto& [id, sender] : st.senders) sender->isSynced = false;  // full reports for this term follow
    st.schedulePass(now);
}

void Planner::onSenderLinked(Instant now, const SenderId& senderId, const std::string& zone) {
    State& st = *state_;
    auto& p = st.senders[senderId];
    if (!p) {
        p = std::make_unique<Sender>();
        p->creationNumber = ++st.lastCreationNumber;
        p->id = senderId;
    }
    st.discardUnsent(p.get());
    p->zone = zone;
    p->isLinked = true;
    p->unansweredSince = Instant::never();
    // Its full report says what it holds; until then everything stays reserved.
    p->isSynced = p->isLeaving = p->isUnresponsive = false;
    p->slotsFreeAt = Instant::never();
    st.schedulePass(now);
}

void Planner::onReport(Instant now, const SenderId& senderId, const Report& report) {
    State& st = *state_;
    if (report.term != st.term) {
        ++st.counters.wrongTerm;
        return;
    }
    auto found = st.senders.find(senderId);
    if (found == st.senders.end() || !found->second->isLinked) return;
    Sender* sender = found->second.get();
    if (!sender->isSynced && !report.isFull) return;
    bool isFirstFullReport = !sender->isSynced;
    sender->isSynced = true;
    sender->isUnresponsive = false;
    sender->unansweredSince = Instant::never();
    sender->isLeaving = report.isLeaving;
    double span = std::clamp(report.intervalMs / 1000.0, 0.0, 10.0);

    std::set<Instance*, CreationOrder> namedHeld;
    for (const auto& h : report.held) {
        auto it = st.instances.find(h.instance);
        Instance* instance;
        if (it == st.instances.end()) {
            if (h.slots == 0 || h.service.empty()) continue;
            instance = st.addInstance(now, h.instance, h.service, h.address);
            ++st.counters.adopted;
        } else {
            instance = it->second.get();
        }
        if (h.slots == 0 && !instance->findAllocation(sender)) continue;
        namedHeld.insert(instance);
        st.applyHeld(now, instance, *st.findOrAddAllocation(now, instance, sender), h.slots,
                     std::min(h.busy, h.slots), isFirstFullReport);
    }
    if (report.isFull) {
        std::vector<Instance*> others;
        for (Instance* instance : sender->heldInstances)
            if (!namedHeld.count(instance)) others.push_back(instance);
        for (Instance* instance : others)
            st.applyHeld(now, instance, *instance->findAllocation(sender), 0, 0, isFirstFullReport);
    }
    std::set<Service*, CreationOrder> namedDemand;
    for (const auto& d : report.demands) {
        Service* service = st.findOrAddService(now, d.service);
        SenderDemand* u = st.findOrAddDemand(now, service, sender);
        st.recordArrivals(now, service, *u, d, span);
        st.setDemand(*u, service, d.waiting, d.busy);
        if (d.waiting + d.busy > 0) service->lastCallAt = now;
        service->peakBusy = std::max(service->peakBusy, double(service->busy));
        if (report.isFull) namedDemand.insert(service);
        if (d.waiting > 0) st.markDirty(service);
    }
    if (report.isFull)
        for (Service* s : sender->services)
            if (!namedDemand.count(s)) st.setDemand(s->demands[sender], s, 0, 0);
    if (report.isLeaving)
        for (Instance* instance : sender->heldInstances) {
            Allocation* s = instance->findAllocation(sender);
            if (s && s->granted > s->busy && s->canDecrease()) st.setGranted(now, instance, *s, s->busy);
        }
    for (const auto& id : report.up) {
        auto it = st.instances.find(id);
        if (it == st.instances.end()) continue;
        it->second->suspectedBy = nullptr;
        st.markUp(now, it->second.get());
    }
    for (const auto& id : report.unreachable) {
        auto it = st.instances.find(id);
        if (it == st.instances.end()) continue;
        Instance* instance = it->second.get();
        if (instance->phase == Phase::gone) continue;
        // A booting instance refuses connections; onInstanceList() ends boots that take too long.
        if (instance->phase == Phase::booting) continue;
        bool again = instance->suspectedBy && (instance->suspectedBy != sender ||
                                               now - instance->suspectedAt >= st.tuning.minRepeatReportGap);
        if (again) {
            st.markGone(now, instance, true);
        } else if (!instance->suspectedBy) {
            instance->suspectedBy = sender;
            instance->suspectedAt = now;
        }
    }
    st.schedulePass(now);
}

void Planner::onSenderUnlinked(Instant now, const SenderId& senderId, bool closed) {
    State& st = *state_;
    auto it = st.senders.find(senderId);
    if (it == st.senders.end()) return;
    Sender* sender = it->second.get();
    if (closed) {
        st.removeSender(now, sender, st.tuning.freeAfterClose);
    } else if (sender->isLinked) {
        st.discardUnsent(sender);
        sender->isLinked = sender->isSynced = false;
        sender->slotsFreeAt = now + st.tuning.freeAfterSilence;
        for (Service* service : sender->services) st.setDemand(service->demands[sender], service, 0, 0);
    }
    st.schedulePass(now);
}

void Planner::onInstanceList(Instant now, std::vector<ListedInstance> list) {
    State& st = *state_;
    st.hasInstanceList = true;
    std::unordered_set<std::string> named;
    for (auto& l : list) {
        named.insert(l.instance);
        auto it = st.instances.find(l.instance);
        Instance* instance;
        if (it == st.instances.end()) {
            instance = st.addInstance(now, l.instance, l.service, l.address);
            ++st.counters.adopted;
        } else {
            instance = it->second.get();
        }
        if (instance->service->spec.name != l.service)
            continue;  // instance ids are never reused: ignore the contradiction
        instance->zone = l.zone;
        instance->worker = l.worker;
        if (l.slots > 0) instance->slots = usableSlots(l.slots, instance->service->spec.maxConnections);
        instance->wasListed = true;
        instance->missedLists = 0;
        if (instance->phase == Phase::gone) {
            if (!instance->isStopSent && now >= instance->goneAt + st.tuning.stopIfListedAfter)
                st.closing.insert(instance);
            continue;
        }
        if (l.draining)
            st.markDraining(now, instance);
        else
            st.markUp(now, instance);
        st.markDirty(instance->service);
    }
    std::vector<Instance*> lost;
    for (auto& [id, instance] : st.instances) {
        if (named.count(id)) continue;
        if (instance->phase == Phase::gone) {
            st.closing.erase(instance.get());
            continue;
        }
        // An instance that a sender reported up must be listed within the list lag. Without this, one that
        // died as the duty changed hands was adopted from reports and kept for seconds though never listed,
        // and no replacement was started.
        bool isOverdue = instance->wasListed ||
                         (instance->phase != Phase::booting &&
                          now > instance->upSince + st.listLag * 1.5 + Span::millis(300)) ||
                         (instance->phase == Phase::booting && now >= st.bootDeadline(instance.get()));
        // A single list without it may be older than the last one that named it.
        if (isOverdue && ++instance->missedLists >= 2) lost.push_back(instance.get());
    }
    for (Instance* instance : lost) {
        // A start that did not come up is stopped too, or it could cost memory forever. Elapsed time alone
        // does not decide this: a holder that was suspended, or that gets lists rarely, stopped working
        // instances it had not heard of. Drawback: a start that failed silently is replaced one or two lists
        // later.
        const bool boots = instance->phase == Phase::booting;
        st.markGone(now, instance, instance->phase != Phase::draining && instance->phase != Phase::stopping);
        if (boots) st.closing.insert(instance), instance->nextStopAt = now;
    }
    st.schedulePass(now);
}

void Planner::onWorkerList(Instant now, std::vector<Worker> workers) {
    State& st = *state_;
    std::unordered_set<std::string> named;
    for (auto& w : workers) {
        named.insert(w.name);
        WorkerState& n = st.workers[w.name];
        n.reported = w;
        n.missedLists = 0;
        std::erase_if(n.reservedMemory, [&](const auto& t) { return t.first + st.listLag < now; });
    }
    std::unordered_set<std::string> down;
    for (auto it = st.workers.begin(); it != st.workers.end();) {
        if (!named.count(it->first) && ++it->second.missedLists >= 2) {
            down.insert(it->first);
            it = st.workers.erase(it);
        } else {
            ++it;
        }
    }
    if (!down.empty())  // the instances of a lost worker are lost with it
        for (auto& [id, instance] : st.instances)
            if (instance->phase != Phase::gone && down.count(instance->worker))
                st.markGone(now, instance.get(), true);
    for (auto& [name, s] : st.services)
        if (s->waiting > 0) st.markDirty(s.get());
    st.schedulePass(now);
}

void Planner::onStarted(Instant now, const std::string& nonce, std::string instanceId, std::string address) {
    State& st = *state_;
    auto it = st.pendingStarts.find(nonce);
    if (it == st.pendingStarts.end())
        return;  // abandoned; the instance list will show the instance if it exists
    PendingStart start = it->second;
    st.removeStart(nonce);
    if (!st.instances.count(instanceId)) {
        Instance* instance = st.addInstance(now, instanceId, start.service->spec.name, address);
        instance->startedAt = start.at;
        instance->worker = start.worker;
        if (auto n = st.workers.find(start.worker); n != st.workers.end())
            instance->zone = n->second.reported.zone;
    }
    st.schedulePass(now);
}

void Planner::onStartFailed(Instant now, const std::string& nonce, int status) {
    State& st = *state_;
    auto it = st.pendingStarts.find(nonce);
    if (it == st.pendingStarts.end()) return;
    PendingStart& start = it->second;
    Service* service = start.service;
    if (status == 0) {
        // The start may have happened: only a retry with the same nonce on the same worker cannot start a
        // second instance.
        start.retryAt = now + st.tuning.retryDelay * double(1 << std::min(start.attempts, 3));
        ++start.attempts;
        st.schedulePass(now);
        return;
    }
    ++st.counters.startsFailed;
    if (auto n = st.workers.find(start.worker); n != st.workers.end()) {
        if (status == 409) n->second.fullUntil = now + st.tuning.workerFullTime;
        std::erase_if(n->second.reservedMemory, [&](const auto& t) {
            return t.first == start.at && t.second == service->spec.memoryMb;
        });
    }
    if (status == 429) st.tokens = 0;
    if (status == 400)
        service->startsBlockedUntil = now + st.tuning.unknownServiceBlockedTime;
    else if (status != 409)
        service->startsBlockedUntil = now + st.tuning.retryDelay;
    st.removeStart(nonce);
    st.schedulePass(now);
}

void Planner::onStopped(Instant now, const std::string& instanceId, int status) {
    State& st = *state_;
    auto it = st.instances.find(instanceId);
    if (it == st.instances.end()) return;
    Instance* instance = it->second.get();
    if (status == 200 || status == 404) {
        st.closing.erase(instance);
        st.markGone(now, instance, false);
    } else {
        instance->nextStopAt = now + st.tuning.retryDelay;
        instance->isStopSent = false;
        if (status == 429) st.tokens = 0;
    }
    st.schedulePass(now);
}

void Planner::tick(Instant now) { state_->tick(now); }

Instant Planner::wakeAt() const {
    return state_->hasUnfinishedWork() ? Instant::longAgo() : state_->nextTickAt();
}

std::optional<Output> Planner::next() {
    State& st = *state_;
    if (st.isPassDue) st.runPass(st.passTime);
    if (st.outputs.empty()) return std::nullopt;
    Output o = std::move(st.outputs.front());
    st.outputs.pop_front();
    return o;
}

const Counters& Planner::counters() const { return state_->counters; }

std::vector<ServiceState> Planner::serviceStates() const {
    std::vector<ServiceState> out;
    for (const auto& [name, s] : state_->services) {
        ServiceState one;
        one.name = name, one.waiting = s->waiting, one.busy = s->busy, one.booting = s->pendingStartCount;
        for (const Instance* instance : s->instances) {
            if (instance->phase == Phase::up)
                ++one.up, one.slots += instance->slots;
            else if (instance->phase == Phase::booting)
                ++one.booting;
            else if (instance->phase != Phase::gone)
                ++one.draining;
        }
        out.push_back(std::move(one));
    }
    return out;
}

}  // namespace petrelpond::scaler
