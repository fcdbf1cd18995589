#include "fleet/result.hpp"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace petrelpond::fleet {

namespace {

constexpr int kFormat = 1;
using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

}  // namespace

Quantiles quantilesOf(const Latencies& l) {
    return {l.quantile(0.5), l.quantile(0.9), l.quantile(0.99), l.quantile(0.999)};
}

struct Latencies::Inside {
    boost::histogram::histogram<std::tuple<Axis>> counts =
        boost::histogram::make_histogram(Axis(1850, 0.01, 1e6));
    long count = 0;
};

Latencies::Latencies() : inside_(std::make_unique<Inside>()) {}
Latencies::~Latencies() = default;
Latencies::Latencies(Latencies&&) noexcept = default;
Latencies& Latencies::operator=(Latencies&&) noexcept = default;

void Latencies::add(double millis) {
    inside_->counts(std::clamp(millis, 0.01, 0.999e6));
    ++inside_->count;
}

long Latencies::count() const { return inside_->count; }

double Latencies::quantile(double q) const {
    if (inside_->count == 0) return 0;
    double want = q * static_cast<double>(inside_->count), sum = 0;
    const auto& axis = inside_->counts.axis(0);
    for (int i = 0; i < axis.size(); ++i) {
        sum += inside_->counts.at(i);
        if (sum >= want && sum > 0) return axis.bin(i).center();
    }
    return axis.bin(axis.size() - 1).center();
}

double RunResult::possible() const {
    double sum = 0;
    for (const ProductResult& p : products) sum += p.possible;
    return sum;
}
double RunResult::made() const {
    double sum = 0;
    for (const ProductResult& p : products) sum += p.made;
    return sum;
}
double RunResult::madeInTime() const {
    double sum = 0;
    for (const ProductResult& p : products) sum += p.madeInTime;
    return sum;
}

void account(const Scenario& s, const Programs& programs, RunResult& result) {
    std::vector<Latencies> delivery(s.products.size()), first(s.products.size());
    for (const ProductPlan& p : s.products) result.products.emplace_back().name = p.name;
    for (const Group& g : s.groups) result.groups.push_back(g.name);
    result.texts = static_cast<long>(programs.size());
    auto secondOf = [&](Instant at) -> SecondOf& {
        auto ix = static_cast<size_t>(std::max<int64_t>(at.inMicros() / 1000000, 0));
        if (ix >= result.series.size()) result.series.resize(ix + 1);
        return result.series[ix];
    };
    for (size_t i = 0; i < programs.size(); ++i) {
        const Programs::Text& t = programs.text(i);
        const Product& rules = s.products[t.plan.product].rules;
        ProductResult& p = result.products[t.plan.product];
        ++p.handed, p.possible += rules.revenue;
        SecondOf& came = secondOf(t.plan.at);
        ++came.arrivals, came.possible += rules.revenue;
        if (t.firstCallAt != Instant::never()) {
            first[t.plan.product].add((t.firstCallAt - t.plan.at).inSeconds() * 1e3);
        }
        Span after = t.endedAt - t.plan.at;
        switch (t.end) {
            case Programs::End::inTime:
                ++p.inTime, p.madeInTime += rules.revenue;
                break;
            case Programs::End::late:
                ++p.late;
                break;
            case Programs::End::undeliverable:
                ++p.undeliverable;
                break;
            case Programs::End::refused:
                ++p.refused;
                break;
            default:
                ++p.expired;
        }
        if (t.end != Programs::End::inTime && t.end != Programs::End::late) continue;
        p.made += earned(rules, after);
        // Revenue is drawn at the second in which its text came, beside what was possible in it.
        secondOf(t.plan.at).made += earned(rules, after);
        delivery[t.plan.product].add(after.inSeconds() * 1e3);
    }
    for (size_t i = 0; i < result.products.size(); ++i) {
        result.products[i].delivery = quantilesOf(delivery[i]);
        result.products[i].firstSubmit = quantilesOf(first[i]);
    }
}

nlohmann::json toJson(const RunResult& r) {
    using nlohmann::json;
    auto quantiles = [](const Quantiles& q) { return json::array({q.p50, q.p90, q.p99, q.p999}); };
    json out = {{"format", kFormat},
                {"scenario", r.scenario},
                {"kind", r.kind},
                {"program", r.program},
                {"seed", r.seed},
                {"seconds", r.seconds},
                {"wall_seconds", r.wallSeconds},
                {"groups", r.groups},
                {"texts", r.texts},
                {"calls", r.calls},
                {"wasted_calls", r.wastedCalls},
                {"tipped_places", r.tippedPlaces},
                {"dead_calls", r.deadCalls},
                {"dead_connections", r.deadConnections},
                {"late_ms", {r.lateP99, r.lateP999, r.lateMost}},
                {"entry_ms", r.entryMs},
                {"void", r.voidBecause},
                {"service", r.service()},
                {"service_in_time", r.serviceInTime()}};
    for (const ProductResult& p : r.products) {
        out["products"].push_back({{"name", p.name},
                                   {"handed", p.handed},
                                   {"in_time", p.inTime},
                                   {"late", p.late},
                                   {"undeliverable", p.undeliverable},
                                   {"refused", p.refused},
                                   {"expired", p.expired},
                                   {"possible", p.possible},
                                   {"made", p.made},
                                   {"made_in_time", p.madeInTime},
                                   {"delivery_ms", quantiles(p.delivery)},
                                   {"first_submit_ms", quantiles(p.firstSubmit)}});
    }
    out["series"] = json::array();
    for (const SecondOf& s : r.series) {
        out["series"].push_back({{"possible", s.possible},
                                 {"made", s.made},
                                 {"arrivals", s.arrivals},
                                 {"calls", s.calls},
                                 {"refused_calls", s.refusedCalls},
                                 {"open", s.open},
                                 {"out", s.out},
                                 {"group_calls", s.groupCalls},
                                 {"group_limits", s.groupLimits},
                                 {"hears", s.hears},
                                 {"believed", s.believed}});
    }
    out["senders"] = json::array();
    for (const SenderResult& s : r.senders) {
        out["senders"].push_back({{"cpu_seconds", s.cpuSeconds},
                                  {"memory_mb", s.memoryMb},
                                  {"threads", s.threads},
                                  {"descriptors", s.descriptors},
                                  {"memory_by_second", s.memoryBySecond},
                                  {"threads_by_second", s.threadsBySecond},
                                  {"starts", s.starts},
                                  {"held_up", s.heldUp},
                                  {"held_up_most_ms", s.heldUpMost}});
    }
    out["breaches"] = json::array();
    for (const Breach& b : r.breaches) {
        out["breaches"].push_back({{"rule", static_cast<int>(b.rule)},
                                   {"name", nameOf(b.rule)},
                                   {"at", (b.at - Instant()).inSeconds()},
                                   {"words", b.words}});
    }
    out["breach_counts"] = r.breachCounts;
    return out;
}

RunResult fromJson(const nlohmann::json& v) {
    RunResult r;
    if (v.at("format") != kFormat) throw std::runtime_error("a result of another format version");
    auto quantiles = [](const nlohmann::json& q) { return Quantiles{q.at(0), q.at(1), q.at(2), q.at(3)}; };
    r.scenario = v.at("scenario"), r.kind = v.at("kind"), r.program = v.at("program"), r.seed = v.at("seed");
    r.seconds = v.at("seconds"), r.wallSeconds = v.at("wall_seconds"), r.groups = v.at("groups");
    r.texts = v.at("texts"), r.calls = v.at("calls"), r.wastedCalls = v.at("wasted_calls");
    r.deadCalls = v.value("dead_calls", 0L), r.deadConnections = v.value("dead_connections", 0L);
    r.tippedPlaces = v.at("tipped_places"), r.voidBecause = v.at("void");
    r.lateP99 = v.at("late_ms").at(0), r.lateP999 = v.at("late_ms").at(1), r.lateMost = v.at("late_ms").at(2);
    r.entryMs = v.at("entry_ms"), r.breachCounts = v.at("breach_counts");
    for (const auto& p : v.at("products")) {
        r.products.push_back({p.at("name"), p.at("handed"), p.at("in_time"), p.at("late"),
                              p.at("undeliverable"), p.at("refused"), p.at("expired"), p.at("possible"),
                              p.at("made"), p.at("made_in_time"), quantiles(p.at("delivery_ms")),
                              quantiles(p.at("first_submit_ms"))});
    }
    for (const auto& s : v.at("series")) {
        r.series.push_back({s.at("possible"), s.at("made"), s.at("arrivals"), s.at("calls"),
                            s.at("refused_calls"), s.at("open"), s.at("out"), s.at("group_calls"),
                            s.at("group_limits"), s.value("hears", ""), s.value("believed", std::vector<int>())});
    }
    for (const auto& s : v.at("senders")) {
        r.senders.push_back({s.at("cpu_seconds"), s.at("memory_mb"), s.at("threads"), s.at("descriptors"),
                             s.at("starts"), s.at("memory_by_second"), s.at("threads_by_second"),
                             s.value("held_up", 0L), s.value("held_up_most_ms", 0.0)});
    }
    for (const auto& b : v.at("breaches")) {
        r.breaches.push_back({static_cast<Rule>(b.at("rule").get<int>()),
                              Instant() + Span::seconds(b.at("at").get<double>()), b.at("words")});
    }
    return r;
}

std::string inWords(const RunResult& r) {
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    out << r.scenario << ", " << r.kind << ", seed " << r.seed << ": " << r.texts << " texts in " << r.seconds
        << " s, " << r.calls << " calls, " << r.wastedCalls << " of them in vain\n";
    for (const ProductResult& p : r.products) {
        out << "  " << p.name << ": " << p.handed << " handed in, " << p.inTime
            << " delivered within the SLA time, " << p.late << " after it";
        if (p.undeliverable > 0) out << "; " << p.undeliverable << " undeliverable";
        if (p.refused > 0) out << "; " << p.refused << " refused to the end";
        if (p.expired > 0) out << "; " << p.expired << " expired";
        out << "; p50 " << p.delivery.p50 << " ms, p99 " << p.delivery.p99 << " ms\n";
    }
    out << "  revenue: " << 100 * r.service() << "% of what was possible, " << 100 * r.serviceInTime()
        << "% within the SLA time\n";
    if (r.kind == "sockets") {
        double cpu = 0, memory = 0;
        for (const SenderResult& s : r.senders) cpu += s.cpuSeconds, memory = std::max(memory, s.memoryMb);
        out << "  senders: " << std::setprecision(2) << cpu << " s of CPU, "
            << (r.texts > 0 ? cpu * 1e6 / static_cast<double>(r.texts) : 0) << " us a text; most memory "
            << memory << " MB; judge late by " << r.lateP99 << " ms (p99), " << r.lateMost << " ms at most\n";
    }
    if (r.tippedPlaces > 0) out << "  " << r.tippedPlaces << " destinations fell over under load\n";
    if (!r.voidBecause.empty()) out << "  VOID: " << r.voidBecause << "\n";
    for (int rule = 1; rule < 7; ++rule) {
        int n = r.breachCounts[static_cast<size_t>(rule)];
        if (n > 0)
            out << "  RULE " << rule << " BROKEN (" << nameOf(static_cast<Rule>(rule)) << "), " << n
                << " times\n";
    }
    for (size_t i = 0; i < r.breaches.size() && i < 5; ++i) {
        out << "    at " << (r.breaches[i].at - Instant()).inSeconds() << " s: " << r.breaches[i].words
            << "\n";
    }
    if (r.clean()) out << "  no rule broken\n";
    return out.str();
}

void saveRuns(const std::string& path, const std::vector<RunResult>& runs) {
    nlohmann::json all = nlohmann::json::array();
    for (const RunResult& r : runs) all.push_back(toJson(r));
    std::ofstream file(path);
    file << all.dump() << '\n';
    file.close();
    if (!file) throw std::runtime_error(path + ": can't be written");
}

std::vector<RunResult> loadRuns(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error(path + ": can't be read");
    try {
        nlohmann::json all = nlohmann::json::parse(file);
        std::vector<RunResult> runs;
        for (const auto& r : all) runs.push_back(fromJson(r));
        return runs;
    } catch (const nlohmann::json::exception& e) {
        throw std::runtime_error(path + ": is no result of petrelfleet: " + e.what());
    }
}

}  // namespace petrelpond::fleet
