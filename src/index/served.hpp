// Deliveries of the last 20 seconds, for rates over a part of them.
#pragma once

#include <algorithm>
#include <vector>

#include "petrelpond/time.hpp"

namespace petrelpond {

class Served {
  public:
    void add(Instant now) { at_.push_back(now); }
    // Calls a second over the last such span, 20 s at most.
    double rate(Instant now, Span over) {
        while (first_ < at_.size() && now - at_[first_] > Span::seconds(20)) ++first_;
        if (first_ > 32 && 2 * first_ > at_.size()) {
            at_.erase(at_.begin(), at_.begin() + static_cast<long>(first_));
            first_ = 0;
        }
        auto from = std::lower_bound(at_.begin() + static_cast<long>(first_), at_.end(), now - over);
        return static_cast<double>(at_.end() - from) / over.inSeconds();
    }

  private:
    std::vector<Instant> at_;
    size_t first_ = 0;
};

}  // namespace petrelpond
