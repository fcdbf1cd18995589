// Cost of the decisions for one text, by the number of destinations and the share of them that reject calls. Runs the
// decision module alone in simulated time at 400 texts per second, and measures only the calls into the module.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <chrono>
#include <queue>
#include <random>
#include <tuple>

#include "petrelpond/sender.hpp"

using namespace petrelpond;

namespace {

constexpr int kTextsPerSecond = 400;
constexpr double kRejectSeconds = 0.005, kDeliverSeconds = 0.05;  // time until the result of a call

struct PendingResult {
    Instant at;
    uint64_t order;
    SubmitResult result;
    bool operator>(const PendingResult& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
};

class Simulation {
  public:
    Simulation(uint32_t destinations, double rejecting) : destinations_(destinations), rejecting_(rejecting) {
        std::vector<Product> products = {
            {Span::seconds(1), Span::seconds(10), Effect::idempotent, Span(), false, 1, 0.3, false}};
        sender_ = makeSender(7, products, {EndpointKind{}}, {2, ZoneIndex(0u)},
                             {256, 20000, 8, true, Span::millis(5), Span::seconds(2)},
                             {0.2, Span::seconds(5), 2, Span::seconds(1)}, EndpointListRule{}, Decay::linear,
                             {Span::seconds(10), Span::millis(500)});
        std::vector<ListEntry> list;
        for (uint32_t d = 0; d < destinations; ++d) {
            list.push_back(
                {EndpointIndex(d), DestinationIndex(d), ZoneIndex(d % 2), KindIndex(0u), ListState::active, 0});
        }
        sender_->onEndpointList(now_, ListScope::complete, list);
        pull();
    }
    // Runs until `n` more texts have arrived; returns the seconds spent in the module.
    double runTexts(int n) {
        double before = spent_;
        for (int i = 0; i < n; ++i) {
            Instant next = now_ + Span::micros(1000000 / kTextsPerSecond);
            runTo(next);
            Arrival a;
            a.text = TextIndex(nextText_++), a.destination = DestinationIndex(random_() % destinations_);
            a.product = ProductIndex(0u), a.validUntil = now_ + Span::seconds(10);
            timed([&] { sender_->onArrival(now_, a); });
            pull();
        }
        return spent_ - before;
    }

    void runIdle(Span span) { runTo(now_ + span); }

  private:
    template <class Work>
    void timed(Work work) {
        auto from = std::chrono::steady_clock::now();
        work();
        spent_ += std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
    }
    void runTo(Instant until) {
        while (true) {
            Instant at = until;
            if (!pending_.empty()) at = std::min(at, pending_.top().at);
            at = std::min(at, wake_);
            now_ = at;
            if (at == until) return;
            if (wake_ <= at) {
                wake_ = Instant::never();
                timed([&] { sender_->onTimer(now_); });
            } else {
                SubmitResult result = pending_.top().result;
                pending_.pop();
                timed([&] { sender_->onSubmitResult(now_, result); });
            }
            pull();
        }
    }
    void pull() {
        while (true) {
            std::optional<Decision> decision;
            timed([&] { decision = sender_->nextDecision(now_); });
            if (!decision) return;
            if (const auto* s = std::get_if<Submit>(&*decision)) {
                bool rejected = s->endpoint.value < rejecting_ * destinations_;
                SubmitResult result{s->text, s->endpoint,
                                    rejected ? SubmitStatus::overloaded : SubmitStatus::delivered,
                                    !rejected, Span(), std::nullopt};
                pending_.push({now_ + Span::seconds(rejected ? kRejectSeconds : kDeliverSeconds), order_++, result});
            } else if (const auto* w = std::get_if<WakeAt>(&*decision)) {
                wake_ = std::min(wake_, w->at);
            }
        }
    }

    uint32_t destinations_, nextText_ = 0;
    double rejecting_, spent_ = 0;
    uint64_t order_ = 0;
    std::mt19937 random_{11};
    Instant now_ = Instant::atMicros(1000000), wake_ = Instant::never();
    std::priority_queue<PendingResult, std::vector<PendingResult>, std::greater<>> pending_;
    std::unique_ptr<Sender> sender_;
};

// Arguments: number of destinations, percentage of them that reject calls.
void decisions(benchmark::State& state) {
    Simulation simulation(static_cast<uint32_t>(state.range(0)), static_cast<double>(state.range(1)) / 100);
    // Warms up until the number of waiting texts is stable: they are valid for 10 s. Stops after 6 s of measured
    // time, as some settings would take minutes.
    double warm = 0;
    for (int s = 0; s < 12 && warm < 6; ++s) warm += simulation.runTexts(kTextsPerSecond);
    double spent = 0;
    for (auto _ : state) {
        double took = simulation.runTexts(kTextsPerSecond / 4);
        spent += took;
        state.SetIterationTime(took);
    }
    state.counters["us_per_text"] =
        spent * 1e6 / (static_cast<double>(state.iterations()) * kTextsPerSecond / 4);
}
BENCHMARK(decisions)
    ->ArgsProduct({{100, 1000, 10000, 50000}, {0, 10, 50}})
    ->UseManualTime()
    ->Unit(benchmark::kMillisecond)
    ->MinTime(0.5);

// Memory per destination after a few texts, in the module alone: right away, and after its record was unloaded.
void idleBytes(benchmark::State& state) {
    auto destinations = static_cast<uint32_t>(state.range(0));
    for (auto _ : state) {
        size_t before = mallinfo2().uordblks;
        Simulation simulation(destinations, 0);
        simulation.runTexts(static_cast<int>(destinations) * 3);
        size_t used = mallinfo2().uordblks;
        simulation.runIdle(Span::seconds(130));  // records are unloaded after an idle minute, in turn
        state.counters["bytes_used"] = static_cast<double>(used - before) / destinations;
        state.counters["bytes_idle"] = static_cast<double>(mallinfo2().uordblks - before) / destinations;
    }
}
BENCHMARK(idleBytes)->Arg(10000)->Iterations(1)->Unit(benchmark::kMillisecond);

// Replaces the complete endpoint list once a second, with a new endpoint for each destination: the time for one list,
// and the memory that a hundred lists leave behind.
void wholeLists(benchmark::State& state) {
    auto destinations = static_cast<uint32_t>(state.range(0));
    std::vector<Product> products = {
        {Span::seconds(1), Span::seconds(10), Effect::idempotent, Span(), false, 1, 0.3, false}};
    auto sender = makeSender(7, products, {EndpointKind{}}, {2, ZoneIndex(0u)},
                             {256, 20000, 8, true, Span::millis(5), Span::seconds(2)},
                             {0.2, Span::seconds(5), 2, Span::seconds(1)}, EndpointListRule{}, Decay::linear,
                             {Span::seconds(10), Span::millis(500)});
    Instant now = Instant::atMicros(1000000);
    uint32_t round = 0, nextText = 0;
    size_t before = 0;
    auto once = [&] {
        // The host reuses indices as well: a removed endpoint's index returns two lists later.
        std::vector<ListEntry> list;
        for (uint32_t d = 0; d < destinations; ++d) {
            list.push_back({EndpointIndex(d + round % 2 * destinations), DestinationIndex(d), ZoneIndex(0u),
                            KindIndex(0u), ListState::active, 0});
        }
        ++round;
        auto from = std::chrono::steady_clock::now();
        sender->onEndpointList(now, ListScope::complete, list);
        for (int i = 0; i < 100; ++i) {
            Arrival a;
            a.text = TextIndex(nextText++), a.destination = DestinationIndex(nextText * 7919 % destinations);
            a.product = ProductIndex(0u), a.validUntil = now + Span::seconds(10);
            sender->onArrival(now, a);
        }
        while (auto d = sender->nextDecision(now)) {
            if (const auto* s = std::get_if<Submit>(&*d)) {
                sender->onSubmitResult(
                    now, {s->text, s->endpoint, SubmitStatus::delivered, true, Span(), std::nullopt});
            }
        }
        double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
        now = now + Span::seconds(1);
        return took;
    };
    for (int i = 0; i < 130; ++i) once();  // until the first records were unloaded
    before = mallinfo2().uordblks;
    for (auto _ : state) state.SetIterationTime(once());
    state.counters["bytes_grown"] = static_cast<double>(mallinfo2().uordblks) - static_cast<double>(before);
}
BENCHMARK(wholeLists)->Arg(10000)->Iterations(100)->UseManualTime()->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
