// The register: how a value is written to a majority of disks and read from one.
//
// A version is decided once. Its text is agreed on by ballots, one series for each version: a writer claims
// the version under a ballot from a majority (claim, answered by claimed), takes over the text that was
// accepted there under the highest ballot, or its own where there is none, and puts it (put, answered by
// held). Once a majority has accepted it under one ballot it is chosen, and every later ballot for that
// version finds it. Of two texts that are written under one number one is chosen; who sent the other is told
// `conflict`. Versions need no order among themselves: an acceptor that holds a higher version answers with
// it, and whoever hears of a higher version ends only once that one is chosen. So what was acknowledged is
// either chosen or overtaken by what is.
//
// A read asks a majority. If it agrees, or somebody knows what it holds to be chosen, that is the answer.
// Else a writer may be under way or may have died; after a while the reader claims the version itself.
//
// Weighed: letting the digest decide between two texts, as before (both were told yes, and one was
// displaced); reading before each write (narrows the gap and does not close it); one writer at a time by the
// lease (no writes while it is vacant). It costs one more sync of a short record for each change.
#include <utility>

#include "system/consensus/core_parts.hpp"

namespace petrelpond::consensus {
namespace {

// How long another writer's text may stand unchosen before a reader settles it; several round trips between
// regions and syncs. Harm if too short: two outbid each other; if too long: a read after a writer's death
// waits.
const Span kSettleAfter = Span::millis(200);
const Span kSettleSpread = Span::millis(150);

// Before a version is claimed again; its random part doubles so often.
const Span kOutbidPause = Span::millis(25);
constexpr int kMostOutbid = 4;

// Ballots of two proposers never are the same: the lower half names the machine.
uint64_t ballotOf(uint64_t round, const NodeId& self) {
    uint32_t machine = 0;
    uint32_t part = 0;
    bool address = true;
    for (const char c : self + ".") {
        if (c == '.') {
            machine = machine << 8 | part;
            part = 0;
        } else if (c >= '0' && c <= '9') {
            part = part * 10 + static_cast<uint32_t>(c - '0');
        } else {
            address = false;
        }
    }
    if (!address) machine = static_cast<uint32_t>(std::hash<std::string>{}(self));
    return round << 32 | machine;
}

}  // namespace

// ---- what this disk has accepted and promised

void Core::adopt(const std::shared_ptr<const Value>& v) {
    if (!v || markOf(v) <= markOf(value_)) return;
    value_ = v;
    touch();
}

// `v` is known to be chosen. A member behind takes it whatever it has promised: no ballot for that version
// can end with another text.
void Core::sure(const std::shared_ptr<const Value>& v) {
    if (!v || v->version <= sureMark_.version) return;
    sure_ = v;
    sureMark_ = {v->version, kChosen, v->digest};
    const bool behind = !value_ || value_->version < v->version;
    if (behind || (value_->version == v->version && value_->digest != v->digest)) {
        auto chosen = std::make_shared<Value>(*v);
        chosen->ballot = kChosen;
        value_ = std::move(chosen);
        touch();
    }
    forgetClaims(v->version);
    out_.push_back(News{v});
}

// What this disk holds, as others are told: with the knowledge that it is chosen, where we have it.
Mark Core::toldMark() const {
    const Mark onDisk = markOf(synced_.value);
    return sameText(onDisk, sureMark_) ? sureMark_ : onDisk;
}

void Core::promiseClaim(int64_t version, uint64_t ballot) {
    mem_.claims.promise(version, ballot, heldVersion());
    touch();
}

void Core::forgetClaims(int64_t below) {
    mem_.claims.forgetBelow(below);
    claimNumbers_.erase(claimNumbers_.begin(), claimNumbers_.lower_bound(below));
}

// Whether this core knows that this text was chosen: since it started, or by its disk. Against a core that is
// no member, whose own disk is not asked: it saw that the version is decided, and never that the text which a
// majority holds is the one.
bool Core::isKnownChosen(const Mark& mark) const {
    if (sameText(mark, sureMark_)) return true;
    return value_ && value_->ballot == kChosen && sameText(mark, markOf(value_)) &&
           o_.defect != Defect::asksWithoutPause;
}

// Whether this core knows what was chosen for the version, or that a higher one was.
bool Core::decided(int64_t version) const {
    const bool onDisk = value_ && value_->version == version && value_->ballot == kChosen;
    return sureMark_.version >= version || onDisk;
}

// A claim of a ballot for a version. The same claim again (it was sent twice) is answered again; another one
// of the same ballot is of an earlier life of its sender, and refused.
void Core::hearClaim(const NodeId& from, const Message& m) {
    if (!isMember() || m.version <= 0) return;
    Message back = make(Kind::claimed, m.number);
    const uint64_t promised = claimOf(m.version);
    const auto asked = claimNumbers_.find(m.version);
    const bool again =
        promised == m.ballot && asked != claimNumbers_.end() && asked->second == std::pair(from, m.number);
    const bool overtaken = heldVersion() > m.version;
    const bool full = o_.defect == Defect::refusesWhenFull && !mem_.claims.isListed(m.version) &&
                      mem_.claims.listed().size() >= PromisedBallots::kMaxListed;
    back.version = m.version;
    if (!overtaken && !full && !decided(m.version) && (m.ballot > promised || again)) {
        if (!again) {
            promiseClaim(m.version, m.ballot);
            claimNumbers_[m.version] = {from, m.number};
            std::erase_if(claimNumbers_,
                          [this](const auto& each) { return !mem_.claims.isListed(each.first); });
        }
        back.yes = true;
    }
    back.ballot = claimOf(m.version);
    sendSynced(from, std::move(back));
}

void Core::hearPut(const NodeId& from, const Message& m) {
    if (!isMember() || !m.value || m.value->version <= 0) return;
    Message back = make(Kind::held, m.number);
    const Value& put = *m.value;
    const bool overtaken = heldVersion() > put.version;
    const bool promisedElse = claimOf(put.version) > put.ballot && o_.defect != Defect::ignoresClaims;
    if (!overtaken && !promisedElse && !decided(put.version)) {
        value_ = m.value;
        promiseClaim(put.version, put.ballot);
        forgetClaims(put.version);
        back.yes = true;
    }
    back.version = put.version;
    back.ballot = claimOf(put.version);
    sendSynced(from, std::move(back));
}

void Core::hearGet(const NodeId& from, const Message& m) {
    if (!isMember()) return;
    Message back = make(Kind::held, m.number);
    back.ballot = value_ ? claimOf(value_->version) : 0;
    sendSynced(from, std::move(back));
}

// What is chosen, and what is accepted here where that is another: either may be what is asked for.
void Core::hearFetch(const NodeId& to, const Message& m) {
    Message back = make(Kind::value);
    withVoters(back);
    if (sure_ && m.sure.version < sureMark_.version) {
        back.value = sure_;
        send(to, back);
    }
    if (value_ && m.disk < markOf(value_) && !sameText(markOf(value_), sureMark_)) {
        back.value = value_;
        send(to, std::move(back));
    }
}

void Core::hearValue(const Message& m) {
    if (!m.value) return;
    if (sameText(markOf(m.value), m.sure)) sure(m.value);
    for (auto& [number, op] : ops_) {
        if (op.step == Op::Step::asking && sameText(markOf(m.value), op.highest)) op.found = m.value;
        if (op.step == Op::Step::claiming && sameText(markOf(m.value), op.accepted)) op.found = m.value;
    }
}

void Core::fetch(Instant now, const NodeId& from) {
    if (from == o_.self || now < fetchAt_ + Span::millis(250)) return;  // a body may need that long
    fetchAt_ = now;
    send(from, make(Kind::fetch));
}

// What others hold: what is chosen is taken from them, what is not yet (its writer may have died) is looked
// at by a read, after a while in which the writer itself may finish.
void Core::learnMarks(Instant now, const NodeId& from, const Message& m) {
    if (from == o_.self) return;
    peers_[from].disk = m.disk;
    if (m.sure.version > sureMark_.version) {
        if (sameText(markOf(value_), m.sure)) {
            sure(value_);
        } else if (m.sure.version >= markOf(value_).version) {
            fetch(now, from);
        }
    }
    const int64_t newest = std::max(m.disk, markOf(value_)).version;
    if (newest > sureMark_.version && suspectAt_ == Instant::never())
        suspectAt_ = now + o_.beat * 2 + random(o_.beat * 4);
}

// ---- writes and reads that were begun here

void Core::write(Instant now, uint64_t ticket, std::shared_ptr<const Value> v) {
    enter(now);
    if (o_.defect == Defect::refusesRepeats && decided(v->version)) {
        out_.push_back(Answer{ticket, Answer::conflict, sure_, {}});
        return leave(now);
    }
    newOp(now, ticket, true, false, std::move(v));
    leave(now);
}

void Core::read(Instant now, uint64_t ticket) {
    enter(now);
    newOp(now, ticket, true, true, nullptr);
    leave(now);
}

void Core::newOp(Instant now, uint64_t ticket, bool wanted, bool reading, std::shared_ptr<const Value> own) {
    Op op;
    op.ticket = ticket;
    op.wanted = wanted;
    op.since = now;
    if (reading) {
        op.step = Op::Step::asking;
    } else {
        op.own = own;
        op.text = std::move(own);
        op.step = Op::Step::claiming;
    }
    ops_.emplace(++number_, std::move(op));
}

void Core::stepAll(Instant now) {
    for (auto it = ops_.begin(); it != ops_.end();) {
        it = step(now, it->first, it->second) ? ops_.erase(it) : std::next(it);
    }
}

// True: the operation is over.
bool Core::step(Instant now, uint64_t number, Op& op) {
    // Checked before anything is counted: an answer of a disk that was lost meanwhile must not count, see
    // recoverWait. It catches our own freezes too.
    if (now - op.since > o_.operationTimeout) {
        if (op.wanted) out_.push_back(Answer{op.ticket, Answer::noMajority, nullptr, {}});
        return true;
    }
    if (mem_.voters.empty() || now < op.pausedUntil) return false;
    // Chosen meanwhile, by whomever: what remains is to hear so from a majority.
    if (op.step != Op::Step::asking && decided(op.text->version)) askAgain(now, op, wasOvertaken(op));
    if (op.step == Op::Step::asking && stepAsking(now, op)) return true;
    if (op.step == Op::Step::claiming) stepClaiming(now, op);
    if (op.step == Op::Step::putting && op.yes.size() >= majority()) {
        // `chosen` before anybody is told: what is told is told of the newest that is known.
        const bool news = op.text->version > sureMark_.version;
        sure(op.text);
        if (news) toPeers(make(Kind::committed));
        finish(op, op.text);
        return true;
    }
    if (now >= op.pausedUntil && now >= op.resendAt) resend(now, number, op);
    return false;
}

void Core::finish(const Op& op, const std::shared_ptr<const Value>& chosen) {
    if (!op.wanted) return;
    const bool lost =
        op.own && chosen && chosen->version == op.own->version && chosen->digest != op.own->digest;
    out_.push_back(Answer{op.ticket, lost ? Answer::conflict : Answer::done, chosen, {}});
}

void Core::beginStep(Op& op, Op::Step step, Instant from) {
    op.step = step;
    op.marks.clear();
    op.yes.clear();
    op.ballot = 0;
    op.accepted = {};
    op.pausedUntil = from;
    op.resendAt = Instant::longAgo();
    op.pause = Span::millis(200);
}

// True: what was asked for is known to be chosen, and told.
bool Core::stepAsking(Instant now, Op& op) {
    if (op.marks.size() < majority()) return false;
    Mark highest;
    for (const auto& [node, mark] : op.marks) highest = std::max(highest, mark);
    const bool overtakes = op.own && op.own->version > highest.version;
    if (overtakes) {  // what we heard of is gone with the disk that held it, and was never chosen
        op.text = op.own;
        beginStep(op, Op::Step::claiming, now);
        return false;
    }
    if (highest.version == 0) {
        finish(op, nullptr);
        return true;
    }
    op.highest = highest;
    const auto agreeing = std::count_if(op.marks.begin(), op.marks.end(), [&](const auto& entry) {
        return entry.second == highest && !op.open.count(entry.first);
    });
    const bool chosen =
        highest.ballot == kChosen || isKnownChosen(highest) || static_cast<size_t>(agreeing) >= majority();
    const std::shared_ptr<const Value> text = bodyOf(now, op, highest);
    if (!text) return false;
    if (chosen || o_.defect == Defect::noWriteBack) {
        const bool news = highest.version > sureMark_.version;
        if (chosen) sure(text);
        if (chosen && news) toPeers(make(Kind::committed));
        finish(op, text);
        return true;
    }
    if (op.settleAt == Instant::never()) op.settleAt = now + kSettleAfter + random(kSettleSpread);
    if (now < op.settleAt) {
        beginStep(op, Op::Step::asking, std::min(op.settleAt, now + kOutbidPause + random(kOutbidPause)));
        return false;
    }
    op.text = text;
    beginStep(op, Op::Step::claiming, now);
    return false;
}

// The text of a mark, from our own disk or from whoever told of it; null: asked for.
std::shared_ptr<const Value> Core::bodyOf(Instant now, Op& op, const Mark& mark) {
    for (const auto& candidate : {sure_, value_, op.own, op.text, op.found}) {
        if (candidate && sameText(markOf(candidate), mark)) return candidate;
    }
    for (const auto& [node, theirs] : op.marks) {
        if (sameText(theirs, mark)) fetch(now, node);
    }
    return nullptr;
}

void Core::stepClaiming(Instant now, Op& op) {
    if (op.ballot == 0) {
        highestClaim_ = std::max(highestClaim_, claimOf(op.text->version) >> 32) + 1;
        op.ballot = ballotOf(highestClaim_, o_.self);
    }
    if (op.yes.size() < majority()) return;
    std::shared_ptr<const Value> text = op.text;
    if (op.accepted.version > 0 && o_.defect != Defect::putsItsOwn) {
        text = bodyOf(now, op, op.accepted);
        if (!text) return;
    }
    const uint64_t ballot = op.ballot;
    beginStep(op, Op::Step::putting, now);
    op.ballot = ballot;
    auto put = std::make_shared<Value>(*text);
    put->ballot = ballot;
    op.text = std::move(put);
}

// Looks whether the version was decided, or another writer has finished, before it is claimed again. Against
// two that outbid each other, and against a member that holds a higher version which the fastest majority
// does not know: to ask and to claim in turn without a pause sends as many messages as the links carry, and
// each late answer to a former claim begins one more round (schedule 330848 of replacement_test). Harm: a
// writer that is overtaken twice by what is not chosen waits for 25 to 425 ms.
void Core::askAgain(Instant now, Op& op, bool pauses) {
    if (!pauses) return beginStep(op, Op::Step::asking, now);
    op.outbid = std::min(op.outbid + 1, kMostOutbid);
    beginStep(op, Op::Step::asking, now + kOutbidPause + random(kOutbidPause * (1 << op.outbid)));
}

// Whether the operation was overtaken before; from now on it was.
bool Core::wasOvertaken(Op& op) const {
    return std::exchange(op.overtaken, true) && o_.defect != Defect::asksWithoutPause;
}

// An answer to get, claim or put. One of an earlier step may come late: it says what its sender holds, and
// counts in no majority.
void Core::hearRegister(Instant now, const NodeId& from, const Message& m) {
    const auto it = ops_.find(m.number);
    if (it == ops_.end() || !isVoter(from)) return;
    Op& op = it->second;
    highestClaim_ = std::max(highestClaim_, m.ballot >> 32);
    if (op.step == Op::Step::asking) {
        if (m.kind != Kind::held || m.version != 0) return;
        op.marks[from] = m.disk;
        const bool open = m.disk.ballot != kChosen && m.ballot > m.disk.ballot;
        open ? static_cast<void>(op.open.insert(from)) : static_cast<void>(op.open.erase(from));
        return;
    }
    const int64_t version = op.text->version;
    if (m.version != version) return;
    const bool chosen = m.disk.version == version && m.disk.ballot == kChosen;
    if (m.disk.version > version || chosen) return askAgain(now, op, wasOvertaken(op));
    if (m.kind == (op.step == Op::Step::claiming ? Kind::claimed : Kind::held)) {
        if (op.step == Op::Step::claiming && m.disk.version == version) {
            op.marks[from] = m.disk;
            op.accepted = std::max(op.accepted, m.disk);
        }
        if (m.yes && m.ballot == op.ballot) {  // not of an earlier ballot of this operation
            op.yes.insert(from);
        } else if (m.ballot > op.ballot) {
            askAgain(now, op, true);
        }
    }
}

void Core::resend(Instant now, uint64_t number, Op& op) {
    op.resendAt = now + op.pause;
    op.pause = op.pause * 1.5;
    const Kind kind = op.step == Op::Step::asking     ? Kind::get
                      : op.step == Op::Step::claiming ? Kind::claim
                                                      : Kind::put;
    Message m = make(kind, number);
    withVoters(m);
    if (kind != Kind::get) {
        m.version = op.text->version;
        m.ballot = op.ballot;
    }
    if (kind == Kind::put) m.value = op.text;
    for (const NodeId& n : mem_.voters) {
        const bool answered = kind == Kind::get ? op.marks.count(n) > 0 : op.yes.count(n) > 0;
        if (!answered) send(n, m);
    }
}

}  // namespace petrelpond::consensus
