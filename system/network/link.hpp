// A stream of frames between two of the system's processes: four bytes of length (of what follows), one of
// kind.
#pragma once

#include <functional>
#include <memory>

#include "system/network/stream.hpp"
#include "system/network/words.hpp"

namespace petrelpond::network {

class Link;

class LinkOwner {
  public:
    virtual ~LinkOwner() = default;
    virtual void linkUp(Link&) {}
    virtual void frame(Link&, Kind, std::string_view payload) = 0;
    virtual void linkDown(Link&, bool closed) = 0;  // closed: by a reset or close, so its process has ended
};

class Link final : public StreamOwner {
  public:
    static std::unique_ptr<Link> connect(Loop&, LinkOwner&, Address, Span silence);
    static std::unique_ptr<Link> adopt(Loop&, LinkOwner&, int fd, Span silence);
    void send(Kind, std::string_view payload);
    template <class T>
    void say(Kind kind, const T& value) {
        send(kind, packed(value));
    }
    bool isUp() const { return stream_ && stream_->isConnected() && !stream_->isClosed(); }
    size_t unsent() const { return stream_->unsent(); }
    void close() { stream_->close(); }
    uint64_t tag = 0;  // the owner's

    void connected(Stream&) override;
    void data(Stream&) override;
    void ended(Stream&, int error) override;

  private:
    explicit Link(LinkOwner& owner) : owner_(owner) {}
    LinkOwner& owner_;
    std::unique_ptr<Stream> stream_;
};

}  // namespace petrelpond::network
