#include "src/operators/ledger.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <thread>

#include "src/files/whole.hpp"

namespace petrelpond::operators {

namespace {

// With a dot, so that the store leaves them alone.
constexpr const char *kName = "/.orders", *kLock = "/.orders.lock",
                     *kOdd = "/.orders.damaged";
constexpr size_t kMost = 4 * 1024 * 1024;

}  // namespace

Ledger::Ledger(std::string folder, std::string& damaged) : folder_(std::move(folder)) {
    lock_ = ::open((folder_ + kLock).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    std::lock_guard lock(mutex_);
    seen_ = stamp();
    if (readNow(orders_)) return;
    damaged = folder_ + kName + " can't be read, no order holds; it is set aside as " + kOdd;
    std::rename((folder_ + kName).c_str(), (folder_ + kOdd).c_str());
    seen_ = stamp();
}

Ledger::~Ledger() {
    if (lock_ >= 0) ::close(lock_);
}

Orders Ledger::orders() const {
    std::lock_guard lock(mutex_);
    return orders_;
}

Answer Ledger::act(const std::function<Answer(const Orders&)>& decide) {
    std::lock_guard lock(mutex_);
    // Held for one write by the other process; one that was stopped meanwhile must not stop this one.
    bool held = false;
    for (int i = 0; i < 60 && !(held = lock_ >= 0 && ::flock(lock_, LOCK_EX | LOCK_NB) == 0); ++i) {
        if (lock_ < 0 || (errno != EWOULDBLOCK && errno != EINTR)) break;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    if (!held) return {false, "the orders are locked, nothing has changed", std::nullopt};
    Orders now = orders_;
    if (stamp() != seen_ && readNow(now)) orders_ = now;
    Answer answer = decide(now);
    if (answer.change) {
        std::string problem = files::replaceWhole(folder_ + kName, written(*answer.change));
        if (problem.empty()) {
            orders_ = *answer.change, seen_ = stamp();
        } else {
            answer = {false, "not written down, nothing has changed: " + problem, std::nullopt};
        }
    }
    ::flock(lock_, LOCK_UN);
    return answer;
}

bool Ledger::look() {
    std::lock_guard lock(mutex_);
    std::string now = stamp();
    if (now == seen_) return false;
    Orders there;
    seen_ = now;
    if (!readNow(there) || there == orders_) return false;
    orders_ = there;
    return true;
}

// No file is no order.
bool Ledger::readNow(Orders& into) const {
    std::string bytes;
    if (!files::readWhole(folder_ + kName, bytes, kMost)) {
        struct stat is {};
        if (::stat((folder_ + kName).c_str(), &is) == 0) return false;
        return into = {}, true;
    }
    auto read = readOrders(bytes);
    if (read) into = std::move(*read);
    return read.has_value();
}

std::string Ledger::stamp() const {
    struct stat is {};
    if (::stat((folder_ + kName).c_str(), &is) != 0) return "none";
    return std::to_string(is.st_ino) + "/" + std::to_string(is.st_mtim.tv_sec) + "." +
           std::to_string(is.st_mtim.tv_nsec);
}

}  // namespace petrelpond::operators
