// Who is there, case by case, in simulated time.
#include <catch2/catch.hpp>

#include "fleet/crew_model.hpp"

using namespace petrelpond;
using namespace petrelpond::fleet;
using crew::State;

namespace {

struct World : CrewModel {
    explicit World(CrewSetup setup) : CrewModel(std::move(setup)) {}
    void all() {
        for (int m = 0; m < members(); ++m) start(m);
    }
    void until(double seconds) { runUntil(Instant() + Span::seconds(seconds)); }
    std::optional<State> of(int viewer, int member) {
        auto s = core(viewer)->seen(localNow(viewer), nameOf(member));
        return s ? std::optional(s->state) : std::nullopt;
    }
    int holding(int member, State state) {
        int n = 0;
        for (int v = 0; v < members(); ++v) n += v != member && core(v) && of(v, member) == state;
        return n;
    }
    bool said(const std::string& part) const {
        for (const std::string& w : words()) {
            if (w.find(part) != std::string::npos) return true;
        }
        return false;
    }
};

CrewSetup of(int members) {
    CrewSetup s;
    s.members = members;
    return s;
}

LinkFault fault(LinkFault::Kind kind, double at, double lasts) {
    LinkFault f;
    f.what = kind, f.at = Span::seconds(at), f.lasts = Span::seconds(lasts);
    return f;
}

}  // namespace

TEST_CASE("three hundred that start in the same second all know each other soon") {
    World w(of(300));
    w.all();
    w.until(10);
    for (int m = 0; m < 300; ++m) CHECK(w.core(m)->living() == 300);
    for (int m = 0; m < 300; ++m) CHECK(w.core(m)->count(crew::Counted::deaths) == 0);
}

TEST_CASE("one that is killed is found dead by all; one that leaves by word has left, and no message undoes it") {
    World w(of(8));
    w.all();
    w.until(5);
    w.kill(7), w.leave(6);
    w.until(5.5);
    CHECK(w.holding(6, State::left) == 6);
    w.until(20);
    CHECK(w.holding(7, State::dead) == 6);
    CHECK(w.holding(6, State::left) == 6);
}

TEST_CASE("one that was stopped for 20 s accuses nobody as it wakes, and is back with all") {
    World w(of(8));
    w.all();
    w.until(5);
    w.stop(0);
    w.until(25);
    CHECK(w.holding(0, State::dead) == 7);
    w.go(0);
    for (int i = 0; i < 200; ++i) {
        w.until(25 + i * 0.1);
        for (int m = 1; m < 8; ++m) REQUIRE(w.of(0, m) != State::dead);
    }
    CHECK(w.holding(0, State::alive) == 7);
    CHECK(w.core(0)->count(crew::Counted::lateRounds) > 0);
}

TEST_CASE("a partition of 30 s with restarts on both sides heals") {
    CrewSetup s = of(9);
    s.links = {fault(LinkFault::Kind::partition, 5, 30)};
    s.links[0].sides = {{0, 1, 2, 3, 4}, {5, 6, 7, 8}};
    World w(s);
    w.all();
    w.until(15);
    w.kill(1), w.kill(6);
    w.until(17);
    w.start(1), w.start(6);
    w.until(34);
    CHECK(w.holding(2, State::dead) == 4);
    w.until(60);
    for (int m = 0; m < 9; ++m) CHECK(w.holding(m, State::alive) == 8);
}

TEST_CASE("an older incarnation, as the folder was lost, is raised above what the others know") {
    World w(of(5));
    w.all();
    w.until(5);
    uint64_t before = 0;
    for (int i = 0; i < 4; ++i) {
        w.kill(2), w.start(2);
        w.until(10 + i * 5);
        before = w.core(2)->incarnation();
    }
    CHECK(before >= 5);
    w.kill(2), w.start(2, true);
    w.until(40);
    CHECK(w.core(2)->incarnation() > before);
    CHECK(w.holding(2, State::alive) == 4);
}

TEST_CASE("a disk that can't be written keeps nobody out, and the count goes on after a restart") {
    World w(of(5));
    w.all();
    w.until(5);
    w.diskFails(3, true);
    w.kill(3), w.start(3);
    w.until(10);
    w.kill(3), w.start(3);
    w.until(15);
    CHECK(w.holding(3, State::alive) == 4);
}

TEST_CASE("a second process under a name takes no part while the first is there, says so, and does once it has gone") {
    World w(of(6));
    for (int m = 0; m < 5; ++m) w.start(m);
    w.until(5);
    w.startAs(5, 2);
    w.until(15);
    CHECK(w.core(5)->phase() == crew::Phase::aside);
    CHECK(w.core(2)->phase() == crew::Phase::in);
    CHECK(w.said("m5: another process at"));
    CHECK(w.holding(2, State::alive) == 4);
    w.kill(2);
    w.until(50);
    CHECK(w.core(5)->phase() == crew::Phase::in);
    CHECK(w.core(0)->seen(w.now(), "m2")->address == w.core(5)->settings().address);
}

TEST_CASE("two processes under one name that began apart: as they meet the later one goes") {
    CrewSetup s = of(6);
    s.links = {fault(LinkFault::Kind::partition, 3, 20)};
    s.links[0].sides = {{0, 1, 2}, {3, 4, 5}};
    s.seeds = 0;
    World w(s);
    for (int m = 0; m < 5; ++m) w.start(m);
    w.until(15);
    w.startAs(5, 0);  // on the side where m0 is dead
    w.until(22);
    CHECK(w.core(5)->phase() == crew::Phase::in);
    CHECK(w.core(0)->phase() == crew::Phase::in);
    w.until(60);
    CHECK(w.core(0)->phase() == crew::Phase::in);
    CHECK(w.core(5)->phase() == crew::Phase::aside);
    for (int v = 1; v < 5; ++v) CHECK(w.core(v)->seen(w.now(), "m0")->address == w.core(0)->settings().address);
}

TEST_CASE("a flapping link, and clocks that run apart by a tenth: nobody is held dead") {
    CrewSetup s = of(7);
    for (int i = 0; i < 30; ++i) {
        LinkFault f = fault(LinkFault::Kind::cut, 5 + 2 * i, 1);
        f.from = {0, 1}, f.to = {2, 3}, f.both = i % 2 == 0;
        s.links.push_back(f);
    }
    s.clockRates = {1, 1.1, 0.95, 1};
    World w(s);
    w.all();
    w.until(70);
    for (int m = 0; m < 7; ++m) CHECK(w.core(m)->count(crew::Counted::deaths) == 0);
}

TEST_CASE("who stands at a member's address under another name does not answer for it") {
    World w(of(4));
    w.all();
    w.until(5);
    w.kill(3);
    w.startAs(3, 9);
    w.until(30);
    CHECK(w.holding(3, State::dead) == 3);
    CHECK(w.core(3)->count(crew::Counted::misdirected) > 0);
}

TEST_CASE("a word on a topic reaches all with its age; the newest one stands, also after its origin's restart") {
    World w(of(40));
    w.all();
    w.until(6);
    for (int i = 0; i < 3; ++i) REQUIRE(w.core(4)->publish(w.now(), "rate", "v" + std::to_string(i)));
    w.until(10);
    for (int m = 0; m < 40; ++m) {
        auto items = w.core(m)->items(w.now(), "rate");
        REQUIRE(items.size() == 1);
        CHECK(items[0].bytes == "v2");
        CHECK(items[0].origin == "m4");
        CHECK(items[0].ageMs >= 3500);
        CHECK(items[0].ageMs <= 4500);
    }
    w.kill(4), w.start(4, true);
    w.until(20);
    REQUIRE(w.core(4)->publish(w.now(), "rate", "after"));
    w.until(25);
    for (int m = 0; m < 40; ++m) CHECK(w.core(m)->items(w.now(), "rate").at(0).bytes == "after");
    CHECK(!w.core(0)->publish(w.now(), "rate", std::string(crew::kPayload + 1, 'x')));
    CHECK(!w.core(0)->publish(w.now(), "a topic", "x"));
    for (int i = 0; i < 8; ++i) CHECK(w.core(0)->publish(w.now(), "t" + std::to_string(i), "x"));
    CHECK(!w.core(0)->publish(w.now(), "t8", "x"));
}

TEST_CASE("a message to one member comes there and nowhere else") {
    World w(of(4));
    w.all();
    w.until(5);
    long before[4];
    for (int m = 0; m < 4; ++m) before[m] = w.told(m);
    REQUIRE(w.core(0)->tell(w.now(), "m2", "note", "hello"));
    CHECK(!w.core(0)->tell(w.now(), "nobody", "note", "hello"));
    w.stop(0), w.go(0);  // pulls what it has to say
    w.until(6);
    for (int m = 0; m < 4; ++m) CHECK(w.told(m) - before[m] == (m == 2));
}

TEST_CASE("what a member sends is bounded, however much there is to say") {
    World w(of(30));
    w.all();
    w.until(10);
    std::vector<long> before;
    for (int m = 0; m < 30; ++m) before.push_back(w.bytesOut(m));
    for (int i = 0; i < 200; ++i) {
        w.until(10 + i * 0.05);
        for (int m = 0; m < 30; ++m) w.core(m)->publish(w.now(), "t" + std::to_string(i % 8), std::string(200, 'x'));
    }
    w.until(20);
    // Words by their budget, 32,768 a second; beside them pings, answers and tables.
    for (int m = 0; m < 30; ++m) CHECK(w.bytesOut(m) - before[static_cast<size_t>(m)] < 10 * (32768 + 30 * 1200));
}
