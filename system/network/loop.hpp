// One thread's round: what became readable, what falls due, and then sleep. Every program of the system has
// one.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "petrelpond/time.hpp"

namespace petrelpond::network {

class Watcher {
  public:
    virtual ~Watcher() = default;
    virtual void woke(uint32_t events) = 0;
};

using TimerId = uint64_t;  // 0: none

class Loop {
  public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    // By the steady clock, as it stood when this round began: the time of day may jump.
    Instant now() const { return now_; }
    static Instant clock();

    void watch(int fd, uint32_t events, Watcher* who);
    void change(int fd, uint32_t events, Watcher* who);
    void forget(int fd);

    TimerId at(Instant when, std::function<void()> what);
    void cancel(TimerId& id);               // sets it to 0
    void soon(std::function<void()> what);  // at the end of this round
    // Lives on to the round's end, as events of this round may still name it.
    template <class T>
    void bury(std::unique_ptr<T> it) {
        graves_.push_back(std::shared_ptr<void>(it.release(), [](void* p) { delete static_cast<T*>(p); }));
    }

    void run();  // until stop()
    void stop() { going_ = false; }
    // Signals arrive as calls in the round; SIGPIPE is ignored.
    void onSignal(int number, std::function<void()> what);

  private:
    void fire();
    int epoll_ = -1;
    bool going_ = true;
    Instant now_;
    uint64_t nextTimer_ = 1;
    std::map<std::pair<int64_t, TimerId>, std::function<void()>> timers_;
    std::map<TimerId, int64_t> when_;
    std::vector<std::function<void()>> soon_;
    std::vector<std::shared_ptr<void>> graves_;
    std::unique_ptr<Watcher> signals_;
};

}  // namespace petrelpond::network
