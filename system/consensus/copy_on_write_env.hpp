// A LevelDB environment that opens a database without writing to its directory. LevelDB can't open one
// read-only, and a disk that is full or hangs would keep a core from telling what it holds. Files that
// LevelDB writes, renames and removes while opening stay in memory and are gone with the environment.
// Drawback: the memory for that, which is the newest log as a table, 256 kB plus the values written since.
#pragma once

#include <leveldb/env.h>

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace petrelpond::consensus {

// For a single database that nobody else writes to meanwhile. Must outlive the database.
class CopyOnWriteEnv final : public leveldb::EnvWrapper {
  public:
    CopyOnWriteEnv();
    ~CopyOnWriteEnv() override;

    // From now on the file is read as `contents`.
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
    std::mutex mutex_;  // LevelDB removes files from a background thread
    std::set<std::string> removedNames_;
};

}  // namespace petrelpond::consensus
