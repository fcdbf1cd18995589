// Searches seeded fault schedules for digests that go back and for agents that never learn the newest one.
#include <cstdio>
#include <cstdlib>
#include <map>

#include "system/gossip/fleet_for_test.hpp"

namespace petrelpond::gossip {
namespace {

int fromEnvironment(const char* name, int otherwise) {
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
}

// Kills, restarts and suspends agents, loses, duplicates and delays datagrams and partitions the fleet; then
// everything heals but a loss of a tenth of the datagrams. Checks that no digest goes back within an
// incarnation or exceeds what was published, that 30 s later all agents have the newest digest any live agent
// had, and that all know exactly the live agents. Returns the violation, or an empty string.
std::string runSchedule(uint32_t seed, const std::function<void(Options&)>& adjustOptions = {}) {
    std::mt19937 random(seed);
    const auto randomBelow = [&](size_t n) { return static_cast<size_t>(random() % std::max<size_t>(n, 1)); };
    Fleet f(4 + randomBelow(8), 0.1, seed, adjustOptions);
    std::string violation;
    std::vector<Digest> seen(f.size());
    std::vector<uint64_t> incarnation(f.size(), 1);
    int64_t version = 0;
    uint64_t term = 0;
    f.duplicateShare = 0.05;
    f.afterEachInput = [&] {
        for (size_t i = 0; i < f.size() && violation.empty(); ++i) {
            if (!f.isRunning(i)) continue;
            const Digest& d = f[i].digest();
            if (d.version < seen[i].version || d.term < seen[i].term) violation = "a digest went back";
            if (d.version > version || d.term > term) violation = "a digest that was never published";
            seen[i] = d;
        }
    };
    // A core names all agents that it has links to, up to 16, to an agent that starts.
    const auto introduceAll = [&](size_t i) {
        std::vector<Peer> others;
        for (size_t k = 0; k < f.size(); ++k)
            if (k != i && f.isRunning(k)) others.push_back(peer(k, incarnation[k]));
        f[i].addPeers(f.now, others);
        f.processOutputs(i);
    };
    const auto restart = [&](size_t i) {
        f.start(i, ++incarnation[i], false);
        introduceAll(i);
    };
    for (size_t i = 0; i < f.size(); ++i) introduceAll(i);
    std::map<size_t, Instant> frozen, dead;
    Instant healedAt = f.now;
    for (const Instant until = f.now + Span::seconds(25); f.now < until && violation.empty();) {
        f.run(0.02 * static_cast<double>(randomBelow(60)));
        for (auto it = frozen.begin(); it != frozen.end();) {
            if (f.now < it->second) {
                ++it;
                continue;
            }
            f.thaw(it->first);
            it = frozen.erase(it);
        }
        for (auto it = dead.begin(); it != dead.end();) {
            if (f.now < it->second) {
                ++it;
                continue;
            }
            restart(it->first);
            it = dead.erase(it);
        }
        if (f.now >= healedAt) f.isCut = [](size_t, size_t) { return false; };
        const size_t i = randomBelow(f.size());
        if (!f.isRunning(i) || frozen.count(i)) continue;
        switch (randomBelow(10)) {
            case 0:
                if (dead.size() + 2 >= f.size()) break;
                f.kill(i);
                seen[i] = {};
                dead[i] = f.now + Span::millis(static_cast<int64_t>(200 + randomBelow(4000)));
                break;
            case 1:
                f.frozen.insert(i);
                frozen[i] = f.now + Span::millis(static_cast<int64_t>(randomBelow(9000)));
                break;
            case 2: {
                const uint32_t side = random();
                f.isCut = [side](size_t a, size_t b) { return (side >> a & 1) != (side >> b & 1); };
                healedAt = f.now + Span::millis(static_cast<int64_t>(1000 + randomBelow(12000)));
                break;
            }
            case 3:
                f.setLoss(0.005 * static_cast<double>(randomBelow(80)));
                break;
            case 4:
            case 5:
                f.updateDigest(i, {++version, random(), term, "core"});
                break;
            case 6:
                f.updateDigest(i, {version, 0, ++term, "core-" + std::to_string(term)});
                break;
            case 7:
                if (randomBelow(2))
                    f.failFetchFrom.insert(i);
                else
                    f.failFetchFrom.clear();
                break;
            default:
                break;
        }
    }
    f.isCut = [](size_t, size_t) { return false; };
    f.failFetchFrom.clear();
    f.setLoss(0.1);
    f.duplicateShare = 0;
    for (const auto& [i, when] : frozen) f.thaw(i);
    for (const auto& [i, when] : dead) restart(i);
    f.run(30);
    if (!violation.empty()) return violation;
    Digest newest;
    for (size_t i = 0; i < f.size(); ++i) {
        newest.version = std::max(newest.version, f[i].digest().version);
        newest.term = std::max(newest.term, f[i].digest().term);
    }
    for (size_t i = 0; i < f.size(); ++i) {
        if (f[i].digest().version < newest.version) return "an agent lacks the newest configuration";
        if (f[i].digest().term < newest.term) return "an agent does not know the newest term";
    }
    // With a tenth lost, an agent may be out of sight for a moment: wait until all know each other at once.
    f.runUntil(10, [&] { return f.leastKnownShare() == 1; });
    for (size_t i = 0; i < f.size(); ++i)
        if (f[i].livePeers(f.now).size() != f.size()) return "an agent does not know exactly the live agents";
    return {};
}

TEST(ScheduleSearch, NoScheduleBreaksAnInvariant) {
    // NEWS_SCHEDULES sets the number of schedules (10000 for a long search), NEWS_FIRST the first seed.
    const int count = fromEnvironment("NEWS_SCHEDULES", 100), first = fromEnvironment("NEWS_FIRST", 1);
    for (int seed = first; seed < first + count; ++seed)
        EXPECT_EQ(runSchedule(static_cast<uint32_t>(seed)), "") << "seed " << seed;
}

int schedulesUntilDetected(int most, const std::function<void(Options&)>& adjustOptions) {
    for (int seed = 1; seed <= most; ++seed)
        if (!runSchedule(static_cast<uint32_t>(seed), adjustOptions).empty()) return seed;
    return -1;
}

TEST(ScheduleSearch, DetectsLostRumoursWithoutDigests) {
    const int at = schedulesUntilDetected(50, [](Options& o) { o.digestsEnabled = false; });
    std::printf("detected by schedule %d\n", at);
    EXPECT_GT(at, 0);
}
TEST(ScheduleSearch, DetectsUnhealedPartitionWithoutProbes) {
    const int at = schedulesUntilDetected(100, [](Options& o) { o.probesEnabled = false; });
    std::printf("detected by schedule %d\n", at);
    EXPECT_GT(at, 0);
}

}  // namespace
}  // namespace petrelpond::gossip
