// Searches seeded schedules of planners and senders together for a slot with two owners, see
// slots_sim_for_test.hpp.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "system/proxy/slots_sim_for_test.hpp"

namespace petrelpond::proxy {
namespace {

int fromEnvironment(const char* name, int otherwise) {
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
}

TEST(SlotsSearch, NoScheduleBreaksAnInvariant) {
    // SLOTS_SCHEDULES=10000 for a long search, SLOTS_FIRST to begin elsewhere.
    const int count = fromEnvironment("SLOTS_SCHEDULES", 300), first = fromEnvironment("SLOTS_FIRST", 1);
    long ran = 0, holders = 0, strays = 0, full = 0;
    for (int seed = first; seed < first + count; ++seed) {
        slots::World world({static_cast<uint32_t>(seed)});
        EXPECT_EQ(world.run(), "");
        ran += world.ran(), holders += world.holders(), strays += world.strays(), full += world.full();
    }
    std::printf("%d schedules: %ld calls ran, %ld turned away, %ld holders, %ld times a sender unknown\n",
                count, ran, full, holders, strays);
    // The search is worth nothing if nothing happens in it.
    EXPECT_GT(ran, count * 100);
    EXPECT_GT(holders, count * 3);
    EXPECT_GT(strays, count);
}

int schedulesUntilCaught(slots::Defect defect, int most) {
    for (int seed = 1; seed <= most; ++seed) {
        if (!slots::World({static_cast<uint32_t>(seed), defect}).run().empty()) return seed;
    }
    return -1;
}

TEST(SlotsSearch, ASlotThatIsGivenBackEarlyIsCaught) {
    EXPECT_GT(schedulesUntilCaught(slots::Defect::givesBackEarly, 5), 0);
}
TEST(SlotsSearch, AHolderThatDoesNotListenFirstIsCaught) {
    EXPECT_GT(schedulesUntilCaught(slots::Defect::hastyHolder, 50), 0);
}
TEST(SlotsSearch, GrantsOfALowerTermAreCaught) {
    EXPECT_GT(schedulesUntilCaught(slots::Defect::noFence, 100), 0);
}
TEST(SlotsSearch, ASilentSenderThatCountsAsEndedIsCaught) {
    EXPECT_GT(schedulesUntilCaught(slots::Defect::silentIsEnded, 50), 0);
}

// SLOTS_SEED=69 SLOTS_FOLLOW=i2: what happened to that instance.
TEST(SlotsSearch, OneSchedule) {
    const int seed = fromEnvironment("SLOTS_SEED", 0);
    if (seed == 0) GTEST_SKIP() << "for a closer look: SLOTS_SEED, SLOTS_FOLLOW";
    slots::Plan plan{static_cast<uint32_t>(seed)};
    plan.follow = std::getenv("SLOTS_FOLLOW");
    EXPECT_EQ(slots::World(plan).run(), "");
}

TEST(SlotsSearch, CountOfOneDefect) {
    const int defect = fromEnvironment("SLOTS_TWIN", 0), all = fromEnvironment("SLOTS_SCHEDULES", 100);
    if (defect == 0) GTEST_SKIP() << "for measuring: SLOTS_TWIN, SLOTS_SCHEDULES";
    int broken = 0, first = 0;
    for (int seed = 1; seed <= all; ++seed) {
        const std::string why =
            slots::World({static_cast<uint32_t>(seed), static_cast<slots::Defect>(defect)}).run();
        if (why.empty()) continue;
        if (++broken == 1) first = seed, std::printf("%s\n", why.c_str());
    }
    std::printf("defect %d: first at %d, %d of %d\n", defect, first, broken, all);
}

}  // namespace
}  // namespace petrelpond::proxy
