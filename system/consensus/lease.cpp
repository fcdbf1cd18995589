// The lease of the one duty: ballots, terms, heartbeats.
#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {

//
// At most one core holds at any instant: to hold needs a majority that answered something sent less than
// `leaseDuration` ago, and whoever answered votes for nobody else within a sixteenth more than
// `leaseDuration` of answering. So whoever is voted in by a majority knows one voter whose promise to each
// earlier holder had run out. A voter follows a beat of a higher term at once: its sender was voted in by
// such a majority, and the earlier holder, refused by it since, holds no more. After a restart it is known to
// whom the promise was given last, not until when: so no vote for another within that time. That one gets it
// at once, as each may always vote for whom it has promised to: a core's lease of an earlier life or ballot
// harms none of its own. One promise is enough to know: the ones before were over as the last was given, or
// their holder had been refused by a majority that voted in the last one.

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
    if (!lease_.holder.empty()) return;  // when it lapses, enter() sets the next
    if (!wouldVote(now, options_.self)) {
        electionAt_ = leasePromisedUntil_ + randomSpan(options_.leaseDuration * 0.25);
        return;
    }
    // First only asked whether they would: against a core that nobody hears, or only few, and that would
    // drive the term up and so put down the living holder once it is heard again.
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
        // Saved before it is told: against a restart after which the same term would be won a second time.
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

// What is told of it waits for termSaveToken_: then it is on disk to whom.
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

// Against a core that hears the holder and is not heard: every heartbeat would look like contact. The holder
// sends none once its lease is over, so at the instant of our answer that it has it stood in contact with a
// majority.
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
            const bool own = from == options_.self;
            if (own && !lease_.held) return;
            Message back = makeMessage(MessageKind::heartbeatReply, m.requestId);
            if (m.term < state_.term) {  // a vote went to a later term: tell the holder, it must catch up
                if (isMember()) sendAfterSave(termSaveToken_, from, std::move(back));
                return;
            }
            if (!own && m.term >= lease_.term) {
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
            back.granted = true;
            back.term = m.term;
            noteEchoedHeartbeat(now, m.echoedHeartbeatId);
            answeredHeartbeats_[m.requestId] = now;
            std::erase_if(answeredHeartbeats_,
                          [&](const auto& one) { return now - one.second > options_.contactTimeout; });
            return sendAfterSave(termSaveToken_, from, std::move(back));
        }
        case MessageKind::heartbeatReply: {
            if (!lease_.held || !isVoter(from)) return;
            if (!m.granted) {
                // Held on until it lapses, but under a higher number as soon as a majority agrees.
                if (m.term > lease_.term && candidacy_ == Candidacy::none && isMember() && !leaving_)
                    requestVotes(now, Candidacy::voting);
                return;
            }
            const auto it = sentHeartbeats_.find(m.requestId);
            if (it == sentHeartbeats_.end() || m.term != lease_.term) return;
            newestHeartbeatReplies_[from] = std::max(newestHeartbeatReplies_[from], m.requestId);
            const Instant since = options_.defect == Defect::leaseFromReply ? now : it->second;
            auto [at, fresh] = ackedHeartbeatAt_.emplace(from, since);
            if (!fresh) at->second = std::max(at->second, since);
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
            Message back =
                makeMessage(probe ? MessageKind::preVoteReply : MessageKind::voteReply, m.requestId);
            const bool free = m.term > state_.term || (m.term == state_.term && state_.votedFor == from) ||
                              (m.term == state_.term && options_.defect == Defect::reusesTerm);
            back.granted = free && wouldVote(now, from);
            if (back.granted && !probe) {
                state_.term = m.term;
                state_.votedFor = from;
                markDirty();
                termSaveToken_ = nextToken();
                promiseLease(now, from, m.term);
                back.term = m.term;
            }
            return sendAfterSave(termSaveToken_, from, std::move(back));
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
    // The holder gives its own place away before it gives up the lease: another would first have to win it.
    // It then gives it up as it learns of the new voters.
    if (lease_.held) replaceAbsentVoter(now);
    if (lease_.held && !pendingChange_ && vacancyProbe_ == 0) releaseLease();
    for (const auto& [node, peer] : peers_) sendHello(node, MessageKind::hello);  // that our place is free
    endInput(now);
}

}  // namespace petrelpond::consensus
