// Records of which most lie still: each has a small seed, and is whole only while it is in use. Ten thousand
// silent destinations then cost their seeds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace petrelpond {

// Whole has its Seed as a member, `is`, and may have woke() to make more of it. References to a whole hold
// until it rests.
template <class Record, class Core>
class LazyTable {
  public:
    size_t size() const { return cores_.size(); }
    void ensureSize(uint32_t ix) {
        if (ix >= cores_.size()) cores_.resize(ix + 1), records_.resize(ix + 1);
    }
    const Core& core(uint32_t ix) const { return cores_[ix]; }
    // Of one that is whole the whole's part changes too, so that nothing is known twice.
    template <class Change>
    void updateCore(uint32_t ix, Change change) {
        ensureSize(ix);
        change(cores_[ix]);
        if (records_[ix]) change(records_[ix]->core);
    }
    Record& operator[](uint32_t ix) {
        ensureSize(ix);
        if (records_[ix]) return *records_[ix];
        records_[ix] = std::make_unique<Record>(), ++loaded_;
        records_[ix]->core = cores_[ix];
        if constexpr (requires(Record & record) { record.onLoaded(); }) records_[ix]->onLoaded();
        return *records_[ix];
    }
    Record* find(uint32_t ix) const { return ix < records_.size() ? records_[ix].get() : nullptr; }
    void unload(uint32_t ix) {
        if (!find(ix)) return;
        records_[ix] = nullptr;
        --loaded_;
    }
    size_t loadedCount() const { return loaded_; }

  private:
    std::vector<Core> cores_;
    std::vector<std::unique_ptr<Record>> records_;
    size_t loaded_ = 0;
};

}  // namespace petrelpond
