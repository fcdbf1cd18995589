// Who may be primary: decided by epochs alone, with no clock, no lease and no vote. A standby follows one
// epoch at a time, and each promotion makes a new one that the old primary does not have. As a primary sends
// nothing that its standby has not acknowledged, one that was left behind can't submit, however alive it is.
#pragma once

#include <cstdint>
#include <optional>

namespace petrelpond::replica {

class Lineage {
  public:
    // epoch: of what the standby's folder holds; least: the oldest that it is to follow; whole: it once held
    // all that its primary had open.
    Lineage(uint64_t epoch, uint64_t least, bool whole)
        : epoch_(epoch > least ? epoch : least), whole_(whole) {}

    // Whether that primary is followed from now on. A newer one ends what an older one was followed for.
    bool follows(uint64_t epoch) {
        if (promoted_ || epoch < epoch_) return false;
        if (epoch > epoch_) epoch_ = epoch;
        return true;
    }
    void becameWhole() { whole_ = true; }
    bool whole() const { return whole_; }
    // The new epoch. Not while it never held everything: what it lacks would be lost without a word.
    std::optional<uint64_t> promote() {
        if (!whole_) return std::nullopt;
        if (!promoted_) ++epoch_, promoted_ = true;
        return epoch_;
    }
    uint64_t epoch() const { return epoch_; }
    bool promoted() const { return promoted_; }

  private:
    uint64_t epoch_;
    bool whole_, promoted_ = false;
};

}  // namespace petrelpond::replica
