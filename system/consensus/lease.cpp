// The lease: elections, terms and heartbeats.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

// At most one core holds the lease at any instant. To hold it a core needs replies of a majority to messages
// that it sent less than leaseDuration ago, and a voter that replied votes for nobody else until
// leaseDuration plus one sixteenth has passed. So the majority that elects a new holder contains, for each
// earlier holder, a voter whose promise to it had expired.
//
// A voter follows a heartbeat of a higher term at once: its sender was elected by such a majority, and the
// earlier holder, which that majority has refused since, no longer holds the lease. After a restart a voter
// knows to whom it gave its last promise but not when it expires, so it votes for no other candidate for a
// whole promise duration. It may always vote for the node that it has promised to, since a core's own earlier
// lease does not conflict with a new one. Remembering one promise is enough: earlier ones had expired when
// the last one was given, or their holder had been refused by the majority that elected the last one.

bool Core::wouldVote(Instant now, const NodeId& candidate) const {
    return isMember() &&
           (now >= leasePromisedUntil_ || (candidate == leasePromisedTo_ && !candidate.empty()));
}

void Core::setLease(bool held, uint64_t term, const NodeId& holder, Instant until) {
    const bool changed = held != lease_.held || term != lease_.term || holder != lease_.holder;
    if (lease_.held && !held) {
        heartbeatAt_ = Instant::never();
        sentHeartbeats_.clear();
        ackedHeartbeatAt_.clear();
        newestHeartbeatReplies_.clear();
    }
    lease_ = {held, term, holder, until};
    if (changed) outputs_.push_back(lease_);
}

void Core::runElection(Instant now) {
    electionAt_ = Instant::never();
    if (candidacy_ != Candidacy::none) {  // no majority in time
        candidacy_ = Candidacy::none;
        electionAt_ = now + Span::millis(150) + randomSpan(options_.leaseDuration * 0.5);
        return;
    }
    if (leaving_ || lease_.held) return;
    if (!isMember()) {
        electionAt_ = now + options_.leaseDuration;
        return;
    }
    if (!lease_.holder.empty()) return;  // beginInput() schedules an election when it expires
    if (!wouldVote(now, options_.self)) {
        electionAt_ = leasePromisedUntil_ + randomSpan(options_.leaseDuration * 0.25);
        return;
    }
    // Pre-vote: otherwise a core that few others hear would raise its term and depose the active holder once
    // it is heard again.
    requestVotes(now, Candidacy::preVoting);
}

void Core::requestVotes(Instant now, Candidacy candidacy) {
    candidacy_ = candidacy;
    voteRequestId_ = ++lastRequestId_;
    candidacyStartedAt_ = now;
    candidateTerm_ = std::max(state_.term, highestTerm_) + 1;
    if (options_.defect == Defect::reusesTerm) candidateTerm_ = std::max<uint64_t>(candidateTerm_ - 1, 1);
    electionAt_ = now + electionTimeout(options_);
    votes_.clear();
    if (candidacy == Candidacy::voting) {
        // Saved before it is sent; otherwise the same term could be won a second time after a restart.
        state_.term = candidateTerm_;
        state_.votedFor = options_.self;
        markDirty();
        termSaveToken_ = nextToken();
    }
    const Message m = makeVoteRequest();
    for (const NodeId& n : state_.voters) sendAfterSave(termSaveToken_, n, m);
}

Message Core::makeVoteRequest() const {
    Message m = makeMessage(
        candidacy_ == Candidacy::preVoting ? MessageKind::preVoteRequest : MessageKind::voteRequest,
        voteRequestId_);
    m.term = candidateTerm_;
    return m;
}

// Messages about the promise wait for termSaveToken_, when its receiver is on disk.
void Core::promiseLease(Instant now, const NodeId& to, uint64_t term) {
    const bool stale = options_.defect == Defect::stalePromise && !state_.leasePromisedTo.empty();
    if (state_.leasePromisedTo != to && !stale) {
        state_.leasePromisedTo = to;
        markDirty();
        termSaveToken_ = nextToken();
    }
    leasePromisedTo_ = to;
    leasePromiseTerm_ = term;
    leasePromisedUntil_ = std::max(leasePromisedUntil_, now + promiseDuration());
}

void Core::sendHeartbeats(Instant now) {
    heartbeatAt_ = now + options_.heartbeatInterval;
    const uint64_t requestId = ++lastRequestId_;
    while (!sentHeartbeats_.empty() && now - sentHeartbeats_.begin()->second > options_.leaseDuration) {
        sentHeartbeats_.erase(sentHeartbeats_.begin());
    }
    sentHeartbeats_[requestId] = now;
    Message m = makeMessage(MessageKind::heartbeat, requestId);
    m.term = lease_.term;
    for (const auto& [node, peer] : peers_) {
        const auto echo = newestHeartbeatReplies_.find(node);
        m.echoedHeartbeatId = echo == newestHeartbeatReplies_.end() ? 0 : echo->second;
        send(node, m);
    }
    m.echoedHeartbeatId = 0;
    send(options_.self, std::move(m));
}

bool Core::isInContact(Instant now) const {
    if (lease_.held) return now < lease_.validUntil;
    return isMember() && now - contactAt_ <= options_.contactTimeout;
}

bool Core::isCutOff(Instant now) const {
    if (state_.voters.empty() || now - startedAt_ <= options_.absenceTimeout) return false;
    const auto heard = std::count_if(state_.voters.begin(), state_.voters.end(), [&](const NodeId& n) {
        return n == options_.self || isReachable(now, n);
    });
    return static_cast<size_t>(heard) < majority();
}

// Contact needs the echo of our own reply: for a core that hears the holder but is not heard, every heartbeat
// would otherwise count as contact. The holder sends no heartbeats after its lease has expired, so when we
// sent the echoed reply it was in contact with a majority.
void Core::noteEchoedHeartbeat(Instant now, uint64_t echo) {
    if (options_.defect == Defect::countsEveryHeartbeatAsContact) contactAt_ = now;
    const auto answered = answeredHeartbeats_.find(echo);
    if (answered == answeredHeartbeats_.end()) return;
    const bool fromHearing = options_.defect == Defect::contactFromReceipt;
    contactAt_ = std::max(contactAt_, fromHearing ? now : answered->second);
    answeredHeartbeats_.erase(answeredHeartbeats_.begin(), std::next(answered));
}

void Core::renewLease(Instant now) {
    std::vector<Instant> sent;
    for (const NodeId& n : state_.voters) {
        const auto it = ackedHeartbeatAt_.find(n);
        if (it != ackedHeartbeatAt_.end()) sent.push_back(it->second);
    }
    if (sent.size() < majority()) return;
    std::sort(sent.rbegin(), sent.rend());
    const Instant until = sent[majority() - 1] + options_.leaseDuration;
    if (until > now) lease_.validUntil = std::max(lease_.validUntil, until);
}

void Core::handleLeaseMessage(Instant now, const NodeId& from, const Message& m) {
    switch (m.kind) {
        case MessageKind::heartbeat: {
            const bool fromSelf = from == options_.self;
            if (fromSelf && !lease_.held) return;
            Message reply = makeMessage(MessageKind::heartbeatReply, m.requestId);
            if (m.term < state_.term) {  // we voted in a later term: the holder must be elected again
                if (isMember()) sendAfterSave(termSaveToken_, from, std::move(reply));
                return;
            }
            if (!fromSelf && m.term >= lease_.term) {
                if (lease_.held) candidacy_ = Candidacy::none;
                setLease(false, m.term, from, now + options_.leaseDuration);
            }
            if (!isMember()) return;
            if (m.term > state_.term) {
                state_.term = m.term;
                state_.votedFor = kNoCandidate;
                markDirty();
                termSaveToken_ = nextToken();
            }
            promiseLease(now, from, m.term);
            reply.granted = true;
            reply.term = m.term;
            noteEchoedHeartbeat(now, m.echoedHeartbeatId);
            answeredHeartbeats_[m.requestId] = now;
            std::erase_if(answeredHeartbeats_,
                          [&](const auto& one) { return now - one.second > options_.contactTimeout; });
            return sendAfterSave(termSaveToken_, from, std::move(reply));
        }
        case MessageKind::heartbeatReply: {
            if (!lease_.held || !isVoter(from)) return;
            if (!m.granted) {
                // The lease stays valid until it expires; renew it under a higher term as soon as a majority
                // agrees.
                if (m.term > lease_.term && candidacy_ == Candidacy::none && isMember() && !leaving_)
                    requestVotes(now, Candidacy::voting);
                return;
            }
            const auto it = sentHeartbeats_.find(m.requestId);
            if (it == sentHeartbeats_.end() || m.term != lease_.term) return;
            newestHeartbeatReplies_[from] = std::max(newestHeartbeatReplies_[from], m.requestId);
            const Instant since = options_.defect == Defect::leaseFromReply ? now : it->second;
            auto [at, inserted] = ackedHeartbeatAt_.emplace(from, since);
            if (!inserted) at->second = std::max(at->second, since);
            return renewLease(now);
        }
        case MessageKind::release:
            if (leasePromisedTo_ == from && leasePromiseTerm_ == m.term) {
                leasePromisedTo_.clear();
                leasePromisedUntil_ = now;
            }
            if (!lease_.held && lease_.holder == from && lease_.term == m.term) {
                setLease(false, lease_.term, {}, Instant::longAgo());
                electionAt_ = std::max(now, leasePromisedUntil_) + randomSpan(options_.heartbeatInterval);
            }
            return;
        case MessageKind::preVoteRequest:
        case MessageKind::voteRequest: {
            const bool probe = m.kind == MessageKind::preVoteRequest;
            if (!isMember()) return;
            Message reply =
                makeMessage(probe ? MessageKind::preVoteReply : MessageKind::voteReply, m.requestId);
            const bool termUnused = m.term > state_.term ||
                                    (m.term == state_.term && state_.votedFor == from) ||
                                    (m.term == state_.term && options_.defect == Defect::reusesTerm);
            reply.granted = termUnused && wouldVote(now, from);
            if (reply.granted && !probe) {
                state_.term = m.term;
                state_.votedFor = from;
                markDirty();
                termSaveToken_ = nextToken();
                promiseLease(now, from, m.term);
                reply.term = m.term;
            }
            return sendAfterSave(termSaveToken_, from, std::move(reply));
        }
        case MessageKind::preVoteReply:
        case MessageKind::voteReply: {
            const Candidacy candidacy =
                m.kind == MessageKind::voteReply ? Candidacy::voting : Candidacy::preVoting;
            if (candidacy_ != candidacy || m.requestId != voteRequestId_ || !m.granted || !isVoter(from))
                return;
            if (now - candidacyStartedAt_ > electionTimeout(options_) || leaving_) return;
            votes_.insert(from);
            if (votes_.size() < majority()) return;
            if (candidacy == Candidacy::preVoting) return requestVotes(now, Candidacy::voting);
            candidacy_ = Candidacy::none;
            electionAt_ = Instant::never();
            ackedHeartbeatAt_.clear();
            sentHeartbeats_.clear();
            for (const NodeId& n : votes_) ackedHeartbeatAt_[n] = candidacyStartedAt_;
            setLease(true, candidateTerm_, options_.self, candidacyStartedAt_ + options_.leaseDuration);
            return sendHeartbeats(now);
        }
        default:
            return;
    }
}

void Core::releaseLease() {
    Message m = makeMessage(MessageKind::release);
    m.term = lease_.term;
    setLease(false, lease_.term, {}, Instant::longAgo());
    sendToPeers(m);
}

void Core::beginLeave(Instant now) {
    beginInput(now);
    if (!leaving_) chosenAtLeave_ = chosenHeader_;
    leaving_ = true;
    candidacy_ = Candidacy::none;
    electionAt_ = Instant::never();
    // The holder replaces itself as a voter before it releases the lease; another core would first have to
    // win the lease. It releases the lease when it learns of the new voters.
    if (lease_.held) replaceAbsentVoter(now);
    if (lease_.held && !pendingChange_ && vacancyProbe_ == 0) releaseLease();
    for (const auto& [node, peer] : peers_) sendHello(node, MessageKind::hello);  // announces that we leave
    endInput(now);
}

}  // namespace petrelpond::consensus
