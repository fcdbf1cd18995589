#include "src/store/disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace petrelpond::store {

namespace {

class RealFile : public File {
  public:
    explicit RealFile(int fd) : fd_(fd) {}
    ~RealFile() override { ::close(fd_); }
    int64_t read(int64_t at, char* to, size_t bytes) const override {
        size_t done = 0;
        while (done < bytes) {
            ssize_t n = ::pread(fd_, to + done, bytes - done, at + static_cast<int64_t>(done));
            if (n < 0 && errno == EINTR) continue;
            if (n < 0) return -1;
            if (n == 0) break;
            done += static_cast<size_t>(n);
        }
        return static_cast<int64_t>(done);
    }
    Trouble append(std::string_view bytes) override {
        while (!bytes.empty()) {
            ssize_t n = ::write(fd_, bytes.data(), bytes.size());
            if (n < 0 && errno == EINTR) continue;
            if (n <= 0) return n == 0 || errno == ENOSPC || errno == EDQUOT ? Trouble::full : Trouble::broken;
            bytes.remove_prefix(static_cast<size_t>(n));
        }
        return Trouble::none;
    }
    bool sync() override { return ::fdatasync(fd_) == 0; }
    bool cut(int64_t bytes) override { return ::ftruncate(fd_, bytes) == 0; }
    int64_t size() const override {
        struct stat is {};
        return ::fstat(fd_, &is) == 0 ? is.st_size : 0;
    }

  private:
    int fd_;
};

class RealDisk : public Disk {
  public:
    RealDisk(int folder, int lock) : folder_(folder), lock_(lock) {}
    ~RealDisk() override {
        ::close(folder_);
        if (lock_ >= 0) ::close(lock_);
    }
    std::vector<std::string> list() override {
        std::vector<std::string> names;
        int again = ::openat(folder_, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        DIR* all = again >= 0 ? ::fdopendir(again) : nullptr;
        if (!all) return names;
        while (const dirent* one = ::readdir(all)) {
            if (one->d_name[0] != '.') names.emplace_back(one->d_name);
        }
        ::closedir(all);
        return names;
    }
    std::unique_ptr<File> open(const std::string& name) override {
        int fd = ::openat(folder_, name.c_str(), O_RDONLY | O_CLOEXEC);
        return fd < 0 ? nullptr : std::make_unique<RealFile>(fd);
    }
    std::unique_ptr<File> create(const std::string& name, Trouble& trouble) override {
        int fd = ::openat(folder_, name.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
        trouble = fd >= 0 ? Trouble::none : errno == ENOSPC || errno == EDQUOT ? Trouble::full : Trouble::broken;
        return fd < 0 ? nullptr : std::make_unique<RealFile>(fd);
    }
    bool rename(const std::string& from, const std::string& to) override {
        return ::renameat(folder_, from.c_str(), folder_, to.c_str()) == 0;
    }
    bool remove(const std::string& name) override { return ::unlinkat(folder_, name.c_str(), 0) == 0; }
    bool syncFolder() override { return ::fsync(folder_) == 0; }
    bool setAside(const std::string& name, int64_t bytes) override {
        if (bytes <= 0) return remove(name);
        int fd = ::openat(folder_, name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd < 0) return false;
        // Whatever was got is given back where not all is to be had: half a reserve would be none.
        bool fine = ::ftruncate(fd, bytes) == 0 && ::posix_fallocate(fd, 0, bytes) == 0;
        ::close(fd);
        if (!fine) remove(name);
        return fine;
    }

  private:
    int folder_, lock_;
};

}  // namespace

std::unique_ptr<Disk> realDisk(const std::string& folder, bool writing, std::string& problem) {
    int at = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (at < 0) return problem = folder + ": " + std::strerror(errno), nullptr;
    int lock = -1;
    if (writing) {
        lock = ::openat(at, ".lock", O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (lock < 0 || ::flock(lock, LOCK_EX | LOCK_NB) != 0) {
            problem = folder + (errno == EWOULDBLOCK ? ": another process has it in use"
                                                     : std::string(": ") + std::strerror(errno));
            if (lock >= 0) ::close(lock);
            ::close(at);
            return nullptr;
        }
    }
    return std::make_unique<RealDisk>(at, lock);
}

}  // namespace petrelpond::store
