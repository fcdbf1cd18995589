// A table of records of which most are idle. Each index has a small core that is always kept; the full record is
// loaded only while it is in use, so that ten thousand idle destinations cost no more than their cores.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace petrelpond {

// Record holds its Core as the member `core` and may have a function onLoaded(), which is called after it was loaded.
// References to a record are valid until it is unloaded.
template <class Record, class Core>
class LazyTable {
  public:
    size_t size() const { return cores_.size(); }
    void ensureSize(uint32_t ix) {
        if (ix >= cores_.size()) cores_.resize(ix + 1), records_.resize(ix + 1);
    }
    const Core& core(uint32_t ix) const { return cores_[ix]; }
    // Changes the core, and its copy in the record if that is loaded.
    template <class Change>
    void updateCore(uint32_t ix, Change change) {
        ensureSize(ix);
        change(cores_[ix]);
        if (records_[ix]) change(records_[ix]->core);
    }
    // Loads the record if necessary.
    Record& operator[](uint32_t ix) {
        ensureSize(ix);
        if (records_[ix]) return *records_[ix];
        records_[ix] = std::make_unique<Record>(), ++loaded_;
        records_[ix]->core = cores_[ix];
        if constexpr (requires(Record & record) { record.onLoaded(); }) records_[ix]->onLoaded();
        return *records_[ix];
    }
    // The record, or null if it isn't loaded.
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
