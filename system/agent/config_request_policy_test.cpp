#include "system/agent/config_request_policy.hpp"

#include <gtest/gtest.h>

#include <set>

namespace petrelpond::agent {
namespace {

constexpr ConfigOffer kInContact{true, true};
constexpr ConfigOffer kOutOfContact{true, false};

Instant at(int ms) { return Instant::atMicros(int64_t(ms) * 1000); }

// Versions announced at 0, 5 and 150 ms cause one fetch; agents do not ask at the same moment; the first
// configuration is not delayed.
TEST(ConfigRequestPolicy, SeveralVersionsAreOneFetchAndNotAllAskTogether) {
    std::set<int> times;
    for (uint32_t seed = 1; seed <= 60; ++seed) {
        ConfigRequestPolicy a(seed);
        EXPECT_TRUE(a.shouldRequest(at(0), false, kInContact));
        for (int t : {0, 5, 150}) EXPECT_FALSE(a.shouldRequest(at(t), true, kInContact));
        int t = 150;
        while (!a.shouldRequest(at(t), true, kInContact)) ASSERT_LT(t += 5, 460);
        EXPECT_TRUE(
            a.shouldRequest(at(t + 600), true, kInContact));  // the request failed: retried without a delay
        a.onConfigAccepted();
        EXPECT_FALSE(a.shouldRequest(at(t + 700), true, kInContact));
        times.insert(t);
    }
    EXPECT_GT(times.size(), 20u);
}

// With only a cut-off core, a new agent waits for one in contact, and after kMaxContactWait takes what is
// available.
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

// Saves traffic between zones: a core of another zone is asked only if none of the own zone helps in time.
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
