// Which endpoints a destination has, as chains through their seeds, so that a silent destination costs no
// list; and the records of all that are listed.
#pragma once

#include <list>
#include <vector>

#include "petrelpond/sender.hpp"
#include "src/index/lazy.hpp"

namespace petrelpond {

constexpr uint32_t kNone = DestinationIndex::kNone;

struct EndpointSeed {
    DestinationIndex destination;
    ZoneIndex zone;
    KindIndex kind;
    uint32_t place = 0, next = kNone;                                  // next: of the same destination
    bool active = false, banned = false, gone = false, apart = false;  // apart: its place is its own
    bool usable() const { return active && !banned; }
};
struct DestinationSeed {
    uint32_t place = kNone, first = kNone;  // shared by its endpoints; the first of them
};
struct Destination {
    DestinationSeed is;
    std::vector<uint32_t> endpoints;
    std::list<TextIndex> waiting;
    Instant checkedFor = Instant::longAgo();  // its texts' times were held against this turn,
    size_t unchecked = 0;                     // but for so many of the last
    Instant usedAt = Instant::longAgo();
};

template <class Endpoint>
std::vector<uint32_t> endpointsFrom(const Lazy<Endpoint, EndpointSeed>& endpoints, uint32_t first) {
    std::vector<uint32_t> all;
    for (uint32_t e = first; e != kNone; e = endpoints.seed(e).next) all.push_back(e);
    return all;
}

// At the end of its destination's chain.
template <class Endpoint, class Destination>
void link(Lazy<Endpoint, EndpointSeed>& endpoints, Lazy<Destination, DestinationSeed>& destinations,
          uint32_t ix, const EndpointSeed& seed) {
    endpoints.reseed(ix, [&](EndpointSeed& at) { at = seed; });
    uint32_t d = seed.destination.value, last = destinations.seed(d).first;
    if (last == kNone) {
        destinations.reseed(d, [&](DestinationSeed& at) { at.first = ix; });
    } else {
        while (endpoints.seed(last).next != kNone) last = endpoints.seed(last).next;
        endpoints.reseed(last, [&](EndpointSeed& at) { at.next = ix; });
    }
    if (Destination* whole = destinations.find(d)) whole->endpoints.push_back(ix);
}

// Out of its chain, and nothing of it is left.
template <class Endpoint, class Destination>
void unlink(Lazy<Endpoint, EndpointSeed>& endpoints, Lazy<Destination, DestinationSeed>& destinations,
            uint32_t ix) {
    EndpointSeed seed = endpoints.seed(ix);
    uint32_t d = seed.destination.value, before = destinations.seed(d).first;
    if (before == ix) {
        destinations.reseed(d, [&](DestinationSeed& at) { at.first = seed.next; });
    } else {
        while (endpoints.seed(before).next != ix) before = endpoints.seed(before).next;
        endpoints.reseed(before, [&](EndpointSeed& at) { at.next = seed.next; });
    }
    if (Destination* whole = destinations.find(d)) std::erase(whole->endpoints, ix);
    endpoints.rest(ix);
    endpoints.reseed(ix, [](EndpointSeed& at) { at = {}; });
}

class FreeIndices {
  public:
    uint32_t take() {
        if (free_.empty()) return next_++;
        uint32_t ix = free_.back();
        return free_.pop_back(), ix;
    }
    void give(uint32_t ix) { free_.push_back(ix); }

  private:
    std::vector<uint32_t> free_;
    uint32_t next_ = 0;
};

// Records by index, of whom is listed: destinations, their endpoints, and the places that a limit belongs to.
template <class Place, class Endpoint>
class Roster {
  protected:
    Destination& destination(DestinationIndex ix) {
        if (Destination* d = destinations_.find(ix.value)) return *d;
        Destination& d = destinations_[ix.value];
        d.endpoints = endpointsFrom(endpoints_, d.is.first);
        return d;
    }
    uint32_t placeOf(EndpointIndex ix) const {
        return ix.value < endpoints_.size() ? endpoints_.seed(ix.value).place : kNone;
    }
    // isApart(kind): endpoints of that kind have a place each; else those of a destination share one.
    template <class IsApart>
    void list(ListScope scope, const std::vector<ListEntry>& entries, bool rates, IsApart isApart) {
        bool whole = scope == ListScope::complete, all = scope != ListScope::changes;
        auto unlist = [&](EndpointSeed& e) { e.active = false, e.gone = e.gone || whole; };
        for (uint32_t i = 0; all && i < endpoints_.size(); ++i) endpoints_.reseed(i, unlist);
        for (const ListEntry& entry : entries) {
            uint32_t ix = entry.endpoint.value;
            endpoints_.cover(ix);
            if (!endpoints_.seed(ix).destination.isKnown()) place(entry, isApart(entry.kind));
            bool active = entry.state == ListState::active, gone = entry.state == ListState::removed;
            endpoints_.reseed(ix, [&](EndpointSeed& e) { e.active = active, e.gone = gone; });
            auto relist = [&](auto& place) { place.listedRate = entry.rate; };
            if (rates && entry.rate > 0) places_.reseed(endpoints_.seed(ix).place, relist);
        }
        for (const ListEntry& entry : entries) dropIfGone(entry.endpoint.value);
        for (uint32_t i = 0; all && i < endpoints_.size(); ++i) dropIfGone(i);
    }
    void drop(DestinationIndex ix) {
        destinations_.rest(ix.value), destinations_.cover(ix.value);
        if (uint32_t at = destinations_.seed(ix.value).place; at != kNone) freePlace(at);
        destinations_.reseed(ix.value, [](DestinationSeed& d) { d = {}; });
    }
    // With its last call back, nothing of an endpoint that is gone is kept.
    void dropIfGone(uint32_t ix) {
        if (ix >= endpoints_.size()) return;
        const Endpoint* whole = endpoints_.find(ix);
        EndpointSeed e = endpoints_.seed(ix);
        if (!e.gone || (whole && !whole->out.starts.empty()) || !e.destination.isKnown()) return;
        unlink(endpoints_, destinations_, ix);
        if (e.apart) freePlace(e.place);
    }

    Lazy<Destination, DestinationSeed> destinations_;
    Lazy<Place, decltype(Place::is)> places_;
    Lazy<Endpoint, EndpointSeed> endpoints_;

  private:
    void place(const ListEntry& entry, bool apart) {
        uint32_t d = entry.destination.value;
        EndpointSeed e{entry.destination, entry.zone, entry.kind};
        e.apart = apart;
        destinations_.cover(d);
        e.place = destinations_.seed(d).place;
        if (apart || e.place == kNone) e.place = freePlaces_.take(), places_.cover(e.place);
        if (!apart) destinations_.reseed(d, [&](DestinationSeed& at) { at.place = e.place; });
        link(endpoints_, destinations_, entry.endpoint.value, e);
    }
    void freePlace(uint32_t ix) {
        places_.rest(ix), freePlaces_.give(ix);
        places_.reseed(ix, [](auto& seed) { seed = {}; });
    }
    FreeIndices freePlaces_;
};

}  // namespace petrelpond
