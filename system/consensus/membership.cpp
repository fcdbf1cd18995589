// Membership: agreement on the first voters and on every change of the voters.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

// New voters take over the state of the former ones in the same way as a lost disk is rebuilt: a core that
// learns of new voters stops acting as a voter until a majority of the former voters, all of which know of
// the new ones too, has sent it all that they know (hasEnoughRecoverReplies).
//
// Why nothing is lost: whatever was done under the former voters was done by a majority M of them. The
// repliers Q are another majority, so some q is in both; it answered M before it learned of the new voters,
// and so before it replied to us. From then on no majority of the former voters answers under their epoch, so
// nothing more is done there.
//
// Replies count only within one epoch. Each epoch is decided by ballots among the voters of the previous one,
// so an epoch has exactly one set of voters. A core with a lost disk cannot know whether it already took
// part, and takes over only from members of its own set of voters. A joining core may have an empty disk too;
// that its diskId is the one named in the change shows that it never took part.
//
// Drawback: a pause of some round trips and one sync without a majority, and one leaseDuration without a new
// lease.
void Core::learnVoters(Instant now, uint64_t epoch, std::vector<NodeId> voters,
                       std::vector<NodeId> formerVoters, std::vector<std::string> joinedDisks) {
    if (voters.empty() || epoch <= state_.epoch) return;
    const bool wasVoter = state_.epoch + 1 == epoch && selfIsVoter() && !state_.recovering;
    sortUnique(joinedDisks);
    const bool isNamedDisk = contains(joinedDisks, withDiskId(options_.self, state_.diskId));
    const bool isIntact = !state_.recovering || state_.takeoverState > 0 || isNamedDisk;
    sortUnique(voters);
    sortUnique(formerVoters);
    state_.voters = std::move(voters);
    state_.formerVoters = std::move(formerVoters);
    state_.joinedDisks = std::move(joinedDisks);
    state_.epoch = epoch;
    state_.votersBallot = state_.votersAcceptedBallot = 0;  // ballots on the next voters start from 0
    state_.votersAcceptedOffer.clear();
    // Nobody has made a promise before the first voters, so a disk named in them has nothing to recover.
    if (epoch == 1 && isNamedDisk) state_.recovering = false, state_.mayElect = true;
    if (epoch > 1) {
        state_.takeoverState = wasVoter ? 2 : isIntact ? 1 : 0;
        state_.recovering = options_.defect != Defect::skipsTakeover || !isIntact;
        if (options_.defect == Defect::emptyDiskTakesOver)
            state_.takeoverState = std::max<uint8_t>(state_.takeoverState, 1);
        if (isNamedDisk) state_.mayElect = true;
        recoverRequestId_ = 0;
        if (state_.takeoverState > 0) recoverAt_ = now;  // a lost disk still waits for recoveryDelay
        candidacy_ = Candidacy::none;
        ackedHeartbeatAt_.clear();
        sentHeartbeats_.clear();
        // The lease could not be renewed: release it at once so that others may stand.
        if (lease_.held && (!selfIsVoter() || leaving_)) releaseLease();
        if (electionAt_ == Instant::never() && !lease_.held && lease_.holder.empty() && !leaving_)
            electionAt_ = now + options_.leaseDuration;
        for (auto& [requestId, op] : operations_) {  // replies of the former voters no longer count
            beginStep(op, Operation::Step::reading, now);
        }
    }
    for (const auto* all : {&state_.voters, &state_.formerVoters}) {
        for (const NodeId& n : *all) {
            if (n != options_.self) peers_[n];
        }
    }
    ballot_ = 0;
    if (pendingChange_) proposeAt_ = now;
    markDirty();
    for (auto& [requestId, op] : operations_) op.resendAt = Instant::longAgo();
    for (const auto& [node, peer] : peers_) sendHello(node, MessageKind::helloReply);
}

void Core::addVotersTo(Message& m) const {
    m.voters = state_.voters;
    m.formerVoters = state_.formerVoters;
    m.joinedDisks = state_.joinedDisks;
}

// Whether messages that bind a voter may be answered and counted: only between cores of the same epoch. A
// core that is behind is sent the newer voters, or asks for them. Messages of a core that knows no voters yet
// are accepted.
bool Core::isSameEpoch(const NodeId& from, const Message& m) {
    if (m.epoch == state_.epoch || m.epoch == 0 || state_.epoch == 0 ||
        options_.defect == Defect::countsOtherEpochs)
        return true;
    switch (m.kind) {
        case MessageKind::hello:
        case MessageKind::helloReply:
        case MessageKind::release:
        case MessageKind::fetch:
        case MessageKind::value:
        case MessageKind::committed:
            return true;
        default:
            break;
    }
    if (from != options_.self)
        sendHello(from, m.epoch < state_.epoch ? MessageKind::helloReply : MessageKind::hello);
    return false;
}

void Core::proposeVoters(Instant now) {
    if (!state_.voters.empty()) return proposeVotersChange(now);
    proposeAt_ = now + options_.heartbeatInterval * 0.5;
    if (isBallotActive(now)) return resendBallot(now);
    ballot_ = 0;
    if (!isElector()) return;
    size_t heard = 1;
    for (const NodeId& n : state_.electors) {
        const auto it = peers_.find(n);
        heard += it != peers_.end() && now - it->second.heardAt <= options_.heartbeatInterval * 3;
    }
    const bool all = heard == state_.electors.size();
    const bool enough = heard > state_.electors.size() / 2 && now - startedAt_ >= Span::millis(5000);
    if (!all && !enough) return;
    // Random pauses keep proposers from outbidding one another forever.
    if (randomSpan(Span::millis(1000)) < Span::millis(700)) return;
    proposeFirstVoters(now);
}

void Core::proposeFirstVoters(Instant now) {
    std::vector<NodeId> intact, candidates;
    if (options_.mayVote)
        (state_.recovering ? candidates : intact).push_back(withDiskId(options_.self, state_.diskId));
    for (const auto& [node, p] : peers_) {
        if (p.saidHello && p.mayVote)
            (p.recovering ? candidates : intact).push_back(withDiskId(node, p.diskId));
    }
    candidates.insert(candidates.end(), intact.begin(), intact.end());
    // Cores that lost their disk become voters too, unless they are so many that they could not recover.
    // Nobody can recover in a set of fewer than 2 * machineLosses + 1 voters either. Both conditions may be
    // temporary while the voters are permanent, so a smaller set is proposed only after 15 s. Drawback: a
    // system that is set up with fewer cores starts that much later.
    const bool canRecover = intact.size() >= candidates.size() / 2 + 1;
    // With fewer than three seeds, the seeds are all cores there are.
    size_t needed = 2 * static_cast<size_t>(std::max(0, options_.machineLosses)) + 1;
    if (state_.electors.size() < 3) needed = std::min(needed, state_.electors.size());
    const bool isLargeEnough = candidates.size() >= needed;
    if ((!canRecover || !isLargeEnough) && now - startedAt_ < Span::millis(15000)) return;
    offer_ = canRecover ? candidates : intact;
    sortUnique(offer_);
    if (offer_.empty()) return;
    beginBallot(now);
}

void Core::beginBallot(Instant now) {
    const auto& all = acceptors();
    const auto at = std::lower_bound(all.begin(), all.end(), options_.self);
    ballot_ = ((highestBallot_ >> 8) + 1) << 8 | static_cast<uint64_t>(at - all.begin());
    highestBallot_ = ballot_;
    accepting_ = false;
    ballotStartedAt_ = now;
    promises_.clear();
    acceptances_.clear();
    // Saved before it is sent; otherwise a restart could use the same ballot for another offer.
    state_.votersBallot = ballot_;
    markDirty();
    sendBallot(now);
}

bool Core::isBallotActive(Instant now) const {
    return ballot_ != 0 && now - ballotStartedAt_ <= options_.operationTimeout;
}

// Sends the current step of the ballot to all acceptors that have not answered it.
void Core::sendBallot(Instant now) {
    ballotSentAt_ = now;
    Message m = makeMessage(accepting_ ? MessageKind::accept : MessageKind::prepare);
    m.ballot = ballot_;
    if (accepting_) m.nodes = offer_;
    for (const NodeId& n : acceptors()) {
        const bool answered = accepting_ ? acceptances_.count(n) > 0 : promises_.count(n) > 0;
        if (answered) continue;
        accepting_ ? send(n, m) : sendAfterSync(n, m);
    }
}

// Without resending, one lost message delays a change for a whole operationTimeout: a voter that was told to
// leave has not handed over by then, and the next loss takes the majority away (schedule 24544 of
// replacement_test). Repeated messages are harmless: acceptors answer each of them in the same way, and
// replies are counted once per acceptor. Drawback: up to five more messages to each member that does not
// answer.
void Core::resendBallot(Instant now) {
    if (options_.defect == Defect::neverResendsBallots) return;
    if (now - ballotSentAt_ >= options_.heartbeatInterval * kRetryHeartbeats) sendBallot(now);
}

void Core::changeVoters(Instant now, uint64_t ticket, std::vector<NodeId> removed,
                        std::vector<NodeId> added) {
    beginInput(now);
    sortUnique(removed);
    sortUnique(added);
    VotersChange wanted = makeVotersChange(now, removed, added);
    wanted.ticket = ticket;
    const std::string reason = refusalReason(wanted, removed, added);
    if (!isMember()) {
        finishVotersChange(ticket, OperationResult::noMajority);
    } else if (!reason.empty()) {
        finishVotersChange(ticket, OperationResult::refused, reason);
    } else if (wanted.voters == state_.voters) {
        startOperation(now, ticket, true, true, nullptr);  // already in force: done after a read
    } else {
        pendingChange_ = std::move(wanted);
        proposeVotersChange(now);
    }
    endInput(now);
}

Core::VotersChange Core::makeVotersChange(Instant now, const std::vector<NodeId>& removed,
                                          const std::vector<NodeId>& added) const {
    VotersChange change{0, state_.epoch, {}, {}, now};
    for (const NodeId& n : state_.voters) {
        if (contains(removed, n)) continue;
        change.voters.push_back(n);
        change.offer.push_back(n);
    }
    for (const NodeId& n : added) {
        if (contains(change.voters, n)) continue;
        const auto it = peers_.find(n);
        const uint64_t diskId = n == options_.self   ? state_.diskId
                                : it == peers_.end() ? 0
                                                     : it->second.diskId;
        change.voters.push_back(n);
        change.offer.push_back(withDiskId(n, diskId));
    }
    sortUnique(change.voters);
    sortUnique(change.offer);
    return change;
}

// Returns why the change is invalid; empty if it is valid.
std::string Core::refusalReason(const VotersChange& change, const std::vector<NodeId>& removed,
                                const std::vector<NodeId>& added) const {
    if (pendingChange_) return "another change of the voters is in progress";
    const size_t minimum = 2 * static_cast<size_t>(std::max(0, options_.machineLosses)) + 1;
    if (change.voters.size() < std::min(minimum, state_.voters.size())) {
        return std::to_string(change.voters.size()) + " voters do not tolerate the loss of " +
               std::to_string(options_.machineLosses);
    }
    // A repeated request, whose first reply was lost, finds the new voters already in place. Otherwise
    // removing a wrong address is refused, since the change would only add voters.
    const bool alreadyVoters =
        std::all_of(added.begin(), added.end(), [&](const NodeId& n) { return isVoter(n); });
    for (const NodeId& n : removed) {
        if (!alreadyVoters && !isVoter(n)) return n + " is not among the voters";
    }
    for (const NodeId& n : added) {
        if (isVoter(n) && !contains(removed, n)) continue;
        const auto it = peers_.find(n);
        const bool isKnown = it != peers_.end() && it->second.saidHello && it->second.mayVote &&
                             change.since - it->second.heardAt <= options_.heartbeatInterval * 120;
        if (n == options_.self ? !options_.mayVote : !isKnown)
            return n + " is not a known core that may become a voter";
    }
    return {};
}

// Ticket 0 is a replacement begun by this core: no caller waits for its result.
void Core::finishVotersChange(uint64_t ticket, OperationResult::Outcome outcome, std::string reason) {
    if (ticket == 0) return;
    outputs_.push_back(OperationResult{ticket, outcome, nullptr, std::move(reason)});
}

void Core::proposeVotersChange(Instant now) {
    proposeAt_ = Instant::never();
    if (!pendingChange_ && lease_.held && vacancyProbe_ != 0) return replaceAbsentVoter(now);
    if (!pendingChange_) return;
    proposeAt_ = now + options_.heartbeatInterval * kRetryHeartbeats;
    if (state_.epoch > pendingChange_->epoch) {
        const uint64_t ticket = pendingChange_->ticket;
        const bool isOurs =
            state_.epoch == pendingChange_->epoch + 1 && state_.voters == pendingChange_->voters;
        pendingChange_.reset();
        proposeAt_ = Instant::never();
        if (!isOurs)
            return finishVotersChange(ticket, OperationResult::refused, "another change was decided first");
        // Decided, but done only once the new voters answer a read: until then the removed machine is still
        // needed.
        return startOperation(now, ticket, ticket != 0, true, nullptr);
    }
    if (now - pendingChange_->since > options_.operationTimeout * 4) {
        finishVotersChange(pendingChange_->ticket, OperationResult::noMajority);
        pendingChange_.reset();
        if (lease_.held && leaving_) releaseLease();
        return;
    }
    if (!isAcceptor()) return;
    if (isBallotActive(now)) return resendBallot(now);
    if (ballot_ != 0 && randomSpan(Span::millis(1000)) < Span::millis(500)) {
        return;  // keeps two proposers from outbidding each other
    }
    offer_ = pendingChange_->offer;
    beginBallot(now);
}

void Core::handleVotersBallot(Instant now, const NodeId& from, const Message& m) {
    highestBallot_ = std::max(highestBallot_, m.ballot);
    if (m.kind == MessageKind::prepare || m.kind == MessageKind::accept) {
        Message reply = makeMessage(
            m.kind == MessageKind::prepare ? MessageKind::promise : MessageKind::accepted, m.ballot);
        addVotersTo(reply);
        if (m.epoch < state_.epoch) return send(from, std::move(reply));  // already decided
        if (!isAcceptor()) return;
        // The same ballot again comes from the same proposer, whose request or our reply was lost.
        if (m.kind == MessageKind::prepare && m.ballot >= state_.votersBallot) {
            state_.votersBallot = m.ballot;
            reply.granted = true;
            markDirty();
        } else if (m.kind == MessageKind::accept && m.ballot >= state_.votersBallot && !m.nodes.empty()) {
            state_.votersBallot = state_.votersAcceptedBallot = m.ballot;
            state_.votersAcceptedOffer = m.nodes;
            reply.granted = true;
            markDirty();
        }
        reply.ballot = state_.votersBallot;
        reply.acceptedBallot = state_.votersAcceptedBallot;
        reply.nodes = state_.votersAcceptedOffer;
        return sendAfterSync(from, std::move(reply));
    }
    // A ballot is limited in time for the same reason as a write, see recoveryDelay.
    if (m.requestId != ballot_ || !m.granted || !isBallotActive(now)) return;
    if (!isAcceptor() || !contains(acceptors(), from)) return;
    const size_t needed = acceptors().size() / 2 + 1;
    if (m.kind == MessageKind::promise && !accepting_) {
        promises_[from] = m;
        if (promises_.size() < needed) return;
        uint64_t highest = 0;
        for (const auto& [node, p] : promises_) {
            if (p.acceptedBallot > highest) {
                highest = p.acceptedBallot;
                offer_ = p.nodes;
            }
        }
        accepting_ = true;
        sendBallot(now);
    } else if (m.kind == MessageKind::accepted && accepting_) {
        acceptances_.insert(from);
        if (acceptances_.size() < needed) return;
        std::vector<NodeId> voters, joinedDisks;
        for (const NodeId& n : offer_) {
            voters.push_back(n.substr(0, n.find('#')));
            if (voters.back() != n) joinedDisks.push_back(n);
        }
        learnVoters(now, state_.epoch + 1, std::move(voters), state_.voters, std::move(joinedDisks));
    }
}

}  // namespace petrelpond::consensus
