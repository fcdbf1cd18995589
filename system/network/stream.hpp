// A TCP connection on a Loop: bytes in and out, connect and close. Nothing blocks.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "system/network/loop.hpp"

namespace petrelpond::network {

struct Address {
    uint32_t ip = 0;  // host order
    uint16_t port = 0;
    bool operator==(const Address&) const = default;
    std::string text() const;
    static std::optional<Address> parse(std::string_view text);  // "10.0.0.1:80"
    static std::optional<Address> parse(std::string_view ip, uint16_t port);
};

class Stream;

class StreamOwner {
  public:
    virtual ~StreamOwner() = default;
    virtual void connected(Stream&) {}
    virtual void data(Stream&) = 0;              // something was added to in()
    virtual void ended(Stream&, int error) = 0;  // 0: the peer closed in order; once, and not after close()
    virtual void written(Stream&) {}             // all bytes have gone to the kernel, where some had to wait
};

class Stream final : public Watcher {
  public:
    // silence: a peer that acknowledges nothing for so long is taken for gone (machines without power are
    // silent).
    static std::unique_ptr<Stream> connect(Loop&, StreamOwner&, Address, Span silence);
    static std::unique_ptr<Stream> adopt(Loop&, StreamOwner&, int fd, Span silence);
    ~Stream() override;

    void send(std::string_view bytes);
    // The same, and anythingSent() speaks of these bytes alone. On a kept connection that was reset without
    // our having read so, nothing leaves any more: that request has surely not run.
    void sendAnew(std::string_view bytes) { anythingSent_ = unsent() > 0, send(bytes); }
    std::string& in() { return in_; }
    bool isConnected() const { return up_; }
    bool isClosed() const { return fd_ < 0; }
    size_t unsent() const { return out_.size() - sent_; }
    // Bytes that the peer has not acknowledged, those that the kernel holds included; nothing if the kernel
    // does not tell.
    std::optional<size_t> unacknowledged() const;
    size_t memory() const { return in_.capacity() + out_.capacity(); }
    void close();
    void finishWriting();  // half-closes once all has gone out
    void pauseReading(bool paused);
    // The peer's end of sending is told by ended(0) but does not close this side.
    void keepAtEnd() { keepAtEnd_ = true; }
    bool anythingSent() const { return anythingSent_; }
    void woke(uint32_t events) override;

  private:
    Stream(Loop& loop, StreamOwner& owner, int fd, bool up);
    void end(int error);
    void flush();
    void rewatch();
    Loop& loop_;
    StreamOwner* owner_;
    int fd_;
    bool up_, paused_ = false, keepAtEnd_ = false, finishing_ = false, finished_ = false,
              anythingSent_ = false;
    uint32_t watched_ = 0;
    std::string in_, out_;
    size_t sent_ = 0;
};

class Listener final : public Watcher {
  public:
    // Gives each new connection's descriptor to `taken`.
    static std::unique_ptr<Listener> open(Loop&, Address, std::function<void(int fd, Address from)> taken,
                                          std::string& error);
    ~Listener() override;
    void woke(uint32_t events) override;
    void close();

  private:
    Listener(Loop& loop, int fd, std::function<void(int, Address)> taken)
        : loop_(loop), fd_(fd), taken_(std::move(taken)) {}
    Loop& loop_;
    int fd_;
    std::function<void(int, Address)> taken_;
};

class Datagrams final : public Watcher {
  public:
    static std::unique_ptr<Datagrams> open(Loop&, Address,
                                           std::function<void(Address from, std::string_view bytes)> got,
                                           std::string& error);
    ~Datagrams() override;
    void send(Address to, std::string_view bytes);  // lost where it can't go
    void woke(uint32_t events) override;

  private:
    Datagrams(Loop& loop, int fd, std::function<void(Address, std::string_view)> got)
        : loop_(loop), fd_(fd), got_(std::move(got)) {}
    Loop& loop_;
    int fd_;
    std::function<void(Address, std::string_view)> got_;
};

}  // namespace petrelpond::network
