#include "system/agent/asking.hpp"

#include <gtest/gtest.h>

#include <set>

namespace petrelpond::agent {
namespace {

constexpr Offer kCurrent{true, true};
constexpr Offer kPerhapsOld{true, false};

Instant at(int ms) { return Instant::atMicros(int64_t(ms) * 1000); }

// Versions told of at 0, 5 and 150 ms are one fetch; agents do not ask together; the first is not waited for.
TEST(Asking, SeveralVersionsAreOneFetchAndNotAllAskTogether) {
    std::set<int> times;
    for (uint32_t chance = 1; chance <= 60; ++chance) {
        Asking a(chance);
        EXPECT_TRUE(a.due(at(0), false, kCurrent));
        for (int t : {0, 5, 150}) EXPECT_FALSE(a.due(at(t), true, kCurrent));
        int t = 150;
        while (!a.due(at(t), true, kCurrent)) ASSERT_LT(t += 5, 460);
        EXPECT_TRUE(a.due(at(t + 600), true, kCurrent));  // asked in vain: again without a wait
        a.taken();
        EXPECT_FALSE(a.due(at(t + 700), true, kCurrent));
        times.insert(t);
    }
    EXPECT_GT(times.size(), 20u);
}

// Beside a core that is cut off an agent that has just started holds out for one in contact, and takes what
// there is once that has taken too long.
TEST(Asking, TheFirstConfigurationComesFromACoreInContactWhereOneIsHeardInTime) {
    Asking soon(1);
    EXPECT_FALSE(soon.due(at(0), false, kPerhapsOld));
    EXPECT_FALSE(soon.due(at(2000), false, kPerhapsOld));
    EXPECT_TRUE(soon.due(at(2100), false, kCurrent));
    Asking never(1);
    EXPECT_FALSE(never.due(at(0), false, kPerhapsOld));
    EXPECT_FALSE(never.due(at(2499), false, kPerhapsOld));
    EXPECT_TRUE(never.due(at(2500), false, kPerhapsOld));
    EXPECT_FALSE(never.due(at(2501), false, Offer{false, true}));
}

// Bytes between zones: a core of the own zone is asked, one of another only where that does not help.
TEST(Asking, ACoreOfAnotherZoneIsAskedOnlyAfterAWhile) {
    constexpr Offer far{true, true, false}, near{true, true, true};
    Asking first(1);
    EXPECT_FALSE(first.due(at(0), false, far));
    EXPECT_TRUE(first.due(at(10), false, near));
    EXPECT_FALSE(first.due(at(399), false, far));
    EXPECT_TRUE(first.due(at(400), false, far));
    Asking later(1);
    int nearAt = 0, farAt = 0;
    while (!later.due(at(nearAt), true, near)) ASSERT_LT(++nearAt, 460);
    while (!later.due(at(farAt), true, far)) ASSERT_LT(++farAt, 860);
    EXPECT_EQ(farAt, nearAt + 400);
}

}  // namespace
}  // namespace petrelpond::agent
