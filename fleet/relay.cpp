#include "fleet/relay.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace petrelpond::fleet {

namespace {

// 127.128.0.0/9: ten bits for who sends, ten for whom it is for, three to spare.
uint32_t hostFor(int from, int to) {
    return 127u << 24 | 1u << 23 | static_cast<uint32_t>(from) << 13 | static_cast<uint32_t>(to) << 3 | 1u;
}
bool pairOf(uint32_t host, int senders, int& from, int& to) {
    if (host >> 23 != (127u << 1 | 1u) || (host & 7) != 1) return false;
    from = static_cast<int>(host >> 13 & 1023), to = static_cast<int>(host >> 3 & 1023);
    return from < senders && to < senders && from != to;
}
constexpr size_t kPendingMost = 256 * 1024;
constexpr int kBufferBytes = 4 * 1024 * 1024;

}  // namespace

Relay::Relay(Loop& loop, Links& links, std::vector<std::string> real) : loop_(loop), links_(links) {
    if (real.size() > kMost) throw std::runtime_error("the relay knows " + std::to_string(kMost) + " senders at most");
    for (const std::string& at : real) {
        size_t colon = at.rfind(':');
        in_addr host{};
        inet_pton(AF_INET, at.substr(0, colon).c_str(), &host);
        real_.emplace_back(ntohl(host.s_addr), atoi(at.c_str() + colon + 1));
    }
    listener_ = listenOnLoopback();
    port_ = listener_.port;
    loop_.watch(listener_.fd, EPOLLIN, [this](uint32_t) { accept(); });
    // One socket for all pairs: which of them a datagram is of is told by the address that it came to, and the one
    // that it leaves by is the other direction's, so that whoever answers comes by here again.
    datagrams_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1, bytes = kBufferBytes;
    setsockopt(datagrams_, IPPROTO_IP, IP_PKTINFO, &on, sizeof on);
    setsockopt(datagrams_, SOL_SOCKET, SO_BINDTODEVICE, "lo", 3);
    setsockopt(datagrams_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    sockaddr_in any{};
    any.sin_family = AF_INET, any.sin_port = htons(static_cast<uint16_t>(port_)), any.sin_addr.s_addr = htonl(INADDR_ANY);
    if (datagrams_ < 0 || bind(datagrams_, reinterpret_cast<sockaddr*>(&any), sizeof any) != 0)
        throw std::runtime_error("the relay has no socket for datagrams: " + std::string(std::strerror(errno)));
    loop_.watch(datagrams_, EPOLLIN, [this](uint32_t) { datagrams(); });
}

Relay::~Relay() {
    auto streams = streams_;
    for (const auto& s : streams) end(s, true);
    loop_.forget(datagrams_), ::close(datagrams_);
    loop_.forget(listener_.fd), ::close(listener_.fd);
}

std::string Relay::addressFor(int from, int to) const { return hostText(hostFor(from, to)) + ":" + std::to_string(port_); }

// ---- datagrams

void Relay::datagrams() {
    char bytes[64 * 1024];
    for (int i = 0; i < 256; ++i) {
        alignas(cmsghdr) char control[256];
        iovec part{bytes, sizeof bytes};
        sockaddr_in source{};
        msghdr m{};
        m.msg_name = &source, m.msg_namelen = sizeof source;
        m.msg_iov = &part, m.msg_iovlen = 1, m.msg_control = control, m.msg_controllen = sizeof control;
        ssize_t got = recvmsg(datagrams_, &m, 0);
        if (got < 0) return;
        uint32_t to = 0;
        for (cmsghdr* c = CMSG_FIRSTHDR(&m); c; c = CMSG_NXTHDR(&m, c)) {
            if (c->cmsg_level != IPPROTO_IP || c->cmsg_type != IP_PKTINFO) continue;
            in_pktinfo info;
            std::memcpy(&info, CMSG_DATA(c), sizeof info);
            to = ntohl(info.ipi_addr.s_addr);
        }
        int a = 0, b = 0;
        if (!pairOf(to, static_cast<int>(real_.size()), a, b)) {
            ++unknown_;
            continue;
        }
        std::string all(bytes, static_cast<size_t>(got));
        for (const Links::Copy& copy : links_.datagram(now(), a, b, all.size())) {
            std::string out = all;
            if (copy.spoilt && !out.empty()) out[copy.chance % out.size()] ^= static_cast<char>(1 << (copy.chance >> 24) % 8);
            if (copy.after <= Span()) {
                deliver(a, b, out);
            } else {
                loop_.at(loop_.now() + copy.after, [this, a, b, out] { deliver(a, b, out); });
            }
        }
    }
}

void Relay::deliver(int from, int to, const std::string& bytes) {
    const auto& [host, port] = real_[static_cast<size_t>(to)];
    sockaddr_in target{};
    target.sin_family = AF_INET, target.sin_port = htons(static_cast<uint16_t>(port)), target.sin_addr.s_addr = htonl(host);
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(in_pktinfo))] = {};
    iovec part{const_cast<char*>(bytes.data()), bytes.size()};
    msghdr m{};
    m.msg_name = &target, m.msg_namelen = sizeof target;
    m.msg_iov = &part, m.msg_iovlen = 1, m.msg_control = control, m.msg_controllen = sizeof control;
    cmsghdr* c = CMSG_FIRSTHDR(&m);
    c->cmsg_level = IPPROTO_IP, c->cmsg_type = IP_PKTINFO, c->cmsg_len = CMSG_LEN(sizeof(in_pktinfo));
    in_pktinfo info{};
    info.ipi_spec_dst.s_addr = htonl(hostFor(to, from));
    std::memcpy(CMSG_DATA(c), &info, sizeof info);
    sendmsg(datagrams_, &m, MSG_NOSIGNAL);  // a process that has gone gets none
}

// ---- streams

void Relay::accept() {
    for (int fd; (fd = acceptOne(listener_.fd)) >= 0;) {
        auto s = std::make_shared<Stream>();
        s->fds[0] = fd;
        if (!pairOf(localHost(fd), static_cast<int>(real_.size()), s->from, s->to)) {
            ++unknown_;
            ::close(fd);
            continue;
        }
        streams_.push_back(s);
        // A first word that is lost is as a peer that never answers: accepted here, and nothing ever comes.
        if (!links_.opens(now(), s->from, s->to)) {
            s->held[0] = true;
            watch(s, 0);
            continue;
        }
        const auto& [host, port] = real_[static_cast<size_t>(s->to)];
        s->fds[1] = connectTo(hostText(host) + ":" + std::to_string(port));
        if (s->fds[1] < 0) {
            end(s, true);
            continue;
        }
        watch(s, 0), watch(s, 1);
        faultsChanged();
    }
}

Links::Stream Relay::stateOf(const Stream& s, int side) const {
    return side == 0 ? links_.stream(now(), s.from, s.to) : links_.stream(now(), s.to, s.from);
}

void Relay::watch(const std::shared_ptr<Stream>& s, int side) {
    std::weak_ptr<Stream> weak = s;
    loop_.watch(s->fds[side], side == 1 ? EPOLLIN | EPOLLOUT : EPOLLIN, [this, weak, side](uint32_t events) {
        if (auto stream = weak.lock()) comes(stream, side, events);
    });
}

void Relay::comes(const std::shared_ptr<Stream>& s, int side, uint32_t events) {
    if (s->fds[side] < 0) return;
    if (side == 1 && s->connecting && (events & (EPOLLOUT | EPOLLERR | EPOLLHUP))) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(s->fds[1], SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) return end(s, true);
        s->connecting = false;
        loop_.change(s->fds[1], EPOLLIN);
        flush(s, 1);
    }
    // Both directions are over: what can't be read any more would wake us for ever.
    if ((events & EPOLLERR) || ((events & EPOLLHUP) && !(events & EPOLLIN))) return end(s, true);
    if (events & EPOLLOUT) flush(s, side);
    if (events & (EPOLLIN | EPOLLHUP)) pump(s, side);
}

// From that side to the other, as the link allows.
void Relay::pump(const std::shared_ptr<Stream>& s, int side) {
    char part[16 * 1024];
    int other = 1 - side;
    Links::Stream is = stateOf(*s, side);
    if (is == Links::Stream::reset) return end(s, true);
    if (is == Links::Stream::stalled || s->held[side]) {
        s->held[side] = true;
        if (s->fds[side] >= 0) loop_.change(s->fds[side], 0);
        // Held with nobody at the other end: until the asker gives up, which is not seen while nothing is read.
        std::weak_ptr<Stream> weak = s;
        loop_.at(loop_.now() + Span::seconds(4), [this, weak] {
            if (auto stream = weak.lock(); stream && stream->fds[1] < 0) end(stream, true);
        });
        return;
    }
    while (s->pending[other].size() < kPendingMost) {
        ssize_t got = recv(s->fds[side], part, sizeof part, MSG_DONTWAIT);
        if (got < 0 && (errno == EAGAIN || errno == EINTR)) break;
        if (got < 0) return end(s, true);
        if (got == 0) {
            s->ended[side] = true;
            loop_.change(s->fds[side], 0);
            break;
        }
        Span takes = side == 0 ? links_.streamTakes(now(), s->from, s->to, static_cast<size_t>(got))
                               : links_.streamTakes(now(), s->to, s->from, static_cast<size_t>(got));
        if (takes <= Span()) {
            s->pending[other].append(part, static_cast<size_t>(got));
            continue;
        }
        // The stream's order is kept by reading nothing more until these bytes have gone on.
        s->held[side] = true;
        loop_.change(s->fds[side], 0);
        std::string bytes(part, static_cast<size_t>(got));
        std::weak_ptr<Stream> weak = s;
        loop_.at(loop_.now() + takes, [this, weak, side, bytes] {
            auto stream = weak.lock();
            if (!stream || stream->fds[side] < 0) return;
            stream->pending[1 - side] += bytes;
            stream->held[side] = false;
            flush(stream, 1 - side);
            if (stream->fds[side] >= 0) loop_.change(stream->fds[side], EPOLLIN);
        });
        return;
    }
    flush(s, other);
    if (is == Links::Stream::halfClosed && s->fds[other] >= 0 && !s->shut[other]) {
        ::shutdown(s->fds[other], SHUT_WR);
        s->shut[other] = true;
    }
}

void Relay::flush(const std::shared_ptr<Stream>& s, int side) {
    int fd = s->fds[side];
    if (fd < 0 || (side == 1 && s->connecting)) return;
    std::string& out = s->pending[side];
    while (!out.empty()) {
        ssize_t sent = send(fd, out.data(), out.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && (errno == EAGAIN || errno == EINTR)) {
            loop_.change(fd, EPOLLIN | EPOLLOUT);
            return;
        }
        if (sent < 0) return end(s, true);
        out.erase(0, static_cast<size_t>(sent));
    }
    if (!s->ended[side]) loop_.change(fd, EPOLLIN);
    if (s->ended[1 - side] && !s->shut[side]) ::shutdown(fd, SHUT_WR), s->shut[side] = true;
    if (s->ended[0] && s->ended[1] && s->pending[0].empty() && s->pending[1].empty()) end(s, false);
}

void Relay::end(const std::shared_ptr<Stream>& s, bool reset) {
    for (int& fd : s->fds) {
        if (fd < 0) continue;
        loop_.forget(fd);
        linger at{1, 0};
        if (reset) setsockopt(fd, SOL_SOCKET, SO_LINGER, &at, sizeof at);
        ::close(std::exchange(fd, -1));
    }
    streams_.remove(s);
}

void Relay::faultsChanged() {
    auto streams = streams_;
    for (const auto& s : streams) {
        for (int side = 0; side < 2 && s->fds[side] >= 0; ++side) {
            Links::Stream is = stateOf(*s, side);
            if (is == Links::Stream::reset) {
                end(s, true);
                break;
            }
            if (s->held[side] && is == Links::Stream::flows && s->fds[1] >= 0 && !s->ended[side]) {
                s->held[side] = false;
                loop_.change(s->fds[side], EPOLLIN);
            }
        }
    }
}

}  // namespace petrelpond::fleet
