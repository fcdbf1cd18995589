// Blocking TCP sockets. Waiting is bounded by the kernel's own time-outs, and another thread ends it by
// shutDown().
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "petrelpond/time.hpp"

namespace petrelpond {

class Socket {
  public:
    Socket() = default;
    explicit Socket(int fd) : fd_(fd) {}
    Socket(Socket&& other) noexcept : fd_(other.release()) {}
    Socket& operator=(Socket&& other) noexcept;
    ~Socket() { close(); }

    bool open() const { return fd_ >= 0; }
    int descriptor() const { return fd_; }
    void close();
    int release();

    void waitAtMost(Span span) const;  // for what is received and sent from now on; zero: without bound
    bool sendAll(std::string_view bytes) const;
    // Bytes received; 0 at the peer's end; -1 on a break, and on a wait that ran out.
    long receive(char* into, size_t room) const;
    long discard(size_t most) const;  // receives bytes that nobody wants, without a copy
    bool peerGone() const;            // whether the peer has ended or broken the connection, without waiting
    bool broken() const;              // whether it was reset; not merely ended by the peer
    bool somethingCame() const;       // whether bytes lie unread, without waiting
    void endSending() const;
    void sendNagless() const;

  private:
    bool mayGoOn() const;

    int fd_ = -1;
    mutable int64_t until_ = 0;  // of the clock that does not jump, in microseconds
};

// Ends every wait on it, from whichever thread; what has been received can still be read.
void shutDown(int fd);
void endReceiving(int fd);  // the same for receiving alone

struct Address {
    std::string host;
    int port = 0;
    static std::optional<Address> parse(std::string_view hostPort);  // a numeric IPv4 address and a port
};

enum class Connect { up, noMeans, refused, late };
// In two steps, so that the descriptor is known to others, who may end the wait, before it starts.
Connect makeSocket(Socket& socket);
Connect connectSocket(const Address& to, Span within, const Socket& socket);

// For one thread that attends to many: accepts and receives there without waiting.
void neverWait(const Socket& socket);
// Ends another thread's comes(), also one that begins later.
class Wake {
  public:
    Wake();
    ~Wake();
    Wake(const Wake&) = delete;
    Wake& operator=(const Wake&) = delete;
    void now() const;

  private:
    friend bool comes(const Socket& listener, const Wake& wake);
    int fd_;
};
// Waits until a connection may be accepted there; false once woken. For a listener that other processes have
// too, which must be neither shut down nor waited in for good.
bool comes(const Socket& listener, const Wake& wake);
// A listening socket that the process was started with. Not open where that is none.
Socket inheritedListener(int fd, std::string& problem);
Socket listenAt(const Address& at, std::string& problem);
// Not open where nothing could be accepted; `lasting` tells that it will not get better.
Socket acceptFrom(const Socket& listener, bool& lasting);

}  // namespace petrelpond
