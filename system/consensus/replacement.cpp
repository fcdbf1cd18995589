// Replacement of members that are gone, without an operator.
//
// The number of voters stays as it is. A core whose disk may count and that is no voter is a standby: it
// learns the voters and the value like everybody, holds both on its disk, and is counted nowhere. The holder
// of the lease gives it the place of a voter that has not been heard for Options::absence, or that says that
// it leaves. A voter that was only cut off or paused comes back as a standby that holds its data; the next
// place that falls free may be its own. So a wrong suspicion costs one change and no copy. Why not grow first
// and shrink later: four voters bear one loss as three do, but three of them are needed to rebuild a lost
// disk; between the two changes a second loss would find too few. Without a standby nothing changes, however
// long a voter is silent: fewer voters bear fewer losses.
//
// Only the holder begins: it alone has heard a majority within the last lease time, and one proposer needs no
// second ballot. The decision itself is made by a majority of the present voters, whoever began it.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

void Core::noteSender(Instant now, const NodeId& from, const Message& m) {
    if (from == options_.self) return;
    Peer& peer = peers_[from];
    // A disk that was lost begins anew. What was remembered before of one that went back stays: it must be
    // told so.
    const bool another = peer.diskId != m.diskId;
    peer.saveCount = another ? m.saveCount : std::max(peer.saveCount, m.saveCount);
    peer.diskId = m.diskId;
    peer.mayVote = m.mayVote;
    peer.recovering = m.recovering;
    const bool leavesNow = m.leaving && !peer.leaving;
    peer.leaving = m.leaving;
    peer.diskBroken = m.diskBroken;
    peer.epoch = m.epoch;
    // Not only at the next heartbeat: the machine may be gone by then.
    if (leavesNow && lease_.held) replaceAbsentVoter(now);
}

// Heard so lately that it would take part in a change now.
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
    std::vector<NodeId> fit;
    for (const auto& [node, peer] : peers_) {
        if (isVoter(node) || !peer.saidHello || !peer.mayVote || peer.leaving || peer.diskBroken) continue;
        // With a value on its disk it lacks little of what the others hold, and has that in one message. Not
        // the newest is asked for: while changes follow one another what it said last is always older.
        const bool holds = peer.syncedValue.version > 0 || chosenHeader_.version == 0;
        if (holds && isReachable(now, node)) fit.push_back(node);
    }
    return fit;
}

bool Core::isBehind(Instant now, const NodeId& voter) const {
    const auto it = peers_.find(voter);
    if (voter == options_.self || it == peers_.end()) return false;
    const bool answers = now - it->second.heardAt <= options_.heartbeatInterval * kReachableHeartbeats;
    return answers && it->second.epoch != state_.epoch;
}

// The first voter whose place is free; null: none, or the change before this one is not taken over yet.
const NodeId* Core::findAbsentVoter(Instant now) {
    const NodeId* gone = nullptr;
    for (const NodeId& voter : state_.voters) {
        const bool absent = isAbsent(now, voter);
        // Against a second change before the first is taken over: until then a member that is here may still
        // be needed to tell the others. Harm: waits for a member that does not get on. One that has missed
        // some heartbeats is not waited for: it may be dead, which is sure only after Options::absence, and
        // the next loss would come before that (schedule 303442 of replacement_test).
        const bool behind = !absent && isBehind(now, voter);
        if (behind && options_.defect != Defect::overlapsChanges) return nullptr;
        if (absent && !gone) gone = &voter;
    }
    return gone;
}

// Against a successor that is itself gone: one that ended a second ago still counts as heard, and its word
// that it leaves may be lost or overtaken by an older message. With it on the voters the next loss takes the
// majority (schedules 30029 and 31607 of replacement_test). So a standby has the place only after it has
// answered a question that was asked since the place fell free. It harms by one round trip, without a sync.
void Core::replaceAbsentVoter(Instant now) {
    if (pendingChange_ || !isMember() || options_.defect == Defect::neverReplaces) return;
    const NodeId* gone = findAbsentVoter(now);
    const std::vector<NodeId> fit = gone ? standbys(now) : std::vector<NodeId>{};
    if (fit.empty()) {
        vacancyProbe_ = 0;
        if (!gone || options_.defect != Defect::dropsSilentVoters) return;
        pendingChange_ = makeVotersChange(now, {*gone}, {});
        return proposeVotersChange(now);
    }
    const auto answered = std::find_if(fit.begin(), fit.end(), [&](const NodeId& n) {
        return options_.defect == Defect::trustsStaleStandby ||
               (vacancyProbe_ != 0 && peers_[n].answeredProbe == vacancyProbe_);
    });
    if (answered != fit.end()) {
        vacancyProbe_ = 0;
        pendingChange_ = makeVotersChange(now, {*gone}, {*answered});
        return proposeVotersChange(now);
    }
    if (vacancyProbe_ == 0) vacancyProbe_ = ++lastRequestId_;
    proposeAt_ = std::min(proposeAt_, now + options_.heartbeatInterval * kRetryHeartbeats);
    for (const NodeId& n : fit) sendHello(n, MessageKind::hello, vacancyProbe_);
}

std::vector<MemberState> Core::members(Instant now) const {
    const std::vector<NodeId> fit = standbys(now);
    const auto stateOf = [&](const NodeId& node) {
        MemberState state;
        state.node = node;
        state.isVoter = isVoter(node);
        state.catchingUp = state.isVoter && !hasTakenOver(node);
        state.standby = std::find(fit.begin(), fit.end(), node) != fit.end();
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
    const auto whole = std::count_if(state_.voters.begin(), state_.voters.end(), [&](const NodeId& n) {
        return hasTakenOver(n) && (n == options_.self || !isAbsent(now, n));
    });
    return static_cast<int>(whole) - static_cast<int>(majority());
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

// Against a core that was away for so long that all it knew are gone and have been forgotten by their
// successors, which have forgotten it too: the settings are written anew before long, and name others.
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
    if (!selfIsVoter()) {  // replaced: we may be needed to tell what we know until a majority has taken over
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
