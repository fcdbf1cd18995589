// One pass of upkeep: a snapshot of what is open, bodies moved out of files that are mostly dead, files that
// nothing needs any more removed. It works on what lies in sealed files alone, so that it can be done beside
// the appends; whichever step it is cut off at, the folder says the same as before or after it.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/store/recovery.hpp"

namespace petrelpond::store {

struct Pass {
    bool done = false;
    Trouble trouble = Trouble::none;
    std::vector<std::pair<uint64_t, Where>> moved;
    std::vector<FileId> removed;
    std::vector<Damage> damages;  // met on the way, and set aside
    int64_t written = 0, freed = 0, snapshotBytes = 0;  // bytes, in whole blocks
};

inline int64_t blocks(int64_t bytes) { return (bytes + kBlock - 1) / kBlock * kBlock; }

// upTo: the last sealed log. onMoved is called once the new places hold and before the old ones go.
Pass passOver(Disk& disk, const Keeper& keeper, uint32_t upTo, uint64_t salt, int64_t total,
              const std::function<void(const std::vector<std::pair<uint64_t, Where>>&)>& onMoved);

}  // namespace petrelpond::store
