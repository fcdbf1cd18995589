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

#include "system/scaler/tuning.hpp"

namespace petrelpond::scaler {
namespace {

struct Service;
struct Instance;

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
    uint32_t upCover = 0, bootCover = 0, granted = 0;  // recomputed in each pass
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

enum class Phase { booting, up, retiring, stopping, draining, gone };

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
    uint32_t reservedSlots() const {
        uint32_t n = 0;
        for (const auto& s : allocations) n += s.reservedSlots();
        for (const auto& g : reservations) n += g.slots;
        return n;
    }
    uint32_t busySlots() const {
        uint32_t n = 0;
        for (const auto& s : allocations) n += s.busy;
        return n;
    }
    uint32_t freeSlots() const {
        uint32_t n = reservedSlots();
        return isUsable() && n < slots ? slots - n : 0;
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
    Instant warmUntil = Instant::longAgo();     // one instance is kept until then even without calls
    bool isDirty = false, needsRefill = false;  // needsRefill: instances were lost, replace them at once
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
    int freeMemoryMb() const {
        int mb = reported.freeMb;
        for (const auto& t : reservedMemory) mb -= t.second;
        return mb;
    }
};

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
    // -------------------------------------------------------------------------------

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

    void markDirty(Service* s) {
        if (s->isDirty) return;
        s->isDirty = true;
        dirtyServices.push_back(s);
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
    SenderDemand* findOrAddDemand(Instant now, Service* s, Sender* sender) {
        auto [it, fresh] = s->demands.try_emplace(sender);
        if (fresh) {
            it->second.sender = sender;
            it->second.rateUpdatedAt = now;
            sender->services.insert(s);
        }
        return &it->second;
    }
    Allocation* findOrAddAllocation(Instant now, Instance* i, Sender* sender) {
        if (Allocation* s = i->findAllocation(sender)) return s;
        Allocation s;
        s.sender = sender;
        s.demand = findOrAddDemand(now, i->service, sender);
        s.idleSince = now;
        i->allocations.push_back(s);
        sender->heldInstances.insert(i);
        return &i->allocations.back();
    }
    Instance* addInstance(Instant now, const std::string& id, const std::string& service,
                          const std::string& address) {
        auto& p = instances[id];
        p = std::make_unique<Instance>();
        p->creationNumber = ++lastCreationNumber;
        p->id = id;
        p->address = address;
        p->service = findOrAddService(now, service);
        p->slots = static_cast<uint32_t>(std::max(1, p->service->spec.maxConcurrency));
        p->startedAt = now;
        p->service->instances.push_back(p.get());
        p->service->lastCallAt = std::max(p->service->lastCallAt,
                                          now);  // counts as idle from now on, so it is not stopped at once
        return p.get();
    }
    void removeInstance(Instance* i) {
        for (auto& s : i->allocations) {
            s.sender->heldInstances.erase(i);
            std::erase(s.sender->grantsDue, i);
        }
        std::erase(i->service->instances, i);
        closing.erase(i);
        instances.erase(i->id);
    }
    void setDemand(SenderDemand& u, Service* s, uint32_t waiting, uint32_t busy) {
        s->waiting = s->waiting - u.waiting + waiting;
        s->busy = s->busy - u.busy + busy;
        u.waiting = waiting;
        u.busy = busy;
    }

    // --- telling -------------------------------------------------------------------------------------------

    void queueGrant(Instance* i, Allocation& s) {
        if (s.isGrantDue || !s.sender->isLinked || !s.sender->isSynced) return;
        s.isGrantDue = true;
        if (s.sender->grantsDue.empty()) sendersWithGrants.push_back(s.sender);
        s.sender->grantsDue.push_back(i);
    }
    void setGranted(Instant now, Instance* i, Allocation& s, uint32_t n) {
        if (n == s.granted && !(n < s.held && !s.isUnconfirmed)) return;
        s.isIncrease = n > s.granted;
        s.granted = n;
        s.isUnconfirmed = true;
        s.changedAt = s.sentAt = now;
        queueGrant(i, s);
    }
    // Revokes all slots of an instance. Of an ending instance also those with an unconfirmed increase, since
    // none of its slots is granted again.
    void revokeAll(Instant now, Instance* i, bool includeUnconfirmed) {
        for (auto& s : i->allocations)
            if (s.reservedSlots() > 0 && s.granted > 0 && (includeUnconfirmed || s.canDecrease()))
                setGranted(now, i, s, 0);
    }
    void sendGrants(Instant now) {
        for (Sender* sender : sendersWithGrants) {
            if (sender->grantsDue.empty()) continue;
            GrantsMessage message;
            message.to = sender->id;
            message.grants.term = term;
            for (Instance* i : sender->grantsDue) {
                Allocation* s = i->findAllocation(sender);
                if (!s) continue;
                s->isGrantDue = false;
                Grant g;
                g.instance = i->id;
                g.slots = s->granted;
                g.fleetSlots = usableCapacity(i->service).slots;
                g.isEnding = !i->isUsable();
                // A sender knows the instance of a revoked grant by its id.
                if (s->granted > 0)
                    g.service = i->service->spec.name, g.address = i->address, g.zone = i->zone;
                if (i->phase == Phase::booting) {
                    int64_t us = (i->startedAt + i->service->spec.bootTime - now).inMicros();
                    g.upInMs = static_cast<uint32_t>(std::max<int64_t>(1, us / 1000));
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
        for (Instance* i : sender->grantsDue)
            if (Allocation* s = i->findAllocation(sender)) s->isGrantDue = false;
        sender->grantsDue.clear();
        std::erase(sendersWithGrants, sender);
    }

    // --- life of instances ---------------------------------------------------------------------------------

    void markUp(Instant now, Instance* i) {
        if (i->phase != Phase::booting) return;
        i->phase = Phase::up;
        i->upSince = now;
        markDirty(i->service);
    }
    void markDraining(Instant now, Instance* i) {
        if (i->phase == Phase::draining || i->phase == Phase::gone) return;
        i->phase = Phase::draining;
        closing.erase(i);
        revokeAll(now, i, true);
        i->service->needsRefill = true;
        ++counters.drained;
        markDirty(i->service);
    }
    void markGone(Instant now, Instance* i, bool lost) {
        if (i->phase == Phase::gone) return;
        i->phase = Phase::gone;
        i->goneAt = now;
        closing.erase(i);
        revokeAll(now, i, true);
        if (lost) {
            ++counters.lost;
            i->service->needsRefill = true;
        }
        markDirty(i->service);
    }
    void requestStop(Instant now, Instance* i) {
        if (now < i->nextStopAt) return;
        if (!takeToken(now, false)) return;
        i->isStopSent = true;
        i->nextStopAt = now + Span::seconds(5);  // repeated if onStopped() is not called
        ++counters.stops;
        outputs.emplace_back(StopCall{i->id});
    }
    // Stops a retiring instance once every sender has reported its slots returned; until then a slot counts
    // as in use.
    void advanceClosing(Instant now) {
        for (auto it = closing.begin(); it != closing.end();) {
            Instance* i = *it++;
            if (i->phase == Phase::retiring) {
                revokeAll(now, i, false);
                // A reassigned slot counts as open: its sender may only be cut off from this holder and still
                // use it.
                auto open = [](const Allocation& s) { return s.isUnconfirmed && !s.isIncrease; };
                if (i->reservedSlots() > 0 || std::any_of(i->allocations.begin(), i->allocations.end(), open))
                    continue;
                i->phase = Phase::stopping;
                i->nextStopAt = now;
            }
            if (i->phase == Phase::stopping || i->phase == Phase::gone) requestStop(now, i);
        }
    }
    void retire(Instant now, Instance* i) {
        i->phase = Phase::retiring;
        closing.insert(i);
        revokeAll(now, i, false);
    }

    // --- senders -------------------------------------------------------------------------------------------

    void removeSender(Instant now, Sender* sender, Span reservationTime) {
        discardUnsent(sender);
        for (Instance* i : sender->heldInstances) {
            Allocation* s = i->findAllocation(sender);
            if (s && s->reservedSlots() > 0 && reservationTime > Span()) {
                i->reservations.push_back({s->reservedSlots(), now + reservationTime});
                nextReservationEnd = std::min(nextReservationEnd, now + reservationTime);
            }
            if (i->suspectedBy == sender) i->suspectedBy = nullptr;
            std::erase_if(i->allocations, [&](const Allocation& x) { return x.sender == sender; });
            markDirty(i->service);
        }
        for (Service* s : sender->services) {
            setDemand(s->demands[sender], s, 0, 0);
            s->demands.erase(sender);
            markDirty(s);
        }
        for (auto& [id, i] : instances)
            if (i->suspectedBy == sender) i->suspectedBy = nullptr;
        senders.erase(SenderId(sender->id));
    }

    void applyHeld(Instant now, Instance* i, Allocation& s, uint32_t slots, uint32_t busy,
                   bool isFirstFullReport) {
        if (busy > 0 && i->phase == Phase::booting) markUp(now, i);
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
        if (s.held > s.granted && !s.isUnconfirmed) setGranted(now, i, s, s.granted);
        if (!i->isUsable() && i->phase != Phase::retiring && s.granted > 0) setGranted(now, i, s, 0);
        if (fewer || slots > 0) markDirty(i->service);
    }

    // Recalls slots where more are reserved than the instance has: an earlier holder, or this one after 5 s
    // of a sender's silence, granted some twice.
    void recallOvercommitted(Instant now, Instance* i) {
        uint32_t used = i->reservedSlots();
        if (used <= i->slots || !i->isUsable() || !(i->wasListed || i->service->isConfigured)) return;
        uint32_t promised = 0;
        for (const auto& s : i->allocations) promised += s.granted;
        if (promised <= i->slots) return;  // already recalled
        uint32_t over = promised - i->slots;
        ++counters.overcommitted;
        std::vector<Allocation*> by;
        for (auto& s : i->allocations)
            if (s.granted > 0 && s.canDecrease()) by.push_back(&s);
        std::sort(by.begin(), by.end(), [](Allocation* a, Allocation* b) {
            return int64_t(a->granted) - a->busy > int64_t(b->granted) - b->busy;
        });
        for (Allocation* s : by) {
            uint32_t n = std::min(over, s->granted);
            if (n > 0) setGranted(now, i, *s, s->granted - n);
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
            for (Instance* i : sender->heldInstances) {
                Allocation& s = *i->findAllocation(sender.get());
                if (!i->isUsable() || !s.reassignableSlots() ||
                    now < s.changedAt + tuning.unresponsiveAfter * 0.5)
                    continue;
                counters.reassignedSlots += s.reassignableSlots();
                s.held -= s.reassignableSlots();
                markDirty(i->service);
            }
        }
    }
    // Slots that cannot be granted now: those reserved by senders that do not respond, less the reassigned
    // ones.
    uint32_t unavailableSlots(const Service* s) const {
        uint32_t n = 0;
        for (const Instance* i : s->instances) {
            if (!i->isUsable()) continue;
            for (const auto& sh : i->allocations)
                if (!sh.sender->isResponsive())
                    n += sh.sender->isUnresponsive ? std::min(sh.busy, sh.reservedSlots())
                                                   : sh.reservedSlots();
        }
        return n;
    }

    void recordArrivals(Instant now, Service* s, SenderDemand& u, const Demand& d, double span) {
        if (d.meanCallUs > 0 && d.arrived > 0) {
            double w = d.meanCallUs / 1e6, n = std::min(d.arrived, 16u);
            s->callWeight = std::min(s->callWeight + n, tuning.maxCallWeight);
            s->meanCallSeconds += std::min(1.0, n / s->callWeight) * (w - s->meanCallSeconds);
            if (!s->group) s->group = &groups[groupKey(s->spec)];
            s->group->callWeight = std::min(s->group->callWeight + n, tuning.maxGroupCallWeight);
            s->group->meanCallSeconds +=
                std::min(1.0, n / s->group->callWeight) * (w - s->group->meanCallSeconds);
        }
        if (d.arrived == 0) return;
        decayRates(now, s);
        s->shortRate += rateGain(d.arrived, span, shortTau(s));
        s->fastRate += rateGain(d.arrived, span, tuning.fastTau);
        s->slowRate += rateGain(d.arrived, span, tuning.slowTau);
        s->longRate += rateGain(d.arrived, span, tuning.longTau);
        u.rate = u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau) +
                 rateGain(d.arrived, span, tuning.fastTau);
        u.rateUpdatedAt = now;
        s->lastCallAt = now;
    }
    // A window shorter than a call would count one long call as many.
    double shortTau(const Service* s) const { return std::max(tuning.shortTau, estimateCallSeconds(s)); }
    // For a service with few calls the mean of its group is weighted more than its own: one long call in
    // three made a rarely called function look busy, and twice the instances were kept for it.
    double estimateCallSeconds(const Service* s) const {
        const ServiceGroup* g = findGroup(s);
        double like = g && g->callWeight >= 1
                          ? g->meanCallSeconds
                          : tuning.priorCallToTargetRatio * s->spec.targetLatency.inSeconds();
        return (tuning.priorCallWeight * like + s->callWeight * s->meanCallSeconds) /
               (tuning.priorCallWeight + s->callWeight);
    }
    using GroupKey = std::tuple<int, int64_t, int, int64_t>;
    static GroupKey groupKey(const FunctionSpec& f) {
        return {f.memoryMb, f.bootTime.inMicros(), f.maxConcurrency, f.targetLatency.inMicros()};
    }
    const ServiceGroup* findGroup(const Service* s) const {
        if (s->group) return s->group;
        auto found = groups.find(groupKey(s->spec));
        return found != groups.end() ? &found->second : nullptr;
    }
    void decayRates(Instant now, Service* s) {
        if (now <= s->rateUpdatedAt) return;
        s->shortRate *= decayFactor(s->rateUpdatedAt, now, shortTau(s));
        s->fastRate *= decayFactor(s->rateUpdatedAt, now, tuning.fastTau);
        s->slowRate *= decayFactor(s->rateUpdatedAt, now, tuning.slowTau);
        s->longRate *= decayFactor(s->rateUpdatedAt, now, tuning.longTau);
        s->rateUpdatedAt = now;
    }

    // --- slots for waiting requests ---
    // ---------------------------------------------------------------------------

    // Prefers the sender's zone, then instances that few senders hold, so that few have to return slots when
    // it is retired. Callers try running instances of any zone before booting ones: a boot takes a second,
    // another zone costs 1 to 20 ms.
    Instance* chooseFreeInstance(Service* s, Sender* sender, Phase phase) {
        ++counters.slotSearches;
        Instance* best = nullptr;
        int bestScore = 0;
        for (Instance* i : s->instances) {
            if (i->phase != phase || i->freeSlots() == 0 || i->suspectedBy) continue;
            Allocation* own = i->findAllocation(sender);
            if (own && !own->canIncrease()) continue;
            int score = 1000 + (i->zone == sender->zone ? 500 : 0) + (own ? 50 : 0);
            score -= 10 * int(i->allocations.size());
            if (phase == Phase::up) score += int(std::min(i->freeSlots(), 9u));
            if (score > bestScore) best = i, bestScore = score;
        }
        return best;
    }
    bool grantSlot(Instant now, Service* s, SenderDemand& u, Phase phase) {
        Instance* i = chooseFreeInstance(s, u.sender, phase);
        if (!i) return false;
        Allocation* allocation = findOrAddAllocation(now, i, u.sender);
        setGranted(now, i, *allocation, allocation->granted + 1);
        u.lastGrantedAt = now;
        ++u.granted;
        return true;
    }

    void serveWaiting(Instant now, Service* s) {
        for (Instance* i : s->instances) recallOvercommitted(now, i);
        if (s->waiting == 0) return;
        std::vector<SenderDemand*> want;
        uint32_t totalDemand = 0, slots = 0, coming = 0;
        for (auto& [sender, u] : s->demands) {
            u.upCover = u.bootCover = u.granted = 0;
            totalDemand += u.waiting + u.busy;
            if (u.waiting > 0 && sender->isResponsive()) want.push_back(&u);
        }
        for (Instance* i : s->instances) {
            if (!i->isUsable()) continue;
            if (i->phase == Phase::up) slots += i->slots;
            for (auto& sh : i->allocations) {
                sh.demand->granted += sh.granted;
                if (i->phase == Phase::booting) {
                    sh.demand->bootCover += sh.granted;
                } else {
                    sh.demand->upCover += sh.granted > sh.busy ? sh.granted - sh.busy : 0;
                    coming +=
                        sh.sender->isResponsive() ? sh.reservedSlots() - sh.granted : sh.reassignableSlots();
                }
            }
            if (i->phase == Phase::up)
                for (auto& g : i->reservations) coming += g.slots;
        }
        // The sender whose last grant is oldest goes first, one slot at a time.
        std::sort(want.begin(), want.end(), [](SenderDemand* a, SenderDemand* b) {
            return a->lastGrantedAt != b->lastGrantedAt ? a->lastGrantedAt < b->lastGrantedAt
                                                        : a->sender->id < b->sender->id;
        });
        auto grantInTurns = [&](auto unmetBy, Phase phase) {
            uint32_t unmet = 0, spare = 0;
            std::vector<SenderDemand*> open = want;
            // Counts the free slots once. When none was free, each waiting sender searched all allocations of
            // all instances, so the holder got slower the more waited, and after a loss of all cores it never
            // caught up.
            for (const Instance* i : s->instances)
                if (i->phase == phase && !i->suspectedBy) spare += i->freeSlots();
            while (!open.empty()) {
                std::vector<SenderDemand*> still;
                for (SenderDemand* u : open) {
                    if (unmetBy(*u) == 0) continue;
                    if (spare == 0 || !grantSlot(now, s, *u, phase)) {
                        unmet += unmetBy(*u);
                        continue;
                    }
                    --spare;
                    (phase == Phase::up ? u->upCover : u->bootCover) += 1;
                    still.push_back(u);
                }
                open.swap(still);
            }
            return unmet;
        };
        auto unmetByUp = [](const SenderDemand& u) {
            return u.waiting > u.upCover ? u.waiting - u.upCover : 0;
        };
        auto unmetByAny = [](const SenderDemand& u) {
            uint32_t c = u.upCover + u.bootCover;
            return u.waiting > c ? u.waiting - c : 0;
        };
        uint32_t unmet = grantInTurns(unmetByUp, Phase::up);
        if (unmet > coming) recallSlots(now, s, want, unmet - coming, slots, totalDemand);
        grantInTurns(unmetByAny, Phase::booting);
    }

    void recallSlots(Instant now, Service* s, const std::vector<SenderDemand*>& want, uint32_t need,
                     uint32_t slots, uint32_t totalDemand) {
        struct Idle {
            Instance* i;
            Allocation* s;
            uint32_t n;
        };
        std::vector<Idle> idle;
        for (Instance* i : s->instances) {
            if (i->phase != Phase::up) continue;
            for (auto& sh : i->allocations)
                if (sh.canDecrease() && sh.granted > sh.busy && sh.demand->waiting == 0)
                    idle.push_back({i, &sh, sh.granted - sh.busy});
        }
        std::sort(idle.begin(), idle.end(), [](const Idle& a, const Idle& b) {
            if (a.s->sender->isUnresponsive != b.s->sender->isUnresponsive)
                return b.s->sender->isUnresponsive;
            return a.s->idleSince != b.s->idleSince ? a.s->idleSince < b.s->idleSince : a.i->id < b.i->id;
        });
        for (auto& d : idle) {
            if (need == 0) return;
            uint32_t n = std::min(need, d.n);
            setGranted(now, d.i, *d.s, d.s->granted - n);
            d.s->demand->granted -= std::min(n, d.s->demand->granted);
            counters.recalledSlots += n;
            need -= n;
        }
        // All slots are busy: a sender with few or none gets its share as calls end, so that one sender
        // cannot starve another. Drawback: a round trip per moved slot, so the number per pass is limited.
        if (totalDemand == 0 || slots == 0) return;
        auto fair = [&](const SenderDemand& u) { return double(slots) * (u.waiting + u.busy) / totalDemand; };
        uint32_t moves = std::min(need, slots / 4 + 1);
        for (SenderDemand* u : want) {
            while (moves > 0 && u->waiting > u->upCover && u->granted < u->waiting + u->busy &&
                   (u->granted == 0 || u->granted + 0.5 <= fair(*u))) {
                Instance* from = nullptr;
                Allocation* best = nullptr;
                double most = u->granted == 0 ? 0.3 : 0.5;
                for (Instance* i : s->instances) {
                    if (i->phase != Phase::up) continue;
                    for (auto& sh : i->allocations) {
                        if (sh.demand == u || sh.granted == 0 || !sh.canDecrease() ||
                            sh.sender->isUnresponsive)
                            continue;
                        double over = sh.demand->granted - fair(*sh.demand);
                        if (over > most) most = over, best = &sh, from = i;
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
    // --------------------------------------------------------------------------------

    bool missesTargetAfterBoot(const Service* s) const {
        return s->spec.targetLatency < s->spec.bootTime + Span::seconds(estimateCallSeconds(s));
    }

    // Slots needed for the requests that wait now. A start does not help a request that is served before the
    // boot ends, so what counts is the queue that cannot drain in time, not each request.
    double slotsNeededNow(const Service* s, uint32_t upSlots) const {
        double work = estimateCallSeconds(s), drain;
        if (missesTargetAfterBoot(s)) {
            drain = tuning.hotDrainTime.inSeconds();
        } else {
            double spare = 0.5 * (s->spec.targetLatency.inSeconds() - s->spec.bootTime.inSeconds() - work);
            drain = std::clamp(spare, tuning.minDrainTime.inSeconds(), tuning.maxDrainTime.inSeconds());
            if (upSlots > 0) drain += s->spec.bootTime.inSeconds();
        }
        double byRate = tuning.shortRateFactor * s->shortRate * work + s->waiting * work / drain;
        return std::clamp(byRate, 1.0, std::max(1.0, double(s->waiting) + s->busy));
    }

    double coldStartCost(const Service* s) const {
        double gb = s->spec.memoryMb / 1024.0;
        return tuning.startCostGbSeconds + gb * s->spec.bootTime.inSeconds() +
               (s->spec.targetLatency < s->spec.bootTime ? tuning.lateCallCostGbSeconds : 0);
    }
    // How long a surplus instance is kept: as long as its memory costs less than starting it again.
    Span surplusKeepTime(const Service* s) const {
        double perS = std::max(0.01, s->spec.memoryMb / 1024.0);
        return std::min(Span::seconds(coldStartCost(s) / perS), tuning.maxKeepTime);
    }
    // Idle time after which keeping an instance has cost as much as starting it again would; longer where
    // calls come so steadily that waiting for the next one pays off.
    Span idleKeepTime(const Service* s) const {
        if (!s->isConfigured) return tuning.unconfiguredKeepTime;
        double perS = std::max(0.01, s->spec.memoryMb / 1024.0), cold = coldStartCost(s);
        if (s->spec.targetLatency < s->spec.bootTime)
            cold += tuning.lateCallCostGbSeconds * s->longRate * s->spec.bootTime.inSeconds();
        double span = cold / perS;
        if (s->longRate * cold > perS) span = std::max(span, tuning.keepMeanGaps / s->longRate);
        return std::min(Span::seconds(span), tuning.maxKeepTime);
    }
    double wantedSlots(Instant now, const Service* s) const {
        if (!s->isConfigured) return 0;
        if (s->waiting + s->busy == 0 && now > s->lastCallAt + idleKeepTime(s))
            return now < s->warmUntil ? 1 : 0;
        double rate = std::max(s->fastRate, s->slowRate), want;
        if (missesTargetAfterBoot(s)) {
            double m = rate * estimateCallSeconds(s);
            double users = double(s->demands.size());
            want = m + tuning.reserveSigmas * std::sqrt(m) + tuning.reservePerSender * std::min(users, m);
            if (rate > tuning.hotRate && s->spec.targetLatency < s->spec.bootTime)
                want = std::max(want, tuning.burstFactor * m + tuning.burstSigmas * std::sqrt(m));
        } else {
            // Requests have time to queue, and those that wait too long trigger starts themselves.
            double m =
                std::min(rate, s->slowRate) *
                (estimateCallSeconds(s) + (s->demands.size() > 1 ? tuning.handoverTime.inSeconds() : 0));
            want = m + tuning.slackReserveSigmas * std::sqrt(m);
        }
        return std::max(want, 1.0);
    }

    struct Capacity {
        uint32_t slots = 0, up = 0, count = 0;
    };
    Capacity usableCapacity(const Service* s) const {
        Capacity h;
        for (Instance* i : s->instances) {
            if (!i->isUsable()) continue;
            ++h.count;
            h.slots += i->slots;
            if (i->phase == Phase::up) h.up += i->slots;
        }
        h.count += s->pendingStartCount;
        h.slots += s->pendingStartCount * uint32_t(std::max(1, s->spec.maxConcurrency));
        return h;
    }

    void startUpTo(Instant now, Service* s, double slots, bool urgent) {
        Capacity h = usableCapacity(s);
        // Retiring instances are reused first: they are already up.
        for (Instance* i : s->instances) {
            if (h.slots >= slots) return;
            if (i->phase != Phase::retiring) continue;
            i->phase = Phase::up;
            closing.erase(i);
            h.slots += i->slots;
        }
        if (!s->isConfigured || now < s->startsBlockedUntil) return;
        uint32_t each = uint32_t(std::max(1, s->spec.maxConcurrency));
        while (h.slots < slots) {
            WorkerState* node = chooseWorker(now, s);
            if (!node) {
                s->startsBlockedUntil = now + tuning.startsBlockedTime;
                return;
            }
            if (!takeToken(now, urgent)) return;
            PendingStart start;
            start.service = s;
            start.worker = node->reported.name;
            start.at = now;
            node->reservedMemory.emplace_back(now, s->spec.memoryMb);
            std::string nonce = noncePrefix + std::to_string(++nonceCount);
            outputs.emplace_back(StartCall{s->spec.name, start.worker, nonce});
            pendingStarts.emplace(nonce, std::move(start));
            ++s->pendingStartCount;
            ++counters.starts;
            h.slots += each;
        }
    }

    // Chooses a worker for a new instance: spreads a service over workers and zones (a crash takes a whole
    // worker), prefers zones with demand, then free memory.
    WorkerState* chooseWorker(Instant now, Service* s) {
        std::unordered_map<std::string, double> onWorker, inZone, demandInZone;
        double total = 0, count = 0;
        auto add = [&](const std::string& worker, const std::string& zone) {
            onWorker[worker] += 1;
            inZone[zone] += 1;
            count += 1;
        };
        for (Instance* i : s->instances)
            if (i->isUsable()) add(i->worker, i->zone);
        if (s->pendingStartCount > 0)
            for (auto& [nonce, st] : pendingStarts)
                if (st.service == s && st.isCounted) {
                    auto n = workers.find(st.worker);
                    add(st.worker, n == workers.end() ? "" : n->second.reported.zone);
                }
        for (auto& [sender, u] : s->demands) {
            double d = u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau) + u.waiting;
            demandInZone[sender->zone] += d;
            total += d;
        }
        WorkerState* best = nullptr;
        double bestScore = 0;
        for (auto& [name, n] : workers) {
            if (n.reported.draining || n.missedLists > 0 || n.fullUntil > now ||
                n.freeMemoryMb() < s->spec.memoryMb)
                continue;
            double share = total > 0 ? demandInZone[n.reported.zone] / total : 0;
            double score = 2 * (share * (count + 1) - inZone[n.reported.zone]) - 1.5 * onWorker[name] +
                           double(n.freeMemoryMb()) / std::max(1, n.reported.memoryMb);
            if (!best || score > bestScore || (score == bestScore && name < best->reported.name))
                best = &n, bestScore = score;
        }
        return best;
    }

    void retireSurplus(Instant now, Service* s) {
        Capacity h = usableCapacity(s);
        double want = wantedSlots(now, s);
        uint32_t each = uint32_t(std::max(1, s->spec.maxConcurrency));
        double hold = want > 0 ? std::max(want * tuning.surplusFactor, s->peakBusy) : 0;
        auto least = uint32_t(std::ceil(hold / each));
        // Without the surplus factor where one instance suffices: one is kept.
        if (want > 0 && want <= each && s->peakBusy <= each) least = 1;
        if (h.count <= least) {
            s->surplusSince = Instant::never();
            return;
        }
        if (s->surplusSince == Instant::never()) s->surplusSince = now;
        if (want > 0 && now - s->surplusSince < surplusKeepTime(s)) return;
        std::vector<std::pair<uint32_t, Instance*>> by;
        for (Instance* i : s->instances)
            if (i->phase == Phase::up) by.emplace_back(i->busySlots(), i);
        std::sort(by.begin(), by.end(), [](const auto& a, const auto& b) {
            return a.first != b.first ? a.first < b.first : a.second->id < b.second->id;
        });
        uint32_t over = h.count - least;
        for (auto& [busy, i] : by) {
            if (over == 0) break;
            retire(now, i);
            --over;
        }
    }

    // Grants free slots ahead of demand in proportion to call rates, so that a burst needs no round trip to
    // the holder.
    void spreadFreeSlots(Instant now, Service* s) {
        if (s->demands.empty() || s->instances.empty()) return;
        double total = 0;
        uint32_t slots = 0, spare = 0;
        for (auto& [sender, u] : s->demands) {
            u.granted = 0;
            if (!sender->isResponsive() || sender->isLeaving) continue;
            total += u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau);
        }
        for (Instance* i : s->instances) {
            if (i->phase != Phase::up) continue;
            slots += i->slots;
            spare += i->freeSlots();
            for (auto& sh : i->allocations) sh.demand->granted += sh.granted;
        }
        if (total < 0.2 || slots == 0) return;
        auto fair = [&](const SenderDemand& u) {
            if (!u.sender->isResponsive() || u.sender->isLeaving) return 0.0;
            return slots * u.rate * decayFactor(u.rateUpdatedAt, now, tuning.fastTau) / total;
        };
        while (spare > 0) {
            SenderDemand* neediest = nullptr;
            double most = 0.5;
            for (auto& [sender, u] : s->demands) {
                double lack = fair(u) - u.granted;
                if (lack > most) most = lack, neediest = &u;
            }
            if (!neediest || !grantSlot(now, s, *neediest, Phase::up)) break;
            --spare;
        }
        if (spare > 0 || s->demands.size() < 2) return;
        // Moves at most one idle slot per tick from the sender with most surplus, so that allocations do not
        // oscillate.
        double lack = 1;
        bool needed = false;
        for (auto& [sender, u] : s->demands)
            if (fair(u) - u.granted >= lack) needed = true;
        if (!needed) return;
        Allocation* best = nullptr;
        Instance* from = nullptr;
        double most = 1;
        for (Instance* i : s->instances) {
            if (i->phase != Phase::up) continue;
            for (auto& sh : i->allocations) {
                if (!sh.canDecrease() || sh.granted <= sh.busy || sh.sender->isUnresponsive) continue;
                double over = sh.demand->granted - fair(*sh.demand);
                if (over >= most) most = over, best = &sh, from = i;
            }
        }
        if (best) {
            setGranted(now, from, *best, best->granted - 1);
            ++counters.recalledSlots;
        }
    }

    // --- pass after events --- ------------------------------------------------------------------------

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
            for (Service* s : work) {
                s->isDirty = false;
                decayRates(now, s);
                if (s->waiting > 0) {
                    Capacity h = usableCapacity(s);
                    double need = slotsNeededNow(s, h.up) + unavailableSlots(s);
                    if (need > h.slots) startUpTo(now, s, need, true);
                }
                if (s->needsRefill) {
                    s->needsRefill = false;
                    double want = wantedSlots(now, s);
                    if (want > usableCapacity(s).slots) startUpTo(now, s, want, true);
                }
                serveWaiting(now, s);
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
                Service* s = p.get();
                if (s->waiting > 0)
                    markDirty(s);  // runPass() below starts instances for waiting requests first
            }
            runPass(now);
            for (auto& [name, p] : services) {
                Service* s = p.get();
                if (s->instances.empty() && s->pendingStartCount == 0 && s->waiting == 0 &&
                    now > s->lastCallAt + tuning.maxKeepTime && now >= s->warmUntil)
                    continue;
                decayRates(now, s);
                double peak = s->peakBusy * decayFactor(s->peakUpdatedAt, now, tuning.peakTau);
                s->peakBusy = std::max(double(s->busy), peak);
                s->peakUpdatedAt = now;
                double want = wantedSlots(now, s);
                if (want > usableCapacity(s).slots) startUpTo(now, s, want, false);
                spreadFreeSlots(now, s);
                retireSurplus(now, s);
            }
        }
        runPass(now);
        updateGauges();
    }

    // When a start that is neither listed nor reported up counts as failed.
    Instant bootDeadline(const Instance* i) const {
        return i->startedAt + i->service->spec.bootTime * tuning.maxBootFactor + listLag;
    }
    void expire(Instant now) {
        std::vector<Sender*> ended;
        for (auto& [id, s] : senders)
            if (!s->isLinked && now >= s->slotsFreeAt) ended.push_back(s.get());
        for (Sender* s : ended) removeSender(now, s, Span());
        std::vector<Instance*> old;
        for (auto& [id, p] : instances) {
            Instance* i = p.get();
            auto over = [&](const SlotReservation& g) { return now >= g.until; };
            if (std::erase_if(i->reservations, over) > 0) markDirty(i->service);
            for (const auto& g : i->reservations) nextReservationEnd = std::min(nextReservationEnd, g.until);
            if (i->phase == Phase::gone) {
                if (now >= i->goneAt + tuning.tombstoneTime) old.push_back(i);
                continue;
            }
            for (auto& s : i->allocations) {
                if (!s.isUnconfirmed || !s.sender->isLinked || !s.sender->isSynced) continue;
                if (now >= s.changedAt + tuning.acceptHeldAfter && s.held != s.granted) {
                    // An increase counts as in use. After a decrease, fewer held than granted means that the
                    // sender returned some on its own; more held means that calls still run.
                    if (s.isIncrease)
                        s.held = s.granted, s.isUnconfirmed = false;
                    else if (s.held < s.granted)
                        s.granted = s.held, s.isUnconfirmed = false;
                    markDirty(i->service);
                }
                if (s.isUnconfirmed && now >= s.sentAt + tuning.resendAfter) {
                    s.sentAt = now;
                    queueGrant(i, s);
                }
            }
            std::erase_if(i->allocations, [&](const Allocation& s) {
                bool empty = s.reservedSlots() == 0 && !s.isUnconfirmed && !s.isGrantDue;
                if (empty) s.sender->heldInstances.erase(i);
                return empty;
            });
            if (i->suspectedBy && now >= i->suspectedAt + tuning.suspicionTime) i->suspectedBy = nullptr;
        }
        for (Instance* i : old) removeInstance(i);
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
        for (auto& [id, i] : instances) {
            if (i->phase == Phase::gone) continue;
            ++counters.instances;
            if (i->phase == Phase::booting) ++counters.booting;
            if (i->isUsable()) counters.slots += i->slots;
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
        Service* s = st.findOrAddService(now, f.name);
        // Where a boot takes longer than the target latency, the first calls would all be late, so one
        // instance is started ahead of them. Drawback: its memory, if no calls come meanwhile.
        if (!s->isConfigured && s->lastCallAt == Instant::longAgo() && f.targetLatency < f.bootTime)
            s->warmUntil = now + st.tuning.prewarmTime;
        s->isConfigured = true;
        if (st.groupKey(s->spec) != st.groupKey(f)) s->group = nullptr;
        s->spec = f;
        named.insert(f.name);
        for (Instance* i : s->instances)
            if (!i->wasListed) i->slots = uint32_t(std::max(1, f.maxConcurrency));
        st.markDirty(s);
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
        Instance* i;
        if (it == st.instances.end()) {
            if (h.slots == 0 || h.service.empty()) continue;
            i = st.addInstance(now, h.instance, h.service, h.address);
            ++st.counters.adopted;
        } else {
            i = it->second.get();
        }
        if (h.slots == 0 && !i->findAllocation(sender)) continue;
        namedHeld.insert(i);
        st.applyHeld(now, i, *st.findOrAddAllocation(now, i, sender), h.slots, std::min(h.busy, h.slots),
                     isFirstFullReport);
    }
    if (report.isFull) {
        std::vector<Instance*> others;
        for (Instance* i : sender->heldInstances)
            if (!namedHeld.count(i)) others.push_back(i);
        for (Instance* i : others) st.applyHeld(now, i, *i->findAllocation(sender), 0, 0, isFirstFullReport);
    }
    std::set<Service*, CreationOrder> namedDemand;
    for (const auto& d : report.demands) {
        Service* s = st.findOrAddService(now, d.service);
        SenderDemand* u = st.findOrAddDemand(now, s, sender);
        st.recordArrivals(now, s, *u, d, span);
        st.setDemand(*u, s, d.waiting, d.busy);
        if (d.waiting + d.busy > 0) s->lastCallAt = now;
        s->peakBusy = std::max(s->peakBusy, double(s->busy));
        if (report.isFull) namedDemand.insert(s);
        if (d.waiting > 0) st.markDirty(s);
    }
    if (report.isFull)
        for (Service* s : sender->services)
            if (!namedDemand.count(s)) st.setDemand(s->demands[sender], s, 0, 0);
    if (report.isLeaving)
        for (Instance* i : sender->heldInstances) {
            Allocation* s = i->findAllocation(sender);
            if (s && s->granted > s->busy && s->canDecrease()) st.setGranted(now, i, *s, s->busy);
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
        Instance* i = it->second.get();
        if (i->phase == Phase::gone) continue;
        // A booting instance refuses connections; onInstanceList() ends boots that take too long.
        if (i->phase == Phase::booting) continue;
        bool again = i->suspectedBy &&
                     (i->suspectedBy != sender || now - i->suspectedAt >= st.tuning.minRepeatReportGap);
        if (again) {
            st.markGone(now, i, true);
        } else if (!i->suspectedBy) {
            i->suspectedBy = sender;
            i->suspectedAt = now;
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
        for (Service* s : sender->services) st.setDemand(s->demands[sender], s, 0, 0);
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
        Instance* i;
        if (it == st.instances.end()) {
            i = st.addInstance(now, l.instance, l.service, l.address);
            ++st.counters.adopted;
        } else {
            i = it->second.get();
        }
        if (i->service->spec.name != l.service)
            continue;  // instance ids are never reused: ignore the contradiction
        i->zone = l.zone;
        i->worker = l.worker;
        if (l.slots > 0) i->slots = uint32_t(l.slots);
        i->wasListed = true;
        i->missedLists = 0;
        if (i->phase == Phase::gone) {
            if (!i->isStopSent && now >= i->goneAt + st.tuning.stopIfListedAfter) st.closing.insert(i);
            continue;
        }
        if (l.draining)
            st.markDraining(now, i);
        else
            st.markUp(now, i);
        st.markDirty(i->service);
    }
    std::vector<Instance*> lost;
    for (auto& [id, i] : st.instances) {
        if (named.count(id)) continue;
        if (i->phase == Phase::gone) {
            st.closing.erase(i.get());
            continue;
        }
        // An instance that a sender reported up must be listed within the list lag. Without this, one that
        // died as the duty changed hands was adopted from reports and kept for seconds though never listed,
        // and no replacement was started.
        bool isOverdue =
            i->wasListed ||
            (i->phase != Phase::booting && now > i->upSince + st.listLag * 1.5 + Span::millis(300)) ||
            (i->phase == Phase::booting && now >= st.bootDeadline(i.get()));
        // A single list without it may be older than the last one that named it.
        if (isOverdue && ++i->missedLists >= 2) lost.push_back(i.get());
    }
    for (Instance* i : lost) {
        // A start that did not come up is stopped too, or it could cost memory forever. Elapsed time alone
        // does not decide this: a holder that was suspended, or that gets lists rarely, stopped working
        // instances it had not heard of. Drawback: a start that failed silently is replaced one or two lists
        // later.
        const bool boots = i->phase == Phase::booting;
        st.markGone(now, i, i->phase != Phase::draining && i->phase != Phase::stopping);
        if (boots) st.closing.insert(i), i->nextStopAt = now;
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
        for (auto& [id, i] : st.instances)
            if (i->phase != Phase::gone && down.count(i->worker)) st.markGone(now, i.get(), true);
    for (auto& [name, s] : st.services)
        if (s->waiting > 0) st.markDirty(s.get());
    st.schedulePass(now);
}

void Planner::onStarted(Instant now, const std::string& nonce, std::string instance, std::string address) {
    State& st = *state_;
    auto it = st.pendingStarts.find(nonce);
    if (it == st.pendingStarts.end())
        return;  // abandoned; the instance list will show the instance if it exists
    PendingStart start = it->second;
    st.removeStart(nonce);
    if (!st.instances.count(instance)) {
        Instance* i = st.addInstance(now, instance, start.service->spec.name, address);
        i->startedAt = start.at;
        i->worker = start.worker;
        if (auto n = st.workers.find(start.worker); n != st.workers.end()) i->zone = n->second.reported.zone;
    }
    st.schedulePass(now);
}

void Planner::onStartFailed(Instant now, const std::string& nonce, int status) {
    State& st = *state_;
    auto it = st.pendingStarts.find(nonce);
    if (it == st.pendingStarts.end()) return;
    PendingStart& start = it->second;
    Service* s = start.service;
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
        std::erase_if(n->second.reservedMemory,
                      [&](const auto& t) { return t.first == start.at && t.second == s->spec.memoryMb; });
    }
    if (status == 429) st.tokens = 0;
    if (status == 400)
        s->startsBlockedUntil = now + st.tuning.unknownServiceBlockedTime;
    else if (status != 409)
        s->startsBlockedUntil = now + st.tuning.retryDelay;
    st.removeStart(nonce);
    st.schedulePass(now);
}

void Planner::onStopped(Instant now, const std::string& instance, int status) {
    State& st = *state_;
    auto it = st.instances.find(instance);
    if (it == st.instances.end()) return;
    Instance* i = it->second.get();
    if (status == 200 || status == 404) {
        st.closing.erase(i);
        st.markGone(now, i, false);
    } else {
        i->nextStopAt = now + st.tuning.retryDelay;
        i->isStopSent = false;
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
        for (const Instance* i : s->instances) {
            if (i->phase == Phase::up)
                ++one.up, one.slots += i->slots;
            else if (i->phase == Phase::booting)
                ++one.booting;
            else if (i->phase != Phase::gone)
                ++one.draining;
        }
        out.push_back(std::move(one));
    }
    return out;
}

}  // namespace petrelpond::scaler
