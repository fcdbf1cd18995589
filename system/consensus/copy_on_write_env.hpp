// A LevelDB environment in which a database is opened without a write to its folder: LevelDB can't open one
// otherwise, and a disk that is full, or hangs, would keep a core from telling what it holds. What LevelDB
// writes, renames and removes as it opens stays in memory, and is gone with the environment. It harms by that
// memory: the newest log as a table, 256 kB and the values written since.
#pragma once

#include <leveldb/env.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace petrelpond::consensus {

// For one database, which nobody else writes meanwhile; outlives it.
class CopyOnWriteEnv final : public leveldb::EnvWrapper {
  public:
    CopyOnWriteEnv();
    ~CopyOnWriteEnv() override;

    // From now on `contents` stands in the place of that file.
    leveldb::Status replaceContents(const std::string& name, const std::string& contents);

    leveldb::Status NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) override;
    leveldb::Status NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) override;
    leveldb::Status NewWritableFile(const std::string& name, leveldb::WritableFile** file) override;
    leveldb::Status NewAppendableFile(const std::string& name, leveldb::WritableFile** file) override;
    bool FileExists(const std::string& name) override;
    leveldb::Status GetChildren(const std::string& directory, std::vector<std::string>* names) override;
    leveldb::Status GetFileSize(const std::string& name, uint64_t* size) override;
    leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
    leveldb::Status RemoveFile(const std::string& name) override;
    leveldb::Status CreateDir(const std::string& directory) override;
    leveldb::Status RemoveDir(const std::string& directory) override;
    leveldb::Status LockFile(const std::string& name, leveldb::FileLock** lock) override;
    leveldb::Status UnlockFile(leveldb::FileLock* lock) override;

  private:
    leveldb::Env& envHolding(const std::string& name);
    bool isRemoved(const std::string& name);

    std::unique_ptr<leveldb::Env> overlay_;
    std::mutex mutex_;  // LevelDB removes files from a thread of its own
    std::set<std::string> removedNames_;
};

}  // namespace petrelpond::consensus
