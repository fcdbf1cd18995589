// A LevelDB environment for disks on which power takes back each change of a name that its folder's sync has
// not covered, one by one and in any order.
//
// LevelDB syncs its files, and the folder only with the manifest. So after an open the rename to CURRENT
// could be lost and the removal of the manifest that the former CURRENT names be kept, which makes the
// database unreadable; and a record that was synced to a new log was gone where the log's name was (issue
// 68). Here two orders hold: no file's contents are certain before the names made until then, and no file is
// removed before. It harms by one sync of the folder after each open and for each new log, some 256 kB of
// records.
#pragma once

#include <leveldb/env.h>

#include <filesystem>
#include <mutex>
#include <string>

namespace petrelpond::consensus {

// Makes the names in a folder certain. False with errno where that failed.
bool syncDirectory(const std::filesystem::path& directory);

// Makes a folder with those above it, and all their names certain. Empty: done; else why not.
//
// Against a state that is lost with the folder that the first start made for it: that folder's own name
// stands in the one above. All of them up to the root, made now or not: a former life may have ended between
// making a folder and syncing its name. Where a folder that was there already can't be synced it is the
// host's, and its name is as well.
std::string createDurableDirectories(const std::filesystem::path& directory);

// For one database; outlives it.
class DirectorySyncEnv final : public leveldb::EnvWrapper {
  public:
    explicit DirectorySyncEnv(std::filesystem::path directory);

    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
    leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    leveldb::Status RemoveFile(const std::string& name) override;

    // Returns once all names made until now are certain; at once where nothing changed.
    leveldb::Status syncPendingChanges();

  private:
    leveldb::Status wrapFile(const leveldb::Status& created, leveldb::WritableFile** file);
    void markChanged();

    const std::filesystem::path directory_;
    std::mutex mutex_;  // held through a sync: who comes second must not go on before it is over
    bool hasUnsyncedChanges_ = false;
};

}  // namespace petrelpond::consensus
