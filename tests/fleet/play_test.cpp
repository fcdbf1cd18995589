// Partners, the model, comparisons; and whole runs on sockets with the real sender.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "fleet/compare.hpp"
#include "fleet/costs.hpp"
#include "fleet/model.hpp"
#include "fleet/parts.hpp"
#include "fleet/process.hpp"
#include "fleet/report.hpp"
#include "fleet/stage.hpp"
#include "fleet/world.hpp"

using namespace petrelpond;
using namespace petrelpond::fleet;

namespace {

Instant ms(int64_t at) { return Instant() + Span::millis(at); }

Scenario one(const std::string& group, const std::string& rest = "") {
    return readScenario(
        "[run]\nseconds = 3\nseed = 2\n[senders]\ncount = 1\n[[product]]\nname = \"status\"\neffect = "
        "\"resendable\"\n"
        "validity_ms = 3000\n[[product]]\nname = \"order\"\neffect = \"once-only\"\nvalidity_ms = "
        "3000\nrevenue = 5\n"
        "[[group]]\nname = \"g\"\n" +
            group +
            "[[traffic]]\nproduct = \"status\"\ngroup = \"g\"\nrate = 60\n[[traffic]]\nproduct = "
            "\"order\"\ngroup = "
            "\"g\"\nrate = 20\n" +
            rest,
        "one");
}

struct Play {
    std::string folder = "/tmp/petrelfleet-test-" + std::to_string(getpid());
    StageOptions options;
    Play() {
        options.sender.program = PETRELPOND_PROGRAM;
        options.folder = folder;
    }
    ~Play() { std::filesystem::remove_all(folder); }
    RunResult on(const Scenario& s) { return playOnSockets(s, s.seed, options); }
};

}  // namespace

TEST_CASE("a partner takes what its workers and its queue hold, and no more") {
    Scenario s = one("workers = 2\nqueue = 3\nanswer_median_ms = 100\nanswer_p99_ms = 100\n");
    World w(s, 1);
    int taken = 0;
    for (int i = 0; i < 20; ++i) taken += w.called(ms(0), 0, 1, false).status == 200;
    CHECK(taken == 5);
    CHECK(w.called(ms(1000), 0, 1, false).status == 200);
}

TEST_CASE("a limit in calls a second or in calls a span is kept to, and waits are honest") {
    Scenario s = one("rate = 10\nburst = 2\ntells_waits = true\n");
    World w(s, 1);
    CHECK(w.called(ms(0), 0, 1, false).status == 200);
    CHECK(w.called(ms(0), 0, 1, false).status == 200);
    Fate told = w.called(ms(0), 0, 1, false);
    REQUIRE(told.status == 429);
    CHECK(w.called(ms(0) + told.wait, 0, 1, false).status == 200);
    Scenario counted = one("count_most = 3\ncount_span_ms = 500\ntells_waits = true\n");
    World c(counted, 1);
    for (int i = 0; i < 3; ++i) CHECK(c.called(ms(i), 0, 1, false).status == 200);
    told = c.called(ms(10), 0, 1, false);
    REQUIRE(told.status == 429);
    CHECK(c.called(ms(10) + told.wait, 0, 1, false).status == 200);
}

TEST_CASE("a place comes back cold, and falls over under more than it can do then") {
    Scenario s =
        one("rate = 100\ncold_share = 0.1\nwarm_up_ms = 2000\ntip_multiple = 2\ntip_window_ms = 500\n",
            "[[fault]]\nkind = \"refuse\"\nat = 1\nfor = 1\ngroup = \"g\"\n");
    World w(s, 1);
    w.advance(ms(1000));
    CHECK(w.out(0));
    CHECK(w.called(ms(1500), 0, 1, false).status == 503);
    w.advance(ms(2000));
    CHECK(w.capability(ms(2000), 0) == Approx(10));
    CHECK(w.capability(ms(3000), 0) == Approx(55));
    CHECK(w.returning(ms(3000), 0));
    for (int i = 0; i < 15; ++i) w.called(ms(2010), 0, 1, false);
    CHECK(!w.tipped(0));
    for (int i = 0; i < 10; ++i) w.called(ms(2020), 0, 1, false);
    CHECK(w.takeTipped() == std::vector<uint32_t>{0});
    CHECK(w.called(ms(2500), 0, 1, false).way == Fate::Way::silence);
}

TEST_CASE("troubles strike whom, when and how often the scenario says") {
    Scenario s = one("count = 4\nendpoints = 2\n",
                     "[[fault]]\nkind = \"hang\"\nat = 1\nfor = 1\ngroup = \"g\"\npart = 0.5\nendpoint = "
                     "1\n[[fault]]\nkind = "
                     "\"reset_after\"\nat = 1\nfor = 1\ngroup = \"g\"\nendpoint = 0\nshare = 0.3\n");
    World w(s, 1);
    w.advance(ms(1000));
    int reset = 0;
    for (int i = 0; i < 200; ++i) {
        Fate f = w.called(ms(1000 + i * 4), 0, 1, false);
        reset += f.way == Fate::Way::resetAfter;
        if (f.way == Fate::Way::resetAfter) CHECK(f.runs);
    }
    CHECK(reset > 30);
    CHECK(reset < 95);
    CHECK(w.called(ms(1001), 1, 1, false).way == Fate::Way::silence);
    CHECK(w.called(ms(1001), 7, 1, false).way == Fate::Way::answer);
    CHECK(!w.out(0));
    w.advance(ms(2000));
    CHECK(w.called(ms(2001), 1, 1, false).way == Fate::Way::answer);
}

TEST_CASE("the model: one seed one result, no rule broken in the demo's troubles") {
    Scenario s = readScenario(demoScenario(), "demo");
    for (uint64_t seed = 1; seed <= 4; ++seed) {
        RunResult r = playInModel(s, seed), again = playInModel(s, seed);
        INFO(inWords(r));
        CHECK(r.breaches.empty());
        CHECK(r.made() == again.made());
        CHECK(r.service() > 0.7);
        long ends = 0, handed = 0;
        for (const ProductResult& p : r.products) {
            ends += p.inTime + p.late + p.undeliverable + p.refused + p.expired, handed += p.handed;
        }
        CHECK(ends == handed);
        CHECK(handed == r.texts);
    }
}

TEST_CASE("the model: each trouble shows as itself") {
    auto lost = [](const std::string& kind, const std::string& more = "") {
        Scenario s = one("endpoints = 1\n",
                         "[[fault]]\nkind = \"" + kind + "\"\nat = 1\nfor = 1\ngroup = \"g\"\n" + more);
        RunResult r = playInModel(s, 3);
        INFO(kind << ": " << inWords(r));
        CHECK(r.breaches.empty());
        return r;
    };
    RunResult calm = playInModel(one(""), 3);
    CHECK(calm.service() > 0.99);
    CHECK(calm.wastedCalls == 0);
    // Once-only texts whose call broke may have run: those are given up, and no others are.
    for (const char* kind : {"reset_after", "spoilt", "half"})
        CHECK(lost(kind).products[1].undeliverable > 0);
    CHECK(lost("refuse").products[1].undeliverable == 0);
    CHECK(lost("stall", "value_ms = 900\n").products[0].late > 20);
    CHECK(lost("hang").service() < calm.service());
}

TEST_CASE("comparisons: the same is no difference, a shift is one, and intervals hold what they promise") {
    std::mt19937 chance(9);
    std::normal_distribution<double> noise(0, 1);
    std::vector<double> none(20, 0.0), shifted;
    for (int i = 0; i < 20; ++i) shifted.push_back(2 + noise(chance));
    CHECK(!bootstrap(none).shows());
    CHECK(bootstrap(shifted).shows());
    CHECK(!bootstrap({5, 6}).shows());
    int covered = 0, next = 0;
    for (int round = 0; round < 200; ++round) {
        std::vector<double> v;
        for (int i = 0; i < 20; ++i) v.push_back(noise(chance));
        Interval mean = bootstrap(v, static_cast<uint32_t>(round)), one = nextRun(v);
        covered += mean.low <= 0 && mean.high >= 0;
        double further = noise(chance);
        next += one.low <= further && one.high >= further;
    }
    CHECK(covered > 175);
    CHECK(covered < 200);
    CHECK(next > 180);
    Scenario s = readScenario(demoScenario(), "demo"), narrow = s;
    narrow.callsOut = 4;
    std::vector<RunResult> a, b, c;
    for (uint64_t seed = 1; seed <= 6; ++seed) {
        a.push_back(playInModel(s, seed)), b.push_back(playInModel(narrow, seed)),
            c.push_back(playInModel(s, seed));
    }
    CHECK(inWords(compare(a, c), 6).find("revenue within and after the SLA time: A") != std::string::npos);
    CHECK(!compare(a, c)[0].difference.shows());
    CHECK(compare(a, b)[0].difference.shows());
    CHECK(compare(a, b)[0].difference.middle < 0);
    b[0].seed = 99;
    CHECK_THROWS(compare(a, {b[0]}));
}

TEST_CASE("results survive being written down, and the page holds no foreign tags") {
    RunResult r = playInModel(readScenario(demoScenario(), "demo"), 1);
    r.scenario = "<script>alert(1)</script>", r.breaches = {{Rule::drain, ms(1500), "x < y"}},
    r.breachCounts[3] = 1;
    RunResult back = fromJson(toJson(r));
    CHECK(toJson(back) == toJson(r));
    std::string page = reportPage({r, back});
    CHECK(page.find("<script") == std::string::npos);
    CHECK(page.find("Rule 3 (drain ignored) broken 1 times") != std::string::npos);
    CHECK(page.find("x &lt; y") != std::string::npos);
    Latencies l;
    for (int i = 1; i <= 10000; ++i) l.add(i * 0.1);
    CHECK(l.quantile(0.5) == Approx(500).epsilon(0.015));
    CHECK(l.quantile(0.999) == Approx(999).epsilon(0.015));
}

TEST_CASE(
    "on sockets: a kill, a drain, resets and a moved directory, no rule broken, every text accounted for") {
    Play play;
    Scenario s = one("count = 3\nendpoints = 2\n",
                     "[[fault]]\nkind = \"drain\"\nat = 0.5\nfor = 1\ngroup = \"g\"\nendpoint = "
                     "0\n[[fault]]\nkind = \"sender_kill\"\nat "
                     "= 1\nfor = 0.4\n[[fault]]\nkind = \"reset_after\"\nat = 1.5\nfor = 0.5\ngroup = "
                     "\"g\"\nshare = 0.3\n[[fault]]\nkind "
                     "= \"directory_move\"\nat = 1.8\nfor = 0.1\n[[fault]]\nkind = \"replace\"\nat = "
                     "2.2\nfor = 0.1\ngroup = "
                     "\"g\"\nendpoint = 1\n[[fault]]\nkind = \"vanish\"\nat = 2.4\nfor = 0.3\ngroup = "
                     "\"g\"\npart = 0.34\nendpoint = 0\n");
    RunResult r = play.on(s);
    INFO(inWords(r));
    CHECK(r.breaches.empty());
    CHECK(r.voidBecause.empty());
    CHECK(r.service() > 0.4);
    CHECK(r.senders[0].starts == 2);
    CHECK(r.products[1].undeliverable > 0);
}

TEST_CASE("on sockets: a stopped sender slows nobody's clock but its own texts'") {
    Play play;
    Scenario s = one("count = 2\n", "[[fault]]\nkind = \"sender_stop\"\nat = 1\nfor = 1\n");
    s.products[0].rules.validity = s.products[1].rules.validity = Span::seconds(3);
    RunResult r = play.on(s);
    INFO(inWords(r));
    CHECK(r.breaches.empty());
    // A generator that waits for answers would have sent less, and seen one slow text.
    CHECK(r.texts == static_cast<long>(plan(s, s.seed).size()));
    CHECK(r.products[0].delivery.p90 > 300);
    CHECK(r.products[0].delivery.p50 < 200);
}

TEST_CASE("on sockets: what a sender recorded is what came, and can be played again") {
    Play play;
    play.options.sender.environment = {{"PETRELPOND_RECORD", "{folder}/recording"}};
    Scenario s = one("count = 2\n");
    s.lasts = Span::seconds(2);
    RunResult r = play.on(s);
    auto again = planFromRecording(s, play.folder + "/sender-0/recording");
    auto texts = plan(s, s.seed);
    // The last second of a killed sender may be missing.
    CHECK(again.size() <= texts.size());
    CHECK(again.size() > texts.size() / 3);
    for (size_t i = 0; i < again.size(); ++i) {
        Span off = (again[i].at - again[0].at) - (texts[i].at - texts[0].at);
        CHECK(std::abs(off.inSeconds()) < 0.1);
    }
}

TEST_CASE("on sockets: a judge that comes late says that the run counts for nothing") {
    Play play;
    play.options.progress = [](const std::string&) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    };
    Scenario s = one("");
    s.lasts = Span::seconds(2);
    RunResult r = play.on(s);
    CHECK(r.voidBecause.find("the judge was late") == 0);
    CHECK(!r.clean());
}

TEST_CASE("on sockets: a sender that does not come up, or ends by itself, is told as such") {
    Play play;
    play.options.sender.program = "/bin/false";
    CHECK_THROWS_WITH(play.on(one("")), Catch::Contains("sender 0 ended by itself"));
}

TEST_CASE("on sockets: the list of a big fleet goes in pages, and drains in it are heard") {
    Play play;
    Scenario s =
        one("count = 900\n", "[[fault]]\nkind = \"drain\"\nat = 0.5\nfor = 5\ngroup = \"g\"\npart = 0.7\n");
    s.senders = 1, s.lasts = Span::seconds(2), s.sockets = 4000, s.memoryMb = 1000;
    RunResult r = play.on(s);
    INFO(inWords(r));
    CHECK(r.breaches.empty());
    CHECK(r.products[0].inTime > 20);
}

TEST_CASE("costs of sockets are medians of what was seen, each once and none below nothing") {
    CostSamples calm, clumps;
    auto at = [](double ms) { return Instant() + Span::seconds(2) + Span::seconds(ms / 1e3); };
    for (int i = 0; i < 41; ++i) {
        calm.pings.push_back(i == 0 ? 90 : 0.2), calm.entries.push_back(i == 0 ? 90 : 0.5);
        calm.called.push_back({at(i), at(i), at(i + 0.6), false});
        calm.called.push_back({at(i), at(i), at(i + 0.9), true});
        for (int j = 0; j < 20; ++j) clumps.called.push_back({at(i * 10), at(i * 10), at(i * 10 + j * 0.05), false});
    }
    Model m = costsFrom(calm, clumps);
    CHECK(m.hop == Span::micros(100));
    CHECK(m.work == Span::micros(50));
    CHECK(m.store == Span::micros(250));  // of the entry, less two hops and its own work
    CHECK(m.round == Span::micros(100));
    CHECK(m.handshake == Span::micros(300));
    CHECK(m.given);
    Scenario s = readScenario(std::string(demoScenario()) + "\n" + asToml(m), "with costs");
    CHECK((s.model.given && s.model.store == m.store && s.model.work == m.work));
    for (auto& c : calm.called) c.at = c.sentAt;
    CHECK(costsFrom(calm, clumps).round == Span());
    calm.pings.resize(10);
    CHECK_THROWS(costsFrom(calm, clumps));
}

TEST_CASE("a sender that takes more than its share of the processor is stopped until it is made up for") {
    Scenario s = one("");
    std::string folder = "/tmp/petrelfleet-share-" + std::to_string(getpid());
    SenderProcess busy(s, 0, folder, {"/bin/sh", {"-c", "while :; do :; done"}, {}});
    busy.start();
    auto begin = std::chrono::steady_clock::now();
    Instant now;
    while (now < ms(1500)) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        auto since = std::chrono::steady_clock::now() - begin;
        now = Instant::atMicros(std::chrono::duration_cast<std::chrono::microseconds>(since).count());
        busy.keepToShare(now, 0.2);
    }
    busy.measure();
    SenderResult used = busy.used();
    busy.kill();
    std::filesystem::remove_all(folder);
    CHECK(used.heldUp >= 2);
    CHECK(used.cpuSeconds < 0.75);  // a half of it: a fifth, and what goes over before it is seen
}

TEST_CASE("a directory that is old or silent for a part of the senders, and a setting that is another at some") {
    Scenario s = one("", "[[fault]]\nkind = \"directory_old\"\nat = 1\nfor = 1\npart = 0.5\n");
    s.senders = 4, s.otherPart = 0.25, s.otherFactor = 0.5;
    World w(s, 1);
    w.advance(ms(1000));
    std::vector<int> struck;
    while (auto h = w.next()) {
        CHECK((h->what == Happening::What::directory && h->begins));
        struck.push_back(h->sender);
    }
    CHECK(struck == std::vector<int>{0, 1});
    CHECK(sendersTold(s, 0) == 2);
    CHECK(sendersTold(s, 1) == 4);
    // Whoever hears nothing goes on calling what has been drained, which the others need as well.
    Scenario lists = one("endpoints = 2\nworkers = 2\n",
                         "[[fault]]\nkind = \"directory_old\"\nat = 0.3\nfor = 2.5\npart = 0.5\n"
                         "[[fault]]\nkind = \"drain\"\nat = 0.4\nfor = 2.5\ngroup = \"g\"\nendpoint = 1\n");
    lists.senders = 2;
    RunResult half = playInModel(lists, 1);
    lists.faults[0].part = 0;
    RunResult none = playInModel(lists, 1);
    CHECK(half.breaches.empty());
    CHECK(none.breaches.empty());
    CHECK(half.products[0].delivery.p50 < 0.8 * none.products[0].delivery.p50);
}

TEST_CASE("calls and new connections at a place that is out are counted, in the model and on sockets") {
    Scenario s = one("endpoints = 2\n", "[[fault]]\nkind = \"refuse\"\nat = 1\nfor = 1\ngroup = \"g\"\n");
    Scenario calm = s;
    calm.faults.clear();
    RunResult out = playInModel(s, 1), well = playInModel(calm, 1);
    CHECK(out.deadCalls > 0);
    CHECK(out.deadCalls <= out.wastedCalls);
    CHECK(out.deadConnections <= out.deadCalls);
    CHECK(well.deadCalls + well.deadConnections == 0);
    Play play;
    RunResult real = play.on(s);
    CHECK(real.deadCalls > 0);
    CHECK(real.deadCalls <= real.wastedCalls);
    CHECK(fromJson(toJson(real)).deadCalls == real.deadCalls);
}

TEST_CASE("on sockets: programs that ask once keep their connections, and a platform may answer notices late") {
    Play play;
    Scenario s = one("endpoints = 2\n");
    s.senders = 1, s.noticeLate = Span::millis(150);
    RunResult shared = play.on(s);
    s.holds = 1, s.ahead = Span::millis(500);
    RunResult kept = play.on(s);
    CHECK(shared.breaches.empty());
    CHECK(kept.breaches.empty());
    CHECK(kept.senders[0].descriptors > shared.senders[0].descriptors + 60);
}
