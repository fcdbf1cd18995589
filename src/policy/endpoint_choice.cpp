// Chooses the endpoint of a call by free capacity, the limits of its group, and its speed compared with its peers.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

double Logic::expectedCallTime(Instant now, const Destination& d) {
    double best = 1e9;
    for (uint32_t e : d.endpoints) {
        const LimitGroup& g = groups_[endpoints_[e].core.group];
        best = std::min(best, g.times.mean(g.inFlight.totalAge(now), typicalCallTime_));
    }
    return best;
}

// Random choice weighted by free capacity, among endpoints whose limit group may have a call now.
EndpointIndex Logic::drawEndpoint(Instant now, const Destination& d) {
    EndpointIndex drawn;
    double sum = 0;
    for (uint32_t e : d.endpoints) {
        double room = freeCapacity(now, endpoints_[e]);
        if (room <= 0 || !passesRateLimit(now, endpoints_[e])) continue;
        sum += room;
        if (random_.uniform(0, sum) < room) drawn = EndpointIndex(e);
    }
    return drawn;
}

// The endpoint's free capacity in calls, as a weight; zero if it may not have another call.
double Logic::freeCapacity(Instant now, const Endpoint& e) {
    if (!e.core.usable()) return 0;
    LimitGroup& g = groups_[e.core.group];
    if (now < g.waitUntil) return recheckBy(g.waitUntil);
    if (now < e.connectAfter) return recheckBy(e.connectAfter);
    double out = e.inFlight.liveCount();
    bool down = g.outage.phase == Phase::down;
    if (down || e.probeRate > 0) {
        Instant at = down ? g.outage.nextTrialAt : e.nextProbeAt;
        if (now < at) return recheckBy(at);
        return (down ? g.inFlight : e.inFlight).liveCount() > 0 ? 0 : 1;
    }
    // Limits count calls, so texts that arrive during a batch call gather for the next one.
    size_t waiting = destination(e.core.destination).waiting.size();
    if (out > 0 && waiting < static_cast<size_t>(kindState(e).kind.batch)) return 0;
    double room = e.concurrencyLimit - out;
    if (room < 1 && out > 0) return 0;
    if (e.core.zone != senderGroup_.zone) room *= 0.5;
    if (e.core.ownGroup && g.fleetRate() > 0) return g.fleetRate();  // separate routes differ in their limits
    room = std::max(room, 1.0);
    // An idle connection saves a handshake, and an entry in a connection table that may be full.
    bool idle = e.inFlight.starts.empty() && now - e.usedAt <
                std::min(kindState(e).idle.timeout, connections_.idleTimeout);
    double tight = limits_.maxCalls > 0 ? static_cast<double>(callsInFlight_) / limits_.maxCalls : 0;
    room *= std::pow(typicalCallTime_ / std::max(e.times.mean(0, typicalCallTime_), 0.001), 6 * tight);
    return isLargeGroup() && idle ? room * 3 : room;
}

bool Logic::passesRateLimit(Instant now, const Endpoint& e) {
    LimitGroup& g = groups_[e.core.group];
    double fairShare = std::max(g.fairShare(now, senderGroup_.senders), g.fleetRate() > 0 ? 0 : g.outage.shareBefore);
    double cap = g.outage.recoveryRate(now, fairShare, isLargeGroup(), coldStart_);
    if (g.bucket.hasToken(now, cap, random_) || g.outage.phase == Phase::down) return true;
    recheckBy(g.bucket.nextTokenAt);
    if (e.core.ownGroup) return false;
    Destination& d = destination(e.core.destination);
    size_t all = d.waiting.size(), last = d.checkedUntil == g.bucket.nextTokenAt ? std::min(d.unchecked, all) : all;
    for (auto t = std::prev(d.waiting.end(), static_cast<long>(last)); t != d.waiting.end(); ++t)
        if (texts_.at(t->value).arrival.validUntil < g.bucket.nextTokenAt) unsendable_.push_back(*t);
    d.checkedUntil = g.bucket.nextTokenAt, d.unchecked = 0;
    return false;
}

// Compares a high quantile of each endpoint's answer times with the median of its peers'.
void Logic::demoteSlowEndpoints(Instant now, const Destination& d) {
    if (d.endpoints.size() < 2) return;
    for (uint32_t i : d.endpoints) {
        Endpoint& e = endpoints_[i];
        if (!e.core.usable() || e.probeRate > 0) continue;
        peerTimes_.clear();
        for (uint32_t j : d.endpoints) {
            const Endpoint& f = endpoints_[j];
            if (j != i && f.core.usable() && f.times.count > 0 && f.probeRate <= 0)
                peerTimes_.push_back(f.times.highQuantile);
        }
        if (peerTimes_.empty()) continue;
        double own = std::max(e.times.count < 4 ? 0 : e.times.highQuantile, e.inFlight.longestAge(now));
        auto median = peerTimes_.begin() + static_cast<long>(peerTimes_.size() / 2);
        std::nth_element(peerTimes_.begin(), median, peerTimes_.end());
        if (own > 4 * *median) demote(now, e);
        if (own > 4 * *median || e.inFlight.liveCount() <= 0) continue;  // else rechecked when it would be too slow
        recheckBy(std::max(*e.inFlight.firstLive() + Span::seconds(4 * *median), now) + Span::millis(1));
    }
}

void Logic::demote(Instant now, Endpoint& e) {
    // A busy group needs the endpoint more, and its faster probes notice a recovery sooner.
    double first = std::max(0.5, 0.05 * groups_[e.core.group].deliveries.rate(now, Span::seconds(2)));
    e.probeRate = e.probeRate > 0 ? std::max(e.probeRate / 2, 0.2 * first) : first;
    e.nextProbeAt = now + random_.jittered(Span::seconds(0.75 / e.probeRate));
}

}  // namespace petrelpond::policy
