#include "system/consensus/kept_state.hpp"

#include <fcntl.h>
#include <leveldb/db.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>

#include "system/consensus/copy_on_write.hpp"
#include "system/consensus/discard.hpp"
#include "system/consensus/durable_names.hpp"
#include "system/consensus/durable_record.hpp"
#include "system/consensus/null_logger.hpp"
#include "system/consensus/torn.hpp"

namespace petrelpond::consensus {
namespace {

namespace fs = std::filesystem;

// The names and lengths of a folder's files, for whoever has to find out what became of a disk.
std::string contentsOf(const fs::path& folder) {
    std::string text = "files:";
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(folder, error)) {
        std::error_code gone;
        text += " " + entry.path().filename().string() + "=" + std::to_string(entry.file_size(gone));
    }
    return text;
}

bool syncFile(const fs::path& file) {
    const int descriptor = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    const int why = errno;
    ::close(descriptor);
    errno = why;
    return synced;
}

// Whether something stands under this name. Not known where the disk does not say.
std::optional<bool> isThere(const fs::path& name) {
    std::error_code error;
    const fs::file_status status = fs::status(name, error);
    if (status.type() == fs::file_type::not_found) return false;
    if (error) return {};
    return true;
}

struct Opened {
    leveldb::Status status;
    std::unique_ptr<leveldb::DB> database;
    bool torn = false;  // the ends of some of its logs were left out
};

// What a database uses for as long as it is open.
struct Surroundings {
    CopyOnWrite files;
    NullLogger log;
};

Opened openedIn(Surroundings& around, const fs::path& folder) {
    leveldb::Options options;
    options.paranoid_checks = true;
    options.compression = leveldb::kNoCompression;
    options.info_log = &around.log;
    options.env = &around.files;
    leveldb::DB* database = nullptr;
    const leveldb::Status status = leveldb::DB::Open(options, folder.string(), &database);
    return {status, std::unique_ptr<leveldb::DB>(database)};
}

// Against power lost in the midst of a write: the end of a log is torn, and LevelDB refuses the whole.
// Nothing in a record that was not whole was ever told, so the state before it counts. Without this each such
// disk counted as lost, and where all lose power at once, so did a majority. It also takes a last record that
// was synced and rotted since for one that never was: that harms where a disk changes bytes that it had kept.
Opened openedWithoutTornEnds(Surroundings& around, const fs::path& folder) {
    Opened opened = openedIn(around, folder);
    if (!opened.status.IsCorruption()) return opened;
    const std::vector<TornFile> torn = tornFiles(folder);
    if (torn.empty()) return opened;
    for (const TornFile& each : torn) {
        const leveldb::Status replaced = around.files.replace(each.file.string(), each.whole);
        if (!replaced.ok()) return {replaced, nullptr};
    }
    opened = openedIn(around, folder);
    opened.torn = true;
    return opened;
}

// Only LevelDB's word that the bytes are wrong says so; all else that fails may pass.
KeptState failed(const std::string& what, const leveldb::Status& status) {
    if (status.IsCorruption()) return Damaged{what + status.ToString()};
    return Unreadable{what + status.ToString()};
}

KeptState stateIn(leveldb::DB& database, bool torn) {
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    options.fill_cache = false;
    std::string rest, value;
    const leveldb::Status restRead = database.Get(options, kRestKey, &rest);
    const leveldb::Status valueRead = database.Get(options, kValueKey, &value);
    if (restRead.IsNotFound() && valueRead.IsNotFound()) {
        if (torn) return Damaged{"no whole record"};
        return std::optional<DurableState>{};
    }
    if (restRead.IsNotFound()) return Damaged{"rest: missing"};
    if (!restRead.ok()) return failed("rest: ", restRead);
    std::optional<DurableState> found = unpackRest(rest);
    if (!found) return Damaged{"rest: wrong checksum or form"};
    if (found->value.version == 0) return found;
    if (valueRead.IsNotFound()) return Damaged{"value: missing"};
    if (!valueRead.ok()) return failed("value: ", valueRead);
    std::optional<Value> kept = unpackValue(value);
    if (!kept) return Damaged{"value: wrong checksum or form"};
    if (kept->version != found->value.version || kept->digest != found->value.digest)
        return Damaged{"value: of another version than the rest"};
    found->value.body = std::move(kept->body);
    return found;
}

}  // namespace

KeptState readKeptState(const fs::path& folder) {
    const std::optional<bool> folderThere = isThere(folder);
    if (!folderThere) return Unreadable{"look for " + folder.string()};
    if (!*folderThere) return std::optional<DurableState>{};
    // Before LevelDB, which maps tables into memory: there a read error would end the process.
    if (!readable(folder)) return Unreadable{"read the files of " + folder.string()};
    if (isBeingDiscarded(folder)) return Damaged{"was being discarded; " + contentsOf(folder)};
    const std::optional<bool> databaseThere = isThere(folder / "CURRENT");
    if (!databaseThere) return Unreadable{"look for " + (folder / "CURRENT").string()};
    if (!*databaseThere) return std::optional<DurableState>{};  // ended before its first state was written

    Surroundings around;
    const Opened opened = openedWithoutTornEnds(around, folder);
    KeptState state =
        opened.database ? stateIn(*opened.database, opened.torn) : failed("open: ", opened.status);
    auto* damage = std::get_if<Damaged>(&state);
    if (!damage) return state;
    damage->why += "; " + contentsOf(folder);
    return state;
}

std::string makeCertain(const fs::path& folder) {
    const std::optional<bool> there = isThere(folder);
    if (there && !*there) return {};
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(folder, error)) {
        if (!entry.is_regular_file(error) || syncFile(entry.path())) continue;
        return "sync " + entry.path().string() + ": " + std::strerror(errno);
    }
    if (error) return "list " + folder.string() + ": " + error.message();
    if (!syncFolder(folder)) return "sync " + folder.string() + ": " + std::strerror(errno);
    return {};
}

}  // namespace petrelpond::consensus
