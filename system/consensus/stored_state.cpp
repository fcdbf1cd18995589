#include "system/consensus/stored_state.hpp"

#include <fcntl.h>
#include <leveldb/db.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>

#include "system/consensus/copy_on_write_env.hpp"
#include "system/consensus/directory_sync_env.hpp"
#include "system/consensus/discard.hpp"
#include "system/consensus/durable_record.hpp"
#include "system/consensus/null_logger.hpp"
#include "system/consensus/torn_log.hpp"

namespace petrelpond::consensus {
namespace {

namespace fs = std::filesystem;

// The names and lengths of a folder's files, for whoever has to find out what became of a disk.
std::string listFiles(const fs::path& directory) {
    std::string text = "files:";
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(directory, error)) {
        std::error_code gone;
        text += " " + entry.path().filename().string() + "=" + std::to_string(entry.file_size(gone));
    }
    return text;
}

bool syncFile(const fs::path& file) {
    const int descriptor = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    const int savedErrno = errno;
    ::close(descriptor);
    errno = savedErrno;
    return synced;
}

// Whether something stands under this name. Not known where the disk does not say.
std::optional<bool> checkExists(const fs::path& name) {
    std::error_code error;
    const fs::file_status status = fs::status(name, error);
    if (status.type() == fs::file_type::not_found) return false;
    if (error) return {};
    return true;
}

struct OpenResult {
    leveldb::Status status;
    std::unique_ptr<leveldb::DB> database;
    bool skippedTornEnds = false;  // the ends of some of its logs were left out
};

// What a database uses for as long as it is open.
struct DatabaseEnvironment {
    CopyOnWriteEnv env;
    NullLogger log;
};

OpenResult openDatabase(DatabaseEnvironment& environment, const fs::path& directory) {
    leveldb::Options options;
    options.paranoid_checks = true;
    options.compression = leveldb::kNoCompression;
    options.info_log = &environment.log;
    options.env = &environment.env;
    leveldb::DB* database = nullptr;
    const leveldb::Status status = leveldb::DB::Open(options, directory.string(), &database);
    return {status, std::unique_ptr<leveldb::DB>(database)};
}

// Against power lost in the midst of a write: the end of a log is torn, and LevelDB refuses the whole.
// Nothing in a record that was not whole was ever told, so the state before it counts. Without this each such
// disk counted as lost, and where all lose power at once, so did a majority. It also takes a last record that
// was synced and rotted since for one that never was: that harms where a disk changes bytes that it had kept.
OpenResult openSkippingTornEnds(DatabaseEnvironment& environment, const fs::path& directory) {
    OpenResult opened = openDatabase(environment, directory);
    if (!opened.status.IsCorruption()) return opened;
    const std::vector<TornLog> skippedTornEnds = findTornLogs(directory);
    if (skippedTornEnds.empty()) return opened;
    for (const TornLog& each : skippedTornEnds) {
        const leveldb::Status replaced =
            environment.env.replaceContents(each.file.string(), each.intactBytes);
        if (!replaced.ok()) return {replaced, nullptr};
    }
    opened = openDatabase(environment, directory);
    opened.skippedTornEnds = true;
    return opened;
}

// Only LevelDB's word that the bytes are wrong says so; all else that fails may pass.
StoredState stateOfError(const std::string& step, const leveldb::Status& status) {
    if (status.IsCorruption()) return Damaged{step + status.ToString()};
    return Unreadable{step + status.ToString()};
}

StoredState loadState(leveldb::DB& database, bool skippedTornEnds) {
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    options.fill_cache = false;
    std::string stateRecord, value;
    const leveldb::Status stateStatus = database.Get(options, kStateKey, &stateRecord);
    const leveldb::Status valueStatus = database.Get(options, kValueKey, &value);
    if (stateStatus.IsNotFound() && valueStatus.IsNotFound()) {
        if (skippedTornEnds) return Damaged{"no whole record"};
        return std::optional<DurableState>{};
    }
    if (stateStatus.IsNotFound()) return Damaged{"rest: missing"};
    if (!stateStatus.ok()) return stateOfError("rest: ", stateStatus);
    std::optional<DurableState> found = unpackStateRecord(stateRecord);
    if (!found) return Damaged{"rest: wrong checksum or form"};
    if (found->value.version == 0) return found;
    if (valueStatus.IsNotFound()) return Damaged{"value: missing"};
    if (!valueStatus.ok()) return stateOfError("value: ", valueStatus);
    std::optional<Value> storedValue = unpackValueRecord(value);
    if (!storedValue) return Damaged{"value: wrong checksum or form"};
    if (storedValue->version != found->value.version || storedValue->digest != found->value.digest)
        return Damaged{"value: of another version than the rest"};
    found->value.body = std::move(storedValue->body);
    return found;
}

}  // namespace

StoredState readStoredState(const fs::path& directory) {
    const std::optional<bool> directoryExists = checkExists(directory);
    if (!directoryExists) return Unreadable{"look for " + directory.string()};
    if (!*directoryExists) return std::optional<DurableState>{};
    // Before LevelDB, which maps tables into memory: there a read error would end the process.
    if (!areFilesReadable(directory)) return Unreadable{"read the files of " + directory.string()};
    if (isDiscardInProgress(directory)) return Damaged{"was being discarded; " + listFiles(directory)};
    const std::optional<bool> databaseExists = checkExists(directory / "CURRENT");
    if (!databaseExists) return Unreadable{"look for " + (directory / "CURRENT").string()};
    if (!*databaseExists) return std::optional<DurableState>{};  // ended before its first state was written

    DatabaseEnvironment environment;
    const OpenResult opened = openSkippingTornEnds(environment, directory);
    StoredState state = opened.database ? loadState(*opened.database, opened.skippedTornEnds)
                                        : stateOfError("open: ", opened.status);
    auto* damaged = std::get_if<Damaged>(&state);
    if (!damaged) return state;
    damaged->reason += "; " + listFiles(directory);
    return state;
}

std::string syncDatabaseFiles(const fs::path& directory) {
    const std::optional<bool> exists = checkExists(directory);
    if (exists && !*exists) return {};
    std::error_code error;
    for (const auto& entry : fs::directory_iterator(directory, error)) {
        if (!entry.is_regular_file(error) || syncFile(entry.path())) continue;
        return "sync " + entry.path().string() + ": " + std::strerror(errno);
    }
    if (error) return "list " + directory.string() + ": " + error.message();
    if (!syncDirectory(directory)) return "sync " + directory.string() + ": " + std::strerror(errno);
    return {};
}

}  // namespace petrelpond::consensus
