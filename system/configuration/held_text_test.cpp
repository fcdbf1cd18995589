#include "system/configuration/held_text.hpp"

#include <gtest/gtest.h>

#include "system/configuration/configuration.hpp"

namespace petrelpond::configuration {
namespace {

using network::Config;
using network::Packing;

std::string textOf(int version) {
    std::string text = "{\"config_version\":" + std::to_string(version);
    for (int i = 0; i < 400; ++i) text += ",\"route-" + std::to_string(i * 7919 % 1000) + "\":4000";
    return text + "}";
}

TextId idOf(int version) { return {version, digest(textOf(version))}; }

HeldText coreAt(int from, int to) {
    HeldText core(8);
    for (int version = from; version <= to; ++version) core.adopt(idOf(version), textOf(version));
    return core;
}

Packing packingOf(const Config& config) { return static_cast<Packing>(config.packing); }

TEST(HeldText, FollowsByChangesAndGivesThemOnAsTheyCame) {
    HeldText core = coreAt(1, 1), sender, neighbour;
    EXPECT_EQ(sender.take(core.configFor(sender.id())), Taking::taken);
    EXPECT_EQ(neighbour.take(sender.configFor(neighbour.id())), Taking::taken);
    core.adopt(idOf(2), textOf(2));
    const Config change = core.configFor(sender.id());
    EXPECT_EQ(packingOf(change), Packing::change);
    EXPECT_LT(change.bytes.size(), 150u);
    EXPECT_EQ(sender.take(change), Taking::taken);
    EXPECT_EQ(sender.text(), textOf(2));
    const Config passedOn = sender.configFor(neighbour.id());
    EXPECT_EQ(passedOn.bytes, change.bytes);
    EXPECT_EQ(neighbour.take(passedOn), Taking::taken);
    EXPECT_EQ(neighbour.text(), textOf(2));
}

TEST(HeldText, VersionsBetweenAreNeverSent) {
    HeldText core = coreAt(1, 1), sender;
    sender.take(core.configFor({}));
    for (int version = 2; version <= 7; ++version) core.adopt(idOf(version), textOf(version));
    const Config change = core.configFor(sender.id());
    EXPECT_EQ(packingOf(change), Packing::change);
    EXPECT_EQ(sender.take(change), Taking::taken);
    EXPECT_EQ(sender.id(), idOf(7));
}

TEST(HeldText, ASenderThatStaysHundredsOfVersionsBehindGetsTheWhole) {
    HeldText core = coreAt(1, 1), sender;
    sender.take(core.configFor({}));
    for (int version = 2; version <= 302; ++version) core.adopt(idOf(version), textOf(version));
    const Config& whole = core.configFor(sender.id());
    EXPECT_EQ(packingOf(whole), Packing::whole);
    EXPECT_EQ(sender.take(whole), Taking::taken);
    EXPECT_EQ(sender.text(), textOf(302));
}

TEST(HeldText, AChangeFromAnotherBaseIsNotTaken) {
    HeldText core = coreAt(1, 2), sender;
    sender.adopt({1, 4711}, "the other text that has this version");
    EXPECT_EQ(sender.take(core.configFor(idOf(1))), Taking::otherBase);
    EXPECT_EQ(sender.id(), (TextId{1, 4711}));
    EXPECT_EQ(sender.take(core.configFor(sender.id())), Taking::taken);  // unknown to the core: the whole
}

TEST(HeldText, AChangeThatNamesOurBaseButWasMadeFromAnotherIsNotTaken) {
    HeldText core = coreAt(1, 2), sender;
    sender.adopt(idOf(1), textOf(1) + " with other bytes");
    EXPECT_EQ(sender.take(core.configFor(idOf(1))), Taking::damaged);
    EXPECT_EQ(sender.id(), idOf(1));
}

TEST(HeldText, WhatIsDamagedIsNeverHeld) {
    HeldText core = coreAt(1, 2);
    for (const TextId base : {TextId{}, idOf(1)}) {
        const Config sound = core.configFor(base);
        for (size_t at = 0; at < sound.bytes.size(); ++at) {
            HeldText sender;
            if (base.version > 0) sender.adopt(base, textOf(1));
            Config damaged = sound;
            damaged.bytes[at] ^= 0x20;
            const Taking how = sender.take(damaged);
            EXPECT_TRUE(how == Taking::damaged || sender.text() == textOf(2)) << at;
        }
    }
    Config renamed = core.configFor({});
    renamed.digest ^= 1;
    HeldText sender;
    EXPECT_EQ(sender.take(renamed), Taking::damaged);
    Config unknown = core.configFor({});
    unknown.packing = 9;
    EXPECT_EQ(sender.take(unknown), Taking::damaged);
}

TEST(HeldText, AnOlderTextOfferedAsNewsChangesNothing) {
    HeldText old = coreAt(1, 3), sender;
    sender.adopt(idOf(5), textOf(5));
    EXPECT_EQ(sender.take(old.configFor({})), Taking::older);
    EXPECT_EQ(sender.text(), textOf(5));
    Config again = sender.plain();
    EXPECT_EQ(sender.take(again), Taking::older);
}

TEST(HeldText, OfTwoTextsUnderOneVersionTheHigherDigestIsNewer) {
    const std::string one = "one", two = "two";
    const TextId a{4, digest(one)}, b{4, digest(two)};
    HeldText sender;
    ASSERT_TRUE(sender.adopt(std::min(a, b), a < b ? one : two));
    EXPECT_TRUE(sender.adopt(std::max(a, b), a < b ? two : one));
    EXPECT_FALSE(sender.adopt(std::min(a, b), a < b ? one : two));
}

TEST(HeldText, AChangeThatIsLongerThanTheWholeIsNotSent) {
    HeldText core(8);
    core.adopt({1, digest("x")}, "x");
    std::string repeating(5000, 'a');
    core.adopt({2, digest(repeating)}, repeating);
    HeldText sender;
    sender.adopt({1, digest("x")}, "x");
    const Config& config = core.configFor(sender.id());
    EXPECT_LE(config.bytes.size(), core.configFor({}).bytes.size());
    EXPECT_EQ(sender.take(config), Taking::taken);
}

}  // namespace
}  // namespace petrelpond::configuration
