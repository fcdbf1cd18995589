// Which endpoints a destination has, as chains through their seeds, so that a silent destination costs no
// list.
#pragma once

#include <vector>

#include "petrelpond/ids.hpp"
#include "src/index/lazy.hpp"

namespace petrelpond {

constexpr uint32_t kNone = DestinationIx::kNone;

struct EndpointSeed {
    DestinationIx destination;
    ZoneIx zone;
    KindIx kind;
    uint32_t place = 0, next = kNone;  // next: of the same destination
    bool active = false, banned = false, gone = false;
    bool usable() const { return active && !banned; }
};
struct DestinationSeed {
    uint32_t place = kNone, first = kNone;  // shared by its endpoints; the first of them
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

}  // namespace petrelpond
