// Absent voters are replaced automatically, and further losses around a replacement lose nothing.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <iostream>

#include "system/consensus/loss_schedule_for_test.hpp"
#include "system/network/environment_for_test.hpp"

namespace petrelpond::consensus {
namespace {

using sim::World;

sim::Plan planOf(uint32_t seed, Defect defect) {
    static const std::pair<int, int> shapes[] = {{3, 1}, {5, 1}, {5, 2}, {9, 2}, {3, 1}};
    const auto [cores, losses] = shapes[seed % 5];
    sim::Plan plan{seed, cores, losses, defect, false, 60, true, 8};
    plan.serviceTimings = plan.differingClocks = true;
    return plan;
}

struct Outcome {
    std::string broken;
    int replaced = 0, disksLost = 0, changes = 0, pausedVotersReplaced = 0, healthyVotersReplaced = 0;
};

Outcome runSchedule(uint32_t seed, Defect defect) {
    World world(planOf(seed, defect));
    sim::LossSchedule losses(world);
    Outcome outcome;
    outcome.broken = world.run();
    outcome.replaced = losses.replaced(), outcome.disksLost = losses.disksLost();
    outcome.changes = world.changes();
    outcome.pausedVotersReplaced = losses.pausedVotersReplaced(),
    outcome.healthyVotersReplaced = losses.healthyVotersReplaced();
    return outcome;
}

// CONSENSUS_SCHEDULES sets the number of schedules (2000 for a long search), CONSENSUS_FIRST the first seed.
TEST(Replacement, NoScheduleOfLossesBreaksAnInvariant) {
    const uint32_t begin = numberFromEnvironment("CONSENSUS_FIRST", 1),
                   count = numberFromEnvironment("CONSENSUS_SCHEDULES", 100);
    Outcome all;
    for (uint32_t seed = begin; seed < begin + count; ++seed) {
        const Outcome one = runSchedule(seed, Defect::none);
        EXPECT_EQ(one.broken, "") << "seed " << seed;
        all.replaced += one.replaced, all.disksLost += one.disksLost, all.changes += one.changes;
        all.pausedVotersReplaced += one.pausedVotersReplaced,
            all.healthyVotersReplaced += one.healthyVotersReplaced;
    }
    std::cout << count << " schedules: " << all.replaced << " replaced, " << all.disksLost << " disks lost, "
              << all.changes << " changes of the voters, of which " << all.pausedVotersReplaced
              << " replaced one that was cut off, frozen or down and came back, " << all.healthyVotersReplaced
              << " one that nothing was wrong with\n";
    EXPECT_EQ(all.healthyVotersReplaced, 0);
    EXPECT_GT(all.replaced, static_cast<int>(count));
    EXPECT_GT(all.disksLost, static_cast<int>(count));
    EXPECT_GT(all.changes, static_cast<int>(count));
}

int schedulesUntilDetected(Defect defect, uint32_t most) {
    for (uint32_t seed = 1; seed <= most; ++seed) {
        const std::string broken = runSchedule(seed, defect).broken;
        if (broken.empty()) continue;
        std::cout << "caught by schedule " << seed << ": " << broken << "\n";
        return static_cast<int>(seed);
    }
    return -1;
}
// Guards against an endless loop: a restarted standby knew the chosen value from its disk, but read from a
// majority that had accepted it under different ballots. It claimed the version, saw that it was decided and
// read again, without end.
TEST(Replacement, ANewStandbyThatSettlesAVersionSendsBoundedMessages) {
    constexpr uint32_t kSchedule = 330848;
    EXPECT_EQ(runSchedule(kSchedule, Defect::none).broken, "");
    EXPECT_NE(runSchedule(kSchedule, Defect::retriesWithoutPause).broken.find("too many messages sent"),
              std::string::npos);
}

TEST(Replacement, CatchesAHolderThatNeverReplaces) {
    EXPECT_GT(schedulesUntilDetected(Defect::neverReplaces, 100), 0);
}
TEST(Replacement, CatchesDroppingSilentVoters) {
    EXPECT_GT(schedulesUntilDetected(Defect::dropsSilentVoters, 100), 0);
}
TEST(Replacement, SchedulesCatchLeavingWithoutHandover) {
    EXPECT_GT(schedulesUntilDetected(Defect::leavesWithoutHandover, 100), 0);
}
sim::Plan calmPlan(int cores, int losses, int spares) {
    sim::Plan plan{7, cores, losses, Defect::none, false, 30, true, spares};
    plan.serviceTimings = true;
    return plan;
}

void removeForGood(World& w, size_t i) {
    w.kill(i);
    w.nodes_[i].removed = true;
}
void loseDiskOf(World& w, size_t i) {
    w.kill(i);
    w.nodes_[i].disk.reset();
    w.start(i, false);
}
World& startSparesAt(World& w, std::vector<std::pair<int64_t, size_t>> starts) {
    w.beginLosses_ = [&w, starts] {
        w.loss_ = 0;
        for (const auto& [at, spare] : starts)
            w.at(World::millis(at), [&w, spare = spare] { w.start(spare, false); });
    };
    return w;
}
bool votes(const World& w, size_t i) {
    return World::contains(w.voterSets_.rbegin()->second, w.nodes_[i].id);
}

// The successor is a voter and the removed machine is not, well within the successor's time to catch up.
TEST(Replacement, ASuccessorBecomesAVoterWithinTheCatchUpTime) {
    for (const bool holder : {true, false}) {
        World w(calmPlan(3, 1, 1));
        w.nodes_[3].removed = true;
        w.beginLosses_ = [&w] { w.loss_ = 0; };
        w.at(World::millis(10000), [&] {
            size_t old = static_cast<size_t>(w.holder());
            if (!holder) old = (old + 1) % 3;
            w.kill(old);
            w.nodes_[old].removed = true;
            w.at(World::millis(500), [&] {
                w.nodes_[3].removed = false;
                w.start(3, false);
            });
            w.at(World::millis(500 + 4000), [&w, old] {
                ASSERT_TRUE(w.nodes_[3].core);
                const auto& voters = w.nodes_[3].core->voters();
                EXPECT_TRUE(World::contains(voters, w.nodes_[3].id));
                EXPECT_FALSE(World::contains(voters, w.nodes_[old].id));
                EXPECT_FALSE(w.nodes_[3].core->isRecovering());
            });
        });
        EXPECT_EQ(w.run(), "");
    }
}

// A voter that is cut off for twenty seconds is replaced by the standby, returns as a standby itself and
// fills the next vacancy.
TEST(Replacement, AnIsolatedVoterReturnsAsAStandby) {
    World w(calmPlan(3, 1, 1));
    startSparesAt(w, {{7000, 3}});
    size_t cutOff = 0;
    w.at(World::millis(10000), [&] {
        cutOff = (static_cast<size_t>(w.holder()) + 1) % 3;
        for (size_t k = 0; k < 4; ++k) {
            if (k != cutOff) w.cut_.insert({k, cutOff}), w.cut_.insert({cutOff, k});
        }
    });
    w.at(World::millis(30000), [&] {
        EXPECT_TRUE(World::contains(w.voterSets_.rbegin()->second, w.nodes_[3].id));
        EXPECT_FALSE(World::contains(w.voterSets_.rbegin()->second, w.nodes_[cutOff].id));
        w.cut_.clear();
    });
    w.at(World::millis(33000), [&] {
        EXPECT_FALSE(w.nodes_[cutOff].core->isRecovering());
        w.kill(3);
    });
    w.at(World::millis(36000),
         [&] { EXPECT_TRUE(World::contains(w.voterSets_.rbegin()->second, w.nodes_[cutOff].id)); });
    EXPECT_EQ(w.run(), "");
}

// Without a standby the voters stay the same, however long one of them is silent.
TEST(Replacement, NoVoterIsDroppedWithoutAStandby) {
    World w(calmPlan(5, 1, 0));
    w.at(World::millis(10000), [&] { w.kill(4); });
    w.at(World::millis(29000), [&] { EXPECT_EQ(w.voterSets_.size(), 1u); });
    EXPECT_EQ(w.run(), "");
}

// A voter that shuts down in order keeps acting as a voter until a standby has replaced it, so the next loss
// may follow at once. If it ended immediately, too few voters would be left for that loss.
std::string leaveThenLoseDisk(Defect defect) {
    sim::Plan plan = calmPlan(3, 1, 1);
    plan.defect = defect;
    World w(plan);
    startSparesAt(w, {{7000, 3}});
    const auto lose = [&w](size_t old) {
        w.kill(old);
        w.nodes_[old].removed = true;
        const size_t next = (old + 1) % 3;
        w.kill(next);
        w.nodes_[next].disk.reset();
        w.start(next, false);
    };
    std::function<void(size_t)> whenItMay = [&](size_t old) {
        if (w.nodes_[old].core->mayLeave(w.clock(old))) return lose(old);
        w.at(World::millis(20), [&whenItMay, old] { whenItMay(old); });
    };
    w.at(World::millis(12000), [&] {
        const auto old = static_cast<size_t>(w.holder());
        w.nodes_[old].core->beginLeave(w.clock(old));
        w.drain(old);
        whenItMay(old);
    });
    return w.run();
}
TEST(Replacement, ALeavingVoterHandsOverFirst) { EXPECT_EQ(leaveThenLoseDisk(Defect::none), ""); }
TEST(Replacement, CatchesLeavingWithoutHandover) {
    EXPECT_NE(leaveThenLoseDisk(Defect::leavesWithoutHandover), "");
}

// A voter that is not the holder is told to shut down and has only 100 ms, at any point of the heartbeat
// interval.
TEST(Replacement, ALeavingVoterIsReplacedAtOnce) {
    for (int64_t offset = 0; offset < 150; offset += 15) {
        World w(calmPlan(3, 1, 1));
        startSparesAt(w, {{7000, 3}});
        w.at(World::millis(12000 + offset), [&w] {
            const auto holder = static_cast<size_t>(w.holder());
            const size_t old = (holder + 1) % 3, next = (holder + 2) % 3;
            w.nodes_[old].core->beginLeave(w.clock(old));
            w.drain(old);
            w.at(World::millis(100), [&w, old, next] {
                w.kill(old);
                w.nodes_[old].removed = true;
                w.kill(next);
                w.nodes_[next].disk.reset();
                w.start(next, false);
            });
        });
        EXPECT_EQ(w.run(), "") << offset;
    }
}

// All seeds were replaced, and the settings of their successors still name them: after a power loss the
// successors find each other from their disks.
TEST(Replacement, RecoversFromPowerLossAfterAllSeedsWereReplaced) {
    World w(calmPlan(3, 1, 3));
    startSparesAt(w, {{7000, 3}, {12000, 4}, {17000, 5}});
    for (size_t i = 0; i < 3; ++i)
        w.at(World::millis(10000 + 5000 * static_cast<int64_t>(i)), [&w, i] { removeForGood(w, i); });
    w.at(World::millis(26000), [&w] {
        for (size_t i = 3; i < 6; ++i) {
            EXPECT_TRUE(votes(w, i));
            w.seedOverrides_[i] = {w.nodes_[0].id, w.nodes_[1].id, w.nodes_[2].id};
        }
        w.powerLoss();
    });
    EXPECT_EQ(w.run(), "");
}

// Replaced machines are not contacted or announced forever.
TEST(Replacement, RemovedMachinesAreForgotten) {
    sim::Plan plan = calmPlan(3, 1, 3);
    plan.seconds = 180;
    World w(plan);
    startSparesAt(w, {{7000, 3}, {12000, 4}, {17000, 5}});
    for (size_t i = 3; i < 6; ++i) w.seedOverrides_[i] = {w.nodes_[2].id};
    for (size_t i = 0; i < 3; ++i)
        w.at(World::millis(10000 + 5000 * static_cast<int64_t>(i)), [&w, i] { removeForGood(w, i); });
    w.at(World::millis(30000), [&w] {
        const auto known = w.nodes_[5].core->peers();
        EXPECT_TRUE(World::contains(known, w.nodes_[1].id));  // not yet forgotten: it may return
    });
    w.at(World::millis(170000), [&w] {
        for (size_t i = 3; i < 6; ++i) {
            const auto known = w.nodes_[i].core->peers();
            EXPECT_FALSE(World::contains(known, w.nodes_[0].id));
            EXPECT_FALSE(World::contains(known, w.nodes_[1].id));
            EXPECT_EQ(known.size(), 3u);  // the dead seed and the two other cores
        }
    });
    EXPECT_EQ(w.run(), "");
}

// A core that was cut off while all cores it knew were replaced, and that their successors have forgotten,
// rejoins as soon as its settings name one of them.
TEST(Replacement, ACoreIsolatedThroughAllReplacementsReturnsWithNewSettings) {
    sim::Plan plan = calmPlan(3, 1, 4);
    plan.seconds = 220;
    World w(plan);
    startSparesAt(w, {{7000, 6}, {8000, 3}, {15000, 4}, {20000, 5}});
    for (size_t i = 3; i < 7; ++i) w.seedOverrides_[i] = {w.nodes_[2].id};
    w.at(World::millis(12000), [&w] {
        for (size_t k = 0; k < 6; ++k) w.cut_.insert({k, 6}), w.cut_.insert({6, k});
    });
    for (size_t i = 0; i < 3; ++i)
        w.at(World::millis(13000 + 5000 * static_cast<int64_t>(i)), [&w, i] { removeForGood(w, i); });
    w.at(World::millis(200000), [&w] {
        w.cut_.clear();
        EXPECT_FALSE(w.nodes_[4].core->peers().empty());
        EXPECT_FALSE(World::contains(w.nodes_[4].core->peers(), w.nodes_[6].id));
    });
    w.at(World::millis(210000), [&w] {
        EXPECT_LT(w.nodes_[6].core->epoch(), w.newestEpoch_);
        w.nodes_[6].core->addPeers(w.clock(6), {w.nodes_[5].id});
        w.drain(6);
    });
    w.at(World::millis(215000), [&w] { EXPECT_EQ(w.nodes_[6].core->epoch(), w.newestEpoch_); });
    EXPECT_EQ(w.run(), "");
}

// A new core with only dead seeds is unknown to the others and changes nothing; with a live seed it fills the
// vacancy.
TEST(Replacement, ANewCoreWithDeadSeedsIsHarmlessAndJoinsWithALiveSeed) {
    World w(calmPlan(3, 1, 1));
    w.seedOverrides_[3] = {"10.9.9.1", "10.9.9.2", "10.9.9.3"};
    startSparesAt(w, {{7000, 3}});
    w.at(World::millis(10000), [&w] { removeForGood(w, 1); });
    w.at(World::millis(16000), [&w] {
        EXPECT_FALSE(votes(w, 3));
        w.kill(3);
        w.seedOverrides_[3] = {w.nodes_[0].id};
        w.start(3, false);
    });
    w.at(World::millis(20000), [&w] { EXPECT_TRUE(votes(w, 3)); });
    EXPECT_EQ(w.run(), "");
}

TEST(Replacement, OneOfTwoSimultaneousStandbysBecomesAVoter) {
    World w(calmPlan(3, 1, 2));
    startSparesAt(w, {{7000, 3}, {7000, 4}});
    w.at(World::millis(10000), [&w] { removeForGood(w, 1); });
    w.at(World::millis(14000), [&w] {
        EXPECT_EQ(w.voterSets_.rbegin()->second.size(), 3u);
        EXPECT_NE(votes(w, 3), votes(w, 4));
        EXPECT_EQ(w.newestEpoch_, 2u);
    });
    EXPECT_EQ(w.run(), "");
}

// Covers every instant of the change, which takes place 2 s to 2.3 s after the loss.
TEST(Replacement, AStandbyThatLosesItsDiskDuringTheChangeStillRecovers) {
    for (int64_t after = 1900; after < 2500; after += 20) {
        World w(calmPlan(5, 2, 1));
        startSparesAt(w, {{7000, 5}});
        w.at(World::millis(10000), [&w] { removeForGood(w, 1); });
        w.at(World::millis(10000 + after), [&w] { loseDiskOf(w, 5); });
        w.at(World::millis(20000), [&w] { EXPECT_TRUE(votes(w, 5)); });
        EXPECT_EQ(w.run(), "") << after;
    }
}

TEST(Replacement, PowerLossDuringAChangeLosesNothing) {
    for (int64_t after = 1900; after < 2500; after += 20) {
        World w(calmPlan(3, 1, 1));
        startSparesAt(w, {{7000, 3}});
        w.at(World::millis(10000), [&w] { removeForGood(w, 1); });
        w.at(World::millis(10000 + after), [&w] { w.powerLoss(); });
        w.at(World::millis(20000), [&w] { EXPECT_TRUE(votes(w, 3)); });
        EXPECT_EQ(w.run(), "") << after;
    }
}

// Of two standbys the first ends unnoticed just before a vacancy arises: the other one must fill it.
std::string voterAfterAStandbyEnded(Defect defect) {
    sim::Plan plan = calmPlan(3, 1, 2);
    plan.defect = defect;
    World w(plan);
    startSparesAt(w, {{7000, 3}, {7000, 4}});
    w.at(World::millis(12000), [&w] {
        w.kill(3);
        w.nodes_[3].removed = true;
    });
    w.at(World::millis(12100), [&w] {
        const auto old = (static_cast<size_t>(w.holder()) + 1) % 3;
        w.nodes_[old].core->beginLeave(w.clock(old));
        w.drain(old);
    });
    std::string chosen;
    w.at(World::millis(12300), [&] {
        for (size_t i = 3; i < 5; ++i) {
            if (World::contains(w.voterSets_.rbegin()->second, w.nodes_[i].id)) chosen += w.nodes_[i].id;
        }
    });
    EXPECT_EQ(w.run(), "");
    return chosen;
}
TEST(Replacement, AStandbyIsPromotedOnlyAfterAnsweringTheVacancyProbe) {
    EXPECT_EQ(voterAfterAStandbyEnded(Defect::none), "10.0.0.5");
    EXPECT_EQ(voterAfterAStandbyEnded(Defect::trustsStaleStandby), "10.0.0.4");
}

// The first requests or replies of a ballot are lost: they must be resent at once, not after the timeout of
// the ballot, as a leaving voter has limited time.
bool handsOverInTime(MessageKind firstLost, Defect defect) {
    sim::Plan plan = calmPlan(3, 1, 1);
    plan.defect = defect;
    World w(plan);
    startSparesAt(w, {{7000, 3}});
    bool leaves = false, inTime = false;
    std::set<std::pair<size_t, size_t>> lost;
    w.dropMessage_ = [&](size_t from, size_t to, const Message& m) {
        return leaves && m.kind == firstLost && lost.insert({from, to}).second;
    };
    w.at(World::millis(12000), [&] {
        const auto old = (static_cast<size_t>(w.holder()) + 1) % 3;
        leaves = true;
        w.nodes_[old].core->beginLeave(w.clock(old));
        w.drain(old);
        w.at(World::millis(400), [&, old] { inTime = w.nodes_[old].core->mayLeave(w.clock(old)); });
    });
    EXPECT_EQ(w.run(), "");
    EXPECT_FALSE(lost.empty());
    return inTime;
}
TEST(Replacement, ALostBallotMessageIsResentWithinAHeartbeat) {
    for (const MessageKind kind :
         {MessageKind::prepare, MessageKind::promise, MessageKind::accept, MessageKind::accepted}) {
        EXPECT_TRUE(handsOverInTime(kind, Defect::none)) << static_cast<int>(kind);
        EXPECT_FALSE(handsOverInTime(kind, Defect::neverResendsBallots)) << static_cast<int>(kind);
    }
}

// A reachable voter that has not taken over under the last change may still be needed: the next change waits
// for it.
uint64_t epochBeforeAllHaveTakenOver(Defect defect) {
    sim::Plan plan = calmPlan(5, 2, 2);
    plan.defect = defect;
    World w(plan);
    uint64_t epoch = 0;
    size_t isolated = 0, first = 0, second = 0;
    startSparesAt(w, {{7000, 5}, {7000, 6}});
    w.at(World::millis(10000), [&] {
        const auto holder = static_cast<size_t>(w.holder());
        isolated = (holder + 1) % 5, first = (holder + 2) % 5, second = (holder + 3) % 5;
        for (size_t k = 0; k < 7; ++k) w.cut_.insert({k, isolated});
        w.kill(first);
        w.nodes_[first].removed = true;
    });
    w.at(World::millis(14000), [&] {
        EXPECT_EQ(w.newestEpoch_, 2u);
        w.kill(second);
        w.nodes_[second].removed = true;
    });
    w.at(World::millis(19000), [&] {
        epoch = w.newestEpoch_;
        w.cut_.clear();
    });
    w.at(World::millis(24000), [&] { EXPECT_EQ(w.newestEpoch_, 3u); });
    EXPECT_EQ(w.run(), "");
    return epoch;
}
TEST(Replacement, NoChangeBeginsBeforeReachableVotersHaveTakenOver) {
    EXPECT_EQ(epochBeforeAllHaveTakenOver(Defect::none), 2u);
    EXPECT_EQ(epochBeforeAllHaveTakenOver(Defect::overlapsChanges), 3u);
}

}  // namespace
}  // namespace petrelpond::consensus
