// The partners as they behave, without sockets and clocks: capacity, limits, queues, cold returns, tipping
// and every scripted trouble. The stand-ins on sockets and the model in simulated time both ask it, so that
// they differ in the network alone.
#pragma once

#include <deque>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "fleet/scenario.hpp"

namespace petrelpond::fleet {

// What becomes of a call whose last byte has come.
struct Fate {
    enum class Way {
        answer,       // status after `takes`
        silence,      // nothing ever comes
        resetBefore,  // reset unread: as though it had never come
        resetDuring,  // reset after `takes`, nothing has run
        resetAfter,   // reset after `takes`, and it has run
        half,         // run, the answer breaks off in its head
        spoilt,       // run, noise for an answer
        drip,         // run, a byte at a time for as long as the sender listens
    } way = Way::answer;
    int status = 200;
    Span takes, wait;
    bool runs = false;
};

// How the machine behind an endpoint stands towards the network.
enum class Standing { up, down, vanished };

// What a host must see to; pulled after advance().
struct Happening {
    enum class What {
        listed,    // the endpoint's entry changes to `state`
        standing,  // its machine's standing changes to `standing`
        replaced,  // it is gone, and its address is a new endpoint's, `generation` of it
        directory,
        sender
    } what = What::listed;
    uint32_t endpoint = 0;
    ListState state = ListState::active;
    Standing standing = Standing::up;
    int generation = 0, sender = 0;
    Trouble trouble = Trouble::hang;
    bool begins = true, folderLost = false;
    Span lasts;
};

class World {
  public:
    World(const Scenario& scenario, uint64_t seed);

    // Troubles that are due begin or end; what follows from them is pulled with next().
    void advance(Instant now);
    std::optional<Happening> next();
    std::optional<Instant> nextChange() const;

    // A call with so many texts has come whole, after `idle` since the connection's last one.
    Fate called(Instant now, uint32_t endpoint, int texts, bool reused);
    // Whether a new connection is taken, of so many already open there.
    bool takesConnection(uint32_t endpoint, int open) const;
    // When a connection that has fallen idle now is closed.
    Span idleFor(uint32_t endpoint);

    uint32_t destinationOf(uint32_t endpoint) const { return endpoints_[endpoint].destination; }
    const Group& groupOf(uint32_t endpoint) const { return scenario_.groups[endpoints_[endpoint].group]; }
    uint32_t groupIndex(uint32_t endpoint) const { return endpoints_[endpoint].group; }
    uint32_t firstOf(uint32_t destination) const { return places_[destination].first; }
    Standing standing(uint32_t endpoint) const { return endpoints_[endpoint].standing; }
    int generation(uint32_t endpoint) const { return endpoints_[endpoint].generation; }
    ListState listed(uint32_t endpoint) const { return endpoints_[endpoint].listed; }
    std::string idOf(uint32_t endpoint) const;
    std::string zoneOf(uint32_t endpoint) const { return endpoint % 2 == 0 ? "a" : "b"; }
    size_t endpoints() const { return endpoints_.size(); }
    // Whether all its endpoints are in an outage; and what it can do now, calls a second.
    bool out(uint32_t destination) const;
    double capability(Instant now, uint32_t destination) const;
    bool tipped(uint32_t destination) const { return places_[destination].tipped; }
    // Destinations that fell over under load since the last call, for the judge.
    std::vector<uint32_t> takeTipped();
    bool returning(Instant now, uint32_t destination) const;

  private:
    struct Endpoint {
        uint32_t group = 0, destination = 0;
        std::vector<size_t> faults;  // those in force
        Standing standing = Standing::up;
        ListState listed = ListState::active;
        int generation = 0;
        std::priority_queue<Instant, std::vector<Instant>, std::greater<>> busy;  // when each worker is free
        std::deque<Instant> starts;  // of calls that wait for a worker
        bool shut = false;
    };
    struct Place {
        uint32_t first = 0, count = 1;
        double tokens = 0;
        Instant refilledAt, coldSince = Instant::longAgo();
        std::deque<Instant> spanCalls, warmCalls;
        bool tipped = false, wasOut = false;
    };
    struct Change {
        Instant at;
        size_t fault = 0;
        bool begins = true;
        auto operator<=>(const Change&) const = default;
    };
    Fate decide(Instant now, uint32_t endpoint, int texts, bool reused);
    void apply(Instant now, const Change& change);
    void strike(Instant now, uint32_t endpoint, size_t fault, bool begins);
    void settle(Instant now, uint32_t destination);
    double between(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(chance_);
    }
    Span serviceTime(const Group& g);
    double warmth(Instant now, const Place& p, const Group& g) const;

    const Scenario& scenario_;
    std::mt19937 chance_;
    std::vector<Endpoint> endpoints_;
    std::vector<Place> places_;
    std::vector<Change> changes_;
    size_t nextChange_ = 0;
    std::deque<Happening> happenings_;
    std::vector<uint32_t> tipped_;
};

}  // namespace petrelpond::fleet
