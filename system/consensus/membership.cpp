// Who counts towards a majority: the agreement on the first voters, and on each that follows it.
#include "system/consensus/core_parts.hpp"

namespace petrelpond::consensus {

// A set of voters is taken over from the one before it, as a lost disk is rebuilt: whoever learns of a new
// one takes no part any more until a majority of the former voters, all of whom have heard of the new one
// too, has told it all that it knows (toldEnough). Why nothing is lost: what was done under the former voters
// was done by a majority M of it; the tellers Q are another, so some q is in both, and it answered M before
// it heard of the new voters, thus before it told us. From then on no majority of the former voters answers
// under it, so nothing more is done there. Epochs decide who is counted with whom; each is decided by ballots
// among the members of the one before, hence there is one set of voters an epoch. Whose disk was lost can't
// know whether it took part already, and takes over from the members of its own voters alone. Who comes may
// have an empty disk too; that it is the very disk that was meant (its birth) shows that it never took part.
// It harms by a pause of some round trips and one sync in which there is no majority, and by one leaseTime
// without a new duty.
void Core::learnVoters(Instant now, uint64_t epoch, std::vector<NodeId> voters, std::vector<NodeId> former,
                       std::vector<std::string> joined) {
    if (voters.empty() || epoch <= mem_.epoch) return;
    const bool tookPart = mem_.epoch + 1 == epoch && selfIsVoter() && !mem_.recovering;
    sortUnique(joined);
    const bool meant = contains(joined, born(o_.self, mem_.birth));
    const bool whole = !mem_.recovering || mem_.entering > 0 || meant;
    sortUnique(voters);
    sortUnique(former);
    mem_.voters = std::move(voters);
    mem_.former = std::move(former);
    mem_.joined = std::move(joined);
    mem_.epoch = epoch;
    mem_.votersBallot = mem_.votersAccepted =
        0;  // of the ballots on these voters; those on the next begin anew
    mem_.votersOffer.clear();
    // Of the first voters nobody has had a promise before, so a disk that was meant has none to rebuild.
    if (epoch == 1 && meant) mem_.recovering = false, mem_.elects = true;
    if (epoch > 1) {
        mem_.entering = tookPart ? 2 : whole ? 1 : 0;
        mem_.recovering = o_.defect != Defect::hastyEntry || !whole;
        if (o_.defect == Defect::emptyEnters) mem_.entering = std::max<uint8_t>(mem_.entering, 1);
        if (meant) mem_.elects = true;
        recoverNumber_ = 0;
        if (mem_.entering > 0) recoverAt_ = now;  // a lost disk still has its wait
        standing_ = Stand::no;
        ackedAt_.clear();
        beatsSent_.clear();
        // It could not be renewed: given up at once, so that others may stand.
        if (duty_.held && (!selfIsVoter() || released_)) giveUpLease();
        if (standAt_ == Instant::never() && !duty_.held && duty_.holder.empty() && !released_)
            standAt_ = now + o_.leaseTime;
        for (auto& [number, op] : ops_) {  // what members of the former voters said counts no more
            beginStep(op, Op::Step::asking, now);
        }
    }
    for (const auto* all : {&mem_.voters, &mem_.former}) {
        for (const NodeId& n : *all) {
            if (n != o_.self) peers_[n];
        }
    }
    round_ = 0;
    if (change_) proposeAt_ = now;
    touch();
    for (auto& [number, op] : ops_) op.resendAt = Instant::longAgo();
    for (const auto& [node, peer] : peers_) sayHello(node, Kind::helloBack);
}

void Core::withVoters(Message& m) const {
    m.voters = mem_.voters;
    m.former = mem_.former;
    m.joined = mem_.joined;
}

// Whether what binds a member of a set of voters may be answered and counted: only between cores that are on
// the same one. Whoever is behind is told of the newer voters, or asks for it. One that knows none yet is
// heard as before.
bool Core::ofOurEpoch(const NodeId& from, const Message& m) {
    if (m.epoch == mem_.epoch || m.epoch == 0 || mem_.epoch == 0 || o_.defect == Defect::mixedEpochs)
        return true;
    switch (m.kind) {
        case Kind::hello:
        case Kind::helloBack:
        case Kind::release:
        case Kind::fetch:
        case Kind::value:
        case Kind::committed:
            return true;
        default:
            break;
    }
    if (from != o_.self) sayHello(from, m.epoch < mem_.epoch ? Kind::helloBack : Kind::hello);
    return false;
}

void Core::propose(Instant now) {
    if (!mem_.voters.empty()) return proposeChange(now);
    proposeAt_ = now + o_.beat * 0.5;
    if (ballotUnderWay(now)) return resendBallot(now);
    round_ = 0;
    if (!isElector()) return;
    size_t heard = 1;
    for (const NodeId& n : mem_.electors) {
        const auto it = peers_.find(n);
        heard += it != peers_.end() && now - it->second.heardAt <= o_.beat * 3;
    }
    const bool all = heard == mem_.electors.size();
    const bool enough = heard > mem_.electors.size() / 2 && now - startedAt_ >= Span::millis(5000);
    if (!all && !enough) return;
    // Against proposers that outbid one another for ever: each waits for a while of its own before it tries.
    if (random(Span::millis(1000)) < Span::millis(700)) return;
    startBallot(now);
}

void Core::startBallot(Instant now) {
    std::vector<NodeId> fit, all;
    if (o_.counted) (mem_.recovering ? all : fit).push_back(born(o_.self, mem_.birth));
    for (const auto& [node, p] : peers_) {
        if (p.said && p.counted) (p.recovering ? all : fit).push_back(born(node, p.birth));
    }
    all.insert(all.end(), fit.begin(), fit.end());
    // Those who lost their disk belong among the voters too, unless they are so many that they could not
    // recover. Nor can anybody recover on a set of voters of less than 2 losses + 1. Both may pass, and a set
    // of voters is for ever: the few are proposed only after a long while. It harms where fewer cores were
    // set up than that.
    const bool able = fit.size() >= all.size() / 2 + 1;
    // With fewer than three seeds there are no more cores than those.
    size_t needed = 2 * static_cast<size_t>(std::max(0, o_.machineLosses)) + 1;
    if (mem_.electors.size() < 3) needed = std::min(needed, mem_.electors.size());
    const bool large = all.size() >= needed;
    if ((!able || !large) && now - startedAt_ < Span::millis(15000)) return;
    offer_ = able ? all : fit;
    sortUnique(offer_);
    if (offer_.empty()) return;
    prepareBallot(now);
}

void Core::prepareBallot(Instant now) {
    const auto& all = acceptors();
    const auto at = std::lower_bound(all.begin(), all.end(), o_.self);
    round_ = ((highestBallot_ >> 8) + 1) << 8 | static_cast<uint64_t>(at - all.begin());
    highestBallot_ = round_;
    accepting_ = false;
    ballotSince_ = now;
    promises_.clear();
    acceptances_.clear();
    // Saved before it is told: against a restart that would use the same number for another offer.
    mem_.votersBallot = round_;
    touch();
    sendBallot(now);
}

bool Core::ballotUnderWay(Instant now) const {
    return round_ != 0 && now - ballotSince_ <= o_.operationTimeout;
}

// To all that have not answered this step of the ballot.
void Core::sendBallot(Instant now) {
    ballotSentAt_ = now;
    Message m = make(accepting_ ? Kind::accept : Kind::prepare);
    m.ballot = round_;
    if (accepting_) m.nodes = offer_;
    for (const NodeId& n : acceptors()) {
        const bool answered = accepting_ ? acceptances_.count(n) > 0 : promises_.count(n) > 0;
        if (answered) continue;
        accepting_ ? send(n, m) : sendSynced(n, m);
    }
}

// Against a single lost message that holds up a change for a whole operationTimeout: a member that was told
// to leave has not handed over by then, and the next loss takes the majority away (schedule 24544 of
// replacement_test). Repeated messages do no harm: acceptors answer each alike, and answers are counted once
// for each acceptor. It harms by up to five more messages to each member that does not answer.
void Core::resendBallot(Instant now) {
    if (o_.defect == Defect::ballotSentOnce) return;
    if (now - ballotSentAt_ >= o_.beat * kRetryAfter) sendBallot(now);
}

void Core::change(Instant now, uint64_t ticket, std::vector<NodeId> gone, std::vector<NodeId> come) {
    enter(now);
    sortUnique(gone);
    sortUnique(come);
    Change wanted = changeOf(now, gone, come);
    wanted.ticket = ticket;
    const std::string why = refusal(wanted, gone, come);
    if (!isMember()) {
        answerChange(ticket, Answer::noMajority);
    } else if (!why.empty()) {
        answerChange(ticket, Answer::refused, why);
    } else if (wanted.voters == mem_.voters) {
        newOp(now, ticket, true, true, nullptr);  // it is in force; done once it answers
    } else {
        change_ = std::move(wanted);
        proposeChange(now);
    }
    leave(now);
}

Core::Change Core::changeOf(Instant now, const std::vector<NodeId>& gone,
                            const std::vector<NodeId>& come) const {
    Change change{0, mem_.epoch, {}, {}, now};
    for (const NodeId& n : mem_.voters) {
        if (contains(gone, n)) continue;
        change.voters.push_back(n);
        change.offer.push_back(n);
    }
    for (const NodeId& n : come) {
        if (contains(change.voters, n)) continue;
        const auto it = peers_.find(n);
        const uint64_t birth = n == o_.self ? mem_.birth : it == peers_.end() ? 0 : it->second.birth;
        change.voters.push_back(n);
        change.offer.push_back(born(n, birth));
    }
    sortUnique(change.voters);
    sortUnique(change.offer);
    return change;
}

// Why a change can't be; empty: it can.
std::string Core::refusal(const Change& change, const std::vector<NodeId>& gone,
                          const std::vector<NodeId>& come) const {
    if (change_) return "another change is under way";
    const size_t least = 2 * static_cast<size_t>(std::max(0, o_.machineLosses)) + 1;
    if (change.voters.size() < std::min(least, mem_.voters.size())) {
        return std::to_string(change.voters.size()) + " voters do not bear the loss of " +
               std::to_string(o_.machineLosses);
    }
    // Said again after an answer that was lost, it finds all done; else a wrong address would only add to the
    // voters.
    const bool there = std::all_of(come.begin(), come.end(), [&](const NodeId& n) { return isVoter(n); });
    for (const NodeId& n : gone) {
        if (!there && !isVoter(n)) return n + " is not among the voters";
    }
    for (const NodeId& n : come) {
        if (isVoter(n) && !contains(gone, n)) continue;
        const auto it = peers_.find(n);
        const bool here = it != peers_.end() && it->second.said && it->second.counted &&
                          change.since - it->second.heardAt <= o_.beat * 120;
        if (n == o_.self ? !o_.counted : !here) return n + " is not heard of as a core whose disk may count";
    }
    return {};
}

// Ticket 0 is a replacement that was begun here: nobody waits for its answer.
void Core::answerChange(uint64_t ticket, Answer::How how, std::string why) {
    if (ticket == 0) return;
    out_.push_back(Answer{ticket, how, nullptr, std::move(why)});
}

void Core::proposeChange(Instant now) {
    proposeAt_ = Instant::never();
    if (!change_ && duty_.held && vacancyProbe_ != 0) return replaceAbsent(now);
    if (!change_) return;
    proposeAt_ = now + o_.beat * kRetryAfter;
    if (mem_.epoch > change_->epoch) {
        const uint64_t ticket = change_->ticket;
        const bool ours = mem_.epoch == change_->epoch + 1 && mem_.voters == change_->voters;
        change_.reset();
        proposeAt_ = Instant::never();
        if (!ours) return answerChange(ticket, Answer::refused, "another change was decided first");
        // Decided; done once the new voters answer: till then the machine that leaves is still needed.
        return newOp(now, ticket, ticket != 0, true, nullptr);
    }
    if (now - change_->since > o_.operationTimeout * 4) {
        answerChange(change_->ticket, Answer::noMajority);
        change_.reset();
        if (duty_.held && released_) giveUpLease();
        return;
    }
    if (!isAcceptor()) return;
    if (ballotUnderWay(now)) return resendBallot(now);
    if (round_ != 0 && random(Span::millis(1000)) < Span::millis(500)) {
        return;  // against two that outbid each other
    }
    offer_ = change_->offer;
    prepareBallot(now);
}

void Core::hearBallot(Instant now, const NodeId& from, const Message& m) {
    highestBallot_ = std::max(highestBallot_, m.ballot);
    if (m.kind == Kind::prepare || m.kind == Kind::accept) {
        Message back = make(m.kind == Kind::prepare ? Kind::promise : Kind::accepted, m.ballot);
        withVoters(back);
        if (m.epoch < mem_.epoch) return send(from, std::move(back));  // decided
        if (!isAcceptor()) return;
        // The same number again comes from the same proposer, whose question or our answer was lost.
        if (m.kind == Kind::prepare && m.ballot >= mem_.votersBallot) {
            mem_.votersBallot = m.ballot;
            back.yes = true;
            touch();
        } else if (m.kind == Kind::accept && m.ballot >= mem_.votersBallot && !m.nodes.empty()) {
            mem_.votersBallot = mem_.votersAccepted = m.ballot;
            mem_.votersOffer = m.nodes;
            back.yes = true;
            touch();
        }
        back.ballot = mem_.votersBallot;
        back.accepted = mem_.votersAccepted;
        back.nodes = mem_.votersOffer;
        return sendSynced(from, std::move(back));
    }
    // The ballot's time is bounded for the same reason as that of a write.
    if (m.number != round_ || !m.yes || !ballotUnderWay(now)) return;
    if (!isAcceptor() || !contains(acceptors(), from)) return;
    const size_t needed = acceptors().size() / 2 + 1;
    if (m.kind == Kind::promise && !accepting_) {
        promises_[from] = m;
        if (promises_.size() < needed) return;
        uint64_t highest = 0;
        for (const auto& [node, p] : promises_) {
            if (p.accepted > highest) {
                highest = p.accepted;
                offer_ = p.nodes;
            }
        }
        accepting_ = true;
        sendBallot(now);
    } else if (m.kind == Kind::accepted && accepting_) {
        acceptances_.insert(from);
        if (acceptances_.size() < needed) return;
        std::vector<NodeId> voters, joined;
        for (const NodeId& n : offer_) {
            voters.push_back(n.substr(0, n.find('#')));
            if (voters.back() != n) joined.push_back(n);
        }
        learnVoters(now, mem_.epoch + 1, std::move(voters), mem_.voters, std::move(joined));
    }
}

}  // namespace petrelpond::consensus
