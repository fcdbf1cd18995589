#include "system/network/link.hpp"

#include <cerrno>

namespace petrelpond::network {

std::unique_ptr<Link> Link::connect(Loop& loop, LinkOwner& owner, Address to, Span silence) {
    std::unique_ptr<Link> link(new Link(owner));
    link->stream_ = Stream::connect(loop, *link, to, silence);
    if (!link->stream_) return nullptr;
    return link;
}

std::unique_ptr<Link> Link::adopt(Loop& loop, LinkOwner& owner, int fd, Span silence) {
    std::unique_ptr<Link> link(new Link(owner));
    link->stream_ = Stream::adopt(loop, *link, fd, silence);
    return link;
}

void Link::send(Kind kind, std::string_view payload) {
    std::string frame;
    frame.reserve(payload.size() + 5);
    auto length = static_cast<uint32_t>(payload.size() + 1);
    for (int i = 0; i < 4; ++i) frame.push_back(static_cast<char>(length >> (8 * i) & 255));
    frame.push_back(static_cast<char>(kind));
    frame.append(payload);
    stream_->send(frame);
}

void Link::connected(Stream&) { owner_.linkUp(*this); }

void Link::data(Stream& stream) {
    std::string in;
    in.swap(stream.in());
    size_t at = 0;
    while (in.size() - at >= 4) {
        uint32_t length = 0;
        for (int i = 0; i < 4; ++i)
            length |= static_cast<uint32_t>(static_cast<uint8_t>(in[at + i])) << (8 * i);
        if (length == 0 || length > kMostFrame) {
            stream.close();
            return owner_.linkDown(*this, true);
        }
        if (in.size() - at - 4 < length) break;
        auto kind = static_cast<Kind>(in[at + 4]);
        owner_.frame(*this, kind, std::string_view(in).substr(at + 5, length - 1));
        if (stream.isClosed()) return;
        at += 4 + length;
    }
    stream.in().insert(0, in, at, std::string::npos);
}

void Link::ended(Stream&, int error) {
    owner_.linkDown(*this, error == 0 || error == ECONNRESET || error == ECONNREFUSED || error == EPIPE);
}

}  // namespace petrelpond::network
