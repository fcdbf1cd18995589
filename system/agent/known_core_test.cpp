#include "system/agent/known_core.hpp"

#include <gtest/gtest.h>

namespace petrelpond::agent {
namespace {

Instant at(int seconds) { return Instant() + Span::seconds(seconds); }

TEST(KnownCore, ForgottenAfterAMinuteOfSilenceUnlessItIsASeedTheHolderOrLinked) {
    EXPECT_FALSE(canForgetCore({false, false, at(0)}, at(60)));
    EXPECT_TRUE(canForgetCore({false, false, at(0)}, at(61)));
    EXPECT_FALSE(canForgetCore({true, false, at(0)}, at(1000)));
    EXPECT_FALSE(canForgetCore({false, true, at(0)}, at(1000)));
}

TEST(KnownCore, TheOneThatIsSilentForLongestMakesRoom) {
    std::map<std::string, CoreContact> cores = {{"a", {true, false, at(0)}},
                                                {"b", {false, true, at(1)}},
                                                {"c", {false, false, at(3)}},
                                                {"d", {false, false, at(2)}}};
    EXPECT_EQ(findLongestSilentCore(cores), "d");
    cores.erase("d"), cores.erase("c");
    EXPECT_EQ(findLongestSilentCore(cores), "");
}

}  // namespace
}  // namespace petrelpond::agent
