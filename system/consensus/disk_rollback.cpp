// Against a disk that is put back to an earlier state, as from a copy of its folder: it has the same birth
// and has forgotten what it promised since, so as a member it would help a majority to forget, or vote twice
// in a term.
//
// Each save raises a count on the disk, which every message tells once it is synced. Others remember the
// highest that they heard of each disk, and write it down with their own next save, which costs no sync of
// its own. A core that starts with a disk takes part only after so many members have answered its hello that,
// with it, they are a majority, and none of them has heard of a higher count than its own. Else its disk
// counts as lost.
//
// It harms by one round trip at each start. It does not find a disk that was put back to a state which none
// of those that answer have heard of later; a copy from an earlier day is older than that.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

void Core::checkForRollback(Instant now, const NodeId& from, const Message& m) {
    if (options_.defect == Defect::trustsRolledBackDisk) rollbackChecked_ = true;
    if (rollbackChecked_ || state_.recovering || state_.voters.empty()) return;
    // A late word of an earlier disk of this machine says nothing of this one.
    if (m.knownDiskId == state_.diskId && m.knownSaveCount > state_.saveCount) return treatDiskAsLost(now);
    if (isVoter(from)) diskConfirmedBy_.insert(from);
    rollbackChecked_ = diskConfirmedBy_.size() + 1 >= majority();
}

void Core::treatDiskAsLost(Instant now) {
    state_.recovering = true;
    state_.mayElect = false;
    state_.takeoverState = 0;
    state_.diskId = static_cast<uint64_t>(random_()) << 32 | random_() | 1;
    state_.claims = {};
    recoverRequestId_ = 0;
    recoverAt_ = now + recoveryDelay(options_);
    markDirty();
}

}  // namespace petrelpond::consensus
