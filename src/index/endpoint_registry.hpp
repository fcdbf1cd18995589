// Registry of destinations, their endpoints and limit groups. The endpoints of a destination are linked through their
// cores, so that an idle destination needs no list.
#pragma once

#include <list>
#include <vector>

#include "petrelpond/sender.hpp"
#include "src/index/lazy_table.hpp"

namespace petrelpond {

constexpr uint32_t kNone = DestinationIndex::kNone;

struct EndpointCore {
    DestinationIndex destination;
    ZoneIndex zone;
    KindIndex kind;
    uint32_t group = 0, next = kNone;                                          // next: of the same destination
    bool active = false, disabled = false, removed = false, ownGroup = false;  // ownGroup: has its own limit group
    bool usable() const { return active && !disabled; }
};
struct DestinationCore {
    uint32_t group = kNone, first = kNone;  // group shared by its endpoints; the first endpoint
};
struct Destination {
    DestinationCore core;
    std::vector<uint32_t> endpoints;
    std::list<TextIndex> waiting;
    Instant checkedUntil = Instant::longAgo();  // the texts' validity was checked against this time,
    size_t unchecked = 0;                       // except for this many of the newest
    Instant usedAt = Instant::longAgo();
};

template <class Endpoint>
std::vector<uint32_t> endpointChain(const LazyTable<Endpoint, EndpointCore>& endpoints, uint32_t first) {
    std::vector<uint32_t> all;
    for (uint32_t e = first; e != kNone; e = endpoints.core(e).next) all.push_back(e);
    return all;
}

// Appends an endpoint to its destination's chain.
template <class Endpoint, class Destination>
void link(LazyTable<Endpoint, EndpointCore>& endpoints, LazyTable<Destination, DestinationCore>& destinations,
          uint32_t ix, const EndpointCore& core) {
    endpoints.updateCore(ix, [&](EndpointCore& at) { at = core; });
    uint32_t d = core.destination.value, last = destinations.core(d).first;
    if (last == kNone) {
        destinations.updateCore(d, [&](DestinationCore& at) { at.first = ix; });
    } else {
        while (endpoints.core(last).next != kNone) last = endpoints.core(last).next;
        endpoints.updateCore(last, [&](EndpointCore& at) { at.next = ix; });
    }
    if (Destination* whole = destinations.find(d)) whole->endpoints.push_back(ix);
}

// Removes an endpoint from its chain and drops all of its state.
template <class Endpoint, class Destination>
void unlink(LazyTable<Endpoint, EndpointCore>& endpoints, LazyTable<Destination, DestinationCore>& destinations,
            uint32_t ix) {
    EndpointCore core = endpoints.core(ix);
    uint32_t d = core.destination.value, before = destinations.core(d).first;
    if (before == ix) {
        destinations.updateCore(d, [&](DestinationCore& at) { at.first = core.next; });
    } else {
        while (endpoints.core(before).next != ix) before = endpoints.core(before).next;
        endpoints.updateCore(before, [&](EndpointCore& at) { at.next = core.next; });
    }
    if (Destination* whole = destinations.find(d)) std::erase(whole->endpoints, ix);
    endpoints.unload(ix);
    endpoints.updateCore(ix, [](EndpointCore& at) { at = {}; });
}

// Hands out small indices and reuses released ones.
class IndexPool {
  public:
    uint32_t acquire() {
        if (free_.empty()) return next_++;
        uint32_t ix = free_.back();
        return free_.pop_back(), ix;
    }
    void release(uint32_t ix) { free_.push_back(ix); }

  private:
    std::vector<uint32_t> free_;
    uint32_t next_ = 0;
};

// The records by index: destinations, endpoints, and the limit groups that rate limits belong to.
template <class LimitGroup, class Endpoint>
class EndpointRegistry {
  protected:
    Destination& destination(DestinationIndex ix) {
        if (Destination* d = destinations_.find(ix.value)) return *d;
        Destination& d = destinations_[ix.value];
        d.endpoints = endpointChain(endpoints_, d.core.first);
        return d;
    }
    uint32_t groupOf(EndpointIndex ix) const {
        return ix.value < endpoints_.size() ? endpoints_.core(ix.value).group : kNone;
    }
    // hasOwnGroup(kind): whether each endpoint of that kind has a limit group of its own; else the endpoints of a
    // destination share one.
    template <class HasOwnGroup>
    void applyList(ListScope scope, const std::vector<ListEntry>& entries, bool rates, HasOwnGroup hasOwnGroup) {
        bool whole = scope == ListScope::complete, all = scope != ListScope::changes;
        auto unlist = [&](EndpointCore& e) { e.active = false, e.removed = e.removed || whole; };
        for (uint32_t i = 0; all && i < endpoints_.size(); ++i) endpoints_.updateCore(i, unlist);
        for (const ListEntry& entry : entries) {
            uint32_t ix = entry.endpoint.value;
            endpoints_.ensureSize(ix);
            if (!endpoints_.core(ix).destination.isKnown()) addEndpoint(entry, hasOwnGroup(entry.kind));
            bool active = entry.state == ListState::active, removed = entry.state == ListState::removed;
            endpoints_.updateCore(ix, [&](EndpointCore& e) { e.active = active, e.removed = removed; });
            auto relist = [&](auto& group) { group.listedRate = entry.rate; };
            if (rates && entry.rate > 0) groups_.updateCore(endpoints_.core(ix).group, relist);
        }
        for (const ListEntry& entry : entries) removeIfUnused(entry.endpoint.value);
        for (uint32_t i = 0; all && i < endpoints_.size(); ++i) removeIfUnused(i);
    }
    void forgetDestination(DestinationIndex ix) {
        destinations_.unload(ix.value), destinations_.ensureSize(ix.value);
        if (uint32_t at = destinations_.core(ix.value).group; at != kNone) freeGroup(at);
        destinations_.updateCore(ix.value, [](DestinationCore& d) { d = {}; });
    }
    // Drops a removed endpoint once none of its calls is in flight.
    void removeIfUnused(uint32_t ix) {
        if (ix >= endpoints_.size()) return;
        const Endpoint* whole = endpoints_.find(ix);
        EndpointCore e = endpoints_.core(ix);
        if (!e.removed || (whole && !whole->inFlight.starts.empty()) || !e.destination.isKnown()) return;
        unlink(endpoints_, destinations_, ix);
        if (e.ownGroup) freeGroup(e.group);
    }

    LazyTable<Destination, DestinationCore> destinations_;
    LazyTable<LimitGroup, decltype(LimitGroup::core)> groups_;
    LazyTable<Endpoint, EndpointCore> endpoints_;

  private:
    void addEndpoint(const ListEntry& entry, bool ownGroup) {
        uint32_t d = entry.destination.value;
        EndpointCore e{entry.destination, entry.zone, entry.kind};
        e.ownGroup = ownGroup;
        destinations_.ensureSize(d);
        e.group = destinations_.core(d).group;
        if (ownGroup || e.group == kNone) e.group = freeGroups_.acquire(), groups_.ensureSize(e.group);
        if (!ownGroup) destinations_.updateCore(d, [&](DestinationCore& at) { at.group = e.group; });
        link(endpoints_, destinations_, entry.endpoint.value, e);
    }
    void freeGroup(uint32_t ix) {
        groups_.unload(ix), freeGroups_.release(ix);
        groups_.updateCore(ix, [](auto& core) { core = {}; });
    }
    IndexPool freeGroups_;
};

}  // namespace petrelpond
