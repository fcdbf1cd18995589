// The promises that an acceptor remembers are bounded, which never keeps it from promising more.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "system/consensus/world_for_test.hpp"

namespace petrelpond::consensus {
namespace {

// One core lost its disk and waits for another that is down, so nothing can be written for ten seconds while
// operators submit one version after another to the remaining core. Returns an empty string if writes succeed
// once all are back.
std::string manyVersionsWithoutAMajority(uint32_t seed, Defect defect = Defect::none) {
    sim::Plan plan{seed, 3, 1, defect, false, 25, true};
    plan.serviceTimings = true;
    sim::World world(plan);
    world.loss_ = 0;
    world.at(sim::World::millis(6000), [&world] {
        world.kill(2);
        world.kill(1);
        world.nodes_[1].disk.reset();
        world.start(1, false);
    });
    for (int i = 0; i < 100; ++i) {
        world.at(sim::World::millis(7000 + 100 * i),
                 [&world] { world.writeAt(0, world.randomValue(++world.version_)); });
    }
    world.at(sim::World::millis(18000), [&world] { world.start(2, false); });
    return world.run();
}

TEST(PromisedBallots, ManyVersionsWithoutAMajorityDoNotBlockTheRegister) {
    for (uint32_t seed = 1; seed <= 10; ++seed) EXPECT_EQ(manyVersionsWithoutAMajority(seed), "") << seed;
}

TEST(PromisedBallots, DetectsAcceptorThatRefusesWhenItsListIsFull) {
    std::string broken;
    for (uint32_t seed = 1; broken.empty() && seed <= 10; ++seed)
        broken = manyVersionsWithoutAMajority(seed, Defect::refusesClaimsWhenFull);
    EXPECT_EQ(broken, "no writes done after all has healed");
}

// No promise for a version ever decreases, whatever is evicted and however often lists are merged.
TEST(PromisedBallots, PromisesNeverDecrease) {
    std::mt19937 random(1);
    for (int run = 0; run < 200; ++run) {
        PromisedBallots mine, other;
        std::map<int64_t, uint64_t> promised;  // lower bounds for what `mine` must report
        int64_t held = 0;
        for (int i = 0; i < 400; ++i) {
            const int64_t version = held + 1 + static_cast<int64_t>(random() % 200);
            const int action = static_cast<int>(random() % 100);
            if (action < 70) {
                const uint64_t ballot = mine.promisedFor(version) + 1 + random() % 50;
                mine.promise(version, ballot, held);
                promised[version] = ballot;
            } else if (action < 90) {
                other.promise(version, other.promisedFor(version) + 1 + random() % 50, 0);
            } else if (action < 96) {
                mine.mergeHigher(other, held);
                for (int64_t each = held + 1; each <= held + 250; ++each)
                    promised[each] = std::max(promised[each], other.promisedFor(each));
            } else {  // accept a text under the promised ballot
                held = version;
                mine.promise(version, mine.promisedFor(version), held);
                promised[version] = mine.promisedFor(version);
                mine.forgetBelow(version);
                promised.erase(promised.begin(), promised.lower_bound(version));
            }
            ASSERT_LE(mine.listed().size(), PromisedBallots::kMaxListed);
            ASSERT_TRUE(held == 0 || mine.isListed(held));
            for (const auto& [each, ballot] : promised)
                ASSERT_GE(mine.promisedFor(each), ballot) << run << " " << i;
        }
    }
}

}  // namespace
}  // namespace petrelpond::consensus
