// Which text goes first, and which goes for want of room, in the store or among the calls.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::enqueue(Instant now, Text& t) {
    if (!maySubmitAgain(now, t)) return unsendable_.push_back(t.arrival.text);
    Destination& d = destination(t.arrival.destination);
    t.queuePosition = d.waiting.insert(d.waiting.end(), t.arrival.text), t.queued = true;
    ++d.expiryUnchecked, d.lastUsedAt = now;
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

// Past a quarter of a store that is half full a backlog's oldest or newest goes, as it earns less.
void Logic::limitBacklog(Instant now, Text& text) {
    auto& backlog = destination(text.arrival.destination).waiting;
    size_t most = limits_.maxTexts > 0 ? limits_.maxTexts : SIZE_MAX / 4;
    if (2 * texts_.size() <= most || 4 * backlog.size() <= most) return;
    Text& oldest = texts_.at(backlog.front().value);
    Instant then = now + limits_.maxNackPause;
    Text& goes = mayNack(oldest) && revenue(oldest, then) < revenue(text, then) ? oldest : text;
    unsendable_.push_back(goes.arrival.text), dequeue(goes);
}

// Its best text against the best so far of the destinations compared.
void Logic::offerBestText(Instant now, const Destination& d, EndpointIndex at, double takes) {
    const Endpoint& e = endpoints_[at.value];
    bool trial = groups_[e.core.group].outage.phase == Phase::down, unpaid = false, ordered = false;
    Instant soon = now + Span::seconds(takes);
    Span backlog = Span::seconds(std::clamp(static_cast<double>(d.waiting.size()) * takes, 1.0, 8.0));
    int compared = 0;
    double own = -1;
    TextIndex text;
    for (TextIndex each : d.waiting) {
        if (++compared > kMaxTexts && text.isKnown()) break;
        const Text& t = texts_.at(each.value);
        ordered |= inOrder(t);
        if (!maySubmitTo(t, now, e)) continue;
        // Of what fails, no more than what others deliver: the work wasted stays bounded (ours).
        bool mayPay = retryCredit_ >= 1 || (!trial && t.submits == 0);
        unpaid |= !mayPay;
        if (!mayPay) continue;
        // What passing it over until the backlog has gone loses; a little for what it earns at all.
        double score = (1.05 * revenue(t, soon) - revenue(t, soon + backlog)) / takes;
        if (trial) score *= std::pow(0.5, t.submits);  // else one text uses up its submits
        if (score > own) own = score, text = each;
    }
    uint32_t ix = e.core.destination.value;
    if (!text.isKnown()) return unpaid ? park(ix, WaitReason::retryCredit) : ordered ? park(ix, WaitReason::key) : void();
    if (own > bestScore_) bestScore_ = own, bestEndpoint_ = at, bestText_ = text;
}

// Before the store is full, the text that will earn least once the backlog has gone makes room, told when
// to come back. Harms where that would have cleared sooner.
std::optional<Decision> Logic::evictText(Instant now) {
    int spare = limits_.maxTexts - static_cast<int>(texts_.size());
    if (limits_.maxTexts <= 0 || spare >= 2 + limits_.maxTexts / 20) return std::nullopt;
    std::vector<std::tuple<double, TextIndex, double>> all;  // what it will earn, when the backlog has gone
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
    // A big store makes room for some at a time: looking through it costs.
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

// Slow destinations get fewer of the free slots: none that is hung gets all.
bool Logic::mayTakeSlot(const Destination& d, double takes) {
    if (limits_.maxCalls <= 0) return true;
    double alpha = std::clamp(2 * typicalCallTime_ / std::max(takes, 0.001), 0.25, 4.0), out = 0;
    for (uint32_t e : d.endpoints) out += endpoints_[e].inFlight.liveCount();
    return out < std::max(1.0, alpha * (limits_.maxCalls - callsInFlight_));
}

// All slots are out and a text could go: the call most overdue, past its SLA time, is given up, against
// hung places and silent connections; sooner where overdue calls were mostly never answered, or it is
// long overdue and calls begun long after it were answered there. Harms one that would still answer.
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
        bool overtaken = age > 2 * after && e.inFlight.latestAnsweredStart > t.started + Span::seconds(after);
        double overdue = age / (g.times.highQuantile * calls_[t.call].texts + 0.001);
        bool dear = t.product->effect == Effect::nonIdempotent, keep = dear && g.outage.phase == Phase::down;
        bool hopeless = (overtaken || overdueAnswerShare_ < 0.3) && !keep && age > after;
        if (hopeless) overdue = dear ? 7 : 100;
        if (overdue > most && (hopeless || age > t.product->sla.inSeconds())) most = overdue, stuck = &t;
    }
    if (!stuck) return;
    for (TextIndex ix : textsInFlight_) {
        Text& t = texts_.at(ix.value);
        if (t.call == stuck->call) t.cancelRequested = true, decisions_.push_back(CancelSubmit{ix, t.submits - 1});
    }
}

}  // namespace petrelpond::policy
