// The all-knowing queue, and the figures of harm.
#include <catch2/catch.hpp>

#include "fleet/harm.hpp"
#include "fleet/model.hpp"
#include "fleet/oracle.hpp"

using namespace petrelpond;
using namespace petrelpond::fleet;

namespace {

Scenario limited(const std::string& rest) {
    return readScenario(
        "[run]\nseconds = 10\nseed = 3\n[senders]\ncount = 4\n[[product]]\nname = \"order\"\neffect = \"once-only\"\nsla_ms = "
        "1000\nvalidity_ms = 4000\nrevenue = 5\n[[product]]\nname = \"status\"\neffect = \"resendable\"\nsla_ms = 1000\nvalidity_ms = "
        "4000\n[[group]]\nname = \"g\"\nrate = 10\nburst = 2\ntells_waits = true\nrate_listed = true\n" + rest,
        "limited");
}
std::string traffic(const std::string& product, double rate, const std::string& more = "") {
    return "[[traffic]]\nproduct = \"" + product + "\"\ngroup = \"g\"\nrate = " + std::to_string(rate) + "\n" + more;
}

}  // namespace

TEST_CASE("the all-knowing queue keeps the limit, serves what earns most, and is not beaten by the module") {
    Scenario both = limited(traffic("order", 8) + traffic("status", 12));
    RunResult best = playOracle(both, 3);
    CHECK(best.calls <= 10 * 10 + 2 + 40);  // of the span, the burst and what is still valid after it
    CHECK(best.products[0].inTime > best.products[0].handed * 95 / 100);
    CHECK(best.products[1].inTime < best.products[1].handed / 2);
    CHECK(best.service() >= playInModel(both, 3).service());
    // With room enough all is served; with none nothing.
    CHECK(playOracle(limited(traffic("order", 2)), 3).serviceInTime() > 0.99);
    CHECK(playOracle(limited(traffic("order", 2) + "[[fault]]\nkind = \"refuse\"\ngroup = \"g\"\nfor = 30\n"), 3).service() == 0);
}

TEST_CASE("when service is back: from the trigger's end, for good, and never where it is not") {
    Scenario s = limited(traffic("order", 2, "surge = 3\nsurge_from = 2\nsurge_until = 4\n") +
                         "[[fault]]\nkind = \"refuse\"\ngroup = \"g\"\nat = 3\nfor = 2\n");
    Trigger t = triggerOf(s);
    CHECK(t.from == Span::seconds(2));
    CHECK(t.until == Span::seconds(5));
    RunResult r;
    r.seconds = 10, r.series.resize(12);
    for (SecondOf& second : r.series) second.possible = 10, second.made = 9;
    CHECK(backAfter(r, t) == 0);
    r.series[5].made = 3, r.series[6].made = 9, r.series[7].made = 8;  // well for a second, then not
    CHECK(backAfter(r, t) == 3);
    r.series[9].made = 0;
    CHECK(!backAfter(r, t));
    CHECK(withSize(s, 16, 10).senders == 16);
    CHECK(withSize(s, 16, 10).flows[0].surge == 10);
    CHECK(withSize(s, 0, 0).flows[0].surge == 3);
}

TEST_CASE("links in a scenario: read, and each mistake told by its line") {
    Scenario s = limited(traffic("order", 2) +
                         "[crew]\nseeds = 1\n[[link]]\nkind = \"partition\"\nat = 1\nfor = 2\nsides = [[0, 1], [2, 3]]\n[[link]]\nkind = "
                         "\"loss\"\nshare = 0.3\nfrom = [0]\nboth = true\n");
    REQUIRE(s.links.size() == 2);
    CHECK(s.crew.on);
    CHECK(s.crew.seeds == 1);
    CHECK(s.links[0].sides == std::vector<std::vector<int>>{{0, 1}, {2, 3}});
    CHECK(s.links[1].from == std::vector<int>{0});
    CHECK(s.links[1].both);
    auto wrong = [](const std::string& rest) -> std::string {
        try {
            limited(traffic("order", 2) + rest);
        } catch (const WrongScenario& w) {
            return w.what();
        }
        return "";
    };
    CHECK(wrong("[[link]]\nkind = \"loss\"\n").find("needs [crew]") != std::string::npos);
    CHECK(wrong("[crew]\n[[link]]\nkind = \"los\"\n").find("did you mean 'loss'?") != std::string::npos);
    CHECK(wrong("[crew]\n[[link]]\nkind = \"cut\"\nfrom = [4]\n").find("must be a list of senders, 0 to 3") != std::string::npos);
    CHECK(wrong("[crew]\n[[link]]\nkind = \"partition\"\n").find("sides is missing") != std::string::npos);
    CHECK(wrong("[crew]\n[[link]]\nkind = \"partition\"\nsides = [[0], [0]]\n").find("has sender 0 on two sides") != std::string::npos);
    CHECK(wrong("[crew]\n[[link]]\nkind = \"cut\"\nshare = 0.5\n").find("share is not known here") != std::string::npos);
    CHECK(wrong("[crew]\nack_ms = 600\n").find("must be above 0 and below round_ms") != std::string::npos);
}
