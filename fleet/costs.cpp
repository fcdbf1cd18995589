#include "fleet/costs.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>
#include <stdexcept>

namespace petrelpond::fleet {

namespace {

constexpr size_t kFewest = 20;

// Partners that never are the reason for a wait. Those of the second close a connection at once, so that each
// call has a handshake in it.
constexpr const char* kCalm = R"(
name = "costs, calm"
[run]
seconds = 4
[senders]
count = 1
[[product]]
name = "note"
effect = "resendable"
[[group]]
name = "kept"
count = 10
workers = 400
queue = 400
answer_median_ms = 2
[[traffic]]
product = "note"
group = "kept"
rate = 100
)";
constexpr const char* kFresh = R"(
name = "costs, new connections"
[run]
seconds = 4
[senders]
count = 1
[[product]]
name = "note"
effect = "resendable"
[[group]]
name = "fresh"
count = 10
workers = 400
queue = 400
answer_median_ms = 2
idle_ms = 1
idle_closes = 1
[[traffic]]
product = "note"
group = "fresh"
rate = 100
)";
constexpr const char* kClumps = R"(
name = "costs, clumps"
[run]
seconds = 7
[senders]
count = 1
calls_out = 400
[[product]]
name = "note"
effect = "resendable"
[[group]]
name = "kept"
count = 20
workers = 400
queue = 400
answer_median_ms = 2
[[traffic]]
product = "note"
group = "kept"
rate = 400
clump = 40
)";

double median(std::vector<double> values, const char* of) {
    if (values.size() < kFewest) {
        throw std::runtime_error(std::string("too few samples of ") + of + ": " +
                                 std::to_string(values.size()));
    }
    auto middle = values.begin() + static_cast<long>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}  // namespace

Model costsFrom(const CostSamples& calm, const CostSamples& clumps) {
    // The first second has the first connections, threads and records in it.
    Instant warm = Instant() + Span::seconds(1);
    std::vector<double> kept, fresh, apart;
    for (const auto& c : calm.called) {
        if (c.planned < warm) continue;
        (c.fresh ? fresh : kept).push_back((c.at - c.sentAt).inSeconds() * 1e3);
    }
    std::map<Instant, std::vector<Instant>> byClump;
    for (const auto& c : clumps.called) {
        if (c.planned >= warm && !c.fresh) byClump[c.planned].push_back(c.at);
    }
    for (auto& [planned, at] : byClump) {
        if (at.size() < 10) continue;
        // The last ones may have had a submit before them to wait for, the first ones a thread to be woken.
        std::sort(at.begin(), at.end());
        size_t low = at.size() / 10, high = at.size() * 9 / 10;
        apart.push_back((at[high] - at[low]).inSeconds() * 1e3 / static_cast<double>(high - low));
    }
    double ping = median(calm.pings, "round trips"), entry = median(calm.entries, "texts handed in");
    double byKept = median(kept, "calls by a kept connection"),
           byFresh = median(fresh, "calls by a new connection"), work = median(apart, "clumps");
    auto span = [](double millis) { return Span::micros(std::llround(std::max(millis, 0.0) * 1e3)); };
    Model m;
    m.hop = span(ping / 2), m.work = span(work);
    m.store = span(entry - ping - work);
    m.round = span(byKept - entry);
    m.handshake = span(byFresh - byKept);
    m.given = true;
    return m;
}

Model measureCosts(const StageOptions& options) {
    CostSamples calm, fresh, clumps;
    auto played = [&](const char* text, const char* name, CostSamples& into) {
        Scenario s = readScenario(text, name);
        StageOptions with = options;
        with.samples = &into;
        RunResult r = playOnSockets(s, s.seed, with);
        if (!r.clean()) throw std::runtime_error(s.name + ": the run counts for nothing\n" + inWords(r));
    };
    played(kCalm, "costs-calm", calm);
    played(kFresh, "costs-fresh", fresh);
    for (auto& c : fresh.called) {
        if (c.fresh) calm.called.push_back(c);
    }
    played(kClumps, "costs-clumps", clumps);
    return costsFrom(calm, clumps);
}

std::string asToml(const Model& m) {
    std::ostringstream out;
    auto millis = [&](const char* key, Span span) {
        out << key << " = " << std::fixed << std::setprecision(3) << span.inSeconds() * 1e3 << "\n";
    };
    out << "[model]\n";
    millis("hop_ms", m.hop), millis("handshake_ms", m.handshake), millis("store_ms", m.store);
    millis("round_ms", m.round), millis("work_ms", m.work);
    return out.str();
}

}  // namespace petrelpond::fleet
