// What becomes of messages between senders, by schedule, seed and direction; no sockets and no clock. The relay
// on sockets and the crew's model in simulated time both ask it.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "fleet/scenario.hpp"
#include "petrelpond/time.hpp"

namespace petrelpond::fleet {

class Links {
  public:
    struct Copy {
        Span after;
        bool spoilt = false;
        uint32_t chance = 0;  // which byte
    };
    struct Sum {  // of one direction; what came in is passed + lost, and each doubled one is out twice
        long in = 0, out = 0, lost = 0, doubled = 0, spoilt = 0, delayed = 0;
        long streams = 0, streamsCut = 0;
    };
    enum class Stream { flows, stalled, halfClosed, reset };

    Links(std::vector<LinkFault> faults, int members, uint64_t seed);

    // What comes out at the other end, and when; nothing where it is lost.
    std::vector<Copy> datagram(Instant now, int from, int to, size_t bytes);
    bool opens(Instant now, int from, int to);  // a stream's first word gets there
    Stream stream(Instant now, int from, int to) const;
    Span streamTakes(Instant now, int from, int to, size_t bytes);  // to carry these
    bool hears(Instant now, int from, int to) const;                // not cut off in that direction
    bool cutOrStalled(Instant now, int from, int to) const {
        return !hears(now, from, to) || stream(now, from, to) == Stream::stalled;
    }
    std::optional<Instant> nextChange(Instant after) const;  // of any fault
    Instant lastEnd() const;
    const Sum& sum(int from, int to) const { return sums_[at(from, to)]; }

  private:
    bool strikes(const LinkFault& fault, Instant now, int from, int to) const;
    size_t at(int from, int to) const { return static_cast<size_t>(from * members_ + to); }
    Span drawn(const LinkFault& fault);
    bool chance(double share) { return share >= 1 || (share > 0 && draw_(chance_) < share); }

    std::vector<LinkFault> faults_;
    int members_;
    std::mt19937 chance_;
    std::uniform_real_distribution<double> draw_{0, 1};
    std::normal_distribution<double> normal_{0, 1};
    std::vector<Sum> sums_;
    std::vector<Instant> freeAt_;  // of a narrow link
};

}  // namespace petrelpond::fleet
