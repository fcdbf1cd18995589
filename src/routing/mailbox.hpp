// An actor's mailbox, bounded. Whoever posts never waits: a full box says so.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>

#include "petrelpond/time.hpp"

namespace petrelpond {

// The process's one clock for instants.
inline Instant steadyNow() {
    return Instant::atMicros(std::chrono::duration_cast<std::chrono::microseconds>(
                                 std::chrono::steady_clock::now().time_since_epoch())
                                 .count());
}
inline int64_t unixMicros() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

template <class Mail>
class Mailbox {
  public:
    explicit Mailbox(size_t most) : most_(most) {}

    [[nodiscard]] bool post(Mail mail) {
        std::lock_guard lock(mutex_);
        if (mail_.size() >= most_) return false;
        put(std::move(mail));
        return true;
    }
    // For what is bounded already by something that its sender holds (a call out, a connection): an end that
    // got lost would hold its slot for ever.
    void postHeld(Mail mail) {
        std::lock_guard lock(mutex_);
        put(std::move(mail));
    }
    // All that lies there; waits for the first until that instant.
    std::deque<Mail> drain(Instant until) {
        std::unique_lock lock(mutex_);
        auto some = [&] { return !mail_.empty(); };
        if (until >= Instant::never()) {
            came_.wait(lock, some);
        } else {
            came_.wait_until(
                lock, std::chrono::steady_clock::time_point(std::chrono::microseconds(until.inMicros())),
                some);
        }
        std::deque<Mail> all;
        all.swap(mail_);
        return all;
    }

  private:
    void put(Mail mail) {
        mail_.push_back(std::move(mail));
        if (mail_.size() == 1) came_.notify_one();
    }

    std::mutex mutex_;
    std::condition_variable came_;
    std::deque<Mail> mail_;
    size_t most_;
};

}  // namespace petrelpond
