// The judge on scripted records: each rule broken and, a hair's breadth away, kept.
#include "fleet/judge.hpp"

#include <catch2/catch.hpp>

using namespace petrelpond;
using namespace petrelpond::fleet;

namespace {

Scenario small() {
    return readScenario(R"([senders]
count = 2
[[product]]
name = "status"
effect = "resendable"
validity_ms = 4000
[[product]]
name = "order"
effect = "once-only"
validity_ms = 4000
[[product]]
name = "marked"
effect = "referenced"
memory_ms = 1000
validity_ms = 4000
[[product]]
name = "ledger"
effect = "resendable"
in_order = true
validity_ms = 4000
[[group]]
name = "g"
count = 2
endpoints = 2
)",
                        "small");
}

Instant ms(int64_t at) { return Instant() + Span::millis(at); }

struct Bench {
    Scenario scenario = small();
    Judge judge{scenario};
    RequestNo text(int64_t at, uint32_t product, uint64_t key = 0, uint32_t destination = 0) {
        RequestNo r = judge.handed(ms(at), 0, product, destination, ms(at + 4000), key);
        judge.taken(ms(at + 1), r);
        return r;
    }
    Judge::CallNo call(int64_t at, RequestNo r, uint32_t endpoint = 0) {
        return judge.called(ms(at), ms(at), 0, endpoint, 0, {r});
    }
    void end(int64_t at, Judge::CallNo c, int status, Span wait = Span()) {
        judge.ended(ms(at), c, status, status == 429 || status == 503, wait);
    }
    void deliver(int64_t at, Judge::CallNo c) { judge.ran(ms(at), c), end(at, c, 200); }
    int broken(Rule rule) const { return judge.counts()[static_cast<size_t>(rule)]; }
    int all() const {
        int n = 0;
        for (int c : judge.counts()) n += c;
        return n;
    }
};

}  // namespace

TEST_CASE("rule 1: an end in time is kept, a late one and none at all are broken") {
    Bench b;
    auto told = b.text(0, 1), late = b.text(0, 1), none = b.text(0, 1),
         refused = b.judge.handed(ms(0), 0, 1, 0, ms(4000), 0);
    b.judge.dropped(ms(1), refused);
    b.judge.noticed(ms(4340), told, false);
    CHECK(b.all() == 0);
    b.judge.noticed(ms(4360), late, false);
    CHECK(b.broken(Rule::lostText) == 1);
    b.judge.finish(ms(5000));
    CHECK(b.broken(Rule::lostText) == 2);
    CHECK(b.judge.breaches().back().words.find("text " + std::to_string(none)) == 0);
    CHECK(b.all() == 2);
}

TEST_CASE(
    "rule 1: a submit after the final answer, and two answers that differ, are broken; told twice is not") {
    Bench b;
    auto r = b.text(0, 0);
    b.judge.noticed(ms(100), r, true);
    b.judge.noticed(ms(150), r, true);
    b.call(200, r);
    CHECK(b.all() == 0);  // it may have crossed the notice
    b.call(300, r);
    CHECK(b.broken(Rule::lostText) == 1);
    b.judge.noticed(ms(400), r, false);
    CHECK(b.broken(Rule::lostText) == 2);
}

TEST_CASE("rule 1: a sender that was down, or stopped, has time after it is up again") {
    Bench b;
    auto r = b.text(0, 0), other = b.text(0, 0);
    b.judge.killed(ms(3000), 0);
    b.judge.started(ms(6000), 0);
    b.judge.noticed(ms(7400), r, false);
    CHECK(b.all() == 0);
    b.judge.noticed(ms(7600), other, false);
    CHECK(b.broken(Rule::lostText) == 1);
    Bench still;
    auto s = still.text(0, 0);
    still.judge.stopped(ms(4000), 0, true);
    still.judge.stopped(ms(4500), 0, false);
    still.judge.noticed(ms(4800), s, false);
    CHECK(still.all() == 0);
}

TEST_CASE("rule 2: once-only goes again only where nothing can have run") {
    Bench b;
    auto r = b.text(0, 1);
    b.end(20, b.call(10, r), 503);
    b.end(40, b.call(30, r), 500);
    CHECK(b.all() == 0);
    auto second = b.call(50, r);
    CHECK(b.broken(Rule::doubleEffect) == 1);
    b.deliver(60, second);
    auto nacked = b.text(100, 1);
    b.end(120, b.call(110, nacked), 0);
    b.judge.noticed(ms(130), nacked, true);
    CHECK(b.broken(Rule::doubleEffect) == 2);
    auto twice = b.text(200, 1);
    auto c = b.call(210, twice);
    b.judge.ran(ms(215), c), b.judge.ran(ms(216), c);
    CHECK(b.broken(Rule::doubleEffect) == 3);
}

TEST_CASE("rule 2: two submits out at once, whichever end is seen first") {
    Bench crossing;
    auto r = crossing.text(0, 0);
    auto first = crossing.call(10, r), second = crossing.call(100, r);
    crossing.end(105, first, 0);  // its connection's end was only seen later
    crossing.deliver(150, second);
    CHECK(crossing.all() == 0);
    Bench both;
    auto s = both.text(0, 0);
    auto one = both.call(10, s), two = both.call(100, s);
    both.deliver(130, two);
    both.end(140, one, 0);
    CHECK(both.broken(Rule::doubleEffect) == 1);
    Bench never;
    auto t = never.text(0, 0);
    never.call(10, t), never.end(60, never.call(30, t), 200);
    never.judge.finish(ms(9000));
    CHECK(never.broken(Rule::doubleEffect) == 1);
}

TEST_CASE("rule 2: referenced texts go again within the memory alone, and count as one effect there") {
    Bench b;
    auto r = b.text(0, 2);
    auto first = b.call(10, r);
    b.judge.ran(ms(20), first);
    b.end(30, first, 0);
    auto second = b.call(900, r);
    b.judge.ran(ms(910), second);
    b.end(920, second, 0);
    CHECK(b.all() == 0);
    b.call(1100, r);
    CHECK(b.broken(Rule::doubleEffect) == 1);
}

TEST_CASE("rule 3: a call begun too long after the drain was told") {
    Bench b;
    auto r = b.text(0, 0), s = b.text(0, 0);
    b.judge.told(ms(100), 0, 1, 0, ListState::draining);
    b.judge.told(ms(180), 0, 1, 0, ListState::draining);  // told again: the first time counts
    b.deliver(260, b.call(240, r, 1));
    CHECK(b.all() == 0);
    b.deliver(280, b.call(260, s, 1));
    CHECK(b.broken(Rule::drain) == 1);
    auto t = b.text(300, 0), u = b.text(300, 0);
    b.judge.called(ms(310), ms(310), 0, 1, 1, {t});  // a new one at its address
    b.judge.told(ms(320), 0, 1, 0, ListState::active);
    b.call(900, u, 1);
    CHECK(b.broken(Rule::drain) == 1);
}

TEST_CASE("rule 4: a tipped place is a breach where those who knew of the outage brought the load") {
    Bench b;
    auto r = b.text(0, 0);
    b.judge.outage(ms(100), 0, true);
    b.end(120, b.call(110, r), 503);
    b.judge.outage(ms(1000), 0, false);
    for (int i = 0; i < 9; ++i) b.judge.reached(ms(1010), 0, 0);
    for (int i = 0; i < 4; ++i) b.judge.reached(ms(1010), 1, 0);
    b.judge.tipped(ms(1020), 0);
    CHECK(b.broken(Rule::returning) == 1);
    Bench ignorant;
    auto s = ignorant.text(0, 0);
    ignorant.judge.outage(ms(100), 0, true);
    ignorant.end(120, ignorant.call(110, s), 503);
    ignorant.judge.outage(ms(1000), 0, false);
    for (int i = 0; i < 3; ++i) ignorant.judge.reached(ms(1010), 0, 0);
    for (int i = 0; i < 9; ++i) ignorant.judge.reached(ms(1010), 1, 0);
    ignorant.judge.tipped(ms(1020), 0);
    CHECK(ignorant.all() == 0);
}

TEST_CASE("rule 5: a later text of the key goes only after the earlier one's end") {
    Bench b;
    auto first = b.text(0, 3, 7), second = b.text(10, 3, 7), elsewhere = b.text(10, 3, 8, 1);
    b.deliver(30, b.call(20, elsewhere, 2));
    auto c = b.call(20, first);
    b.end(40, c, 503);
    b.call(50, second);
    CHECK(b.broken(Rule::order) == 1);
    Bench fine;
    auto one = fine.text(0, 3, 7), two = fine.text(10, 3, 7);
    fine.deliver(30, fine.call(20, one));
    fine.deliver(50, fine.call(40, two));
    CHECK(fine.all() == 0);
    Bench together;  // handed in at one moment: which was taken first nobody outside can say
    auto x = together.judge.handed(ms(0), 0, 3, 0, ms(4000), 7),
         y = together.judge.handed(ms(0), 0, 3, 0, ms(4000), 7);
    together.judge.taken(ms(1), x), together.judge.taken(ms(1), y);
    together.call(5, y);
    CHECK(together.all() == 0);
}

TEST_CASE("rule 6: no call in a told wait, for the whole destination and that sender alone") {
    Bench b;
    auto r = b.text(0, 0), s = b.text(0, 0), t = b.text(0, 0);
    b.end(100, b.call(90, r), 429, Span::millis(1000));
    b.deliver(250, b.call(240, s, 1));  // was on its way
    CHECK(b.all() == 0);
    b.call(260, t, 1);
    CHECK(b.broken(Rule::wait) == 1);
    auto other = b.text(300, 0, 0, 1);
    b.call(310, other, 2);
    auto theirs = b.judge.handed(ms(300), 1, 0, 0, ms(4300), 0);
    b.judge.called(ms(320), ms(320), 1, 0, 0, {theirs});
    b.deliver(1110, b.call(1101, b.text(1100, 0), 1));
    CHECK(b.broken(Rule::wait) == 1);
    b.judge.killed(ms(1200), 0);
    CHECK(b.all() == 1);
}
