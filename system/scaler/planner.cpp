#include "system/scaler/planner.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <tuple>
#include <unordered_map>
#include <unordered_set>

#include "system/scaler/apportion.hpp"
#include "system/scaler/planner_records.hpp"
#include "system/scaler/tuning.hpp"

namespace petrelpond::scaler {
namespace {

double decayFactor(Instant from, Instant to, double tau) {
    double dt = (to - from).inSeconds();
    return dt <= 0 ? 1 : std::exp(-dt / tau);
}

// What n calls spread over the last `span` seconds add to a rate that decays with time constant tau.
double rateGain(double n, double span, double tau) {
    return span < 0.05 * tau ? n / tau : n * (1 - std::exp(-span / tau)) / span;
}

}  // namespace

struct Planner::State {
    State(Instant now, uint64_t t, uint32_t randomSeed, double duty, Span lag)
        : createdAt(now), term(t), random(randomSeed), listLag(lag), maxCallsPerSecond(std::max(duty, 0.1)),
          lastTick(now) {
        tokens = bucketDepth();
        tokensUpdatedAt = now;
        noncePrefix = std::to_string(term) + "-" + std::to_string(random()) + "-";
    }

    Tuning tuning;
    Instant createdAt;
    uint64_t term;
    std::mt19937 random;
    Span listLag;
    double maxCallsPerSecond;
    Instant lastTick, tokensUpdatedAt;
    double tokens = 0;
    std::string noncePrefix;
    uint64_t nonceCount = 0, lastCreationNumber = 0;
    Instant nextReservationEnd = Instant::never();  // when the first slots of ended senders are released
    Instant passTime;                               // time of the newest event
    Instant backlogReportedAt = Instant::longAgo();
    bool isPassDue = false;
    bool isReady = false, isOutOfTokens = false, hasConfiguration = false, hasInstanceList = false;
    std::unordered_map<std::string, std::unique_ptr<Service>> services;
    std::unordered_map<std::string, std::unique_ptr<Instance>> instances;
    std::unordered_map<SenderId, std::unique_ptr<Sender>> senders;
    std::unordered_map<std::string, WorkerState> workers;
    std::unordered_map<std::string, PendingStart> pendingStarts;  // by nonce
    std::map<std::tuple<int, int64_t, int, int64_t>, ServiceGroup> groups;
    std::vector<Service*> dirtyServices;
    std::vector<Sender*> sendersWithGrants;
    std::set<Instance*, CreationOrder>
        closing;  // retiring, stopping without a response, or gone but still listed
    std::deque<Output> outputs;
    Counters counters;

    // --- platform call rate ---

    double bucketDepth() const { return std::max(1.0, tuning.bucketDepthFactor * maxCallsPerSecond); }
    // Takes a token for one start or stop. Calls that are not urgent leave a part of the bucket for starts
    // that waiting requests need.
    bool takeToken(Instant now, bool urgent) {
        double dt = std::max(0.0, (now - tokensUpdatedAt).inSeconds());
        tokens = std::min(bucketDepth(), tokens + dt * tuning.bucketRateFactor * maxCallsPerSecond);
        tokensUpdatedAt = std::max(tokensUpdatedAt, now);
        double least = urgent || bucketDepth() < 4 ? 0 : tuning.urgentReserveFraction * bucketDepth();
        if (tokens - 1 < least) {
            isOutOfTokens = true;
            return false;
        }
        tokens -= 1;
        return true;
    }

    // --- tables --------------------------------------------------------------------------------------------

    void markDirty(Service* service) {
        if (service->isDirty) return;
        service->isDirty = true;
        dirtyServices.push_back(service);
    }
    Service* findOrAddService(Instant now, const std::string& name) {
        auto& p = services[name];
        if (!p) {
            p = std::make_unique<Service>();
            p->creationNumber = ++lastCreationNumber;
            p->spec.name = name;
            p->spec.bootTime = Span::seconds(1);
            p->spec.targetLatency = Span::seconds(1);
            p->rateUpdatedAt = p->peakUpdatedAt = now;
        }
        return p.get();
    }
    SenderDemand* findOrAddDemand(Instant now, Service* service, Sender* sender) {
        auto [it, fresh] = service->demands.try_emplace(sender);
        if (fresh) {
            it->second.sender = sender;
            it->second.rateUpdatedAt = now;
            sender->services.insert(service);
        }
        return &it->second;
    }
    Allocation* findOrAddAllocation(Instant now, Instance* instance, Sender* sender) {
        if (Allocation* s = instance->findAllocation(sender)) return s;
        Allocation s;
        s.sender = sender;
        s.demand = findOrAddDemand(now, instance->service, sender);
        s.idleSince = now;
        instance->allocations.push_back(s);
        sender->heldInstances.insert(instance);
        return &instance->allocations.back();
    }
    Instance* addInstance(Instant now, const std::string& id, const std::string& service,
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
    void removeInstance(Instance* instance) {
        for (auto& s : instance->allocations) {
            s.sender->heldInstances.erase(instance);
            std::erase(s.sender->grantsDue, instance);
        }
        std::erase(instance->service->instances, instance);
        closing.erase(instance);
        instances.erase(instance->id);
    }
    void setDemand(SenderDemand& u, Service* service, uint32_t waiting, uint32_t busy) {
        service->waiting = service->waiting - u.waiting + waiting;
        service->busy = service->busy - u.busy + busy;
        u.waiting = waiting;
        u.busy = busy;
    }

    // --- telling -------------------------------------------------------------------------------------------

    void queueGrant(Instance* instance, Allocation& s) {
        if (s.isGrantDue || !s.sender->isLinked || !s.sender->isSynced) return;
        s.isGrantDue = true;
        if (s.sender->grantsDue.empty()) sendersWithGrants.push_back(s.sender);
        s.sender->grantsDue.push_back(instance);
    }
    void setGranted(Instant now, Instance* instance, Allocation& s, uint32_t n) {
        if (n == s.granted && !(n < s.held && !s.isUnconfirmed)) return;
        s.isIncrease = n > s.granted;
        s.granted = n;
        s.isUnconfirmed = true;
        s.changedAt = s.sentAt = now;
        queueGrant(instance, s);
    }
    // Revokes all slots of an instance. Of an ending instance also those with an unconfirmed increase, since
    // none of its slots is granted again.
    void revokeAll(Instant now, Instance* instance, bool includeUnconfirmed) {
        for (auto& s : instance->allocations)
            if (s.reservedSlots() > 0 && s.granted > 0 && (includeUnconfirmed || s.canDecrease()))
                setGranted(now, instance, s, 0);
    }
    void sendGrants(Instant now) {
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
    void discardUnsent(Sender* sender) {
        std::erase_if(outputs, [&](const Output& o) {
            const auto* t = std::get_if<GrantsMessage>(&o);
            return t && t->to == sender->id;
        });
        for (Instance* instance : sender->grantsDue)
            if (Allocation* s = instance->findAllocation(sender)) s->isGrantDue = false;
        sender->grantsDue.clear();
        std::erase(sendersWithGrants, sender);
    }

    // --- life of instances ---------------------------------------------------------------------------------

    void markUp(Instant now, Instance* instance) {
        if (instance->phase != Phase::booting) return;
        instance->phase = Phase::up;
        instance->upSince = now;
        markDirty(instance->service);
    }
    void markDraining(Instant now, Instance* instance) {
        if (instance->phase == Phase::draining || instance->phase == Phase::gone) return;
        instance->phase = Phase::draining;
        closing.erase(instance);
        revokeAll(now, instance, true);
        instance->service->needsRefill = true;
        ++counters.drained;
        markDirty(instance->service);
    }
    void markGone(Instant now, Instance* instance, bool lost) {
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
    void requestStop(Instant now, Instance* instance) {
        if (now < instance->nextStopAt) return;
        if (!takeToken(now, false)) return;
        instance->isStopSent = true;
        instance->nextStopAt = now + Span::seconds(5);  // repeated if onStopped() is not called
        ++counters.stops;
        outputs.emplace_back(StopCall{instance->id});
    }
    // Stops a retiring instance once every sender has reported its slots returned; until then a slot counts
    // as in use.
    void advanceClosing(Instant now) {
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
            if (instance->phase == Phase::stopping || instance->phase == Phase::gone)
                requestStop(now, instance);
        }
    }
    void retire(Instant now, Instance* instance) {
        instance->phase = Phase::retiring;
        closing.insert(instance);
        revokeAll(now, instance, false);
    }

    // --- senders -------------------------------------------------------------------------------------------

    void removeSender(Instant now, Sender* sender, Span reservationTime) {
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

    void applyHeld(Instant now, Instance* instance, Allocation& s, uint32_t slots, uint32_t busy,
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

    // Recalls slots where more are reserved than the instance has: an earlier holder, or this one after 5 s
    // of a sender's silence, granted some twice.
    void recallOvercommitted(Instant now, Instance* instance) {
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
    void detectUnresponsiveSenders(Instant now) {
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
    SlotCount unavailableSlots(const Service* service) const {
        SlotCount n = 0;
        for (const Instance* instance : service->instances) {
            if (!instance->isUsable()) continue;
            for (const auto& sh : instance->allocations)
                if (!sh.sender->isResponsive())
                    n += sh.sender->isUnresponsive ? std::min(sh.busy, sh.reservedSlots())
                                                   : sh.reservedSlots();
        }
        return n;
    }

    void recordArrivals(Instant now, Service* service, SenderDemand& u, const Demand& d, double span) {
        if (d.meanCallUs > 0 && d.arrived > 0) {
            double w = d.meanCallUs / 1e6, n = std::min(d.arrived, 16u);
            service->callWeight = std::min(service->callWeight + n, tuning.maxCallWeight);
            service->meanCallSeconds +=
                std::min(1.0, n / service->callWeight) * (w - service->meanCallSeconds);
            if (!service->group) service->group = &groups[groupKey(service->spec)];
            service->group->callWeight = std::min(service->group->callWeight + n, tuning.maxGroupCallWeight);
            service->group->meanCallSeconds +=
                std::min(1.0, n / service->group->callWeight) * (w - service->group->meanCallSeconds);
        }
        if (d.arrived == 0) return;
        decayRates(now, service);
        service->shortRate += rateGain(d.arrived, span, shortTau(service));
        service->fastRate += rateGain(d.arrived, span, tuning.fastTau);
        service->slowRate += rateGain(d.arrived, span, tuning.slowTau);
        service->longRate += rateGain(d.arrived, span, tuning.longTau);
        u.rate = u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau) +
                 rateGain(d.arrived, span, tuning.fastTau);
        u.rateUpdatedAt = now;
        service->lastCallAt = now;
    }
    // A window shorter than a call would count one long call as many.
    double shortTau(const Service* service) const {
        return std::max(tuning.shortTau, estimateCallSeconds(service));
    }
    // For a service with few calls the mean of its group is weighted more than its own: one long call in
    // three made a rarely called function look busy, and twice the instances were kept for it.
    double estimateCallSeconds(const Service* service) const {
        const ServiceGroup* g = findGroup(service);
        double like = g && g->callWeight >= 1 ? g->meanCallSeconds : priorCallSeconds(service);
        return (tuning.priorCallWeight * like + service->callWeight * service->meanCallSeconds) /
               (tuning.priorCallWeight + service->callWeight);
    }
    // Limited, against a route without a latency target to speak of: its first call took all workers' memory
    // for instances that nobody needed. Drawback: a function with longer calls has too few instances until
    // one call was measured, and starts more as requests wait.
    double priorCallSeconds(const Service* service) const {
        return std::min(tuning.priorCallToTargetRatio * service->spec.targetLatency.inSeconds(),
                        tuning.maxPriorCallTime.inSeconds());
    }
    using GroupKey = std::tuple<int, int64_t, int, int64_t>;
    static GroupKey groupKey(const FunctionSpec& f) {
        return {f.memoryMb, f.bootTime.inMicros(), f.maxConcurrency, f.targetLatency.inMicros()};
    }
    const ServiceGroup* findGroup(const Service* service) const {
        if (service->group) return service->group;
        auto found = groups.find(groupKey(service->spec));
        return found != groups.end() ? &found->second : nullptr;
    }
    void decayRates(Instant now, Service* service) {
        if (now <= service->rateUpdatedAt) return;
        service->shortRate *= decayFactor(service->rateUpdatedAt, now, shortTau(service));
        service->fastRate *= decayFactor(service->rateUpdatedAt, now, tuning.fastTau);
        service->slowRate *= decayFactor(service->rateUpdatedAt, now, tuning.slowTau);
        service->longRate *= decayFactor(service->rateUpdatedAt, now, tuning.longTau);
        service->rateUpdatedAt = now;
    }

    // --- slots for waiting requests ---

    // Free slots beyond this number make an instance no better than another.
    static constexpr uint32_t kScoredFreeSlots = 9;

    // Prefers the sender's zone, then instances that few senders hold, so that few have to return slots when
    // it is retired. Callers try running instances of any zone before booting ones: a boot takes a second,
    // another zone costs 1 to 20 ms.
    Instance* chooseFreeInstance(Service* service, Sender* sender, Phase phase) {
        ++counters.slotSearches;
        Instance* best = nullptr;
        int bestScore = 0;
        for (Instance* instance : service->instances) {
            if (instance->phase != phase || instance->freeSlots() == 0 || instance->suspectedBy) continue;
            Allocation* own = instance->findAllocation(sender);
            if (own && !own->canIncrease()) continue;
            int score = 1000 + (instance->zone == sender->zone ? 500 : 0) + (own ? 50 : 0);
            score -= 10 * int(instance->allocations.size());
            if (phase == Phase::up) score += int(std::min(instance->freeSlots(), kScoredFreeSlots));
            if (score > bestScore) best = instance, bestScore = score;
        }
        return best;
    }
    // Grants slots of the best instance, at least one and at most `most`; returns how many, 0 if none is
    // free. While an instance has more free slots than its score counts, it stays the best, so all of these
    // are granted at once. Against a pass whose length grows with the slots of an instance: a function
    // without a limit has two thousand million, and the holder answered nobody until each had been granted by
    // itself.
    SlotCount grantSlots(Instant now, Service* service, SenderDemand& u, Phase phase, SlotCount most) {
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

    void serveWaiting(Instant now, Service* service) {
        for (Instance* instance : service->instances) recallOvercommitted(now, instance);
        if (service->waiting == 0) return;
        std::vector<SenderDemand*> want;
        SlotCount totalDemand = 0, slots = 0, coming = 0;
        for (auto& [sender, u] : service->demands) {
            u.upCover = u.bootCover = u.granted = 0;
            totalDemand += SlotCount(u.waiting) + u.busy;
            if (u.waiting > 0 && sender->isResponsive()) want.push_back(&u);
        }
        for (Instance* instance : service->instances) {
            if (!instance->isUsable()) continue;
            if (instance->phase == Phase::up) slots += instance->slots;
            for (auto& sh : instance->allocations) {
                sh.demand->granted += sh.granted;
                if (instance->phase == Phase::booting) {
                    sh.demand->bootCover += sh.granted;
                } else {
                    sh.demand->upCover += sh.granted > sh.busy ? sh.granted - sh.busy : 0;
                    coming +=
                        sh.sender->isResponsive() ? sh.reservedSlots() - sh.granted : sh.reassignableSlots();
                }
            }
            if (instance->phase == Phase::up)
                for (auto& g : instance->reservations) coming += g.slots;
        }
        // The sender whose last grant is oldest goes first. One slot at a time where slots are scarce,
        // otherwise an equal part of the free ones.
        std::sort(want.begin(), want.end(), [](SenderDemand* a, SenderDemand* b) {
            return a->lastGrantedAt != b->lastGrantedAt ? a->lastGrantedAt < b->lastGrantedAt
                                                        : a->sender->id < b->sender->id;
        });
        auto grantInTurns = [&](auto unmetBy, Phase phase) {
            SlotCount unmet = 0, spare = 0;
            std::vector<SenderDemand*> open = want;
            // Counts the free slots once. When none was free, each waiting sender searched all allocations of
            // all instances, so the holder got slower the more waited, and after a loss of all cores it never
            // caught up.
            for (const Instance* instance : service->instances)
                if (instance->phase == phase && !instance->suspectedBy) spare += instance->freeSlots();
            while (!open.empty()) {
                std::vector<SenderDemand*> still;
                const SlotCount turn = std::max<SlotCount>(1, spare / open.size());
                for (SenderDemand* u : open) {
                    const SlotCount lacking = unmetBy(*u);
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
        };
        auto unmetByUp = [](const SenderDemand& u) {
            return u.waiting > u.upCover ? u.waiting - u.upCover : SlotCount(0);
        };
        auto unmetByAny = [](const SenderDemand& u) {
            const SlotCount covered = u.upCover + u.bootCover;
            return u.waiting > covered ? u.waiting - covered : SlotCount(0);
        };
        const SlotCount unmet = grantInTurns(unmetByUp, Phase::up);
        if (unmet > coming) recallSlots(now, service, want, unmet - coming, slots, totalDemand);
        grantInTurns(unmetByAny, Phase::booting);
    }

    // Each move searches all allocations of a service.
    static constexpr SlotCount kMaxMovesPerPass = 1000;

    void recallSlots(Instant now, Service* s, const std::vector<SenderDemand*>& want, SlotCount need,
                     SlotCount slots, SlotCount totalDemand) {
        struct Idle {
            Instance* instance;
            Allocation* s;
            uint32_t n;
        };
        std::vector<Idle> idle;
        for (Instance* instance : s->instances) {
            if (instance->phase != Phase::up) continue;
            for (auto& sh : instance->allocations)
                if (sh.canDecrease() && sh.granted > sh.busy && sh.demand->waiting == 0)
                    idle.push_back({instance, &sh, sh.granted - sh.busy});
        }
        std::sort(idle.begin(), idle.end(), [](const Idle& a, const Idle& b) {
            if (a.s->sender->isUnresponsive != b.s->sender->isUnresponsive)
                return b.s->sender->isUnresponsive;
            return a.s->idleSince != b.s->idleSince ? a.s->idleSince < b.s->idleSince
                                                    : a.instance->id < b.instance->id;
        });
        for (auto& d : idle) {
            if (need == 0) return;
            const auto n = static_cast<uint32_t>(std::min<SlotCount>(need, d.n));
            setGranted(now, d.instance, *d.s, d.s->granted - n);
            d.s->demand->granted -= std::min<SlotCount>(n, d.s->demand->granted);
            counters.recalledSlots += n;
            need -= n;
        }
        // All slots are busy: a sender with few or none gets its share as calls end, so that one sender
        // cannot starve another. Drawback: a round trip per moved slot, so the number per pass is limited.
        if (totalDemand == 0 || slots == 0) return;
        const auto demandOf = [](const SenderDemand& u) { return SlotCount(u.waiting) + u.busy; };
        auto fair = [&](const SenderDemand& u) {
            return double(slots) * double(demandOf(u)) / double(totalDemand);
        };
        SlotCount moves = std::min({need, slots / 4 + 1, kMaxMovesPerPass});
        for (SenderDemand* u : want) {
            while (moves > 0 && u->waiting > u->upCover && u->granted < demandOf(*u) &&
                   (u->granted == 0 || double(u->granted) + 0.5 <= fair(*u))) {
                Instance* from = nullptr;
                Allocation* best = nullptr;
                double most = u->granted == 0 ? 0.3 : 0.5;
                for (Instance* instance : s->instances) {
                    if (instance->phase != Phase::up) continue;
                    for (auto& sh : instance->allocations) {
                        if (sh.demand == u || sh.granted == 0 || !sh.canDecrease() ||
                            sh.sender->isUnresponsive)
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

    // --- number of instances ---

    bool missesTargetAfterBoot(const Service* service) const {
        return service->spec.targetLatency <
               service->spec.bootTime + Span::seconds(estimateCallSeconds(service));
    }

    // Slots needed for the requests that wait now. A start does not help a request that is served before the
    // boot ends, so what counts is the queue that cannot drain in time, not each request.
    double slotsNeededNow(const Service* service, SlotCount upSlots) const {
        double work = estimateCallSeconds(service), drain;
        if (missesTargetAfterBoot(service)) {
            drain = tuning.hotDrainTime.inSeconds();
        } else {
            double spare =
                0.5 * (service->spec.targetLatency.inSeconds() - service->spec.bootTime.inSeconds() - work);
            drain = std::clamp(spare, tuning.minDrainTime.inSeconds(), tuning.maxDrainTime.inSeconds());
            if (upSlots > 0) drain += service->spec.bootTime.inSeconds();
        }
        double byRate = tuning.shortRateFactor * service->shortRate * work + service->waiting * work / drain;
        return std::clamp(byRate, 1.0, std::max(1.0, double(service->waiting) + service->busy));
    }

    double coldStartCost(const Service* service) const {
        double gb = service->spec.memoryMb / 1024.0;
        return tuning.startCostGbSeconds + gb * service->spec.bootTime.inSeconds() +
               (service->spec.targetLatency < service->spec.bootTime ? tuning.lateCallCostGbSeconds : 0);
    }
    // How long a surplus instance is kept: as long as its memory costs less than starting it again.
    Span surplusKeepTime(const Service* service) const {
        double perS = std::max(0.01, service->spec.memoryMb / 1024.0);
        return keepTime(coldStartCost(service) / perS);
    }
    // Limited as a number of seconds: with the longest boot times it may exceed the range of Span.
    Span keepTime(double seconds) const {
        return Span::seconds(std::min(seconds, tuning.maxKeepTime.inSeconds()));
    }
    // Idle time after which keeping an instance has cost as much as starting it again would; longer where
    // calls come so steadily that waiting for the next one pays off.
    Span idleKeepTime(const Service* service) const {
        if (!service->isConfigured) return tuning.unconfiguredKeepTime;
        double perS = std::max(0.01, service->spec.memoryMb / 1024.0), cold = coldStartCost(service);
        if (service->spec.targetLatency < service->spec.bootTime)
            cold += tuning.lateCallCostGbSeconds * service->longRate * service->spec.bootTime.inSeconds();
        double span = cold / perS;
        if (service->longRate * cold > perS) span = std::max(span, tuning.keepMeanGaps / service->longRate);
        return keepTime(span);
    }
    double wantedSlots(Instant now, const Service* service) const {
        if (!service->isConfigured) return 0;
        if (service->waiting + service->busy == 0 && now > service->lastCallAt + idleKeepTime(service))
            return now < service->warmUntil ? 1 : 0;
        double rate = std::max(service->fastRate, service->slowRate), want;
        if (missesTargetAfterBoot(service)) {
            double m = rate * estimateCallSeconds(service);
            double users = double(service->demands.size());
            want = m + tuning.reserveSigmas * std::sqrt(m) + tuning.reservePerSender * std::min(users, m);
            if (rate > tuning.hotRate && service->spec.targetLatency < service->spec.bootTime)
                want = std::max(want, tuning.burstFactor * m + tuning.burstSigmas * std::sqrt(m));
        } else {
            // Requests have time to queue, and those that wait too long trigger starts themselves.
            double m = std::min(rate, service->slowRate) *
                       (estimateCallSeconds(service) +
                        (service->demands.size() > 1 ? tuning.handoverTime.inSeconds() : 0));
            want = m + tuning.slackReserveSigmas * std::sqrt(m);
        }
        return std::max(want, 1.0);
    }

    struct Capacity {
        SlotCount slots = 0, up = 0;
        uint32_t count = 0;
    };
    Capacity usableCapacity(const Service* service) const {
        Capacity capacity;
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

    void startUpTo(Instant now, Service* service, double slots, bool urgent) {
        Capacity capacity = usableCapacity(service);
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
            WorkerState* worker = chooseWorker(now, service);
            if (!worker) {
                service->startsBlockedUntil = now + tuning.startsBlockedTime;
                return;
            }
            if (!takeToken(now, urgent)) return;
            PendingStart start;
            start.service = service;
            start.worker = worker->reported.name;
            start.at = now;
            worker->reservedMemory.emplace_back(now, service->spec.memoryMb);
            std::string nonce = noncePrefix + std::to_string(++nonceCount);
            outputs.emplace_back(StartCall{service->spec.name, start.worker, nonce});
            pendingStarts.emplace(nonce, std::move(start));
            ++service->pendingStartCount;
            ++counters.starts;
            capacity.slots += slotsEach;
        }
    }

    // Chooses a worker for a new instance: spreads a service over workers and zones (a crash takes a whole
    // worker), prefers zones with demand, then free memory.
    WorkerState* chooseWorker(Instant now, Service* service) {
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
            for (auto& [nonce, st] : pendingStarts)
                if (st.service == service && st.isCounted) {
                    auto n = workers.find(st.worker);
                    add(st.worker, n == workers.end() ? "" : n->second.reported.zone);
                }
        for (auto& [sender, u] : service->demands) {
            double d = u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau) + u.waiting;
            demandInZone[sender->zone] += d;
            total += d;
        }
        WorkerState* best = nullptr;
        double bestScore = 0;
        for (auto& [name, n] : workers) {
            if (n.reported.draining || n.missedLists > 0 || n.fullUntil > now ||
                n.freeMemoryMb() < service->spec.memoryMb)
                continue;
            double share = total > 0 ? demandInZone[n.reported.zone] / total : 0;
            double score = 2 * (share * (count + 1) - inZone[n.reported.zone]) - 1.5 * onWorker[name] +
                           double(n.freeMemoryMb()) / std::max(1, n.reported.memoryMb);
            if (!best || score > bestScore || (score == bestScore && name < best->reported.name))
                best = &n, bestScore = score;
        }
        return best;
    }

    void retireSurplus(Instant now, Service* service) {
        Capacity capacity = usableCapacity(service);
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

    // A sender's part of a service's slots, by call rate.
    struct SlotShare {
        SenderDemand* demand;
        double fair;    // slots in proportion to its call rate; 0 while it does not respond or leaves
        SlotCount due;  // slots still to be granted in this pass
        double lack() const { return fair - double(demand->granted); }
    };

    // Grants free slots ahead of demand in proportion to call rates, so that a burst needs no round trip to
    // the holder.
    void spreadFreeSlots(Instant now, Service* service) {
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
    SlotCount grantShares(Instant now, Service* service, std::vector<SlotShare>& shares, SlotCount spare) {
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
    void moveIdleSlot(Instant now, Service* service, const std::vector<SlotShare>& shares) {
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

    // --- pass after events ---

    void finishLearning(Instant now) {
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
    void schedulePass(Instant now) {
        isPassDue = true;
        passTime = now;
    }
    void runPass(Instant now) {
        isPassDue = false;
        finishLearning(now);
        if (isReady) {
            std::vector<Service*> work;
            work.swap(dirtyServices);
            for (Service* service : work) {
                service->isDirty = false;
                decayRates(now, service);
                if (service->waiting > 0) {
                    Capacity capacity = usableCapacity(service);
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
            advanceClosing(now);
        }
        sendGrants(now);
    }

    void tick(Instant now) {
        detectUnresponsiveSenders(now);
        lastTick = now;
        isOutOfTokens = false;
        if (now >= nextReservationEnd) nextReservationEnd = Instant::never();
        expire(now);
        finishLearning(now);
        if (isReady) {
            for (auto& [name, p] : services) {
                Service* service = p.get();
                if (service->waiting > 0)
                    markDirty(service);  // runPass() below starts instances for waiting requests first
            }
            runPass(now);
            for (auto& [name, p] : services) {
                Service* service = p.get();
                if (service->instances.empty() && service->pendingStartCount == 0 && service->waiting == 0 &&
                    now > service->lastCallAt + tuning.maxKeepTime && now >= service->warmUntil)
                    continue;
                decayRates(now, service);
                double peak = service->peakBusy * decayFactor(service->peakUpdatedAt, now, tuning.peakTau);
                service->peakBusy = std::max(double(service->busy), peak);
                service->peakUpdatedAt = now;
                double want = wantedSlots(now, service);
                if (want > double(usableCapacity(service).slots)) startUpTo(now, service, want, false);
                spreadFreeSlots(now, service);
                retireSurplus(now, service);
            }
        }
        runPass(now);
        updateGauges();
    }

    // When a start that is neither listed nor reported up counts as failed.
    Instant bootDeadline(const Instance* instance) const {
        return instance->startedAt + instance->service->spec.bootTime * tuning.maxBootFactor + listLag;
    }
    void expire(Instant now) {
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
            for (auto& s : instance->allocations) {
                if (!s.isUnconfirmed || !s.sender->isLinked || !s.sender->isSynced) continue;
                if (now >= s.changedAt + tuning.acceptHeldAfter && s.held != s.granted) {
                    // An increase counts as in use. After a decrease, fewer held than granted means that the
                    // sender returned some on its own; more held means that calls still run.
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
            if (instance->suspectedBy && now >= instance->suspectedAt + tuning.suspicionTime)
                instance->suspectedBy = nullptr;
        }
        for (Instance* instance : old) removeInstance(instance);
        std::vector<std::string> abandoned;
        for (auto& [nonce, st] : pendingStarts) {
            if (st.isCounted &&
                now >= st.at + st.service->spec.bootTime * tuning.maxBootFactor + tuning.startsBlockedTime) {
                st.isCounted = false;
                --st.service->pendingStartCount;
                markDirty(st.service);
            }
            if (st.attempts >= tuning.maxAttempts || now >= st.at + tuning.tombstoneTime) {
                abandoned.push_back(nonce);
            } else if (now >= st.retryAt && takeToken(now, true)) {
                st.retryAt = Instant::never();
                outputs.emplace_back(StartCall{st.service->spec.name, st.worker, nonce});
            }
        }
        for (const auto& nonce : abandoned) removeStart(nonce);
        for (auto it = services.begin(); it != services.end();) {
            Service* s = it->second.get();
            bool idle = !s->isConfigured && s->instances.empty() && s->pendingStartCount == 0 &&
                        !s->isDirty && s->waiting + s->busy == 0 &&
                        now > s->lastCallAt + tuning.tombstoneTime &&
                        std::none_of(pendingStarts.begin(), pendingStarts.end(),
                                     [&](const auto& x) { return x.second.service == s; });
            if (!idle) {
                ++it;
                continue;
            }
            for (auto& [sender, u] : s->demands) sender->services.erase(s);
            it = services.erase(it);
        }
    }
    void removeStart(const std::string& nonce) {
        auto it = pendingStarts.find(nonce);
        if (it == pendingStarts.end()) return;
        if (it->second.isCounted) --it->second.service->pendingStartCount;
        markDirty(it->second.service);
        pendingStarts.erase(it);
    }

    void updateGauges() {
        counters.instances = counters.booting = counters.slots = counters.waiting = 0;
        for (auto& [id, instance] : instances) {
            if (instance->phase == Phase::gone) continue;
            ++counters.instances;
            if (instance->phase == Phase::booting) ++counters.booting;
            if (instance->isUsable()) counters.slots += instance->slots;
        }
        for (auto& [name, s] : services) counters.waiting += s->waiting;
    }
};

Planner::Planner(Instant now, uint64_t term, uint32_t randomSeed, double maxCallsPerSecond, Span listLag)
    : state_(std::make_unique<State>(now, term, randomSeed, maxCallsPerSecond, listLag)) {}
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
        if (st.groupKey(service->spec) != st.groupKey(f)) service->group = nullptr;
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
    const State& st = *state_;
    // Without tokens, wakes when a few are available again, not a whole tick later.
    return std::min(st.lastTick + (st.isOutOfTokens ? st.tuning.tickInterval * 0.25 : st.tuning.tickInterval),
                    st.nextReservationEnd);
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
