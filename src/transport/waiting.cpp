#include "src/transport/waiting.hpp"

#include <sys/epoll.h>
#include <unistd.h>

namespace petrelpond {

namespace {

bool control(int waiting, int how, int fd, uint64_t key) {
    epoll_event event{};
    event.events = EPOLLIN | EPOLLRDHUP | EPOLLONESHOT;
    event.data.u64 = key;
    return epoll_ctl(waiting, how, fd, &event) == 0;
}

}  // namespace

Waiting::Waiting() : fd_(epoll_create1(EPOLL_CLOEXEC)) {}
Waiting::~Waiting() {
    if (fd_ >= 0) ::close(fd_);
}

bool Waiting::add(int fd, uint64_t key) { return control(fd_, EPOLL_CTL_ADD, fd, key); }
bool Waiting::again(int fd, uint64_t key) { return control(fd_, EPOLL_CTL_MOD, fd, key); }

std::vector<uint64_t> Waiting::ready(Span within) {
    epoll_event events[64];
    int n = epoll_wait(fd_, events, 64, static_cast<int>(within.inMicros() / 1000));
    std::vector<uint64_t> keys;
    for (int i = 0; i < n; ++i) keys.push_back(events[i].data.u64);
    return keys;
}

}  // namespace petrelpond
