#include "system/scaler/apportion.hpp"

#include <gtest/gtest.h>

#include <numeric>
#include <random>

namespace petrelpond::scaler {
namespace {

// The definition: one slot after another, each to the sender that lacks most.
std::vector<uint64_t> oneAfterAnother(const std::vector<double>& lacks, uint64_t free) {
    std::vector<uint64_t> given(lacks.size(), 0);
    while (free > 0) {
        size_t neediest = lacks.size();
        double most = 0.5;
        for (size_t i = 0; i < lacks.size(); ++i) {
            const double lack = lacks[i] - static_cast<double>(given[i]);
            if (lack > most) most = lack, neediest = i;
        }
        if (neediest == lacks.size()) break;
        ++given[neediest];
        --free;
    }
    return given;
}

// Eighths are exact in a double, so that both ways see the same lacks on every processor.
TEST(Apportion, isThatOfHandingOutOneSlotAfterAnother) {
    for (uint32_t seed = 1; seed <= 3000; ++seed) {
        std::mt19937 random(seed);
        const uint32_t range = seed % 3 == 0 ? 2000 : 60;
        std::vector<double> lacks(1 + random() % 9);
        for (double& lack : lacks)
            lack = static_cast<double>(random() % range) / 8 - static_cast<double>(range) / 32;
        const uint64_t free = random() % range;
        ASSERT_EQ(apportionSlots(lacks, free), oneAfterAnother(lacks, free)) << "seed " << seed;
    }
}

TEST(Apportion, givesNothingWhereNobodyLacksAndNoMoreThanIsFree) {
    EXPECT_TRUE(apportionSlots({}, 5).empty());
    EXPECT_EQ(apportionSlots({0.5, -3, 0}, 5), (std::vector<uint64_t>{0, 0, 0}));
    EXPECT_EQ(apportionSlots({7, 7}, 0), (std::vector<uint64_t>{0, 0}));
    EXPECT_EQ(apportionSlots({0.6, 4.4}, 1), (std::vector<uint64_t>{0, 1}));
}

// Guards against work that grows with the slots of an unlimited function: these would take hours one by one.
TEST(Apportion, dividesMoreSlotsThanCouldBeHandedOutOneByOne) {
    const double unlimited = 2'147'483'647;
    std::vector<double> lacks(460, unlimited * 88'000 / 460);
    const uint64_t free = 2'147'483'647ull * 40'000;
    const std::vector<uint64_t> given = apportionSlots(lacks, free);
    EXPECT_EQ(std::accumulate(given.begin(), given.end(), uint64_t{0}), free);
    const auto [least, most] = std::minmax_element(given.begin(), given.end());
    EXPECT_LE(*most - *least, 1u);
}

}  // namespace
}  // namespace petrelpond::scaler
