// The programs that hand texts in: when each text comes, and what they do when one is refused. Free of I/O;
// the stand-ins on sockets and the model share it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fleet/scenario.hpp"

namespace petrelpond::fleet {

// A text as planned: it comes then whatever the sender does, and is counted from then.
struct Planned {
    Instant at;
    uint32_t product = 0, destination = 0;
    uint64_t key = 0;  // of those in order; 0: none
    int body = 200;
};

// The same scenario and seed give the same texts, to the microsecond.
std::vector<Planned> plan(const Scenario& scenario, uint64_t seed);

// A sender's recording (docs/fleet.md has its form): its arrivals become the plan, by the products' and
// destinations' names as the scenario numbers them. Throws WrongScenario with file and line.
std::vector<Planned> planFromRecording(const Scenario& scenario, const std::string& path);

// What a text earned of its revenue, delivered after so long.
double earned(const Product& product, Span after);

class Programs {
  public:
    enum class End { open, inTime, late, undeliverable, refused, expired };
    struct Text {
        Planned plan;
        End end = End::open;
        Instant endedAt, firstCallAt = Instant::never();
        int tries = 0;
    };
    Programs(const Scenario& scenario, std::vector<Planned> plan);

    size_t size() const { return texts_.size(); }
    const Text& text(size_t ix) const { return texts_[ix]; }
    Instant validUntil(size_t ix) const;
    void handedIn(size_t ix) { ++texts_[ix].tries; }
    void calledFirst(Instant now, size_t ix);
    // Refused, told to come again after the pause: when it is handed in again, nothing where that is its end.
    std::optional<Instant> refused(Instant now, size_t ix, Span pause);
    // No answer came: handed in again at once, as long as its time is not up.
    std::optional<Instant> unheard(Instant now, size_t ix);
    void delivered(Instant now, size_t ix);
    void undeliverable(Instant now, size_t ix) { over(now, ix, End::undeliverable); }
    void finish(Instant now);  // what is open has expired
    long open() const { return open_; }

  private:
    void over(Instant now, size_t ix, End end);
    const Scenario& scenario_;
    std::vector<Text> texts_;
    long open_ = 0;
};

}  // namespace petrelpond::fleet
