// Detection of disks that were rolled back to an earlier state.
#include <gtest/gtest.h>

#include "system/consensus/world_for_test.hpp"

namespace petrelpond::consensus {
namespace {

// Rolls a disk back to its contents before a hundred changes, as if restored from a copy: no acknowledged
// write may be lost, and the machine must rebuild as after losing its disk. With `powerLost`, all machines
// lose power at that moment too.
std::string rollBackDisk(Defect defect, bool powerLost) {
    sim::Plan plan{11, 3, 1, defect, false, 30, true};
    plan.serviceTimings = true;
    sim::World w(plan);
    w.loss_ = 0;
    std::optional<DurableState> copy;
    std::string failure;
    const auto isolate = [&w](size_t i, bool isolated) {
        for (size_t k = 0; k < 3; ++k) {
            if (isolated && k != i) w.cut_.insert({k, i}), w.cut_.insert({i, k});
        }
        if (!isolated) w.cut_.clear();
    };
    w.at(sim::World::millis(6000), [&] { copy = w.nodes_[0].disk; });
    // Node 1 misses the last changes before the disk of node 0 is rolled back.
    w.at(sim::World::millis(18000), [&] { isolate(1, true); });
    w.at(sim::World::millis(24000), [&] {
        if (powerLost) w.powerLoss();
        w.kill(0);
        w.nodes_[0].disk = copy;
        w.kill(2);
        isolate(1, false);
        w.start(0, false);
        w.start(1, false);
        w.at(sim::World::millis(3000), [&] {
            if (w.nodes_[0].disk->diskId == copy->diskId) failure = "a rolled back disk was trusted";
            w.start(2, false);
        });
    });
    const std::string violation = w.run();
    return violation.empty() ? failure : violation;
}
TEST(Core, RolledBackDiskCountsAsLost) {
    EXPECT_EQ(rollBackDisk(Defect::none, false), "");
    EXPECT_EQ(rollBackDisk(Defect::none, true), "");
}
TEST(Core, DetectsMemberThatTrustsARolledBackDisk) {
    EXPECT_NE(rollBackDisk(Defect::trustsRolledBackDisk, false), "");
}

}  // namespace
}  // namespace petrelpond::consensus
