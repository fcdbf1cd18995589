// Which text goes first, and which goes for want of room, in the store or among the calls.
#include "src/policy/logic.hpp"

namespace petrelpond::policy {

void Logic::queue(Instant now, Text& t) {
    if (!maySubmitAgain(now, t)) return toAnswer_.push_back(t.arrival.text);
    Destination& d = destination(t.arrival.destination);
    t.spot = d.waiting.insert(d.waiting.end(), t.arrival.text), t.queued = true;
    ++d.unchecked, d.usedAt = now;
    waiting_.insert(t.arrival.destination.value), touch(t.arrival.destination.value);
}

void Logic::unqueue(Text& t) {
    if (!std::exchange(t.queued, false)) return;
    uint32_t ix = t.arrival.destination.value;
    auto& w = destination(t.arrival.destination).waiting;
    w.erase(t.spot);
    if (w.empty()) waiting_.erase(ix), parking_.leave(ix);
}

void Logic::forget(TextIndex ix) {
    Text& t = texts_.at(ix.value);
    if (inOrder(t)) {
        order_.done(*t.arrival.key, ix);
        auto next = texts_.find(order_.first(*t.arrival.key).value);
        if (next != texts_.end()) touch(next->second.arrival.destination.value);
    }
    dues_.erase({t.arrival.validUntil - lastCall(), Falls::text, ix.value});
    outTexts_.erase(ix), texts_.erase(ix.value);
}

// Past a quarter of a store that is half full a backlog's oldest or newest goes, as it earns less.
void Logic::boundBacklog(Instant now, Text& text) {
    auto& backlog = destination(text.arrival.destination).waiting;
    size_t most = room_.maxTexts > 0 ? room_.maxTexts : SIZE_MAX / 4;
    if (2 * texts_.size() <= most || 4 * backlog.size() <= most) return;
    Text& oldest = texts_.at(backlog.front().value);
    Instant then = now + room_.maxNackPause;
    Text& goes = mayNack(oldest) && worth(oldest, then) < worth(text, then) ? oldest : text;
    toAnswer_.push_back(goes.arrival.text), unqueue(goes);
}

// Its best text against the best so far of the destinations compared.
void Logic::offerText(Instant now, const Destination& d, EndpointIndex at, double takes) {
    const Endpoint& e = endpoints_[at.value];
    bool trial = places_[e.is.place].guard.phase == Phase::down, unpaid = false, ordered = false;
    Instant soon = now + Span::seconds(takes);
    Span backlog = Span::seconds(std::clamp(static_cast<double>(d.waiting.size()) * takes, 1.0, 8.0));
    int compared = 0;
    double own = -1;
    TextIndex text;
    for (TextIndex each : d.waiting) {
        if (++compared > kTexts && text.isKnown()) break;
        const Text& t = texts_.at(each.value);
        ordered |= inOrder(t);
        if (!mayGo(t, now, e)) continue;
        // Of what fails, no more than what others deliver: the work wasted stays bounded (ours).
        bool mayPay = credit_ >= 1 || (!trial && t.submits == 0);
        unpaid |= !mayPay;
        if (!mayPay) continue;
        // What passing it over until the backlog has gone loses; a little for what it earns at all.
        double score = (1.05 * worth(t, soon) - worth(t, soon + backlog)) / takes;
        if (trial) score *= std::pow(0.5, t.submits);  // else one text uses up its submits
        if (score > own) own = score, text = each;
    }
    uint32_t ix = e.is.destination.value;
    if (!text.isKnown()) return unpaid ? park(ix, Row::pay) : ordered ? park(ix, Row::key) : void();
    if (own > bestScore_) bestScore_ = own, bestAt_ = at, bestText_ = text;
}

// Before the store is full, the text that will earn least once the backlog has gone makes room, told when
// to come back. Harms where that would have cleared sooner.
std::optional<Decision> Logic::makeRoom(Instant now) {
    int spare = room_.maxTexts - static_cast<int>(texts_.size());
    if (room_.maxTexts <= 0 || spare >= 2 + room_.maxTexts / 20) return std::nullopt;
    std::vector<std::tuple<double, TextIndex, double>> all;  // what it will earn, when the backlog has gone
    for (uint32_t ix : waiting_) {
        const Destination& d = destination(DestinationIndex(ix));
        double rate = 0;
        for (uint32_t e : d.endpoints)
            rate = std::max(rate, places_[endpoints_[e].is.place].served.rate(now, Span::seconds(2)));
        double wait = static_cast<double>(d.waiting.size()) / std::max(rate, 0.5);
        for (TextIndex each : d.waiting) {
            const Text& t = texts_.at(each.value);
            if (!mayNack(t)) continue;
            all.emplace_back(worth(t, now + Span::seconds(wait)) + 0.01 * worth(t, now), each, wait);
        }
    }
    if (all.empty()) return std::nullopt;
    // A big store makes room for some at a time: looking through it costs.
    size_t some = std::min<size_t>(all.size(), 1 + static_cast<size_t>(room_.maxTexts) / 2000);
    std::partial_sort(all.begin(), all.begin() + static_cast<long>(some), all.end());
    for (size_t i = 0; i < some; ++i) {
        auto [worth, ix, wait] = all[i];
        out_.push_back(Nack{ix, std::min(Span::seconds(wait), room_.maxNackPause)});
        unqueue(texts_.at(ix.value)), forget(ix);
    }
    Decision first = out_.back();
    return out_.pop_back(), first;
}

// Slow destinations get fewer of the free slots: none that is hung gets all.
bool Logic::slotFor(const Destination& d, double takes) {
    if (room_.maxCalls <= 0) return true;
    double alpha = std::clamp(2 * usualTime_ / std::max(takes, 0.001), 0.25, 4.0), out = 0;
    for (uint32_t e : d.endpoints) out += endpoints_[e].out.count();
    return out < std::max(1.0, alpha * (room_.maxCalls - callsOut_));
}

// All slots are out and a text could go: the call most overdue, past its SLA time, is given up, against
// hung places and silent connections; sooner where overdue calls were mostly never answered, or it is
// long overdue and calls begun long after it were answered there. Harms one that would still answer.
void Logic::freeSlot(Instant now) {
    if (!room_.canCancel) return;
    const Text* stuck = nullptr;
    double most = 6;
    for (TextIndex ix : outTexts_) {
        const Text& t = texts_.at(ix.value);
        if (t.givenUp) return;
        double age = (now - t.started).inSeconds();
        const Endpoint& e = endpoints_[t.at.value];
        const Place& p = places_[e.is.place];
        double after = overdueAfter(p, calls_[t.call].load);
        bool overtaken = age > 2 * after && e.out.answered > t.started + Span::seconds(after);
        double overdue = age / (p.times.high * calls_[t.call].texts + 0.001);
        bool dear = t.product->effect == Effect::nonIdempotent, kept = dear && p.guard.phase == Phase::down;
        bool hopeless = (overtaken || hope_ < 0.3) && !kept && age > after;
        if (hopeless) overdue = dear ? 7 : 100;
        if (overdue > most && (hopeless || age > t.product->sla.inSeconds())) most = overdue, stuck = &t;
    }
    if (!stuck) return;
    for (TextIndex ix : outTexts_) {
        Text& t = texts_.at(ix.value);
        if (t.call == stuck->call) t.givenUp = true, out_.push_back(CancelSubmit{ix, t.submits - 1});
    }
}

}  // namespace petrelpond::policy
