// Measures the planner at fleet size: SCALER_MODEL=20 system_scaler_tests --gtest_filter='Model.*'. The
// number is that of simulated seconds, 20 at least.
#include <gtest/gtest.h>
#include <time.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>

#include "system/scaler/planner.hpp"

namespace petrelpond::scaler {
namespace {

double processorS() {
    timespec t;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) / 1e9;
}

// Simulates callsS calls per second at each sender, of random functions; one in ten finds no slot. Senders
// report every 100 ms and apply grants at once. Of the simulated seconds the last 10 are measured.
void measure(size_t senders, size_t functions, double callsS, int seconds) {
    std::mt19937 random(1);
    Instant now = Instant::atMicros(1000000);
    Planner p(now, 1, 1, 500, Span::millis(500));
    std::vector<FunctionSpec> specs;
    for (size_t k = 0; k < functions; ++k)
        specs.push_back({"function" + std::to_string(k), 128, Span::millis(900), 4, Span::millis(1500)});
    p.onConfiguration(now, specs);
    std::vector<Worker> workers;
    for (int k = 0; k < 64; ++k) workers.push_back({"w" + std::to_string(k), "z", 1 << 20, 1 << 20, false});
    p.onWorkerList(now, workers);
    p.onInstanceList(now, {});
    struct Agent {
        std::map<std::string, HeldSlots> held, changed;
        bool first = true;
    };
    std::vector<Agent> agents(senders);
    for (size_t s = 0; s < senders; ++s) p.onSenderLinked(now, std::to_string(s), "z");
    size_t reports = 0, words = 0, bytes = 0, made = 0;
    double inReports = 0, inTicks = 0, most = 0;
    size_t ticks = 0;
    const auto pull = [&](bool count) {
        while (auto o = p.next()) {
            if (auto* s = std::get_if<StartCall>(&*o)) {
                const std::string id = "instance" + std::to_string(++made);
                p.onStarted(now, s->nonce, id, "10.0.0.1:8080");
            } else if (auto* t = std::get_if<GrantsMessage>(&*o)) {
                msgpack::sbuffer out;
                msgpack::pack(out, t->grants);
                words += count, bytes += count ? out.size() : 0;
                Agent& a = agents[std::stoul(t->to)];
                for (const Grant& g : t->grants.grants) {
                    a.changed[g.instance] = {g.instance, g.service, g.address, g.slots, 0};
                    if (g.slots)
                        a.held[g.instance] = a.changed[g.instance];
                    else
                        a.held.erase(g.instance);
                }
            }
        }
    };
    constexpr int kMeasuredSeconds = 10, kStepsPerSecond = 10;
    for (int step = 0; step < seconds * kStepsPerSecond; ++step) {
        const bool count = step >= (seconds - kMeasuredSeconds) * kStepsPerSecond;
        now = now + Span::millis(100);
        double before = 0;
        // In as many parts as the planner wants; a part longer than any other is what holds up the caller.
        if (now >= p.wakeAt()) ticks += count;
        while (now >= p.wakeAt()) {
            before = processorS();
            p.tick(now);
            pull(count);
            const double part = processorS() - before;
            if (count) inTicks += part, most = std::max(most, part);
        }
        for (size_t s = 0; s < senders; ++s) {
            Agent& a = agents[s];
            Report r;
            r.term = 1, r.isFull = a.first, r.intervalMs = 100;
            a.first = false;
            const double calls = callsS / 10;
            size_t n = static_cast<size_t>(calls);
            n += static_cast<double>(random() % 1000) / 1000 < calls - static_cast<double>(n);
            for (size_t k = 0; k < n; ++k)
                r.demands.push_back(
                    {specs[random() % functions].name, random() % 10 == 0 ? 1u : 0u, 0, 1, 1, 80000});
            for (auto& [id, h] : a.changed) r.held.push_back(h);
            a.changed.clear();
            before = processorS();
            p.onReport(now, std::to_string(s), r);
            pull(count);
            if (count) inReports += processorS() - before, ++reports;
        }
    }
    std::printf(
        "%4zu senders, %4zu functions: %5.1f us a report, %6.2f ms a tick (longest part %.2f), %.3f of a "
        "core; "
        "%.2f words and %.0f bytes of grants a sender a second; %zu instances, %lu demands\n",
        senders, functions, inReports / static_cast<double>(reports) * 1e6,
        inTicks / static_cast<double>(ticks) * 1e3, most * 1e3, (inReports + inTicks) / 10,
        static_cast<double>(words) / 10 / static_cast<double>(senders),
        static_cast<double>(bytes) / 10 / static_cast<double>(senders), made, p.counters().demands);
}

TEST(Model, PlannerAtSize) {
    const char* wanted = std::getenv("SCALER_MODEL");
    if (!wanted) GTEST_SKIP() << "for measuring: SCALER_MODEL=20";
    const int seconds = std::max(20, std::atoi(wanted));
    for (const size_t functions : {158, 1030})
        for (const size_t senders : {6, 74, 460, 1000}) measure(senders, functions, 10, seconds);
    measure(460, 17000, 10, seconds);
}

}  // namespace
}  // namespace petrelpond::scaler
