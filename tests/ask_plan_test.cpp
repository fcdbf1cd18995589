#include "src/routing/ask_plan.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace petrelpond;

static Instant at(double s) { return Instant::atMicros(0) + Span::seconds(s); }

TEST_CASE("few senders keep a watch open, and ask again soon where nothing is heard") {
    AskPlan plan(3, 2, true, Span::seconds(10), Span::seconds(2));
    CHECK(plan.first(at(1), true) == at(1));
    CHECK(plan.wait() == Span::seconds(2));
    CHECK(plan.answered(at(3)) == at(3));  // at once, so that the watch goes on
    Instant first = plan.failed(at(5));
    CHECK(first > at(5));
    CHECK(first < at(5.1));
    Instant later;
    for (int i = 0; i < 20; ++i) later = plan.failed(at(9));
    CHECK(later > at(9.5));
    CHECK(later < at(10.3));
}

TEST_CASE("a sender that was turned away pauses longer each time, and comes back to its watch") {
    AskPlan plan(3, 2, true, Span::seconds(10), Span::seconds(2));
    Span before;
    for (int i = 0; i < 4; ++i) {
        Span pause = plan.turnedAway(at(0)) - at(0);
        CHECK(pause > before);
        before = pause * 1.1;
        CHECK(plan.wait() == Span());
    }
    for (int i = 0; i < 8; ++i) plan.answered(at(1));
    CHECK(plan.wait() == Span::seconds(2));
}

TEST_CASE("of many senders one that holds no list asks for it at once") {
    int spread = 0;
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        AskPlan plan(seed, 100, true, Span::seconds(10), Span::seconds(2));
        CHECK(plan.first(at(1), false) == at(1));
        spread += plan.first(at(1), true) > at(2);
    }
    CHECK(spread > 10);
}

// A directory that answers so many calls a second, and pays for those that it turns away as well.
static int heardLatest(double rate, int& askedMost) {
    constexpr int kSenders = 100;
    std::vector<AskPlan> plans;
    std::vector<Instant> next, heard(kSenders, Instant::longAgo());
    for (uint32_t i = 0; i < kSenders; ++i) {
        plans.emplace_back(i + 1, kSenders, true, Span::seconds(10), Span::seconds(2));
        next.push_back(plans[i].first(at(0), true));  // all at one moment, as after a release
    }
    double budget = rate;
    std::vector<int> inSecond(60);
    for (int ms = 0; ms < 60000; ++ms) {
        Instant now = at(ms / 1000.0);
        budget = std::min(budget + rate / 1000, rate);
        for (size_t i = 0; i < plans.size(); ++i) {
            if (now < next[i]) continue;
            ++inSecond[static_cast<size_t>(ms / 1000)];
            CHECK(plans[i].wait() == Span());
            bool answers = budget >= 1;
            budget = std::max(budget - 1, -rate);
            if (answers) heard[i] = now;
            next[i] = answers ? plans[i].answered(now) : plans[i].turnedAway(now);
        }
    }
    askedMost = *std::max_element(inSecond.begin(), inSecond.end());
    int late = 0;
    for (Instant h : heard) late += h < at(50);
    return late;
}

TEST_CASE("a hundred senders started at one moment do not crowd the directory, and each hears in time") {
    int askedMost = 0;
    CHECK(heardLatest(20, askedMost) == 0);  // each within the last ten seconds
    CHECK(askedMost <= 30);
    // Where it takes less than they need, they fall back, and most still hear.
    CHECK(heardLatest(8, askedMost) < 50);
    CHECK(askedMost <= 30);
}

TEST_CASE("lists that are brought unasked are watched by each of many senders, from its start on") {
    AskPlan plan(3, 300, false, Span::seconds(10), Span::seconds(2));
    CHECK(plan.first(at(1), true) == at(1));
    CHECK(plan.wait() == Span::seconds(2));
    // The next watch comes within the 200 ms in which what changes counts as told.
    CHECK(plan.answered(at(2)) - at(2) < Span::millis(100));
    CHECK(plan.wait() == Span::seconds(2));
}
