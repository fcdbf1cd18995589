#include "system/consensus/state_store.hpp"

#include <gtest/gtest.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>

#include "system/network/environment_for_test.hpp"

namespace petrelpond::consensus {
namespace {

class StateStoreTest : public ::testing::Test {
  protected:
    StateStoreTest() {
        std::string name = (std::filesystem::temp_directory_path() / "consensus-XXXXXX").string();
        dir_ = ::mkdtemp(name.data());
        wake_ = ::eventfd(0, EFD_CLOEXEC);
    }
    ~StateStoreTest() override {
        ::close(wake_);
        std::filesystem::permissions(dir_, std::filesystem::perms::owner_all);
        std::filesystem::remove_all(dir_);
    }
    // Waits for the outcome of this token or a later one.
    StateStore::Outcome outcomeOf(StateStore& store, uint64_t token) {
        while (true) {
            pollfd p{wake_, POLLIN, 0};
            if (::poll(&p, 1, 10000) != 1) return {0, false, "no outcome within 10 s"};
            uint64_t count = 0;
            if (::read(wake_, &count, sizeof count) != sizeof count) return {0, false, "eventfd"};
            for (const StateStore::Outcome& o : store.takeOutcomes()) {
                if (o.token >= token) return o;
            }
        }
    }
    static DurableState sample(size_t size = 300000) {
        DurableState d;
        d.value = {17, 99, std::string(size, 'x')};
        d.voters = {"10.0.0.1", "10.0.0.2", "10.0.0.3"};
        d.electors = d.voters;
        d.votersBallot = 513;
        d.votersAcceptedBallot = 512;
        d.votersAcceptedOffer = d.voters;
        d.term = 7;
        d.votedFor = "10.0.0.2";
        d.leasePromisedTo = "10.0.0.3";
        d.recovering = true;
        d.mayElect = false;
        return d;
    }
    std::optional<DurableState> reopened() {
        StateStore store(dir_, wake_);
        auto found = store.takeLoaded();
        if (auto* p = std::get_if<network::Problem>(&found)) {
            ADD_FAILURE() << p->line();
            return {};
        }
        return std::get<0>(found);
    }
    std::filesystem::path dir_;
    int wake_ = -1;
};

TEST_F(StateStoreTest, RestoresEveryField) {
    const DurableState d = sample();
    {
        StateStore store(dir_, wake_);
        auto found = store.takeLoaded();
        ASSERT_TRUE(std::holds_alternative<std::optional<DurableState>>(found));
        EXPECT_FALSE(std::get<0>(found));
        store.save({1, d});
        EXPECT_TRUE(outcomeOf(store, 1).ok);
    }
    const auto f = reopened();
    ASSERT_TRUE(f);
    EXPECT_EQ(f->value.version, d.value.version);
    EXPECT_EQ(f->value.digest, d.value.digest);
    EXPECT_EQ(f->value.body, d.value.body);
    EXPECT_EQ(f->voters, d.voters);
    EXPECT_EQ(f->electors, d.electors);
    EXPECT_EQ(f->votersBallot, d.votersBallot);
    EXPECT_EQ(f->votersAcceptedBallot, d.votersAcceptedBallot);
    EXPECT_EQ(f->votersAcceptedOffer, d.votersAcceptedOffer);
    EXPECT_EQ(f->term, d.term);
    EXPECT_EQ(f->votedFor, d.votedFor);
    EXPECT_EQ(f->leasePromisedTo, d.leasePromisedTo);
    EXPECT_TRUE(f->recovering);
    EXPECT_FALSE(f->mayElect);
}

TEST_F(StateStoreTest, NeverPairsAnOldValueWithANewTerm) {
    DurableState d = sample(1000);
    uint64_t token = 0;
    {
        StateStore store(dir_, wake_);
        for (int i = 0; i < 200; ++i) {
            ++d.term;
            if (i % 3 == 0) {
                ++d.value.version;
                d.value.body = std::string(50000, static_cast<char>('a' + i % 20));
            }
            store.save({++token, d});
        }
        EXPECT_TRUE(outcomeOf(store, token).ok);
    }
    const auto f = reopened();
    ASSERT_TRUE(f);
    EXPECT_EQ(f->term, d.term);
    EXPECT_EQ(f->value.version, d.value.version);
    EXPECT_EQ(f->value.body, d.value.body);
}

TEST_F(StateStoreTest, SkipsUnchangedRecords) {
    DurableState d = sample();
    StateStore store(dir_, wake_);
    store.save({1, d});
    ASSERT_TRUE(outcomeOf(store, 1).ok);
    // LevelDB numbers its files and starts a new log after every 256 kB.
    const auto files = [&] {
        int highest = 0;
        for (const auto& e : std::filesystem::directory_iterator(dir_ / StateStore::kDirectoryName)) {
            highest = std::max(highest, std::atoi(e.path().stem().c_str()));
        }
        return highest;
    };
    const auto before = files();
    for (uint64_t token = 2; token < 22; ++token) {
        ++d.term;
        store.save({token, d});
        ASSERT_TRUE(outcomeOf(store, token).ok);
    }
    EXPECT_LT(files(), before + 6);
}

TEST_F(StateStoreTest, ReportsDamageAndNextSaveStartsFresh) {
    const DurableState d = sample();
    {
        StateStore store(dir_, wake_);
        store.save({1, d});
        ASSERT_TRUE(outcomeOf(store, 1).ok);
    }
    int damaged = 0;
    for (const auto& e : std::filesystem::directory_iterator(dir_ / StateStore::kDirectoryName)) {
        const auto ext = e.path().extension();
        if ((ext != ".log" && ext != ".ldb") || e.file_size() < 1000) continue;
        std::fstream f(e.path(), std::ios::in | std::ios::out | std::ios::binary);
        f.seekp(static_cast<std::streamoff>(e.file_size() / 2));
        f.write("damage", 6);
        ++damaged;
    }
    ASSERT_GT(damaged, 0);
    {
        StateStore store(dir_, wake_);
        const auto found = store.takeLoaded();
        ASSERT_TRUE(std::holds_alternative<network::Problem>(found));
        store.save({1, d});
        EXPECT_TRUE(outcomeOf(store, 1).ok);
    }
    ASSERT_TRUE(reopened());
}

TEST_F(StateStoreTest, ReportsFailedSaveAndLaterSaveSucceeds) {
    // A file in place of the directory makes saves fail for root too.
    std::ofstream(dir_ / "file") << "no folder";
    StateStore store(dir_ / "file", wake_);
    const DurableState d = sample(100);
    store.save({1, d});
    const StateStore::Outcome failed = outcomeOf(store, 1);
    EXPECT_FALSE(failed.ok);
    EXPECT_NE(failed.error, "");
    std::filesystem::remove(dir_ / "file");
    store.save({2, d});
    EXPECT_TRUE(outcomeOf(store, 2).ok);
}

// Writes three saves to one log, then zeroes part of what one save wrote, from and to given as shares of its
// bytes, and loads the state.
class TornLogTest : public StateStoreTest {
  protected:
    network::Result<std::optional<DurableState>> loadAfterLoss(size_t body, int save, double from,
                                                               double to) {
        DurableState d = sample(1000);
        std::vector<uintmax_t> ends{0};
        {
            StateStore store(dir_, wake_);
            for (uint64_t token = 1; token <= 3; ++token, ++d.term) {
                if (token > 1 && body > 0) ++d.value.version, d.value.body = std::string(body, 'y');
                store.save({token, d});
                EXPECT_TRUE(outcomeOf(store, token).ok);
                ends.push_back(std::filesystem::file_size(log()));
            }
        }
        const auto size = static_cast<double>(ends[save] - ends[save - 1]);
        const auto begin = ends[save - 1] + static_cast<uintmax_t>(from * size);
        std::fstream f(log(), std::ios::in | std::ios::out | std::ios::binary);
        f.seekp(static_cast<std::streamoff>(begin));
        const std::string nothing(static_cast<size_t>((to - from) * size), '\0');
        f.write(nothing.data(), static_cast<std::streamsize>(nothing.size()));
        f.close();
        StateStore store(dir_, wake_);
        return store.takeLoaded();
    }
    std::filesystem::path log() const {
        for (const auto& e : std::filesystem::directory_iterator(dir_ / StateStore::kDirectoryName))
            if (e.path().extension() == ".log") return e.path();
        return {};
    }
};

// Incident torn-taken-for-lost: one loss of power tore three disks, and each counted as lost. The state
// before a torn end must be loaded instead.
TEST_F(TornLogTest, RestoresStateBeforeTornEnd) {
    for (const size_t body : {0, 40000, 90000}) {
        for (const auto& [from, to] : {std::pair(0.0, 0.4), {0.02, 1.0}, {0.5, 0.6}, {0.9, 1.0}}) {
            const auto found = loadAfterLoss(body, 3, from, to);
            ASSERT_TRUE(std::holds_alternative<std::optional<DurableState>>(found))
                << body << " " << from << ": " << std::get<network::Problem>(found).line();
            ASSERT_TRUE(std::get<0>(found));
            EXPECT_EQ(std::get<0>(found)->term, 8u);  // of the second save
            EXPECT_EQ(std::get<0>(found)->value.body.size(), body > 0 ? body : 1000);
            std::filesystem::remove_all(dir_ / StateStore::kDirectoryName);
        }
    }
}

// Bytes followed by later records had been synced before, so losing them means that the disk lost announced
// state.
TEST_F(TornLogTest, ReportsDamageBeforeTheEnd) {
    for (const size_t body : {0, 40000, 90000}) {
        EXPECT_TRUE(std::holds_alternative<network::Problem>(loadAfterLoss(body, 2, 0.5, 0.6))) << body;
        std::filesystem::remove_all(dir_ / StateStore::kDirectoryName);
    }
}

// Issue 71: such a core was away until its disk took writes again, although it could read its state.
TEST_F(StateStoreTest, LoadsStateFromAnUnwritableDisk) {
    const DurableState d = sample(1000);
    {
        StateStore store(dir_, wake_);
        store.save({1, d});
        ASSERT_TRUE(outcomeOf(store, 1).ok);
    }
    // A directory in place of LevelDB's LOCK file causes the same kind of error as a full disk, for root too.
    std::filesystem::remove(dir_ / StateStore::kDirectoryName / "LOCK");
    std::filesystem::create_directory(dir_ / StateStore::kDirectoryName / "LOCK");
    int pauses = 0;
    StateStore store(dir_, wake_, [&](const std::string&) { ++pauses; });
    const auto found = store.takeLoaded();
    EXPECT_EQ(pauses, 0);
    ASSERT_TRUE(std::holds_alternative<std::optional<DurableState>>(found));
    ASSERT_TRUE(std::get<0>(found));
    EXPECT_EQ(std::get<0>(found)->term, d.term);
    store.save({2, d});
    EXPECT_FALSE(outcomeOf(store, 2).ok);
    std::filesystem::remove(dir_ / StateStore::kDirectoryName / "LOCK");
    store.save({3, d});
    EXPECT_TRUE(outcomeOf(store, 3).ok);
}

TEST_F(StateStoreTest, LoadingWritesNothing) {
    DurableState d = sample(40000);
    uint64_t token = 0;
    {
        StateStore store(dir_, wake_);
        for (; token < 12; ++d.term) {  // a table and a log
            ++d.value.version;
            store.save({++token, d});
            ASSERT_TRUE(outcomeOf(store, token).ok);
        }
    }
    const auto contents = [&] {
        std::map<std::string, std::string> all;
        for (const auto& entry : std::filesystem::directory_iterator(dir_ / StateStore::kDirectoryName)) {
            std::ifstream in(entry.path(), std::ios::binary);
            all[entry.path().filename()] = {std::istreambuf_iterator<char>(in), {}};
        }
        return all;
    };
    auto before = contents();
    for (const bool torn : {false, true}) {
        const auto found = reopened();
        ASSERT_TRUE(found);
        EXPECT_EQ(found->value.version, d.value.version - (torn ? 1 : 0));
        EXPECT_TRUE(contents() == before);
        std::string newest;
        for (const auto& [name, bytes] : before)
            if (name.ends_with(".log")) newest = std::max(newest, name);
        // Zeroes the start of the last record and keeps its end.
        std::string& log = before[newest];
        log.replace(log.size() - 30000, 20000, 20000, '\0');
        std::ofstream(dir_ / StateStore::kDirectoryName / newest, std::ios::binary) << log;
    }
}

// The directory holds the current state and what is not yet compacted, not all past states. KEEPER_SAVES and
// KEEPER_BYTES set larger sizes.
TEST_F(StateStoreTest, DirectorySizeIsBoundedByState) {
    const size_t saves = numberFromEnvironment("KEEPER_SAVES", 200),
                 bytes = numberFromEnvironment("KEEPER_BYTES", 300000);
    uintmax_t most = 0;
    {
        StateStore store(dir_, wake_);
        DurableState d = sample(bytes);
        for (size_t i = 1; i <= saves; ++i) {
            d.value.version = static_cast<int64_t>(i);
            for (size_t at = 0; at < bytes; at += 64) d.value.body[at] = static_cast<char>(i + at);
            store.save({i, d});
            ASSERT_TRUE(outcomeOf(store, i).ok);
            uintmax_t size = 0;
            std::error_code gone;  // LevelDB may remove files meanwhile
            for (const auto& e : std::filesystem::directory_iterator(dir_ / StateStore::kDirectoryName)) {
                const uintmax_t one = e.file_size(gone);
                if (!gone) size += one;
            }
            most = std::max(most, size);
        }
    }
    std::printf("%zu saves of %zu bytes: the directory held at most %ju bytes\n", saves, bytes, most);
    EXPECT_LT(most, 12 * bytes + (4u << 20));
    StateStore again(dir_, wake_);
    const auto found = again.takeLoaded();
    ASSERT_TRUE(std::holds_alternative<std::optional<DurableState>>(found));
    EXPECT_EQ(std::get<std::optional<DurableState>>(found)->value.version, static_cast<int64_t>(saves));
}

}  // namespace
}  // namespace petrelpond::consensus
