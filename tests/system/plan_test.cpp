// Scenario files of the whole system: what is read, and that each mistake is named by its line.
#include "fleet/system/plan.hpp"

#include <catch2/catch.hpp>
#include <set>

#include "fleet/scenario.hpp"

using namespace petrelpond;
using namespace petrelpond::range;

namespace {

std::string mistakesIn(const std::string& text) {
    try {
        readPlan(text, "f");
    } catch (const fleet::WrongScenario& wrong) {
        return wrong.what();
    }
    return "";
}

const std::string kLeast =
    "[[group]]\nname = \"g\"\n[[traffic]]\nname = \"t\"\ngroup = \"g\"\nkind = \"idempotent\"\n";

}  // namespace

TEST_CASE("the built-in play can be read") {
    Plan plan = readPlan(demoPlan(), "demo");
    CHECK(plan.edges == 6);
    CHECK(plan.groups.size() == 2);
    CHECK(plan.flows[1].repeatable == false);
    CHECK(plan.faults[1].machines.size() == 4);
    CHECK(plan.faults[1].at == Span::seconds(8));
}

TEST_CASE("every mistake is named by its line") {
    CHECK(mistakesIn(kLeast) == "");
    CHECK(mistakesIn("x = ").find("f:1: ") == 0);
    CHECK(mistakesIn("").find("group: is missing") != std::string::npos);
    CHECK(mistakesIn(kLeast + "rte = 5\n").find("f:7: traffic.rte: is not known here") == 0);
    std::string two = mistakesIn(kLeast + "rate = \"many\"\n[[fault]]\nkind = \"node_kil\"\nat = 1\n");
    CHECK(two.find("f:7: traffic.rate: must be a number") == 0);
    CHECK(two.find("f:9: fault.kind: knows no 'node_kil'; one of: node_kill, ") != std::string::npos);
    CHECK(mistakesIn(kLeast + "[[fault]]\nkind = \"node_kill\"\nat = 1\nmachines = [\"edge-7\"]\n")
              .find("f:10: fault.machines: knows no 'edge-7'") == 0);
    CHECK(mistakesIn(kLeast + "[[fault]]\nkind = \"burst\"\n").find("fault.at: is missing") !=
          std::string::npos);
    CHECK(
        mistakesIn(kLeast + "deadline_ms = 10\n").find("traffic.deadline_ms: must be no less than aim_ms") !=
        std::string::npos);
}

TEST_CASE("a long play is the same for the same seed, and leaves room between losses") {
    KillsPlan k{30, 5, 9};
    Plan a = killsPlan(k), b = killsPlan(k);
    REQUIRE(a.faults.size() == b.faults.size());
    int wipes = 0;
    Instant last = Instant::longAgo();
    for (size_t i = 0; i < a.faults.size(); ++i) {
        const FaultPlan& f = a.faults[i];
        CHECK((f.kind == b.faults[i].kind && f.at == b.faults[i].at && f.machines == b.faults[i].machines));
        if (f.kind == range::Kind::configChange) continue;
        wipes += f.kind == range::Kind::wipe || f.kind == range::Kind::afterAckWipe;
        CHECK(Instant() + f.at > last + a.bounds.catchUp);
        last = Instant() + f.at + f.lasts;
    }
    CHECK(wipes == 5);
}

TEST_CASE(
    "replacements: each machine goes once, its successor comes, and a second loss meets one that is there") {
    for (int cores : {3, 5}) {
        ReplacementsPlan r{12, 4, cores, 0, 9};
        Plan a = replacementsPlan(r), b = replacementsPlan(r);
        REQUIRE(a.faults.size() == b.faults.size());
        CHECK(a.spares == 12);
        std::set<std::string> here, gone;
        for (int i = 1; i <= cores; ++i) here.insert("core-" + std::to_string(i));
        int replaced = 0, second = 0;
        for (size_t i = 0; i < a.faults.size(); ++i) {
            const FaultPlan& f = a.faults[i];
            CHECK(
                (f.kind == b.faults[i].kind && f.at == b.faults[i].at && f.machines == b.faults[i].machines));
            CHECK(f.at < a.lasts);
            for (const std::string& name : f.machines) CHECK(here.count(name) == 1);
            if (f.kind == range::Kind::replace || f.kind == range::Kind::replacePlanned) {
                ++replaced;
                here.erase(f.machines.front());
                CHECK(gone.insert(f.machines.front()).second);
                here.insert("core-" + std::to_string(cores + replaced));
            } else if (f.kind != range::Kind::configChange && f.kind != range::Kind::readConfig &&
                       f.kind != range::Kind::powerLost) {
                ++second;
            }
        }
        CHECK(replaced == 12);
        CHECK(second == 12);
    }
}

TEST_CASE("cuts: of 5 to 25 s, of fewer than half, with orders and a sender that starts anew in each") {
    for (int cores : {3, 5}) {
        const Plan plan = cutsPlan({12, 4, cores, 9});
        int cuts = 0, starts = 0, orders = 0;
        for (const FaultPlan& f : plan.faults) {
            const bool cut = f.kind == range::Kind::linkCut || f.kind == range::Kind::freeze;
            cuts += cut, starts += f.kind == range::Kind::kill;
            orders += f.kind == range::Kind::configChange || f.kind == range::Kind::configRace;
            if (cut) CHECK((f.lasts >= Span::seconds(5) && f.lasts <= Span::seconds(25)));
        }
        CHECK(cuts == 12);
        CHECK(starts == 12);
        CHECK(orders >= 36);
    }
}

TEST_CASE("spares are named like the machines in whose place they come") {
    CHECK(mistakesIn(kLeast +
                     "[machines]\ncores = 3\nspares = 1\n[[fault]]\nkind = \"node_replace\"\nat = 1\n"
                     "machines = [\"core-4\"]\n") == "");
    CHECK(mistakesIn(kLeast + "[[fault]]\nkind = \"node_replace\"\nat = 1\nmachines = [\"core-4\"]\n")
              .find("fault.machines: knows no 'core-4'") != std::string::npos);
}
