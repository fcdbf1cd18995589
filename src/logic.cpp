// petrelpond's decisions, all of them, behind include/petrelpond/sender.hpp: the ordinary path, a text's way
// from its arrival to its answer. Each concern has a file in src/policy. "Ours": not the source's (docs).
#include "src/policy/logic.hpp"

namespace petrelpond {
namespace policy {

void Logic::onArrival(Instant now, const Arrival& a) {
    Text& text = texts_[a.text.value];
    text.arrival = a;
    text.product = a.product.value < products_.size() ? &products_[a.product.value] : nullptr;
    if (!text.product) return toAnswer_.push_back(a.text);
    text.cameBack();
    if (inOrder(text)) order_.taken(*a.key, a.text);
    if (inOrder(text) && text.mayHaveRun) restKey(now, text);
    dues_.insert({a.validUntil - lastCall(), Falls::text, a.text.value});
    queue(now, text), boundBacklog(now, text);
}

void Logic::onSubmitResult(Instant now, const SubmitResult& e) {
    auto found = texts_.find(e.text.value);
    if (found == texts_.end() || !found->second.out) return;
    Text& text = found->second;
    text.out = false, outTexts_.erase(e.text);
    noteCall(now, text, e), noteRun(now, text, e.status);
    touch(text.arrival.destination.value);
    e.isFinal || text.over ? forget(e.text) : queue(now, text);
    dropIfGone(e.endpoint.value);
}

void Logic::onWithdrawn(Instant, TextIndex text) {
    auto found = texts_.find(text.value);
    if (found == texts_.end()) return;
    found->second.over = true, unqueue(found->second);
    if (!found->second.out) forget(text);
}

std::optional<Decision> Logic::nextDecision(Instant now) {
    if (armed_ <= now) armed_ = Instant::never();
    while (!dues_.empty() && std::get<Instant>(*dues_.begin()) <= now) {
        auto [at, what, which] = dues_.extract(dues_.begin()).value();
        if (what == Falls::idle) toClose_.push_back(EndpointIndex(which));
        if (what == Falls::look) which == kNone ? parking_.releaseAll(Row::key) : touch(which);
        if (what != Falls::text) continue;
        auto found = texts_.find(which);
        if (found == texts_.end() || found->second.over || found->second.out) continue;
        unqueue(found->second), toAnswer_.push_back(TextIndex(which));
    }
    while (!toAnswer_.empty()) {
        auto found = texts_.find(toAnswer_.front().value);
        toAnswer_.pop_front();
        if (found != texts_.end() && !found->second.out) return answer(now, found->second);
    }
    if (now >= tickAt_) tick(now);
    if (auto nack = makeRoom(now)) return nack;
    if (out_.empty() && mayStart_) startCall(now);
    if (!toAnswer_.empty()) return nextDecision(now);
    if (!out_.empty()) {
        Decision d = std::move(out_.front());
        return out_.pop_front(), d;
    }
    while (!toClose_.empty()) {
        EndpointIndex ix = toClose_.back();
        toClose_.pop_back();
        const Endpoint* e = endpoints_.find(ix.value);
        if (!e) return CloseIdleConnections{ix};  // at rest: silent for long
        if (!e->out.starts.empty()) continue;
        Instant end = e->usedAt + sort(*e).idle.span;  // which may have moved on since
        if (now >= end) return CloseIdleConnections{ix};
        dues_.insert({end, Falls::idle, ix.value});
    }
    Instant wake = dues_.empty() ? tickAt_ : std::min(tickAt_, std::get<Instant>(*dues_.begin()));
    if (wake >= armed_) return std::nullopt;
    return WakeAt{armed_ = wake};
}

// Only destinations about which something changed are looked at; what can't go now is parked. Of many
// that could go so many are compared at a time, in turn (ours): the rest lose a round.
void Logic::startCall(Instant now) {
    bool full = room_.maxCalls > 0 && callsOut_ >= room_.maxCalls;
    if (full) parking_.release(Row::slot, kCompared);
    bestAt_ = EndpointIndex(), bestScore_ = -1;
    parking_.row(Row::ready).turn(kCompared, looked_);
    for (uint32_t ix : looked_) consider(now, ix, full);
    if (bestAt_.isKnown()) full ? freeSlot(now) : submitCall(now, bestAt_, bestText_);
}

void Logic::consider(Instant now, uint32_t ix, bool full) {
    Destination& d = destination(DestinationIndex(ix));
    blocked_ = Instant::never(), judge(now, d);
    double takes = callTime(now, d);
    if (!full && !slotFor(d, takes)) return park(ix, Row::slot);
    // Cut off as the process ends, a call may have run, which loses a once-only text for good.
    if (now + Span::seconds(2 * takes) > leavesAt_) return park(ix);
    EndpointIndex at = draw(now, d);
    at.isKnown() ? offerText(now, d, at, takes) : park(ix);
}

void Logic::submitCall(Instant now, EndpointIndex at, TextIndex firstText) {
    Endpoint& e = endpoints_[at.value];
    Place& p = places_[e.is.place];
    int64_t call = nextCall_++;
    std::vector<TextIndex> going = {firstText};
    for (TextIndex ix : destination(e.is.destination).waiting) {
        if (static_cast<int>(going.size()) >= std::max(1, sort(e).kind.batch)) break;
        const Text& t = texts_.at(ix.value);
        if (ix == going.front() || inOrder(t) || !mayGo(t, now, e)) continue;
        if (p.guard.phase == Phase::down && 2 * t.submits >= room_.maxSubmits) continue;
        going.push_back(ix);
    }
    double load = 1 + 0.2 * (static_cast<double>(going.size()) - 1);
    if (e.out.starts.empty()) e.idleAt = e.usedAt;
    for (TextIndex ix : going) {
        Text& t = texts_.at(ix.value);
        unqueue(t), outTexts_.insert(ix);
        if (t.submits > 0 || p.guard.phase == Phase::down) credit_ -= 1;
        t.at = at, t.started = now, t.call = call, t.out = true, t.givenUp = false, ++t.submits;
        out_.push_back(Submit{ix, t.at, timeout(now, t, p, load)});
    }
    calls_[call] = {static_cast<int>(going.size()), 0, load};
    ++callsOut_, p.out.starts.insert(now), e.out.starts.insert(now);
    p.bucket.tokens -= p.guard.phase == Phase::returning ? load : 1;
    if (e.trickle > 0) e.trickleAt = now + chance_.about(Span::seconds(1 / e.trickle));
}

void Logic::tick(Instant now) {  // all periodic work
    tickAt_ = now + Span::millis(250), order_.forgetIdle(now);
    if (now >= askListAt_) askListAt_ = Instant::never(), out_.push_back(SubscribeToList{});
    // Where nothing is delivered at all, so much is tried all the same: all slots once in four seconds.
    credit_ = std::min(credit_ + mostCredit_ / 16, mostCredit_);
    parking_.release(Row::pay, static_cast<size_t>(mostCredit_ / 16) + 1);
    for (size_t n = destinations_.size() / 200 + 1; n > 0 && destinations_.size() > 0; --n)
        restIfStill(now, static_cast<uint32_t>(sweepAt_++ % destinations_.size()));
    for (Sort& sort : sorts_) sort.idle.ease();
}

}  // namespace policy

std::unique_ptr<Sender> makeSender(uint32_t seed, std::vector<Product> products, std::vector<EndpointKind> kinds,
                                   const SenderGroup& crew, const SenderLimits& room, const ColdStartRule& cold,
                                   const EndpointListRule& list, Decay decay, const ConnectionRule& links) {
    return std::make_unique<policy::Logic>(seed, std::move(products), std::move(kinds), crew, room, cold,
                                           list, decay, links);
}

}  // namespace petrelpond
