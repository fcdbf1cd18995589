// Who is to be looked at now, and who waits for what. An index is in one row at most; who is parked for an
// instant alone is in none.
#pragma once

#include "src/index/rota.hpp"

namespace petrelpond {

enum class Row : uint8_t { ready, slot, pay, key, none };

class Parking {
  public:
    Rota& row(Row which) { return rows_[static_cast<int>(which)]; }
    void park(uint32_t ix, Row where) {
        if (ix >= at_.size()) at_.resize(ix + 1, Row::none);
        if (at_[ix] == where) return;
        if (at_[ix] != Row::none) row(at_[ix]).erase(ix);
        at_[ix] = where;
        if (where != Row::none) row(where).insert(ix);
    }
    void ready(uint32_t ix) { park(ix, Row::ready); }
    void leave(uint32_t ix) { park(ix, Row::none); }
    // Up to so many of a row get their look, in turn.
    void release(Row which, size_t most) {
        if (row(which).empty()) return;
        row(which).turn(most, turn_);
        for (uint32_t ix : turn_) ready(ix);
    }
    void releaseAll(Row which) { release(which, row(which).size()); }

  private:
    Rota rows_[4];
    std::vector<Row> at_;
    std::vector<uint32_t> turn_;
};

}  // namespace petrelpond
