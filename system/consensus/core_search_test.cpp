// Searches seeded schedules of the simulated cluster for a broken invariant: an acknowledged version lost, a
// read that returns an older version, two sets of voters in one epoch, two holders at one instant, a term won
// twice, or no progress after all faults have healed.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "system/consensus/world_for_test.hpp"
#include "system/network/environment_for_test.hpp"

namespace petrelpond::consensus {
namespace {

sim::Plan planOf(uint32_t seed, Defect defect) {
    static const std::pair<int, int> shapes[] = {{3, 1}, {5, 1}, {5, 2}, {9, 2}, {3, 1}};
    const auto [cores, losses] = shapes[seed % 5];
    return {seed, cores, losses, defect, true, 25};
}

// CONSENSUS_SCHEDULES sets the number of schedules (10000 for a long search), CONSENSUS_FIRST the first seed.
TEST(CoreSearch, NoScheduleBreaksAnInvariant) {
    const uint32_t begin = numberFromEnvironment("CONSENSUS_FIRST", 1),
                   count = numberFromEnvironment("CONSENSUS_SCHEDULES", 300);
    int writes = 0, reads = 0, terms = 0, disksLost = 0, conflicts = 0;
    for (uint32_t seed = begin; seed < begin + count; ++seed) {
        sim::World world(planOf(seed, Defect::none));
        EXPECT_EQ(world.run(), "") << "seed " << seed;
        writes += world.doneWrites();
        reads += world.doneReads();
        terms += world.terms();
        disksLost += world.disksLost();
        conflicts += world.conflicts();
    }
    // The search is meaningful only if enough happens in it.
    EXPECT_GT(writes, static_cast<int>(count) * 50);
    EXPECT_GT(reads, static_cast<int>(count) * 50);
    EXPECT_GT(terms, static_cast<int>(count) * 3);
    EXPECT_GT(disksLost, static_cast<int>(count));
    EXPECT_GT(conflicts, static_cast<int>(count));
    std::cout << count << " schedules: " << writes << " writes, " << conflicts << " conflicts, " << reads
              << " reads, " << disksLost << " lost disks\n";
}

// Whether a restarted core remembers to whom it promised the lease matters only while an isolated holder is
// still alive.
TEST(CoreSearch, NoScheduleWithAnIsolatedHolderBreaksAnInvariant) {
    const uint32_t begin = numberFromEnvironment("CONSENSUS_FIRST", 1),
                   count = numberFromEnvironment("CONSENSUS_SCHEDULES", 100);
    for (uint32_t seed = begin; seed < begin + count; ++seed) {
        sim::Plan plan = planOf(seed, Defect::none);
        plan.isolatesHolder = true;
        EXPECT_EQ(sim::World(plan).run(), "") << "seed " << seed;
    }
}

int schedulesUntilDetected(Defect defect, int most, bool isolatesHolder = false) {
    for (int seed = 1; seed <= most; ++seed) {
        sim::Plan plan = planOf(static_cast<uint32_t>(seed), defect);
        plan.isolatesHolder = isolatesHolder;
        const std::string broken = sim::World(plan).run();
        if (broken.empty()) continue;
        std::cout << "caught by schedule " << broken << "\n";
        return seed;
    }
    return -1;
}

sim::Plan planWithVotersChanges(uint32_t seed, Defect defect) {
    static const std::pair<int, int> shapes[] = {{3, 1}, {5, 1}, {5, 2}, {3, 1}};
    const auto [cores, losses] = shapes[seed % 4];
    return {seed, cores, losses, defect, true, 40, true, 2};
}

TEST(CoreSearch, NoScheduleWithVotersChangesBreaksAnInvariant) {
    const uint32_t begin = numberFromEnvironment("CONSENSUS_FIRST", 1);
    const uint32_t count = numberFromEnvironment("CONSENSUS_SCHEDULES", 200);
    int writes = 0, changes = 0, disksLost = 0;
    for (uint32_t seed = begin; seed < begin + count; ++seed) {
        sim::World world(planWithVotersChanges(seed, Defect::none));
        EXPECT_EQ(world.run(), "") << "seed " << seed;
        writes += world.doneWrites();
        changes += world.changes();
        disksLost += world.disksLost();
    }
    EXPECT_GT(writes, static_cast<int>(count) * 50);
    EXPECT_GT(changes, static_cast<int>(count) * 2);
    EXPECT_GT(disksLost, static_cast<int>(count));
    std::cout << count << " schedules: " << writes << " writes, " << changes << " changes, " << disksLost
              << " lost disks\n";
}

int votersChangesUntilDetected(Defect defect, int most) {
    for (int seed = 1; seed <= most; ++seed) {
        if (sim::World(planWithVotersChanges(static_cast<uint32_t>(seed), defect)).run().empty()) continue;
        std::cout << "caught at schedule " << seed << "\n";
        return seed;
    }
    return -1;
}
TEST(CoreSearch, CatchesVotersThatSkipTheTakeover) {
    EXPECT_GT(votersChangesUntilDetected(Defect::skipsTakeover, 400), 0);
}
TEST(CoreSearch, CatchesAnEmptyDiskThatTakesOver) {
    EXPECT_GT(votersChangesUntilDetected(Defect::emptyDiskTakesOver, 600), 0);
}
TEST(CoreSearch, CatchesACoreThatSkipsRecovery) {
    EXPECT_GT(schedulesUntilDetected(Defect::skipsRecovery, 100), 0);
}
TEST(CoreSearch, CatchesEmptyRecoverReplies) {
    EXPECT_GT(schedulesUntilDetected(Defect::sendsEmptyRecoverReply, 300), 0);
}
TEST(CoreSearch, CatchesAReplyBeforeSync) {
    EXPECT_GT(schedulesUntilDetected(Defect::ackBeforeSync, 300), 0);
}
TEST(CoreSearch, CatchesAReadWithoutWriteBack) {
    EXPECT_GT(schedulesUntilDetected(Defect::noWriteBack, 300), 0);
}
TEST(CoreSearch, CatchesAnAcceptorThatIgnoresItsClaims) {
    EXPECT_GT(schedulesUntilDetected(Defect::ignoresClaims, 100), 0);
}
TEST(CoreSearch, CatchesAWriterThatIgnoresTheAcceptedValue) {
    EXPECT_GT(schedulesUntilDetected(Defect::ignoresAcceptedValue, 100), 0);
}
TEST(CoreSearch, CatchesPromisesForgottenByARestart) {
    EXPECT_GT(schedulesUntilDetected(Defect::forgetsPromises, 100), 0);
}
TEST(CoreSearch, CatchesAVoteRightAfterARestart) {
    EXPECT_GT(schedulesUntilDetected(Defect::votesRightAfterRestart, 300), 0);
}
TEST(CoreSearch, CatchesAHolderBeyondItsLease) {
    EXPECT_GT(schedulesUntilDetected(Defect::holdsExpiredLease, 100), 0);
}
TEST(CoreSearch, CatchesARefusedRepeatedWrite) {
    EXPECT_GT(schedulesUntilDetected(Defect::refusesRepeatedWrites, 100), 0);
}
TEST(CoreSearch, CatchesAReusedTerm) { EXPECT_GT(schedulesUntilDetected(Defect::reusesTerm, 100), 0); }

// Measures how many schedules one defect breaks, e.g. with CONSENSUS_DEFECT=4 CONSENSUS_SCHEDULES=300.
TEST(CoreSearch, CountsSchedulesBrokenByOneDefect) {
    const char* wanted = std::getenv("CONSENSUS_DEFECT");
    if (!wanted) GTEST_SKIP() << "for measuring: CONSENSUS_DEFECT, CONSENSUS_SCHEDULES";
    const char* count = std::getenv("CONSENSUS_SCHEDULES");
    int broken = 0, first = 0;
    const int all = count ? std::atoi(count) : 300;
    for (int seed = 1; seed <= all; ++seed) {
        const auto defect = static_cast<Defect>(std::atoi(wanted));
        const std::string why = sim::World(planOf(static_cast<uint32_t>(seed), defect)).run();
        if (why.empty()) continue;
        if (++broken == 1) first = seed, std::printf("%s\n", why.c_str());
    }
    std::printf("defect %s: first at %d, %d of %d\n", wanted, first, broken, all);
}

// Two of three seeds lose their disks before the voters are decided: no core restarts the bootstrap, and no
// promise is forgotten. In schedules where this does not happen everything must work as usual.
TEST(CoreSearch, LosingSeedDisksBeforeVotersAreAgreedForgetsNothing) {
    int startBlocked = 0;
    for (uint32_t seed = 1; seed <= 120; ++seed) {
        sim::Plan plan{seed, seed % 2 ? 5 : 9, 2, Defect::none, true, 12};
        plan.losesSeedDisks = true;
        sim::World world(plan);
        EXPECT_EQ(world.run(), "") << "seed " << seed;
        startBlocked += world.startBlocked();
    }
    EXPECT_GT(startBlocked, 20);
}

TEST(CoreSearch, CatchesAStalePromiseOnDisk) {
    EXPECT_GT(schedulesUntilDetected(Defect::stalePromise, 100, true), 0);
}

}  // namespace
}  // namespace petrelpond::consensus
