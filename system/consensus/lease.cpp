// The lease of the one duty: ballots, terms, heartbeats.
#include "system/consensus/core_parts.hpp"

namespace petrelpond::consensus {

//
// At most one core holds at any instant: to hold needs a majority that answered something sent less than
// `leaseTime` ago, and whoever answered votes for nobody else within a sixteenth more than `leaseTime` of
// answering. So whoever is voted in by a majority knows one voter whose promise to each earlier holder had
// run out. A voter follows a beat of a higher term at once: its sender was voted in by such a majority, and
// the earlier holder, refused by it since, holds no more. After a restart it is known to whom the promise was
// given last, not until when: so no vote for another within that time. That one gets it at once, as each may
// always vote for whom it has promised to: a core's lease of an earlier life or ballot harms none of its own.
// One promise is enough to know: the ones before were over as the last was given, or their holder had been
// refused by a majority that voted in the last one.

bool Core::wouldVote(Instant now, const NodeId& candidate) const {
    return isMember() && (now >= promisedUntil_ || (candidate == promisedTo_ && !candidate.empty()));
}

void Core::setDuty(bool held, uint64_t term, const NodeId& holder, Instant until) {
    const bool changed = held != duty_.held || term != duty_.term || holder != duty_.holder;
    if (duty_.held && !held) {
        beatAt_ = Instant::never();
        beatsSent_.clear();
        ackedAt_.clear();
        echoes_.clear();
    }
    duty_ = {held, term, holder, until};
    if (changed) out_.push_back(duty_);
}

void Core::stand(Instant now) {
    standAt_ = Instant::never();
    if (standing_ != Stand::no) {  // no majority in time
        standing_ = Stand::no;
        standAt_ = now + Span::millis(150) + random(o_.leaseTime * 0.5);
        return;
    }
    if (released_ || duty_.held) return;
    if (!isMember()) {
        standAt_ = now + o_.leaseTime;
        return;
    }
    if (!duty_.holder.empty()) return;  // when it lapses, enter() sets the next
    if (!wouldVote(now, o_.self)) {
        standAt_ = promisedUntil_ + random(o_.leaseTime * 0.25);
        return;
    }
    // First only asked whether they would: against a core that nobody hears, or only few, and that would
    // drive the term up and so put down the living holder once it is heard again.
    askVotes(now, Stand::probing);
}

void Core::askVotes(Instant now, Stand how) {
    standing_ = how;
    standNumber_ = ++number_;
    standSince_ = now;
    standTerm_ = std::max(mem_.term, highestTerm_) + 1;
    if (o_.defect == Defect::fenceStays) standTerm_ = std::max<uint64_t>(standTerm_ - 1, 1);
    standAt_ = now + ballotTime(o_);
    votes_.clear();
    if (how == Stand::asking) {
        // Saved before it is told: against a restart after which the same term would be won a second time.
        mem_.term = standTerm_;
        mem_.votedFor = o_.self;
        touch();
        termToken_ = nextToken();
    }
    const Message m = ballot();
    for (const NodeId& n : mem_.voters) sendAfter(termToken_, n, m);
}

Message Core::ballot() const {
    Message m = make(standing_ == Stand::probing ? Kind::voteProbe : Kind::voteAsk, standNumber_);
    m.term = standTerm_;
    return m;
}

// What is told of it waits for termToken_: then it is on disk to whom.
void Core::promise(Instant now, const NodeId& to, uint64_t term) {
    const bool stale = o_.defect == Defect::stalePromise && !mem_.promisedTo.empty();
    if (mem_.promisedTo != to && !stale) {
        mem_.promisedTo = to;
        touch();
        termToken_ = nextToken();
    }
    promisedTo_ = to;
    promisedTerm_ = term;
    promisedUntil_ = std::max(promisedUntil_, now + promised());
}

void Core::sendBeats(Instant now) {
    beatAt_ = now + o_.beat;
    const uint64_t number = ++number_;
    while (!beatsSent_.empty() && now - beatsSent_.begin()->second > o_.leaseTime) {
        beatsSent_.erase(beatsSent_.begin());
    }
    beatsSent_[number] = now;
    Message m = make(Kind::beat, number);
    m.term = duty_.term;
    for (const auto& [node, peer] : peers_) {
        const auto echo = echoes_.find(node);
        m.echo = echo == echoes_.end() ? 0 : echo->second;
        send(node, m);
    }
    m.echo = 0;
    send(o_.self, std::move(m));
}

bool Core::inContact(Instant now) const {
    if (duty_.held) return now < duty_.validUntil;
    return isMember() && now - contactAt_ <= o_.contact;
}

bool Core::cutOff(Instant now) const {
    if (mem_.voters.empty() || now - startedAt_ <= o_.absence) return false;
    const auto heard = std::count_if(mem_.voters.begin(), mem_.voters.end(),
                                     [&](const NodeId& n) { return n == o_.self || isHere(now, n); });
    return static_cast<size_t>(heard) < majority();
}

// Against a core that hears the holder and is not heard: every heartbeat would look like contact. The holder
// sends none once its lease is over, so at the instant of our answer that it has it stood in contact with a
// majority.
void Core::noteEcho(Instant now, uint64_t echo) {
    if (o_.defect == Defect::staysInContact) contactAt_ = now;
    const auto answered = beatsAnswered_.find(echo);
    if (answered == beatsAnswered_.end()) return;
    const bool fromHearing = o_.defect == Defect::contactThroughFreeze;
    contactAt_ = std::max(contactAt_, fromHearing ? now : answered->second);
    beatsAnswered_.erase(beatsAnswered_.begin(), std::next(answered));
}

void Core::renewLease(Instant now) {
    std::vector<Instant> sent;
    for (const NodeId& n : mem_.voters) {
        const auto it = ackedAt_.find(n);
        if (it != ackedAt_.end()) sent.push_back(it->second);
    }
    if (sent.size() < majority()) return;
    std::sort(sent.rbegin(), sent.rend());
    const Instant until = sent[majority() - 1] + o_.leaseTime;
    if (until > now) duty_.validUntil = std::max(duty_.validUntil, until);
}

void Core::hearDuty(Instant now, const NodeId& from, const Message& m) {
    switch (m.kind) {
        case Kind::beat: {
            const bool own = from == o_.self;
            if (own && !duty_.held) return;
            Message back = make(Kind::beatBack, m.number);
            if (m.term < mem_.term) {  // a vote went to a later term: tell the holder, it must catch up
                if (isMember()) sendAfter(termToken_, from, std::move(back));
                return;
            }
            if (!own && m.term >= duty_.term) {
                if (duty_.held) standing_ = Stand::no;
                setDuty(false, m.term, from, now + o_.leaseTime);
            }
            if (!isMember()) return;
            if (m.term > mem_.term) {
                mem_.term = m.term;
                mem_.votedFor = nobody;
                touch();
                termToken_ = nextToken();
            }
            promise(now, from, m.term);
            back.yes = true;
            back.term = m.term;
            noteEcho(now, m.echo);
            beatsAnswered_[m.number] = now;
            std::erase_if(beatsAnswered_, [&](const auto& one) { return now - one.second > o_.contact; });
            return sendAfter(termToken_, from, std::move(back));
        }
        case Kind::beatBack: {
            if (!duty_.held || !isVoter(from)) return;
            if (!m.yes) {
                // Held on until it lapses, but under a higher number as soon as a majority agrees.
                if (m.term > duty_.term && standing_ == Stand::no && isMember() && !released_)
                    askVotes(now, Stand::asking);
                return;
            }
            const auto it = beatsSent_.find(m.number);
            if (it == beatsSent_.end() || m.term != duty_.term) return;
            echoes_[from] = std::max(echoes_[from], m.number);
            const Instant since = o_.defect == Defect::leaseFromAnswer ? now : it->second;
            auto [at, fresh] = ackedAt_.emplace(from, since);
            if (!fresh) at->second = std::max(at->second, since);
            return renewLease(now);
        }
        case Kind::release:
            if (promisedTo_ == from && promisedTerm_ == m.term) {
                promisedTo_.clear();
                promisedUntil_ = now;
            }
            if (!duty_.held && duty_.holder == from && duty_.term == m.term) {
                setDuty(false, duty_.term, {}, Instant::longAgo());
                standAt_ = std::max(now, promisedUntil_) + random(o_.beat);
            }
            return;
        case Kind::voteProbe:
        case Kind::voteAsk: {
            const bool probe = m.kind == Kind::voteProbe;
            if (!isMember()) return;
            Message back = make(probe ? Kind::voteProbeBack : Kind::vote, m.number);
            const bool free = m.term > mem_.term || (m.term == mem_.term && mem_.votedFor == from) ||
                              (m.term == mem_.term && o_.defect == Defect::fenceStays);
            back.yes = free && wouldVote(now, from);
            if (back.yes && !probe) {
                mem_.term = m.term;
                mem_.votedFor = from;
                touch();
                termToken_ = nextToken();
                promise(now, from, m.term);
                back.term = m.term;
            }
            return sendAfter(termToken_, from, std::move(back));
        }
        case Kind::voteProbeBack:
        case Kind::vote: {
            const Stand how = m.kind == Kind::vote ? Stand::asking : Stand::probing;
            if (standing_ != how || m.number != standNumber_ || !m.yes || !isVoter(from)) return;
            if (now - standSince_ > ballotTime(o_) || released_) return;
            votes_.insert(from);
            if (votes_.size() < majority()) return;
            if (how == Stand::probing) return askVotes(now, Stand::asking);
            standing_ = Stand::no;
            standAt_ = Instant::never();
            ackedAt_.clear();
            beatsSent_.clear();
            for (const NodeId& n : votes_) ackedAt_[n] = standSince_;
            setDuty(true, standTerm_, o_.self, standSince_ + o_.leaseTime);
            return sendBeats(now);
        }
        default:
            return;
    }
}

void Core::giveUpLease() {
    Message m = make(Kind::release);
    m.term = duty_.term;
    setDuty(false, duty_.term, {}, Instant::longAgo());
    toPeers(m);
}

void Core::release(Instant now) {
    enter(now);
    if (!released_) sureAtRelease_ = sureMark_;
    released_ = true;
    standing_ = Stand::no;
    standAt_ = Instant::never();
    // The holder gives its own place away before it gives up the lease: another would first have to win it.
    // It then gives it up as it learns of the new voters.
    if (duty_.held) replaceAbsent(now);
    if (duty_.held && !change_ && vacancyProbe_ == 0) giveUpLease();
    for (const auto& [node, peer] : peers_) sayHello(node, Kind::hello);  // that our place is free
    leave(now);
}

}  // namespace petrelpond::consensus
