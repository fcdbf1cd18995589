// The register: writes a value to a majority of the disks and reads it from one.
//
// Each version is decided once, by its own instance of single-decree Paxos. A writer claims the version under
// a ballot from a majority (claim, answered by claimReply), takes over the value that was accepted there
// under the highest ballot, or its own where there is none, and puts it (put, answered by registerReply).
// Once a majority has accepted a value under one ballot, it is chosen, and every later ballot for that
// version finds it. Of two values written under one version one is chosen; the writer of the other gets
// `conflict`. Versions need no order among themselves: an acceptor that holds a higher version replies with
// it, and an operation that learns of a higher version ends only once that version is chosen. So an
// acknowledged value is either chosen or superseded by a chosen one.
//
// A read asks a majority. If all replies agree, or a member knows its value to be chosen, that value is the
// result. Otherwise a writer may be active or may have died; after a delay the reader claims the version
// itself.
//
// Rejected alternatives: letting the digest decide between two values (both writers got an acknowledgement,
// and one value was displaced); reading before each write (narrows the race but does not close it); a single
// writer elected by the lease (no writes while it is vacant). Drawback: one more sync of a short record for
// each write.
#include <utility>

#include "system/consensus/core_internal.hpp"

namespace petrelpond::consensus {
namespace {

// How long another writer's value may remain undecided before a reader claims its version: several round
// trips between regions plus syncs. Too short: the two outbid each other. Too long: a read after a writer's
// death waits.
const Span kSettleDelay = Span::millis(200);
const Span kSettleJitter = Span::millis(150);

// The pause before a version is read and claimed again, and how often its random part may double.
const Span kOutbidPause = Span::millis(25);
constexpr int kMaxOutbidDoublings = 4;

// Two proposers never use the same ballot: the lower half is the machine's IPv4 address (a hash of any other
// name).
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

// ---- accepted values and promises of this disk

void Core::adoptIfNewer(const std::shared_ptr<const Value>& v) {
    if (!v || headerOf(v) <= headerOf(value_)) return;
    value_ = v;
    markDirty();
}

// `v` is known to be chosen. A core with an older or another value takes it regardless of its promises, as no
// ballot for that version can choose another value.
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

// The synced value as reported to others, marked as chosen if that is known.
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

// Whether this core knows that this value was chosen, from messages or from its disk. The disk matters for a
// core that is not a member and so is not among the replies: it knew that the version was decided, but not
// that the value of the majority was the chosen one, and read again forever.
bool Core::isKnownChosen(const ValueHeader& header) const {
    if (isSameContent(header, chosenHeader_)) return true;
    return value_ && value_->ballot == kChosenBallot && isSameContent(header, headerOf(value_)) &&
           options_.defect != Defect::retriesWithoutPause;
}

// Whether this core knows the chosen value of this version or of a higher one.
bool Core::isDecided(int64_t version) const {
    const bool onDisk = value_ && value_->version == version && value_->ballot == kChosenBallot;
    return chosenHeader_.version >= version || onDisk;
}

// A repeated claim with the same request id was sent twice and gets the same answer. Another claim under the
// same ballot comes from a different run of its sender and is refused.
void Core::handleClaim(const NodeId& from, const Message& m) {
    if (!isMember() || m.version <= 0) return;
    Message reply = makeMessage(MessageKind::claimReply, m.requestId);
    const uint64_t promised = promisedBallot(m.version);
    const auto asked = claimRequests_.find(m.version);
    const bool isRepeat = promised == m.ballot && asked != claimRequests_.end() &&
                          asked->second == std::pair(from, m.requestId);
    const bool overtaken = heldVersion() > m.version;
    const bool refusesAsFull = options_.defect == Defect::refusesClaimsWhenFull &&
                               !state_.claims.isListed(m.version) &&
                               state_.claims.listed().size() >= PromisedBallots::kMaxListed;
    reply.version = m.version;
    if (!overtaken && !refusesAsFull && !isDecided(m.version) && (m.ballot > promised || isRepeat)) {
        if (!isRepeat) {
            promiseClaim(m.version, m.ballot);
            claimRequests_[m.version] = {from, m.requestId};
            std::erase_if(claimRequests_,
                          [this](const auto& each) { return !state_.claims.isListed(each.first); });
        }
        reply.granted = true;
    }
    reply.ballot = promisedBallot(m.version);
    sendAfterSync(from, std::move(reply));
}

void Core::handlePut(const NodeId& from, const Message& m) {
    if (!isMember() || !m.value || m.value->version <= 0) return;
    Message reply = makeMessage(MessageKind::registerReply, m.requestId);
    const Value& put = *m.value;
    const bool overtaken = heldVersion() > put.version;
    const bool promisedHigher =
        promisedBallot(put.version) > put.ballot && options_.defect != Defect::ignoresClaims;
    if (!overtaken && !promisedHigher && !isDecided(put.version)) {
        value_ = m.value;
        promiseClaim(put.version, put.ballot);
        forgetClaims(put.version);
        reply.granted = true;
    }
    reply.version = put.version;
    reply.ballot = promisedBallot(put.version);
    sendAfterSync(from, std::move(reply));
}

void Core::handleGet(const NodeId& from, const Message& m) {
    if (!isMember()) return;
    Message reply = makeMessage(MessageKind::registerReply, m.requestId);
    reply.ballot = value_ ? promisedBallot(value_->version) : 0;
    sendAfterSync(from, std::move(reply));
}

// Sends the chosen value, and the accepted one if it differs: either may be the one wanted.
void Core::handleFetch(const NodeId& to, const Message& m) {
    Message reply = makeMessage(MessageKind::value);
    addVotersTo(reply);
    if (chosen_ && m.chosenValue.version < chosenHeader_.version) {
        reply.value = chosen_;
        send(to, reply);
    }
    if (value_ && m.syncedValue < headerOf(value_) && !isSameContent(headerOf(value_), chosenHeader_)) {
        reply.value = value_;
        send(to, std::move(reply));
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
    if (from == options_.self || now < lastFetchAt_ + Span::millis(250))
        return;  // a body may take that long to arrive
    lastFetchAt_ = now;
    send(from, makeMessage(MessageKind::fetch));
}

// Learns what another core holds. A chosen value is fetched; for an undecided one, whose writer may have
// died, a read is scheduled after a delay in which the writer may still finish.
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

// ---- writes and reads begun by this core

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

void Core::startOperation(Instant now, uint64_t ticket, bool hasCaller, bool reading,
                          std::shared_ptr<const Value> requested) {
    Operation op;
    op.ticket = ticket;
    op.hasCaller = hasCaller;
    op.since = now;
    if (reading) {
        op.step = Operation::Step::reading;
    } else {
        op.requested = requested;
        op.proposal = std::move(requested);
        op.step = Operation::Step::claiming;
    }
    operations_.emplace(++lastRequestId_, std::move(op));
}

void Core::advanceOperations(Instant now) {
    for (auto it = operations_.begin(); it != operations_.end();) {
        it = advanceOperation(now, it->first, it->second) ? operations_.erase(it) : std::next(it);
    }
}

// Returns true if the operation is finished.
bool Core::advanceOperation(Instant now, uint64_t requestId, Operation& op) {
    // Checked before any reply is counted: a reply of a disk that was lost meanwhile must not count, see
    // recoveryDelay. This also covers freezes of our own process.
    if (now - op.since > options_.operationTimeout) {
        if (op.hasCaller)
            outputs_.push_back(OperationResult{op.ticket, OperationResult::noMajority, nullptr, {}});
        return true;
    }
    if (state_.voters.empty() || now < op.pausedUntil) return false;
    // Decided meanwhile by any writer: only a read from a majority remains.
    if (op.step != Operation::Step::reading && isDecided(op.proposal->version))
        restartReading(now, op, markOvertaken(op));
    if (op.step == Operation::Step::reading && stepReading(now, op)) return true;
    if (op.step == Operation::Step::claiming) stepClaiming(now, op);
    if (op.step == Operation::Step::putting && op.grants.size() >= majority()) {
        // Learned before any message is built, since messages carry the newest known chosen value.
        const bool isNew = op.proposal->version > chosenHeader_.version;
        learnChosen(op.proposal);
        if (isNew) sendToPeers(makeMessage(MessageKind::committed));
        finishOperation(op, op.proposal);
        return true;
    }
    if (now >= op.pausedUntil && now >= op.resendAt) resendRequest(now, requestId, op);
    return false;
}

void Core::finishOperation(const Operation& op, const std::shared_ptr<const Value>& chosen) {
    if (!op.hasCaller) return;
    const bool isConflict = op.requested && chosen && chosen->version == op.requested->version &&
                            chosen->digest != op.requested->digest;
    outputs_.push_back(OperationResult{
        op.ticket, isConflict ? OperationResult::conflict : OperationResult::done, chosen, {}});
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

// Returns true if the value is known to be chosen and the result was emitted.
bool Core::stepReading(Instant now, Operation& op) {
    if (op.headers.size() < majority()) return false;
    ValueHeader highest;
    for (const auto& [node, header] : op.headers) highest = std::max(highest, header);
    const bool overtakes = op.requested && op.requested->version > highest.version;
    if (overtakes) {  // the newer version was lost with its disk and never chosen
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
    const std::shared_ptr<const Value> value = findValue(now, op, highest);
    if (!value) return false;
    if (chosen || options_.defect == Defect::noWriteBack) {
        const bool isNew = highest.version > chosenHeader_.version;
        if (chosen) learnChosen(value);
        if (chosen && isNew) sendToPeers(makeMessage(MessageKind::committed));
        finishOperation(op, value);
        return true;
    }
    if (op.settleAt == Instant::never()) op.settleAt = now + kSettleDelay + randomSpan(kSettleJitter);
    if (now < op.settleAt) {
        beginStep(op, Operation::Step::reading,
                  std::min(op.settleAt, now + kOutbidPause + randomSpan(kOutbidPause)));
        return false;
    }
    op.proposal = value;
    beginStep(op, Operation::Step::claiming, now);
    return false;
}

// The value of this header, if known here; otherwise null, and it is fetched from the voters that reported
// it.
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
    std::shared_ptr<const Value> value = op.proposal;
    if (op.acceptedValue.version > 0 && options_.defect != Defect::ignoresAcceptedValue) {
        value = findValue(now, op, op.acceptedValue);
        if (!value) return;
    }
    const uint64_t ballot = op.ballot;
    beginStep(op, Operation::Step::putting, now);
    op.ballot = ballot;
    auto put = std::make_shared<Value>(*value);
    put->ballot = ballot;
    op.proposal = std::move(put);
}

// Reads again before the next claim, in case the version was decided or another writer has finished. Without
// a pause, two writers that outbid each other, or a member with a higher version unknown to the fastest
// majority, would make reads and claims alternate as fast as the links carry them, and each late reply to a
// former claim would begin one more round (schedule 330848 of replacement_test). Drawback: a writer that is
// overtaken twice by undecided values waits for 25 to 425 ms.
void Core::restartReading(Instant now, Operation& op, bool pauses) {
    if (!pauses) return beginStep(op, Operation::Step::reading, now);
    op.outbidCount = std::min(op.outbidCount + 1, kMaxOutbidDoublings);
    beginStep(op, Operation::Step::reading,
              now + kOutbidPause + randomSpan(kOutbidPause * (1 << op.outbidCount)));
}

// Marks the operation as overtaken and returns whether it already was.
bool Core::markOvertaken(Operation& op) const {
    return std::exchange(op.overtaken, true) && options_.defect != Defect::retriesWithoutPause;
}

// A reply to get, claim or put. A late reply to an earlier step only reports its sender's value and counts in
// no majority.
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
