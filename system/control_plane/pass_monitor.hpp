// Measures how long one pass of the planner occupies the event loop. The core answers nobody meanwhile, so a
// pass that takes as long as the lease costs it the startup duty.
#pragma once

#include <cstdint>

#include "petrelpond/time.hpp"

namespace petrelpond::control_plane {

// From this length on a pass is logged. The duty's heartbeats are due every 150 ms, see control.cpp.
constexpr Span kLongPass = Span::millis(100);

class PassMonitor {
  public:
    // Records a pass. Returns whether it took so long that it has to be logged.
    bool record(Span duration) {
        if (duration > longest_) longest_ = duration;
        if (duration < kLongPass) return false;
        ++longPassCount_;
        return true;
    }
    Span longest() const { return longest_; }
    uint64_t longPassCount() const { return longPassCount_; }

  private:
    Span longest_;
    uint64_t longPassCount_ = 0;
};

}  // namespace petrelpond::control_plane
