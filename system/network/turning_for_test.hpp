// For tests: a Loop that turns in a thread of its own, while the test waits outside.
#pragma once

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "system/network/loop.hpp"

namespace petrelpond::network {

// A loop in a thread of its own; ask() does something there and waits until it is done.
class Turning final : public Watcher {
  public:
    Loop loop;
    Turning() : wake_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) { loop.watch(wake_, EPOLLIN, this); }
    ~Turning() override { ::close(wake_); }
    void start() {
        thread_ = std::thread([this] {
            loop.run();
            over_.set_value();
        });
    }
    bool endsWithin(int ms) {
        return ended_.wait_for(std::chrono::milliseconds(ms)) == std::future_status::ready;
    }
    void end() {
        if (!endsWithin(0)) ask([this] { loop.stop(); });
        thread_.join();
    }
    void ask(std::function<void()> what) {
        auto done = std::make_shared<std::promise<void>>();
        auto future = done->get_future();
        {
            std::lock_guard lock(mutex_);
            asked_.push_back([&what, done] { what(), done->set_value(); });
        }
        uint64_t one = 1;
        (void)!write(wake_, &one, sizeof one);
        future.wait();
    }
    void woke(uint32_t) override {
        uint64_t count = 0;
        (void)!read(wake_, &count, sizeof count);
        std::vector<std::function<void()>> all;
        {
            std::lock_guard lock(mutex_);
            all.swap(asked_);
        }
        for (auto& each : all) each();
    }

  private:
    int wake_;
    std::mutex mutex_;
    std::vector<std::function<void()>> asked_;
    std::promise<void> over_;
    std::future<void> ended_ = over_.get_future();
    std::thread thread_;
};

}  // namespace petrelpond::network
