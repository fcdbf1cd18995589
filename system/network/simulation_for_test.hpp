// Simulated time for searches: events in the order of their instants, chance from a seed, and what broke
// first.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>

namespace petrelpond::simulation {

// Times are microseconds since the beginning of time.
class Simulation {
  public:
    explicit Simulation(uint32_t seed) : random_(seed), seed_(seed) {}

    static int64_t millis(int64_t ms) { return ms * 1000; }
    int64_t below(int64_t n) {
        return static_cast<int64_t>(random_() % static_cast<uint32_t>(std::max<int64_t>(n, 1)));
    }
    bool chance(double p) { return below(1000000) < static_cast<int64_t>(p * 1e6); }
    void at(int64_t delay, std::function<void()> run) {
        events_.push({now_ + delay, ++order_, std::move(run)});
    }
    // Until then, or until something broke.
    void runUntil(int64_t end) {
        while (!events_.empty() && broken_.empty()) {
            const Event event = events_.top();
            events_.pop();
            if (event.at > end) break;
            now_ = event.at;
            event.run();
        }
    }
    void fail(const std::string& why) {
        if (!broken_.empty()) return;
        broken_ = "seed " + std::to_string(seed_) + " at " + std::to_string(now_) + ": " + why;
    }

    std::mt19937 random_;
    int64_t now_ = 1000000;
    std::string broken_;  // what broke first; empty: nothing

  private:
    struct Event {
        int64_t at;
        uint64_t order;  // of those at the same instant
        std::function<void()> run;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    uint32_t seed_;
    std::priority_queue<Event> events_;
    uint64_t order_ = 0;
};

}  // namespace petrelpond::simulation
