// How a member whose disk was lost, or that is new on a set of voters, learns all that it may have promised.
#include "system/consensus/core_parts.hpp"

namespace petrelpond::consensus {

void Core::recover(Instant now) {
    if (!mem_.recovering && mem_.elects) {
        recoverAt_ = Instant::never();
        return;
    }
    recoverAt_ = now + o_.beat * 2;
    if (recoverNumber_ == 0 || recoverByVoters_ != !mem_.voters.empty()) {
        recoverByVoters_ = !mem_.voters.empty();
        recoverNumber_ = ++number_;
        told_.clear();
    }
    if (recoverByVoters_ || inElectors(o_.self)) {
        std::vector<NodeId> asked = recoverByVoters_ ? mem_.voters : mem_.electors;
        if (mem_.entering > 0) asked.insert(asked.end(), mem_.former.begin(), mem_.former.end());
        sortUnique(asked);
        Message ask = make(Kind::recoverAsk, recoverNumber_);
        withVoters(ask);
        for (const NodeId& n : asked) {
            if (n != o_.self) sendSynced(n, ask);
        }
    }
}

// No voters anywhere, and not even anybody who knows the electors: all lost power in the first instant,
// before their first sync. As no more than machineLosses disks are lost, the other seeds never promised a
// thing. If those are a majority of the seeds, no voters were ever decided, and we begin anew. We wait for 3
// s after it was seen, so that all seeds see it before the first of them begins. It harms only if more disks
// are lost than may be; with two losses and three seeds it can't be known, and nobody begins anew.
void Core::beginAnew(Instant now) {
    if (!mem_.recovering || mem_.elects || !mem_.voters.empty() || !contains(o_.seeds, o_.self)) return;
    const auto losses = static_cast<size_t>(std::max(0, o_.machineLosses));
    if (o_.seeds.size() < losses + o_.seeds.size() / 2 + 1) return;
    if (mem_.electors.empty() && bareAt_ == Instant::never()) {
        for (const auto& [node, p] : peers_) {
            if (p.said && !p.empty) return;
        }
        for (const NodeId& n : o_.seeds) {
            const auto it = peers_.find(n);
            const bool said = it != peers_.end() && it->second.said;
            if (n != o_.self && (!said || now - it->second.heardAt > o_.beat * 6)) return;
        }
        bareAt_ = now + Span::millis(3000);
    }
    if (now < bareAt_ || (!mem_.electors.empty() && mem_.electors != o_.seeds)) return;
    mem_.electors = o_.seeds;
    mem_.elects = true;
    mem_.recovering = false;
    touch();
}

// A majority of our voters that takes part, ourselves left out. With a whole disk after a change also: anyone
// who takes part already, as it has taken over all of the former voters; or a majority of the former voters,
// ourselves included, each of which took part in it.
bool Core::toldEnough() const {
    size_t ours = 0, formers = mem_.entering == 2, entered = 0;
    for (const auto& [node, t] : told_) {
        ours += !t.recovering && isVoter(node);
        entered += !t.recovering;
        formers += t.entering == 2 && contains(mem_.former, node);
    }
    if (ours >= majority()) return true;
    return mem_.entering > 0 && (entered > 0 || formers >= mem_.former.size() / 2 + 1);
}

void Core::hearRecover(Instant now, const NodeId& from, const Message& m) {
    if (m.kind == Kind::recoverAsk) {
        Message tell = make(Kind::recoverTell, m.number);
        tell.yes = mem_.elects;
        tell.ballot = mem_.votersBallot;
        tell.accepted = mem_.votersAccepted;
        tell.nodes = mem_.votersOffer;
        withVoters(tell);
        tell.electors = mem_.electors;
        tell.value = value_;
        tell.claims = mem_.claims;
        // Marks alone when the asker has the same value already: the body is long.
        if (tell.value && m.disk >= markOf(value_)) tell.value = nullptr;
        if (mem_.elects || !mem_.recovering) sendSynced(from, std::move(tell));
        return;
    }
    if (m.number != recoverNumber_ || (!mem_.recovering && mem_.elects)) return;
    adopt(m.value);
    const bool before = recoverByVoters_;
    if (before != !mem_.voters.empty()) {  // the voters have just been learned: ask its members instead
        recoverAt_ = std::min(recoverAt_, now);
        return;
    }
    if (!before && (!m.yes || !inElectors(from))) return;
    told_[from] = m;
    told_[from].value = nullptr;
    if (before ? !toldEnough() : told_.size() < mem_.electors.size() / 2 + 1) return;
    for (const auto& [node, t] : told_) {
        mem_.votersBallot = std::max(mem_.votersBallot, t.ballot);
        if (t.accepted > mem_.votersAccepted) {
            mem_.votersAccepted = t.accepted;
            mem_.votersOffer = t.nodes;
        }
        highestTerm_ = std::max(highestTerm_, t.term);
        for (const auto& [version, ballot] : t.claims)
            mem_.claims[version] = std::max(claimOf(version), ballot);
    }
    highestBallot_ = std::max(highestBallot_, mem_.votersBallot);
    mem_.elects = true;
    if (before) {
        // What is not known here any more, or was promised on the former voters, may be another's by now.
        promisedTo_.clear();
        mem_.promisedTo.clear();
        mem_.term = std::max(mem_.term, highestTerm_);
        mem_.votedFor = nobody;
        mem_.recovering = false;
        mem_.entering = 0;
        ageChecked_ = true;
        // Against a lease that the former voters gave: a teller may have answered its holder just before.
        if (mem_.epoch > 1) promisedUntil_ = std::max(promisedUntil_, now + promised());
        if (!duty_.held) standAt_ = std::max(now, promisedUntil_) + random(o_.leaseTime * 0.5);
        for (auto& [number, op] : ops_) op.resendAt = Instant::longAgo();
    }
    touch();
    termToken_ = nextToken();
    told_.clear();
    recoverNumber_ = 0;
    if (before) tellTakenOver();
}

// Against a member that leaves and waits for word that its place is taken over (mayLeave), and a change that
// waits for the one before: the next hello may be half a second away. It harms by one small message to each
// member for each that takes part anew.
void Core::tellTakenOver() {
    for (const auto& [node, peer] : peers_) {
        if (isVoter(node) || contains(mem_.former, node)) sendAfter(termToken_, node, make(Kind::committed));
    }
}

}  // namespace petrelpond::consensus
