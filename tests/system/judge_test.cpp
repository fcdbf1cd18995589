// The judge of the whole system on scripted histories: one that is true breaks nothing, and each false one
// breaks the rule that it is about, and that alone.
#include "fleet/system/judge.hpp"

#include <catch2/catch.hpp>

using namespace petrelpond;
using namespace petrelpond::range;

namespace {

Instant ms(int64_t at) { return Instant() + Span::millis(at); }

constexpr int kEdge = 0, kOther = 1, kCore = 2;  // machines: two senders, three cores

struct Play {
    Judge judge{Bounds(), {false, false, true, true, true}};
    int tries = 0;

    Play() {
        offer(0, 1, {{"h", "/a/", {"a"}}, {"h", "/b/", {"b"}}});
        judge.acknowledged(ms(10), 1);
    }
    void offer(int64_t at, int64_t number, std::vector<RouteRule> routes, bool valid = true) {
        judge.offered(ms(at), {number, valid, "text " + std::to_string(number), std::move(routes)});
    }
    std::string ask(int64_t at, const std::string& path = "/a/x", bool repeatable = true,
                    int machine = kEdge) {
        std::string id = "t" + std::to_string(++tries);
        judge.sent(ms(at), {id, "GET", "h", path, 5, repeatable, machine, ms(at + 4000)});
        return id;
    }
    void run(int64_t at, const std::string& id, const std::string& service = "a",
             const std::string& path = "/a/x", const std::string& endpoint = "i-1") {
        judge.reached(ms(at), id, endpoint, service);
        judge.ran(ms(at), id, service, "GET", path, 5);
    }
    void answer(int64_t at, const std::string& id) { judge.answered(ms(at), id, 200, "seal " + id, 9); }
    void get(int64_t at, const std::string& id, int status = 200) {
        judge.got(ms(at), id, status, status == 200 ? "seal " + id : "", status == 200 ? id : "",
                  status == 200 ? 9 : 0);
    }
    void serve(int64_t at, const std::string& id, const std::string& service = "a",
               const std::string& path = "/a/x") {
        run(at, id, service, path), answer(at, id), get(at + 1, id);
    }
    // Ends the history properly and says which rules it broke.
    std::string verdict(int64_t at = 60000, int64_t version = 1) {
        judge.readBack(ms(at), version, "text " + std::to_string(version));
        judge.finish(ms(at));
        std::string out;
        for (size_t r = 0; r < kRules; ++r)
            if (judge.broken(static_cast<Rule>(r)) > 0)
                out += std::string(nameOf(static_cast<Rule>(r))) + " ";
        return out;
    }
};

}  // namespace

TEST_CASE("a true history breaks nothing") {
    Play p;
    p.serve(10000, p.ask(9990));
    auto once = p.ask(10100, "/a/x", false);
    p.get(10110, once, 503);  // a promise that holds
    auto twice = p.ask(10200);
    p.run(10210, twice),
        p.judge.answered(ms(10220), twice, 0, "", 0);  // its answer was lost; it may run again
    p.run(10230, twice), p.answer(10240, twice), p.get(10250, twice);
    p.get(10300, p.ask(10290, "/nowhere/"), 404);
    CHECK(p.verdict() == "");
}

TEST_CASE("GONE: endpoints work for clients that have left") {
    Play p;
    const auto leave = [&p](int64_t at, bool repeatable = true) {
        const std::string id = p.ask(at - 300, "/a/x", repeatable);
        p.run(at - 290, id);
        p.judge.left(ms(at), id);
        return id;
    };
    for (int64_t at = 10000; at < 10400; at += 100) p.judge.abandoned(ms(at + 40), leave(at), ms(at + 900));
    SECTION("dropped in time, or over by then") {
        p.answer(10900, leave(10500));
        CHECK(p.verdict() == "");
    }
    SECTION("a quarter of them at work") {
        p.answer(11200, leave(10600));
        CHECK(p.verdict() == "");
    }
    SECTION("over a quarter at work, to their end or dropped late") {
        p.answer(11200, leave(10600)), p.judge.abandoned(ms(11300), leave(10700), ms(12000));
        CHECK(p.verdict() == "GONE ");
    }
    SECTION("once-only requests may run to their end") {
        for (int64_t at = 11000; at < 12000; at += 100) p.answer(at + 900, leave(at, false));
        CHECK(p.verdict() == "");
    }
    SECTION("arrivals after they have left") {
        for (int64_t at = 11000; at < 11600; at += 100) {
            const std::string id = leave(at, false);
            p.judge.answered(ms(at + 10), id, 0, "", 0);
            p.judge.reached(ms(at + 501), id, "i-2", "a");
        }
        CHECK(p.verdict() == "GONE ");
    }
    SECTION("no more than a few of these") {
        for (int64_t at = 11000; at < 11500; at += 100) {
            const std::string id = leave(at, false);
            p.judge.answered(ms(at + 10), id, 0, "", 0);
            p.judge.reached(ms(at + 501), id, "i-2", "a");
        }
        CHECK(p.verdict() == "");
    }
    SECTION("not at a machine in trouble") {
        p.judge.harmed(kEdge, ms(10550), ms(10580));
        for (int64_t at = 10600; at < 11000; at += 100) p.answer(at + 900, leave(at));
        CHECK(p.verdict() == "");
    }
}

TEST_CASE("MIXED: a client gets what is not its endpoint's whole answer") {
    Play p;
    auto id = p.ask(10000);
    p.run(10010, id), p.answer(10020, id);
    SECTION("no seal") { p.judge.got(ms(10030), id, 200, "", id, 9); }
    SECTION("another body") { p.judge.got(ms(10030), id, 200, "seal " + id, id, 8); }
    SECTION("another's answer") { p.judge.got(ms(10030), id, 200, "seal t9", "t9", 9); }
    SECTION("a success for a failure") {
        auto failed = p.ask(10000);
        p.run(10010, failed), p.judge.answered(ms(10020), failed, 500, "", 0);
        p.judge.got(ms(10030), failed, 200, "seal " + failed, failed, 9);
    }
    SECTION("a success where no request waits") { p.judge.stray(ms(10030), kEdge, 200); }
    SECTION("noise where no request waits") { p.judge.stray(ms(10030), kEdge, 0); }
    SECTION("noise in the place of an answer") { p.judge.spoilt(ms(10030), id); }
    CHECK(p.verdict() == "MIXED ");
}

TEST_CASE(
    "an answer that the endpoint broke off is not the system's noise, nor is a 408 to an idle connection") {
    Play p;
    auto id = p.ask(10000);
    p.run(10010, id), p.judge.answered(ms(10020), id, 0, "", 0);
    p.judge.spoilt(ms(10030), id);
    p.judge.stray(ms(10040), kEdge, 408);
    CHECK(p.verdict() == "");
}

TEST_CASE("UNASKED: an endpoint runs what no client sent, or something else than was sent") {
    Play p;
    auto id = p.ask(10000);
    SECTION("an id from nowhere") { p.judge.ran(ms(10010), "x", "a", "GET", "/a/x", 5); }
    SECTION("another query") { p.judge.ran(ms(10010), id, "a", "GET", "/a/x?y", 5); }
    SECTION("another body") { p.judge.ran(ms(10010), id, "a", "GET", "/a/x", 6); }
    SECTION("another method") { p.judge.ran(ms(10010), id, "a", "PUT", "/a/x", 5); }
    CHECK(p.verdict() == "UNASKED ");
}

TEST_CASE("TWICE: what may run once runs twice; what may be repeated may") {
    Play p;
    bool repeatable = GENERATE(true, false);
    auto id = p.ask(10000, "/a/x", repeatable);
    p.run(10010, id), p.run(10500, id);
    CHECK(p.verdict() == (repeatable ? "" : "TWICE "));
}

TEST_CASE("REFUSED: a promise is broken by a run before it or after it") {
    Play p;
    int status = GENERATE(429, 503, 408, 421);
    auto id = p.ask(10000, "/a/x", false);
    SECTION("it had run") { p.run(10010, id), p.get(10020, id, status); }
    SECTION("it runs later") { p.get(10020, id, status), p.run(13000, id); }
    CHECK(p.verdict() == "REFUSED ");
}

TEST_CASE("a 502 makes no promise") {
    Play p;
    auto id = p.ask(10000, "/a/x", false);
    p.run(10010, id), p.get(10020, id, 502);
    CHECK(p.verdict() == "");
}

TEST_CASE("DENIED: proper requests are turned down with a 4xx of the system's own") {
    Play p;
    int n = GENERATE(5, 6);
    for (int i = 0; i < n; ++i) p.get(10001, p.ask(10000), 400);
    CHECK(p.verdict() == (n > 5 ? "DENIED " : ""));
}

TEST_CASE("ROUTE: a service runs what no configuration sends there") {
    Play p;
    auto id = p.ask(10000);
    p.run(10010, id, "b");
    CHECK(p.verdict() == "ROUTE ");
}

TEST_CASE("ROUTE: what is invalid allows nothing") {
    Play p;
    p.offer(5000, 9, {{"h", "/a/", {"b"}}}, false);
    p.run(10010, p.ask(10000), "b");
    CHECK(p.verdict() == "ROUTE ");
}

TEST_CASE("DRAIN: a request reaches an endpoint too long after the list showed it as draining") {
    Play p;
    p.judge.leaves(ms(10000), "i-1");
    int64_t after = GENERATE(2900, 3100);
    auto id = p.ask(9000 + after);
    SECTION("in calm") {
        p.run(10000 + after, id);
        CHECK(p.verdict() == (after > 3000 ? "DRAIN " : ""));
    }
    SECTION("the time stands still while the platform is away") {
        p.judge.platformAway(ms(11000), true), p.judge.platformAway(ms(11500), false);
        p.run(10000 + after, id);
        CHECK(p.verdict() == "");
    }
    SECTION("a machine out of touch is held to nothing") {
        p.judge.down(ms(9500), kEdge), p.judge.up(ms(9800), kEdge, false);
        p.run(10000 + after, id);
        CHECK(p.verdict() == "");
    }
    SECTION("a stranger at the address tells it away") {
        p.judge.reached(ms(10000 + after), id, "i-1", "a", true);
        CHECK(p.verdict() == "");
    }
}

TEST_CASE("LOST: a machine that is told to end cuts off what it has taken") {
    Play p;
    p.judge.down(ms(10000), kEdge), p.judge.planned(ms(10000), kEdge);
    auto id = p.ask(9900);
    SECTION("passed on") {
        p.run(9950, id), p.judge.broken(ms(10200), id);
        CHECK(p.verdict() == "LOST ");
    }
    SECTION("long since sent") {
        p.judge.broken(ms(11500), id);
        CHECK(p.verdict() == "LOST ");
    }
    SECTION("never read") {
        p.judge.broken(ms(9950), id);
        CHECK(p.verdict() == "");
    }
    SECTION("nobody looked for most of the time") {
        const bool over = GENERATE(true, false);
        for (int at = 9900; at <= 10200; at += 50) p.judge.watching(ms(at));
        if (over) p.judge.watching(ms(11450));
        p.judge.broken(ms(11500), id);
        CHECK(p.verdict() == "");
    }
    SECTION("looked for long enough before and after a gap") {
        for (int at = 9900; at <= 10600; at += 50) p.judge.watching(ms(at));
        for (int at = 11100; at <= 11550; at += 50) p.judge.watching(ms(at));
        p.judge.broken(ms(11550), id);
        CHECK(p.verdict() == "LOST ");
    }
    SECTION("the endpoint broke off") {
        p.run(9950, id), p.judge.answered(ms(10100), id, 0, "", 0), p.judge.broken(ms(10200), id);
        CHECK(p.verdict() == "");
    }
    SECTION("the endpoint was at work until the last sixth of the grace") {
        p.run(9950, id), p.judge.broken(ms(15100), id);
        CHECK(p.verdict() == "");
    }
    SECTION("the endpoint was at work for five sixths of the grace and not longer") {
        p.run(9950, id), p.judge.broken(ms(13500), id);
        CHECK(p.verdict() == "LOST ");
    }
    SECTION("taken on late, on a connection that stayed in use") {
        auto late = p.ask(13100);
        p.run(13110, late), p.judge.broken(ms(15100), late);
        CHECK(p.verdict() == "LOST ");
    }
}

TEST_CASE("LOST: a machine that reads its settings anew cuts off what it has taken") {
    Play p;
    auto id = p.ask(9900);
    p.judge.reloads(ms(10000), kEdge);
    SECTION("passed on") {
        p.run(9950, id), p.judge.broken(ms(10200), id);
        CHECK(p.verdict() == "LOST ");
    }
    SECTION("sent too long after it") {
        auto later = p.ask(13500);
        p.run(13510, later), p.judge.broken(ms(13600), later);
        CHECK(p.verdict() == "");
    }
    SECTION("never read") {
        p.judge.broken(ms(10050), id);
        CHECK(p.verdict() == "");
    }
    SECTION("beside other trouble there") {
        p.judge.down(ms(9000), kEdge), p.judge.up(ms(9500), kEdge, false);
        p.run(9950, id), p.judge.broken(ms(10200), id);
        CHECK(p.verdict() == "");
    }
}

TEST_CASE("LOST: requests on kept connections that were passed on are cut off without an answer") {
    Play p;
    const int cut = GENERATE(3, 4);
    const bool kept = GENERATE(true, false), troubled = GENERATE(true, false);
    if (troubled) p.judge.down(ms(9500), kEdge), p.judge.up(ms(9800), kEdge, false);
    for (int i = 0; i < cut; ++i) {
        std::string id = "k" + std::to_string(i);
        p.judge.sent(ms(10000 + i), {id, "GET", "h", "/a/x", 5, true, kEdge, ms(14000), true, kept});
        p.run(10010 + i, id), p.judge.broken(ms(10100 + i), id);
    }
    CHECK(p.verdict() == (cut > 3 && kept && !troubled ? "LOST " : ""));
}

TEST_CASE("CONFIG: an acknowledged version is in force in time") {
    Play p;
    p.offer(20000, 5, {{"h", "/a/", {"b"}}});
    p.judge.acknowledged(ms(20100), 5);
    int64_t sent = GENERATE(23050, 23150);
    bool late = sent > 23100;
    auto end = [&] { return p.verdict(60000, 5); };
    SECTION("the old service runs it") {
        p.run(sent + 10, p.ask(sent), "a");
        CHECK(end() == (late ? "CONFIG " : ""));
    }
    SECTION("it runs by a dropped route") {
        p.run(sent + 10, p.ask(sent, "/b/x"), "b", "/b/x");
        CHECK(end() == (late ? "CONFIG " : ""));
    }
    SECTION("the new service may run it") {
        p.run(sent + 10, p.ask(sent), "b");
        CHECK(end() == "");
    }
    SECTION("a machine out of touch is held to nothing") {
        p.judge.down(ms(20500), kEdge), p.judge.up(ms(20800), kEdge, true);
        p.run(sent + 10, p.ask(sent), "a");
        CHECK(end() == "");
    }
    SECTION("with the core unsettled it has longer") {
        p.judge.down(ms(20500), kCore), p.judge.up(ms(20800), kCore, true);
        p.run(sent + 10, p.ask(sent), "a");
        CHECK(end() == "");
    }
    SECTION("but not for ever") {
        p.judge.down(ms(35000), kCore);
        p.run(36010, p.ask(36000), "a");
        CHECK(end() == "CONFIG ");
    }
    SECTION("nor is it refused with 404 though the route is there") {
        p.offer(30000, 6, {{"h", "/a/", {"b"}}, {"h", "/new/", {"a"}}});
        p.judge.acknowledged(ms(30100), 6);
        p.get(sent + 10010, p.ask(sent + 10000, "/new/x"), 404);
        CHECK(p.verdict(60000, 6) == (late ? "CONFIG " : ""));
    }
}

TEST_CASE("CONFIG: in one life a machine does not go back") {
    Play p;
    p.offer(20000, 5, {{"h", "/a/", {"b"}}});  // never acknowledged: may or may not be in force
    p.run(20500, p.ask(20490), "b");
    SECTION("behind the slack") {
        p.run(20800, p.ask(20780), "a");
        CHECK(p.verdict(24000) == "CONFIG ");
    }
    SECTION("within it") {
        p.run(20800, p.ask(20700), "a");
        CHECK(p.verdict(24000) == "");
    }
    SECTION("in another life") {
        p.judge.down(ms(20600), kEdge), p.judge.up(ms(20700), kEdge, true);
        p.run(20800, p.ask(20780), "a");
        CHECK(p.verdict(24000) == "");
    }
    SECTION("another machine may be behind") {
        p.run(20800, p.ask(20780, "/a/x", true, kOther), "a");
        CHECK(p.verdict(24000) == "");
    }
}

TEST_CASE("CONFIG: what is invalid is not acknowledged") {
    Play p;
    p.offer(20000, 9, {}, false);
    SECTION("refused") {
        p.judge.turnedDown(ms(20010), 9);
        CHECK(p.verdict() == "");
    }
    SECTION("acknowledged") {
        p.judge.acknowledged(ms(20010), 9);
        CHECK(p.verdict() == "CONFIG ");
    }
}

TEST_CASE("FORGOTTEN: what was acknowledged is read back as it was sent") {
    Play p;
    p.offer(20000, 5, {{"h", "/a/", {"b"}}});
    SECTION("the newest") {
        p.judge.acknowledged(ms(20100), 5);
        CHECK(p.verdict(60000, 5) == "");
    }
    SECTION("an older one") {
        p.judge.acknowledged(ms(20100), 5);
        CHECK(p.verdict(60000, 1) == "FORGOTTEN ");
    }
    SECTION("one that got no clear answer may stand") {
        p.judge.turnedDown(ms(20100), 99);
        CHECK(p.verdict(24000, 5) == "");
    }
    SECTION("another text") {
        p.judge.acknowledged(ms(20100), 5);
        p.judge.readBack(ms(59000), 5, "text 6");
        CHECK(p.verdict(60000, 5) == "FORGOTTEN ");
    }
    SECTION("nothing at all") {
        p.judge.acknowledged(ms(20100), 5);
        p.judge.finish(ms(60000));
        CHECK(p.judge.broken(Rule::forgotten) == 1);
    }
}

TEST_CASE("ACKS: a valid change is acknowledged in time while the core is settled") {
    Play p;
    p.offer(20000, 5, {{"h", "/a/", {"b"}}});
    SECTION("in time") {
        p.judge.acknowledged(ms(24900), 5);
        CHECK(p.verdict(60000, 5) == "");
    }
    SECTION("too late") {
        p.judge.acknowledged(ms(25100), 5);
        CHECK(p.verdict(60000, 5) == "ACKS ");
    }
    SECTION("never") { CHECK(p.verdict(60000, 5) == "ACKS "); }
    SECTION("refused") {
        p.judge.turnedDown(ms(20100), 5);
        CHECK(p.verdict(60000, 1) == "ACKS ");
    }
    SECTION("late, as the core was in trouble") {
        p.judge.down(ms(22000), kCore), p.judge.up(ms(22500), kCore, true);
        p.judge.acknowledged(ms(26000), 5);
        CHECK(p.verdict(60000, 5) == "");
    }
}

TEST_CASE("BUDGET: further arrivals of a service are bounded by its requests") {
    Play p;
    std::vector<std::string> ids;
    for (int i = 0; i < 100; ++i) ids.push_back(p.ask(10000 + i));
    for (const auto& id : ids) p.judge.reached(ms(10200), id, "i-1", "a");
    int further = GENERATE(72, 73);  // 0.2 x 100 + 52
    for (int i = 0; i < further; ++i) p.judge.reached(ms(10300 + i), ids[static_cast<size_t>(i)], "i-2", "a");
    CHECK(p.verdict() == (further > 72 ? "BUDGET " : ""));
}

TEST_CASE("BUDGET: windows slide") {
    Play p;
    auto id = p.ask(10000);
    for (int i = 0; i < 120; ++i) p.judge.reached(ms(10000 + i * 200), id, "i-1", "a");  // 50 in ten seconds
    CHECK(p.verdict() == "");
}

TEST_CASE("LIMIT: instances that are full turn away no more than a few") {
    Play p;
    int n = GENERATE(10, 11);
    auto turnAway = [&](int64_t every) {
        for (int i = 0; i < n; ++i) p.judge.turnedAway(ms(10000 + i * every), p.ask(9990 + i * every), "a");
    };
    SECTION("within five seconds") {
        turnAway(100);
        CHECK(p.verdict() == (n > 10 ? "LIMIT " : ""));
    }
    SECTION("over a longer time") {
        turnAway(600);
        CHECK(p.verdict() == "");
    }
    SECTION("while endpoints are in trouble") {
        p.judge.disturbed(ms(8000), ms(9000));
        turnAway(100);
        CHECK(p.verdict() == "");
    }
    SECTION("while another front machine is in trouble") {
        p.judge.down(ms(8000), kOther), p.judge.up(ms(9000), kOther, true);
        turnAway(100);
        CHECK(p.verdict() == "");
    }
}

TEST_CASE("RECOVER: once the machines are back, requests are served again") {
    Play p;
    for (int i = 0; i < 50; ++i) p.serve(10000 + i, p.ask(9990 + i));
    for (int m : {0, 1, 2, 3, 4}) p.judge.down(ms(20000), m), p.judge.up(ms(21000), m, true);
    int served = GENERATE(2, 10);
    for (int i = 0; i < 40; ++i) {
        auto id = p.ask(34000 + i);
        if (i < served)
            p.serve(34010 + i, id);
        else
            p.judge.broken(ms(34010 + i), id);
    }
    CHECK(p.verdict() == (served < 10 ? "RECOVER " : ""));
}

TEST_CASE("ENDS: a process that ends with no trouble near") {
    Play p;
    SECTION("by itself") {
        p.judge.ownEnd(ms(20000), kEdge, "gone");
        CHECK(p.verdict() == "ENDS ");
    }
    SECTION("beside a kill") {
        p.judge.down(ms(19000), kEdge), p.judge.up(ms(19500), kEdge, true);
        p.judge.ownEnd(ms(20000), kEdge, "gone");
        CHECK(p.verdict() == "");
    }
}

TEST_CASE("a harmed link lifts the bounds of time for its machine while it lasts, and no others") {
    Play p;
    p.offer(1000, 2, {{"h", "/a/", {"c"}}});
    p.judge.acknowledged(ms(1010), 2);
    p.judge.harmed(kEdge, ms(5000), ms(12000));
    p.serve(9000, p.ask(8990));
    CHECK(p.verdict(60000, 2) == "");
    Play other;
    other.offer(1000, 2, {{"h", "/a/", {"c"}}});
    other.judge.acknowledged(ms(1010), 2);
    other.judge.harmed(kEdge, ms(5000), ms(12000));
    other.serve(9000, other.ask(8990, "/a/x", true, kOther));
    CHECK(other.verdict(60000, 2) == "CONFIG ");
    Play after;
    after.offer(1000, 2, {{"h", "/a/", {"c"}}});
    after.judge.acknowledged(ms(1010), 2);
    after.judge.harmed(kEdge, ms(5000), ms(12000));
    after.judge.down(ms(6000), kEdge), after.judge.harmed(kEdge, ms(6500), ms(7000));
    after.judge.up(ms(7000), kEdge, true);  // ends the trouble that it began
    after.serve(17000, after.ask(16990));
    CHECK(after.verdict(60000, 2) == "CONFIG ");
}

TEST_CASE("a reading in the midst is held to what had been acknowledged as it was asked for") {
    Play p;
    p.offer(1000, 2, {{"h", "/a/", {"a"}}});
    p.judge.acknowledged(ms(1010), 2);
    p.judge.readBack(ms(1020), 1, "text 1", ms(1005), false);
    CHECK(p.verdict(60000, 2) == "");
    Play late;
    late.offer(1000, 2, {{"h", "/a/", {"a"}}});
    late.judge.acknowledged(ms(1010), 2);
    late.judge.readBack(ms(1030), 1, "text 1", ms(1015), false);
    CHECK(late.verdict(60000, 2) == "FORGOTTEN ");
    Play none;
    none.judge.readBack(ms(1030), 1, "text 1", ms(1015), false);
    none.judge.finish(ms(60000));
    CHECK(none.judge.broken(Rule::forgotten) == 1);
}
