// When the directory is asked for the list, and how long a call may wait there for news. No input or output.
//
// Few senders keep a watch open all the time. A hundred that do so take every place that a directory has for
// calls, so that those of the rest queue behind them or are turned away; and what the directory spends on
// turning them away, or on answers that nobody waits for any more, it lacks for the others. So beyond a few,
// each asks for the whole list as seldom as it may. A watch for what changed would cost less, but whoever
// leaves one off counts as told of what came right after, and may not have been.
//
// That holds for a directory that is asked. Where lists are brought unasked, an agent on the sender's own machine
// has them: what it has counts as told at that moment, and a watch costs nobody anything, so everyone keeps one.
#pragma once

#include <algorithm>
#include <random>

#include "petrelpond/time.hpp"

namespace petrelpond {

class AskPlan {
  public:
    // mustAskIn: who has not asked for so long counts as told. With its jitter a pause stays just under that.
    AskPlan(uint32_t seed, int senders, bool onRequest, Span mustAskIn, Span watch)
        : chance_(seed), many_(senders > kFew && onRequest), longest_(mustAskIn * 0.8), watch_(watch) {}

    // Zero: for the whole list as it stands. One that was turned away asks so the next time, also among few.
    Span wait() const { return many_ || gap_ > Span() ? Span() : watch_; }
    // How long an answer may take beyond that: a crowded directory answers late, and a call that is given up
    // has cost it as much.
    Span patience() const { return many_ ? longest_ : watch_ * 0.75; }
    // Many that start may have been restarted together: they ask at moments of their own, but for one that
    // holds no list and can deliver nothing until it has one.
    Instant first(Instant now, bool holdsList) { return many_ && holdsList ? now + longest_ * part() : now; }

    Instant answered(Instant now) {
        failures_ = 0;
        gap_ = gap_ < watch_ * 0.1 ? Span() : gap_ * 0.5;
        return now + about(many_ ? std::max(gap_, longest_) : gap_);
    }
    Instant turnedAway(Instant now) {
        gap_ = std::clamp(gap_ * 2, longest_ * (many_ ? 1 : 0.125), longest_ * 4);
        return now + about(gap_);
    }
    // No answer at all: it is away, and is to be found soon once it is back.
    Instant failed(Instant now) {
        Span pause = watch_ * (0.025 * (1 << std::min(failures_++, 8)));
        return now + about(std::min(pause, many_ ? longest_ : watch_ * 0.5));
    }

  private:
    static constexpr int kFew = 8;  // watches that any directory holds open
    double part() { return chance_() / 4294967296.0; }
    Span about(Span s) { return s * (0.75 + 0.5 * part()); }

    std::mt19937 chance_;
    bool many_;
    Span longest_, watch_, gap_;
    int failures_ = 0;
};

}  // namespace petrelpond
