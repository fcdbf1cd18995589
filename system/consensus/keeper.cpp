#include "system/consensus/keeper.hpp"

#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/env.h>
#include <leveldb/write_batch.h>
#include <unistd.h>

#include <chrono>
#include <cstring>

#include "system/consensus/durable_names.hpp"
#include "system/consensus/torn.hpp"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace petrelpond::consensus {
namespace {

const char* const valueKey = "value";  // the long part, rarely changed
const char* const restKey = "rest";    // all others, and the mark of the value that belongs to them

class Quiet : public leveldb::Logger {  // LevelDB's own log is of no use to anybody and costs writes
  public:
    void Logv(const char*, va_list) override {}
};

// Checksum, then the content. Against a disk that hands back other bytes than it got; LevelDB checks its
// blocks, this also catches an older block in the place of a newer.
std::string framed(std::string_view content) {
    const uint64_t sum = XXH3_64bits(content.data(), content.size());
    std::string s(sizeof sum + content.size(), '\0');
    std::memcpy(s.data(), &sum, sizeof sum);
    std::memcpy(s.data() + sizeof sum, content.data(), content.size());
    return s;
}

std::optional<std::string_view> unframed(std::string_view s) {
    uint64_t sum = 0;
    if (s.size() < sizeof sum) return {};
    std::memcpy(&sum, s.data(), sizeof sum);
    s.remove_prefix(sizeof sum);
    if (XXH3_64bits(s.data(), s.size()) != sum) return {};
    return s;
}

constexpr size_t valueHead = sizeof(int64_t) + sizeof(uint64_t);

std::string packValue(const Value& v) {
    std::string s(valueHead, '\0');
    std::memcpy(s.data(), &v.version, sizeof v.version);
    std::memcpy(s.data() + sizeof v.version, &v.digest, sizeof v.digest);
    s += v.body;
    return s;
}

constexpr uint32_t restFields = 21;
constexpr uint32_t restFieldsBeforeBallots = 17;  // of disks written before versions were decided by ballots

std::string packRest(const Durable& d) {
    msgpack::sbuffer buffer(512);
    msgpack::packer<msgpack::sbuffer> p(buffer);
    p.pack_array(restFields);
    p.pack(d.value.version);
    p.pack(d.value.digest);
    p.pack(d.voters);
    p.pack(d.electors);
    p.pack(d.votersBallot);
    p.pack(d.votersAccepted);
    p.pack(d.votersOffer);
    p.pack(d.term);
    p.pack(d.votedFor);
    p.pack(d.recovering);
    p.pack(d.elects);
    p.pack(d.epoch);
    p.pack(d.former);
    p.pack(d.entering);
    p.pack(d.joined);
    p.pack(d.birth);
    p.pack(d.promisedTo);
    p.pack(d.value.ballot);
    p.pack(d.claims);
    p.pack(d.saves);
    p.pack_map(static_cast<uint32_t>(d.seen.size()));
    for (const auto& [node, age] : d.seen) {
        p.pack(node);
        p.pack(std::pair(age.birth, age.saves));
    }
    return std::string(buffer.data(), buffer.size());
}

std::optional<Durable> unpackRest(std::string_view bytes) {
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
        const msgpack::object& o = handle.get();
        if (o.type != msgpack::type::ARRAY) return {};
        const uint32_t size = o.via.array.size;
        if (size != restFields && size != restFieldsBeforeBallots) return {};
        const msgpack::object* f = o.via.array.ptr;
        Durable d;
        d.value.version = f[0].as<int64_t>();
        d.value.digest = f[1].as<uint64_t>();
        d.voters = f[2].as<std::vector<NodeId>>();
        d.electors = f[3].as<std::vector<NodeId>>();
        d.votersBallot = f[4].as<uint64_t>();
        d.votersAccepted = f[5].as<uint64_t>();
        d.votersOffer = f[6].as<std::vector<NodeId>>();
        d.term = f[7].as<uint64_t>();
        d.votedFor = f[8].as<NodeId>();
        d.recovering = f[9].as<bool>();
        d.elects = f[10].as<bool>();
        d.epoch = f[11].as<uint64_t>();
        d.former = f[12].as<std::vector<NodeId>>();
        d.entering = f[13].as<uint8_t>();
        d.joined = f[14].as<std::vector<std::string>>();
        d.birth = f[15].as<uint64_t>();
        d.promisedTo = f[16].as<NodeId>();
        if (size == restFieldsBeforeBallots) return d;
        d.value.ballot = f[17].as<uint64_t>();
        d.claims = f[18].as<std::map<int64_t, uint64_t>>();
        d.saves = f[19].as<uint64_t>();
        for (const auto& [node, age] : f[20].as<std::map<NodeId, std::pair<uint64_t, uint64_t>>>())
            d.seen[node] = {age.first, age.second};
        return d;
    } catch (const std::exception&) {
        return {};
    }
}

// In the folder while its files are being removed: what still stands there is of no use.
const char* const discardMark = "DISCARDED";

bool makeSynced(const std::filesystem::path& file) {
    const int descriptor = ::open(file.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    ::close(descriptor);
    return synced;
}

// Empties a folder that counts as lost. Against power lost midway: a part of the files is another, older
// database to LevelDB, and its records would come back as if they had never been given up. So the mark is
// certain before the first file goes, and goes last. Empty: done; else why not.
std::string discard(const std::filesystem::path& folder) {
    const auto failed = [&](const char* what) {
        return std::string(what) + " " + folder.string() + ": " + std::strerror(errno);
    };
    const std::filesystem::path mark = folder / discardMark;
    // By a rename where it can be, which needs no room: else a full disk would stay full of what is of no
    // use.
    const bool renamed = ::rename((folder / "CURRENT").c_str(), mark.c_str()) == 0;
    if ((!renamed && !makeSynced(mark)) || !syncFolder(folder)) return failed("mark");
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.path() != mark) std::filesystem::remove_all(entry.path(), error);
        if (error) return "empty " + folder.string() + ": " + error.message();
    }
    if (!syncFolder(folder)) return failed("empty");
    std::filesystem::remove(mark, error);
    if (error || !syncFolder(folder)) return failed("unmark");
    return {};
}

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
    if (std::filesystem::exists(folder_ / discardMark, ec)) return damaged("was being discarded");
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
    const auto restContent = unframed(rest);
    if (!restContent) return damaged("rest: wrong checksum");
    std::optional<Durable> d = unpackRest(*restContent);
    if (!d) return damaged("rest: not of this form");
    value_ = {d->value.version, 0, d->value.digest};
    if (d->value.version > 0) {
        if (!valueRead.ok()) return damaged("value: " + valueRead.ToString());
        const auto content = unframed(value);
        if (!content || content->size() < valueHead) return damaged("value: wrong checksum");
        Mark mark;
        std::memcpy(&mark.version, content->data(), sizeof mark.version);
        std::memcpy(&mark.digest, content->data() + sizeof mark.version, sizeof mark.digest);
        if (mark != value_) return damaged("value: of another version than the rest");
        d->value.body = content->substr(valueHead);
    }
    rest_ = packRest(*d);
    written_ = true;
    return d;
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
    if (newValue) batch.Put(valueKey, framed(packValue(save.state.value)));
    if (!written_ || rest != rest_) {
        batch.Put(restKey, framed(rest));
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
