#include "src/routing/recording.hpp"

#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <utility>

namespace petrelpond {

namespace {

constexpr size_t kAtOnce = 64 * 1024;

}  // namespace

Recording::Recording(const std::string& path, size_t mostBytes, Report& report)
    : fd_(::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)), left_(mostBytes),
      report_(report) {
    if (fd_ < 0) report_.say(Level::error, "nothing is recorded, " + path + ": " + strerror(errno));
}

Recording::~Recording() {
    flush();
    if (fd_ >= 0) ::close(fd_);
}

void Recording::arrived(int64_t at, std::string_view product, std::string_view destination, Span validity,
                        size_t bytes, std::string_view key) {
    if (fd_ < 0) return;
    // Bodies and keys are the clients' own: of a key only that it is the same.
    auto which = key.empty() ? 0 : 1 + std::hash<std::string_view>()(key) % 0x7fffffff;
    std::string line = "a " + std::to_string(at) + ' ';
    line.append(product).append(" ").append(destination).append(" ");
    add(line + std::to_string(validity.inMicros() / 1000) + ' ' + std::to_string(bytes) + ' ' +
        std::to_string(which) + '\n');
}

void Recording::ended(int64_t at, std::string_view product, std::string_view destination,
                      std::string_view how, Span after, int submits) {
    if (fd_ < 0) return;
    std::string line = "e " + std::to_string(at) + ' ';
    line.append(product).append(" ").append(destination).append(" ").append(how).append(" ");
    add(line + std::to_string(after.inMicros() / 1000) + ' ' + std::to_string(submits) + '\n');
}

void Recording::add(std::string line) {
    lines_ += line;
    if (lines_.size() >= kAtOnce) flush();
}

void Recording::flushIfDue(Instant now) {
    if (lines_.empty() || now - flushedAt_ < Span::seconds(1)) return;
    flushedAt_ = now;
    flush();
}

void Recording::flush() {
    std::string lines = std::exchange(lines_, {});
    if (fd_ < 0 || lines.empty()) return;
    bool room = lines.size() <= left_;
    if (room && ::write(fd_, lines.data(), lines.size()) == static_cast<ssize_t>(lines.size())) {
        left_ -= lines.size();
        return;
    }
    report_.say(Level::warning,
                std::string("the recording ends here: ") + (room ? strerror(errno) : "its bound is reached"));
    ::close(std::exchange(fd_, -1));
}

}  // namespace petrelpond
