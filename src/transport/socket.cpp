#include "src/transport/socket.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "src/transport/sockaddr.hpp"

namespace petrelpond {

namespace {

timeval asTimeval(Span span) {
    // Zero would mean to wait for ever.
    int64_t us = std::max<int64_t>(span.inMicros(), 1000);
    return {static_cast<time_t>(us / 1000000), static_cast<suseconds_t>(us % 1000000)};
}

int64_t clockMicros() {
    timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return int64_t{t.tv_sec} * 1000000 + t.tv_nsec / 1000;
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
    if (this != &other) close(), fd_ = other.release();
    return *this;
}

void Socket::close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
}

int Socket::release() {
    int fd = fd_;
    fd_ = -1;
    return fd;
}

void Socket::waitAtMost(Span span) const {
    timeval t = span > Span() ? asTimeval(span) : timeval{0, 0};
    until_ = span > Span() ? clockMicros() + span.inMicros() : 0;
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof t);
    setsockopt(fd_, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
}

// A process that is stopped and goes on finds its waits interrupted, again and again where its part of the
// processor is kept to that way. Begun anew in full, a wait would then never run out.
bool Socket::mayGoOn() const {
    if (errno != EINTR) return false;
    if (until_ == 0) return true;
    int64_t left = until_ - clockMicros(), until = until_;
    if (left <= 0) return errno = EAGAIN, false;
    waitAtMost(Span::micros(left));
    return until_ = until, true;
}

bool Socket::sendAll(std::string_view bytes) const {
    while (!bytes.empty()) {
        ssize_t sent = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && mayGoOn()) continue;
        if (sent <= 0) return false;
        bytes.remove_prefix(static_cast<size_t>(sent));
    }
    return true;
}

long Socket::receive(char* into, size_t room) const {
    while (true) {
        ssize_t got = ::recv(fd_, into, room, 0);
        if (got < 0 && mayGoOn()) continue;
        return got;
    }
}

long Socket::discard(size_t most) const {
    while (true) {
        ssize_t got = ::recv(fd_, nullptr, most, MSG_TRUNC);
        if (got < 0 && mayGoOn()) continue;
        return got;
    }
}

bool Socket::peerGone() const {
    char byte;
    ssize_t got = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool Socket::broken() const {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

bool Socket::somethingCame() const {
    char byte;
    return ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void Socket::endSending() const { ::shutdown(fd_, SHUT_WR); }

void Socket::sendNagless() const {
    int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

void shutDown(int fd) { ::shutdown(fd, SHUT_RDWR); }
void endReceiving(int fd) { ::shutdown(fd, SHUT_RD); }

std::optional<Address> Address::parse(std::string_view hostPort) {
    size_t colon = hostPort.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    Address address;
    address.host = hostPort.substr(0, colon);
    std::string_view port = hostPort.substr(colon + 1);
    auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    if (error != std::errc() || end != port.data() + port.size()) return std::nullopt;
    if (address.port < 0 || address.port > 65535) return std::nullopt;
    sockaddr_in checked;
    if (!asSockaddr(address, checked)) return std::nullopt;
    return address;
}

Connect makeSocket(Socket& socket) {
    socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    return socket.open() ? Connect::up : Connect::noMeans;
}

Connect connectSocket(const Address& to, Span within, const Socket& socket) {
    sockaddr_in address;
    if (!asSockaddr(to, address)) return Connect::refused;
    timeval t = asTimeval(within);  // which bounds connect() as well
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDTIMEO, &t, sizeof t);
    if (::connect(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
        socket.sendNagless();
        return Connect::up;
    }
    // Interrupted as the process was stopped for a while, it still comes up or not.
    if (errno == EINTR) {
        int64_t until = clockMicros() + within.inMicros(), left;
        pollfd up{socket.descriptor(), POLLOUT, 0};
        int got = 0;
        while ((left = until - clockMicros()) > 0 && got <= 0) {
            got = ::poll(&up, 1, static_cast<int>(left / 1000 + 1));
            if (got < 0 && errno != EINTR) break;
        }
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(socket.descriptor(), SOL_SOCKET, SO_ERROR, &error, &size);
        if (got > 0 && error == 0) return socket.sendNagless(), Connect::up;
        errno = error != 0 ? error : ETIMEDOUT;
    }
    if (errno == EINPROGRESS || errno == EAGAIN || errno == ETIMEDOUT) return Connect::late;
    if (errno == EADDRNOTAVAIL || errno == ENOBUFS || errno == ENOMEM) return Connect::noMeans;
    return Connect::refused;
}

void neverWait(const Socket& socket) {
    int flags = ::fcntl(socket.descriptor(), F_GETFL);
    ::fcntl(socket.descriptor(), F_SETFL, flags | O_NONBLOCK);
}

Wake::Wake() : fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {}
Wake::~Wake() {
    if (fd_ >= 0) ::close(fd_);
}
void Wake::now() const {
    uint64_t one = 1;
    while (::write(fd_, &one, sizeof one) < 0 && errno == EINTR) {
    }
}

bool comes(const Socket& listener, const Wake& wake) {
    pollfd both[2] = {{listener.descriptor(), POLLIN, 0}, {wake.fd_, POLLIN, 0}};
    while (::poll(both, 2, -1) < 0 && errno == EINTR) {
    }
    return both[1].revents == 0;
}

Socket inheritedListener(int fd, std::string& problem) {
    int listens = 0;
    socklen_t size = sizeof listens;
    if (fd < 0 || getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) != 0 || listens == 0) {
        problem = "descriptor " + std::to_string(fd) + " is no listening socket";
        return Socket();
    }
    ::fcntl(fd, F_SETFD, FD_CLOEXEC);
    Socket socket(fd);
    neverWait(socket);
    return socket;
}

Socket listenAt(const Address& at, std::string& problem) {
    sockaddr_in address;
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    int on = 1;
    if (socket.open() && asSockaddr(at, address) &&
        setsockopt(socket.descriptor(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
        ::bind(socket.descriptor(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
        ::listen(socket.descriptor(), 1024) == 0) {
        return socket;
    }
    problem = std::strerror(errno);
    return Socket();
}

Socket acceptFrom(const Socket& listener, bool& lasting) {
    int fd = ::accept4(listener.descriptor(), nullptr, nullptr, SOCK_CLOEXEC);
    lasting = fd < 0 && (errno == EINVAL || errno == EBADF || errno == ENOTSOCK);
    Socket socket(fd);
    if (socket.open()) socket.sendNagless();
    return socket;
}

}  // namespace petrelpond
