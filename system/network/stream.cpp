#include "system/network/stream.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

namespace petrelpond::network {

namespace {

sockaddr_in plain(Address a) {
    sockaddr_in out{};
    out.sin_family = AF_INET, out.sin_port = htons(a.port), out.sin_addr.s_addr = htonl(a.ip);
    return out;
}

Address fromPlain(const sockaddr_in& a) { return {ntohl(a.sin_addr.s_addr), ntohs(a.sin_port)}; }

void option(int fd, int level, int name, int value) { setsockopt(fd, level, name, &value, sizeof value); }

// A machine without power says nothing: unacknowledged bytes end the connection after `silence`, and where
// none are on their way probes are. Harm: a peer frozen for longer is given up though it would wake.
void bound(int fd, Span silence) {
    option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    if (silence <= Span()) return;
    int ms = static_cast<int>(silence.inMicros() / 1000);
    option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, ms);
    option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    option(fd, IPPROTO_TCP, TCP_KEEPIDLE, std::max(1, ms / 2000));
    option(fd, IPPROTO_TCP, TCP_KEEPINTVL, 1);
    option(fd, IPPROTO_TCP, TCP_KEEPCNT, std::max(1, ms / 2000));
}

// A text that was emptied keeps its memory. Hundreds of connections that had each carried one large body and
// lay idle since were over a machine's bound together. Harm: the next large one is given its memory anew.
constexpr size_t kKeptRoom = 16384;

void giveBack(std::string& text) {
    if (text.empty() && text.capacity() > kKeptRoom) std::string().swap(text);
}

}  // namespace

std::string Address::text() const {
    return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
           std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255) + ":" + std::to_string(port);
}

std::optional<Address> Address::parse(std::string_view text) {
    size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    unsigned port = 0;
    auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (error != std::errc() || end != text.data() + text.size() || port > 65535) return std::nullopt;
    return parse(text.substr(0, colon), static_cast<uint16_t>(port));
}

std::optional<Address> Address::parse(std::string_view ip, uint16_t port) {
    in_addr a;
    if (inet_pton(AF_INET, std::string(ip).c_str(), &a) != 1) return std::nullopt;
    return Address{ntohl(a.s_addr), port};
}

Stream::Stream(Loop& loop, StreamOwner& owner, int fd, bool up)
    : loop_(loop), owner_(&owner), fd_(fd), up_(up) {}

std::unique_ptr<Stream> Stream::connect(Loop& loop, StreamOwner& owner, Address to, Span silence) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) return nullptr;
    bound(fd, silence);
    sockaddr_in peer = plain(to);
    int done = ::connect(fd, reinterpret_cast<sockaddr*>(&peer), sizeof peer);
    if (done < 0 && errno != EINPROGRESS) {
        ::close(fd);
        return nullptr;
    }
    std::unique_ptr<Stream> s(new Stream(loop, owner, fd, false));
    s->watched_ = EPOLLIN | EPOLLOUT;
    loop.watch(fd, s->watched_, s.get());
    return s;
}

std::unique_ptr<Stream> Stream::adopt(Loop& loop, StreamOwner& owner, int fd, Span silence) {
    bound(fd, silence);
    std::unique_ptr<Stream> s(new Stream(loop, owner, fd, true));
    s->watched_ = EPOLLIN;
    loop.watch(fd, s->watched_, s.get());
    return s;
}

Stream::~Stream() { close(); }

void Stream::close() {
    if (fd_ < 0) return;
    ::close(fd_);  // leaves the epoll set by itself
    fd_ = -1;
}

void Stream::end(int error) {
    if (fd_ < 0) return;
    close();
    owner_->ended(*this, error);
}

void Stream::rewatch() {
    if (fd_ < 0) return;
    uint32_t want = (paused_ ? 0u : static_cast<uint32_t>(EPOLLIN)) |
                    (!up_ || unsent() > 0 ? static_cast<uint32_t>(EPOLLOUT) : 0u);
    if (want == watched_) return;
    watched_ = want;
    loop_.change(fd_, want, this);
}

void Stream::send(std::string_view bytes) {
    if (fd_ < 0 || finished_) return;
    if (up_ && unsent() == 0) {
        ssize_t n = ::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n >= 0) {
            anythingSent_ |= n > 0;
            if (static_cast<size_t>(n) == bytes.size()) return;
            bytes.remove_prefix(static_cast<size_t>(n));
        } else if (errno != EAGAIN && errno != EINTR) {
            // Told in the next round: the caller may be in the midst of its own work. What is still to be
            // read is read first there.
            out_.assign(bytes), sent_ = 0;
            rewatch();
            return;
        }
    }
    if (sent_ > 0) out_.erase(0, sent_), sent_ = 0;
    out_.append(bytes);
    rewatch();
}

void Stream::flush() {
    while (unsent() > 0) {
        ssize_t n = ::send(fd_, out_.data() + sent_, unsent(), MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR) continue;
        if (n < 0 && errno == EAGAIN) return rewatch();
        if (n < 0) return end(errno);
        anythingSent_ |= n > 0;
        sent_ += static_cast<size_t>(n);
    }
    out_.clear(), sent_ = 0;
    giveBack(out_);
    if (finishing_ && !finished_) finished_ = true, ::shutdown(fd_, SHUT_WR);
    rewatch();
    owner_->written(*this);
}

void Stream::finishWriting() {
    if (fd_ < 0 || finished_) return;
    finishing_ = true;
    if (unsent() == 0) finished_ = true, ::shutdown(fd_, SHUT_WR);
}

std::optional<size_t> Stream::unacknowledged() const {
    int inKernel = 0;
    if (fd_ < 0 || ioctl(fd_, SIOCOUTQ, &inKernel) != 0 || inKernel < 0) return std::nullopt;
    return unsent() + static_cast<size_t>(inKernel);
}

void Stream::pauseReading(bool paused) {
    paused_ = paused;
    rewatch();
}

void Stream::woke(uint32_t events) {
    if (fd_ < 0) return;
    if (!up_) {
        int error = 0;
        socklen_t size = sizeof error;
        getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) return end(error);
        if (!(events & EPOLLOUT)) return;
        up_ = true;
        owner_->connected(*this);
        if (fd_ < 0) return;
        if (unsent() > 0)
            flush();
        else
            rewatch();
        return;
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) {
        if (paused_ && (events & (EPOLLHUP | EPOLLERR))) return end(ECONNRESET);
        char bytes[16384];
        bool got = false;
        while (true) {
            ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
            if (n > 0) {
                in_.append(bytes, static_cast<size_t>(n)), got = true;
                if (static_cast<size_t>(n) == sizeof bytes && in_.size() < (1u << 20)) continue;
                break;
            }
            if (n < 0 && errno == EINTR) continue;
            if (n < 0 && errno == EAGAIN) break;
            int error = n == 0 ? 0 : errno;
            if (got) owner_->data(*this), giveBack(in_);
            if (fd_ < 0) return;
            if (error != 0 || !keepAtEnd_) return end(error);
            paused_ = true;
            rewatch();
            return owner_->ended(*this, 0);
        }
        if (got) owner_->data(*this), giveBack(in_);
        if (fd_ < 0) return;
    }
    if ((events & EPOLLOUT) && unsent() > 0) flush();
}

std::unique_ptr<Listener> Listener::open(Loop& loop, Address at, std::function<void(int, Address)> taken,
                                         std::string& error) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in own = plain(at);
    option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 || listen(fd, 1024) != 0) {
        error = std::strerror(errno);
        if (fd >= 0) ::close(fd);
        return nullptr;
    }
    std::unique_ptr<Listener> l(new Listener(loop, fd, std::move(taken)));
    loop.watch(fd, EPOLLIN, l.get());
    return l;
}

Listener::~Listener() { close(); }

void Listener::close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
}

void Listener::woke(uint32_t) {
    // A few a round, so that a crowd at the door does not hold up those who are in.
    for (int i = 0; i < 16 && fd_ >= 0; ++i) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) return;
        taken_(fd, fromPlain(peer));
    }
}

std::unique_ptr<Datagrams> Datagrams::open(Loop& loop, Address at,
                                           std::function<void(Address, std::string_view)> got,
                                           std::string& error) {
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in own = plain(at);
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0) {
        error = std::strerror(errno);
        if (fd >= 0) ::close(fd);
        return nullptr;
    }
    std::unique_ptr<Datagrams> d(new Datagrams(loop, fd, std::move(got)));
    loop.watch(fd, EPOLLIN, d.get());
    return d;
}

Datagrams::~Datagrams() { ::close(fd_); }

void Datagrams::send(Address to, std::string_view bytes) {
    sockaddr_in peer = plain(to);
    (void)!sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<sockaddr*>(&peer),
                  sizeof peer);
}

void Datagrams::woke(uint32_t) {
    char bytes[2048];
    for (int i = 0; i < 16; ++i) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        ssize_t n = recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&peer), &size);
        if (n < 0) return;
        got_(fromPlain(peer), std::string_view(bytes, static_cast<size_t>(n)));
    }
}

}  // namespace petrelpond::network
