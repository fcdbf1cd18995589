// This proxy's share of the retries that all proxies together may send to one service.
#pragma once

#include <array>
#include <cstdint>

#include "petrelpond/time.hpp"

namespace petrelpond::proxy {

// Counts requests and retries in tenths of a sliding window. It allows half of the permitted ratio: windows
// slide, requests are counted where they were sent and not where they arrived, and a restarted proxy does not
// know what it has used.
class RetryBudget {
  public:
    void recordRequest(Instant now, Span window) { binAt(now, window).requests += 1; }
    void recordRetry(Instant now, Span window) { binAt(now, window).retries += 1; }
    // Whether one more retry is allowed: at most half of `ratio` times the requests, plus `slack`.
    bool allowsRetry(Instant now, Span window, double ratio, double slack) {
        binAt(now, window);
        double requests = 0, further = 0;
        for (const Bin& p : bins_) requests += p.requests, further += p.retries;
        return further + 1 <= 0.5 * ratio * requests + slack;
    }

  private:
    struct Bin {
        int64_t index = -1;
        uint32_t requests = 0, retries = 0;
    };
    Bin& binAt(Instant now, Span window) {
        int64_t length = window.inMicros() / 10 + 1;
        int64_t tenth = now.inMicros() / length;
        for (Bin& p : bins_)
            if (p.index <= tenth - 11) p = Bin();
        Bin& p = bins_[static_cast<size_t>(tenth % 11)];
        if (p.index != tenth) p = Bin{tenth, 0, 0};
        return p;
    }
    std::array<Bin, 11> bins_;
};

}  // namespace petrelpond::proxy
