#include "system/consensus/state_store.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <cerrno>
#include <chrono>
#include <cstring>

#include "system/consensus/directory_sync_env.hpp"
#include "system/consensus/discard.hpp"
#include "system/consensus/durable_record.hpp"
#include "system/consensus/null_logger.hpp"
#include "system/consensus/stored_state.hpp"
#include "system/consensus/torn_log.hpp"

namespace petrelpond::consensus {
StateStore::StateStore(std::filesystem::path dataDirectory, int wakeFd, const RetryWait& waitBeforeRetry)
    : dataDirectory_(std::move(dataDirectory)), directory_(dataDirectory_ / kDirectoryName), wakeFd_(wakeFd),
      loaded_(std::optional<DurableState>{}), noLog_(std::make_unique<NullLogger>()),
      env_(std::make_unique<DirectorySyncEnv>(directory_)) {
    loaded_ = load(waitBeforeRetry);
    thread_ = std::thread([this] { runWriter(); });
}

void StateStore::waitReadRetryDelay(const std::string&) { std::this_thread::sleep_for(kReadRetryDelay); }

StateStore::~StateStore() {
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    pendingOrStopping_.notify_one();
    thread_.join();
}

std::string StateStore::open() {
    if (mustDiscard_) {
        if (std::string reason = discardDatabase(directory_); !reason.empty()) return reason;
        mustDiscard_ = false;
        isStored_ = false;
    }
    std::error_code error;
    if (!std::filesystem::exists(directory_, error)) {
        if (std::string reason = createDurableDirectories(dataDirectory_); !reason.empty()) return reason;
    }
    leveldb::Options options;
    options.create_if_missing = true;
    options.paranoid_checks = true;
    options.write_buffer_size = 256 << 10;
    options.max_open_files = 32;
    options.compression = leveldb::kNoCompression;
    options.info_log = noLog_.get();
    options.env = env_.get();
    leveldb::DB* db = nullptr;
    leveldb::Status status = leveldb::DB::Open(options, directory_.string(), &db);
    // Removes for good the torn ends that readStoredState() skipped.
    if (status.IsCorruption() && truncateTornLogs(directory_) > 0)
        status = leveldb::DB::Open(options, directory_.string(), &db);
    if (!status.ok()) {
        // Every Save is complete, so a database that got damaged while we run may be replaced. If the process
        // dies in between, the marker of discardDatabase() makes the disk count as lost, which is correct.
        if (status.IsCorruption()) mustDiscard_ = true;
        return "open " + directory_.string() + ": " + status.ToString();
    }
    db_.reset(db);
    // Without this, a loss of power could remove a new directory although its contents were synced. Done at
    // every open: an earlier process may have died between creating the directory and syncing its parent.
    if (!syncDirectory(dataDirectory_)) {
        db_.reset();
        return "sync " + dataDirectory_.string() + ": " + std::strerror(errno);
    }
    return {};
}

// Waits while the loaded files can't be synced, as on a disk that takes no writes at the start. Such a disk
// is neither lost nor damaged, and this core counts as away meanwhile. Drawback: if the disk never takes a
// sync again, this machine waits until it gets another disk.
void StateStore::waitUntilSynced(const RetryWait& waitBeforeRetry) {
    for (std::string reason = syncDatabaseFiles(directory_); !reason.empty() && areFilesReadable(directory_);
         reason = syncDatabaseFiles(directory_))
        waitBeforeRetry(reason);
}

network::Result<std::optional<DurableState>> StateStore::load(const RetryWait& waitBeforeRetry) {
    waitUntilSynced(waitBeforeRetry);
    StoredState state = readStoredState(directory_);
    for (int attempt = 1; attempt < kMaxReadAttempts && std::holds_alternative<Unreadable>(state);
         ++attempt) {
        waitBeforeRetry(std::get<Unreadable>(state).reason);
        state = readStoredState(directory_);
    }
    if (auto* found = std::get_if<std::optional<DurableState>>(&state)) {
        if (*found) {
            storedValue_ = {(*found)->value.version, 0, (*found)->value.digest};
            storedState_ = packStateRecord(**found);
            isStored_ = true;
        }
        return std::move(*found);
    }
    mustDiscard_ = true;
    const auto* damage = std::get_if<Damaged>(&state);
    return network::Problem{"read the stored state", directory_.string(),
                            damage ? damage->reason : "unreadable: " + std::get<Unreadable>(state).reason};
}

std::string StateStore::write(const SaveRequest& save) {
    if (!db_) {
        std::string reason = open();
        if (!reason.empty()) return reason;
    }
    // The ballot is part of the state record: the same text under another ballot is not written again.
    const ValueHeader mark{save.state.value.version, 0, save.state.value.digest};
    std::string stateRecord = packStateRecord(save.state);
    leveldb::WriteBatch batch;  // both records or neither
    const bool isNewValue = mark.version > 0 && (!isStored_ || mark != storedValue_);
    if (isNewValue) batch.Put(kValueKey, packValueRecord(save.state.value));
    if (!isStored_ || stateRecord != storedState_) {
        batch.Put(kStateKey, stateRecord);
    } else if (!isNewValue) {
        return {};  // already stored
    }
    leveldb::WriteOptions options;
    options.sync = true;
    const leveldb::Status status = db_->Write(options, &batch);
    if (!status.ok()) {
        // After a failed write LevelDB accepts no more, and how much of it is on disk is unknown.
        db_.reset();
        isStored_ = false;
        return "write " + directory_.string() + ": " + status.ToString();
    }
    storedValue_ = mark;
    storedState_ = std::move(stateRecord);
    isStored_ = true;
    return {};
}

void StateStore::save(SaveRequest save) {
    {
        const std::lock_guard lock(mutex_);
        pendingSave_ = std::move(save);
    }
    pendingOrStopping_.notify_one();
}

std::vector<StateStore::Outcome> StateStore::takeOutcomes() {
    std::vector<Outcome> outcomes;
    const std::lock_guard lock(mutex_);
    outcomes.swap(outcomes_);
    return outcomes;
}

void StateStore::runWriter() {
    std::unique_lock lock(mutex_);
    while (true) {
        pendingOrStopping_.wait(lock, [this] { return pendingSave_ || stopping_; });
        if (!pendingSave_) return;
        const SaveRequest save = std::move(*pendingSave_);
        pendingSave_.reset();
        lock.unlock();
        std::string reason = write(save);
        lock.lock();
        const bool ok = reason.empty();
        outcomes_.push_back({save.token, ok, std::move(reason)});
        const uint64_t one = 1;
        // The result is ignored: a saturated counter wakes the caller as well.
        [[maybe_unused]] const auto written = ::write(wakeFd_, &one, sizeof one);
    }
}

}  // namespace petrelpond::consensus
