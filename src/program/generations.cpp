#include "src/program/generations.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <optional>

#include "src/store/events.hpp"

namespace petrelpond::generations {

namespace {

constexpr const char* kHanding = "/.handing";  // with a dot, so that the store leaves it alone

std::optional<succession::Number> numberIn(std::string_view name) {
    succession::Number number = 0;
    if (name.size() < 2 || name[0] != 'g') return std::nullopt;
    auto [end, error] = std::from_chars(name.data() + 1, name.data() + name.size(), number);
    if (error != std::errc() || end != name.data() + name.size() || number == 0) return std::nullopt;
    return number;
}

// Shared, so that two that look at once don't see each other.
bool held(const std::string& folder) {
    int fd = ::open((folder + "/.lock").c_str(), O_RDWR | O_CLOEXEC);
    if (fd < 0) return false;
    bool free = ::flock(fd, LOCK_SH | LOCK_NB) == 0;
    bool other = !free && errno == EWOULDBLOCK;
    ::close(fd);
    return other;
}

template <class Each>
void names(const std::string& folder, Each each) {
    DIR* all = ::opendir(folder.c_str());
    if (!all) return;
    while (const dirent* one = ::readdir(all)) {
        std::string name = one->d_name;
        if (name != "." && name != "..") each(name);
    }
    ::closedir(all);
}

}  // namespace

std::string folderOf(const std::string& state, succession::Number number) {
    return number == 0 ? state : state + "/g" + std::to_string(number);
}

std::vector<succession::Found> found(const std::string& state) {
    std::vector<succession::Found> all = {{0, held(state)}};
    names(state, [&](const std::string& name) {
        if (auto number = numberIn(name)) all.push_back({*number, held(state + "/" + name)});
    });
    return all;
}

bool make(const std::string& state, succession::Number number) {
    return ::mkdir(folderOf(state, number).c_str(), 0700) == 0;
}

bool newerHeld(const std::string& state, succession::Number own) {
    for (const auto& f : found(state)) {
        if (f.number > own && f.held) return true;
    }
    return false;
}

int64_t bytesOf(const std::string& folder) {
    int64_t sum = 0;
    names(folder, [&](const std::string& name) {
        struct stat is {};
        if (::stat((folder + "/" + name).c_str(), &is) == 0 && S_ISREG(is.st_mode)) sum += (is.st_size + 511) / 512 * 512;
    });
    return sum;
}

void remove(const std::string& state, succession::Number number) {
    std::string folder = folderOf(state, number);
    Notes::forget(folder);
    names(folder, [&](const std::string& name) {
        // What was set aside for people to look at stays.
        if (store::fileNamed(name)) ::unlink((folder + "/" + name).c_str());
    });
    if (number == 0) return;
    ::unlink((folder + "/.lock").c_str());
    ::rmdir(folder.c_str());
}

Notes::Notes(const std::string& folder)
    : fd_(::open((folder + kHanding).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600)) {}
Notes::~Notes() {
    if (fd_ >= 0) ::close(fd_);
}

void Notes::put(const std::string& lines) {
    std::lock_guard lock(mutex_);
    std::string_view left = lines;
    while (fd_ >= 0 && !left.empty()) {
        ssize_t n = ::write(fd_, left.data(), left.size());
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) return;  // a line that was cut off is not read
        left.remove_prefix(static_cast<size_t>(n));
    }
}

void Notes::forget(const std::string& folder) { ::unlink((folder + kHanding).c_str()); }

Tail::~Tail() {
    if (fd_ >= 0) ::close(fd_);
}

std::vector<succession::Line> Tail::more() {
    std::vector<succession::Line> lines;
    if (fd_ < 0) fd_ = ::open((path_ + kHanding).c_str(), O_RDONLY | O_CLOEXEC);
    char part[4096];
    for (ssize_t got; fd_ >= 0 && (got = ::read(fd_, part, sizeof part)) > 0;) {
        rest_.append(part, static_cast<size_t>(got));
    }
    for (size_t end; (end = rest_.find('\n')) != std::string::npos; rest_.erase(0, end + 1)) {
        lines.push_back(succession::readLine(std::string_view(rest_).substr(0, end)));
    }
    return lines;
}

}  // namespace petrelpond::generations
