// Membership, failure detection and dissemination among gossip nodes, in simulated time.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <set>

#include "system/gossip/fleet_for_test.hpp"

namespace petrelpond::gossip {
namespace {

class FleetSizes : public testing::TestWithParam<std::tuple<size_t, double>> {};

TEST_P(FleetSizes, AllPeersAreDiscoveredAndDeadPeersAreRemoved) {
    const auto [n, loss] = GetParam();
    for (uint32_t seed = 1; seed <= 3; ++seed) {
        Fleet f(n, loss, seed);
        const double t = f.runUntil(30, [&] { return f.leastKnownShare() == 1; });
        EXPECT_LE(t, loss > 0.2 ? 20 : 10) << "seed " << seed;
        f.run(10);
        // Live agents stay known, and the traffic is bounded.
        const size_t before = f.bytes, datagramsBefore = f.datagrams;
        double least = 1;
        for (int i = 0; i < 40; ++i) {
            f.run(0.5);
            least = std::min(least, f.leastKnownShare());
        }
        EXPECT_GE(least, loss > 0.2 && n < 10 ? 0.6 : 0.94) << "seed " << seed;
        const double each = static_cast<double>(f.bytes - before) / 20 / static_cast<double>(n);
        const size_t datagrams = f.datagrams - datagramsBefore;
        EXPECT_LE(each, 4500);
        const size_t gone = std::max<size_t>(1, n / 10);
        for (size_t i = 0; i < gone; ++i) f.kill(i);
        const double left = f.runUntil(60, [&] {
            for (size_t i = 0; i < gone; ++i)
                if (f.countBelieving(peer(i).name) > 0) return false;
            return true;
        });
        EXPECT_LE(left, 15) << "seed " << seed;
        f.run(60);
        for (size_t i = 0; i < gone; ++i) EXPECT_EQ(f.countBelieving(peer(i).name), 0u);
        // A restart with a higher incarnation and heartbeats from zero is known to all as fast as a first
        // start.
        f.start(0, 2);
        const double back = f.runUntil(60, [&] { return f.countBelieving("edge-0") == n - gone + 1; });
        EXPECT_LE(back, 10) << "seed " << seed;
        std::printf(
            "n %zu loss %.0f%%: all known %.2f s, least %.3f, killed gone %.2f s, back %.2f s, "
            "%.0f bytes and %.2f datagrams per agent and second\n",
            n, loss * 100, t, least, left, back, each,
            static_cast<double>(datagrams) / 20 / static_cast<double>(n));
    }
}
INSTANTIATE_TEST_SUITE_P(All, FleetSizes,
                         testing::Combine(testing::Values(6, 74), testing::Values(0.0, 0.1, 0.3)));

TEST(LargeFleet, EstimatesThousandAgentsAndReachesThemAll) {
    Fleet f(1000, 0.1, 1);
    f.run(28);
    const double least = f.leastKnownShare(), count = f[5].estimateAlive(f.now);
    EXPECT_GE(least, 0.8);
    EXPECT_NEAR(count, 1000, 100);
    const size_t before = f.bytes;
    f.updateDigest(7, {1, 1, 1, "core-a"});
    const double news = f.runUntil(10, [&] { return f.countBehind(1) == 0; });
    EXPECT_LT(news, 10);
    const double each = static_cast<double>(f.bytes - before) / news / 1000;
    EXPECT_LE(each, 5000);
    std::printf(
        "n 1000 loss 10%%: least known %.3f, count %.0f, window %.1f s, new version at all %.2f s, "
        "%.0f bytes per agent and second\n",
        least, count, f[5].failureTimeout().inSeconds(), news, each);
}

TEST(LargeFleet, RemovesDeadPeersAmongThreeHundred) {
    Fleet f(300, 0.1, 1);
    f.run(20);
    EXPECT_GE(f.leastKnownShare(), 0.9);
    for (size_t i = 0; i < 30; ++i) f.kill(i);
    const double left = f.runUntil(60, [&] { return f.run(0.75), f.countBelieving("edge-0") == 0; });
    EXPECT_LE(left, 45);
    std::printf("n 300 loss 10%%: window %.1f s, killed gone %.2f s\n", f[50].failureTimeout().inSeconds(),
                left);
}

// Of 20 runs at 30% loss, how many leave an agent behind 20 s after a new version appeared.
size_t countRunsLeftBehind(bool rumoursEnabled, bool digestsEnabled, double* slowest) {
    size_t bad = 0;
    for (uint32_t seed = 1; seed <= 20; ++seed) {
        Fleet f(74, 0.3, seed, [&](Options& o) {
            o.rumoursEnabled = rumoursEnabled;
            o.digestsEnabled = digestsEnabled;
        });
        f.run(15);
        f.updateDigest(seed, {5, 99, 3, "core-b"});
        *slowest = std::max(*slowest, f.runUntil(20, [&] { return f.countBehind(5) == 0; }));
        bad += f.countBehind(5) > 0;
        if (f.countBehind(5) == 0) {
            EXPECT_EQ(f.holderChanges, 74u);  // one per agent
        }
    }
    return bad;
}

TEST(Dissemination, ReachesAllByRumoursAndDigests) {
    double slowest = 0;
    EXPECT_EQ(countRunsLeftBehind(true, true, &slowest), 0u);
    EXPECT_LE(slowest, 8);
    std::printf("74 agents, loss 30%%: new version at all within %.2f s", slowest);
    slowest = 0;
    EXPECT_EQ(countRunsLeftBehind(false, true, &slowest), 0u);
    EXPECT_LE(slowest, 15);
    std::printf(", without rumours %.2f s\n", slowest);
}

TEST(Dissemination, RumoursAloneLeaveSomeAgentBehind) {
    double slowest = 0;
    EXPECT_GT(countRunsLeftBehind(true, false, &slowest), 0u);
}

TEST(Dissemination, PartitionHealsByProbesWithoutTheCore) {
    for (const bool probesEnabled : {true, false}) {
        Fleet f(20, 0.1, 4, [&](Options& o) { o.probesEnabled = probesEnabled; });
        f.runUntil(30, [&] { return f.leastKnownShare() == 1; });
        f.isCut = [](size_t a, size_t b) { return (a < 10) != (b < 10); };
        f.run(40);
        for (size_t i = 0; i < 20 && probesEnabled; ++i) EXPECT_EQ(f[i].livePeers(f.now).size(), 10u);
        f.updateDigest(3, {8, 1, 1, "core-a"});
        f.run(20);
        EXPECT_EQ(f.countBehind(8), 10u);
        f.isCut = [](size_t, size_t) { return false; };
        f.run(20);
        EXPECT_EQ(f.leastKnownShare() == 1, probesEnabled);
        EXPECT_EQ(f.countBehind(8) == 0, probesEnabled);
    }
}

TEST(Dissemination, StaleStateOfAResumedAgentIsIgnored) {
    Fleet f(30, 0.1, 6);
    f.updateDigest(0, {1, 1, 1, "core-a"});
    f.run(15);
    f.frozen.insert(2);
    f.run(1);
    f.kill(9);
    f.updateDigest(1, {2, 1, 2, "core-b"});
    f.run(60);
    EXPECT_EQ(f.countBelieving("edge-9"), 0u);
    EXPECT_EQ(f.countBelieving("edge-2"), 0u);
    f.thaw(2);
    f.run(0.01);
    // The resumed agent did not take its pause for silence of all others, and does not revive the dead agent
    // in others.
    EXPECT_GE(f[2].livePeers(f.now).size(), 28u);
    for (int i = 0; i < 60; ++i) {
        f.run(0.25);
        EXPECT_LE(f.countBelieving("edge-9"), 3u);  // the resumed agent and those without the last heartbeat
        for (size_t k = 0; k < 30; ++k) {
            if (k == 9 || k == 2) continue;
            EXPECT_EQ(f[k].digest().version, 2);
            EXPECT_EQ(f[k].digest().term, 2u);
        }
    }
    EXPECT_EQ(f.countBelieving("edge-9"), 0u);
    EXPECT_EQ(f.leastKnownShare(), 1);
    EXPECT_EQ(f[2].digest().version, 2);
    EXPECT_EQ(f[2].digest().holder, "core-b");
}

TEST(Liveness, LeavingAgentIsRemovedAndRejoinsWithALowerIncarnation) {
    Fleet f(30, 0, 8);
    f.run(15);
    const std::vector<std::string> near = f[4].neighbours();
    f[4].leave(f.now);
    f.processOutputs(4);
    f.run(0.1);
    EXPECT_LE(f.countBelieving("edge-4"), 30 - near.size());
    f.run(4);
    EXPECT_EQ(f.countBelieving("edge-4"), 0u);  // the message spread before the failure timeout
    f.run(20);
    f.kill(4);
    f.start(4, 0);  // a lower incarnation than before
    f.run(15);
    EXPECT_EQ(f.countBelieving("edge-4"), 30u);
}

TEST(Liveness, ReadinessIsDisseminated) {
    Fleet f(30, 0, 8);
    f.run(15);
    f[4].setReady(f.now, false);
    f.run(5);
    for (size_t i = 0; i < 30; ++i)
        for (const Peer& p : f[i].livePeers(f.now)) EXPECT_EQ(p.ready, p.name != "edge-4");
}

TEST(Zones, KeepsNeighboursInOtherZones) {
    Fleet f(74, 0.1, 3);
    f.run(60);
    for (size_t i = 0; i < 74; ++i) {
        size_t otherZone = 0;
        for (const std::string& name : f[i].neighbours())
            otherZone += peer(std::stoul(name.substr(5))).zone != peer(i).zone;
        EXPECT_GE(otherZone, 2u);
        EXPECT_GE(f[i].neighbours().size(), 8u);
    }
}

Message rumourMessage(size_t from, Digest d) {
    Message m;
    m.kind = static_cast<uint8_t>(Kind::rumour);
    m.from = peer(from);
    m.from.heartbeat = 10;
    m.digest = std::move(d);
    return m;
}

template <class T>
std::vector<T> takeOutputs(GossipNode& v) {
    std::vector<T> all;
    while (auto o = v.next())
        if (auto* x = std::get_if<T>(&*o)) all.push_back(*x);
    return all;
}

TEST(Fetches, FetchesOneAtATimeRetriesOtherSourcesAndNeverGoesBack) {
    GossipNode v(at(0), {peer(0)});
    v.updateDigest(at(0), {3, 7, 0, ""});
    v.receive(at(0.1), peer(1).ip, rumourMessage(1, {4, 1, 0, ""}));
    v.receive(at(0.1), peer(2).ip, rumourMessage(2, {4, 1, 0, ""}));
    v.receive(at(0.1), peer(3).ip, rumourMessage(3, {4, 1, 0, ""}));
    auto f = takeOutputs<Fetch>(v);
    ASSERT_EQ(f.size(), 1u);
    EXPECT_EQ(f[0].ip, peer(1).ip);
    v.fetchFailed(at(0.2), peer(1).ip);
    f = takeOutputs<Fetch>(v);
    ASSERT_EQ(f.size(), 1u);
    const std::string second = f[0].ip;
    EXPECT_NE(second, peer(1).ip);
    EXPECT_LE(v.wakeAt(), at(1.2));
    v.tick(at(1.2));  // no answer
    f = takeOutputs<Fetch>(v);
    ASSERT_EQ(f.size(), 1u);
    EXPECT_NE(f[0].ip, second);
    v.updateDigest(at(1.3), {4, 1, 0, ""});
    v.updateDigest(at(1.4), {3, 9, 0, ""});
    EXPECT_EQ(v.digest().version, 4);
    takeOutputs<Fetch>(v);
    v.receive(at(1.5), peer(1).ip,
              rumourMessage(1, {4, 0, 0, ""}));  // same version, lower digest: the sender is corrected
    const auto sent = takeOutputs<Send>(v);
    ASSERT_EQ(sent.size(), 1u);
    EXPECT_EQ(sent[0].ip, peer(1).ip);
    EXPECT_EQ(sent[0].message.digest.digest, 1u);
    v.receive(at(1.6), peer(2).ip, rumourMessage(2, {4, 2, 0, ""}));  // higher digest wins
    EXPECT_EQ(takeOutputs<Fetch>(v).size(), 1u);
}

TEST(Neighbours, UnresponsiveNeighbourIsDroppedUntilANewerHeartbeat) {
    GossipNode v(at(0), {peer(0)});
    v.addPeers(at(0), {peer(1)});
    const auto pass = [&](double from, double to) {
        for (double t = from; t < to; t += 0.05) v.tick(at(t));
    };
    pass(0, 1);
    EXPECT_EQ(v.neighbours().size(), 1u);
    pass(1, 4);
    EXPECT_TRUE(v.neighbours().empty());
    EXPECT_EQ(v.livePeers(at(4)).size(), 2u);  // it may still be alive
    Message m;
    m.kind = static_cast<uint8_t>(Kind::shuffle);
    m.from = peer(1);
    m.from.heartbeat = 5;
    v.receive(at(4), peer(1).ip, m);
    EXPECT_EQ(v.neighbours().size(), 1u);
}

Message shuffleMessage(size_t from, uint32_t heartbeat) {
    Message m;
    m.kind = static_cast<uint8_t>(Kind::shuffle);
    m.from = peer(from);
    m.from.heartbeat = heartbeat;
    return m;
}

TEST(Liveness, ResumedAgentStillKnowsItsPeers) {
    GossipNode v(at(0), {peer(0)});
    v.receive(at(0.1), peer(1).ip, shuffleMessage(1, 10));
    v.tick(at(100));
    EXPECT_EQ(v.livePeers(at(100)).size(), 2u);
}

TEST(Liveness, StaleHeartbeatsAreNotForwardedButThoseOfASuspendedClockAre) {
    GossipNode v(at(0), {peer(0)});
    v.receive(at(0), peer(1).ip, shuffleMessage(1, 10));
    const auto sentHeartbeats = [&](double t) {
        takeOutputs<Send>(v);
        v.receive(at(t), peer(2).ip, shuffleMessage(2, 10 + static_cast<uint32_t>(t)));
        return takeOutputs<Send>(v).at(0).message.heartbeats.size() / 9;
    };
    EXPECT_EQ(sentHeartbeats(1), 2u);
    for (double t = 1; t < 5.5; t += 0.5) v.tick(at(t));
    EXPECT_EQ(v.livePeers(at(5.5)).size(), 3u);
    EXPECT_EQ(sentHeartbeats(5.5), 1u);
    for (double t = 5.5; t < 60; t += 0.5) v.tick(at(t));
    v.receive(at(60), peer(1).ip, shuffleMessage(1, 12));  // its clock stood still for 58 s
    EXPECT_EQ(sentHeartbeats(60), 2u);
}

TEST(Messages, RoundTripAndCorruptedMessagesAreHandled) {
    Message m;
    m.kind = static_cast<uint8_t>(Kind::reply);
    m.from = peer(1, 1ull << 60);
    m.digest = {77, ~0ull, 5, "core-a"};
    for (size_t i = 2; i < 9; ++i) m.peers.push_back(peer(i));
    for (int i = 0; i < 45; ++i) m.heartbeats.push_back(static_cast<char>(i * 37));
    m.wantedIds = "01234";
    const std::string good = encode(m);
    const auto back = decode(good);
    ASSERT_TRUE(back);
    EXPECT_EQ(encode(*back), good);
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode(good + "x"));
    EXPECT_FALSE(decode(std::string(5000, '\x90')));
    // Arrays that claim four billion elements, and deeply nested arrays.
    EXPECT_FALSE(decode(std::string("\xdd\xff\xff\xff\xff", 5)));
    EXPECT_FALSE(decode(std::string(1000, '\x91')));

    std::mt19937 rng(1);
    GossipNode v(at(0), {peer(0)});
    size_t taken = 0;
    for (int i = 0; i < 100000; ++i) {
        std::string bad = good;
        const size_t changes = 1 + rng() % 4;
        for (size_t k = 0; k < changes; ++k) bad[rng() % bad.size()] = static_cast<char>(rng());
        if (rng() % 4 == 0) bad.resize(rng() % bad.size());
        const auto got = decode(bad);
        if (!got) continue;
        ++taken;
        const Instant now = at(i * 0.001);
        v.receive(now, "10.0.0.9", *got);
        v.tick(now);
        while (auto o = v.next())
            if (auto* s = std::get_if<Send>(&*o)) {
                ASSERT_LE(encode(s->message).size(), kMaxMessageBytes);
            }
    }
    EXPECT_GT(taken, 1000u);
    EXPECT_LE(v.livePeers(at(100)).size(), 2049u);
}

}  // namespace
}  // namespace petrelpond::gossip
