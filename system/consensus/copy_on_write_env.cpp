#include "system/consensus/copy_on_write_env.hpp"

#include <leveldb/helpers/memenv.h>

#include <algorithm>

namespace petrelpond::consensus {

using leveldb::Status;

CopyOnWriteEnv::CopyOnWriteEnv()
    : leveldb::EnvWrapper(leveldb::Env::Default()), overlay_(leveldb::NewMemEnv(leveldb::Env::Default())) {}

CopyOnWriteEnv::~CopyOnWriteEnv() = default;

Status CopyOnWriteEnv::replaceContents(const std::string& name, const std::string& contents) {
    return leveldb::WriteStringToFile(overlay_.get(), contents, name);
}

// The environment a file is read from: files in memory take precedence over those on disk.
leveldb::Env& CopyOnWriteEnv::envHolding(const std::string& name) {
    return overlay_->FileExists(name) || isRemoved(name) ? *overlay_ : *target();
}

bool CopyOnWriteEnv::isRemoved(const std::string& name) {
    const std::lock_guard lock(mutex_);
    return removedNames_.count(name) > 0;
}

Status CopyOnWriteEnv::NewSequentialFile(const std::string& name, leveldb::SequentialFile** file) {
    return envHolding(name).NewSequentialFile(name, file);
}

Status CopyOnWriteEnv::NewRandomAccessFile(const std::string& name, leveldb::RandomAccessFile** file) {
    return envHolding(name).NewRandomAccessFile(name, file);
}

Status CopyOnWriteEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
    return overlay_->NewWritableFile(name, file);
}

Status CopyOnWriteEnv::NewAppendableFile(const std::string& name, leveldb::WritableFile** file) {
    *file = nullptr;
    return Status::NotSupported("append to a file of a read-only database", name);
}

bool CopyOnWriteEnv::FileExists(const std::string& name) { return envHolding(name).FileExists(name); }

Status CopyOnWriteEnv::GetChildren(const std::string& directory, std::vector<std::string>* names) {
    std::vector<std::string> merged;
    Status listed = target()->GetChildren(directory, &merged);
    if (!listed.ok()) return listed;
    std::erase_if(merged, [&](const std::string& name) { return isRemoved(directory + "/" + name); });
    std::vector<std::string> overlaid;
    Status overlayListed = overlay_->GetChildren(directory, &overlaid);
    if (!overlayListed.ok()) return overlayListed;
    merged.insert(merged.end(), overlaid.begin(), overlaid.end());
    std::sort(merged.begin(), merged.end());
    merged.erase(std::unique(merged.begin(), merged.end()), merged.end());
    names->swap(merged);
    return Status::OK();
}

Status CopyOnWriteEnv::GetFileSize(const std::string& name, uint64_t* size) {
    return envHolding(name).GetFileSize(name, size);
}

Status CopyOnWriteEnv::RenameFile(const std::string& from, const std::string& to) {
    return overlay_->RenameFile(from, to);
}

Status CopyOnWriteEnv::RemoveFile(const std::string& name) {
    if (overlay_->FileExists(name)) overlay_->RemoveFile(name);
    const std::lock_guard lock(mutex_);
    removedNames_.insert(name);
    return Status::OK();
}

Status CopyOnWriteEnv::CreateDir(const std::string&) { return Status::OK(); }

Status CopyOnWriteEnv::RemoveDir(const std::string&) { return Status::OK(); }

Status CopyOnWriteEnv::LockFile(const std::string& name, leveldb::FileLock** lock) {
    return overlay_->LockFile(name, lock);
}

Status CopyOnWriteEnv::UnlockFile(leveldb::FileLock* lock) { return overlay_->UnlockFile(lock); }

}  // namespace petrelpond::consensus
