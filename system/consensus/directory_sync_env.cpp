#include "system/consensus/directory_sync_env.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>
#include <utility>

namespace petrelpond::consensus {
namespace {

// A file whose Sync() first syncs pending changes of names in the directory.
class DirectorySyncedFile final : public leveldb::WritableFile {
  public:
    DirectorySyncedFile(DirectorySyncEnv& env, leveldb::WritableFile* file) : env_(env), file_(file) {}
    leveldb::Status Append(const leveldb::Slice& data) override { return file_->Append(data); }
    leveldb::Status Close() override { return file_->Close(); }
    leveldb::Status Flush() override { return file_->Flush(); }
    leveldb::Status Sync() override {
        const leveldb::Status directorySynced = env_.syncPendingChanges();
        return directorySynced.ok() ? file_->Sync() : directorySynced;
    }

  private:
    DirectorySyncEnv& env_;
    std::unique_ptr<leveldb::WritableFile> file_;
};

}  // namespace

bool syncDirectory(const std::filesystem::path& directory) {
    const int descriptor = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return false;
    const bool synced = ::fsync(descriptor) == 0;
    const int savedErrno = errno;
    ::close(descriptor);
    errno = savedErrno;
    return synced;
}

std::string createDurableDirectories(const std::filesystem::path& directory) {
    const std::filesystem::path absolutePath = std::filesystem::absolute(directory).lexically_normal();
    std::filesystem::path current = absolutePath.root_path();
    for (const std::filesystem::path& name : absolutePath.relative_path()) {
        if (name.empty()) continue;
        const std::filesystem::path parent = current;
        current /= name;
        std::error_code error;
        const bool created = !std::filesystem::is_directory(current, error) &&
                             std::filesystem::create_directory(current, error);
        if (!created && !std::filesystem::is_directory(current, error))
            return "create " + current.string() + ": " + error.message();
        if (!syncDirectory(parent) && created) return "sync " + parent.string() + ": " + std::strerror(errno);
    }
    return {};
}

DirectorySyncEnv::DirectorySyncEnv(std::filesystem::path directory)
    : leveldb::EnvWrapper(leveldb::Env::Default()), directory_(std::move(directory)) {}

void DirectorySyncEnv::markChanged() {
    const std::lock_guard lock(mutex_);
    hasUnsyncedChanges_ = true;
}

leveldb::Status DirectorySyncEnv::syncPendingChanges() {
    const std::lock_guard lock(mutex_);
    if (!hasUnsyncedChanges_) return leveldb::Status::OK();
    if (!syncDirectory(directory_))
        return leveldb::Status::IOError("sync " + directory_.string(), std::strerror(errno));
    hasUnsyncedChanges_ = false;
    return leveldb::Status::OK();
}

leveldb::Status DirectorySyncEnv::wrapFile(const leveldb::Status& created, leveldb::WritableFile** file) {
    if (!created.ok()) return created;
    markChanged();
    *file = new DirectorySyncedFile(*this, *file);
    return created;
}

leveldb::Status DirectorySyncEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
    return wrapFile(target()->NewWritableFile(name, file), file);
}

leveldb::Status DirectorySyncEnv::NewAppendableFile(const std::string& name, leveldb::WritableFile** file) {
    return wrapFile(target()->NewAppendableFile(name, file), file);
}

// Not synced here: if the sync failed, LevelDB would take the rename as undone and remove the manifest that
// CURRENT may already name.
leveldb::Status DirectorySyncEnv::RenameFile(const std::string& from, const std::string& to) {
    leveldb::Status status = target()->RenameFile(from, to);
    if (status.ok()) markChanged();
    return status;
}

// A file that can't be removed in this order stays; LevelDB tries again at the next open.
leveldb::Status DirectorySyncEnv::RemoveFile(const std::string& name) {
    const leveldb::Status directorySynced = syncPendingChanges();
    return directorySynced.ok() ? target()->RemoveFile(name) : directorySynced;
}

}  // namespace petrelpond::consensus
