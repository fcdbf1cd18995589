#include "system/consensus/keeper.hpp"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <cerrno>
#include <chrono>
#include <cstring>

#include "system/consensus/discard.hpp"
#include "system/consensus/durable_names.hpp"
#include "system/consensus/durable_record.hpp"
#include "system/consensus/kept_state.hpp"
#include "system/consensus/null_logger.hpp"
#include "system/consensus/torn.hpp"

namespace petrelpond::consensus {
Keeper::Keeper(std::filesystem::path dataDir, int wake, const Pause& pause)
    : parent_(std::move(dataDir)), folder_(parent_ / kFolder), wake_(wake),
      found_(std::optional<DurableState>{}), noLog_(std::make_unique<NullLogger>()),
      names_(std::make_unique<DurableNames>(folder_)) {
    found_ = load(pause);
    thread_ = std::thread([this] { work(); });
}

void Keeper::pauseBeforeReading(const std::string&) { std::this_thread::sleep_for(kReadAgain); }

Keeper::~Keeper() {
    {
        const std::lock_guard lock(mutex_);
        stop_ = true;
    }
    pendingOrStop_.notify_one();
    thread_.join();
}

std::string Keeper::open() {
    if (anew_) {
        if (std::string why = discard(folder_); !why.empty()) return why;
        anew_ = false;
        written_ = false;
    }
    std::error_code error;
    if (!std::filesystem::exists(folder_, error)) {
        if (std::string why = makeFolders(parent_); !why.empty()) return why;
    }
    leveldb::Options options;
    options.create_if_missing = true;
    options.paranoid_checks = true;
    options.write_buffer_size = 256 << 10;
    options.max_open_files = 32;
    options.compression = leveldb::kNoCompression;
    options.info_log = noLog_.get();
    options.env = names_.get();
    leveldb::DB* db = nullptr;
    leveldb::Status status = leveldb::DB::Open(options, folder_.string(), &db);
    // What was left out as the state was read, see readKeptState().
    if (status.IsCorruption() && cutTornEnds(folder_) > 0)
        status = leveldb::DB::Open(options, folder_.string(), &db);
    if (!status.ok()) {
        // Every Save is whole, so a database damaged while we run may be begun anew. Should we die in
        // between, the mark of discard() says so, and the disk counts as lost, which is true.
        if (status.IsCorruption()) anew_ = true;
        return "open " + folder_.string() + ": " + status.ToString();
    }
    db_.reset(db);
    // Against a new folder that a power loss removes again although what lies in it was synced. Each time:
    // the life before may have died between making the folder and this.
    if (!syncFolder(parent_)) {
        db_.reset();
        return "sync " + parent_.string() + ": " + std::strerror(errno);
    }
    return {};
}

// Against a disk that takes no writes as we start, where what is read can't be made certain: it is neither
// lost nor damaged, so we wait, and count as away. It harms where the disk never takes a sync again: this
// machine then waits until it is given another.
void Keeper::awaitCertain(const Pause& pause) {
    for (std::string why = makeCertain(folder_); !why.empty() && readable(folder_);
         why = makeCertain(folder_))
        pause(why);
}

network::Result<std::optional<DurableState>> Keeper::load(const Pause& pause) {
    awaitCertain(pause);
    KeptState state = readKeptState(folder_);
    for (int tries = 1; tries < kReadTries && std::holds_alternative<Unreadable>(state); ++tries) {
        pause(std::get<Unreadable>(state).why);
        state = readKeptState(folder_);
    }
    if (auto* found = std::get_if<std::optional<DurableState>>(&state)) {
        if (*found) {
            value_ = {(*found)->value.version, 0, (*found)->value.digest};
            rest_ = packRest(**found);
            written_ = true;
        }
        return std::move(*found);
    }
    anew_ = true;
    const auto* damage = std::get_if<Damaged>(&state);
    return network::Problem{"read the kept state", folder_.string(),
                            damage ? damage->why : "can't be read: " + std::get<Unreadable>(state).why};
}

std::string Keeper::write(const SaveRequest& save) {
    if (!db_) {
        std::string why = open();
        if (!why.empty()) return why;
    }
    // The ballot stands with the rest: the same text under another ballot is not written again.
    const ValueHeader mark{save.state.value.version, 0, save.state.value.digest};
    std::string rest = packRest(save.state);
    leveldb::WriteBatch batch;  // both parts or neither
    const bool newValue = mark.version > 0 && (!written_ || mark != value_);
    if (newValue) batch.Put(kValueKey, packValue(save.state.value));
    if (!written_ || rest != rest_) {
        batch.Put(kRestKey, rest);
    } else if (!newValue) {
        return {};  // it lies there already
    }
    leveldb::WriteOptions options;
    options.sync = true;
    const leveldb::Status status = db_->Write(options, &batch);
    if (!status.ok()) {
        // After a failed write LevelDB takes no more; and what of it lies on disk is not known.
        db_.reset();
        written_ = false;
        return "write " + folder_.string() + ": " + status.ToString();
    }
    value_ = mark;
    rest_ = std::move(rest);
    written_ = true;
    return {};
}

void Keeper::save(SaveRequest save) {
    {
        const std::lock_guard lock(mutex_);
        pending_ = std::move(save);
    }
    pendingOrStop_.notify_one();
}

std::vector<Keeper::Outcome> Keeper::collect() {
    std::vector<Outcome> outcomes;
    const std::lock_guard lock(mutex_);
    outcomes.swap(outcomes_);
    return outcomes;
}

void Keeper::work() {
    std::unique_lock lock(mutex_);
    while (true) {
        pendingOrStop_.wait(lock, [this] { return pending_ || stop_; });
        if (!pending_) return;
        const SaveRequest save = std::move(*pending_);
        pending_.reset();
        lock.unlock();
        std::string why = write(save);
        lock.lock();
        const bool ok = why.empty();
        outcomes_.push_back({save.token, ok, std::move(why)});
        const uint64_t one = 1;
        // A full counter wakes the caller just as well.
        [[maybe_unused]] const auto written = ::write(wake_, &one, sizeof one);
    }
}

}  // namespace petrelpond::consensus
