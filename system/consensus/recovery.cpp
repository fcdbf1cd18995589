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

// What one state says to a disk that was lost.
Message Core::tellOf(const Durable& state, const std::shared_ptr<const Value>& value,
                     const Message& ask) const {
    Message tell = make(Kind::recoverTell, ask.number);
    tell.yes = state.elects;
    tell.recovering = state.recovering;
    tell.entering = state.entering;
    tell.term = state.term;
    tell.ballot = state.votersBallot;
    tell.accepted = state.votersAccepted;
    tell.nodes = state.votersOffer;
    withVoters(tell);
    tell.electors = state.electors;
    tell.claims = state.claims.listed();
    // Marks alone when the asker has the same value already: the body is long.
    if (ask.disk < markOf(value)) tell.value = value;
    return tell;
}

// Whether what is synced speaks for this core as well as what is not yet: of the same disk, it takes part in
// the same.
bool Core::diskTellsAsMuch() const {
    const Durable& disk = synced_.state;
    return disk.birth == mem_.birth && disk.epoch == mem_.epoch && disk.recovering == mem_.recovering &&
           disk.elects == mem_.elects && disk.entering == mem_.entering;
}

// Against a disk that refuses writes or hangs as another one is lost (issue 71): what this core knows newest
// can't be told before it is synced, and until then the lost disk was not rebuilt. Operators do not count
// such a disk as lost and go on; the next lost disk was then one too many. What is synced is enough to tell:
// an answer that counts in anything that was done before the asker asked was synced before it was sent. It
// harms where the asker takes something older than a majority has agreed on meanwhile, which it then hears of
// as any member does.
void Core::hearRecoverAsk(const NodeId& from, const Message& ask) {
    if (!mem_.elects && mem_.recovering) return;
    const bool waits = nextToken() > savedToken_;
    if (!waits || !diskTellsAsMuch() || o_.defect == Defect::waitsToTell)
        return sendSynced(from, tellOf(mem_, value_, ask));
    if (o_.defect == Defect::tellsNothing) return send(from, tellOf(Durable{}, nullptr, ask));
    send(from, tellOf(synced_.state, synced_.value, ask));
}

void Core::hearRecover(Instant now, const NodeId& from, const Message& m) {
    if (m.kind == Kind::recoverAsk) return hearRecoverAsk(from, m);
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
    if (before ? toldEnough() : told_.size() >= mem_.electors.size() / 2 + 1) takeOver(now);
}

// Takes the highest of all that was told, and takes part again.
void Core::takeOver(Instant now) {
    for (const auto& [node, t] : told_) {
        mem_.votersBallot = std::max(mem_.votersBallot, t.ballot);
        if (t.accepted > mem_.votersAccepted) {
            mem_.votersAccepted = t.accepted;
            mem_.votersOffer = t.nodes;
        }
        highestTerm_ = std::max(highestTerm_, t.term);
        mem_.claims.mergeHigher(PromisedBallots(t.claims), heldVersion());
    }
    highestBallot_ = std::max(highestBallot_, mem_.votersBallot);
    mem_.elects = true;
    const bool asVoter = recoverByVoters_;
    if (asVoter) {
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
    if (asVoter) tellTakenOver();
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
