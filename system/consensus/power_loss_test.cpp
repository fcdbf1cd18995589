// After a loss of power at any moment, a core finds at least the state that it had announced to others.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "system/consensus/state_store.hpp"
#include "system/network/environment_for_test.hpp"
#include "tests/power/recorded_disk.hpp"

namespace petrelpond::consensus {
namespace {

namespace fs = std::filesystem;

using Found = network::Result<std::optional<DurableState>>;

constexpr size_t kLossesEach = 16;  // power losses simulated at each recorded moment

// Outcome of all power losses simulated for one recording.
struct Tally {
    size_t tested = 0, failed = 0;
    std::string first = {};  // description of the first failure
};

std::string describe(const DiskMoment& moment, const PowerLoss& loss) {
    std::string text = "announced " + std::to_string(moment.told) + "; not synced:";
    for (size_t i = 0; i < moment.uncertain.size(); ++i) {
        const NameChange& change = moment.uncertain[i];
        const char* const words[] = {" created ", " renamed to ", " removed "};
        text += std::string(loss.kept[i] ? " kept" : " lost") + words[change.kind] + change.name + ";";
    }
    return text;
}

uint64_t savesOf(const Found& found) {
    const auto* whole = std::get_if<std::optional<DurableState>>(&found);
    return whole && *whole ? (*whole)->saveCount : 0;
}

std::string describe(const Found& found) {
    const auto* problem = std::get_if<network::Problem>(&found);
    return problem ? problem->line() : std::to_string(savesOf(found));
}

class PowerLossTest : public ::testing::Test {
  protected:
    PowerLossTest() {
        std::string name = (fs::temp_directory_path() / "power-XXXXXX").string();
        root_ = ::mkdtemp(name.data());
        wake_ = ::eventfd(0, EFD_CLOEXEC);
    }
    ~PowerLossTest() override {
        ::close(wake_);
        fs::remove_all(root_);
    }

    DurableState stateOf(uint64_t saves) { return stateOf(saves, 1 + random_() % 60000); }
    DurableState stateOf(uint64_t saves, size_t bytes) const {
        DurableState state;
        state.value = {static_cast<int64_t>(saves), saves, std::string(bytes, 'x')};
        state.voters = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};
        state.diskId = birth_;
        state.saveCount = saves;
        return state;
    }

    bool save(StateStore& store, const DurableState& state) {
        store.save({++token_, state});
        while (true) {
            pollfd waits{wake_, POLLIN, 0};
            if (::poll(&waits, 1, 10000) != 1) return false;
            uint64_t count = 0;
            if (::read(wake_, &count, sizeof count) != sizeof count) return false;
            for (const StateStore::Outcome& outcome : store.takeOutcomes())
                if (outcome.token == token_) return outcome.ok;
        }
    }

    // Simulates several power losses at every recorded moment, and loads the state from what each leaves.
    // `subdirectory` is where the data directory is; isAcceptable(moment, loss, found) tells whether the
    // loaded state is right.
    template <typename Good>
    Tally testAllLosses(RecordedDisk& recorded, Tally tally, const fs::path& subdirectory,
                        const Good& isAcceptable) {
        const fs::path target = root_ / "after";
        for (const DiskMoment& moment : recorded.moments()) {
            for (const PowerLoss& loss : RecordedDisk::losses(moment, kLossesEach, random_)) {
                recorded.leave(moment, loss, target);
                const Found found = foundIn(target / subdirectory);
                ++tally.tested;
                if (isAcceptable(moment, loss, found) || tally.failed++ > 0) continue;
                tally.first = describe(moment, loss) + " found " + describe(found);
            }
        }
        return tally;
    }

    Found foundIn(const fs::path& directory) const {
        StateStore store(directory, wake_);
        return store.takeLoaded();
    }

    // Damages synced data at the start of the newest log, while what lies before it, in the table, stays
    // intact. The log must hold several records: in a log with a single record the damage would count as a
    // torn end.
    static void damage(const fs::path& directory) {
        fs::path newest;
        for (const auto& entry : fs::directory_iterator(directory))
            if (entry.path().extension() == ".log") newest = std::max(newest, entry.path());
        std::fstream file(newest, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(100);
        file.write("damage", 6);
    }

    // One run of a core on this disk: it starts, saves that many times and announces each saved state.
    void runLife(const fs::path& directory, uint64_t told, int saves) {
        StateStore store(directory, wake_);
        for (int i = 0; i < saves; ++i) {
            ++told;
            ASSERT_TRUE(save(store, stateOf(told)));
            RecordedDisk::active()->told(told);
        }
    }

    fs::path root_;
    int wake_ = -1;
    uint64_t token_ = 0, birth_ = 77;
    std::mt19937 random_{numberFromEnvironment("POWER_SEED", 1)};
};

// Issue 68: LevelDB replaces its manifest at each open, and renames, removes and creates files without
// syncing the directory. A loss of power soon after left a CURRENT that named a removed manifest, or a
// directory without the newest log.
TEST_F(PowerLossTest, AnnouncedStateSurvivesLostNameChanges) {
    const uint32_t runs = numberFromEnvironment("POWER_LIVES", 6);
    uint64_t told = 0;
    Tally tally;
    for (uint32_t run = 0; run < runs; ++run) {
        const fs::path disk = root_ / ("disk-" + std::to_string(run));
        RecordedDisk recorded(disk);
        recorded.told(told);
        runLife(disk, told, static_cast<int>(random_() % 16));
        // The next run starts from what one of these losses left, drawn at random.
        const fs::path next = root_ / ("disk-" + std::to_string(run + 1));
        size_t candidates = 0;
        told = 0;
        tally = testAllLosses(recorded, tally, "",
                              [&](const DiskMoment& moment, const PowerLoss& loss, const Found& found) {
                                  const uint64_t saves = savesOf(found);
                                  if (saves > 0 && random_() % ++candidates == 0) {
                                      recorded.leave(moment, loss, next);
                                      told = saves;
                                  }
                                  return moment.told == 0 || saves >= moment.told;
                              });
        fs::remove_all(disk);
    }
    std::printf("%u runs, %zu power losses, %zu lost announced state\n", runs, tally.tested, tally.failed);
    EXPECT_EQ(tally.failed, 0u) << tally.first;
}

// The first start creates the directory for the state: its name is durable only once the parent directory is
// synced, and so on for each parent.
TEST_F(PowerLossTest, AnnouncedStateSurvivesInNewlyCreatedDirectories) {
    const fs::path disk = root_ / "disk", subdirectory = "machine/control-plane";
    RecordedDisk recorded(disk);
    runLife(disk / subdirectory, 0, 3);
    const Tally tally = testAllLosses(recorded, {}, subdirectory,
                                      [](const DiskMoment& moment, const PowerLoss&, const Found& found) {
                                          return moment.told == 0 || savesOf(found) >= moment.told;
                                      });
    std::printf("%zu power losses, %zu lost announced state\n", tally.tested, tally.failed);
    EXPECT_EQ(tally.failed, 0u) << tally.first;
}

// A database that counts as lost is discarded. A subset of its files is an older database with promises that
// were given up, so it must never be loaded again.
TEST_F(PowerLossTest, DiscardedDatabaseNeverReturns) {
    const fs::path disk = root_ / "disk";
    uint64_t told = 0;
    {
        StateStore store(disk, wake_);
        while (told < 12) ASSERT_TRUE(save(store, stateOf(++told, 40000)));  // a table and a log
    }
    damage(disk / StateStore::kDirectoryName);
    const uint64_t discardedBirth = birth_++;
    RecordedDisk recorded(disk);
    {
        StateStore store(disk, wake_);
        ASSERT_TRUE(std::holds_alternative<network::Problem>(store.takeLoaded()));
        for (uint64_t saves = 1; saves <= 3; ++saves) {
            ASSERT_TRUE(save(store, stateOf(saves)));
            recorded.told(saves);
        }
    }
    const Tally tally =
        testAllLosses(recorded, {}, "", [&](const DiskMoment& moment, const PowerLoss&, const Found& found) {
            const auto* whole = std::get_if<std::optional<DurableState>>(&found);
            const bool isDiscarded = whole && *whole && (*whole)->diskId == discardedBirth;
            return !isDiscarded && (moment.told == 0 || savesOf(found) >= moment.told);
        });
    std::printf("%zu power losses, %zu brought discarded state back\n", tally.tested, tally.failed);
    EXPECT_EQ(tally.failed, 0u) << tally.first;
}

// A disk full of a database that must be discarded: creating the marker must need no new file.
TEST_F(PowerLossTest, DiscardsDatabaseOnAFullDisk) {
    const fs::path disk = root_ / "disk";
    {
        StateStore store(disk, wake_);
        for (uint64_t saves = 1; saves <= 12; ++saves) ASSERT_TRUE(save(store, stateOf(saves, 40000)));
    }
    damage(disk / StateStore::kDirectoryName);
    RecordedDisk recorded(disk);
    StateStore store(disk, wake_);
    ASSERT_TRUE(std::holds_alternative<network::Problem>(store.takeLoaded()));
    recorded.refuseNewFiles(true);  // not earlier: at the start the store waits for a full disk
    EXPECT_FALSE(save(store, stateOf(1)));
    uint64_t left = 0;
    for (const auto& entry : fs::directory_iterator(disk / StateStore::kDirectoryName))
        left += entry.file_size();
    EXPECT_EQ(left, 0u);
    recorded.refuseNewFiles(false);
    EXPECT_TRUE(save(store, stateOf(2)));
}

// A process was killed during a write, and its successor finds the state in the page cache only. It announces
// that state, so the next loss of power must not remove it.
TEST_F(PowerLossTest, LoadedStateIsDurable) {
    const fs::path disk = root_ / "disk";
    RecordedDisk recorded(disk);
    {
        StateStore store(disk, wake_);
        ASSERT_TRUE(save(store, stateOf(1, 1000)));
        recorded.refuseSyncs(true);
        EXPECT_FALSE(save(store, stateOf(2, 1000)));
        recorded.refuseSyncs(false);
    }
    ASSERT_EQ(savesOf(foundIn(disk)), 2u);
    recorded.told(2);
    const Tally tally =
        testAllLosses(recorded, {}, "", [](const DiskMoment& moment, const PowerLoss&, const Found& found) {
            return moment.told == 0 || savesOf(found) >= moment.told;
        });
    EXPECT_EQ(tally.failed, 0u) << tally.first;
}

// A transient read error at the start must not count as a lost disk, as another disk may really be lost.
TEST_F(PowerLossTest, TransientReadErrorIsNotALostDisk) {
    const fs::path disk = root_ / "disk";
    {
        StateStore store(disk, wake_);
        ASSERT_TRUE(save(store, stateOf(1, 1000)));
    }
    RecordedDisk recorded(disk);
    recorded.refuseReads(true);
    int pauses = 0;
    StateStore store(disk, wake_, [&](const std::string& why) {
        EXPECT_NE(why, "");
        if (++pauses == 3) recorded.refuseReads(false);
    });
    EXPECT_EQ(savesOf(store.takeLoaded()), 1u);
    EXPECT_EQ(pauses, 3);
    EXPECT_TRUE(save(store, stateOf(2)));
}

TEST_F(PowerLossTest, PersistentReadErrorCountsAsLost) {
    const fs::path disk = root_ / "disk";
    {
        StateStore store(disk, wake_);
        ASSERT_TRUE(save(store, stateOf(1, 1000)));
    }
    RecordedDisk recorded(disk);
    recorded.refuseReads(true);
    int pauses = 0;
    StateStore store(disk, wake_, [&](const std::string&) { ++pauses; });
    EXPECT_TRUE(std::holds_alternative<network::Problem>(store.takeLoaded()));
    EXPECT_EQ(pauses, StateStore::kMaxReadAttempts - 1);
}

}  // namespace
}  // namespace petrelpond::consensus
