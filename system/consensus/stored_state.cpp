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

// Names and sizes of the files in a directory, for the diagnosis of a damaged disk.
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

// Whether the file exists; nullopt if the disk does not tell.
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
    bool skippedTornEnds = false;  // opened without the torn ends of some logs
};

// Used by a database as long as it is open, so it must outlive it.
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

// A loss of power during a write tears the end of a log, and LevelDB then refuses the whole database. Nothing
// in an incomplete record was ever announced, so the state before it is valid. Without this each such disk
// counted as lost, and so did a majority of them if all machines lost power at once. Drawback: a last record
// that was synced and corrupted since is also taken for one that was never synced, which matters if a disk
// changes bytes it had stored.
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

// Only a corruption status of LevelDB means damage; every other error may be transient.
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
        if (skippedTornEnds) return Damaged{"no complete record"};
        return std::optional<DurableState>{};
    }
    if (stateStatus.IsNotFound()) return Damaged{"record 'rest': missing"};
    if (!stateStatus.ok()) return stateOfError("record 'rest': ", stateStatus);
    std::optional<DurableState> found = unpackStateRecord(stateRecord);
    if (!found) return Damaged{"record 'rest': wrong checksum or format"};
    if (found->value.version == 0) return found;
    if (valueStatus.IsNotFound()) return Damaged{"record 'value': missing"};
    if (!valueStatus.ok()) return stateOfError("record 'value': ", valueStatus);
    std::optional<Value> storedValue = unpackValueRecord(value);
    if (!storedValue) return Damaged{"record 'value': wrong checksum or format"};
    if (storedValue->version != found->value.version || storedValue->digest != found->value.digest)
        return Damaged{"record 'value': its version or digest differs from record 'rest'"};
    found->value.body = std::move(storedValue->body);
    return found;
}

}  // namespace

StoredState readStoredState(const fs::path& directory) {
    const std::optional<bool> directoryExists = checkExists(directory);
    if (!directoryExists) return Unreadable{"can't stat " + directory.string()};
    if (!*directoryExists) return std::optional<DurableState>{};
    // Checked before LevelDB opens the files: it maps tables into memory, where a read error would kill the
    // process.
    if (!areFilesReadable(directory)) return Unreadable{"can't read all files in " + directory.string()};
    if (isDiscardInProgress(directory))
        return Damaged{"an earlier discard was interrupted; " + listFiles(directory)};
    const std::optional<bool> databaseExists = checkExists(directory / "CURRENT");
    if (!databaseExists) return Unreadable{"can't stat " + (directory / "CURRENT").string()};
    if (!*databaseExists)
        return std::optional<DurableState>{};  // the process ended before its first state was written

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
