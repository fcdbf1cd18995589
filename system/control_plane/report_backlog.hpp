// Queue of senders' reports for the planner, in order of arrival, processed a few per turn of the loop.
//
// With many senders, processing all reports in one turn took a small machine longer than the duty's
// leaseDuration, so the holder lost the duty meanwhile, and again each time it had won it back. Drawback:
// queued reports are older by a turn or more.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include "petrelpond/time.hpp"

namespace petrelpond::control_plane {

class ReportBacklog {
  public:
    // About 0.1 s on the smallest machine for the longest (full) reports: far below the leaseDuration.
    static constexpr size_t kMaxPerTurn = 16;

    void push(Instant now, uint64_t link, std::string_view report) {
        queue_.push_back({now, link, std::string(report)});
    }
    // How long the oldest report has waited; zero if there is none.
    Span oldestAge(Instant now) const { return queue_.empty() ? Span() : now - queue_.front().receivedAt; }
    bool empty() const { return queue_.empty(); }
    void clear() { queue_.clear(); }
    // Passes up to kMaxPerTurn reports to `report(link, text)`; the rest stays queued.
    template <class Report>
    void processTurn(Report report) {
        for (size_t i = 0; i < kMaxPerTurn && !queue_.empty(); ++i) {
            QueuedReport first = std::move(queue_.front());
            queue_.pop_front();
            report(first.link, first.text);
        }
    }

  private:
    struct QueuedReport {
        Instant receivedAt;
        uint64_t link;
        std::string text;
    };
    std::deque<QueuedReport> queue_;
};

}  // namespace petrelpond::control_plane
