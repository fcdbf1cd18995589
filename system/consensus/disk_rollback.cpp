// Detects a disk that was rolled back to an earlier state, for example restored from a copy of its directory.
// It has the same birth but has forgotten what it promised since, so as a member it could help a majority to
// forget, or vote twice in a term.
//
// Each save raises a counter on the disk, which every message carries once it is synced. Other cores remember
// the highest counter they heard of for each disk, and store it with their own next save, so it costs no
// extra sync. A core that starts with a disk takes part only after enough members have answered its hello to
// form a majority together with it, and none of them knows a higher counter than its own. Otherwise its disk
// counts as lost.
//
// Drawback: one round trip at each start. A rollback to a state that none of the answering members has heard
// a later counter of is not detected; a copy from an earlier day is older than that.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

void Core::checkForRollback(Instant now, const NodeId& from, const Message& m) {
    if (options_.defect == Defect::trustsRolledBackDisk) rollbackChecked_ = true;
    if (rollbackChecked_ || state_.recovering || state_.voters.empty()) return;
    // A late message about an earlier disk of this machine says nothing about the present one.
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
