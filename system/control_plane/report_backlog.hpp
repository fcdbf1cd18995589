// Senders' reports that wait for the planner, in the order in which they came, taken a few a turn.
//
// Against a crowd: the reports of all senders in one turn took a small machine longer than the duty's
// leaseDuration, so the holder gave the duty up in their midst, and again each time that it had won it back.
// Harm: reports that wait are older by a turn or more.
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
    // Some 0.1 s of the smallest machine at their longest, as whole ones: far below the leaseDuration.
    static constexpr size_t kMaxPerTurn = 16;

    void push(Instant now, uint64_t link, std::string_view report) {
        queue_.push_back({now, link, std::string(report)});
    }
    // How long the first of them has waited.
    Span oldestAge(Instant now) const { return queue_.empty() ? Span() : now - queue_.front().receivedAt; }
    bool empty() const { return queue_.empty(); }
    void clear() { queue_.clear(); }
    // Gives what one turn may take to `report(link, text)`; the rest waits for the next turn.
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
