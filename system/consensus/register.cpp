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

#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {
namespace {

// How long another writer's text may stand unchosen before a reader settles it; several round trips between
// regions and syncs. Harm if too short: two outbid each other; if too long: a read after a writer's death
// waits.
const Span kSettleDelay = Span::millis(200);
const Span kSettleJitter = Span::millis(150);

// Before a version is claimed again; its random part doubles so often.
const Span kOutbidPause = Span::millis(25);
constexpr int kMaxOutbidDoublings = 4;

// Ballots of two proposers never are the same: the lower half names the machine.
uint64_t makeBallot(uint64_t round, const NodeId& self) {
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

void Core::adoptIfNewer(const std::shared_ptr<const Value>& v) {
    if (!v || headerOf(v) <= headerOf(value_)) return;
    value_ = v;
    markDirty();
}

// `v` is known to be chosen. A member behind takes it whatever it has promised: no ballot for that version
// can end with another text.
void Core::learnChosen(const std::shared_ptr<const Value>& v) {
    if (!v || v->version <= chosenHeader_.version) return;
    chosen_ = v;
    chosenHeader_ = {v->version, kChosenBallot, v->digest};
    const bool behind = !value_ || value_->version < v->version;
    if (behind || (value_->version == v->version && value_->digest != v->digest)) {
        auto chosen = std::make_shared<Value>(*v);
        chosen->ballot = kChosenBallot;
        value_ = std::move(chosen);
        markDirty();
    }
    forgetClaims(v->version);
    outputs_.push_back(ValueChosen{v});
}

// What this disk holds, as others are told: with the knowledge that it is chosen, where we have it.
ValueHeader Core::syncedHeader() const {
    const ValueHeader onDisk = headerOf(synced_.value);
    return isSameContent(onDisk, chosenHeader_) ? chosenHeader_ : onDisk;
}

void Core::promiseClaim(int64_t version, uint64_t ballot) {
    state_.claims.promise(version, ballot, heldVersion());
    markDirty();
}

void Core::forgetClaims(int64_t below) {
    state_.claims.forgetBelow(below);
    claimRequests_.erase(claimRequests_.begin(), claimRequests_.lower_bound(below));
}

// Whether this core knows that this text was chosen: since it started, or by its disk. Against a core that is
// no member, whose own disk is not asked: it saw that the version is decided, and never that the text which a
// majority holds is the one.
bool Core::isKnownChosen(const ValueHeader& header) const {
    if (isSameContent(header, chosenHeader_)) return true;
    return value_ && value_->ballot == kChosenBallot && isSameContent(header, headerOf(value_)) &&
           options_.defect != Defect::retriesWithoutPause;
}

// Whether this core knows what was chosen for the version, or that a higher one was.
bool Core::isDecided(int64_t version) const {
    const bool onDisk = value_ && value_->version == version && value_->ballot == kChosenBallot;
    return chosenHeader_.version >= version || onDisk;
}

// A claim of a ballot for a version. The same claim again (it was sent twice) is answered again; another one
// of the same ballot is of an earlier life of its sender, and refused.
void Core::handleClaim(const NodeId& from, const Message& m) {
    if (!isMember() || m.version <= 0) return;
    Message back = makeMessage(MessageKind::claimReply, m.requestId);
    const uint64_t promised = promisedBallot(m.version);
    const auto asked = claimRequests_.find(m.version);
    const bool again = promised == m.ballot && asked != claimRequests_.end() &&
                       asked->second == std::pair(from, m.requestId);
    const bool overtaken = heldVersion() > m.version;
    const bool full = options_.defect == Defect::refusesClaimsWhenFull &&
                      !state_.claims.isListed(m.version) &&
                      state_.claims.listed().size() >= PromisedBallots::kMaxListed;
    back.version = m.version;
    if (!overtaken && !full && !isDecided(m.version) && (m.ballot > promised || again)) {
        if (!again) {
            promiseClaim(m.version, m.ballot);
            claimRequests_[m.version] = {from, m.requestId};
            std::erase_if(claimRequests_,
                          [this](const auto& each) { return !state_.claims.isListed(each.first); });
        }
        back.granted = true;
    }
    back.ballot = promisedBallot(m.version);
    sendAfterSync(from, std::move(back));
}

void Core::handlePut(const NodeId& from, const Message& m) {
    if (!isMember() || !m.value || m.value->version <= 0) return;
    Message back = makeMessage(MessageKind::registerReply, m.requestId);
    const Value& put = *m.value;
    const bool overtaken = heldVersion() > put.version;
    const bool promisedElse =
        promisedBallot(put.version) > put.ballot && options_.defect != Defect::ignoresClaims;
    if (!overtaken && !promisedElse && !isDecided(put.version)) {
        value_ = m.value;
        promiseClaim(put.version, put.ballot);
        forgetClaims(put.version);
        back.granted = true;
    }
    back.version = put.version;
    back.ballot = promisedBallot(put.version);
    sendAfterSync(from, std::move(back));
}

void Core::handleGet(const NodeId& from, const Message& m) {
    if (!isMember()) return;
    Message back = makeMessage(MessageKind::registerReply, m.requestId);
    back.ballot = value_ ? promisedBallot(value_->version) : 0;
    sendAfterSync(from, std::move(back));
}

// What is chosen, and what is accepted here where that is another: either may be what is asked for.
void Core::handleFetch(const NodeId& to, const Message& m) {
    Message back = makeMessage(MessageKind::value);
    addVotersTo(back);
    if (chosen_ && m.chosenValue.version < chosenHeader_.version) {
        back.value = chosen_;
        send(to, back);
    }
    if (value_ && m.syncedValue < headerOf(value_) && !isSameContent(headerOf(value_), chosenHeader_)) {
        back.value = value_;
        send(to, std::move(back));
    }
}

void Core::handleValue(const Message& m) {
    if (!m.value) return;
    if (isSameContent(headerOf(m.value), m.chosenValue)) learnChosen(m.value);
    for (auto& [requestId, op] : operations_) {
        if (op.step == Operation::Step::reading && isSameContent(headerOf(m.value), op.highest))
            op.fetched = m.value;
        if (op.step == Operation::Step::claiming && isSameContent(headerOf(m.value), op.acceptedValue))
            op.fetched = m.value;
    }
}

void Core::fetchValue(Instant now, const NodeId& from) {
    if (from == options_.self || now < lastFetchAt_ + Span::millis(250)) return;  // a body may need that long
    lastFetchAt_ = now;
    send(from, makeMessage(MessageKind::fetch));
}

// What others hold: what is chosen is taken from them, what is not yet (its writer may have died) is looked
// at by a read, after a while in which the writer itself may finish.
void Core::learnHeaders(Instant now, const NodeId& from, const Message& m) {
    if (from == options_.self) return;
    peers_[from].syncedValue = m.syncedValue;
    if (m.chosenValue.version > chosenHeader_.version) {
        if (isSameContent(headerOf(value_), m.chosenValue)) {
            learnChosen(value_);
        } else if (m.chosenValue.version >= headerOf(value_).version) {
            fetchValue(now, from);
        }
    }
    const int64_t newest = std::max(m.syncedValue, headerOf(value_)).version;
    if (newest > chosenHeader_.version && settleReadAt_ == Instant::never())
        settleReadAt_ = now + options_.heartbeatInterval * 2 + randomSpan(options_.heartbeatInterval * 4);
}

// ---- writes and reads that were begun here

void Core::write(Instant now, uint64_t ticket, std::shared_ptr<const Value> v) {
    beginInput(now);
    if (options_.defect == Defect::refusesRepeatedWrites && isDecided(v->version)) {
        outputs_.push_back(OperationResult{ticket, OperationResult::conflict, chosen_, {}});
        return endInput(now);
    }
    startOperation(now, ticket, true, false, std::move(v));
    endInput(now);
}

void Core::read(Instant now, uint64_t ticket) {
    beginInput(now);
    startOperation(now, ticket, true, true, nullptr);
    endInput(now);
}

void Core::startOperation(Instant now, uint64_t ticket, bool wanted, bool reading,
                          std::shared_ptr<const Value> own) {
    Operation op;
    op.ticket = ticket;
    op.hasCaller = wanted;
    op.since = now;
    if (reading) {
        op.step = Operation::Step::reading;
    } else {
        op.requested = own;
        op.proposal = std::move(own);
        op.step = Operation::Step::claiming;
    }
    operations_.emplace(++lastRequestId_, std::move(op));
}

void Core::advanceOperations(Instant now) {
    for (auto it = operations_.begin(); it != operations_.end();) {
        it = advanceOperation(now, it->first, it->second) ? operations_.erase(it) : std::next(it);
    }
}

// True: the operation is over.
bool Core::advanceOperation(Instant now, uint64_t requestId, Operation& op) {
    // Checked before anything is counted: an answer of a disk that was lost meanwhile must not count, see
    // recoveryDelay. It catches our own freezes too.
    if (now - op.since > options_.operationTimeout) {
        if (op.hasCaller)
            outputs_.push_back(OperationResult{op.ticket, OperationResult::noMajority, nullptr, {}});
        return true;
    }
    if (state_.voters.empty() || now < op.pausedUntil) return false;
    // Chosen meanwhile, by whomever: what remains is to hear so from a majority.
    if (op.step != Operation::Step::reading && isDecided(op.proposal->version))
        restartReading(now, op, markOvertaken(op));
    if (op.step == Operation::Step::reading && stepReading(now, op)) return true;
    if (op.step == Operation::Step::claiming) stepClaiming(now, op);
    if (op.step == Operation::Step::putting && op.grants.size() >= majority()) {
        // `chosen` before anybody is told: what is told is told of the newest that is known.
        const bool news = op.proposal->version > chosenHeader_.version;
        learnChosen(op.proposal);
        if (news) sendToPeers(makeMessage(MessageKind::committed));
        finishOperation(op, op.proposal);
        return true;
    }
    if (now >= op.pausedUntil && now >= op.resendAt) resendRequest(now, requestId, op);
    return false;
}

void Core::finishOperation(const Operation& op, const std::shared_ptr<const Value>& chosen) {
    if (!op.hasCaller) return;
    const bool lost = op.requested && chosen && chosen->version == op.requested->version &&
                      chosen->digest != op.requested->digest;
    outputs_.push_back(
        OperationResult{op.ticket, lost ? OperationResult::conflict : OperationResult::done, chosen, {}});
}

void Core::beginStep(Operation& op, Operation::Step step, Instant from) {
    op.step = step;
    op.headers.clear();
    op.grants.clear();
    op.ballot = 0;
    op.acceptedValue = {};
    op.pausedUntil = from;
    op.resendAt = Instant::longAgo();
    op.resendPause = Span::millis(200);
}

// True: what was asked for is known to be chosen, and told.
bool Core::stepReading(Instant now, Operation& op) {
    if (op.headers.size() < majority()) return false;
    ValueHeader highest;
    for (const auto& [node, header] : op.headers) highest = std::max(highest, header);
    const bool overtakes = op.requested && op.requested->version > highest.version;
    if (overtakes) {  // what we heard of is gone with the disk that held it, and was never chosen
        op.proposal = op.requested;
        beginStep(op, Operation::Step::claiming, now);
        return false;
    }
    if (highest.version == 0) {
        finishOperation(op, nullptr);
        return true;
    }
    op.highest = highest;
    const auto agreeing = std::count_if(op.headers.begin(), op.headers.end(), [&](const auto& entry) {
        return entry.second == highest && !op.higherPromises.count(entry.first);
    });
    const bool chosen = highest.ballot == kChosenBallot || isKnownChosen(highest) ||
                        static_cast<size_t>(agreeing) >= majority();
    const std::shared_ptr<const Value> text = findValue(now, op, highest);
    if (!text) return false;
    if (chosen || options_.defect == Defect::noWriteBack) {
        const bool news = highest.version > chosenHeader_.version;
        if (chosen) learnChosen(text);
        if (chosen && news) sendToPeers(makeMessage(MessageKind::committed));
        finishOperation(op, text);
        return true;
    }
    if (op.settleAt == Instant::never()) op.settleAt = now + kSettleDelay + randomSpan(kSettleJitter);
    if (now < op.settleAt) {
        beginStep(op, Operation::Step::reading,
                  std::min(op.settleAt, now + kOutbidPause + randomSpan(kOutbidPause)));
        return false;
    }
    op.proposal = text;
    beginStep(op, Operation::Step::claiming, now);
    return false;
}

// The text of a mark, from our own disk or from whoever told of it; null: asked for.
std::shared_ptr<const Value> Core::findValue(Instant now, Operation& op, const ValueHeader& header) {
    for (const auto& candidate : {chosen_, value_, op.requested, op.proposal, op.fetched}) {
        if (candidate && isSameContent(headerOf(candidate), header)) return candidate;
    }
    for (const auto& [node, theirs] : op.headers) {
        if (isSameContent(theirs, header)) fetchValue(now, node);
    }
    return nullptr;
}

void Core::stepClaiming(Instant now, Operation& op) {
    if (op.ballot == 0) {
        highestClaimRound_ = std::max(highestClaimRound_, promisedBallot(op.proposal->version) >> 32) + 1;
        op.ballot = makeBallot(highestClaimRound_, options_.self);
    }
    if (op.grants.size() < majority()) return;
    std::shared_ptr<const Value> text = op.proposal;
    if (op.acceptedValue.version > 0 && options_.defect != Defect::ignoresAcceptedValue) {
        text = findValue(now, op, op.acceptedValue);
        if (!text) return;
    }
    const uint64_t ballot = op.ballot;
    beginStep(op, Operation::Step::putting, now);
    op.ballot = ballot;
    auto put = std::make_shared<Value>(*text);
    put->ballot = ballot;
    op.proposal = std::move(put);
}

// Looks whether the version was decided, or another writer has finished, before it is claimed again. Against
// two that outbid each other, and against a member that holds a higher version which the fastest majority
// does not know: to ask and to claim in turn without a pause sends as many messages as the links carry, and
// each late answer to a former claim begins one more round (schedule 330848 of replacement_test). Harm: a
// writer that is overtaken twice by what is not chosen waits for 25 to 425 ms.
void Core::restartReading(Instant now, Operation& op, bool pauses) {
    if (!pauses) return beginStep(op, Operation::Step::reading, now);
    op.outbidCount = std::min(op.outbidCount + 1, kMaxOutbidDoublings);
    beginStep(op, Operation::Step::reading,
              now + kOutbidPause + randomSpan(kOutbidPause * (1 << op.outbidCount)));
}

// Whether the operation was overtaken before; from now on it was.
bool Core::markOvertaken(Operation& op) const {
    return std::exchange(op.overtaken, true) && options_.defect != Defect::retriesWithoutPause;
}

// An answer to get, claim or put. One of an earlier step may come late: it says what its sender holds, and
// counts in no majority.
void Core::handleRegisterReply(Instant now, const NodeId& from, const Message& m) {
    const auto it = operations_.find(m.requestId);
    if (it == operations_.end() || !isVoter(from)) return;
    Operation& op = it->second;
    highestClaimRound_ = std::max(highestClaimRound_, m.ballot >> 32);
    if (op.step == Operation::Step::reading) {
        if (m.kind != MessageKind::registerReply || m.version != 0) return;
        op.headers[from] = m.syncedValue;
        const bool open = m.syncedValue.ballot != kChosenBallot && m.ballot > m.syncedValue.ballot;
        open ? static_cast<void>(op.higherPromises.insert(from))
             : static_cast<void>(op.higherPromises.erase(from));
        return;
    }
    const int64_t version = op.proposal->version;
    if (m.version != version) return;
    const bool chosen = m.syncedValue.version == version && m.syncedValue.ballot == kChosenBallot;
    if (m.syncedValue.version > version || chosen) return restartReading(now, op, markOvertaken(op));
    if (m.kind ==
        (op.step == Operation::Step::claiming ? MessageKind::claimReply : MessageKind::registerReply)) {
        if (op.step == Operation::Step::claiming && m.syncedValue.version == version) {
            op.headers[from] = m.syncedValue;
            op.acceptedValue = std::max(op.acceptedValue, m.syncedValue);
        }
        if (m.granted && m.ballot == op.ballot) {  // not of an earlier ballot of this operation
            op.grants.insert(from);
        } else if (m.ballot > op.ballot) {
            restartReading(now, op, true);
        }
    }
}

void Core::resendRequest(Instant now, uint64_t requestId, Operation& op) {
    op.resendAt = now + op.resendPause;
    op.resendPause = op.resendPause * 1.5;
    const MessageKind kind = op.step == Operation::Step::reading    ? MessageKind::get
                             : op.step == Operation::Step::claiming ? MessageKind::claim
                                                                    : MessageKind::put;
    Message m = makeMessage(kind, requestId);
    addVotersTo(m);
    if (kind != MessageKind::get) {
        m.version = op.proposal->version;
        m.ballot = op.ballot;
    }
    if (kind == MessageKind::put) m.value = op.proposal;
    for (const NodeId& n : state_.voters) {
        const bool answered = kind == MessageKind::get ? op.headers.count(n) > 0 : op.grants.count(n) > 0;
        if (!answered) send(n, m);
    }
}

}  // namespace petrelpond::consensus
