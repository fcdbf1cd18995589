// Runs planners and proxies together in seeded random schedules and searches for a slot that two proxies use
// at once, see slots_sim_for_test.hpp.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "system/proxy/slots_sim_for_test.hpp"

namespace petrelpond::proxy {
namespace {

int numberFromEnvironmentOr(const char* name, int otherwise) {
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
}

TEST(SlotsSearch, NoScheduleViolatesAnInvariant) {
    // For a long search set SLOTS_SCHEDULES=10000; SLOTS_FIRST sets the first seed.
    const int count = numberFromEnvironmentOr("SLOTS_SCHEDULES", 300),
              first = numberFromEnvironmentOr("SLOTS_FIRST", 1);
    long executed = 0, elections = 0, untracked = 0, rejected = 0;
    for (int seed = first; seed < first + count; ++seed) {
        slots::SlotSimulation world({static_cast<uint32_t>(seed)});
        EXPECT_EQ(world.run(), "");
        executed += world.executedCount(), elections += world.electionCount(),
            untracked += world.untrackedCount(), rejected += world.rejectedCount();
    }
    std::printf(
        "%d schedules: %ld calls executed, %ld rejected as full, %ld elections, %ld untracked senders\n",
        count, executed, rejected, elections, untracked);
    // The search is only meaningful if the schedules exercise enough events.
    EXPECT_GT(executed, count * 100);
    EXPECT_GT(elections, count * 3);
    EXPECT_GT(untracked, count);
}

int firstSeedThatFails(slots::Defect defect, int most) {
    for (int seed = 1; seed <= most; ++seed) {
        if (!slots::SlotSimulation({static_cast<uint32_t>(seed), defect}).run().empty()) return seed;
    }
    return -1;
}

TEST(SlotsSearch, DetectsSlotReturnedEarly) {
    EXPECT_GT(firstSeedThatFails(slots::Defect::returnsSlotsEarly, 5), 0);
}
TEST(SlotsSearch, DetectsPlannerThatGrantsBeforeReports) {
    EXPECT_GT(firstSeedThatFails(slots::Defect::grantsBeforeReports, 50), 0);
}
TEST(SlotsSearch, DetectsGrantsOfALowerTerm) {
    EXPECT_GT(firstSeedThatFails(slots::Defect::acceptsStaleTerms, 100), 0);
}
TEST(SlotsSearch, DetectsSilentSenderTreatedAsEnded) {
    EXPECT_GT(firstSeedThatFails(slots::Defect::treatsSilentAsEnded, 50), 0);
}

// Traces one instance in one schedule, e.g. SLOTS_SEED=69 SLOTS_FOLLOW=i2.
TEST(SlotsSearch, OneSchedule) {
    const int seed = numberFromEnvironmentOr("SLOTS_SEED", 0);
    if (seed == 0) GTEST_SKIP() << "set SLOTS_SEED and SLOTS_FOLLOW to trace one schedule";
    slots::SimulationConfig plan{static_cast<uint32_t>(seed)};
    plan.tracedInstance = std::getenv("SLOTS_FOLLOW");
    EXPECT_EQ(slots::SlotSimulation(plan).run(), "");
}

TEST(SlotsSearch, CountSeedsThatDetectOneDefect) {
    const int defect = numberFromEnvironmentOr("SLOTS_TWIN", 0),
              all = numberFromEnvironmentOr("SLOTS_SCHEDULES", 100);
    if (defect == 0) GTEST_SKIP() << "set SLOTS_TWIN and SLOTS_SCHEDULES to count detections";
    int broken = 0, first = 0;
    for (int seed = 1; seed <= all; ++seed) {
        const std::string why =
            slots::SlotSimulation({static_cast<uint32_t>(seed), static_cast<slots::Defect>(defect)}).run();
        if (why.empty()) continue;
        if (++broken == 1) first = seed, std::printf("%s\n", why.c_str());
    }
    std::printf("defect %d: first detected by seed %d, detected by %d of %d seeds\n", defect, first, broken,
                all);
}

}  // namespace
}  // namespace petrelpond::proxy
