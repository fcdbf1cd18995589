// A LevelDB environment for disks on which a loss of power may undo any change of a file name (create,
// rename, remove) that no sync of the directory has covered, one by one and in any order.
//
// LevelDB syncs its files, but the directory only along with the manifest. After an open, the rename to
// CURRENT could be lost while the removal of the manifest that the former CURRENT names was kept, which makes
// the database unreadable; and a record synced to a new log was gone when the name of the log was lost (issue
// 68). This environment keeps two rules: contents of a file are synced only after all names created until
// then, and a file is removed only after them too. Drawback: one sync of the directory after each open and
// for each new log, that is about every 256 kB of records.
#pragma once

#include <leveldb/env.h>

#include <filesystem>
#include <mutex>
#include <string>

namespace petrelpond::consensus {

// Makes the names in a directory durable. Returns false with errno set on failure.
bool syncDirectory(const std::filesystem::path& directory);

// Creates a directory and its missing parents, and makes all their names durable. Returns an empty string on
// success, otherwise the error.
//
// The state would be lost together with the directory that the first start created for it, since the name of
// a directory is stored in its parent. Every parent up to the root is synced, created now or not: an earlier
// process may have ended between creating a directory and syncing its name. A failure to sync the parent of a
// directory that existed already is ignored: that directory is the host's, and its name is taken to be
// durable.
std::string createDurableDirectories(const std::filesystem::path& directory);

// For a single database. Must outlive it.
class DirectorySyncEnv final : public leveldb::EnvWrapper {
  public:
    explicit DirectorySyncEnv(std::filesystem::path directory);

    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
    leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    leveldb::Status RemoveFile(const std::string& name) override;

    // Returns once all names created until now are durable; at once if nothing changed.
    leveldb::Status syncPendingChanges();

  private:
    leveldb::Status wrapFile(const leveldb::Status& created, leveldb::WritableFile** file);
    void markChanged();

    const std::filesystem::path directory_;
    std::mutex mutex_;  // held during a sync: a second caller must not return before it is done
    bool hasUnsyncedChanges_ = false;
};

}  // namespace petrelpond::consensus
