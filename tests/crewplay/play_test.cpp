// Several processes of the program with faults between them.
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "fleet/crew_stage.hpp"
#include "fleet/report.hpp"
#include "fleet/stage.hpp"

using namespace petrelpond;
using namespace petrelpond::fleet;

namespace {

using What = LinkFault::Kind;
using crew::State;

struct Play {
    CrewPlay play;
    explicit Play(int members) {
        play.members = members;
        play.sender.program = PETRELPOND_PROGRAM;
        play.folder = "/tmp/petrelfleet-crew-" + std::to_string(getpid());
    }
    ~Play() { std::filesystem::remove_all(play.folder); }
    LinkFault& fault(What kind, double at, double lasts) {
        LinkFault f;
        f.what = kind, f.at = Span::seconds(at), f.lasts = Span::seconds(lasts);
        play.links.push_back(f);
        return play.links.back();
    }
    void step(double at, CrewStep::What what, int member) { play.steps.push_back({Span::seconds(at), what, member}); }
    CrewRun run(double lasts) {
        play.lasts = Span::seconds(lasts);
        return playCrew(play);
    }
};

// The first look from then on after which all agree until `until`; never where the last one does not.
double agreedFrom(const CrewRun& run, double from, double until, std::string& why) {
    double since = -1;
    for (const CrewLook& look : run.looks) {
        double at = look.at.inMicros() / 1e6;
        if (at < from || at > until) continue;
        bool all = agrees(look, why);
        if (!all) since = -1;
        if (all && since < 0) since = at;
    }
    return since;
}

// The looks within that time in which that viewer held that member to be so.
int looksWith(const CrewRun& run, double from, double until, size_t viewer, size_t member, State state) {
    int n = 0;
    for (const CrewLook& look : run.looks) {
        double at = look.at.inMicros() / 1e6;
        if (at >= from && at <= until && look.views[viewer].answered) n += look.views[viewer].states[member] == state;
    }
    return n;
}

}  // namespace

TEST_CASE("spoilt, lost, doubled, late and disordered messages: nobody who answers is held dead") {
    Play crew(6);
    crew.fault(What::loss, 0, 14).share = 0.2;
    crew.fault(What::spoil, 0, 14).share = 0.1;
    crew.fault(What::twice, 0, 14).share = 0.3;
    LinkFault& late = crew.fault(What::reorder, 0, 14);
    late.share = 0.5, late.value = Span::millis(20), late.spread = Span::millis(80);
    CrewRun run = crew.run(22);
    int dead = 0;
    for (size_t v = 0; v < 6; ++v) {
        for (size_t m = 0; m < 6; ++m) dead += looksWith(run, 0, 22, v, m, State::dead);
    }
    CHECK(dead == 0);
    std::string why;
    CHECK(agreedFrom(run, 14, 22, why) >= 0);
    INFO(why);
    // What each said of itself has reached all.
    for (const CrewView& view : run.looks.back().views) {
        for (const std::string& word : view.says) CHECK(word == "serving");
    }
    // The faults were there: what the relay says.
    fleet::Links::Sum all;
    for (auto& from : run.sums) {
        for (auto& s : from) all.in += s.in, all.lost += s.lost, all.spoilt += s.spoilt, all.doubled += s.doubled;
    }
    CHECK(all.in > 300);
    CHECK(all.lost > 30);
    CHECK(all.spoilt > 10);
    CHECK(all.doubled > 30);
}

// How long a doubt lasts depends on how many share it (Members::scheduleDoubt): of three members about 4 s, of two
// from 6 s to 12 s. On the side of two, whose probes of the others all fail, the health falls and the round between
// two probes grows up to nine times (4.5 s), and the last of three is first probed after as many rounds. So the
// larger side has its bound at 10 s, and the smaller one at 3 * 4.5 s + 12 s.
TEST_CASE("a partition: each side holds the other dead, and both find each other as it heals") {
    constexpr double kBegin = 1, kHeal = 28;
    constexpr double kLargeSideSurely = kBegin + 10, kSmallSideSurely = kBegin + 25.5;
    Play crew(5);
    crew.fault(What::partition, kBegin, kHeal - kBegin).sides = {{0, 1, 2}, {3, 4}};
    CrewRun run = crew.run(kHeal + 22);
    for (size_t v = 0; v < 5; ++v) {
        const bool large = v < 3;
        const double since = large ? kLargeSideSurely : kSmallSideSurely;
        for (size_t m = 0; m < 5; ++m) {
            bool same = large == (m < 3);
            INFO("n" << v << " of n" << m);
            CHECK((looksWith(run, since, kHeal, v, m, State::dead) > 0) == !same);
            if (same) CHECK(looksWith(run, kBegin, kHeal, v, m, State::dead) == 0);
            if (!same && large) CHECK(looksWith(run, since, since + 2, v, m, State::dead) > 0);
        }
    }
    std::string why;
    double agreed = agreedFrom(run, kHeal, kHeal + 22, why);
    INFO(why);
    CHECK(agreed >= 0);
    CHECK(agreed <= kHeal + 18);
}

TEST_CASE("one way cut, and a chain in which the first and the last don't hear each other: nobody is dead") {
    Play crew(5);
    LinkFault& cut = crew.fault(What::cut, 0, 12);
    cut.from = {0}, cut.to = {1};
    crew.fault(What::chain, 14, 12).sides = {{0}, {1, 2, 3}, {4}};
    CrewRun run = crew.run(34);
    int dead = 0;
    for (size_t v = 0; v < 5; ++v) {
        for (size_t m = 0; m < 5; ++m) dead += looksWith(run, 0, 34, v, m, State::dead);
    }
    CHECK(dead == 0);
    std::string why;
    CHECK(agreedFrom(run, 26, 34, why) >= 0);
    INFO(why);
}

TEST_CASE("one is stopped and wakes, one is killed, one leaves; all come back, one of them without its folder") {
    Play crew(6);
    crew.step(1, CrewStep::What::stop, 0);
    crew.step(1, CrewStep::What::kill, 1);
    crew.step(1, CrewStep::What::leave, 2);
    crew.step(13, CrewStep::What::go, 0);
    crew.step(16, CrewStep::What::startLost, 1);
    crew.step(16, CrewStep::What::start, 2);
    CrewRun run = crew.run(40);
    std::string why;
    double found = agreedFrom(run, 1, 12.9, why);
    INFO(why);
    CHECK(found >= 0);
    // Who left by word is gone, not dead.
    CHECK(looksWith(run, 1, 12.9, 3, 2, State::dead) == 0);
    CHECK(looksWith(run, 5, 12.9, 3, 2, State::left) > 0);
    // The one that slept accuses nobody that runs.
    for (size_t m = 3; m < 6; ++m) CHECK(looksWith(run, 13, 16, 0, m, State::dead) == 0);
    double back = agreedFrom(run, 16, 40, why);
    CHECK(back >= 0);
    CHECK(back <= 36);
}

TEST_CASE("a scenario with links: its texts go on, and the run says who could hear whom and who believed what") {
    Play crew(5);
    StageOptions options;
    options.sender = crew.play.sender, options.folder = crew.play.folder;
    Scenario s = readScenarioFile(PETRELPOND_SCENARIOS "/crew-partition.toml");
    RunResult r = playOnSockets(s, s.seed, options);
    INFO(r.voidBecause);
    for (const Breach& b : r.breaches) FAIL_CHECK(b.words);
    CHECK(r.service() > 0.9);
    REQUIRE(r.series.size() > 12);
    CHECK(r.series[1].hears == std::string(25, '1'));
    CHECK(r.series[5].hears == "1110011100111000001100011");
    CHECK(r.series[11].hears == std::string(25, '1'));
    CHECK(r.series[1].believed[0] == 5);
    CHECK(r.series[9].believed[0] == 3);
    CHECK(r.senders[4].starts == 2);
    CHECK(reportPage({r}).find("Who could hear whom") != std::string::npos);
    CHECK(fromJson(toJson(r)).series[5].hears == r.series[5].hears);
}
