#include "system/agent/config_request_policy.hpp"

#include <gtest/gtest.h>

#include <set>

namespace petrelpond::agent {
namespace {

constexpr ConfigOffer kInContact{true, true};
constexpr ConfigOffer kOutOfContact{true, false};

Instant at(int ms) { return Instant::atMicros(int64_t(ms) * 1000); }

// Versions told of at 0, 5 and 150 ms are one fetch; agents do not ask together; the first is not waited for.
TEST(ConfigRequestPolicy, SeveralVersionsAreOneFetchAndNotAllAskTogether) {
    std::set<int> times;
    for (uint32_t chance = 1; chance <= 60; ++chance) {
        ConfigRequestPolicy a(chance);
        EXPECT_TRUE(a.shouldRequest(at(0), false, kInContact));
        for (int t : {0, 5, 150}) EXPECT_FALSE(a.shouldRequest(at(t), true, kInContact));
        int t = 150;
        while (!a.shouldRequest(at(t), true, kInContact)) ASSERT_LT(t += 5, 460);
        EXPECT_TRUE(a.shouldRequest(at(t + 600), true, kInContact));  // asked in vain: again without a wait
        a.onConfigAccepted();
        EXPECT_FALSE(a.shouldRequest(at(t + 700), true, kInContact));
        times.insert(t);
    }
    EXPECT_GT(times.size(), 20u);
}

// Beside a core that is cut off an agent that has just started holds out for one in contact, and takes what
// there is once that has taken too long.
TEST(ConfigRequestPolicy, TheFirstConfigurationComesFromACoreInContactWhereOneIsHeardInTime) {
    ConfigRequestPolicy soon(1);
    EXPECT_FALSE(soon.shouldRequest(at(0), false, kOutOfContact));
    EXPECT_FALSE(soon.shouldRequest(at(2000), false, kOutOfContact));
    EXPECT_TRUE(soon.shouldRequest(at(2100), false, kInContact));
    ConfigRequestPolicy never(1);
    EXPECT_FALSE(never.shouldRequest(at(0), false, kOutOfContact));
    EXPECT_FALSE(never.shouldRequest(at(2499), false, kOutOfContact));
    EXPECT_TRUE(never.shouldRequest(at(2500), false, kOutOfContact));
    EXPECT_FALSE(never.shouldRequest(at(2501), false, ConfigOffer{false, true}));
}

// Bytes between zones: a core of the own zone is asked, one of another only where that does not help.
TEST(ConfigRequestPolicy, ACoreOfAnotherZoneIsAskedOnlyAfterAWhile) {
    constexpr ConfigOffer far{true, true, false}, near{true, true, true};
    ConfigRequestPolicy first(1);
    EXPECT_FALSE(first.shouldRequest(at(0), false, far));
    EXPECT_TRUE(first.shouldRequest(at(10), false, near));
    EXPECT_FALSE(first.shouldRequest(at(399), false, far));
    EXPECT_TRUE(first.shouldRequest(at(400), false, far));
    ConfigRequestPolicy later(1);
    int nearAt = 0, farAt = 0;
    while (!later.shouldRequest(at(nearAt), true, near)) ASSERT_LT(++nearAt, 460);
    while (!later.shouldRequest(at(farAt), true, far)) ASSERT_LT(++farAt, 860);
    EXPECT_EQ(farAt, nearAt + 400);
}

}  // namespace
}  // namespace petrelpond::agent
