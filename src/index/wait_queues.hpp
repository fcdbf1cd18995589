// Who is to be looked at now, and who waits for what. An index is in one row at most; who is parked for an
// instant alone is in none.
#pragma once

#include "src/index/round_robin_set.hpp"

namespace petrelpond {

enum class WaitReason : uint8_t { ready, slot, retryCredit, key, none };

class WaitQueues {
  public:
    RoundRobinSet& queue(WaitReason which) { return queues_[static_cast<int>(which)]; }
    void park(uint32_t ix, WaitReason where) {
        if (ix >= reasons_.size()) reasons_.resize(ix + 1, WaitReason::none);
        if (reasons_[ix] == where) return;
        if (reasons_[ix] != WaitReason::none) queue(reasons_[ix]).erase(ix);
        reasons_[ix] = where;
        if (where != WaitReason::none) queue(where).insert(ix);
    }
    void markReady(uint32_t ix) { park(ix, WaitReason::ready); }
    void remove(uint32_t ix) { park(ix, WaitReason::none); }
    // Up to so many of a row get their look, in turn.
    void releaseSome(WaitReason which, size_t most) {
        if (queue(which).empty()) return;
        queue(which).nextBatch(most, released_);
        for (uint32_t ix : released_) markReady(ix);
    }
    void releaseAll(WaitReason which) { releaseSome(which, queue(which).size()); }

  private:
    RoundRobinSet queues_[4];
    std::vector<WaitReason> reasons_;
    std::vector<uint32_t> released_;
};

}  // namespace petrelpond
