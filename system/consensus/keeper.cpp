#include "system/consensus/keeper.hpp"

#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>

#include <cerrno>
#include <chrono>
#include <cstring>

#include "system/consensus/discard.hpp"
#include "system/consensus/durable_names.hpp"
#include "system/consensus/durable_record.hpp"
#include "system/consensus/torn.hpp"

namespace petrelpond::consensus {
namespace {

const char* const valueKey = "value";  // the long part, rarely changed
const char* const restKey = "rest";    // all others, and the mark of the value that belongs to them

class Quiet : public leveldb::Logger {  // LevelDB's own log is of no use to anybody and costs writes
  public:
    void Logv(const char*, va_list) override {}
};

// The names and lengths of a folder's files, for whoever has to find out what became of a disk.
std::string contentsOf(const std::filesystem::path& folder) {
    std::string text = "files:";
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
        std::error_code gone;
        text += " " + entry.path().filename().string() + "=" + std::to_string(entry.file_size(gone));
    }
    return text;
}

}  // namespace

Keeper::Keeper(std::filesystem::path dataDir, int wake, const std::function<void()>& pause)
    : parent_(std::move(dataDir)), folder_(parent_ / kFolder), wake_(wake), found_(std::optional<Durable>{}),
      quiet_(std::make_unique<Quiet>()), names_(std::make_unique<DurableNames>(folder_)) {
    found_ = load(pause);
    thread_ = std::thread([this] { work(); });
}

void Keeper::aMoment() { std::this_thread::sleep_for(std::chrono::milliseconds(200)); }

Keeper::~Keeper() {
    {
        const std::lock_guard lock(mutex_);
        stop_ = true;
    }
    pendingOrStop_.notify_one();
    thread_.join();
}

std::string Keeper::open() {
    std::error_code ec;
    if (anew_) {
        if (std::string why = discard(folder_); !why.empty()) return why;
        anew_ = false;
        written_ = false;
    }
    std::filesystem::create_directories(parent_, ec);
    if (ec) return "make " + parent_.string() + ": " + ec.message();
    leveldb::Options options;
    options.create_if_missing = true;
    options.paranoid_checks = true;
    options.write_buffer_size = 256 << 10;
    options.max_open_files = 32;
    options.compression = leveldb::kNoCompression;
    options.info_log = quiet_.get();
    options.env = names_.get();
    leveldb::DB* db = nullptr;
    leveldb::Status status = leveldb::DB::Open(options, folder_.string(), &db);
    // Against power lost in the midst of a write: the end of a log is torn, and LevelDB refuses the whole.
    // Nothing in a record that was not whole was ever told, so the state before it counts. Without this
    // each such disk counted as lost, and where all lose power at once, so did a majority. It also takes a
    // last record that was synced and rotted since for one that never was: that harms where a disk changes
    // bytes that it had kept.
    if (status.IsCorruption() && cutTornEnds(folder_) > 0) {
        cut_ = true;
        status = leveldb::DB::Open(options, folder_.string(), &db);
    }
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

network::Result<std::optional<Durable>> Keeper::load(const std::function<void()>& pause) {
    const auto damaged = [this](const std::string& what) {
        db_.reset();
        anew_ = true;
        return network::Problem{"read the kept state", folder_.string(), what + "; " + contentsOf(folder_)};
    };
    std::error_code ec;
    if (!std::filesystem::exists(folder_, ec)) return std::optional<Durable>{};
    if (isBeingDiscarded(folder_)) return damaged("was being discarded");
    std::string why = open();
    // Against a disk that is full or refuses writes as we start, as LevelDB can't open without writing:
    // what lies there is neither lost nor damaged, and taken for lost it would be removed. So we wait, and
    // count as away. It harms where the disk never takes a write again: this machine then waits until it is
    // given another.
    while (!why.empty() && !anew_ && readable(folder_)) {
        pause();
        why = open();
    }
    if (!why.empty()) return damaged(why);
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    options.fill_cache = false;
    std::string rest, value;
    const leveldb::Status restRead = db_->Get(options, restKey, &rest);
    const leveldb::Status valueRead = db_->Get(options, valueKey, &value);
    if (restRead.IsNotFound() && valueRead.IsNotFound()) {
        if (cut_) return damaged("no whole record");
        return std::optional<Durable>{};
    }
    if (!restRead.ok()) return damaged("rest: " + restRead.ToString());
    std::optional<Durable> found = unpackRest(rest);
    if (!found) return damaged("rest: wrong checksum or form");
    value_ = {found->value.version, 0, found->value.digest};
    if (value_.version > 0) {
        if (!valueRead.ok()) return damaged("value: " + valueRead.ToString());
        std::optional<Value> kept = unpackValue(value);
        if (!kept) return damaged("value: wrong checksum or form");
        if (Mark{kept->version, 0, kept->digest} != value_)
            return damaged("value: of another version than the rest");
        found->value.body = std::move(kept->body);
    }
    rest_ = packRest(*found);
    written_ = true;
    return found;
}

std::string Keeper::write(const Save& save) {
    if (!db_) {
        std::string why = open();
        if (!why.empty()) return why;
    }
    // The ballot stands with the rest: the same text under another ballot is not written again.
    const Mark mark{save.state.value.version, 0, save.state.value.digest};
    std::string rest = packRest(save.state);
    leveldb::WriteBatch batch;  // both parts or neither
    const bool newValue = mark.version > 0 && (!written_ || mark != value_);
    if (newValue) batch.Put(valueKey, packValue(save.state.value));
    if (!written_ || rest != rest_) {
        batch.Put(restKey, rest);
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

void Keeper::save(Save save) {
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
        const Save save = std::move(*pending_);
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
