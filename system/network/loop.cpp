#include "system/network/loop.hpp"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <unordered_map>

namespace petrelpond::network {

namespace {

int signalFd = -1;
volatile sig_atomic_t signalSeen[65];

void caught(int number) {
    int kept = errno;
    signalSeen[number] = 1;
    uint64_t one = 1;
    (void)!write(signalFd, &one, sizeof one);
    errno = kept;
}

struct Signals final : Watcher {
    std::unordered_map<int, std::function<void()>> what;
    void woke(uint32_t) override {
        uint64_t count = 0;
        (void)!read(signalFd, &count, sizeof count);
        for (auto& [number, call] : what) {
            if (!signalSeen[number]) continue;
            signalSeen[number] = 0;
            call();
        }
    }
};

}  // namespace

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)), now_(clock()) {
    if (epoll_ < 0) std::perror("epoll_create1"), std::abort();
}

Loop::~Loop() { close(epoll_); }

Instant Loop::clock() {
    timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return Instant::atMicros(static_cast<int64_t>(t.tv_sec) * 1000000 + t.tv_nsec / 1000);
}

void Loop::watch(int fd, uint32_t events, Watcher* who) {
    epoll_event e{};
    e.events = events, e.data.ptr = who;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &e);
}

void Loop::change(int fd, uint32_t events, Watcher* who) {
    epoll_event e{};
    e.events = events, e.data.ptr = who;
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &e);
}

void Loop::forget(int fd) { epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr); }

TimerId Loop::at(Instant when, std::function<void()> what) {
    TimerId id = nextTimer_++;
    timers_.emplace(std::pair(when.inMicros(), id), std::move(what));
    when_[id] = when.inMicros();
    return id;
}

void Loop::cancel(TimerId& id) {
    auto found = when_.find(id);
    if (found != when_.end()) timers_.erase({found->second, id}), when_.erase(found);
    id = 0;
}

void Loop::soon(std::function<void()> what) { soon_.push_back(std::move(what)); }

void Loop::fire() {
    while (!timers_.empty() && timers_.begin()->first.first <= now_.inMicros()) {
        auto node = timers_.extract(timers_.begin());
        when_.erase(node.key().second);
        node.mapped()();
    }
}

void Loop::onSignal(int number, std::function<void()> what) {
    if (!signals_) {
        signalFd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
        signals_ = std::make_unique<Signals>();
        watch(signalFd, EPOLLIN, signals_.get());
        signal(SIGPIPE, SIG_IGN);
    }
    static_cast<Signals*>(signals_.get())->what[number] = std::move(what);
    struct sigaction action {};
    action.sa_handler = caught;
    action.sa_flags = SA_RESTART;
    sigaction(number, &action, nullptr);
}

void Loop::run() {
    epoll_event events[64];
    while (going_) {
        while (!soon_.empty()) {
            auto all = std::move(soon_);
            soon_.clear();
            for (auto& call : all) call();
        }
        graves_.clear();
        if (!going_) break;
        int wait = -1;
        if (!timers_.empty()) {
            int64_t us = timers_.begin()->first.first - clock().inMicros();
            wait = us <= 0 ? 0 : static_cast<int>(std::min<int64_t>((us + 999) / 1000, 60000));
        }
        int n = epoll_wait(epoll_, events, 64, wait);
        now_ = clock();
        for (int i = 0; i < n; ++i) static_cast<Watcher*>(events[i].data.ptr)->woke(events[i].events);
        fire();
    }
}

}  // namespace petrelpond::network
