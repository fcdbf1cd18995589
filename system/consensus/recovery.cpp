// Recovery: how a core whose disk was lost, or whose voters have changed, learns all that it may have
// promised.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

void Core::requestRecovery(Instant now) {
    if (!state_.recovering && state_.mayElect) {
        recoverAt_ = Instant::never();
        return;
    }
    recoverAt_ = now + options_.heartbeatInterval * 2;
    if (recoverRequestId_ == 0 || recoversFromVoters_ != !state_.voters.empty()) {
        recoversFromVoters_ = !state_.voters.empty();
        recoverRequestId_ = ++lastRequestId_;
        recoverReplies_.clear();
    }
    if (recoversFromVoters_ || inElectors(options_.self)) {
        std::vector<NodeId> asked = recoversFromVoters_ ? state_.voters : state_.electors;
        if (state_.takeoverState > 0)
            asked.insert(asked.end(), state_.formerVoters.begin(), state_.formerVoters.end());
        sortUnique(asked);
        Message request = makeMessage(MessageKind::recoverRequest, recoverRequestId_);
        addVotersTo(request);
        for (const NodeId& n : asked) {
            if (n != options_.self) sendAfterSync(n, request);
        }
    }
}

// Handles a power loss of all cores before their first sync: no core knows any voters or even the electors.
// As no more than machineLosses disks are lost, the other seeds never promised anything. If those are a
// majority of the seeds, no voters were ever decided and the bootstrap may start again. It waits for 3 s
// after this state was seen, so that all seeds see it before the first of them restarts. Drawback: it is
// unsafe if more disks are lost than machineLosses. With two tolerated losses and three seeds the state is
// ambiguous, and no core restarts the bootstrap.
void Core::restartBootstrap(Instant now) {
    if (!state_.recovering || state_.mayElect || !state_.voters.empty() ||
        !contains(options_.seeds, options_.self))
        return;
    const auto losses = static_cast<size_t>(std::max(0, options_.machineLosses));
    if (options_.seeds.size() < losses + options_.seeds.size() / 2 + 1) return;
    if (state_.electors.empty() && restartBootstrapAt_ == Instant::never()) {
        for (const auto& [node, p] : peers_) {
            if (p.saidHello && !p.knowsNoVoters) return;
        }
        for (const NodeId& n : options_.seeds) {
            const auto it = peers_.find(n);
            const bool said = it != peers_.end() && it->second.saidHello;
            if (n != options_.self && (!said || now - it->second.heardAt > options_.heartbeatInterval * 6))
                return;
        }
        restartBootstrapAt_ = now + Span::millis(3000);
    }
    if (now < restartBootstrapAt_ || (!state_.electors.empty() && state_.electors != options_.seeds)) return;
    state_.electors = options_.seeds;
    state_.mayElect = true;
    state_.recovering = false;
    markDirty();
}

// Enough is a majority of our voters that has recovered, not counting this core. For an intact disk after a
// change of the voters there are two more ways: any one core that has recovered, as it has already taken over
// the state of the former voters; or a majority of the former voters, this core included, each of which was a
// voter then.
bool Core::hasEnoughRecoverReplies() const {
    size_t ourCount = 0, formerCount = state_.takeoverState == 2, recoveredCount = 0;
    for (const auto& [node, t] : recoverReplies_) {
        ourCount += !t.recovering && isVoter(node);
        recoveredCount += !t.recovering;
        formerCount += t.takeoverState == 2 && contains(state_.formerVoters, node);
    }
    if (ourCount >= majority()) return true;
    return state_.takeoverState > 0 &&
           (recoveredCount > 0 || formerCount >= state_.formerVoters.size() / 2 + 1);
}

// Builds the reply to a recoverRequest from one state.
Message Core::makeRecoverReply(const DurableState& state, const std::shared_ptr<const Value>& value,
                               const Message& request) const {
    Message reply = makeMessage(MessageKind::recoverReply, request.requestId);
    reply.granted = state.mayElect;
    reply.recovering = state.recovering;
    reply.takeoverState = state.takeoverState;
    reply.term = state.term;
    reply.ballot = state.votersBallot;
    reply.acceptedBallot = state.votersAcceptedBallot;
    reply.nodes = state.votersAcceptedOffer;
    addVotersTo(reply);
    reply.electors = state.electors;
    reply.claims = state.claims.listed();
    // Without the value if the requester already has it: the body may be large.
    if (request.syncedValue < headerOf(value)) reply.value = value;
    return reply;
}

// Whether the synced state may reply for this core: it has the same disk, epoch and participation as the
// unsynced state.
bool Core::isSyncedStateEquivalent() const {
    const DurableState& disk = synced_.state;
    return disk.diskId == state_.diskId && disk.epoch == state_.epoch &&
           disk.recovering == state_.recovering && disk.mayElect == state_.mayElect &&
           disk.takeoverState == state_.takeoverState;
}

// Replies from the synced state while a save is pending (issue 71). The newest state cannot be sent before it
// is synced, so while this disk refused writes or hung, a lost disk elsewhere was not rebuilt. Operators do
// not count such a disk as lost and carry on, and the next lost disk was one too many. The synced state is
// sufficient: any reply that counts in an operation done before the request was synced before it was sent.
// Drawback: the requester may take over something older than what a majority has agreed on meanwhile; it then
// learns the newer state like any member.
void Core::handleRecoverRequest(const NodeId& from, const Message& request) {
    if (!state_.mayElect && state_.recovering) return;
    const bool waits = nextToken() > syncedToken_;
    if (!waits || !isSyncedStateEquivalent() || options_.defect == Defect::recoverReplyWaitsForDisk)
        return sendAfterSync(from, makeRecoverReply(state_, value_, request));
    if (options_.defect == Defect::sendsEmptyRecoverReply)
        return send(from, makeRecoverReply(DurableState{}, nullptr, request));
    send(from, makeRecoverReply(synced_.state, synced_.value, request));
}

void Core::handleRecoveryMessage(Instant now, const NodeId& from, const Message& m) {
    if (m.kind == MessageKind::recoverRequest) return handleRecoverRequest(from, m);
    if (m.requestId != recoverRequestId_ || (!state_.recovering && state_.mayElect)) return;
    adoptIfNewer(m.value);
    const bool fromVoters = recoversFromVoters_;
    if (fromVoters != !state_.voters.empty()) {  // the voters have just been learned: ask them instead
        recoverAt_ = std::min(recoverAt_, now);
        return;
    }
    if (!fromVoters && (!m.granted || !inElectors(from))) return;
    recoverReplies_[from] = m;
    recoverReplies_[from].value = nullptr;
    if (fromVoters ? hasEnoughRecoverReplies() : recoverReplies_.size() >= state_.electors.size() / 2 + 1)
        finishRecovery(now);
}

// Adopts the highest of everything that was replied and takes part again.
void Core::finishRecovery(Instant now) {
    for (const auto& [node, t] : recoverReplies_) {
        state_.votersBallot = std::max(state_.votersBallot, t.ballot);
        if (t.acceptedBallot > state_.votersAcceptedBallot) {
            state_.votersAcceptedBallot = t.acceptedBallot;
            state_.votersAcceptedOffer = t.nodes;
        }
        highestTerm_ = std::max(highestTerm_, t.term);
        state_.claims.mergeHigher(PromisedBallots(t.claims), heldVersion());
    }
    highestBallot_ = std::max(highestBallot_, state_.votersBallot);
    state_.mayElect = true;
    const bool asVoter = recoversFromVoters_;
    if (asVoter) {
        // A promise that this disk has forgotten, or that it gave under the former voters, may belong to
        // another core.
        leasePromisedTo_.clear();
        state_.leasePromisedTo.clear();
        state_.term = std::max(state_.term, highestTerm_);
        state_.votedFor = kNoCandidate;
        state_.recovering = false;
        state_.takeoverState = 0;
        rollbackChecked_ = true;
        // The former voters may have renewed a lease just before they replied: wait until it has expired.
        if (state_.epoch > 1) leasePromisedUntil_ = std::max(leasePromisedUntil_, now + promiseDuration());
        if (!lease_.held)
            electionAt_ = std::max(now, leasePromisedUntil_) + randomSpan(options_.leaseDuration * 0.5);
        for (auto& [requestId, op] : operations_) op.resendAt = Instant::longAgo();
    }
    markDirty();
    termSaveToken_ = nextToken();
    recoverReplies_.clear();
    recoverRequestId_ = 0;
    if (asVoter) announceRecovery();
}

// A leaving member waits to hear that its successor has recovered (mayLeave), and a further change of the
// voters waits for the previous one; the next hello may be half a second away. Drawback: one small message to
// each member for every core that recovers.
void Core::announceRecovery() {
    for (const auto& [node, peer] : peers_) {
        if (isVoter(node) || contains(state_.formerVoters, node))
            sendAfterSave(termSaveToken_, node, makeMessage(MessageKind::committed));
    }
}

}  // namespace petrelpond::consensus
