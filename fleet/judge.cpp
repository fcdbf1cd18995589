#include "fleet/judge.hpp"

#include <algorithm>

namespace petrelpond::fleet {

namespace {

// The platform's page allows so much beside what the rules say.
constexpr Span kNoticeSlack = Span::millis(350), kDrainGrace = Span::millis(150),
               kWaitGrace = Span::millis(150), kAfterEnd = Span::millis(150),
               kRestartSlack = Span::millis(1500);
// A connection's end and the next one's first bytes may be seen in either order.
constexpr Span kSecondSlack = Span::millis(10);
constexpr size_t kMostWords = 200;  // breaches beyond that are counted alone

uint64_t keyOf(uint32_t endpoint, int generation) {
    return uint64_t{endpoint} << 32 | static_cast<uint32_t>(generation);
}

}  // namespace

std::string_view nameOf(Rule rule) {
    static constexpr std::string_view names[] = {"",
                                                 "text lost",
                                                 "double effect",
                                                 "drain ignored",
                                                 "return pushed over",
                                                 "out of order",
                                                 "wait ignored"};
    return names[static_cast<size_t>(rule)];
}

Judge::Judge(const Scenario& scenario)
    : scenario_(scenario), senders_(static_cast<size_t>(scenario.senders)) {
    uint32_t d = 0;
    for (uint32_t g = 0; g < scenario.groups.size(); ++g) {
        for (int i = 0; i < scenario.groups[g].count; ++i, ++d) {
            for (int e = 0; e < scenario.groups[g].endpoints; ++e)
                destinationOf_.push_back(d), groupOf_.push_back(g);
        }
    }
}

void Judge::breach(Rule rule, Instant at, std::string words) {
    ++counts_[static_cast<size_t>(rule)];
    if (breaches_.size() < kMostWords) breaches_.push_back({rule, at, std::move(words)});
}

std::string Judge::nameOf(RequestNo r) const {
    const Text& t = texts_[r];
    return "text " + std::to_string(r) + " (" + scenario_.products[t.product].name + " for " +
           std::to_string(t.destination) + ", sender " + std::to_string(t.sender) + ")";
}

uint32_t Judge::placeOf(uint32_t endpoint) const {
    bool apart = scenario_.groups[groupOf_[endpoint]].separateRoutes;
    return apart ? 0x80000000u | endpoint : destinationOf_[endpoint];
}

RequestNo Judge::handed(Instant now, int sender, uint32_t product, uint32_t destination, Instant validUntil,
                        uint64_t key) {
    Text t;
    t.product = product, t.destination = destination, t.sender = sender, t.validUntil = validUntil,
    t.key = key, t.handedAt = now;
    texts_.push_back(t);
    return static_cast<RequestNo>(texts_.size() - 1);
}

void Judge::taken(Instant now, RequestNo r) {
    Text& t = texts_[r];
    t.isTaken = true, t.takenAt = now;
    if (t.end == End::dropped) t.end = End::open;
    if (t.deliveredUnheard && t.end == End::open) over(now, t, End::delivered);
    if (scenario_.products[t.product].rules.inOrder && t.key != 0) {
        senders_[static_cast<size_t>(t.sender)].lines[t.key].push_back(r);
    }
}

void Judge::dropped(Instant, RequestNo r) {
    if (!texts_[r].isTaken) texts_[r].end = End::dropped;
}

void Judge::started(Instant now, int sender) {
    PerSender& s = senders_[static_cast<size_t>(sender)];
    s.startedAt = now;
    s.waits.clear(), s.missed.clear(), s.lines.clear(), s.leavingSince.clear();
}

void Judge::killed(Instant, int sender) {
    // Order holds among texts taken since the start, and a wait ends with the process that was told it.
    PerSender& s = senders_[static_cast<size_t>(sender)];
    s.waits.clear(), s.lines.clear(), s.stillFrom = Instant::never();
}

void Judge::stopped(Instant now, int sender, bool stopped) {
    PerSender& s = senders_[static_cast<size_t>(sender)];
    if (stopped) s.stillFrom = now;
    if (!stopped && s.stillFrom != Instant::never())
        s.still = s.still + (now - s.stillFrom), s.stillFrom = Instant::never();
}

void Judge::told(Instant now, int sender, uint32_t endpoint, int generation, ListState state) {
    auto& leaving = senders_[static_cast<size_t>(sender)].leavingSince;
    if (state == ListState::active) leaving.erase(keyOf(endpoint, generation));
    if (state != ListState::active) leaving.try_emplace(keyOf(endpoint, generation), now);
}

Judge::CallNo Judge::called(Instant firstByte, Instant now, int sender, uint32_t endpoint, int generation,
                            const std::vector<RequestNo>& texts) {
    auto no = static_cast<CallNo>(calls_.size());
    PerSender& s = senders_[static_cast<size_t>(sender)];
    calls_.push_back({texts, sender, endpoint, now});
    uint32_t d = destinationOf_[endpoint];
    reached(now, sender, endpoint);
    auto leaving = s.leavingSince.find(keyOf(endpoint, generation));
    // What a stopped sender had written before it was stopped may come late.
    if (leaving != s.leavingSince.end() && firstByte > leaving->second + kDrainGrace) {
        breach(Rule::drain, now,
               "a call to endpoint " + std::to_string(endpoint) + " " +
                   std::to_string((firstByte - leaving->second).inMicros() / 1000) + " ms after sender " +
                   std::to_string(sender) + " was told that it leaves");
    }
    auto wait = s.waits.find(placeOf(endpoint));
    if (wait != s.waits.end() && firstByte > wait->second.first + kWaitGrace &&
        firstByte < wait->second.second) {
        breach(Rule::wait, now,
               "a call to destination " + std::to_string(d) + " " +
                   std::to_string((wait->second.second - firstByte).inMicros() / 1000) +
                   " ms before the end of a told wait, by sender " + std::to_string(sender));
    }
    for (RequestNo r : texts) checkText(now, r, calls_.back());
    for (RequestNo r : texts) {
        for (CallNo other : texts_[r].out)
            calls_[other].secondBegan = std::min(calls_[other].secondBegan, now);
        ++texts_[r].submits, texts_[r].out.push_back(no);
    }
    return no;
}

void Judge::reached(Instant, int sender, uint32_t endpoint) {
    auto load = loads_.find(destinationOf_[endpoint]);
    if (load != loads_.end()) ++load->second[sender];
}

void Judge::checkText(Instant now, RequestNo r, const Call& call) {
    Text& t = texts_[r];
    const Product& p = scenario_.products[t.product].rules;
    if (t.destination != destinationOf_[call.endpoint]) {
        breach(Rule::lostText, now, nameOf(r) + " went to another destination's endpoint");
    }
    if (t.end != End::open && t.end != End::dropped && t.end != End::delivered &&
        now > t.endedAt + kAfterEnd) {
        breach(Rule::lostText, now, nameOf(r) + " was submitted after its final answer");
    }
    if (t.mayHaveRun && p.effect == Effect::nonIdempotent) {
        breach(Rule::doubleEffect, now, nameOf(r) + " was submitted again though it may have run");
    }
    if (t.mayHaveRun && p.effect == Effect::idempotencyKey &&
        now > t.firstMayHaveRun + p.dedupWindow + Span::millis(50)) {
        breach(Rule::doubleEffect, now, nameOf(r) + " was submitted again when its reference was forgotten");
    }
    if (!p.inOrder || t.key == 0) return;
    // In which order a sender took what came together nobody outside knows: only those that it had answered
    // before this one was handed in are earlier for sure.
    auto& line = senders_[static_cast<size_t>(t.sender)].lines[t.key];
    std::erase_if(line, [&](RequestNo e) { return texts_[e].end != End::open && texts_[e].out.empty(); });
    for (RequestNo earlier : line) {
        if (earlier == r || texts_[earlier].takenAt >= t.handedAt) continue;
        breach(Rule::order, now, nameOf(r) + " overtook " + nameOf(earlier) + " of the same key");
        break;
    }
}

void Judge::secondCopy(Instant now, CallNo no) {
    const Call& call = calls_[no];
    if (call.secondBegan == Instant::never() || now - call.secondBegan <= kSecondSlack) return;
    breach(Rule::doubleEffect, call.secondBegan, nameOf(call.texts.front()) + " has two submits out at once");
}

void Judge::ran(Instant now, CallNo no) {
    Call& call = calls_[no];
    call.ran = true;
    for (RequestNo r : call.texts) {
        Text& t = texts_[r];
        const Product& p = scenario_.products[t.product].rules;
        bool known = p.effect == Effect::idempotencyKey && t.effects > 0 && now <= t.firstMayHaveRun + p.dedupWindow;
        if (!known) ++t.effects;
        if (t.effects > 1 && p.effect != Effect::idempotent) {
            breach(Rule::doubleEffect, now,
                   nameOf(r) + " took effect " + std::to_string(t.effects) + " times");
        }
    }
}

void Judge::ended(Instant now, CallNo no, int status, bool neverRan, Span wait) {
    Call& call = calls_[no];
    if (call.over) return;
    call.over = true;
    secondCopy(now, no);
    PerSender& s = senders_[static_cast<size_t>(call.sender)];
    uint32_t d = destinationOf_[call.endpoint];
    if (status != 200) {
        ++wasted_;
        if (auto out = outSince_.find(d); out != outSince_.end()) s.missed[d] = now;
    }
    if (wait > Span()) {
        auto& held = s.waits[placeOf(call.endpoint)];
        // The later end binds; of a longer wait told meanwhile the earlier telling stays.
        if (now + wait > held.second) held = {now, now + wait};
    }
    for (RequestNo r : call.texts) {
        Text& t = texts_[r];
        std::erase(t.out, no);
        if (status == 200) {
            if (t.isTaken && t.end == End::open) over(now, t, End::delivered);
            if (!t.isTaken) t.deliveredUnheard = true;
        }
        if (!neverRan && !t.mayHaveRun) {
            t.mayHaveRun = true, t.firstMayHaveRun = call.began, t.ranIn = call.endpoint;
        }
    }
}

void Judge::noticed(Instant now, RequestNo r, bool nacked) {
    Text& t = texts_[r];
    if (t.end == End::nacked || t.end == End::undeliverable) {
        if ((t.end == End::nacked) != nacked) {
            breach(Rule::lostText, now, nameOf(r) + " got two final answers that differ");
        }
        return;
    }
    if (t.end != End::open && t.end != End::dropped) return;  // does no harm
    const Product& p = scenario_.products[t.product].rules;
    if (nacked && t.mayHaveRun && p.effect == Effect::nonIdempotent) {
        breach(Rule::doubleEffect, now, nameOf(r) + " was nacked though it may have run");
    }
    if (t.end == End::open) over(now, t, nacked ? End::nacked : End::undeliverable);
}

void Judge::over(Instant now, Text& t, End end) {
    t.end = end, t.endedAt = now;
    // Late: a notice is not overdue while its sender is down, nor until a while after it is up again.
    if (!t.isTaken || end == End::delivered) return;
    const PerSender& s = senders_[static_cast<size_t>(t.sender)];
    Instant due = std::max(t.validUntil + kNoticeSlack, s.startedAt + kRestartSlack) + s.still;
    if (now <= due || t.judgedLost) return;
    t.judgedLost = true;
    breach(Rule::lostText, now,
           nameOf(static_cast<RequestNo>(&t - texts_.data())) + " got its final answer " +
               std::to_string((now - due).inMicros() / 1000) + " ms too late");
}

void Judge::outage(Instant now, uint32_t d, bool begins) {
    if (begins) {
        outSince_[d] = now, loads_.erase(d);
        return;
    }
    outSince_.erase(d);
    loads_[d].clear();
}

void Judge::tipped(Instant now, uint32_t d) {
    long all = 0, knowing = 0;
    for (const auto& [sender, calls] : loads_[d]) {
        all += calls;
        if (senders_[static_cast<size_t>(sender)].missed.count(d) > 0) knowing += calls;
    }
    if (3 * knowing < 2 * all) return;
    breach(Rule::returning, now,
           "destination " + std::to_string(d) + " came back and was pushed over by " + std::to_string(all) +
               " calls");
}

void Judge::finish(Instant now) {
    for (CallNo no = 0; no < calls_.size(); ++no) {
        if (!calls_[no].over) secondCopy(now, no);
    }
    for (RequestNo r = 0; r < texts_.size(); ++r) {
        Text& t = texts_[r];
        if (!t.isTaken || t.end != End::open || t.judgedLost) continue;
        t.judgedLost = true;
        breach(Rule::lostText, now, nameOf(r) + " was taken on and has no end");
    }
}

}  // namespace petrelpond::fleet
