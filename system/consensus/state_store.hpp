// Writes the durable state of a Core to disk: one thread that owns a LevelDB database in its own directory.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "system/consensus/core.hpp"
#include "system/network/result.hpp"

namespace leveldb {
class DB;
class Logger;
}  // namespace leveldb

namespace petrelpond::consensus {

class DirectorySyncEnv;

class StateStore {
  public:
    struct Outcome {
        uint64_t token = 0;  // covers this Save and all before it
        bool ok = false;     // synced to disk; if false, call Core::handleSaveFailure
        std::string error;   // set if not ok
    };

    // Name of the directory below dataDirectory. It keeps the name of the first version: with another name
    // the disks in service would look empty, and every machine would count as one that lost its disk.
    static constexpr const char* kDirectoryName = "muir";

    // How often a disk that can't be read is read, with pauses of kReadRetryDelay, before it counts as lost.
    // If too few, a transient error costs a disk; if too many, a core whose disk is gone stays away that
    // long, although others could rebuild it.
    static constexpr int kMaxReadAttempts = 50;
    static constexpr auto kReadRetryDelay = std::chrono::milliseconds(200);

    // Sleeps for kReadRetryDelay.
    static void waitReadRetryDelay(const std::string& reason);

    // Loads what dataDirectory/kDirectoryName holds, without writing there. `wakeFd` is an eventfd of the
    // caller that outlives the StateStore; it is written when takeOutcomes() has something. `waitBeforeRetry`
    // is called with the reason while the disk can't be read or synced yet, and must wait a moment.
    using RetryWait = std::function<void(const std::string& reason)>;
    StateStore(std::filesystem::path dataDirectory, int wakeFd,
               const RetryWait& waitBeforeRetry = waitReadRetryDelay);
    ~StateStore();  // writes a Save that is still pending
    StateStore(const StateStore&) = delete;
    StateStore& operator=(const StateStore&) = delete;

    // What was loaded at the start, to be called once: nullopt for an empty disk, a Problem for a damaged or
    // unreadable one. In both cases the disk has forgotten its promises and the Core must get nullopt; the
    // first save() after a Problem discards the database and starts a new one.
    network::Result<std::optional<DurableState>> takeLoaded() { return std::move(loaded_); }

    void save(SaveRequest save);          // thread-safe; only the newest pending one is written
    std::vector<Outcome> takeOutcomes();  // thread-safe; in the order of tokens

  private:
    network::Result<std::optional<DurableState>> load(const RetryWait& waitBeforeRetry);
    void waitUntilSynced(const RetryWait& waitBeforeRetry);
    std::string open();                     // returns an error, empty on success
    std::string write(const SaveRequest&);  // returns an error, empty on success
    void runWriter();

    const std::filesystem::path dataDirectory_, directory_;
    const int wakeFd_;
    network::Result<std::optional<DurableState>> loaded_;
    std::unique_ptr<leveldb::Logger> noLog_;
    std::unique_ptr<DirectorySyncEnv> env_;
    std::unique_ptr<leveldb::DB> db_;
    bool mustDiscard_ = false;  // the database is lost or damaged: discard it before the next write
    bool isStored_ = false;     // the next two are on disk
    std::string storedState_;
    ValueHeader storedValue_;

    std::mutex mutex_;  // guards the members below
    std::condition_variable pendingOrStopping_;
    std::optional<SaveRequest> pendingSave_;
    bool stopping_ = false;
    std::vector<Outcome> outcomes_;
    std::thread thread_;  // declared last: it uses all other members
};

}  // namespace petrelpond::consensus
