// What a loss of power at any moment leaves on a core's disk is at least what the core has told others of.
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "system/consensus/keeper.hpp"
#include "system/consensus/recorded_disk_for_test.hpp"
#include "system/network/environment_for_test.hpp"

namespace petrelpond::consensus {
namespace {

namespace fs = std::filesystem;

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

    Durable stateOf(uint64_t saves) {
        Durable state;
        state.value = {static_cast<int64_t>(saves), saves, std::string(1 + random_() % 60000, 'x')};
        state.voters = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};
        state.birth = birth_;
        state.saves = saves;
        return state;
    }

    bool save(Keeper& keeper, const Durable& state) {
        keeper.save({++token_, state});
        while (true) {
            pollfd waits{wake_, POLLIN, 0};
            if (::poll(&waits, 1, 10000) != 1) return false;
            uint64_t count = 0;
            if (::read(wake_, &count, sizeof count) != sizeof count) return false;
            for (const Keeper::Outcome& outcome : keeper.collect())
                if (outcome.token == token_) return outcome.ok;
        }
    }

    network::Result<std::optional<Durable>> foundIn(const fs::path& folder) const {
        Keeper keeper(folder, wake_);
        return keeper.takeFound();
    }

    // One life of a core on this disk: it starts, and saves so often. Returns what others were told of.
    void live(const fs::path& folder, uint64_t told, int saves) {
        Keeper keeper(folder, wake_);
        for (int i = 0; i < saves; ++i) {
            ++told;
            ASSERT_TRUE(save(keeper, stateOf(told)));
            RecordedDisk::active()->told(told);
        }
    }

    fs::path root_;
    int wake_ = -1;
    uint64_t token_ = 0, birth_ = 77;
    std::mt19937 random_{numberFromEnvironment("POWER_SEED", 1)};
};

std::string described(const DiskMoment& moment, const PowerLoss& loss) {
    std::string text = "told " + std::to_string(moment.told) + "; not synced:";
    for (size_t i = 0; i < moment.uncertain.size(); ++i) {
        const NameChange& change = moment.uncertain[i];
        const char* const words[] = {" made ", " renamed to ", " removed "};
        text += std::string(loss.kept[i] ? " kept" : " lost") + words[change.kind] + change.name + ";";
    }
    return text;
}

// Against issue 68: LevelDB replaces its manifest at each open and renames, removes and makes files without
// syncing the folder; power that was lost soon after left a CURRENT that named a removed manifest, or a
// folder without the newest log.
TEST_F(PowerLossTest, WhatWasToldIsFoundWhicheverNamesAreLost) {
    const uint32_t lives = numberFromEnvironment("POWER_LIVES", 12);
    uint64_t told = 0;
    size_t tried = 0, broken = 0;
    std::string first;
    fs::path disk = root_ / "disk-0";
    for (uint32_t life = 0; life < lives; ++life) {
        RecordedDisk recorded(disk);
        recorded.told(told);
        live(disk, told, static_cast<int>(random_() % 16));
        const auto moments = recorded.moments();
        // Where the next life begins: one of the states that a loss left.
        const fs::path next = root_ / ("disk-" + std::to_string(life + 1));
        uint64_t nextTold = 0;
        size_t seen = 0;
        for (const DiskMoment& moment : moments) {
            for (const PowerLoss& loss : RecordedDisk::losses(moment, 16, random_)) {
                const fs::path target = root_ / "after";
                recorded.leave(moment, loss, target);
                auto found = foundIn(target);
                ++tried;
                const auto* whole = std::get_if<std::optional<Durable>>(&found);
                const uint64_t saves = whole && *whole ? (*whole)->saves : 0;
                const bool good = moment.told == 0 || saves >= moment.told;
                if (!good && broken++ == 0)
                    first = described(moment, loss) + " found " +
                            (whole ? std::to_string(saves) : std::get<network::Problem>(found).line());
                if (!good || saves == 0 || random_() % ++seen != 0) continue;
                recorded.leave(moment, loss, next);
                nextTold = saves;
            }
        }
        fs::remove_all(disk);
        if (nextTold == 0) {  // nothing was told on it: begin again
            told = 0;
            disk = root_ / ("disk-" + std::to_string(life + 1));
            fs::remove_all(disk);
            continue;
        }
        told = nextTold;
        disk = next;
    }
    std::printf("%u lives, %zu losses of power, %zu took back what was told\n", lives, tried, broken);
    EXPECT_EQ(broken, 0u) << first;
}

}  // namespace
}  // namespace petrelpond::consensus
