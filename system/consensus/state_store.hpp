// Brings what a Core has to save to disk: one thread that owns a LevelDB database in a folder of its own.
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
        uint64_t token = 0;  // this Save and all before it
        bool ok = false;     // on disk and synced; else hand it to Core::handleSaveFailure
        std::string error;   // if not ok
    };

    // The folder below dataDir. It keeps the name that it had in the first version: under another one the
    // disks that are in service would look empty, and each of their machines would count as one that lost its
    // disk.
    static constexpr const char* kDirectoryName = "muir";

    // So often a disk is asked again for bytes that it does not give, at pauses of kReadAgain, before it
    // counts as lost. Harm: if too few, a disk that stumbles is one loss more; if too many, this core is away
    // for so long where its disk is gone, though others could rebuild it.
    static constexpr int kMaxReadAttempts = 50;
    static constexpr auto kReadRetryDelay = std::chrono::milliseconds(200);

    // Waits for kReadAgain.
    static void waitReadRetryDelay(const std::string& reason);

    // Reads what dataDir/kFolder holds, without writing there. `wake` is an eventfd of the caller, which
    // outlives the Keeper; it is written when collect() has something. `pause` waits a moment, where the disk
    // does not give what it holds yet; it is told why.
    using RetryWait = std::function<void(const std::string& reason)>;
    StateStore(std::filesystem::path dataDirectory, int wakeFd,
               const RetryWait& waitBeforeRetry = waitReadRetryDelay);
    ~StateStore();  // writes what is still pending
    StateStore(const StateStore&) = delete;
    StateStore& operator=(const StateStore&) = delete;

    // What was found at the start, once: nullopt for an empty disk, a Problem for a damaged one. Either way
    // the disk has forgotten what it promised, and the Core gets nullopt; the first save() begins the folder
    // anew.
    network::Result<std::optional<DurableState>> takeLoaded() { return std::move(loaded_); }

    void save(SaveRequest save);          // from any thread; only the newest pending one is written
    std::vector<Outcome> takeOutcomes();  // from any thread; in the order of tokens

  private:
    network::Result<std::optional<DurableState>> load(const RetryWait& waitBeforeRetry);
    void waitUntilSynced(const RetryWait& waitBeforeRetry);
    std::string open();                     // empty: done; else why not
    std::string write(const SaveRequest&);  // empty: done; else why not
    void runWriter();

    const std::filesystem::path dataDirectory_, directory_;
    const int wakeFd_;
    network::Result<std::optional<DurableState>> loaded_;
    std::unique_ptr<leveldb::Logger> noLog_;
    std::unique_ptr<DirectorySyncEnv> env_;
    std::unique_ptr<leveldb::DB> db_;
    bool mustDiscard_ = false;  // what is there is of no use: remove it before the next write
    bool isStored_ = false;     // the two below lie on disk
    std::string storedState_;
    ValueHeader storedValue_;

    std::mutex mutex_;  // of what follows
    std::condition_variable pendingOrStopping_;
    std::optional<SaveRequest> pendingSave_;
    bool stopping_ = false;
    std::vector<Outcome> outcomes_;
    std::thread thread_;  // last: it uses all the others
};

}  // namespace petrelpond::consensus
