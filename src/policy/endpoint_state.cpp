// State of listed endpoints: new lists, disabling by operators, unloading when idle, transfer to another process.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::onEndpointList(Instant, ListScope scope, const std::vector<ListEntry>& entries) {
    if (scope != ListScope::cached) listFailures_ = 0;
    applyList(scope, entries, listRule_.includesRates,
              [&](KindIndex kind) { return kindState(kind).kind.separateRoutes; });
    for (const ListEntry& entry : entries) markReady(entry.destination.value);
}

// An endpoint that is enabled again counts as cold: alone in its group it gets a trial and the recovery rate, with
// peers the probe rate of a demoted endpoint. Drawback: one that stayed warm waits too.
void Logic::setEndpointDisabled(Instant now, EndpointIndex ix, bool disabled) {
    endpoints_.updateCore(ix.value, [&](EndpointCore& e) { e.disabled = disabled; });
    DestinationIndex d = endpoints_.core(ix.value).destination;
    markReady(d.value);
    if (disabled || !d.isKnown()) return;
    Endpoint& e = endpoints_[ix.value];
    LimitGroup& g = groups_[e.core.group];
    e.times = AnswerTimes(), e.failures = 0;
    for (uint32_t i : destination(d).endpoints)
        if (i != ix.value && endpoints_[i].core.group == e.core.group && endpoints_[i].core.usable())
            return demote(now, e);
    g.outage.onRestarted(now, g.fairShare(now, senderGroup_.senders), isLargeGroup(), coldStart_, random_);
}

// Jittered, as many may fail at once. Well before this sender counts as informed, so that drains are respected.
void Logic::onEndpointListFailed(Instant now) {
    if (!listRule_.changesOnRequest) return;
    double pause = std::min(0.4 * std::pow(2, listFailures_++), 4.0);
    if (listRule_.maxRequestInterval > Span()) pause = std::min(pause, listRule_.maxRequestInterval.inSeconds() / 3);
    requestListAt_ = now + random_.jittered(Span::seconds(pause));
}

// Unloads a destination idle for a minute. Drawback: answer times, and rates of unknown limits, are learned again.
void Logic::unloadIfIdle(Instant now, uint32_t ix) {
    Destination* d = destinations_.find(ix);
    if (!d || !d->waiting.empty() || now - d->usedAt < Span::seconds(60)) return;
    for (uint32_t e : d->endpoints)
        if (const Endpoint* at = endpoints_.find(e); at && !at->inFlight.starts.empty()) return;
    for (uint32_t e : d->endpoints) {
        uint32_t group = endpoints_.core(e).group;
        endpoints_.unload(e);
        const LimitGroup* g = groups_.find(group);
        if (!g) continue;
        bool well = g->outage.phase != Phase::down && g->waitUntil <= now && g->bucket.trust >= 1;
        auto saved = std::make_shared<const SavedState>(g->outage, g->waitUntil, g->bucket.trust, g->reportedRate);
        if (well && g->reportedRate <= 0) saved = nullptr;
        groups_.updateCore(group, [&](LimitGroupCore& core) { core.saved = saved; }), groups_.unload(group);
    }
    destinations_.unload(ix);
}

// Times are relative to now. On import, what the importing process has seen itself is kept where it is the worse.
std::vector<double> Logic::exportEndpointState(Instant now, EndpointIndex ix) {
    uint32_t at = groupOf(ix);
    if (at == kNone || (!groups_.find(at) && !groups_.core(at).saved)) return {};
    const LimitGroup& g = groups_[at];
    const Endpoint& e = endpoints_[ix.value];
    const OutageTracker& outage = g.outage;
    auto from = [&](Instant t) { return std::max((t - now).inSeconds(), -1e6); };
    double limitedRate = g.bucket.limited ? g.bucket.rate : 0, phase = static_cast<double>(outage.phase);
    return {from(g.waitUntil), phase, from(outage.downSince), from(outage.nextTrialAt), from(outage.upSince),
            outage.shareBefore, limitedRate, g.bucket.trust, g.reportedRate, e.probeRate};
}

bool Logic::importEndpointState(Instant now, EndpointIndex ix, const std::vector<double>& l) {
    if (l.size() != 10 || !endpoints_.core(ix.value).destination.isKnown()) return false;
    auto at = [&](size_t i) { return now + Span::seconds(l[i]); };
    Endpoint& e = endpoints_[ix.value];
    LimitGroup& g = groups_[e.core.group];
    g.waitUntil = std::max(g.waitUntil, at(0)), g.reportedRate = std::max(g.reportedRate, l[8]);
    if (l[1] > 0 && g.outage.phase == Phase::normal)
        g.outage.phase = l[1] < 2 ? Phase::down : Phase::recovering, g.outage.downSince = at(2),
        g.outage.nextTrialAt = at(3), g.outage.upSince = at(4), g.outage.shareBefore = l[5];
    if (l[6] > 0) g.bucket.startLimiting(now, l[6], random_), g.bucket.trust = std::min(g.bucket.trust, l[7]);
    if (l[9] > 0 && e.probeRate <= 0) e.probeRate = l[9], e.nextProbeAt = now + Span::seconds(1 / l[9]);
    return markReady(e.core.destination.value), now < g.waitUntil;
}

std::string Logic::describeEndpoint(Instant now, EndpointIndex ix) const {
    const LimitGroup* g = groups_.find(groupOf(ix));
    if (!g) return "nothing";
    const char* phase[] = {"clear", "down", "returning"};
    std::string words = phase[static_cast<int>(g->outage.phase)];
    double rate = g->bucket.limited ? g->bucket.rate : 0, fairShare = g->fleetRate() / senderGroup_.senders;
    for (double x : {rate, g->bucket.trust, fairShare}) words += '/' + std::to_string(x);
    return words + (now < g->waitUntil ? "/told" : "/free");
}

}  // namespace petrelpond::policy
