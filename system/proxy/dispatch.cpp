#include "system/proxy/dispatch.hpp"

#include <algorithm>
#include <cmath>

namespace petrelpond::proxy {

namespace {

constexpr double kDefaultCallSeconds = 0.1;           // for a request class without responses
const Span kReportInterval = Span::millis(100);       // reports that are not urgent are batched for this long
constexpr size_t kManyQueuedServices = 5;             // from this number on, urgent reports are batched
const Span kUrgentReportInterval = Span::millis(30);  // between batched urgent reports
const Span kDemandRepeatInterval = Span::millis(150);  // repeat interval of unmet demand
const Span kProbeInterval = Span::millis(60);
const Span kConnectBackoff = Span::millis(250);  // after an instance refused a connection
const Span kDeadReportInterval = Span::millis(200);
const Span kFirstGrantDelay = Span::millis(400);    // estimated wait for the planner's first grants
const Span kSlotTransferDelay = Span::millis(100);  // estimated; two round trips between regions
const Span kSweepInterval = Span::millis(50);
const Span kFormerInstanceLifetime = Span::seconds(30);  // after the last slot was returned
constexpr size_t kMaxFormerInstances = 8;                // per service
constexpr double kMaxQueueTimeShare = 0.45;              // of the time to the deadline; then rejected
constexpr int kMinLatencySamples = 8;                    // fewer say nothing about a request class
const Span kFullBackoff = Span::millis(40);              // after an instance may have been full
constexpr int kMaxBackoffDoublings = 4;
const Span kShutdownRetryAfter = Span::millis(30);  // other proxies can take the request at once

// A call that takes longer than this is far slower than others of its request class.
Span outlierLatency(const policy::AnswerTimes& times) {
    return Span::seconds(std::max({2.5 * times.highQuantile, 1.5 * times.slowestDelivered, 0.15}));
}

// Whether an attempt whose client has disconnected is cut off. An instance works for nobody otherwise. A
// non-idempotent request that was sent whole may run, and cutting it off would leave it half done. A connect
// goes on, as nothing has been sent and its outcome tells whether the instance lives.
bool mayCutOff(const IncomingRequest& request, AttemptProgress progress) {
    switch (progress) {
        case AttemptProgress::none:
        case AttemptProgress::sending:
            return true;
        case AttemptProgress::connecting:
            return false;
        case AttemptProgress::sent:
            return request.isIdempotent;
    }
    return false;
}

}  // namespace

// The only place that decides whether a request may have executed. Uncertain outcomes count as executed.
bool mayHaveExecuted(AttemptOutcome e) {
    switch (e) {
        case AttemptOutcome::notExecuted:
        case AttemptOutcome::misdirected:
        case AttemptOutcome::connectFailed:
        case AttemptOutcome::notSent:
            return false;
        default:
            return true;
    }
}

Dispatch::Dispatch(Instant now, Options options)
    : options_(std::move(options)), random_{std::mt19937(options_.seed)}, createdAt_(now), reportedAt_(now),
      wakeAt_(now), nextSweepAt_(now) {}

uint32_t Dispatch::findOrAddService(const std::string& name) {
    auto [at, isNew] = serviceByName_.try_emplace(name, static_cast<uint32_t>(services_.size()));
    if (isNew) services_.emplace_back().spec.name = name;
    return at->second;
}

uint32_t Dispatch::findOrAddRequestClass(const IncomingRequest& a) {
    std::array<int64_t, 4> key = {a.isIdempotent, a.priority, a.targetLatency.inMicros(),
                                  a.routeTimeout.inMicros()};
    auto [at, isNew] = requestClassByKey_.try_emplace(key, static_cast<uint32_t>(requestClasses_.size()));
    if (isNew) requestClasses_.emplace_back();
    return at->second;
}

void Dispatch::updateServices(Instant now, const std::vector<ServiceSpec>& all) {
    for (Service& s : services_) s.isConfigured = false;
    for (const ServiceSpec& spec : all) {
        Service& s = services_[findOrAddService(spec.name)];
        s.spec = spec, s.isConfigured = true;
    }
    for (uint32_t i = 0; i < services_.size(); ++i) dispatchQueued(now, i);
}

void Dispatch::updatePlannerStatus(Instant now, uint64_t term, bool linked, uint32_t proxyCount) {
    proxyCount_ = std::max(1u, proxyCount);
    if (proxyCount_ >= maxProxyCount_)
        maxProxyCount_ = proxyCount_, fewerProxiesSince_ = Instant::never();
    else if (fewerProxiesSince_ == Instant::never())
        fewerProxiesSince_ = now;
    bool needsFullReport = linked && (term != term_ || !isLinked_);
    if (term < term_) return;  // from a former planner, or delivered late
    term_ = term, isLinked_ = linked;
    if (needsFullReport) sendReport(now, true);
}

void Dispatch::applyGrants(Instant now, const scaler::Grants& grants) {
    // A planner that has been replaced, for example while its process was suspended, must not decide anything
    // here. Grants of a higher term show a replacement just as updatePlannerStatus() does.
    if (grants.term < std::max(term_, grantsTerm_)) return;
    grantsTerm_ = grants.term;
    if (grants.isFull) {
        for (auto& i : instances_)
            if (i && !i->isReleased) {
                bool named = std::any_of(grants.grants.begin(), grants.grants.end(),
                                         [&](const scaler::Grant& g) { return g.instance == i->info.id; });
                if (!named && i->slots > 0) i->slots = 0, recordHeldSlots(*i);
            }
    }
    std::vector<uint32_t> affectedServices, servicesWithMoreSlots;
    std::vector<InstanceIndex> instancesWithMoreSlots;
    bool anySlotsRevoked = false;
    for (const scaler::Grant& g : grants.grants) {
        auto found = instanceById_.find(g.instance);
        if (found == instanceById_.end()) {
            if (g.slots == 0) {  // unknown here, so none of its slots are held
                anySlotsRevoked = true;
                if (g.isEnding)
                    for (Service& each : services_) forgetFormerInstance(each, g.instance);
                heldChanges_[g.instance] = {g.instance, g.service, g.address, 0, 0};
                continue;
            }
            const uint32_t service = findOrAddService(g.service);
            forgetFormerInstance(services_[service], g.instance);
            const InstanceIndex index = addInstance(now, {g.instance, g.address, g.zone}, service);
            Instance& made = *instances_[index];
            made.isReady = g.upInMs == 0;
            made.expectedReadyAt = now + Span::millis(g.upInMs);
            // Boot times vary by a third or more, so probing starts at 60 % of the estimate.
            made.nextProbeAt = now + Span::millis(g.upInMs) * 0.6;
            found = instanceById_.find(g.instance);
        }
        Instance& i = *instances_[found->second];
        if (g.upInMs == 0 && !i.isReady) i.isReady = true, i.backoffUntil = Instant::longAgo();
        if (g.slots == 0 && i.connectFailures > 0) i.isReportedDead = false;
        bool more = g.slots > i.slots;
        anySlotsRevoked |= g.slots < i.slots || g.slots == 0;
        i.slots = g.slots;
        i.isTerminating = g.isEnding;
        if (i.slots > 0) i.isReleased = false;
        if (more) instancesWithMoreSlots.push_back(found->second);
        // Every grant is acknowledged, increases included: the planner reduces only grants that it knows to
        // have arrived. Without the acknowledgement, an idle slot could not be revoked for three seconds
        // while other proxies waited for it.
        recordHeldSlots(i);
        services_[i.service].fleetSlots = g.fleetSlots;
        (more ? servicesWithMoreSlots : affectedServices).push_back(i.service);
    }
    for (uint32_t s : servicesWithMoreSlots)
        raisePacingRate(now, services_[s]), affectedServices.push_back(s);
    std::sort(affectedServices.begin(), affectedServices.end());
    affectedServices.erase(std::unique(affectedServices.begin(), affectedServices.end()),
                           affectedServices.end());
    for (uint32_t s : affectedServices) dispatchQueued(now, s);
    for (InstanceIndex index = 0; index < instances_.size(); ++index) {
        Instance* i = instances_[index].get();
        if (i && i->slots == 0 && i->inFlight == 0) removeInstance(now, index);
    }
    // Reductions are acknowledged immediately because other proxies wait for the slots. Increases that leave
    // a slot idle are too, as an idle slot can only be revoked once it is acknowledged. Slots that are in use
    // immediately are acknowledged when the call ends or with the next periodic report, which saves a message
    // per call. Drawback: a call that ends in the meantime frees its slot one round trip later.
    const bool idle = std::any_of(instancesWithMoreSlots.begin(), instancesWithMoreSlots.end(),
                                  [this](InstanceIndex index) {
                                      const Instance* i = instances_[index].get();
                                      return i && i->inFlight < i->slots;
                                  });
    if (anySlotsRevoked || idle || grants.isFull)
        sendReport(now, false);
    else if (!heldChanges_.empty())
        scheduleWakeup(reportedAt_ + kReportInterval);
}

// Records the slots still held of an instance, to be reported after a reduced grant or when a call on a
// revoked slot ends.
void Dispatch::recordHeldSlots(Instance& i) {
    uint32_t held = std::max(i.slots, i.inFlight);
    heldChanges_[i.info.id] = {i.info.id, services_[i.service].spec.name, i.info.address, held, i.inFlight};
}

InstanceIndex Dispatch::addInstance(Instant now, const InstanceInfo& info, uint32_t service) {
    InstanceIndex index;
    if (!freeIndices_.empty()) {
        index = freeIndices_.back(), freeIndices_.pop_back();
    } else {
        index = static_cast<InstanceIndex>(instances_.size());
        instances_.emplace_back();
    }
    auto made = std::make_unique<Instance>();
    made->info = info;
    made->service = service;
    made->idleSince = made->expectedReadyAt = now;
    services_[service].instances.push_back(index);
    instances_[index] = std::move(made);
    instanceById_[info.id] = index;
    return index;
}

void Dispatch::rememberInstance(Instant now, const Instance& i) {
    Service& s = services_[i.service];
    forgetFormerInstance(s, i.info.id);
    if (i.isTerminating || i.connectFailures > 0 || i.isReportedDead || !i.isReady) return;
    s.formerInstances.push_back({i.info, now + kFormerInstanceLifetime});
    if (s.formerInstances.size() > kMaxFormerInstances) s.formerInstances.erase(s.formerInstances.begin());
}

void Dispatch::forgetFormerInstance(Service& s, const std::string& instance) {
    std::erase_if(s.formerInstances, [&](const FormerInstance& each) { return each.info.id == instance; });
}

void Dispatch::setPlannerSilent(Instant now, bool isSilent) {
    if (isPlannerSilent_ == isSilent) return;
    isPlannerSilent_ = isSilent;
    if (!isPlannerSilent_) return;
    const std::vector<uint32_t> all(queuedServices_.begin(), queuedServices_.end());
    for (uint32_t service : all) dispatchQueued(now, service);
}

// Whether a request without a slot may be sent to an instance whose slot this proxy had recently, while no
// planner grants slots (for example after control-plane members failed). Such an instance usually has room;
// if it is full it says so without executing the request. The other instances of the service are then not
// borrowed for a while, and the request is handled like any rejected one. There is at most one such call per
// instance at a time and one per request, paced by the bucket. Drawback: calls of the proxies that hold the
// slots may be rejected as full instead.
bool Dispatch::mayBorrow(Instant now, Service& s, const Request& r) {
    if (!isPlannerSilent_ || r.attempts > 0) return false;
    std::erase_if(s.formerInstances, [now](const FormerInstance& each) { return now >= each.expiresAt; });
    if (s.formerInstances.empty()) return false;
    if (now >= s.nextBorrowAt && s.bucket.hasToken(now, 0, random_)) return true;
    scheduleWakeup(std::max(s.nextBorrowAt, s.bucket.nextTokenAt));
    return false;
}

// Prefers an instance in this zone, else the one that was released first.
InstanceIndex Dispatch::borrowInstance(Instant now, uint32_t service) {
    Service& s = services_[service];
    ++counters_.borrowed;
    auto best = std::find_if(s.formerInstances.begin(), s.formerInstances.end(),
                             [this](const FormerInstance& each) { return each.info.zone == options_.zone; });
    if (best == s.formerInstances.end()) best = s.formerInstances.begin();
    const InstanceInfo info = best->info;
    forgetFormerInstance(s, info.id);
    const InstanceIndex index = addInstance(now, info, service);
    instances_[index]->isReady = true;
    return index;
}

void Dispatch::removeInstance(Instant now, InstanceIndex index) {
    Instance& i = *instances_[index];
    rememberInstance(now, i);
    outputs_.push_back(ReleaseInstance{index, maxIdleConnections(i)});
    auto& all = services_[i.service].instances;
    all.erase(std::remove(all.begin(), all.end(), index), all.end());
    instanceById_.erase(i.info.id);
    instances_[index].reset();
    freeIndices_.push_back(index);
}

// Number of idle connections to keep to an instance after its last slot is returned. Slots move between
// proxies and return within seconds, and an open connection saves the next call a round trip and a small
// instance another connection. The idle connections of all proxies together must not exhaust the instance's
// connection limit, so each proxy keeps only an even share of what its
// slots leave of it.
size_t Dispatch::maxIdleConnections(const Instance& i) const {
    constexpr double kIdleConnectionShare = 0.9;
    if (i.connectFailures > 0 || i.isReportedDead) return 0;
    const ServiceSpec& spec = services_[i.service].spec;
    const double inUse = scaler::usableSlots(spec.maxConcurrency, spec.maxConnections);
    const double idle = kIdleConnectionShare * spec.maxConnections - inUse;
    return static_cast<size_t>(std::max(0.0, idle) / proxyCount_);
}

const InstanceInfo* Dispatch::findInstance(InstanceIndex index) const {
    return index < instances_.size() && instances_[index] ? &instances_[index]->info : nullptr;
}

bool Dispatch::isQueued(RequestId id) const {
    auto found = requests_.find(id);
    return found != requests_.end() && !found->second.isInFlight;
}

double Dispatch::fairRate(const Service& s) const {
    double mean = s.meanSeconds > 0 ? s.meanSeconds : kDefaultCallSeconds;
    double own = 0;
    for (InstanceIndex index : s.instances) own += instances_[index]->slots;
    // An even share of the fleet's rate. A proxy that was granted more slots than its even share uses them,
    // as traffic is uneven.
    double even = s.fleetSlots / static_cast<double>(proxyCount_);
    return std::max(std::max(own, even) / mean, 1.0);
}

Span Dispatch::expectedCallTime(const Service& s, const Request& r) const {
    double mean = requestClasses_[r.classIndex].meanSeconds;
    if (mean <= 0) mean = s.meanSeconds;
    return Span::seconds(mean > 0 ? mean : kDefaultCallSeconds);
}

// Exceeded by a tenth of the calls; until enough are known, the expected time.
Span Dispatch::usualCallTime(const Service& s, const Request& r) const {
    const policy::AnswerTimes& times = requestClasses_[r.classIndex].latencies;
    return times.count < kMinLatencySamples ? expectedCallTime(s, r) : Span::seconds(times.highQuantile);
}

// Hardly ever exceeded; until enough calls are known, the route's timeout.
Span Dispatch::slowCallTime(const Request& r) const {
    const policy::AnswerTimes& times = requestClasses_[r.classIndex].latencies;
    return times.count < kMinLatencySamples ? r.incoming.routeTimeout : outlierLatency(times);
}

// The latest time at which an attempt may start so that it ends before this proxy exits. Against calls that
// are cut off by the exit: their clients cannot know whether they ran. With few proxies left, clients are
// sent here until the end of the grace period. Drawback: a request is rejected that would have been quick.
Instant Dispatch::latestStart(const Service& s, const Request& r) const {
    if (!drain_ || r.incoming.deadline <= drain_->completeBy) return Instant::never();
    const bool isLate = r.receivedAt > drain_->lateFrom;
    return drain_->completeBy - (isLate ? slowCallTime(r) : usualCallTime(s, r));
}

// Estimates the wait of a request that arrives now behind `ahead` others.
Span Dispatch::expectedWait(Instant now, const Service& s, size_t ahead, bool slotMayTransfer) const {
    Instant first = Instant::never();
    double slots = 0;
    for (InstanceIndex index : s.instances) {
        const Instance& i = *instances_[index];
        if (i.slots == 0) continue;
        slots += i.slots;
        first = std::min(first, i.isReady ? std::max(now, i.backoffUntil) : std::max(now, i.expectedReadyAt));
    }
    double mean = s.meanSeconds > 0 ? s.meanSeconds : kDefaultCallSeconds;
    // Before the first grants of a planner only this proxy's slots are unknown; the instances may well be
    // running.
    if (slots == 0 && (!isLinked_ || grantsTerm_ < term_)) return kFirstGrantDelay;
    // Other proxies have slots, and a transfer takes less time than a boot. Without this estimate, retried
    // requests whose remaining time is shorter than a boot were rejected immediately. Drawback: when all
    // slots are busy, or gone since the last grant, a request is queued in vain for part of its time.
    if (slots == 0 && slotMayTransfer && s.fleetSlots > 0)
        return kSlotTransferDelay + Span::seconds(mean * static_cast<double>(ahead) / 4);
    if (slots == 0)
        return s.spec.boot + Span::millis(150) + Span::seconds(mean * static_cast<double>(ahead) / 4);
    return (first - now) + Span::seconds(mean * static_cast<double>(ahead) / slots);
}

void Dispatch::onRequest(Instant now, const IncomingRequest& a) {
    ++counters_.received;
    uint32_t index = findOrAddService(a.service);
    uint32_t classIndex = findOrAddRequestClass(a);
    Request& r = requests_[a.id];
    r.incoming = a, r.receivedAt = now, r.service = index, r.classIndex = classIndex,
    r.sequence = ++lastSequence_;
    r.queueUntil = std::min(now + (a.deadline - now) * kMaxQueueTimeShare, a.deadline);
    Service& s = services_[index];
    s.retryBudget.recordRequest(now, options_.retryBudgetWindow);
    ++s.arrivals;
    if (!s.hasChanged) s.hasChanged = true, changedServices_.push_back(index);
    const Instant startBy = latestStart(s, r);
    if (now > startBy) return rejectRequest(now, r, true);
    r.queueUntil = std::min(r.queueUntil, startBy);
    enqueue(r);
    dispatchQueued(now, index);
    auto still = requests_.find(a.id);
    if (still == requests_.end() || still->second.isInFlight) return;
    // The request is queued. If it cannot meet its deadline it is rejected now, with a Retry-After.
    size_t behind = 0;  // queued requests of lower priority; it is the last of its own priority
    for (auto at = s.queue.rbegin(); at != s.queue.rend() && at->first.first > a.priority; ++at) ++behind;
    size_t ahead = s.queue.size() - behind - 1;
    Span wait = expectedWait(now, s, ahead, true);
    if (queuedCount_ > maxQueued_ || now + wait + expectedCallTime(s, still->second) > a.deadline)
        return rejectRequest(now, still->second, true);
    queueDeadlines_.emplace(r.queueUntil, a.id);
    scheduleWakeup(std::max(r.queueUntil, nextSweepAt_));
}

void Dispatch::enqueue(Request& r) {
    Service& s = services_[r.service];
    s.queue[{r.incoming.priority, r.sequence}] = r.incoming.id;
    ++queuedCount_;
    queuedServices_.insert(r.service);
    s.peakDemand = std::max(s.peakDemand, s.inFlight + static_cast<uint32_t>(s.queue.size()));
}

void Dispatch::dequeue(Request& r) {
    Service& s = services_[r.service];
    if (s.queue.erase({r.incoming.priority, r.sequence})) --queuedCount_;
    if (s.queue.empty()) queuedServices_.erase(r.service);
}

bool Dispatch::cancelRequest(Instant now, RequestId id, AttemptProgress progress) {
    auto found = requests_.find(id);
    if (found == requests_.end()) return true;
    Request& r = found->second;
    if (r.isCancelled) return false;
    ++counters_.cancelled;
    if (r.isInFlight && !mayCutOff(r.incoming, progress)) {
        r.isCancelled = true;
        return false;
    }
    const uint32_t service = r.service;
    const bool wasInFlight = r.isInFlight;
    if (wasInFlight) {
        if (progress != AttemptProgress::none) ++counters_.cutOff, recordCallTime(now, r);
        endCancelledAttempt(now, r);
    } else {
        dequeue(r);
    }
    eraseRequest(r);
    if (wasInFlight) dispatchQueued(now, service);
    return true;
}

// The slot is free once the instance has seen the connection close.
void Dispatch::endCancelledAttempt(Instant now, const Request& r) {
    const InstanceIndex index = r.instance;
    Instance* i = instances_[index].get();
    if (!i) return;
    releaseSlot(now, *i);
    i->abandonedUntil = std::max(i->abandonedUntil, r.sentAt + slowCallTime(r));
    i->backoffUntil = std::max(i->backoffUntil, now + kFullBackoff);
    scheduleWakeup(i->backoffUntil);
    if (i->slots == 0 && i->inFlight == 0) removeInstance(now, index);
}

// A call that was cut off took at least this long. Without it, the mean of a service whose clients leave
// before its slow calls end would be that of its quick calls.
void Dispatch::recordCallTime(Instant now, const Request& r) {
    const double took = (now - r.sentAt).inSeconds();
    double& ofClass = requestClasses_[r.classIndex].meanSeconds;
    double& ofService = services_[r.service].meanSeconds;
    if (took > ofClass) ofClass = ofClass == 0 ? took : 0.95 * ofClass + 0.05 * took;
    if (took > ofService) ofService = ofService == 0 ? took : 0.9 * ofService + 0.1 * took;
}

// Another proxy has its slots, or a call that was cut off still runs there: not all instances notice that a
// connection has closed. In that case the instance is tried less and less often, as each rejection costs the
// request one of its attempts. Drawback: its other slots are idle in the meantime.
void Dispatch::onInstanceFull(Instant now, Instance& i) {
    i.rejectionsInRow = now < i.abandonedUntil ? std::min(i.rejectionsInRow + 1, kMaxBackoffDoublings) : 0;
    i.backoffUntil = std::max(i.backoffUntil, now + kFullBackoff * (1 << i.rejectionsInRow));
    scheduleWakeup(i.backoffUntil);
}

std::optional<InstanceIndex> Dispatch::pickInstance(Instant now, const Service& s, const Request& r) const {
    std::optional<InstanceIndex> best;
    double most = 0;
    for (InstanceIndex index : s.instances) {
        const Instance& i = *instances_[index];
        if (!i.isReady || i.inFlight >= i.slots || now < i.backoffUntil) continue;
        double room = (i.slots - i.inFlight) / static_cast<double>(i.slots);
        if (i.info.zone == options_.zone) room += 0.4;  // traffic between zones is expensive and slower
        if (i.connectFailures > 0) room /= 4;
        if (index == r.avoidInstance) room /= 100;
        if (!best || room > most) best = index, most = room;
    }
    return best;
}

void Dispatch::requestUrgentReport(Instant now) {
    isReportUrgent_ = true;
    scheduleWakeup(urgentReportAt(now));
}

// Time of the next urgent report: immediately, or batched while requests for many services are queued. After
// a failure, when requests for many services wait at every proxy, the planner fell behind on the reports of
// all proxies. Drawback: the planner learns of demand that much later.
Instant Dispatch::urgentReportAt(Instant now) const {
    return queuedServices_.size() < kManyQueuedServices ? now
                                                        : std::max(now, reportedAt_ + kUrgentReportInterval);
}

// Raises the pacing rate as soon as more slots are granted, and shortens a wait that was computed from the
// old rate. A proxy whose bucket started pacing while it had no slot would otherwise send only one call per
// second, no matter how many slots it was granted since.
void Dispatch::raisePacingRate(Instant now, Service& s) {
    double rate = fairRate(s);
    if (!s.bucket.limited || s.bucket.rate >= rate) return;
    if (s.bucket.nextTokenAt > now)
        s.bucket.nextTokenAt = now + (s.bucket.nextTokenAt - now) * (s.bucket.rate / rate);
    s.bucket.rate = rate;
}

// Starts pacing a service: a request is queued because the slots are in use or the instance is booting.
void Dispatch::startPacing(Instant now, Service& s) {
    bool isNew = !s.bucket.limited;
    s.bucket.startLimiting(now, fairRate(s), random_);
    // The bucket starts full: with no call in flight, the first queued request does not have to wait.
    if (isNew && s.inFlight == 0) s.bucket.tokens = 1;
    if (!s.isDemandReported || now - s.demandReportedAt > kDemandRepeatInterval) {
        s.isDemandReported = true, s.demandReportedAt = now;
        requestUrgentReport(now);
    }
    if (!s.hasChanged)
        s.hasChanged = true, changedServices_.push_back(static_cast<uint32_t>(&s - services_.data()));
}

void Dispatch::dispatchQueued(Instant now, uint32_t index) {
    Service& s = services_[index];
    while (!s.queue.empty()) {
        Request& r = requests_.at(s.queue.begin()->second);
        if (now >= r.incoming.deadline || now > latestStart(s, r)) {
            rejectRequest(now, r, false);
            continue;
        }
        auto at = pickInstance(now, s, r);
        if (!at && mayBorrow(now, s, r)) at = borrowInstance(now, index);
        if (!at) {
            startPacing(now, s);
            for (InstanceIndex each : s.instances) {
                Instance& i = *instances_[each];
                if (!i.isReady && i.slots > 0) startProbe(now, i, each);
                if (i.isReady && i.inFlight < i.slots && now < i.backoffUntil) scheduleWakeup(i.backoffUntil);
            }
            return;
        }
        if (!s.bucket.hasToken(now, 0, random_)) return scheduleWakeup(s.bucket.nextTokenAt);
        if (s.bucket.limited) s.bucket.tokens -= 1;
        dequeue(r);
        sendRequest(now, r, *at);
    }
    s.isDemandReported = false;
}

void Dispatch::startProbe(Instant now, Instance& i, InstanceIndex index) {
    if (i.isProbing) return;
    if (now < i.nextProbeAt) return scheduleWakeup(i.nextProbeAt);
    i.isProbing = true, ++counters_.probes;
    outputs_.push_back(ProbeInstance{index});
}

void Dispatch::onProbeResult(Instant now, InstanceIndex index, bool up) {
    if (index >= instances_.size() || !instances_[index]) return;
    Instance& i = *instances_[index];
    i.isProbing = false;
    if (up && !i.isReady) {
        i.isReady = true;
        readyInstances_.push_back(i.info.id);
    }
    if (!up) {
        i.nextProbeAt = now + kProbeInterval;
        // Refuses connections well past its expected boot time, so it is considered dead.
        if (now > i.expectedReadyAt + Span::seconds(3) && !i.isReportedDead)
            deadInstances_.push_back(i.info.id), i.isReportedDead = true;
    }
    dispatchQueued(now, i.service);
}

void Dispatch::sendRequest(Instant now, Request& r, InstanceIndex index) {
    Service& s = services_[r.service];
    Instance& i = *instances_[index];
    ++i.inFlight, ++s.inFlight, ++counters_.sent;
    s.peakDemand = std::max(s.peakDemand, s.inFlight + static_cast<uint32_t>(s.queue.size()));
    if (!s.hasChanged) s.hasChanged = true, changedServices_.push_back(r.service);
    ++r.attempts;
    setPendingRetry(r, false);
    if (r.attempts > 1) s.retryBudget.recordRetry(now, options_.retryBudgetWindow), ++counters_.retries;
    r.isInFlight = true, r.instance = index, r.sentAt = now;
    // A response may be lost while the connection stays open. An idempotent request is abandoned when its
    // latency far exceeds that of its class and time is left for another attempt; otherwise the response is
    // awaited until the deadline. Drawback: when an instance suddenly becomes that slow, its work is
    // discarded once.
    Span attemptTimeout;
    const auto& times = requestClasses_[r.classIndex].latencies;
    if (r.incoming.isIdempotent && r.attempts < r.incoming.maxAttempts && times.count >= kMinLatencySamples &&
        r.lastOutcome != AttemptOutcome::timedOut) {
        const Span timeout = outlierLatency(times);
        if (now + timeout + expectedCallTime(s, r) * 2 < r.incoming.deadline && mayRetry(now, s))
            attemptTimeout = timeout;
    }
    outputs_.push_back(SendRequest{r.incoming.id, index, attemptTimeout});
}

void Dispatch::releaseSlot(Instant now, Instance& i) {
    if (i.inFlight > 0) --i.inFlight;
    Service& s = services_[i.service];
    if (s.inFlight > 0) --s.inFlight;
    if (i.inFlight == 0) i.idleSince = now;
    if (!s.hasChanged) s.hasChanged = true, changedServices_.push_back(i.service);
    if (i.inFlight >= i.slots)
        recordHeldSlots(i), requestUrgentReport(now);  // the slot was revoked and is free now
    // The grant is not acknowledged yet. If requests are queued here, the slot is in use again immediately.
    if (s.queue.empty() && heldChanges_.count(i.info.id)) recordHeldSlots(i), requestUrgentReport(now);
}

void Dispatch::onConnectFailure(Instant now, Instance& i, InstanceIndex) {
    ++i.connectFailures;
    i.backoffUntil = std::max(i.backoffUntil, now + kConnectBackoff * std::min(i.connectFailures, 4));
    scheduleWakeup(i.backoffUntil);
    // Reported again at each further failure: the planner acts on the second report of a single proxy, and a
    // report may be lost.
    if (i.connectFailures >= 2 && now - i.reportedDeadAt > kDeadReportInterval) {
        i.isReportedDead = true, i.reportedDeadAt = now;
        requestUrgentReport(now);
        deadInstances_.push_back(i.info.id);
    }
}

void Dispatch::onAttemptEnded(Instant now, RequestId id, AttemptOutcome outcome) {
    auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.isInFlight) return;
    Request& r = found->second;
    r.isInFlight = false, r.lastOutcome = outcome;
    Instance* i = instances_[r.instance].get();
    Service& s = services_[r.service];
    bool answered = outcome == AttemptOutcome::answered || outcome == AttemptOutcome::serverError;
    Span took = now - r.sentAt;
    if (answered) {
        RequestClass& requestClass = requestClasses_[r.classIndex];
        requestClass.latencies.add(took, true);
        requestClass.meanSeconds = requestClass.meanSeconds == 0
                                       ? took.inSeconds()
                                       : 0.95 * requestClass.meanSeconds + 0.05 * took.inSeconds();
        s.meanSeconds = s.meanSeconds == 0 ? took.inSeconds() : 0.9 * s.meanSeconds + 0.1 * took.inSeconds();
        s.bucket.onDelivered(now, fairRate(s), 2 * fairRate(s), 1);
    }
    if (outcome == AttemptOutcome::notExecuted) {
        ++counters_.notExecuted;
        s.bucket.onRejected(now, r.sentAt, fairRate(s), fairRate(s), true, random_);
    }
    if (mayHaveExecuted(outcome)) r.mayHaveExecuted = true;
    InstanceIndex at = r.instance;
    uint32_t service = r.service;
    if (i) {
        releaseSlot(now, *i);
        switch (outcome) {
            case AttemptOutcome::answered:
            case AttemptOutcome::serverError:
                i->connectFailures = 0, i->isReportedDead = false, i->rejectionsInRow = 0;
                break;
            case AttemptOutcome::notExecuted:
                if (i->slots == 0) {
                    ++counters_.borrowedNotExecuted;
                    s.nextBorrowAt = now + Span::seconds(random_.uniform(0.1, 0.3));
                }
                onInstanceFull(now, *i);
                break;
            case AttemptOutcome::misdirected:
                // Counts as two failures, so that the instance is reported dead immediately.
                ++counters_.misdirected, ++i->connectFailures;
                onConnectFailure(now, *i, at);
                break;
            case AttemptOutcome::connectFailed:
                ++counters_.connectFailed;
                onConnectFailure(now, *i, at);
                break;
            case AttemptOutcome::connectionBroken:
                ++counters_.connectionBroken;
                break;
            case AttemptOutcome::timedOut:
                ++counters_.timedOut;
                i->abandonedUntil = std::max(i->abandonedUntil, r.sentAt + slowCallTime(r));
                i->backoffUntil = std::max(i->backoffUntil, now + kFullBackoff);
                scheduleWakeup(i->backoffUntil);
                break;
            case AttemptOutcome::notSent:
                break;
        }
        if (i->slots == 0 && i->inFlight == 0) removeInstance(now, at);
    }
    if (r.isCancelled) {
        outputs_.push_back(DropRequest{id});
        eraseRequest(r);
    } else if (answered && (outcome == AttemptOutcome::answered || !r.incoming.isIdempotent ||
                            r.attempts >= r.incoming.maxAttempts)) {
        ++counters_.forwarded;
        outputs_.push_back(ForwardResponse{id});
        requests_.erase(found);
    } else {
        retryOrFinish(now, r);
    }
    dispatchQueued(now, service);
}

// Whether this proxy may send one more retry. The proxies share half of the slack, divided by the maximum
// number of proxies within a window, as an agent that has just started knows no other proxy and reports one.
// A restarted proxy does not know how much it used: its share of the slack grows from zero over one window,
// so that many short lives together use no more than one long life. Drawback: after a start, the first lost
// responses are not retried by the proxy but by its clients.
bool Dispatch::mayRetry(Instant now, Service& s) {
    if (now - options_.retryBudgetWindow > fewerProxiesSince_)
        maxProxyCount_ = proxyCount_, fewerProxiesSince_ = Instant::never();
    double part = options_.retryBudgetSlack / maxProxyCount_ / 2;
    if (options_.mayHaveRestarted && now - createdAt_ < options_.retryBudgetWindow)
        part *= (now - createdAt_).inSeconds() / options_.retryBudgetWindow.inSeconds();
    // Allowed retries that wait for a slot count too. Otherwise many requests that fail together while no
    // slot is free would be allowed one by one and sent together.
    return s.retryBudget.allowsRetry(now, options_.retryBudgetWindow, options_.retryBudgetRatio,
                                     part - s.pendingRetries);
}

// Many attempts may be sent while the budget has room for a single retry; the others keep waiting. If they
// were abandoned anyway, they would fail although the instance is still working and the client has time.
bool Dispatch::mayAbandonAttempt(Instant now, RequestId id) {
    auto found = requests_.find(id);
    if (found == requests_.end() || !found->second.isInFlight) return true;
    Service& s = services_[found->second.service];
    return now + expectedCallTime(s, found->second) < found->second.incoming.deadline && mayRetry(now, s);
}

void Dispatch::setPendingRetry(Request& r, bool isPending) {
    if (r.hasPendingRetry == isPending) return;
    r.hasPendingRetry = isPending;
    services_[r.service].pendingRetries += isPending ? 1 : -1;
}

// Handles a request without a response: retries it elsewhere, rejects it as not executed, or fails it.
void Dispatch::retryOrFinish(Instant now, Request& r) {
    Service& s = services_[r.service];
    bool reachedInstance =
        r.lastOutcome != AttemptOutcome::connectFailed && r.lastOutcome != AttemptOutcome::notSent;
    if (!reachedInstance) --r.attempts;  // no instance has received it
    bool mayExecuteAgain = r.incoming.isIdempotent || !r.mayHaveExecuted;
    const Instant startBy = latestStart(s, r);
    bool timeLeft = now + expectedCallTime(s, r) < r.incoming.deadline && now <= startBy;
    bool budgetAllows = !reachedInstance || (r.attempts < r.incoming.maxAttempts && mayRetry(now, s));
    if (mayExecuteAgain && timeLeft && budgetAllows) {
        if (r.attempts > 0) setPendingRetry(r, true);
        r.avoidInstance = r.instance;
        r.queueUntil = std::max(now, std::min(r.queueUntil, r.incoming.deadline));
        enqueue(r);
        Instant until =
            std::min({std::max(r.queueUntil, now + Span::millis(200)), r.incoming.deadline, startBy});
        queueDeadlines_.emplace(until, r.incoming.id);
        scheduleWakeup(until);
        return;
    }
    if (!r.mayHaveExecuted) return rejectRequest(now, r, false);
    ++counters_.failed;
    if (r.lastOutcome == AttemptOutcome::serverError) {
        outputs_.push_back(ForwardResponse{r.incoming.id});
    } else {
        outputs_.push_back(FailRequest{r.incoming.id, r.lastOutcome == AttemptOutcome::timedOut ? 504 : 502});
    }
    eraseRequest(r);
}

void Dispatch::eraseRequest(Request& r) {
    RequestId id = r.incoming.id;
    setPendingRetry(r, false);
    requests_.erase(id);
}

void Dispatch::rejectRequest(Instant now, Request& r, bool immediately) {
    if (r.mayHaveExecuted) {  // it must not be reported as not executed
        dequeue(r);
        ++counters_.failed;
        if (r.lastOutcome == AttemptOutcome::serverError)
            outputs_.push_back(ForwardResponse{r.incoming.id});
        else
            outputs_.push_back(
                FailRequest{r.incoming.id, r.lastOutcome == AttemptOutcome::timedOut ? 504 : 502});
        return eraseRequest(r);
    }
    ++(immediately ? counters_.rejectedImmediately : counters_.rejectedAfterQueueing);
    Service& s = services_[r.service];
    dequeue(r);
    Span wait = expectedWait(now, s, s.queue.size() / 2, false);
    // A random delay, so that clients do not return together.
    wait = wait + Span::seconds(random_.uniform(0.05, 0.25));
    if (now >= latestStart(s, r)) {
        ++counters_.rejectedForShutdown;
        wait = kShutdownRetryAfter * random_.uniform(1, 2);
    }
    outputs_.push_back(RejectRequest{
        r.incoming.id, 503, std::min(wait, std::max((r.incoming.deadline - now) * 0.33, Span::millis(50)))});
    eraseRequest(r);
}

void Dispatch::startDraining(Instant now, const DrainSchedule& schedule) {
    drain_ = schedule;
    for (uint32_t index : queuedServices_)
        for (const auto& [key, id] : services_[index].queue) {
            const Instant startBy = latestStart(services_[index], requests_.at(id));
            if (startBy == Instant::never()) continue;
            queueDeadlines_.emplace(startBy, id);
            scheduleWakeup(startBy);
        }
    sendReport(now, true);
}

void Dispatch::rejectQueued(Instant now) {
    std::vector<RequestId> all;
    for (uint32_t i : queuedServices_)
        for (const auto& [key, id] : services_[i].queue) all.push_back(id);
    for (RequestId id : all) rejectRequest(now, requests_.at(id), false);
}

void Dispatch::sendReport(Instant now, bool whole) {
    isReportUrgent_ = false;
    if (!isLinked_) {  // no planner is connected; the next one gets a full report
        reportedAt_ = now;
        return;
    }
    scaler::Report out;
    out.term = term_, out.isFull = whole, out.isLeaving = drain_.has_value();
    out.intervalMs = static_cast<uint32_t>((now - reportedAt_).inMicros() / 1000);
    reportedAt_ = now;
    if (whole) {
        changedServices_.clear();
        for (uint32_t i = 0; i < services_.size(); ++i)
            if (services_[i].hasChanged || services_[i].inFlight > 0 || !services_[i].queue.empty())
                changedServices_.push_back(i);
        heldChanges_.clear();
        for (auto& i : instances_)
            if (i) {
                recordHeldSlots(*i);
                // A new planner does not know what its predecessor was told.
                if (i->isReportedDead && std::find(deadInstances_.begin(), deadInstances_.end(),
                                                   i->info.id) == deadInstances_.end())
                    deadInstances_.push_back(i->info.id);
                if (i->isReady && !i->isReportedDead) readyInstances_.push_back(i->info.id);
            }
    }
    for (uint32_t index : changedServices_) {
        Service& s = services_[index];
        s.hasChanged = false;
        out.demands.push_back({s.spec.name, static_cast<uint32_t>(s.queue.size()), s.inFlight, s.peakDemand,
                               s.arrivals, static_cast<uint32_t>(s.meanSeconds * 1e6)});
        s.peakDemand = s.inFlight + static_cast<uint32_t>(s.queue.size()), s.arrivals = 0;
        for (InstanceIndex i : s.instances) {
            Instance& each = *instances_[i];
            if (heldChanges_.count(each.info.id) == 0)
                heldChanges_[each.info.id] = {each.info.id, "", "", std::max(each.slots, each.inFlight),
                                              each.inFlight};
        }
    }
    changedServices_.clear();
    for (auto& [id, held] : heldChanges_) {
        // After a full report the planner knows service and address by the instance id.
        if (!whole) held.service.clear(), held.address.clear();
        out.held.push_back(std::move(held));
    }
    heldChanges_.clear();
    out.unreachable.swap(deadInstances_), out.up.swap(readyInstances_);
    ++counters_.reports;
    outputs_.push_back(SendReport{std::move(out)});
}

void Dispatch::rejectOverdue(Instant now) {
    nextSweepAt_ = now + kSweepInterval;
    while (!queueDeadlines_.empty() && queueDeadlines_.begin()->first <= now) {
        RequestId id = queueDeadlines_.begin()->second;
        queueDeadlines_.erase(queueDeadlines_.begin());
        auto found = requests_.find(id);
        if (found == requests_.end() || found->second.isInFlight) continue;
        rejectRequest(now, found->second, false);
    }
}

void Dispatch::tick(Instant now) {
    wakeAt_ = now + Span::millis(250);
    if (now >= nextSweepAt_) rejectOverdue(now);
    if (!queueDeadlines_.empty()) scheduleWakeup(std::max(queueDeadlines_.begin()->first, nextSweepAt_));
    if (!queuedServices_.empty()) {
        std::vector<uint32_t> all(queuedServices_.begin(), queuedServices_.end());
        for (uint32_t i : all) dispatchQueued(now, i);
    }
    bool anything = !changedServices_.empty() || !heldChanges_.empty() || !deadInstances_.empty() ||
                    !readyInstances_.empty();
    const bool urgentDue = isReportUrgent_ && now >= urgentReportAt(now);
    if (isReportUrgent_ && !urgentDue) scheduleWakeup(urgentReportAt(now));
    if (urgentDue || (anything && now - reportedAt_ >= kReportInterval))
        sendReport(now, false);
    else if (anything)
        scheduleWakeup(reportedAt_ + kReportInterval);
    if (queuedCount_ > 0) scheduleWakeup(now + kDemandRepeatInterval);
}

std::optional<Output> Dispatch::next() {
    if (outputs_.empty()) return std::nullopt;
    Output first = std::move(outputs_.front());
    outputs_.pop_front();
    return first;
}

}  // namespace petrelpond::proxy
