#include "system/cli/overview.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace petrelpond::cli {
namespace {

const std::vector<std::string> kVoters = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};

// A core in good order; 1 holds the duty.
Answer core(int n) {
    CoreView c;
    c.name = "core-" + std::to_string(n), c.ip = kVoters[static_cast<size_t>(n - 1)], c.zone = "z";
    c.onMajority = c.held = 7, c.counts = c.selfIsVoter = true, c.voters = kVoters;
    c.holder = "10.0.0.1", c.term = 4, c.heldHere = n == 1;
    for (const auto& ip : kVoters)
        if (ip != c.ip) c.peers.push_back({ip, 0.1});
    c.agents = {{"edge-1", "10.0.1.1", "z", 0.2, 7}, {"edge-2", "10.0.1.2", "z", 0.4, 7}};
    c.agentsLinked = 2;
    if (n == 1) {
        c.left = 0.6, c.plans = true, c.servicesKnown = 1;
        c.services = {{"f", 2, 1, 0, 8, 3, 5}};
        c.plannerCounts = {{"starts", 3}};
    }
    return {*network::Address::parse(c.ip + ":80"), c, "", false};
}
Answer silent(int n) {
    return {*network::Address::parse(kVoters[static_cast<size_t>(n - 1)] + ":80"),
            {},
            "no answer within 1 s",
            false};
}

bool has(const std::vector<std::string>& lines, const std::string& part) {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const auto& l) { return l.find(part) != std::string::npos; });
}

TEST(Overview, AllWellSaysNothingOfTrouble) {
    Overview o = merge({core(3), core(1), core(2)});
    EXPECT_TRUE(o.disagreements.empty()) << o.disagreements[0];
    EXPECT_TRUE(o.unknown.empty()) << o.unknown[0];
    EXPECT_TRUE(o.majority);
    EXPECT_EQ(o.holder, "10.0.0.1");
    const std::string text = overviewText(o);
    EXPECT_NE(text.find("cores: 3 of 3 answered\n  core-1 10.0.0.1:80 z: disk counts; version 7; 2 agents\n"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("duty: 10.0.0.1, term 4, surely held for 0.6 s\n"), std::string::npos) << text;
    EXPECT_NE(text.find("  f: 2 up, 1 booting, 0 draining; 8 slots, 5 busy; 3 waiting\n"), std::string::npos)
        << text;
    EXPECT_NE(text.find("agents: 2; 2 with version 7\n"), std::string::npos) << text;
}

TEST(Overview, WithAMinorityDownItSaysWhatItCannotKnow) {
    Overview o = merge({core(1), core(2), silent(3)});
    EXPECT_TRUE(o.majority);
    EXPECT_EQ(o.countedHere, 2u);
    ASSERT_EQ(o.unknown.size(), 1u);
    EXPECT_NE(o.unknown[0].find("10.0.0.3:80: no answer within 1 s"), std::string::npos);
    EXPECT_TRUE(o.disagreements.empty());

    o = merge({silent(1), core(2), silent(3)});
    EXPECT_FALSE(o.majority);
    EXPECT_EQ(o.holder, "10.0.0.1");
    EXPECT_TRUE(has(o.unknown, "whether a majority is there: 1 of 3"));
    EXPECT_TRUE(has(o.unknown, "functions: the holder of the duty, 10.0.0.1, did not answer"));
    EXPECT_NE(overviewText(o).find("no majority seen"), std::string::npos);
}

TEST(Overview, DisksThatDoNotCountAreNoMajority) {
    Answer two = core(2), three = core(3);
    two.core->counts = false, two.core->recovering = true;
    three.core->counts = false, three.core->saveFailed = true;
    Overview o = merge({core(1), two, three});
    EXPECT_FALSE(o.majority);
    const std::string text = overviewText(o);
    EXPECT_NE(text.find("disk lost, rebuilding: does not count"), std::string::npos);
    EXPECT_NE(text.find("disk last save failed: does not count"), std::string::npos);
}

TEST(Overview, SaysPlainlyWhereCoresDisagree) {
    Answer two = core(2), three = core(3);
    two.core->heldHere = true, two.core->holder = "10.0.0.2", two.core->term = 5, two.core->onMajority = 8;
    two.core->held = 9;
    three.core->voters = {"10.0.0.2", "10.0.0.3"};
    three.core->peers = {{"10.0.0.1", 6.0}, {"10.0.0.2", std::nullopt}};
    three.core->agents.push_back({"edge-3", "10.0.1.3", "z", 0.1, 6}), three.core->agentsLinked = 3;
    Overview o = merge({core(1), two, three});
    EXPECT_EQ(o.version, 8);
    EXPECT_TRUE(has(o.disagreements,
                    "duty: core-1, core-3: held by 10.0.0.1, term 4; core-2: held by 10.0.0.2, term 5"));
    EXPECT_TRUE(
        has(o.disagreements, "more than one says that it holds it: core-1 (term 4), core-2 (term 5)"));
    EXPECT_TRUE(has(o.disagreements,
                    "voters: core-1, core-2: 10.0.0.1, 10.0.0.2, 10.0.0.3; core-3: 10.0.0.2, 10.0.0.3"));
    EXPECT_TRUE(has(o.disagreements, "version on a majority: core-1, core-3: 7; core-2: 8"));
    EXPECT_TRUE(has(o.disagreements, "core-2 holds 9"));
    EXPECT_TRUE(has(o.disagreements, "core-3 has not heard core-1 for 6.0 s"));
    EXPECT_TRUE(has(o.disagreements, "core-3 has no link from core-2"));
    EXPECT_TRUE(has(o.disagreements, "without 8 so far: edge-1 (7), edge-2 (7), edge-3 (6)"));
}

TEST(Overview, AgentsWithoutALinkToTheHolderAreNamed) {
    Answer two = core(2);
    two.core->agents.push_back({"edge-3", "10.0.1.3", "z", 0.1, 7}), two.core->agentsLinked = 3;
    Overview o = merge({core(1), two, core(3)});
    EXPECT_TRUE(has(o.disagreements, "not to the holder core-1, so they get no slots: edge-3"));
}

TEST(Overview, TheLowestVersionThatWasToldCounts) {
    Answer two = core(2);
    two.core->agents[1].version = 6;
    Overview o = merge({core(1), two, core(3)});
    EXPECT_EQ(lacking(o, 7), std::vector<std::string>{"edge-2 (6)"});
    EXPECT_TRUE(lacking(o, 6).empty());
    two.core->agentsLinked = 9;  // it lists fewer
    EXPECT_FALSE(merge({two}).agentsWhole);
}

TEST(Overview, OneCoreAtTwoAddressesIsOne) {
    Answer again = core(1), dead = silent(1);
    again.address.port = 81, dead.address.port = 82;
    Overview o = merge({again, core(1), dead, core(2), core(3)});
    EXPECT_EQ(o.cores.size(), 3u);
    EXPECT_TRUE(o.unknown.empty());
}

TEST(Hints, SeedsAsToldOthersAtTheTellersPort) {
    Answer one = core(1);
    one.core->seeds = {"10.0.0.1:80", "10.0.0.2:81", "nonsense"};
    auto found = hints({one});
    ASSERT_EQ(found.size(), 2u);
    EXPECT_EQ(found[0].address.text(), "10.0.0.2:81");
    EXPECT_FALSE(found[0].guessed);
    EXPECT_EQ(found[1].address.text(), "10.0.0.3:80");
    EXPECT_TRUE(found[1].guessed);
    EXPECT_TRUE(hints({one, silent(2), silent(3)}).empty());
}

TEST(Overview, TellsWhoVotesWhoIsSuspectedAndHowManyMayStillBeLost) {
    const auto core = readStatus(
        R"({"ip":"10.0.0.1","duty":{"holder":"10.0.0.1","term":3,"held_here":true},"losses_left":0,"members":[
            {"ip":"10.0.0.1","votes":true},
            {"ip":"10.0.0.2","votes":true,"suspected":true,"silent_s":2.4},
            {"ip":"10.0.0.3","votes":true,"catching_up":true,"leaving":true},
            {"ip":"10.0.0.4","standby":true}]})",
        "here");
    ASSERT_TRUE(std::holds_alternative<CoreView>(core));
    Answer answer;
    answer.core = std::get<CoreView>(core);
    const std::string text = overviewText(merge({answer}));
    EXPECT_NE(text.find("members: 0 more may be lost, as the holder hears them\n"
                        "  10.0.0.1: votes\n"
                        "  10.0.0.2: votes, suspected, silent for 2.4 s\n"
                        "  10.0.0.3: votes, catches up, leaves\n"
                        "  10.0.0.4: standby\n"),
              std::string::npos)
        << text;
    answer.core->lossesLeft = -1;
    EXPECT_NE(overviewText(merge({answer})).find("members: no majority"), std::string::npos);
}
TEST(Status, OddTextsAreProblemsOrDefaultsNeverMore) {
    for (const std::string& odd : {std::string(), std::string("[]"), std::string("{"), std::string("{}"),
                                   std::string(R"({"ip":5})"), std::string(1'000'000, '[')})
        EXPECT_TRUE(std::holds_alternative<network::Problem>(readStatus(odd, "x"))) << odd.substr(0, 20);
    auto read =
        readStatus(R"({"ip":"10.0.0.1","disk":[],"duty":null,"voters":[1,"a"],"peers":[7,{}],"agents":{},
                               "planner":{"services":[null],"starts":-1}})",
                   "x");
    const auto& c = std::get<CoreView>(read);
    EXPECT_EQ(c.voters, std::vector<std::string>{"a"});
    EXPECT_FALSE(c.counts);
    EXPECT_TRUE(c.plannerCounts.empty());
}

}  // namespace
}  // namespace petrelpond::cli
