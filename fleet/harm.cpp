#include "fleet/harm.hpp"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace petrelpond::fleet {

namespace {

constexpr double kNear = 0.05;

std::string shownAs(const std::vector<double>& values, int digits) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits);
    Interval all = nextRun(values);
    out << all.middle;
    if (values.size() >= 3) out << " [" << all.low << ", " << all.high << "]";
    return out.str();
}

}  // namespace

Trigger triggerOf(const Scenario& s) {
    Trigger t{s.lasts, Span()};
    auto add = [&](Span from, Span until) { t.from = std::min(t.from, from), t.until = std::max(t.until, until); };
    for (const Flow& f : s.flows) {
        if (f.surge != 1 && f.surgeUntil > f.surgeFrom) add(f.surgeFrom, f.surgeUntil);
    }
    for (const Fault& f : s.faults) add(f.at, f.at + f.lasts);
    for (const LinkFault& f : s.links) add(f.at, f.at + f.lasts);
    if (t.until <= t.from) t = {s.lasts, s.lasts};
    return t;
}

std::optional<double> backAfter(const RunResult& run, const Trigger& trigger) {
    auto first = static_cast<size_t>(trigger.from.inSeconds()), over = static_cast<size_t>(trigger.until.inSeconds());
    auto last = static_cast<size_t>(run.seconds);
    double possible = 0, made = 0;
    // The first second is of programs that come upon cold senders.
    for (size_t i = 1; i < std::min(first, run.series.size()); ++i)
        possible += run.series[i].possible, made += run.series[i].made;
    if (possible <= 0) return std::nullopt;
    double before = made / possible;
    std::optional<double> back;
    for (size_t i = over; i < std::min(last, run.series.size()); ++i) {
        if (run.series[i].possible <= 0) continue;
        bool well = run.series[i].made / run.series[i].possible >= before - kNear;
        if (!well) back.reset();
        if (well && !back) back = static_cast<double>(i - over);
    }
    return back;
}

Scenario withSize(Scenario s, int senders, double surge) {
    if (senders > 0) s.senders = senders;
    for (Flow& f : s.flows) {
        if (surge > 0 && f.surgeUntil > f.surgeFrom) f.surge = surge;
    }
    return s;
}

std::string harmTable(const std::vector<HarmRow>& rows) {
    std::ostringstream out;
    out << "| scenario | senders | surge | revenue, % | within the SLA time, % | all-knowing, % | share of it | calls a text | in vain a "
           "text | calls at a dead place | new connections there | places pushed over | back after, s |\n| --- | --- | --- | --- | --- | "
           "--- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const HarmRow& row : rows) {
        std::vector<double> all, early, best, share, calls, vain, dead, fresh, tipped, back;
        size_t never = 0;
        for (size_t i = 0; i < row.runs.size(); ++i) {
            const RunResult& r = row.runs[i];
            double texts = static_cast<double>(std::max(1L, r.texts)), most = row.best[i].service();
            all.push_back(100 * r.service()), early.push_back(100 * r.serviceInTime()), best.push_back(100 * most);
            share.push_back(most > 0 ? r.service() / most : 1);
            calls.push_back(static_cast<double>(r.calls) / texts), vain.push_back(static_cast<double>(r.wastedCalls) / texts);
            dead.push_back(static_cast<double>(r.deadCalls)), fresh.push_back(static_cast<double>(r.deadConnections));
            tipped.push_back(static_cast<double>(r.tippedPlaces));
        }
        out << "| " << row.scenario << " | " << row.senders << " | " << row.surge << " | " << shownAs(all, 1) << " | " << shownAs(early, 1)
            << " | " << shownAs(best, 1) << " | " << shownAs(share, 2) << " | " << shownAs(calls, 2) << " | " << shownAs(vain, 2) << " | "
            << shownAs(dead, 0) << " | " << shownAs(fresh, 0) << " | " << shownAs(tipped, 1) << " | ";
        for (const RunResult& r : row.runs) {
            auto b = backAfter(r, row.trigger);
            if (b) back.push_back(*b);
            if (!b) ++never;
        }
        std::sort(back.begin(), back.end());
        if (!back.empty()) out << back.front() << " to " << back.back();
        if (never > 0) out << (back.empty() ? "" : ", ") << "not in " << never << " of " << row.runs.size();
        out << " |\n";
    }
    return out.str();
}

}  // namespace petrelpond::fleet
