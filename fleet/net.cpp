#include "fleet/net.hpp"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace petrelpond::fleet {

namespace {

constexpr size_t kMostMessage = 4u << 20;  // what a peer says beyond that is cut off

int64_t steadyMicros() {
    auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

[[noreturn]] void fail(const std::string& what) { throw std::runtime_error(what + ": " + strerror(errno)); }

sockaddr_in addressOf(const std::string& host, int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<uint16_t>(port));
    if (inet_pton(AF_INET, host.c_str(), &at.sin_addr) != 1) throw std::runtime_error("no address: " + host);
    if (ntohl(at.sin_addr.s_addr) >> 24 != 127) throw std::runtime_error(host + " is not on loopback");
    return at;
}

int freshSocket() {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int yes = 1;
    if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

Bound bindAndListen(int fd, const sockaddr_in& at, const std::string& host, int backlog) {
    int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd, backlog) != 0) {
        int error = errno;
        ::close(fd);
        errno = error;
        fail("cannot listen at " + host);
    }
    sockaddr_in got{};
    socklen_t size = sizeof got;
    getsockname(fd, reinterpret_cast<sockaddr*>(&got), &size);
    int port = ntohs(got.sin_port);
    return {fd, host + ":" + std::to_string(port), port};
}

}  // namespace

Loop::Loop() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {
    if (epoll_ < 0) fail("epoll");
    zeroNow();
}
Loop::~Loop() { ::close(epoll_); }

Instant Loop::now() const { return Instant::atMicros(steadyMicros() - zero_); }
void Loop::zeroNow() { zero_ = steadyMicros(); }

void Loop::watch(int fd, uint32_t events, Handler handler) {
    if (static_cast<size_t>(fd) >= entries_.size()) entries_.resize(static_cast<size_t>(fd) + 64);
    Entry& entry = entries_[static_cast<size_t>(fd)];
    ++entry.generation;
    entry.handler = std::make_shared<Handler>(std::move(handler));
    epoll_event e{};
    e.events = events;
    e.data.u64 = uint64_t{entry.generation} << 32 | static_cast<uint32_t>(fd);
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &e) != 0) fail("epoll_ctl");
}

void Loop::change(int fd, uint32_t events) {
    epoll_event e{};
    e.events = events;
    e.data.u64 = uint64_t{entries_[static_cast<size_t>(fd)].generation} << 32 | static_cast<uint32_t>(fd);
    epoll_ctl(epoll_, EPOLL_CTL_MOD, fd, &e);
}

void Loop::forget(int fd) {
    if (static_cast<size_t>(fd) >= entries_.size() || !entries_[static_cast<size_t>(fd)].handler) return;
    entries_[static_cast<size_t>(fd)].handler = nullptr;
    epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
}

Loop::Timer Loop::at(Instant when, std::function<void()> what) {
    Timer timer{when, nextTimer_++};
    timers_.emplace(timer, std::move(what));
    return timer;
}

void Loop::run() {
    std::vector<epoll_event> events(512);
    while (!stopped_) {
        int wait = 1000;
        if (!timers_.empty()) {
            int64_t us = (timers_.begin()->first.first - now()).inMicros();
            wait = us <= 0 ? 0 : static_cast<int>(std::min<int64_t>((us + 999) / 1000, 1000));
        }
        int n = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), wait);
        for (int i = 0; i < n && !stopped_; ++i) {
            uint64_t data = events[static_cast<size_t>(i)].data.u64;
            Entry& entry = entries_[static_cast<uint32_t>(data)];
            if (!entry.handler || entry.generation != data >> 32) continue;
            auto handler = entry.handler;  // it may forget itself
            (*handler)(events[static_cast<size_t>(i)].events);
        }
        // Those that were due as this round of timers began, so that sockets get their turn between.
        Instant due = now();
        while (!stopped_ && !timers_.empty() && timers_.begin()->first.first <= due) {
            auto node = timers_.extract(timers_.begin());
            late_.push_back(static_cast<float>((now() - node.key().first).inMicros()) / 1000);
            node.mapped()();
        }
    }
    stopped_ = false;
}

double Loop::lateAt(double quantile) const {
    if (late_.empty()) return 0;
    std::vector<float> sorted = late_;
    auto at = sorted.begin() + static_cast<long>(quantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), at, sorted.end());
    return *at;
}

std::string_view Message::field(std::string_view name) const {
    size_t at = 0;
    while ((at = head.find("\r\n", at)) != std::string::npos) {
        at += 2;
        if (head.size() - at <= name.size() || head[at + name.size()] != ':') continue;
        if (strncasecmp(head.data() + at, name.data(), name.size()) != 0) continue;
        size_t from = head.find_first_not_of(' ', at + name.size() + 1), to = head.find("\r\n", at);
        if (from == std::string::npos || from > to) return {};
        return std::string_view(head).substr(from, to - from);
    }
    return {};
}

int Message::status() const { return start.size() >= 12 ? atoi(start.c_str() + 9) : 0; }

void Conn::start(bool connecting) {
    connecting_ = connecting;
    auto self = weak_from_this();
    loop_.watch(fd_, connecting ? EPOLLIN | EPOLLOUT : EPOLLIN, [self](uint32_t events) {
        if (auto conn = self.lock()) conn->handle(events);
    });
}

void Conn::handle(uint32_t events) {
    if (deaf_) return;
    if (connecting_ && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        connecting_ = false;
        if (error != 0) return broke(true);
        loop_.change(fd_, EPOLLIN);
        flush();
    } else if (events & EPOLLOUT) {
        flush();
    }
    if (open() && (events & (EPOLLIN | EPOLLHUP | EPOLLERR))) read();
}

void Conn::read() {
    char part[65536];
    while (open() && !deaf_) {
        ssize_t got = recv(fd_, part, sizeof part, 0);
        if (got < 0 && errno == EINTR) continue;
        if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
        if (got <= 0) return broke(got < 0);
        if (in_.empty()) {
            firstByte_ = loop_.now();
            auto self = shared_from_this();
            if (onFirstByte) onFirstByte();
            if (!open()) return;
        }
        in_.append(part, static_cast<size_t>(got));
        parse();
        if (got < static_cast<ssize_t>(sizeof part)) return;
    }
}

void Conn::parse() {
    auto self = shared_from_this();
    while (open() && !deaf_ && !in_.empty()) {
        size_t end = in_.find("\r\n\r\n");
        if (end == std::string::npos) {
            if (in_.size() > kMostMessage) broke(false);
            return;
        }
        Message m;
        m.head = in_.substr(0, end + 2);
        m.start = m.head.substr(0, m.head.find("\r\n"));
        size_t length = 0;
        if (auto said = m.field("Content-Length"); !said.empty()) length = strtoul(said.data(), nullptr, 10);
        if (length > kMostMessage) return broke(false);
        if (in_.size() < end + 4 + length) return;
        m.body = in_.substr(end + 4, length);
        in_.erase(0, end + 4 + length);
        m.firstByte = firstByte_, m.lastByte = firstByte_ = loop_.now();
        ++calls;
        if (onMessage) onMessage(std::move(m));
    }
}

void Conn::send(std::string_view bytes) {
    if (!open()) return;
    bool waiting = !out_.empty() || connecting_;
    out_.append(bytes);
    if (!waiting) flush();
}

void Conn::flush() {
    while (open() && !out_.empty()) {
        ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) continue;
        if (sent < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return loop_.change(fd_, EPOLLIN | EPOLLOUT);
        if (sent < 0) return;  // reading shows the break
        out_.erase(0, static_cast<size_t>(sent));
    }
    if (!open()) return;
    loop_.change(fd_, EPOLLIN);
    if (endOnceSent_) close();
}

void Conn::broke(bool reset) {
    auto self = shared_from_this();
    close();
    if (onClosed) std::exchange(onClosed, nullptr)(reset);
}

void Conn::close() {
    if (fd_ < 0) return;
    loop_.forget(fd_);
    ::close(std::exchange(fd_, -1));
}

void Conn::reset() {
    if (fd_ < 0) return;
    linger hard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
}

void Conn::deaf() {
    deaf_ = true;
    if (open()) loop_.change(fd_, 0);
}

Bound listenOn(const std::string& host, int port, int backlog) {
    int fd = freshSocket();
    if (fd < 0) fail("socket");
    return bindAndListen(fd, addressOf(host, port), host, backlog);
}

Bound listenOnLoopback(int backlog) {
    int fd = freshSocket();
    if (fd < 0) fail("socket");
    // Any address of ours, but through the loopback device alone: nothing from outside can come in.
    if (setsockopt(fd, SOL_SOCKET, SO_BINDTODEVICE, "lo", 2) != 0) {
        ::close(fd);
        fail("cannot bind to the loopback device");
    }
    sockaddr_in any{};
    any.sin_family = AF_INET;
    return bindAndListen(fd, any, "0.0.0.0", backlog);
}

int acceptOne(int listener) {
    int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    int yes = 1;
    if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    return fd;
}

uint32_t localHost(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return ntohl(at.sin_addr.s_addr);
}

std::string hostText(uint32_t host) {
    return std::to_string(host >> 24) + "." + std::to_string(host >> 16 & 255) + "." +
           std::to_string(host >> 8 & 255) + "." + std::to_string(host & 255);
}

void closeNow(Bound& bound) { ::close(std::exchange(bound.fd, -1)); }

void raiseDescriptors() {
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

int connectTo(const std::string& address) {
    size_t colon = address.rfind(':');
    sockaddr_in at = addressOf(address.substr(0, colon), atoi(address.c_str() + colon + 1));
    int fd = freshSocket();
    if (fd < 0) return -1;
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 || errno == EINPROGRESS) return fd;
    ::close(fd);
    return -1;
}

void askLine(Loop& loop, const std::string& address, std::string line, Span within,
             std::function<void(std::optional<std::string>)> told) {
    struct Asking {
        int fd = -1;
        std::string in;
        Loop::Timer timer;
    };
    auto asking = std::make_shared<Asking>();
    asking->fd = connectTo(address);
    auto done = [&loop, asking, told](bool whole) {
        if (asking->fd < 0) return;
        loop.forget(asking->fd);
        ::close(std::exchange(asking->fd, -1));
        loop.cancel(asking->timer);
        told(whole ? std::optional(asking->in) : std::nullopt);
    };
    if (asking->fd < 0) return told(std::nullopt);
    asking->timer = loop.at(loop.now() + within, [done] { done(false); });
    loop.watch(asking->fd, EPOLLOUT, [&loop, asking, done, line = line + "\n"](uint32_t events) {
        if (events & EPOLLERR) return done(false);
        if (events & EPOLLOUT) {
            // A line goes into an empty buffer whole.
            if (::send(asking->fd, line.data(), line.size(), MSG_NOSIGNAL) < 0) return done(false);
            return loop.change(asking->fd, EPOLLIN);
        }
        char part[16 * 1024];
        ssize_t got = ::recv(asking->fd, part, sizeof part, 0);
        if (got < 0 && errno == EAGAIN) return;
        if (got <= 0) return done(false);
        asking->in.append(part, static_cast<size_t>(got));
        if (asking->in.size() > kMostMessage) return done(false);
        if (asking->in.back() == '\n') asking->in.pop_back(), done(true);
    });
}

std::string request(std::string_view method, std::string_view target, std::string_view fields,
                    std::string_view body) {
    std::string out;
    out.reserve(method.size() + target.size() + fields.size() + body.size() + 64);
    out.append(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: fleet\r\n").append(fields);
    if (method == "POST") out.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
    return out.append("\r\n").append(body);
}

std::string response(int status, std::string_view fields, std::string_view body) {
    const char* reason = status == 200   ? "OK"
                         : status == 202 ? "Accepted"
                         : status == 204 ? "No Content"
                         : status == 429 ? "Too Many Requests"
                         : status == 503 ? "Service Unavailable"
                                         : "Said";
    std::string out = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    out.append(fields).append("Content-Length: ").append(std::to_string(body.size())).append("\r\n\r\n");
    return out.append(body);
}

}  // namespace petrelpond::fleet
