// Which text is sent first, and which text or call is given up when the store or the call slots are full.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::enqueue(Instant now, Text& t) {
    if (!maySubmitAgain(now, t)) return unsendable_.push_back(t.arrival.text);
    Destination& d = destination(t.arrival.destination);
    t.queuePosition = d.waiting.insert(d.waiting.end(), t.arrival.text), t.queued = true;
    ++d.unchecked, d.usedAt = now;
    withWaiting_.insert(t.arrival.destination.value), markReady(t.arrival.destination.value);
}

void Logic::dequeue(Text& t) {
    if (!std::exchange(t.queued, false)) return;
    uint32_t ix = t.arrival.destination.value;
    auto& w = destination(t.arrival.destination).waiting;
    w.erase(t.queuePosition);
    if (w.empty()) withWaiting_.erase(ix), waitQueues_.remove(ix);
}

void Logic::removeText(TextIndex ix) {
    Text& t = texts_.at(ix.value);
    if (inOrder(t)) {
        keyOrder_.remove(*t.arrival.key, ix);
        auto next = texts_.find(keyOrder_.front(*t.arrival.key).value);
        if (next != texts_.end()) markReady(next->second.arrival.destination.value);
    }
    timers_.erase({t.arrival.validUntil - answerMargin(), TimerKind::textExpiry, ix.value});
    textsInFlight_.erase(ix), texts_.erase(ix.value);
}

// In a store that is half full, a backlog above a quarter gives up its oldest or newest text, whichever earns less.
void Logic::limitBacklog(Instant now, Text& text) {
    auto& backlog = destination(text.arrival.destination).waiting;
    size_t most = limits_.maxTexts > 0 ? limits_.maxTexts : SIZE_MAX / 4;
    if (2 * texts_.size() <= most || 4 * backlog.size() <= most) return;
    Text& oldest = texts_.at(backlog.front().value);
    Instant then = now + limits_.maxNackPause;
    Text& dropped = mayNack(oldest) && revenue(oldest, then) < revenue(text, then) ? oldest : text;
    unsendable_.push_back(dropped.arrival.text), dequeue(dropped);
}

// Compares the destination's best text with the best of the destinations compared so far.
void Logic::offerBestText(Instant now, const Destination& d, EndpointIndex at, double takes) {
    const Endpoint& e = endpoints_[at.value];
    bool trial = groups_[e.core.group].outage.phase == Phase::down, noCredit = false, keyed = false;
    Instant soon = now + Span::seconds(takes);
    Span backlog = Span::seconds(std::clamp(static_cast<double>(d.waiting.size()) * takes, 1.0, 8.0));
    int compared = 0;
    double own = -1;
    TextIndex text;
    for (TextIndex each : d.waiting) {
        if (++compared > kMaxTexts && text.isKnown()) break;
        const Text& t = texts_.at(each.value);
        keyed |= inOrder(t);
        if (!maySubmitTo(t, now, e)) continue;
        // Retries and trials spend credit that deliveries earn, so that the wasted work stays bounded.
        bool hasCredit = retryCredit_ >= 1 || (!trial && t.submits == 0);
        noCredit |= !hasCredit;
        if (!hasCredit) continue;
        // The revenue lost by waiting until the backlog is sent, and a little for what the text earns at all.
        double score = (1.05 * revenue(t, soon) - revenue(t, soon + backlog)) / takes;
        if (trial) score *= std::pow(0.5, t.submits);  // else one text would use up its submits
        if (score > own) own = score, text = each;
    }
    uint32_t ix = e.core.destination.value;
    if (!text.isKnown()) return noCredit ? park(ix, WaitReason::credit) : keyed ? park(ix, WaitReason::key) : void();
    if (own > bestScore_) bestScore_ = own, bestEndpoint_ = at, bestText_ = text;
}

// Before the store is full, nacks the text that will earn least once the backlog is sent, with the time to come back.
// Drawback: the backlog may be sent sooner than estimated.
std::optional<Decision> Logic::evictText(Instant now) {
    int spare = limits_.maxTexts - static_cast<int>(texts_.size());
    if (limits_.maxTexts <= 0 || spare >= 2 + limits_.maxTexts / 20) return std::nullopt;
    std::vector<std::tuple<double, TextIndex, double>> all;  // future revenue, text, seconds of backlog
    for (uint32_t ix : withWaiting_) {
        const Destination& d = destination(DestinationIndex(ix));
        double rate = 0;
        for (uint32_t e : d.endpoints)
            rate = std::max(rate, groups_[endpoints_[e].core.group].deliveries.rate(now, Span::seconds(2)));
        double wait = static_cast<double>(d.waiting.size()) / std::max(rate, 0.5);
        for (TextIndex each : d.waiting) {
            const Text& t = texts_.at(each.value);
            if (!mayNack(t)) continue;
            all.emplace_back(revenue(t, now + Span::seconds(wait)) + 0.01 * revenue(t, now), each, wait);
        }
    }
    if (all.empty()) return std::nullopt;
    // A large store evicts several at a time, as the search is expensive.
    size_t some = std::min<size_t>(all.size(), 1 + static_cast<size_t>(limits_.maxTexts) / 2000);
    std::partial_sort(all.begin(), all.begin() + static_cast<long>(some), all.end());
    for (size_t i = 0; i < some; ++i) {
        auto [revenue, ix, wait] = all[i];
        decisions_.push_back(Nack{ix, std::min(Span::seconds(wait), limits_.maxNackPause)});
        dequeue(texts_.at(ix.value)), removeText(ix);
    }
    Decision first = decisions_.back();
    return decisions_.pop_back(), first;
}

// Slow destinations get fewer of the free slots, so that a hung one can't take all.
bool Logic::mayTakeSlot(const Destination& d, double takes) {
    if (limits_.maxCalls <= 0) return true;
    double alpha = std::clamp(2 * typicalCallTime_ / std::max(takes, 0.001), 0.25, 4.0), out = 0;
    for (uint32_t e : d.endpoints) out += endpoints_[e].inFlight.liveCount();
    return out < std::max(1.0, alpha * (limits_.maxCalls - callsInFlight_));
}

// All slots are taken and a text could be sent: cancels the most overdue call past its SLA time, against hung
// destinations and silent connections. Sooner if overdue calls were mostly never answered, or if calls started long
// after it have been answered there. Drawback: the cancelled call might still have been answered.
void Logic::cancelOverdueCall(Instant now) {
    if (!limits_.canCancel) return;
    const Text* stuck = nullptr;
    double most = 6;
    for (TextIndex ix : textsInFlight_) {
        const Text& t = texts_.at(ix.value);
        if (t.cancelRequested) return;
        double age = (now - t.started).inSeconds();
        const Endpoint& e = endpoints_[t.endpoint.value];
        const LimitGroup& g = groups_[e.core.group];
        double after = overdueAfter(g, calls_[t.call].load);
        bool overtaken = age > 2 * after && e.inFlight.answeredStart > t.started + Span::seconds(after);
        double overdue = age / (g.times.highQuantile * calls_[t.call].texts + 0.001);
        bool once = t.product->effect == Effect::nonIdempotent, keep = once && g.outage.phase == Phase::down;
        bool hopeless = (overtaken || overdueAnswerShare_ < 0.3) && !keep && age > after;
        if (hopeless) overdue = once ? 7 : 100;
        if (overdue > most && (hopeless || age > t.product->sla.inSeconds())) most = overdue, stuck = &t;
    }
    if (!stuck) return;
    for (TextIndex ix : textsInFlight_) {
        Text& t = texts_.at(ix.value);
        if (t.call == stuck->call) t.cancelRequested = true, decisions_.push_back(CancelSubmit{ix, t.submits - 1});
    }
}

}  // namespace petrelpond::policy
