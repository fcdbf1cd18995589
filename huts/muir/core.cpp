#include "huts/muir/core.hpp"

#include <algorithm>

namespace petrelpond::muir {
namespace {

const NodeId nobody = "-";  // a vote that is used up and went to no one

Mark markOf(const std::shared_ptr<const Value>& v) { return v ? Mark{v->version, v->digest} : Mark{}; }

void sortUnique(std::vector<NodeId>& nodes) {
    std::sort(nodes.begin(), nodes.end());
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
}

bool contains(const std::vector<NodeId>& sorted, const NodeId& n) {
    return std::binary_search(sorted.begin(), sorted.end(), n);
}

std::string born(const NodeId& n, uint64_t birth) { return n + "#" + std::to_string(birth); }

// How long a ballot for the duty may gather votes, at most. Shorter than `lapse`, so that what it wins still
// has some validity, and over before a voter that lost its disk votes again.
Span ballotTime(const Options& o) { return o.lapse * 0.5; }

// What a core that lost its disk waits for before it asks the others, and why it may then take part again.
//
// Claim: what a majority has promised is still promised by a majority, however many disks are lost.
//  - All that counts somebody's answers (a write, a read, a vote, a beat, a ballot on the roll) ends at the
//    latest `patience` or `lapse` after it began, by the clock of who counts. An answer that this core gave
//    in its earlier life belongs to something begun before the loss; after the wait below (a quarter more
//    than either, for clocks of different rates) it counts nowhere any more: either it is done, or it never
//    will be done with that answer.
//  - Only then do we ask. A majority Q of the roll, not counting us and nobody who still recovers, answers.
//    Whatever was done with a majority M shares a member with Q. That member either kept its disk since, and
//    holds it; or it lost it and recovered before it answered Q, thus by this same argument (on the order of
//    recoveries) it holds it or something newer. So we end up with all that was done; and what was promised
//    but is not done has ended. A vote in a term t of ours that Q doesn't know of was for a ballot that is
//    over: voting again in t is harmless. We still use up the highest term that Q knows, for it may be won
//    by now.
//  - Q exists as long as N - losses >= majority: 3 - 1 >= 2, 5 - 1 >= 3, 5 - 2 >= 3, 9 - 2 >= 5. With more
//    losses nobody recovers, but nothing is forgotten silently.
// The same holds for the agreement on the roll, with the electors in place of the roll, as long as the roll
// is not known: but that alone makes us an elector (`elects`), no member. A value is only ever saved
// together with the roll, so those who hold a value know the roll. Once it is known the agreement is never
// run again. It harms by its length: 1.5 s in which a returned machine counts nowhere.
Span recoverWait(const Options& o) { return std::max(o.patience, o.lapse) * 1.25; }

}  // namespace

Core::Core(Instant now, Options options, std::optional<Durable> found)
    : o_(std::move(options)), random_(o_.chance), startedAt_(now), helloAt_(now) {
    sortUnique(o_.seeds);
    const uint64_t own = std::hash<std::string>{}(o_.self);
    life_ = (static_cast<uint64_t>(random_()) << 32 ^ own ^ static_cast<uint64_t>(now.inMicros()) << 20) &
            0x7fffffffffff0000ULL;
    number_ = life_;
    if (found) {
        mem_ = std::move(*found);
        if (mem_.value.version > 0) {
            value_ = std::make_shared<const Value>(std::move(mem_.value));
            diskMark_ = markOf(value_);
        }
        mem_.value = {};
        if (o_.twin == Twin::forgetsPromise) {
            mem_.term = mem_.rollBallot = mem_.rollAccepted = 0;
            mem_.votedFor.clear();
            mem_.promisedTo.clear();
            mem_.rollOffer.clear();
        }
    } else {
        if (o_.bootstrap) mem_.electors = o_.seeds;
        mem_.recovering = !o_.bootstrap;
        mem_.elects = o_.bootstrap;
        while (mem_.birth == 0) mem_.birth = static_cast<uint64_t>(random_()) << 32 | random_();
        if (o_.twin == Twin::hastyAmnesiac) {
            mem_.recovering = false;
            mem_.elects = true;
            if (mem_.electors.empty()) mem_.electors = o_.seeds;
        }
        touch();
    }
    if (mem_.recovering || !mem_.elects) recoverAt_ = now + recoverWait(o_);
    // Against a promise given before the restart, of which the disk has to whom and not until when: no vote
    // for another within the time for which it was promised. It harms by one `lapse` after a start of all
    // without that one. Who had promised to itself stands sooner, as what it held ended with its earlier
    // life; but not at once: where it alone had gone the others win meanwhile, who need not be found anew.
    promisedTo_ = mem_.promisedTo;
    promisedTerm_ = mem_.term;
    const bool hasty = o_.twin == Twin::forgetsPromise || o_.twin == Twin::votesAfterStart;
    promisedUntil_ = hasty ? now : now + promised();
    standAt_ = promisedTo_ == o_.self ? now + o_.lapse * 0.5 : promisedUntil_ + random(o_.lapse * 0.5);
    proposeAt_ = now + Span::millis(1500);
    highestTerm_ = mem_.term;
    highestBallot_ = mem_.rollBallot;
    for (const NodeId& n : mem_.roll) {
        if (n != o_.self) peers_[n];
    }
    if (value_) suspectAt_ = now + o_.beat * 2 + random(o_.beat * 4);
    leave(now);
}

Span Core::random(Span below) {
    const int64_t us = std::max<int64_t>(1, below.inMicros());
    return Span::micros(static_cast<int64_t>(random_()) % us);
}

bool Core::inRoll(const NodeId& n) const { return contains(mem_.roll, n); }
bool Core::inElectors(const NodeId& n) const { return contains(mem_.electors, n); }
bool Core::isMember() const { return !mem_.recovering && !diskBroken_ && onRoll(); }
bool Core::isElector() const { return mem_.elects && !diskBroken_ && inElectors(o_.self); }

// Whatever woke us may have come after a long sleep: what has lapsed meanwhile is told before all else.
void Core::enter(Instant now) {
    if (duty_.holder.empty() || now < duty_.validUntil) return;
    if (duty_.held && o_.twin == Twin::outlastsLease) {
        duty_.validUntil = now + o_.lapse;
        return;
    }
    setDuty(false, duty_.term, {}, Instant::longAgo());
    standing_ = Stand::no;
    standAt_ = std::max(now, promisedUntil_) + random(o_.lapse * 0.5);
}

void Core::leave(Instant now) {
    flow(now);
    if (!dirty_ || now < (diskBroken_ ? retrySaveAt_ : now)) return;
    dirty_ = false;
    retrySaveAt_ = Instant::never();
    Save save{++token_, mem_};
    if (value_) save.state.value = *value_;
    saving_.emplace_back(token_, markOf(value_));
    out_.push_back(std::move(save));
}

void Core::flow(Instant now) {
    while (!loop_.empty()) {
        const Message m = std::move(loop_.front());
        loop_.pop_front();
        handle(now, o_.self, m);
    }
    stepAll(now);
    if (!loop_.empty()) flow(now);
}

Message Core::make(Kind k, uint64_t number) const {
    Message m;
    m.kind = k;
    m.number = number;
    m.recovering = mem_.recovering;
    m.counted = o_.counted;
    m.disk = diskMark_;
    m.sure = sureMark_;
    m.term = mem_.term;
    m.epoch = mem_.epoch;
    m.entering = mem_.entering;
    m.birth = mem_.birth;
    return m;
}

void Core::send(const NodeId& to, Message m) {
    if (to == o_.self) {
        loop_.push_back(std::move(m));
    } else {
        out_.push_back(Send{to, std::move(m)});
    }
}

void Core::toPeers(const Message& m) {
    for (const auto& [node, peer] : peers_) send(node, m);
}

// Against a promise that a power loss takes back: nothing that binds this disk is told before it is synced.
// It catches slow disks too, which then look like silent members.
void Core::sendSynced(const NodeId& to, Message m) { sendAfter(nextToken(), to, std::move(m)); }

void Core::sendAfter(uint64_t token, const NodeId& to, Message m) {
    if (o_.twin == Twin::ackBeforeSync) {
        m.disk = markOf(value_);
        return send(to, std::move(m));
    }
    if (token <= savedToken_) return diskBroken_ ? void() : send(to, std::move(m));
    if (!diskBroken_) waiting_.emplace_back(token, Send{to, std::move(m)});
}

void Core::flush() {
    std::deque<std::pair<uint64_t, Send>> kept;
    for (auto& [token, s] : waiting_) {
        if (token > savedToken_) {
            kept.emplace_back(token, std::move(s));
            continue;
        }
        s.message.disk = diskMark_;
        send(s.to, std::move(s.message));
    }
    waiting_.swap(kept);
}

void Core::saved(Instant now, uint64_t token) {
    enter(now);
    if (token > savedToken_ && token <= token_) {
        savedToken_ = token;
        while (!saving_.empty() && saving_.front().first <= token) {
            diskMark_ = saving_.front().second;
            saving_.pop_front();
        }
        diskBroken_ = false;
        savePause_ = Span::millis(500);
        flush();
    }
    leave(now);
}

// Against a disk that is full or broken: what waits for it is never told, and this core neither answers as a
// member nor stands for the duty until a whole Save has succeeded. Pauses grow up to 8 s.
void Core::saveFailed(Instant now, uint64_t token) {
    enter(now);
    if (token > savedToken_) {
        diskBroken_ = true;
        dirty_ = true;
        waiting_.clear();
        standing_ = Stand::no;
        retrySaveAt_ = now + savePause_ + random(savePause_ * 0.25);
        savePause_ = std::min(savePause_ * 2, Span::millis(8000));
    }
    leave(now);
}

std::optional<Output> Core::next() {
    if (out_.empty()) return {};
    std::optional<Output> o(std::move(out_.front()));
    out_.pop_front();
    return o;
}

std::vector<NodeId> Core::peers() const {
    std::vector<NodeId> nodes;
    for (const auto& [node, peer] : peers_) nodes.push_back(node);
    for (const NodeId& n : o_.seeds) {
        if (n != o_.self && !peers_.count(n)) nodes.push_back(n);
    }
    return nodes;
}

std::shared_ptr<const Value> Core::held() const {
    const bool synced = markOf(value_) == diskMark_;
    return synced && diskMark_ > sureMark_ ? value_ : sure_;
}

// ---- who is there

void Core::meet(Instant now, const NodeId& node) {
    if (node == o_.self || node.empty()) return;
    peers_[node].heardAt = now;
}

void Core::sayHello(const NodeId& to, Kind k) {
    Message m = make(k);
    m.yes = mem_.electors.empty() && mem_.roll.empty();
    withRoll(m);
    m.electors = mem_.electors;
    for (const auto& [node, peer] : peers_) m.nodes.push_back(node);
    send(to, std::move(m));
}

void Core::hearHello(Instant now, const NodeId& from, const Message& m) {
    Peer& p = peers_[from];
    if (!p.said && mem_.roll.empty()) {  // others may be about to come as well: the roll waits for them
        proposeAt_ = std::max(proposeAt_, now + Span::millis(500));
    }
    p.said = true;
    p.counted = m.counted;
    p.recovering = m.recovering;
    p.birth = m.birth;
    p.empty = m.yes;
    // Against a ballot that begins while the others' processes still come up: who was not there is asked now.
    if (standing_ == Stand::probing && inRoll(from)) sendAfter(termToken_, from, ballot());
    if (mem_.electors.empty() && !m.electors.empty()) {
        mem_.electors = m.electors;
        touch();
    }
    for (const NodeId& n : m.nodes) {
        if (n != o_.self && !n.empty() && !peers_.count(n)) {
            peers_[n];
            helloAt_ = std::min(helloAt_, now);
        }
    }
    if (m.kind == Kind::hello) sayHello(from, Kind::helloBack);
}

// A roll is taken over from the one before it, as a lost disk is rebuilt: whoever learns of a new one takes
// no part any more until a majority of the former roll, all of whom have heard of the new one too, has told
// it all that it knows (toldEnough). Why nothing is lost: what was done under the former roll was done by a
// majority M of it; the tellers Q are another, so some q is in both, and it answered M before it heard of the
// new roll, thus before it told us. From then on no majority of the former roll answers under it, so nothing
// more is done there. Epochs decide who is counted with whom; each is decided by ballots among the members of
// the one before, hence there is one roll an epoch. Whose disk was lost can't know whether it took part
// already, and takes over from the members of its own roll alone. Who comes may have an empty disk too; that
// it is the very disk that was meant (its birth) shows that it never took part. It harms by a pause of some
// round trips and one sync in which there is no majority, and by one lapse without a new duty.
void Core::learnRoll(Instant now, uint64_t epoch, std::vector<NodeId> roll, std::vector<NodeId> former,
                     std::vector<std::string> joined) {
    if (roll.empty() || epoch <= mem_.epoch) return;
    const bool tookPart = mem_.epoch + 1 == epoch && onRoll() && !mem_.recovering;
    sortUnique(joined);
    const bool meant = contains(joined, born(o_.self, mem_.birth));
    const bool whole = !mem_.recovering || mem_.entering > 0 || meant;
    sortUnique(roll);
    sortUnique(former);
    mem_.roll = std::move(roll);
    mem_.former = std::move(former);
    mem_.joined = std::move(joined);
    mem_.epoch = epoch;
    mem_.rollBallot = mem_.rollAccepted = 0;  // of the ballots on this roll; those on the next begin anew
    mem_.rollOffer.clear();
    // Of the first roll nobody has had a promise before, so a disk that was meant has none to rebuild.
    if (epoch == 1 && meant) mem_.recovering = false, mem_.elects = true;
    if (epoch > 1) {
        mem_.entering = tookPart ? 2 : whole ? 1 : 0;
        mem_.recovering = o_.twin != Twin::hastyEntry || !whole;
        if (o_.twin == Twin::emptyEnters) mem_.entering = std::max<uint8_t>(mem_.entering, 1);
        if (meant) mem_.elects = true;
        recoverNumber_ = 0;
        if (mem_.entering > 0) recoverAt_ = now;  // a lost disk still has its wait
        standing_ = Stand::no;
        ackedAt_.clear();
        beatsSent_.clear();
        if (duty_.held && !onRoll()) {  // it could not be renewed: given up at once, so that others may stand
            Message m = make(Kind::release);
            m.term = duty_.term;
            setDuty(false, duty_.term, {}, Instant::longAgo());
            toPeers(m);
        }
        if (standAt_ == Instant::never() && !duty_.held && duty_.holder.empty() && !released_)
            standAt_ = now + o_.lapse;
        for (auto& [number, op] : ops_) {  // what members of the former roll said counts no more
            op.answers.clear();
            if (op.reading) op.putting = false, op.target = nullptr, op.mark = {};
        }
    }
    for (const auto* all : {&mem_.roll, &mem_.former}) {
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

void Core::withRoll(Message& m) const {
    m.roll = mem_.roll;
    m.former = mem_.former;
    m.joined = mem_.joined;
}

// Whether what binds a member of a roll may be answered and counted: only between cores that are on the same
// one. Whoever is behind is told of the newer roll, or asks for it. One that knows none yet is heard as
// before.
bool Core::ofOurEpoch(const NodeId& from, const Message& m) {
    if (m.epoch == mem_.epoch || m.epoch == 0 || mem_.epoch == 0 || o_.twin == Twin::mixedEpochs) return true;
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

// ---- the register

void Core::adopt(const std::shared_ptr<const Value>& v) {
    if (!v || markOf(v) <= markOf(value_)) return;
    value_ = v;
    touch();
}

void Core::sure(const std::shared_ptr<const Value>& v) {
    if (markOf(v) <= sureMark_) return;
    sure_ = v;
    sureMark_ = markOf(v);
    adopt(v);
    out_.push_back(News{v});
}

void Core::fetch(Instant now, const NodeId& from) {
    if (from == o_.self || now < fetchAt_ + Span::millis(250)) return;  // a body may need that long
    fetchAt_ = now;
    send(from, make(Kind::fetch));
}

// What others hold: what is sure to lie on a majority is taken from them, what is not yet sure (its writer
// may have died) is looked at by a read, after a while in which the writer itself may finish.
void Core::learnMarks(Instant now, const NodeId& from, const Message& m) {
    if (from == o_.self) return;
    peers_[from].disk = m.disk;
    if (m.sure > sureMark_) {
        if (m.sure == markOf(value_)) {
            sure(value_);
        } else if (m.sure > markOf(value_)) {
            fetch(now, from);
        }
    }
    const bool unsure = std::max(m.disk, markOf(value_)) > sureMark_;
    if (unsure && suspectAt_ == Instant::never()) suspectAt_ = now + o_.beat * 2 + random(o_.beat * 4);
}

void Core::write(Instant now, uint64_t ticket, std::shared_ptr<const Value> v) {
    enter(now);
    newOp(now, ticket, true, false, std::move(v));
    leave(now);
}

void Core::read(Instant now, uint64_t ticket) {
    enter(now);
    newOp(now, ticket, true, true, nullptr);
    leave(now);
}

void Core::newOp(Instant now, uint64_t ticket, bool wanted, bool reading,
                 std::shared_ptr<const Value> target) {
    Op op;
    op.ticket = ticket;
    op.wanted = wanted;
    op.reading = reading;
    op.since = now;
    if (!reading) {
        op.putting = true;
        op.target = std::move(target);
        op.mark = markOf(op.target);
        // Our own disk gets it only as a member does, or once it is sure.
        if (isMember() && op.mark > sureMark_) adopt(op.target);
    }
    ops_.emplace(++number_, std::move(op));
}

void Core::stepAll(Instant now) {
    for (auto it = ops_.begin(); it != ops_.end();) {
        it = step(now, it->first, it->second) ? ops_.erase(it) : std::next(it);
    }
}

bool Core::step(Instant now, uint64_t number, Op& op) {
    // Checked before anything is counted: an answer of a disk that was lost meanwhile must not count, see
    // recoverWait. It catches our own freezes too.
    if (now - op.since > o_.patience) {
        if (op.wanted) out_.push_back(Answer{op.ticket, Answer::noMajority, nullptr});
        return true;
    }
    if (mem_.roll.empty()) return false;
    if (isMember()) {
        Mark& own = op.answers[o_.self];
        own = std::max(own, o_.twin == Twin::ackBeforeSync ? markOf(value_) : diskMark_);
    }
    if (!op.putting && op.answers.size() >= majority()) {
        for (const auto& [node, mark] : op.answers) op.mark = std::max(op.mark, mark);
        if (op.mark.version == 0) {
            if (op.wanted) out_.push_back(Answer{op.ticket, Answer::done, nullptr});
            return true;
        }
        if (sure_ && sureMark_ >= op.mark) {
            op.target = sure_;
        } else if (markOf(value_) >= op.mark) {
            op.target = value_;
        } else {
            for (const auto& [node, mark] : op.answers) {
                if (mark == op.mark) fetch(now, node);
            }
        }
        if (op.target) {
            op.mark = markOf(op.target);
            op.putting = true;
            op.resendAt = Instant::longAgo();
            op.pause = Span::millis(200);
            if (o_.twin == Twin::noWriteBack) {
                if (op.wanted) out_.push_back(Answer{op.ticket, Answer::done, op.target});
                return true;
            }
            if (isMember()) adopt(op.target);
        }
    }
    if (op.putting) {
        size_t have = 0;
        for (const auto& [node, mark] : op.answers) have += mark >= op.mark;
        if (have >= majority() || (sure_ && sureMark_ >= op.mark)) {
            const bool news = op.mark > sureMark_;
            sure(op.target);
            if (news) toPeers(make(Kind::committed));
            if (op.wanted) out_.push_back(Answer{op.ticket, Answer::done, sure_});
            return true;
        }
    }
    if (now >= op.resendAt) resend(now, number, op);
    return false;
}

void Core::resend(Instant now, uint64_t number, Op& op) {
    op.resendAt = now + op.pause;
    op.pause = op.pause * 1.5;
    Message m = make(op.putting ? Kind::put : Kind::get, number);
    withRoll(m);
    if (op.putting) m.value = op.target;
    for (const NodeId& n : mem_.roll) {
        if (n == o_.self) continue;
        const auto it = op.answers.find(n);
        if (it == op.answers.end() || (op.putting && it->second < op.mark)) send(n, m);
    }
}

// ---- after a lost disk

void Core::recover(Instant now) {
    if (!mem_.recovering && mem_.elects) {
        recoverAt_ = Instant::never();
        return;
    }
    recoverAt_ = now + o_.beat * 2;
    if (recoverNumber_ == 0 || recoverByRoll_ != !mem_.roll.empty()) {
        recoverByRoll_ = !mem_.roll.empty();
        recoverNumber_ = ++number_;
        told_.clear();
    }
    if (recoverByRoll_ || inElectors(o_.self)) {
        std::vector<NodeId> asked = recoverByRoll_ ? mem_.roll : mem_.electors;
        if (mem_.entering > 0) asked.insert(asked.end(), mem_.former.begin(), mem_.former.end());
        sortUnique(asked);
        Message ask = make(Kind::recoverAsk, recoverNumber_);
        withRoll(ask);
        for (const NodeId& n : asked) {
            if (n != o_.self) sendSynced(n, ask);
        }
    }
}

// No roll anywhere, and not even anybody who knows the electors: all lost power in the first instant, before
// their first sync. As no more than machineLosses disks are lost, the other seeds never promised a thing. If
// those are a majority of the seeds, no roll was ever decided, and we begin anew. We wait for 3 s after it
// was seen, so that all seeds see it before the first of them begins. It harms only if more disks are lost
// than may be; with two losses and three seeds it can't be known, and nobody begins anew.
void Core::beginAnew(Instant now) {
    if (!mem_.recovering || mem_.elects || !mem_.roll.empty() || !contains(o_.seeds, o_.self)) return;
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

// A majority of our roll that takes part, ourselves left out. With a whole disk after a change also: anyone
// who takes part already, as it has taken over all of the former roll; or a majority of the former roll,
// ourselves included, each of which took part in it.
bool Core::toldEnough() const {
    size_t ours = 0, formers = mem_.entering == 2, entered = 0;
    for (const auto& [node, t] : told_) {
        ours += !t.recovering && inRoll(node);
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
        tell.ballot = mem_.rollBallot;
        tell.accepted = mem_.rollAccepted;
        tell.nodes = mem_.rollOffer;
        withRoll(tell);
        tell.electors = mem_.electors;
        tell.value = value_;
        // Marks alone when the asker has the same value already: the body is long.
        if (tell.value && m.disk >= markOf(value_)) tell.value = nullptr;
        if (mem_.elects || !mem_.recovering) sendSynced(from, std::move(tell));
        return;
    }
    if (m.number != recoverNumber_ || (!mem_.recovering && mem_.elects)) return;
    adopt(m.value);
    const bool before = recoverByRoll_;
    if (before != !mem_.roll.empty()) {  // the roll has just been learned: ask its members instead
        recoverAt_ = std::min(recoverAt_, now);
        return;
    }
    if (!before && (!m.yes || !inElectors(from))) return;
    told_[from] = m;
    told_[from].value = nullptr;
    if (before ? !toldEnough() : told_.size() < mem_.electors.size() / 2 + 1) return;
    for (const auto& [node, t] : told_) {
        mem_.rollBallot = std::max(mem_.rollBallot, t.ballot);
        if (t.accepted > mem_.rollAccepted) {
            mem_.rollAccepted = t.accepted;
            mem_.rollOffer = t.nodes;
        }
        highestTerm_ = std::max(highestTerm_, t.term);
    }
    highestBallot_ = std::max(highestBallot_, mem_.rollBallot);
    mem_.elects = true;
    if (before) {
        // What is not known here any more, or was promised on the former roll, may be another's by now.
        promisedTo_.clear();
        mem_.promisedTo.clear();
        mem_.term = std::max(mem_.term, highestTerm_);
        mem_.votedFor = nobody;
        mem_.recovering = false;
        mem_.entering = 0;
        // Against a lease that the former roll gave: a teller may have answered its holder just before.
        if (mem_.epoch > 1) promisedUntil_ = std::max(promisedUntil_, now + promised());
        if (!duty_.held) standAt_ = std::max(now, promisedUntil_) + random(o_.lapse * 0.5);
        for (auto& [number, op] : ops_) op.resendAt = Instant::longAgo();
    }
    touch();
    termToken_ = nextToken();
    told_.clear();
    recoverNumber_ = 0;
}

// ---- the agreement on the roll

void Core::propose(Instant now) {
    if (!mem_.roll.empty()) return proposeChange(now);
    proposeAt_ = now + o_.beat * 0.5;
    if (round_ != 0 && now - ballotSince_ <= o_.patience) return;
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
    // Those who lost their disk belong on the roll too, unless they are so many that they could not recover.
    // Nor can anybody recover on a roll of less than 2 losses + 1. Both may pass, and a roll is for ever: the
    // few are proposed only after a long while. It harms where fewer cores were set up than that.
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
    mem_.rollBallot = round_;
    touch();
    Message m = make(Kind::prepare);
    m.ballot = round_;
    for (const NodeId& n : all) sendSynced(n, m);
}

// ---- another roll

void Core::change(Instant now, uint64_t ticket, std::vector<NodeId> gone, std::vector<NodeId> come) {
    enter(now);
    sortUnique(gone);
    sortUnique(come);
    std::string why;
    Change c{ticket, mem_.epoch, {}, {}, now};
    for (const NodeId& n : mem_.roll) {
        if (!contains(gone, n)) c.roll.push_back(n), c.offer.push_back(n);
    }
    for (const NodeId& n : come) {
        if (contains(c.roll, n)) continue;
        const auto it = peers_.find(n);
        const bool here =
            it != peers_.end() && it->second.said && it->second.counted &&
            now - it->second.heardAt <= o_.beat * 120;  // at rest it says hello to one of all now and then
        if (n == o_.self ? !o_.counted : !here) why = n + " is not heard of as a core whose disk may count";
        c.roll.push_back(n);
        c.offer.push_back(born(n, n == o_.self ? mem_.birth : here ? it->second.birth : 0));
    }
    // Said again after an answer that was lost, it finds all done; else a wrong address would only add to the
    // roll.
    const bool there = std::all_of(come.begin(), come.end(), [&](const NodeId& n) { return inRoll(n); });
    for (const NodeId& n : gone) {
        if (!there && !inRoll(n)) why = n + " is not on the roll";
    }
    sortUnique(c.roll);
    sortUnique(c.offer);
    const size_t least = 2 * static_cast<size_t>(std::max(0, o_.machineLosses)) + 1;
    if (why.empty() && c.roll.size() < std::min(least, mem_.roll.size()))
        why = "a roll of " + std::to_string(c.roll.size()) + " does not bear the loss of " +
              std::to_string(o_.machineLosses);
    if (why.empty() && change_) why = "another change is under way";
    if (!isMember()) {
        out_.push_back(Answer{ticket, Answer::noMajority, nullptr, {}});
    } else if (!why.empty()) {
        out_.push_back(Answer{ticket, Answer::refused, nullptr, std::move(why)});
    } else if (c.roll == mem_.roll) {
        newOp(now, ticket, true, true, nullptr);  // it is in force; done once it answers
    } else {
        change_ = std::move(c);
        proposeChange(now);
    }
    leave(now);
}

void Core::proposeChange(Instant now) {
    proposeAt_ = Instant::never();
    if (!change_) return;
    proposeAt_ = now + o_.beat * 0.5;
    if (mem_.epoch > change_->epoch) {
        const uint64_t ticket = change_->ticket;
        const bool ours = mem_.epoch == change_->epoch + 1 && mem_.roll == change_->roll;
        change_.reset();
        proposeAt_ = Instant::never();
        if (!ours)
            return out_.push_back(
                Answer{ticket, Answer::refused, nullptr, "another change was decided first"});
        // Decided; done once the new roll answers: till then the machine that leaves is still needed.
        return newOp(now, ticket, true, true, nullptr);
    }
    if (now - change_->since > o_.patience * 4) {
        out_.push_back(Answer{change_->ticket, Answer::noMajority, nullptr, {}});
        change_.reset();
        return;
    }
    if (!isAcceptor() || (round_ != 0 && now - ballotSince_ <= o_.patience)) return;
    if (round_ != 0 && random(Span::millis(1000)) < Span::millis(500))
        return;  // against two that outbid each other
    offer_ = change_->offer;
    prepareBallot(now);
}

void Core::hearRoll(Instant now, const NodeId& from, const Message& m) {
    highestBallot_ = std::max(highestBallot_, m.ballot);
    if (m.kind == Kind::prepare || m.kind == Kind::accept) {
        Message back = make(m.kind == Kind::prepare ? Kind::promise : Kind::accepted, m.ballot);
        withRoll(back);
        if (m.epoch < mem_.epoch) return send(from, std::move(back));  // decided
        if (!isAcceptor()) return;
        const bool own = from == o_.self && m.ballot == mem_.rollBallot;
        if (m.kind == Kind::prepare && (m.ballot > mem_.rollBallot || own)) {
            mem_.rollBallot = m.ballot;
            back.yes = true;
            touch();
        } else if (m.kind == Kind::accept && m.ballot >= mem_.rollBallot && !m.nodes.empty()) {
            mem_.rollBallot = mem_.rollAccepted = m.ballot;
            mem_.rollOffer = m.nodes;
            back.yes = true;
            touch();
        }
        back.ballot = mem_.rollBallot;
        back.accepted = mem_.rollAccepted;
        back.nodes = mem_.rollOffer;
        return sendSynced(from, std::move(back));
    }
    // The ballot's time is bounded for the same reason as that of a write.
    if (round_ == 0 || m.number != round_ || !m.yes || now - ballotSince_ > o_.patience) return;
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
        Message ask = make(Kind::accept);
        ask.ballot = round_;
        ask.nodes = offer_;
        for (const NodeId& n : acceptors()) send(n, ask);
    } else if (m.kind == Kind::accepted && accepting_) {
        acceptances_.insert(from);
        if (acceptances_.size() < needed) return;
        std::vector<NodeId> roll, joined;
        for (const NodeId& n : offer_) {
            roll.push_back(n.substr(0, n.find('#')));
            if (roll.back() != n) joined.push_back(n);
        }
        learnRoll(now, mem_.epoch + 1, std::move(roll), mem_.roll, std::move(joined));
    }
}

// ---- ballots for the duty
//
// At most one core holds at any instant: to hold needs a majority that answered something sent less than
// `lapse` ago, and whoever answered votes for nobody else within a sixteenth more than `lapse` of answering.
// So whoever is voted in by a majority knows one voter whose promise to each earlier holder had run out. A
// voter follows a beat of a higher term at once: its sender was voted in by such a majority, and the earlier
// holder, refused by it since, holds no more. After a restart it is known to whom the promise was given last,
// not until when: so no vote for another within that time. That one gets it at once, as each may always vote
// for whom it has promised to: a core's lease of an earlier life or ballot harms none of its own.
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
    }
    duty_ = {held, term, holder, until};
    if (changed) out_.push_back(duty_);
}

void Core::stand(Instant now) {
    standAt_ = Instant::never();
    if (standing_ != Stand::no) {  // no majority in time
        standing_ = Stand::no;
        standAt_ = now + Span::millis(150) + random(o_.lapse * 0.5);
        return;
    }
    if (released_ || duty_.held) return;
    if (!isMember()) {
        standAt_ = now + o_.lapse;
        return;
    }
    if (!duty_.holder.empty()) return;  // when it lapses, enter() sets the next
    if (!wouldVote(now, o_.self)) {
        standAt_ = promisedUntil_ + random(o_.lapse * 0.25);
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
    if (o_.twin == Twin::fenceStays) standTerm_ = std::max<uint64_t>(standTerm_ - 1, 1);
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
    for (const NodeId& n : mem_.roll) sendAfter(termToken_, n, m);
}

Message Core::ballot() const {
    Message m = make(standing_ == Stand::probing ? Kind::voteProbe : Kind::voteAsk, standNumber_);
    m.term = standTerm_;
    return m;
}

// What is told of it waits for termToken_: then it is on disk to whom.
void Core::promise(Instant now, const NodeId& to, uint64_t term) {
    const bool stale = o_.twin == Twin::stalePromise && !mem_.promisedTo.empty();
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
    while (!beatsSent_.empty() && now - beatsSent_.begin()->second > o_.lapse) {
        beatsSent_.erase(beatsSent_.begin());
    }
    beatsSent_[number] = now;
    Message m = make(Kind::beat, number);
    m.term = duty_.term;
    toPeers(m);
    send(o_.self, std::move(m));
}

void Core::renewLease(Instant now) {
    std::vector<Instant> sent;
    for (const NodeId& n : mem_.roll) {
        const auto it = ackedAt_.find(n);
        if (it != ackedAt_.end()) sent.push_back(it->second);
    }
    if (sent.size() < majority()) return;
    std::sort(sent.rbegin(), sent.rend());
    const Instant until = sent[majority() - 1] + o_.lapse;
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
                setDuty(false, m.term, from, now + o_.lapse);
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
            return sendAfter(termToken_, from, std::move(back));
        }
        case Kind::beatBack: {
            if (!duty_.held || !inRoll(from)) return;
            if (!m.yes) {
                // Held on until it lapses, but under a higher number as soon as a majority agrees.
                if (m.term > duty_.term && standing_ == Stand::no && isMember()) askVotes(now, Stand::asking);
                return;
            }
            const auto it = beatsSent_.find(m.number);
            if (it == beatsSent_.end() || m.term != duty_.term) return;
            auto [at, fresh] = ackedAt_.emplace(from, it->second);
            if (!fresh) at->second = std::max(at->second, it->second);
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
                              (m.term == mem_.term && o_.twin == Twin::fenceStays);
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
            if (standing_ != how || m.number != standNumber_ || !m.yes || !inRoll(from)) return;
            if (now - standSince_ > ballotTime(o_) || released_) return;
            votes_.insert(from);
            if (votes_.size() < majority()) return;
            if (how == Stand::probing) return askVotes(now, Stand::asking);
            standing_ = Stand::no;
            standAt_ = Instant::never();
            ackedAt_.clear();
            beatsSent_.clear();
            for (const NodeId& n : votes_) ackedAt_[n] = standSince_;
            setDuty(true, standTerm_, o_.self, standSince_ + o_.lapse);
            return sendBeats(now);
        }
        default:
            return;
    }
}

void Core::release(Instant now) {
    enter(now);
    released_ = true;
    standing_ = Stand::no;
    standAt_ = Instant::never();
    if (duty_.held) {
        Message m = make(Kind::release);
        m.term = duty_.term;
        setDuty(false, duty_.term, {}, Instant::longAgo());
        toPeers(m);
    }
    leave(now);
}

// ---- inputs

void Core::heard(Instant now, const NodeId& from, const Message& m) {
    enter(now);
    if (from != o_.self && !from.empty()) {
        meet(now, from);
        handle(now, from, m);
    }
    leave(now);
}

void Core::handle(Instant now, const NodeId& from, const Message& m) {
    if (m.kind != Kind::voteProbe) highestTerm_ = std::max(highestTerm_, m.term);
    learnRoll(now, m.epoch, m.roll, m.former, m.joined);
    if (m.kind == Kind::value) adopt(m.value);
    learnMarks(now, from, m);
    if (!ofOurEpoch(from, m)) return;
    switch (m.kind) {
        case Kind::hello:
        case Kind::helloBack: return hearHello(now, from, m);
        case Kind::beat:
        case Kind::beatBack:
        case Kind::release:
        case Kind::voteProbe:
        case Kind::voteProbeBack:
        case Kind::voteAsk:
        case Kind::vote: return hearDuty(now, from, m);
        case Kind::put:
            if (mem_.roll.empty()) return;
            adopt(m.value);
            [[fallthrough]];
        case Kind::get:
            if (isMember()) sendSynced(from, make(Kind::held, m.number));
            return;
        case Kind::held: {
            const auto it = ops_.find(m.number);
            if (it == ops_.end() || !inRoll(from)) return;
            Mark& mark = it->second.answers[from];
            mark = std::max(mark, m.disk);
            return;
        }
        case Kind::fetch: {
            if (!value_ || m.disk >= markOf(value_)) return;
            Message back = make(Kind::value);
            withRoll(back);
            back.value = value_;
            return send(from, std::move(back));
        }
        case Kind::value:
        case Kind::committed: return;
        case Kind::recoverAsk:
        case Kind::recoverTell: return hearRecover(now, from, m);
        case Kind::prepare:
        case Kind::promise:
        case Kind::accept:
        case Kind::accepted: return hearRoll(now, from, m);
    }
}

void Core::lost(Instant now, const NodeId& peer) {
    enter(now);
    // What was under way to it may be gone: asked again soon, not only after the whole pause.
    if (inRoll(peer)) {
        for (auto& [number, op] : ops_) op.resendAt = std::min(op.resendAt, now + Span::millis(50));
    }
    leave(now);
}

void Core::tick(Instant now) {
    enter(now);
    if (now >= helloAt_) {
        const bool lonely = mem_.roll.empty() || mem_.recovering;
        helloAt_ = now + (lonely ? o_.beat : duty_.holder.empty() ? o_.beat * 2 : o_.beat * 4);
        if (lonely || duty_.holder.empty()) {
            for (const NodeId& n : peers()) sayHello(n, Kind::hello);
        } else if (!peers_.empty() && !duty_.held) {
            // Cores that hear a holder still compare with one of the others now and then: the holder may be
            // cut off from whoever holds the newest.
            const auto any = static_cast<long>(random_() % peers_.size());
            sayHello(std::next(peers_.begin(), any)->first, Kind::hello);
        }
    }
    if (now >= suspectAt_) {
        suspectAt_ = Instant::never();
        Mark highest = markOf(value_);
        for (const auto& [node, p] : peers_) highest = std::max(highest, p.disk);
        if (highest > sureMark_) {
            suspectAt_ = now + o_.beat * 4 + random(o_.beat * 4);
            newOp(now, 0, false, true, nullptr);
        }
    }
    if (now >= recoverAt_) {
        beginAnew(now);
        recover(now);
    }
    if (now >= proposeAt_) propose(now);
    if (now >= standAt_) stand(now);
    if (duty_.held && now >= beatAt_) sendBeats(now);
    leave(now);
}

Instant Core::wakeAt() const {
    Instant at = std::min({helloAt_, suspectAt_, recoverAt_, proposeAt_, standAt_, retrySaveAt_});
    if (duty_.held) at = std::min(at, beatAt_);
    if (!duty_.holder.empty()) at = std::min(at, duty_.validUntil);
    for (const auto& [number, op] : ops_) {
        at = std::min(at, op.since + o_.patience + Span::micros(1));
        if (!mem_.roll.empty()) at = std::min(at, op.resendAt);
    }
    return at;
}

}  // namespace petrelpond::muir
