// Who counts towards a majority: the agreement on the first voters, and on each that follows it.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

// A set of voters is taken over from the one before it, as a lost disk is rebuilt: whoever learns of a new
// one takes no part any more until a majority of the former voters, all of whom have heard of the new one
// too, has told it all that it knows (hasEnoughRecoverReplies). Why nothing is lost: what was done under the
// former voters was done by a majority M of it; the tellers Q are another, so some q is in both, and it
// answered M before it heard of the new voters, thus before it told us. From then on no majority of the
// former voters answers under it, so nothing more is done there. Epochs decide who is counted with whom; each
// is decided by ballots among the members of the one before, hence there is one set of voters an epoch. Whose
// disk was lost can't know whether it took part already, and takes over from the members of its own voters
// alone. Who comes may have an empty disk too; that it is the very disk that was meant (its birth) shows that
// it never took part. It harms by a pause of some round trips and one sync in which there is no majority, and
// by one leaseDuration without a new duty.
void Core::learnVoters(Instant now, uint64_t epoch, std::vector<NodeId> voters,
                       std::vector<NodeId> formerVoters, std::vector<std::string> joinedDisks) {
    if (voters.empty() || epoch <= state_.epoch) return;
    const bool tookPart = state_.epoch + 1 == epoch && selfIsVoter() && !state_.recovering;
    sortUnique(joinedDisks);
    const bool meant = contains(joinedDisks, withDiskId(options_.self, state_.diskId));
    const bool whole = !state_.recovering || state_.takeoverState > 0 || meant;
    sortUnique(voters);
    sortUnique(formerVoters);
    state_.voters = std::move(voters);
    state_.formerVoters = std::move(formerVoters);
    state_.joinedDisks = std::move(joinedDisks);
    state_.epoch = epoch;
    state_.votersBallot = state_.votersAcceptedBallot =
        0;  // of the ballots on these voters; those on the next begin anew
    state_.votersAcceptedOffer.clear();
    // Of the first voters nobody has had a promise before, so a disk that was meant has none to rebuild.
    if (epoch == 1 && meant) state_.recovering = false, state_.mayElect = true;
    if (epoch > 1) {
        state_.takeoverState = tookPart ? 2 : whole ? 1 : 0;
        state_.recovering = options_.defect != Defect::skipsTakeover || !whole;
        if (options_.defect == Defect::emptyDiskTakesOver)
            state_.takeoverState = std::max<uint8_t>(state_.takeoverState, 1);
        if (meant) state_.mayElect = true;
        recoverRequestId_ = 0;
        if (state_.takeoverState > 0) recoverAt_ = now;  // a lost disk still has its wait
        candidacy_ = Candidacy::none;
        ackedHeartbeatAt_.clear();
        sentHeartbeats_.clear();
        // It could not be renewed: given up at once, so that others may stand.
        if (lease_.held && (!selfIsVoter() || leaving_)) releaseLease();
        if (electionAt_ == Instant::never() && !lease_.held && lease_.holder.empty() && !leaving_)
            electionAt_ = now + options_.leaseDuration;
        for (auto& [requestId, op] : operations_) {  // what members of the former voters said counts no more
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

// Whether what binds a member of a set of voters may be answered and counted: only between cores that are on
// the same one. Whoever is behind is told of the newer voters, or asks for it. One that knows none yet is
// heard as before.
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
    // Against proposers that outbid one another for ever: each waits for a while of its own before it tries.
    if (randomSpan(Span::millis(1000)) < Span::millis(700)) return;
    proposeFirstVoters(now);
}

void Core::proposeFirstVoters(Instant now) {
    std::vector<NodeId> fit, all;
    if (options_.mayVote) (state_.recovering ? all : fit).push_back(withDiskId(options_.self, state_.diskId));
    for (const auto& [node, p] : peers_) {
        if (p.saidHello && p.mayVote) (p.recovering ? all : fit).push_back(withDiskId(node, p.diskId));
    }
    all.insert(all.end(), fit.begin(), fit.end());
    // Those who lost their disk belong among the voters too, unless they are so many that they could not
    // recover. Nor can anybody recover on a set of voters of less than 2 losses + 1. Both may pass, and a set
    // of voters is for ever: the few are proposed only after a long while. It harms where fewer cores were
    // set up than that.
    const bool able = fit.size() >= all.size() / 2 + 1;
    // With fewer than three seeds there are no more cores than those.
    size_t needed = 2 * static_cast<size_t>(std::max(0, options_.machineLosses)) + 1;
    if (state_.electors.size() < 3) needed = std::min(needed, state_.electors.size());
    const bool large = all.size() >= needed;
    if ((!able || !large) && now - startedAt_ < Span::millis(15000)) return;
    offer_ = able ? all : fit;
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
    // Saved before it is told: against a restart that would use the same number for another offer.
    state_.votersBallot = ballot_;
    markDirty();
    sendBallot(now);
}

bool Core::isBallotActive(Instant now) const {
    return ballot_ != 0 && now - ballotStartedAt_ <= options_.operationTimeout;
}

// To all that have not answered this step of the ballot.
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

// Against a single lost message that holds up a change for a whole operationTimeout: a member that was told
// to leave has not handed over by then, and the next loss takes the majority away (schedule 24544 of
// replacement_test). Repeated messages do no harm: acceptors answer each alike, and answers are counted once
// for each acceptor. It harms by up to five more messages to each member that does not answer.
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
        startOperation(now, ticket, true, true, nullptr);  // it is in force; done once it answers
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

// Why a change can't be; empty: it can.
std::string Core::refusalReason(const VotersChange& change, const std::vector<NodeId>& removed,
                                const std::vector<NodeId>& added) const {
    if (pendingChange_) return "another change is under way";
    const size_t least = 2 * static_cast<size_t>(std::max(0, options_.machineLosses)) + 1;
    if (change.voters.size() < std::min(least, state_.voters.size())) {
        return std::to_string(change.voters.size()) + " voters do not bear the loss of " +
               std::to_string(options_.machineLosses);
    }
    // Said again after an answer that was lost, it finds all done; else a wrong address would only add to the
    // voters.
    const bool there = std::all_of(added.begin(), added.end(), [&](const NodeId& n) { return isVoter(n); });
    for (const NodeId& n : removed) {
        if (!there && !isVoter(n)) return n + " is not among the voters";
    }
    for (const NodeId& n : added) {
        if (isVoter(n) && !contains(removed, n)) continue;
        const auto it = peers_.find(n);
        const bool here = it != peers_.end() && it->second.saidHello && it->second.mayVote &&
                          change.since - it->second.heardAt <= options_.heartbeatInterval * 120;
        if (n == options_.self ? !options_.mayVote : !here)
            return n + " is not heard of as a core whose disk may count";
    }
    return {};
}

// Ticket 0 is a replacement that was begun here: nobody waits for its answer.
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
        const bool ours =
            state_.epoch == pendingChange_->epoch + 1 && state_.voters == pendingChange_->voters;
        pendingChange_.reset();
        proposeAt_ = Instant::never();
        if (!ours)
            return finishVotersChange(ticket, OperationResult::refused, "another change was decided first");
        // Decided; done once the new voters answer: till then the machine that leaves is still needed.
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
        return;  // against two that outbid each other
    }
    offer_ = pendingChange_->offer;
    beginBallot(now);
}

void Core::handleVotersBallot(Instant now, const NodeId& from, const Message& m) {
    highestBallot_ = std::max(highestBallot_, m.ballot);
    if (m.kind == MessageKind::prepare || m.kind == MessageKind::accept) {
        Message back = makeMessage(
            m.kind == MessageKind::prepare ? MessageKind::promise : MessageKind::accepted, m.ballot);
        addVotersTo(back);
        if (m.epoch < state_.epoch) return send(from, std::move(back));  // decided
        if (!isAcceptor()) return;
        // The same number again comes from the same proposer, whose question or our answer was lost.
        if (m.kind == MessageKind::prepare && m.ballot >= state_.votersBallot) {
            state_.votersBallot = m.ballot;
            back.granted = true;
            markDirty();
        } else if (m.kind == MessageKind::accept && m.ballot >= state_.votersBallot && !m.nodes.empty()) {
            state_.votersBallot = state_.votersAcceptedBallot = m.ballot;
            state_.votersAcceptedOffer = m.nodes;
            back.granted = true;
            markDirty();
        }
        back.ballot = state_.votersBallot;
        back.acceptedBallot = state_.votersAcceptedBallot;
        back.nodes = state_.votersAcceptedOffer;
        return sendAfterSync(from, std::move(back));
    }
    // The ballot's time is bounded for the same reason as that of a write.
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
