#include "system/agent/asking.hpp"

#include <gtest/gtest.h>

#include <set>

namespace petrelpond::agent {
namespace {

Instant at(int ms) { return Instant::atMicros(int64_t(ms) * 1000); }

// Versions told of at 0, 5 and 150 ms are one fetch; agents do not ask together; the first is not waited for.
TEST(Asking, SeveralVersionsAreOneFetchAndNotAllAskTogether) {
    std::set<int> times;
    for (uint32_t chance = 1; chance <= 60; ++chance) {
        Asking a(chance);
        EXPECT_TRUE(a.due(at(0), false));
        for (int t : {0, 5, 150}) EXPECT_FALSE(a.due(at(t), true));
        int t = 150;
        while (!a.due(at(t), true)) ASSERT_LT(t += 5, 460);
        EXPECT_TRUE(a.due(at(t + 600), true));  // asked in vain: again without a wait
        a.taken();
        EXPECT_FALSE(a.due(at(t + 700), true));
        times.insert(t);
    }
    EXPECT_GT(times.size(), 20u);
}

}  // namespace
}  // namespace petrelpond::agent
