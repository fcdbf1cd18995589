// Core's inputs and outputs: message dispatch, timers, saves, and replies that wait until a promise is
// synced.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

Core::Core(Instant now, Options options, std::optional<DurableState> found)
    : options_(std::move(options)), random_(options_.randomSeed), startedAt_(now), inputAt_(now),
      helloAt_(now) {
    sortUnique(options_.seeds);
    const uint64_t own = std::hash<std::string>{}(options_.self);
    firstRequestId_ =
        (static_cast<uint64_t>(random_()) << 32 ^ own ^ static_cast<uint64_t>(now.inMicros()) << 20) &
        0x7fffffffffff0000ULL;
    lastRequestId_ = firstRequestId_;
    if (found) {
        state_ = std::move(*found);
        for (const auto& [node, age] : state_.knownDisks) {
            peers_[node].diskId = age.diskId;
            peers_[node].saveCount = age.saveCount;
            peers_[node].knownSince = now;
        }
        state_.knownDisks.clear();
        rollbackChecked_ = state_.voters.size() <= 1 || state_.recovering;
        if (state_.value.version > 0) value_ = std::make_shared<const Value>(std::move(state_.value));
        state_.value = {};
        synced_ = {0, state_, value_};
        if (options_.defect == Defect::forgetsPromises) {
            state_.term = state_.votersBallot = state_.votersAcceptedBallot = 0;
            state_.votedFor.clear();
            state_.leasePromisedTo.clear();
            state_.votersAcceptedOffer.clear();
        }
    } else {
        rollbackChecked_ = true;
        if (options_.bootstrap) state_.electors = options_.seeds;
        state_.recovering = !options_.bootstrap;
        state_.mayElect = options_.bootstrap;
        while (state_.diskId == 0) state_.diskId = static_cast<uint64_t>(random_()) << 32 | random_();
        if (options_.defect == Defect::skipsRecovery) {
            state_.recovering = false;
            state_.mayElect = true;
            if (state_.electors.empty()) state_.electors = options_.seeds;
        }
        markDirty();
    }
    if (state_.recovering || !state_.mayElect) recoverAt_ = now + recoveryDelay(options_);
    // The disk records to whom the last lease promise was given, but not its expiry. So for a whole promise
    // duration after a restart this core votes for no other candidate. Drawback: if all cores restart without
    // that holder, the next election waits for one leaseDuration. A core that had promised to itself stands
    // sooner, since its own lease ended with the earlier process; but not at once, because if it alone
    // restarted, another core wins meanwhile and the lease need not move again.
    leasePromisedTo_ = state_.leasePromisedTo;
    leasePromiseTerm_ = state_.term;
    const bool skipsWait =
        options_.defect == Defect::forgetsPromises || options_.defect == Defect::votesRightAfterRestart;
    leasePromisedUntil_ = skipsWait ? now : now + promiseDuration();
    electionAt_ = leasePromisedTo_ == options_.self
                      ? now + options_.leaseDuration * 0.5
                      : leasePromisedUntil_ + randomSpan(options_.leaseDuration * 0.5);
    proposeAt_ = now + Span::millis(1500);
    highestTerm_ = state_.term;
    highestBallot_ = state_.votersBallot;
    for (const NodeId& n : state_.voters) {
        if (n != options_.self) peers_[n];
    }
    if (value_)
        settleReadAt_ = now + options_.heartbeatInterval * 2 + randomSpan(options_.heartbeatInterval * 4);
    endInput(now);
}

Span Core::randomSpan(Span below) {
    const int64_t us = std::max<int64_t>(1, below.inMicros());
    return Span::micros(static_cast<int64_t>(random_()) % us);
}

bool Core::isVoter(const NodeId& n) const { return contains(state_.voters, n); }
bool Core::inElectors(const NodeId& n) const { return contains(state_.electors, n); }
bool Core::isMember() const {
    return !state_.recovering && !diskBroken_ && selfIsVoter() && rollbackChecked_;
}
bool Core::isElector() const { return state_.mayElect && !diskBroken_ && inElectors(options_.self); }

// Runs before every input. The process may have been frozen for long, so an expired lease is reported before
// anything else.
void Core::beginInput(Instant now) {
    inputAt_ = now;
    if (lease_.holder.empty() || now < lease_.validUntil) return;
    if (lease_.held && options_.defect == Defect::holdsExpiredLease) {
        lease_.validUntil = now + options_.leaseDuration;
        return;
    }
    setLease(false, lease_.term, {}, Instant::longAgo());
    candidacy_ = Candidacy::none;
    electionAt_ = std::max(now, leasePromisedUntil_) + randomSpan(options_.leaseDuration * 0.5);
}

void Core::endInput(Instant now) {
    processLoopback(now);
    if (!dirty_ || now < (diskBroken_ ? retrySaveAt_ : now)) return;
    dirty_ = false;
    retrySaveAt_ = Instant::never();
    ++state_.saveCount;
    SaveRequest save{++lastSaveToken_, state_};
    for (const auto& [node, peer] : peers_) {
        if (peer.saveCount > 0) save.state.knownDisks[node] = {peer.diskId, peer.saveCount};
    }
    if (value_) save.state.value = *value_;
    pendingSaves_.push_back({lastSaveToken_, state_, value_});
    outputs_.push_back(std::move(save));
}

void Core::processLoopback(Instant now) {
    while (!loopback_.empty()) {
        const Message m = std::move(loopback_.front());
        loopback_.pop_front();
        dispatch(now, options_.self, m);
    }
    advanceOperations(now);
    if (!loopback_.empty()) processLoopback(now);
}

Message Core::makeMessage(MessageKind kind, uint64_t requestId) const {
    Message m;
    m.kind = kind;
    m.requestId = requestId;
    m.recovering = state_.recovering;
    m.mayVote = options_.mayVote;
    m.leaving = leaving_;
    m.diskBroken = diskBroken_;
    m.syncedValue = syncedHeader();
    m.chosenValue = chosenHeader_;
    m.term = state_.term;
    m.epoch = state_.epoch;
    m.takeoverState = state_.takeoverState;
    m.diskId = state_.diskId;
    m.saveCount = synced_.state.saveCount;
    return m;
}

void Core::send(const NodeId& to, Message m) {
    if (to == options_.self) {
        loopback_.push_back(std::move(m));
    } else {
        outputs_.push_back(SendRequest{to, std::move(m)});
    }
}

void Core::sendToPeers(const Message& m) {
    for (const auto& [node, peer] : peers_) send(node, m);
}

// Nothing that binds this disk is sent before it is synced; otherwise a power loss could revoke a promise.
// With a slow disk this core therefore looks like a silent member.
void Core::sendAfterSync(const NodeId& to, Message m) { sendAfterSave(nextToken(), to, std::move(m)); }

void Core::sendAfterSave(uint64_t token, const NodeId& to, Message m) {
    if (options_.defect == Defect::ackBeforeSync) {
        m.syncedValue = headerOf(value_);
        return send(to, std::move(m));
    }
    if (token <= syncedToken_) return diskBroken_ ? void() : send(to, std::move(m));
    if (!diskBroken_) waitingSends_.emplace_back(token, SendRequest{to, std::move(m)});
}

void Core::flushWaitingSends() {
    std::deque<std::pair<uint64_t, SendRequest>> kept;
    for (auto& [token, s] : waitingSends_) {
        if (token > syncedToken_) {
            kept.emplace_back(token, std::move(s));
            continue;
        }
        s.message.syncedValue = syncedHeader();
        send(s.to, std::move(s.message));
    }
    waitingSends_.swap(kept);
}

void Core::handleSaved(Instant now, uint64_t token) {
    beginInput(now);
    if (token > syncedToken_ && token <= lastSaveToken_) {
        syncedToken_ = token;
        while (!pendingSaves_.empty() && pendingSaves_.front().token <= token) {
            synced_ = std::move(pendingSaves_.front());
            pendingSaves_.pop_front();
        }
        diskBroken_ = false;
        savePause_ = Span::millis(500);
        flushWaitingSends();
    }
    endInput(now);
}

// The disk is full or broken: the messages that wait for it are never sent, and this core neither answers as
// a voter nor stands for election until a complete save has succeeded. The pauses between attempts grow up to
// 8 s.
void Core::handleSaveFailure(Instant now, uint64_t token) {
    beginInput(now);
    if (token > syncedToken_) {
        diskBroken_ = true;
        dirty_ = true;
        waitingSends_.clear();
        candidacy_ = Candidacy::none;
        retrySaveAt_ = now + savePause_ + randomSpan(savePause_ * 0.25);
        savePause_ = std::min(savePause_ * 2, Span::millis(8000));
    }
    endInput(now);
}

std::optional<Output> Core::nextOutput() {
    if (outputs_.empty()) return {};
    std::optional<Output> o(std::move(outputs_.front()));
    outputs_.pop_front();
    return o;
}

std::vector<NodeId> Core::peers() const {
    std::vector<NodeId> nodes;
    for (const auto& [node, peer] : peers_) nodes.push_back(node);
    for (const NodeId& n : options_.seeds) {
        if (n != options_.self && !peers_.count(n)) nodes.push_back(n);
    }
    return nodes;
}

std::shared_ptr<const Value> Core::newestValue() const {
    const ValueHeader onDisk = headerOf(synced_.value);
    return headerOf(value_) == onDisk && onDisk.version > chosenHeader_.version ? value_ : chosen_;
}

void Core::notePeerHeard(Instant now, const NodeId& node) {
    if (node == options_.self || node.empty()) return;
    Peer& peer = peers_[node];
    if (peer.heardAt == Instant::longAgo()) peer.knownSince = now;
    peer.heardAt = now;
}

void Core::sendHello(const NodeId& to, MessageKind kind, uint64_t requestId) {
    Message m = makeMessage(kind, requestId);
    if (const auto it = peers_.find(to); it != peers_.end()) {
        m.knownDiskId = it->second.diskId;
        m.knownSaveCount = it->second.saveCount;
    }
    m.granted = state_.electors.empty() && state_.voters.empty();
    addVotersTo(m);
    m.electors = state_.electors;
    for (const auto& [node, peer] : peers_) {
        if (shouldAnnounce(inputAt_, node, peer)) m.nodes.push_back(node);
    }
    send(to, std::move(m));
}

void Core::handleHello(Instant now, const NodeId& from, const Message& m) {
    Peer& p = peers_[from];
    if (!p.saidHello && state_.voters.empty()) {  // other cores may be starting too: wait for them
        proposeAt_ = std::max(proposeAt_, now + Span::millis(500));
    }
    p.saidHello = true;
    p.knowsNoVoters = m.granted;
    // The pre-vote may have begun before this voter was up: ask it now.
    if (candidacy_ == Candidacy::preVoting && isVoter(from))
        sendAfterSave(termSaveToken_, from, makeVoteRequest());
    if (state_.electors.empty() && !m.electors.empty()) {
        state_.electors = m.electors;
        markDirty();
    }
    for (const NodeId& n : m.nodes) {
        if (n != options_.self && !n.empty() && !peers_.count(n)) {
            peers_[n].knownSince = now;
            helloAt_ = std::min(helloAt_, now);
        }
    }
    if (m.kind == MessageKind::hello) return sendHello(from, MessageKind::helloReply, m.requestId);
    checkForRollback(now, from, m);
    if (m.requestId == 0 || m.requestId != vacancyProbe_) return;
    p.answeredProbe = m.requestId;
    if (lease_.held) replaceAbsentVoter(now);
}

void Core::receive(Instant now, const NodeId& from, const Message& m) {
    beginInput(now);
    if (from != options_.self && !from.empty()) {
        notePeerHeard(now, from);
        dispatch(now, from, m);
    }
    endInput(now);
}

void Core::dispatch(Instant now, const NodeId& from, const Message& m) {
    noteSender(now, from, m);
    if (m.kind != MessageKind::preVoteRequest) highestTerm_ = std::max(highestTerm_, m.term);
    learnVoters(now, m.epoch, m.voters, m.formerVoters, m.joinedDisks);

    learnHeaders(now, from, m);
    if (!isSameEpoch(from, m)) return;
    switch (m.kind) {
        case MessageKind::hello:
        case MessageKind::helloReply:
            return handleHello(now, from, m);
        case MessageKind::heartbeat:
        case MessageKind::heartbeatReply:
        case MessageKind::release:
        case MessageKind::preVoteRequest:
        case MessageKind::preVoteReply:
        case MessageKind::voteRequest:
        case MessageKind::voteReply:
            return handleLeaseMessage(now, from, m);
        case MessageKind::put:
            return handlePut(from, m);
        case MessageKind::get:
            return handleGet(from, m);
        case MessageKind::claim:
            return handleClaim(from, m);
        case MessageKind::registerReply:
        case MessageKind::claimReply:
            return handleRegisterReply(now, from, m);
        case MessageKind::fetch:
            return handleFetch(from, m);
        case MessageKind::value:
            return handleValue(m);
        case MessageKind::committed:
            return;
        case MessageKind::recoverRequest:
        case MessageKind::recoverReply:
            return handleRecoveryMessage(now, from, m);
        case MessageKind::prepare:
        case MessageKind::promise:
        case MessageKind::accept:
        case MessageKind::accepted:
            return handleVotersBallot(now, from, m);
    }
}

void Core::handleLinkLoss(Instant now, const NodeId& peer) {
    beginInput(now);
    // Requests on their way to this voter may be lost: resend soon instead of after the full pause.
    if (isVoter(peer)) {
        for (auto& [requestId, op] : operations_) op.resendAt = std::min(op.resendAt, now + Span::millis(50));
    }
    endInput(now);
}

void Core::tick(Instant now) {
    beginInput(now);
    if (now >= helloAt_) {
        forgetSilentPeers(now);
        const bool needsPeers = state_.voters.empty() || state_.recovering || !rollbackChecked_;
        const bool isHandingOver = leaving_ && selfIsVoter();
        const double pause = isHandingOver           ? kRetryHeartbeats
                             : needsPeers            ? 1
                             : lease_.holder.empty() ? 2
                                                     : 4;
        helloAt_ = now + options_.heartbeatInterval * pause;
        if (isHandingOver) {  // the announcement that we leave may have been lost
            for (const NodeId& n : state_.voters)
                if (n != options_.self) sendHello(n, MessageKind::hello);
        } else if (needsPeers || lease_.holder.empty()) {
            for (const NodeId& n : peers()) sendHello(n, MessageKind::hello);
        } else if (options_.mayVote &&
                   !selfIsVoter()) {  // a standby: every member must know of it, see replaceAbsentVoter()
            for (const NodeId& n : state_.voters) sendHello(n, MessageKind::hello);
        } else if (!peers_.empty() && !lease_.held) {
            // Cores that hear from a holder still exchange a hello with one random peer now and then: the
            // holder may be cut off from the core with the newest value.
            const auto any = static_cast<long>(random_() % peers_.size());
            sendHello(std::next(peers_.begin(), any)->first, MessageKind::hello);
        }
    }
    if (now >= settleReadAt_) {
        settleReadAt_ = Instant::never();
        ValueHeader highest = headerOf(value_);
        for (const auto& [node, p] : peers_) highest = std::max(highest, p.syncedValue);
        if (highest.version > chosenHeader_.version) {
            settleReadAt_ = now + options_.heartbeatInterval * 4 + randomSpan(options_.heartbeatInterval * 4);
            startOperation(now, 0, false, true, nullptr);
        }
    }
    if (now >= recoverAt_) {
        restartBootstrap(now);
        requestRecovery(now);
    }
    if (now >= proposeAt_) proposeVoters(now);
    if (now >= electionAt_) runElection(now);
    if (lease_.held && now >= heartbeatAt_) {
        replaceAbsentVoter(now);
        sendHeartbeats(now);
        if (leaving_ && !pendingChange_ && vacancyProbe_ == 0) releaseLease();
    }
    endInput(now);
}

Instant Core::nextWakeup() const {
    Instant at = std::min({helloAt_, settleReadAt_, recoverAt_, proposeAt_, electionAt_, retrySaveAt_});
    if (lease_.held) at = std::min(at, heartbeatAt_);
    if (!lease_.holder.empty()) at = std::min(at, lease_.validUntil);
    for (const auto& [requestId, op] : operations_) {
        at = std::min(at, op.since + options_.operationTimeout + Span::micros(1));
        if (!state_.voters.empty()) at = std::min(at, std::max(op.resendAt, op.pausedUntil));
    }
    return at;
}

}  // namespace petrelpond::consensus
