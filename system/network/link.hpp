// A stream of frames between two of the system's processes: four bytes of length (of what follows), one of
// kind.
#pragma once

#include <functional>
#include <memory>

#include "system/network/stream.hpp"
#include "system/network/words.hpp"

namespace petrelpond::network {

// A configuration may have so many bytes: some 17,000 functions with a route each take 6.4 MB.
inline constexpr size_t kMostConfiguration = 8u << 20;
// A longer frame is noise from elsewhere, and ends its link. It must take the longest configuration and what
// goes with it: else one that was accepted could never reach the others, and each try would end the link.
inline constexpr size_t kMostFrame = kMostConfiguration + (1u << 20);

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
