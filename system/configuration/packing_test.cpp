#include "system/configuration/packing.hpp"

#include <gtest/gtest.h>

#include <random>

#include "system/configuration/configuration.hpp"

namespace petrelpond::configuration {
namespace {

constexpr size_t kMost = 8u << 20;

// Routes that repeat themselves but for their names, as an operator's do.
std::string configurationText(int version, int routes, int changedRoute = -1) {
    std::mt19937 random(7);
    std::string text = "{\"config_version\":" + std::to_string(version) + ",\"route_table\":[";
    for (int i = 0; i < routes; ++i) {
        const uint32_t name = random();
        text += (i > 0 ? ",{" : "{") + std::string("\"name\":\"r-") + std::to_string(name) +
                "\",\"host_name\":\"h" + std::to_string(name % 9973) +
                ".example\",\"timeout_ms\":" + (i == changedRoute ? "4100" : "4000") + "}";
    }
    return text + "]}";
}

TEST(Packing, WhatWasPackedComesBack) {
    for (const std::string& text : {std::string(), std::string("{}"), configurationText(7, 1400)})
        EXPECT_EQ(unpacked(packed(text), kMost), text);
}

TEST(Packing, AChangeOfOneRouteInThousandsTakesAFewBytes) {
    const std::string base = configurationText(7, 3000), text = configurationText(9, 3000, 1500);
    const std::string change = packedChange(base, text);
    EXPECT_LT(change.size(), 200u);
    EXPECT_GT(packed(text).size(), 10'000u);
    EXPECT_EQ(unpackedChange(base, change, kMost), text);
}

TEST(Packing, TheLargestTextsAreStillMatchedFromEndToEnd) {
    const std::string base = configurationText(7, 80'000), text = configurationText(9, 80'000, 10);
    ASSERT_GT(base.size(), 5u << 20);
    const std::string change = packedChange(base, text);
    EXPECT_LT(change.size(), 2'000u);
    EXPECT_EQ(unpackedChange(base, change, kMost), text);
}

TEST(Packing, AnotherBaseNeverGivesTheText) {
    const std::string base = configurationText(7, 500), text = configurationText(9, 500, 250);
    const std::string change = packedChange(base, text);
    const std::string otherBase = configurationText(8, 500, 100);
    EXPECT_NE(unpackedChange(otherBase, change, kMost), text);
    EXPECT_NE(unpacked(change, kMost), text);
}

TEST(Packing, WhatClaimsToBeTooLongIsNotUnpacked) {
    const std::string text = configurationText(7, 500);
    EXPECT_EQ(unpacked(packed(text), text.size() - 1), std::nullopt);
    EXPECT_EQ(unpacked(packed(text), text.size()), text);
}

TEST(Packing, APlainTextFromAnOlderDiskIsTakenAsItIs) {
    const std::string text = configurationText(7, 3);
    EXPECT_EQ(unpackedOrPlain(text, kMost), text);
    EXPECT_EQ(unpackedOrPlain(packed(text), kMost), text);
    EXPECT_EQ(unpackedOrPlain("", kMost), std::string());
}

// Fixed seeds; CI plays them all. What is damaged gives nothing, or a text that its digest tells apart.
TEST(Packing, DamagedBytesNeverPassForTheText) {
    const std::string base = configurationText(7, 200), text = configurationText(9, 200, 100);
    const std::string whole = packed(text), change = packedChange(base, text);
    std::mt19937 random(11);
    for (int play = 0; play < 4000; ++play) {
        std::string bytes = play % 2 ? whole : change;
        const int damages = 1 + static_cast<int>(random() % 3);
        for (int i = 0; i < damages; ++i) {
            if (random() % 8 == 0)
                bytes.resize(random() % (bytes.size() + 1));
            else if (!bytes.empty())
                bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
        }
        if (bytes == (play % 2 ? whole : change)) continue;
        const auto got = play % 2 ? unpacked(bytes, kMost) : unpackedChange(base, bytes, kMost);
        const bool passes = got && *got != text && digest(*got) == digest(text);
        EXPECT_FALSE(passes) << play;
    }
}

}  // namespace
}  // namespace petrelpond::configuration
