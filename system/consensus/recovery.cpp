// How a member whose disk was lost, or that is new on a set of voters, learns all that it may have promised.
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
        Message ask = makeMessage(MessageKind::recoverRequest, recoverRequestId_);
        addVotersTo(ask);
        for (const NodeId& n : asked) {
            if (n != options_.self) sendAfterSync(n, ask);
        }
    }
}

// No voters anywhere, and not even anybody who knows the electors: all lost power in the first instant,
// before their first sync. As no more than machineLosses disks are lost, the other seeds never promised a
// thing. If those are a majority of the seeds, no voters were ever decided, and we begin anew. We wait for 3
// s after it was seen, so that all seeds see it before the first of them begins. It harms only if more disks
// are lost than may be; with two losses and three seeds it can't be known, and nobody begins anew.
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

// A majority of our voters that takes part, ourselves left out. With a whole disk after a change also: anyone
// who takes part already, as it has taken over all of the former voters; or a majority of the former voters,
// ourselves included, each of which took part in it.
bool Core::hasEnoughRecoverReplies() const {
    size_t ours = 0, formers = state_.takeoverState == 2, entered = 0;
    for (const auto& [node, t] : recoverReplies_) {
        ours += !t.recovering && isVoter(node);
        entered += !t.recovering;
        formers += t.takeoverState == 2 && contains(state_.formerVoters, node);
    }
    if (ours >= majority()) return true;
    return state_.takeoverState > 0 && (entered > 0 || formers >= state_.formerVoters.size() / 2 + 1);
}

// What one state says to a disk that was lost.
Message Core::makeRecoverReply(const DurableState& state, const std::shared_ptr<const Value>& value,
                               const Message& ask) const {
    Message tell = makeMessage(MessageKind::recoverReply, ask.requestId);
    tell.granted = state.mayElect;
    tell.recovering = state.recovering;
    tell.takeoverState = state.takeoverState;
    tell.term = state.term;
    tell.ballot = state.votersBallot;
    tell.acceptedBallot = state.votersAcceptedBallot;
    tell.nodes = state.votersAcceptedOffer;
    addVotersTo(tell);
    tell.electors = state.electors;
    tell.claims = state.claims.listed();
    // Marks alone when the asker has the same value already: the body is long.
    if (ask.syncedValue < headerOf(value)) tell.value = value;
    return tell;
}

// Whether what is synced speaks for this core as well as what is not yet: of the same disk, it takes part in
// the same.
bool Core::isSyncedStateEquivalent() const {
    const DurableState& disk = synced_.state;
    return disk.diskId == state_.diskId && disk.epoch == state_.epoch &&
           disk.recovering == state_.recovering && disk.mayElect == state_.mayElect &&
           disk.takeoverState == state_.takeoverState;
}

// Against a disk that refuses writes or hangs as another one is lost (issue 71): what this core knows newest
// can't be told before it is synced, and until then the lost disk was not rebuilt. Operators do not count
// such a disk as lost and go on; the next lost disk was then one too many. What is synced is enough to tell:
// an answer that counts in anything that was done before the asker asked was synced before it was sent. It
// harms where the asker takes something older than a majority has agreed on meanwhile, which it then hears of
// as any member does.
void Core::handleRecoverRequest(const NodeId& from, const Message& ask) {
    if (!state_.mayElect && state_.recovering) return;
    const bool waits = nextToken() > syncedToken_;
    if (!waits || !isSyncedStateEquivalent() || options_.defect == Defect::recoverReplyWaitsForDisk)
        return sendAfterSync(from, makeRecoverReply(state_, value_, ask));
    if (options_.defect == Defect::sendsEmptyRecoverReply)
        return send(from, makeRecoverReply(DurableState{}, nullptr, ask));
    send(from, makeRecoverReply(synced_.state, synced_.value, ask));
}

void Core::handleRecoveryMessage(Instant now, const NodeId& from, const Message& m) {
    if (m.kind == MessageKind::recoverRequest) return handleRecoverRequest(from, m);
    if (m.requestId != recoverRequestId_ || (!state_.recovering && state_.mayElect)) return;
    adoptIfNewer(m.value);
    const bool before = recoversFromVoters_;
    if (before != !state_.voters.empty()) {  // the voters have just been learned: ask its members instead
        recoverAt_ = std::min(recoverAt_, now);
        return;
    }
    if (!before && (!m.granted || !inElectors(from))) return;
    recoverReplies_[from] = m;
    recoverReplies_[from].value = nullptr;
    if (before ? hasEnoughRecoverReplies() : recoverReplies_.size() >= state_.electors.size() / 2 + 1)
        finishRecovery(now);
}

// Takes the highest of all that was told, and takes part again.
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
        // What is not known here any more, or was promised on the former voters, may be another's by now.
        leasePromisedTo_.clear();
        state_.leasePromisedTo.clear();
        state_.term = std::max(state_.term, highestTerm_);
        state_.votedFor = kNoCandidate;
        state_.recovering = false;
        state_.takeoverState = 0;
        rollbackChecked_ = true;
        // Against a lease that the former voters gave: a teller may have answered its holder just before.
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

// Against a member that leaves and waits for word that its place is taken over (mayLeave), and a change that
// waits for the one before: the next hello may be half a second away. It harms by one small message to each
// member for each that takes part anew.
void Core::announceRecovery() {
    for (const auto& [node, peer] : peers_) {
        if (isVoter(node) || contains(state_.formerVoters, node))
            sendAfterSave(termSaveToken_, node, makeMessage(MessageKind::committed));
    }
}

}  // namespace petrelpond::consensus
