// Times of deliveries in the last 20 seconds, for rates over a part of them.
#pragma once

#include <algorithm>
#include <vector>

#include "petrelpond/time.hpp"

namespace petrelpond {

class DeliveryHistory {
  public:
    void add(Instant now) { times_.push_back(now); }
    // Deliveries per second over the last `over`, which may be 20 s at most.
    double rate(Instant now, Span over) {
        while (first_ < times_.size() && now - times_[first_] > Span::seconds(20)) ++first_;
        if (first_ > 32 && 2 * first_ > times_.size()) {
            times_.erase(times_.begin(), times_.begin() + static_cast<long>(first_));
            first_ = 0;
        }
        auto from = std::lower_bound(times_.begin() + static_cast<long>(first_), times_.end(), now - over);
        return static_cast<double>(times_.end() - from) / over.inSeconds();
    }

  private:
    std::vector<Instant> times_;
    size_t first_ = 0;
};

}  // namespace petrelpond
