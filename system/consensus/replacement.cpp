// Automatic replacement of absent voters by standbys.
//
// The number of voters stays constant. A core that may vote but is not a voter is a standby: it learns the
// voters and the value like every core and keeps both on its disk, but counts in no majority. The lease
// holder lets it replace a voter that has been silent for Options::absenceTimeout or that announces its
// shutdown. A voter that was only cut off or paused returns as a standby with its data and may fill the next
// vacancy, so a wrong suspicion costs one change and no copy.
//
// Voters are not added first and removed later: four voters tolerate one loss, as three do, but three of them
// are needed to rebuild a lost disk, so between the two changes a second loss would leave too few. Without a
// standby nothing changes, however long a voter is silent, since fewer voters tolerate fewer losses.
//
// Only the lease holder begins a replacement: it alone has heard from a majority within the last
// leaseDuration, and with one proposer no ballot is outbid. The change itself is decided by a majority of the
// current voters, whoever proposed it.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

void Core::noteSender(Instant now, const NodeId& from, const Message& m) {
    if (from == options_.self) return;
    Peer& peer = peers_[from];
    // A replaced disk has a new id and starts its count again. For a disk that was restored to an earlier
    // state the higher count is kept, since that core must be told of it.
    const bool another = peer.diskId != m.diskId;
    peer.saveCount = another ? m.saveCount : std::max(peer.saveCount, m.saveCount);
    peer.diskId = m.diskId;
    peer.mayVote = m.mayVote;
    peer.recovering = m.recovering;
    const bool leavesNow = m.leaving && !peer.leaving;
    peer.leaving = m.leaving;
    peer.diskBroken = m.diskBroken;
    peer.epoch = m.epoch;
    // Not only at the next heartbeat: the machine may be down by then.
    if (leavesNow && lease_.held) replaceAbsentVoter(now);
}

// Whether the node was heard from recently enough to take part in a change now.
bool Core::isReachable(Instant now, const NodeId& node) const {
    const auto it = peers_.find(node);
    return it != peers_.end() && now - it->second.heardAt <= options_.absenceTimeout * 0.75;
}

bool Core::isAbsent(Instant now, const NodeId& voter) const {
    if (voter == options_.self) return leaving_;
    const auto it = peers_.find(voter);
    if (it == peers_.end()) return now - startedAt_ > options_.absenceTimeout;
    if (it->second.leaving) return true;
    const Span absence = options_.defect == Defect::dropsSilentVoters ? options_.heartbeatInterval * 2
                                                                      : options_.absenceTimeout;
    return now - std::max(it->second.heardAt, startedAt_) > absence;
}

bool Core::hasTakenOver(const NodeId& voter) const {
    if (voter == options_.self) return isMember();
    const auto it = peers_.find(voter);
    return it != peers_.end() && it->second.epoch == state_.epoch && !it->second.recovering;
}

std::vector<NodeId> Core::standbys(Instant now) const {
    std::vector<NodeId> candidates;
    for (const auto& [node, peer] : peers_) {
        if (isVoter(node) || !peer.saidHello || !peer.mayVote || peer.leaving || peer.diskBroken) continue;
        // A standby with any value on its disk needs only one message to catch up. The newest value is not
        // required: while writes follow one another, its last report is always older.
        const bool holds = peer.syncedValue.version > 0 || chosenHeader_.version == 0;
        if (holds && isReachable(now, node)) candidates.push_back(node);
    }
    return candidates;
}

bool Core::isBehind(Instant now, const NodeId& voter) const {
    const auto it = peers_.find(voter);
    if (voter == options_.self || it == peers_.end()) return false;
    const bool answers = now - it->second.heardAt <= options_.heartbeatInterval * kReachableHeartbeats;
    return answers && it->second.epoch != state_.epoch;
}

// The first absent voter; null if there is none, or if the previous change has not been taken over yet.
const NodeId* Core::findAbsentVoter(Instant now) {
    const NodeId* firstAbsent = nullptr;
    for (const NodeId& voter : state_.voters) {
        const bool absent = isAbsent(now, voter);
        // No second change begins before the first is taken over: until then a reachable member may still be
        // needed for the recovery of the others. Drawback: waits for a member that makes no progress. A
        // member that has missed some heartbeats is not waited for: it may be dead, which is certain only
        // after Options::absenceTimeout, and the next loss could come before that (schedule 303442 of
        // replacement_test).
        const bool behind = !absent && isBehind(now, voter);
        if (behind && options_.defect != Defect::overlapsChanges) return nullptr;
        if (absent && !firstAbsent) firstAbsent = &voter;
    }
    return firstAbsent;
}

// A standby is promoted only after it has answered a probe sent since the vacancy arose. Otherwise the
// successor might be down itself: a core that ended a second ago still counts as reachable, and its
// announcement may be lost or overtaken by an older message. With it among the voters the next loss takes the
// majority away (schedules 30029 and 31607 of replacement_test). Drawback: one round trip, without a sync.
void Core::replaceAbsentVoter(Instant now) {
    if (pendingChange_ || !isMember() || options_.defect == Defect::neverReplaces) return;
    const NodeId* absentVoter = findAbsentVoter(now);
    const std::vector<NodeId> candidates = absentVoter ? standbys(now) : std::vector<NodeId>{};
    if (candidates.empty()) {
        vacancyProbe_ = 0;
        if (!absentVoter || options_.defect != Defect::dropsSilentVoters) return;
        pendingChange_ = makeVotersChange(now, {*absentVoter}, {});
        return proposeVotersChange(now);
    }
    const auto answered = std::find_if(candidates.begin(), candidates.end(), [&](const NodeId& n) {
        return options_.defect == Defect::trustsStaleStandby ||
               (vacancyProbe_ != 0 && peers_[n].answeredProbe == vacancyProbe_);
    });
    if (answered != candidates.end()) {
        vacancyProbe_ = 0;
        pendingChange_ = makeVotersChange(now, {*absentVoter}, {*answered});
        return proposeVotersChange(now);
    }
    if (vacancyProbe_ == 0) vacancyProbe_ = ++lastRequestId_;
    proposeAt_ = std::min(proposeAt_, now + options_.heartbeatInterval * kRetryHeartbeats);
    for (const NodeId& n : candidates) sendHello(n, MessageKind::hello, vacancyProbe_);
}

std::vector<MemberState> Core::members(Instant now) const {
    const std::vector<NodeId> candidates = standbys(now);
    const auto stateOf = [&](const NodeId& node) {
        MemberState state;
        state.node = node;
        state.isVoter = isVoter(node);
        state.catchingUp = state.isVoter && !hasTakenOver(node);
        state.standby = std::find(candidates.begin(), candidates.end(), node) != candidates.end();
        state.suspected = state.isVoter && node != options_.self && isAbsent(now, node);
        const auto it = peers_.find(node);
        state.leaving = node == options_.self ? leaving_ : it != peers_.end() && it->second.leaving;
        if (it != peers_.end()) state.silent = now - std::max(it->second.heardAt, startedAt_);
        return state;
    };
    std::vector<NodeId> known = state_.voters;
    known.push_back(options_.self);
    for (const auto& [node, peer] : peers_) {
        if (peer.mayVote) known.push_back(node);
    }
    sortUnique(known);
    std::vector<MemberState> all;
    all.reserve(known.size());
    for (const NodeId& node : known) all.push_back(stateOf(node));
    return all;
}

int Core::lossesLeft(Instant now) const {
    const auto caughtUp = std::count_if(state_.voters.begin(), state_.voters.end(), [&](const NodeId& n) {
        return hasTakenOver(n) && (n == options_.self || !isAbsent(now, n));
    });
    return static_cast<int>(caughtUp) - static_cast<int>(majority());
}

int Core::lostVoterCount(Instant now) const {
    const auto lost = std::count_if(state_.voters.begin(), state_.voters.end(), [&](const NodeId& n) {
        return n == options_.self ? state_.recovering : isReachable(now, n) && peers_.at(n).recovering;
    });
    return static_cast<int>(lost);
}

void Core::forgetSilentPeers(Instant now) {
    std::erase_if(peers_, [&](const auto& entry) {
        const auto& [node, peer] = entry;
        if (isVoter(node) || contains(options_.seeds, node)) return false;
        return now - std::max(peer.heardAt, peer.knownSince) > kForgetPeerAfter;
    });
}

// For a core that was away for so long that all cores it knew were replaced, and that their successors have
// forgotten as well: updated settings name current cores.
void Core::addPeers(Instant now, const std::vector<NodeId>& cores) {
    beginInput(now);
    for (const NodeId& node : cores) {
        if (node != options_.self && peers_.count(node) == 0) peers_[node].knownSince = now;
    }
    helloAt_ = now;
    endInput(now);
}

bool Core::shouldAnnounce(Instant now, const NodeId& node, const Peer& peer) const {
    return isVoter(node) || now - peer.heardAt <= kAnnouncePeerFor;
}

bool Core::mayLeave(Instant now) const {
    if (state_.voters.empty() || diskBroken_ || options_.defect == Defect::leavesWithoutHandover) return true;
    if (!selfIsVoter()) {  // replaced, but needed for recovery until a majority has taken over
        const auto done = std::count_if(state_.voters.begin(), state_.voters.end(),
                                        [this](const NodeId& n) { return hasTakenOver(n); });
        return static_cast<size_t>(done) >= majority();
    }
    if (!standbys(now).empty()) return false;
    return std::all_of(state_.voters.begin(), state_.voters.end(), [&](const NodeId& n) {
        return n == options_.self || !isReachable(now, n) ||
               holdsAtLeast(peers_.at(n).syncedValue, chosenAtLeave_);
    });
}

}  // namespace petrelpond::consensus
