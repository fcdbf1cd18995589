// The planner's tables and the steps of a pass over them. Only the planner's own sources include this:
// planner.cpp (events), planner_state.cpp (tables, passes), planner_instances.cpp (which instances there
// are), planner_slots.cpp (who may use their slots), planner_demand.cpp (how many are needed).
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "system/scaler/planner.hpp"
#include "system/scaler/planner_records.hpp"
#include "system/scaler/tuning.hpp"

namespace petrelpond::scaler {

// What is left of a decaying average after the time from `from` to `to`; `tau` is its time constant in
// seconds.
inline double decayFactor(Instant from, Instant to, double tau) {
    double dt = (to - from).inSeconds();
    return dt <= 0 ? 1 : std::exp(-dt / tau);
}

struct Planner::State {
    State(Instant now, uint64_t t, uint32_t randomSeed, double duty, Span lag, uint64_t maxRecords)
        : createdAt(now), term(t), random(randomSeed), listLag(lag), maxCallsPerSecond(std::max(duty, 0.1)),
          maxRecordsPerPass(maxRecords), lastTick(now) {
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
    uint64_t maxRecordsPerPass, recordsLeft = 0;  // recordsLeft: that this pass may still look at
    Instant lastTick, tokensUpdatedAt;
    double tokens = 0;
    std::string noncePrefix;
    uint64_t nonceCount = 0, lastCreationNumber = 0;
    Instant nextReservationEnd = Instant::never();  // when the first slots of ended senders are released
    Instant passTime;                               // time of the newest event
    Instant backlogReportedAt = Instant::longAgo();
    bool isPassDue = false, isPassCut = false;  // isPassCut: the newest pass left dirty services
    bool isReady = false, isOutOfTokens = false, hasConfiguration = false, hasInstanceList = false;
    std::unordered_map<std::string, std::unique_ptr<Service>> services;
    std::unordered_map<std::string, std::unique_ptr<Instance>> instances;
    std::unordered_map<SenderId, std::unique_ptr<Sender>> senders;
    std::unordered_map<std::string, WorkerState> workers;
    std::unordered_map<std::string, PendingStart> pendingStarts;  // by nonce
    std::map<ServiceGroupKey, ServiceGroup> groups;
    std::vector<Service*> dirtyServices;
    std::deque<Service*> roundServices;  // still to be looked at in the round that the newest tick began
    std::vector<Sender*> sendersWithGrants;
    // Instances that are retiring, stopping without a response, or gone but still listed.
    std::set<Instance*, CreationOrder> closing;
    std::deque<Output> outputs;
    Counters counters;

    // --- planner_state.cpp: call rate of the platform, tables, messages to senders, passes ---
    double bucketDepth() const;
    bool hasToken(Instant now, bool urgent);
    bool takeToken(Instant now, bool urgent);

    void markDirty(Service* service);
    Service* findOrAddService(Instant now, const std::string& name);
    SenderDemand* findOrAddDemand(Instant now, Service* service, Sender* sender);
    Allocation* findOrAddAllocation(Instant now, Instance* instance, Sender* sender);
    Instance* addInstance(Instant now, const std::string& id, const std::string& service,
                          const std::string& address);
    void removeInstance(Instance* instance);
    void removeSender(Instant now, Sender* sender, Span reservationTime);
    void removeStart(const std::string& nonce);
    void setDemand(SenderDemand& u, Service* service, uint32_t waiting, uint32_t busy);

    void queueGrant(Instance* instance, Allocation& s);
    void setGranted(Instant now, Instance* instance, Allocation& s, uint32_t n);
    void revokeAll(Instant now, Instance* instance, bool includeUnconfirmed);
    void applyHeld(Instant now, Instance* instance, Allocation& s, uint32_t slots, uint32_t busy,
                   bool isFirstFullReport);
    void sendGrants(Instant now);
    void discardUnsent(Sender* sender);

    void finishLearning(Instant now);
    void schedulePass(Instant now);
    void runPass(Instant now);
    void continuePass(Instant now);
    void handleDirty(Instant now, Service* service);
    void tick(Instant now);
    void beginTick(Instant now);
    void continueRound(Instant now);
    void reviewService(Instant now, Service* service);
    Instant nextTickAt() const;
    bool hasUnfinishedWork() const { return isPassCut || !roundServices.empty(); }
    void countRecords(uint64_t n);
    void countRecords(const Service* service);
    void expire(Instant now);
    void expireAllocations(Instant now, Instance* instance);
    void expireStarts(Instant now);
    void expireDemands(Instant now, Service* service);
    void expireServices(Instant now);
    void updateGauges();

    // --- planner_instances.cpp: life of instances, starts and stops ---
    void markUp(Instant now, Instance* instance);
    void markDraining(Instant now, Instance* instance);
    void markGone(Instant now, Instance* instance, bool lost);
    void requestStop(Instant now, Instance* instance);
    void advanceClosing(Instant now);
    void retire(Instant now, Instance* instance);
    Instant bootDeadline(const Instance* instance) const;
    ServiceCapacity usableCapacity(const Service* service) const;
    void startUpTo(Instant now, Service* service, double slots, bool urgent);
    void requestStart(Instant now, Service* service, WorkerState& worker);
    WorkerState* chooseWorker(Instant now, Service* service);
    void retireSurplus(Instant now, Service* service);

    // --- planner_slots.cpp: which sender may use how many slots of which instance ---
    void recallOvercommitted(Instant now, Instance* instance);
    void detectUnresponsiveSenders(Instant now);
    SlotCount unavailableSlots(const Service* service) const;
    Instance* chooseFreeInstance(Service* service, Sender* sender, Phase phase);
    SlotCount grantSlots(Instant now, Service* service, SenderDemand& u, Phase phase, SlotCount most);
    void serveWaiting(Instant now, Service* service);
    QueueState countWaiting(Service* service);
    SlotCount grantInTurns(Instant now, Service* service, const std::vector<SenderDemand*>& want,
                           Phase phase);
    SlotCount recallIdleSlots(Instant now, Service* service, SlotCount need);
    void recallBusySlots(Instant now, Service* service, const QueueState& queue, SlotCount need);
    void spreadFreeSlots(Instant now, Service* service);
    SlotCount grantShares(Instant now, Service* service, std::vector<SlotShare>& shares, SlotCount spare);
    void moveIdleSlot(Instant now, Service* service, const std::vector<SlotShare>& shares);

    // --- planner_demand.cpp: arrival rates, call durations, slots that a service needs ---
    void recordArrivals(Instant now, Service* service, SenderDemand& u, const Demand& d, double span);
    void decayRates(Instant now, Service* service);
    double shortTau(const Service* service) const;
    double estimateCallSeconds(const Service* service) const;
    double priorCallSeconds(const Service* service) const;
    const ServiceGroup* findGroup(const Service* service) const;
    bool missesTargetAfterBoot(const Service* service) const;
    double slotsNeededNow(const Service* service, SlotCount upSlots) const;
    double wantedSlots(Instant now, const Service* service) const;
    double coldStartCost(const Service* service) const;
    Span keepTime(double seconds) const;
    Span surplusKeepTime(const Service* service) const;
    Span idleKeepTime(const Service* service) const;
};

}  // namespace petrelpond::scaler
