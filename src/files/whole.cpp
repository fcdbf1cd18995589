#include "src/files/whole.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>

namespace petrelpond::files {

namespace {

std::string writeAll(const std::string& path, std::string_view bytes) {
    int fd = ::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) return std::strerror(errno);
    std::string problem;
    while (!bytes.empty() && problem.empty()) {
        ssize_t put = ::write(fd, bytes.data(), bytes.size());
        if (put < 0 && errno == EINTR) continue;
        if (put <= 0) problem = std::strerror(put < 0 ? errno : ENOSPC);
        if (put > 0) bytes.remove_prefix(static_cast<size_t>(put));
    }
    // A rename over what was good must not come to the disk before the bytes do.
    if (problem.empty() && ::fdatasync(fd) != 0) problem = std::strerror(errno);
    ::close(fd);
    return problem;
}

// Against a power loss that takes the new name back after the caller has told others of it.
bool syncFolderOf(const std::string& path) {
    const size_t slash = path.rfind('/');
    const std::string folder = slash == std::string::npos ? "." : path.substr(0, slash + 1);
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return false;
    const bool synced = ::fsync(fd) == 0;
    const int why = errno;
    ::close(fd);
    errno = why;
    return synced;
}

}  // namespace

bool readWhole(const std::string& path, std::string& into, size_t most) {
    int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return false;
    char part[4096];
    ssize_t got = 0;
    while (into.size() < most && ((got = ::read(fd, part, sizeof part)) > 0 || (got < 0 && errno == EINTR))) {
        if (got > 0) into.append(part, static_cast<size_t>(got));
    }
    ::close(fd);
    return got == 0;
}

std::string replaceWhole(const std::string& path, std::string_view bytes) {
    std::string fresh = path + ".new", problem = writeAll(fresh, bytes);
    if (problem.empty() && std::rename(fresh.c_str(), path.c_str()) != 0) problem = std::strerror(errno);
    if (!problem.empty()) {
        ::unlink(fresh.c_str());
        return problem;
    }
    return syncFolderOf(path) ? std::string() : std::strerror(errno);
}

std::string removeWhole(const std::string& path) {
    if (::unlink(path.c_str()) != 0) return std::strerror(errno);
    return syncFolderOf(path) ? std::string() : std::strerror(errno);
}

}  // namespace petrelpond::files
