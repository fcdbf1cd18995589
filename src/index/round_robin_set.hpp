// A set of small indices that is visited in batches, so that each index gets its turn. Operations take log time.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace petrelpond {

class RoundRobinSet {
  public:
    bool insert(uint32_t ix) { return set_.insert(ix).second; }
    bool erase(uint32_t ix) { return set_.erase(ix) > 0; }
    bool empty() const { return set_.empty(); }
    size_t size() const { return set_.size(); }

    // Writes up to `most` indices to `into`: all in ascending order if there are no more, else the next ones in turn.
    void nextBatch(size_t most, std::vector<uint32_t>& into) {
        into.clear();
        if (set_.size() <= most) {
            into.assign(set_.begin(), set_.end());
            return;
        }
        auto at = set_.lower_bound(next_);
        while (into.size() < most) {
            if (at == set_.end()) at = set_.begin();
            into.push_back(*at++);
        }
        next_ = into.back() + 1;
    }

  private:
    std::set<uint32_t> set_;
    uint32_t next_ = 0;
};

}  // namespace petrelpond
