// What is known of who is listed: new lists, out of use and back, at rest, handed to another process.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::onEndpointList(Instant, ListScope scope, const std::vector<ListEntry>& entries) {
    if (scope != ListScope::cached) listFailures_ = 0;
    applyList(scope, entries, listRule_.includesRates, [&](KindIndex kind) { return kindState(kind).kind.separateRoutes; });
    for (const ListEntry& entry : entries) markReady(entry.destination.value);
}

// Given back it is cold: a place with no other endpoint comes back by a trial and its budget, one among
// fellows by the trickle of one set aside. Harm: one that kept warm waits.
void Logic::setEndpointDisabled(Instant now, EndpointIndex ix, bool disabled) {
    endpoints_.updateCore(ix.value, [&](EndpointCore& e) { e.disabled = disabled; });
    DestinationIndex d = endpoints_.core(ix.value).destination;
    markReady(d.value);
    if (disabled || !d.isKnown()) return;
    Endpoint& e = endpoints_[ix.value];
    LimitGroup& g = groups_[e.core.group];
    e.times = AnswerTimes(), e.failuresInRow = 0;
    for (uint32_t i : destination(d).endpoints)
        if (i != ix.value && endpoints_[i].core.group == e.core.group && endpoints_[i].core.usable())
            return demote(now, e);
    g.outage.onRestarted(now, g.fairShare(now, senderGroup_.senders), isLargeGroup(), coldStart_, random_);
}

// Jittered, as all may break at once; sooner than we are deemed told, so that drains are kept.
void Logic::onEndpointListFailed(Instant now) {
    if (!listRule_.changesOnRequest) return;
    double pause = std::min(0.4 * std::pow(2, listFailures_++), 4.0);
    if (listRule_.maxRequestInterval > Span()) pause = std::min(pause, listRule_.maxRequestInterval.inSeconds() / 3);
    requestListAt_ = now + random_.jittered(Span::seconds(pause));
}

// Silent for a minute, a destination goes back to its seed. Harm: answer times are learned anew, and what
// one without a known rate was thought to take.
void Logic::unloadIfIdle(Instant now, uint32_t ix) {
    Destination* d = destinations_.find(ix);
    if (!d || !d->waiting.empty() || now - d->lastUsedAt < Span::seconds(60)) return;
    for (uint32_t e : d->endpoints)
        if (const Endpoint* at = endpoints_.find(e); at && !at->inFlight.starts.empty()) return;
    for (uint32_t e : d->endpoints) {
        uint32_t group = endpoints_.core(e).group;
        endpoints_.unload(e);
        const LimitGroup* g = groups_.find(group);
        if (!g) continue;
        bool well = g->outage.phase != Phase::down && g->retryAfterUntil <= now && g->bucket.rateTrust >= 1;
        auto saved = std::make_shared<const SavedState>(g->outage, g->retryAfterUntil, g->bucket.rateTrust, g->reportedRate);
        if (well && g->reportedRate <= 0) saved = nullptr;
        groups_.updateCore(group, [&](LimitGroupCore& core) { core.saved = saved; }), groups_.unload(group);
    }
    destinations_.unload(ix);
}

// Times from now. What the process that takes over has seen itself since stays where it is the worse.
std::vector<double> Logic::exportEndpointState(Instant now, EndpointIndex ix) {
    uint32_t at = groupOf(ix);
    if (at == kNone || (!groups_.find(at) && !groups_.core(at).saved)) return {};
    const LimitGroup& g = groups_[at];
    const Endpoint& e = endpoints_[ix.value];
    const OutageTracker& outage = g.outage;
    auto from = [&](Instant t) { return std::max((t - now).inSeconds(), -1e6); };
    double limitedRate = g.bucket.limited ? g.bucket.rate : 0, phase = static_cast<double>(outage.phase);
    return {from(g.retryAfterUntil), phase, from(outage.downSince), from(outage.nextTrialAt), from(outage.recoveringSince),
            outage.shareBefore,          limitedRate, g.bucket.rateTrust, g.reportedRate,  e.probeRate};
}

bool Logic::importEndpointState(Instant now, EndpointIndex ix, const std::vector<double>& l) {
    if (l.size() != 10 || !endpoints_.core(ix.value).destination.isKnown()) return false;
    auto at = [&](size_t i) { return now + Span::seconds(l[i]); };
    Endpoint& e = endpoints_[ix.value];
    LimitGroup& g = groups_[e.core.group];
    g.retryAfterUntil = std::max(g.retryAfterUntil, at(0)), g.reportedRate = std::max(g.reportedRate, l[8]);
    if (l[1] > 0 && g.outage.phase == Phase::normal)
        g.outage.phase = l[1] < 2 ? Phase::down : Phase::recovering, g.outage.downSince = at(2),
        g.outage.nextTrialAt = at(3), g.outage.recoveringSince = at(4), g.outage.shareBefore = l[5];
    if (l[6] > 0) g.bucket.startLimiting(now, l[6], random_), g.bucket.rateTrust = std::min(g.bucket.rateTrust, l[7]);
    if (l[9] > 0 && e.probeRate <= 0) e.probeRate = l[9], e.nextProbeAt = now + Span::seconds(1 / l[9]);
    return markReady(e.core.destination.value), now < g.retryAfterUntil;
}

std::string Logic::describeEndpoint(Instant now, EndpointIndex ix) const {
    const LimitGroup* g = groups_.find(groupOf(ix));
    if (!g) return "nothing";
    const char* phase[] = {"clear", "down", "returning"};
    std::string words = phase[static_cast<int>(g->outage.phase)];
    double rate = g->bucket.limited ? g->bucket.rate : 0, fairShare = g->fleetRate() / senderGroup_.senders;
    for (double x : {rate, g->bucket.rateTrust, fairShare}) words += '/' + std::to_string(x);
    return words + (now < g->retryAfterUntil ? "/told" : "/free");
}

}  // namespace petrelpond::policy
