// What is known of who is listed: new lists, out of use and back, at rest, handed to another process.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::onEndpointList(Instant, ListScope scope, const std::vector<ListEntry>& entries) {
    if (scope != ListScope::cached) listFailures_ = 0;
    list(scope, entries, listRule_.includesRates, [&](KindIndex kind) { return sort(kind).kind.separateRoutes; });
    for (const ListEntry& entry : entries) touch(entry.destination.value);
}

// Given back it is cold: a place with no other endpoint comes back by a trial and its budget, one among
// fellows by the trickle of one set aside. Harm: one that kept warm waits.
void Logic::setEndpointDisabled(Instant now, EndpointIndex ix, bool out) {
    endpoints_.reseed(ix.value, [&](EndpointSeed& e) { e.banned = out; });
    DestinationIndex d = endpoints_.seed(ix.value).destination;
    touch(d.value);
    if (out || !d.isKnown()) return;
    Endpoint& e = endpoints_[ix.value];
    Place& p = places_[e.is.place];
    e.times = AnswerTimes(), e.misses = 0;
    for (uint32_t i : destination(d).endpoints)
        if (i != ix.value && endpoints_[i].is.place == e.is.place && endpoints_[i].is.usable())
            return setAside(now, e);
    p.guard.restarted(now, p.slice(now, crew_.senders), many(), cold_, chance_);
}

// Jittered, as all may break at once; sooner than we are deemed told, so that drains are kept.
void Logic::onEndpointListFailed(Instant now) {
    if (!listRule_.changesOnRequest) return;
    double pause = std::min(0.4 * std::pow(2, listFailures_++), 4.0);
    if (listRule_.maxRequestInterval > Span()) pause = std::min(pause, listRule_.maxRequestInterval.inSeconds() / 3);
    askListAt_ = now + chance_.about(Span::seconds(pause));
}

// Silent for a minute, a destination goes back to its seed. Harm: answer times are learned anew, and what
// one without a known rate was thought to take.
void Logic::restIfStill(Instant now, uint32_t ix) {
    Destination* d = destinations_.find(ix);
    if (!d || !d->waiting.empty() || now - d->usedAt < Span::seconds(60)) return;
    for (uint32_t e : d->endpoints)
        if (const Endpoint* at = endpoints_.find(e); at && !at->out.starts.empty()) return;
    for (uint32_t e : d->endpoints) {
        uint32_t place = endpoints_.seed(e).place;
        endpoints_.rest(e);
        const Place* p = places_.find(place);
        if (!p) continue;
        bool well = p->guard.phase != Phase::down && p->toldUntil <= now && p->bucket.trust >= 1;
        auto kept = std::make_shared<const Kept>(p->guard, p->toldUntil, p->bucket.trust, p->reportedRate);
        if (well && p->reportedRate <= 0) kept = nullptr;
        places_.reseed(place, [&](PlaceSeed& seed) { seed.kept = kept; }), places_.rest(place);
    }
    destinations_.rest(ix);
}

// Times from now. What the process that takes over has seen itself since stays where it is the worse.
std::vector<double> Logic::exportEndpointState(Instant now, EndpointIndex ix) {
    uint32_t at = placeOf(ix);
    if (at == kNone || (!places_.find(at) && !places_.seed(at).kept)) return {};
    const Place& p = places_[at];
    const Endpoint& e = endpoints_[ix.value];
    const ReturnGuard& g = p.guard;
    auto from = [&](Instant t) { return std::max((t - now).inSeconds(), -1e6); };
    double paced = p.bucket.bound ? p.bucket.rate : 0, phase = static_cast<double>(g.phase);
    return {from(p.toldUntil), phase, from(g.downAt), from(g.trialAt), from(g.returnedAt),
            g.before,          paced, p.bucket.trust, p.reportedRate,  e.trickle};
}

bool Logic::importEndpointState(Instant now, EndpointIndex ix, const std::vector<double>& l) {
    if (l.size() != 10 || !endpoints_.seed(ix.value).destination.isKnown()) return false;
    auto at = [&](size_t i) { return now + Span::seconds(l[i]); };
    Endpoint& e = endpoints_[ix.value];
    Place& p = places_[e.is.place];
    p.toldUntil = std::max(p.toldUntil, at(0)), p.reportedRate = std::max(p.reportedRate, l[8]);
    if (l[1] > 0 && p.guard.phase == Phase::clear)
        p.guard.phase = l[1] < 2 ? Phase::down : Phase::returning, p.guard.downAt = at(2),
        p.guard.trialAt = at(3), p.guard.returnedAt = at(4), p.guard.before = l[5];
    if (l[6] > 0) p.bucket.bind(now, l[6], chance_), p.bucket.trust = std::min(p.bucket.trust, l[7]);
    if (l[9] > 0 && e.trickle <= 0) e.trickle = l[9], e.trickleAt = now + Span::seconds(1 / l[9]);
    return touch(e.is.destination.value), now < p.toldUntil;
}

std::string Logic::describeEndpoint(Instant now, EndpointIndex ix) const {
    const Place* p = places_.find(placeOf(ix));
    if (!p) return "nothing";
    const char* phase[] = {"clear", "down", "returning"};
    std::string words = phase[static_cast<int>(p->guard.phase)];
    double rate = p->bucket.bound ? p->bucket.rate : 0, slice = p->fleetRate() / crew_.senders;
    for (double x : {rate, p->bucket.trust, slice}) words += '/' + std::to_string(x);
    return words + (now < p->toldUntil ? "/told" : "/free");
}

}  // namespace petrelpond::policy
