// Long histories: thousands of writes with restarts, lost disks, freezes and network cuts. The size of a
// disk's state stays bounded, and all cores converge once writes pause.
#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

#include "system/consensus/world_for_test.hpp"
#include "system/network/environment_for_test.hpp"

namespace petrelpond::consensus {
namespace {

// Simulated seconds with faults; CONSENSUS_SECONDS=6000 runs more than ten thousand writes.
uint32_t requestedSeconds() { return numberFromEnvironment("CONSENSUS_SECONDS", 300); }

TEST(History, AllCoresConvergeAndNoDiskGrows) {
    static const std::pair<int, int> shapes[] = {{3, 1}, {5, 2}, {9, 2}};
    uint32_t seed = 40;
    for (const auto& [cores, losses] : shapes) {
        sim::Plan plan{++seed, cores, losses, Defect::none, true, static_cast<double>(requestedSeconds())};
        plan.serviceTimings = true;
        sim::World world(plan);
        EXPECT_EQ(world.run(), "") << cores << " cores";
        std::cout << cores << " cores: " << world.doneWrites() << " writes, " << world.disksLost()
                  << " lost disks\n";
        EXPECT_GT(world.doneWrites(), requestedSeconds());
        for (const auto& node : world.nodes_) {
            ASSERT_TRUE(node.disk);
            EXPECT_LE(node.disk->claims.listed().size(), 64u);
            EXPECT_LE(node.disk->knownDisks.size(), static_cast<size_t>(cores));
            EXPECT_LE(node.disk->joinedDisks.size(), static_cast<size_t>(cores));
        }
    }
}

}  // namespace
}  // namespace petrelpond::consensus
