#include "fleet/oracle.hpp"

#include <algorithm>
#include <cmath>

#include "fleet/world.hpp"

namespace petrelpond::fleet {

namespace {

constexpr Span kTick = Span::millis(1);

struct Waiting {
    std::vector<size_t> texts;
    double tokens = 0;
};

// Which goes now, if any; what can't earn any more is dropped from the queue.
std::optional<size_t> choose(const Scenario& s, const Programs& programs, Waiting& w, Instant answered) {
    std::optional<size_t> best;
    double bestWorth = 0;
    bool bestInTime = false;
    Instant bestEnd;
    std::erase_if(w.texts, [&](size_t t) { return programs.validUntil(t) < answered; });
    for (size_t i = 0; i < w.texts.size(); ++i) {
        const Planned& p = programs.text(w.texts[i]).plan;
        const Product& rules = s.products[p.product].rules;
        double worth = earned(rules, answered - p.at);
        bool inTime = answered <= p.at + rules.sla;
        Instant end = p.at + rules.sla;
        bool better = !best || inTime > bestInTime ||
                      (inTime == bestInTime && (worth > bestWorth || (worth == bestWorth && end < bestEnd)));
        if (better) best = i, bestWorth = worth, bestInTime = inTime, bestEnd = end;
    }
    if (!best) return std::nullopt;
    size_t text = w.texts[*best];
    w.texts.erase(w.texts.begin() + static_cast<std::ptrdiff_t>(*best));
    return text;
}

}  // namespace

RunResult playOracle(const Scenario& s, uint64_t seed) {
    World world(s, seed);
    Programs programs(s, plan(s, seed));
    std::vector<Waiting> waiting(static_cast<size_t>(s.destinations()));
    RunResult r;
    r.series.resize(static_cast<size_t>((s.lasts + s.settle).inSeconds()) + 2);
    Instant end = Instant() + s.lasts + s.settle;
    size_t next = 0;
    for (Instant now; now < end && (next < programs.size() || programs.open() > 0); now = now + kTick) {
        world.advance(now);
        while (world.next()) {
        }
        for (; next < programs.size() && programs.text(next).plan.at <= now; ++next)
            waiting[programs.text(next).plan.destination].texts.push_back(next);
        for (size_t d = 0; d < waiting.size(); ++d) {
            Waiting& w = waiting[d];
            uint32_t first = world.firstOf(static_cast<uint32_t>(d));
            const Group& g = world.groupOf(first);
            double can = world.capability(now, static_cast<uint32_t>(d));
            // A limit's bucket holds its burst; workers that were idle do no more than all at once.
            double most = g.rate > 0 ? g.burst : g.countMost > 0 ? g.countMost : static_cast<double>(g.endpoints * g.workers);
            w.tokens = can > 0 ? std::min(most, w.tokens + can * kTick.inSeconds()) : 0;
            while (w.tokens >= 1) {
                Instant answered = now + g.answerMedian;
                auto text = choose(s, programs, w, answered);
                if (!text) break;
                w.tokens -= 1;
                ++r.calls;
                programs.calledFirst(now, *text);
                programs.delivered(answered, *text);
            }
        }
    }
    programs.finish(end);
    r.scenario = s.name, r.kind = "oracle", r.program = "all-knowing", r.seed = seed;
    r.seconds = s.lasts.inSeconds();
    account(s, programs, r);
    return r;
}

}  // namespace petrelpond::fleet
