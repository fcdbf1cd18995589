// This sender's part of the share of further sends that all senders may make together at one service.
#pragma once

#include <array>
#include <cstdint>

#include "petrelpond/time.hpp"

namespace petrelpond::proxy {

// Counts by tenths of the window. What is allowed is kept well under the rule, as windows slide, requests are
// counted where they were sent and not where they arrived, and a restarted sender has forgotten what it used.
class Budget {
  public:
    void request(Instant now, Span window) { at(now, window).requests += 1; }
    void further(Instant now, Span window) { at(now, window).further += 1; }
    bool allows(Instant now, Span window, double ratio, double slack) {
        at(now, window);
        double requests = 0, further = 0;
        for (const Part& p : parts_) requests += p.requests, further += p.further;
        return further + 1 <= 0.5 * ratio * requests + slack;
    }

  private:
    struct Part {
        int64_t tenth = -1;
        uint32_t requests = 0, further = 0;
    };
    Part& at(Instant now, Span window) {
        int64_t length = window.inMicros() / 10 + 1;
        int64_t tenth = now.inMicros() / length;
        for (Part& p : parts_)
            if (p.tenth <= tenth - 11) p = Part();
        Part& p = parts_[static_cast<size_t>(tenth % 11)];
        if (p.tenth != tenth) p = Part{tenth, 0, 0};
        return p;
    }
    std::array<Part, 11> parts_;
};

}  // namespace petrelpond::proxy
