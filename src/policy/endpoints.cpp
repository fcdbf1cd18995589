// Which endpoint gets a call: one with room, at a place that may be called, not far slower than its fellows.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

double Logic::callTime(Instant now, const Destination& d) {
    double best = 1e9;
    for (uint32_t e : d.endpoints) {
        const Place& p = places_[endpoints_[e].is.place];
        best = std::min(best, p.times.mean(p.out.ages(now), usualTime_));
    }
    return best;
}

// Drawn by room among those whose place may have a call now.
EndpointIndex Logic::draw(Instant now, const Destination& d) {
    EndpointIndex drawn;
    double sum = 0;
    for (uint32_t e : d.endpoints) {
        double room = roomAt(now, endpoints_[e]);
        if (room <= 0 || !paced(now, endpoints_[e])) continue;
        sum += room;
        if (chance_.between(0, sum) < room) drawn = EndpointIndex(e);
    }
    return drawn;
}

// Room at an endpoint for one more call, zero if it may not have one.
double Logic::roomAt(Instant now, const Endpoint& e) {
    if (!e.is.usable()) return 0;
    Place& p = places_[e.is.place];
    if (now < p.toldUntil) return blockedUntil(p.toldUntil);
    if (now < e.doorAt) return blockedUntil(e.doorAt);
    double out = e.out.count();
    bool down = p.guard.phase == Phase::down;
    if (down || e.trickle > 0) {
        Instant at = down ? p.guard.trialAt : e.trickleAt;
        if (now < at) return blockedUntil(at);
        return (down ? p.out : e.out).count() > 0 ? 0 : 1;
    }
    // Where calls carry many texts, what comes meanwhile travels with the next: limits count calls.
    size_t waiting = destination(e.is.destination).waiting.size();
    if (out > 0 && waiting < static_cast<size_t>(sort(e).kind.batch)) return 0;
    double room = e.reach - out;
    if (room < 1 && out > 0) return 0;
    if (e.is.zone != crew_.zone) room *= 0.5;
    if (e.is.apart && p.fleetRate() > 0) return p.fleetRate();  // their limits differ
    room = std::max(room, 1.0);
    // A connection that lies idle is room at hand: it saves a handshake, and a place in a full table.
    bool idle = e.out.starts.empty() && now - e.usedAt < std::min(sort(e).idle.span, links_.idleTimeout);
    double tight = room_.maxCalls > 0 ? static_cast<double>(callsOut_) / room_.maxCalls : 0;
    room *= std::pow(usualTime_ / std::max(e.times.mean(0, usualTime_), 0.001), 6 * tight);
    return many() && idle ? room * 3 : room;
}

bool Logic::paced(Instant now, const Endpoint& e) {
    Place& p = places_[e.is.place];
    double slice = std::max(p.slice(now, crew_.senders), p.fleetRate() > 0 ? 0 : p.guard.before);
    double cap = p.guard.budget(now, slice, many(), cold_);
    if (p.bucket.ready(now, cap, chance_) || p.guard.phase == Phase::down) return true;
    blockedUntil(p.bucket.askAt);
    if (e.is.apart) return false;
    Destination& d = destination(e.is.destination);
    size_t all = d.waiting.size(), last = d.checkedFor == p.bucket.askAt ? std::min(d.unchecked, all) : all;
    for (auto t = std::prev(d.waiting.end(), static_cast<long>(last)); t != d.waiting.end(); ++t)
        if (texts_.at(t->value).arrival.validUntil < p.bucket.askAt) toAnswer_.push_back(*t);
    d.checkedFor = p.bucket.askAt, d.unchecked = 0;
    return false;
}

// A high quantile of each endpoint's answer times against its fellows'.
void Logic::judge(Instant now, const Destination& d) {
    if (d.endpoints.size() < 2) return;
    for (uint32_t i : d.endpoints) {
        Endpoint& e = endpoints_[i];
        if (!e.is.usable() || e.trickle > 0) continue;
        fellows_.clear();
        for (uint32_t j : d.endpoints) {
            const Endpoint& f = endpoints_[j];
            if (j != i && f.is.usable() && f.times.count > 0 && f.trickle <= 0)
                fellows_.push_back(f.times.high);
        }
        if (fellows_.empty()) continue;
        double own = std::max(e.times.count < 4 ? 0 : e.times.high, e.out.longest(now));
        auto median = fellows_.begin() + static_cast<long>(fellows_.size() / 2);
        std::nth_element(fellows_.begin(), median, fellows_.end());
        if (own > 4 * *median) setAside(now, e);
        if (own > 4 * *median || e.out.count() <= 0) continue;  // else looked at when it would be too slow
        blockedUntil(std::max(*e.out.live() + Span::seconds(4 * *median), now) + Span::millis(1));
    }
}

void Logic::setAside(Instant now, Endpoint& e) {
    // A busy place misses an endpoint more, and learns sooner that it is well.
    double first = std::max(0.5, 0.05 * places_[e.is.place].served.rate(now, Span::seconds(2)));
    e.trickle = e.trickle > 0 ? std::max(e.trickle / 2, 0.2 * first) : first;
    e.trickleAt = now + chance_.about(Span::seconds(0.75 / e.trickle));
}

}  // namespace petrelpond::policy
