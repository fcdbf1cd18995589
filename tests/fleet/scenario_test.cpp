// Scenario files and the traffic they say: every mistake by line and key, the same texts for the same seed.
#include "fleet/scenario.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <random>

#include "fleet/traffic.hpp"

using namespace petrelpond;
using namespace petrelpond::fleet;

namespace {

const std::string kGood = R"([run]
seconds = 5
[[product]]
name = "status"
effect = "resendable"
[[group]]
name = "hauler"
count = 3
[[traffic]]
product = "status"
group = "hauler"
rate = 200
)";

std::string complaint(const std::string& text) {
    try {
        readScenario(text, "f.toml");
        return "";
    } catch (const WrongScenario& e) {
        return e.what();
    }
}

}  // namespace

TEST_CASE("a scenario that is right is read as it stands") {
    Scenario s = readScenario(kGood, "f.toml");
    CHECK(s.destinations() == 3);
    CHECK(s.products[0].rules.effect == Effect::idempotent);
    CHECK(s.flows[0].until == Span::seconds(5));
    CHECK_NOTHROW(readScenario(demoScenario(), "demo"));
}

TEST_CASE("each mistake of a scenario is named by file, line and key") {
    auto [text, words] = GENERATE(table<std::string, std::string>({
        {"[run]\nsecond = 3\n" + kGood.substr(kGood.find("[[")),
         "f.toml:2: run.second is not known here; did you mean 'seconds'?"},
        {kGood + "rte = 5\n", "f.toml:13: traffic[0].rte is not known here; did you mean 'rate'?"},
        {kGood + "clump = \"x\"\n", "f.toml:13: traffic[0].clump must be a number from 1 to 100000"},
        {kGood + "keys = 1.5\n", "f.toml:13: traffic[0].keys must be a whole number from 0 to 1000000"},
        {kGood + "[[fault]]\nkind = \"hagn\"\ngroup = \"hauler\"\n",
         "f.toml:14: fault[0].kind knows no 'hagn'; did you mean 'hang'?"},
        {kGood + "[[fault]]\nkind = \"hang\"\ngroup = \"haulers\"\n",
         "f.toml:15: fault[0].group knows no 'haulers'; did you mean 'hauler'?"},
        {kGood + "[[fault]]\nkind = \"hang\"\ngroup = \"hauler\"\nat = 9\n",
         "f.toml:16: fault[0].at lies behind the end of the run"},
        {kGood + "[[fault]]\nkind = \"hang\"\ngroup = \"hauler\"\nendpoint = 1\n",
         "fault[0].endpoint must be a whole number from 0 to 0"},
        {kGood + "[[product]]\nname = \"order\"\neffect = \"referenced\"\n",
         "product[1].memory_ms must be above 0 for a referenced product"},
        {kGood + "[[product]]\nname = \"status\"\neffect = \"once-only\"\n",
         "product two are named 'status'"},
        {kGood + "[[group]]\nname = \"x\"\nrate = 5\ncount_most = 5\n",
         "f.toml:15: group[1].rate and count_most exclude each other"},
        {"[run]\nseconds = 5\n", "product at least one is needed"},
        {"[run\n", "f.toml:1: "},
    }));
    INFO(complaint(text));
    CHECK(complaint(text).find(words) != std::string::npos);
}

TEST_CASE("several mistakes are told together, in the order of lines") {
    std::string all =
        complaint("[run]\nseconds = -1\nseed = \"x\"\n" + kGood.substr(kGood.find("[[")) + "clump = 0\n");
    CHECK(std::count(all.begin(), all.end(), '\n') == 2);
    CHECK(all.find("run.seconds") < all.find("run.seed"));
    CHECK(all.find("run.seed") < all.find("clump"));
}

TEST_CASE("spoilt scenario files are refused or read, and nothing else") {
    std::mt19937 chance(5);
    std::string good(demoScenario());
    int refused = 0;
    for (int i = 0; i < 1500; ++i) {
        std::string text = good;
        for (unsigned n = 1 + chance() % 4; n > 0; --n) {
            size_t at = chance() % text.size();
            switch (chance() % 3) {
                case 0:
                    text[at] = static_cast<char>(chance());
                    break;
                case 1:
                    text.erase(at, 1 + chance() % 20);
                    break;
                default:
                    text.insert(at, good.substr(chance() % good.size(), chance() % 30));
            }
        }
        refused += !complaint(text).empty();
    }
    CHECK(refused > 700);
    CHECK(refused < 1500);
}

TEST_CASE("arrivals hang on scenario and seed alone, and come at the rate that was asked for") {
    Scenario s = readScenario(kGood, "f.toml");
    auto a = plan(s, 4), b = plan(s, 4), other = plan(s, 5);
    REQUIRE(a.size() == b.size());
    for (size_t i = 0; i < a.size(); ++i) CHECK((a[i].at == b[i].at && a[i].destination == b[i].destination));
    CHECK((a.size() != other.size() || a[0].at != other[0].at));
    CHECK(std::abs(static_cast<double>(a.size()) - 1000) < 5 * std::sqrt(1000.0));
    s.flows[0].surge = 5, s.flows[0].surgeFrom = Span::seconds(2), s.flows[0].surgeUntil = Span::seconds(3);
    size_t within = 0;
    auto surge = plan(s, 4);
    for (const Planned& p : surge)
        within += p.at >= Instant() + Span::seconds(2) && p.at < Instant() + Span::seconds(3);
    CHECK(within > 800);
    CHECK(surge.size() - within < 1000);
    s.flows[0].surge = 1, s.flows[0].clump = 10;
    CHECK(std::abs(static_cast<double>(plan(s, 4).size()) - 1000) < 350);
}

TEST_CASE("a recording becomes a plan; a half last line is no mistake, a wrong one is") {
    Scenario s = readScenario(kGood, "f.toml");
    std::string path = "/tmp/petrelfleet-recording-" + std::to_string(getpid());
    std::ofstream(path) << "a 5000000 status 2 4000 77 0\ne 5100000 status 2 delivered 100 1\na 5500000 "
                           "status 1 4000 10 9\na 56";
    auto texts = planFromRecording(s, path);
    REQUIRE(texts.size() == 2);
    CHECK(texts[0].at == Instant());
    CHECK(texts[1].at == Instant() + Span::millis(500));
    CHECK((texts[0].destination == 2 && texts[0].body == 77 && texts[1].key == 9));
    auto says = [&](const std::string& line) {
        std::ofstream(path) << line << "\n";
        try {
            planFromRecording(s, path);
            return std::string();
        } catch (const WrongScenario& e) {
            return std::string(e.what());
        }
    };
    CHECK(says("a 1 status x 4000 1 0").find(":1: destination 'x' is not in the scenario") !=
          std::string::npos);
    CHECK(says("a 1 order 1 4000 1 0").find(":1: product 'order' is not in the scenario") !=
          std::string::npos);
    CHECK(says("a 1 status 1").find(":1: is no arrival") != std::string::npos);
    unlink(path.c_str());
}

TEST_CASE("a refused text comes again as often as the scenario says, and not after its time") {
    Scenario s = readScenario(kGood, "f.toml");
    s.clientTries = 1;
    Programs programs(s, plan(s, 1));
    programs.handedIn(0);
    Instant at = programs.text(0).plan.at;
    auto again = programs.refused(at, 0, Span::seconds(1));
    REQUIRE(again);
    CHECK(*again == at + Span::seconds(1));
    programs.handedIn(0);
    CHECK(!programs.refused(*again, 0, Span()));
    CHECK(programs.text(0).end == Programs::End::refused);
    programs.handedIn(1);
    CHECK(!programs.refused(programs.validUntil(1) - Span::millis(10), 1, Span::seconds(1)));
    programs.delivered(programs.text(2).plan.at + Span::millis(700), 2);
    CHECK(programs.text(2).end == Programs::End::late);
}
