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
#include "system/consensus/core_parts.hpp"

namespace petrelpond::consensus {

void Core::checkAge(Instant now, const NodeId& from, const Message& m) {
    if (o_.defect == Defect::trustsOldDisk) ageChecked_ = true;
    if (ageChecked_ || mem_.recovering || mem_.voters.empty()) return;
    // A late message about an earlier disk of this machine says nothing about the present one.
    if (m.knownBirth == mem_.birth && m.knownSaves > mem_.saves) return treatAsLost(now);
    if (isVoter(from)) vouchers_.insert(from);
    ageChecked_ = vouchers_.size() + 1 >= majority();
}

void Core::treatAsLost(Instant now) {
    mem_.recovering = true;
    mem_.elects = false;
    mem_.entering = 0;
    mem_.birth = static_cast<uint64_t>(random_()) << 32 | random_() | 1;
    mem_.claims = {};
    recoverNumber_ = 0;
    recoverAt_ = now + recoverWait(o_);
    touch();
}

}  // namespace petrelpond::consensus
