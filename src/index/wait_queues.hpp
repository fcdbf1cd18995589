// Queues of indices by what they wait for. An index is in one queue at most; one that only waits for a point in time
// is in none.
#pragma once

#include "src/index/round_robin_set.hpp"

namespace petrelpond {

// ready: to be considered now; slot: a free call slot; credit: credit for a retry; key: its key's hold to end.
enum class WaitReason : uint8_t { ready, slot, credit, key, none };

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
    // Makes up to `most` indices of a queue ready, in turn.
    void release(WaitReason which, size_t most) {
        if (queue(which).empty()) return;
        queue(which).nextBatch(most, released_);
        for (uint32_t ix : released_) markReady(ix);
    }
    void releaseAll(WaitReason which) { release(which, queue(which).size()); }

  private:
    RoundRobinSet queues_[4];
    std::vector<WaitReason> reasons_;
    std::vector<uint32_t> released_;
};

}  // namespace petrelpond
