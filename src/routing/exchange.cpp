#include "src/routing/exchange.hpp"

#include <algorithm>
#include <cstring>

#include "src/routing/mailbox.hpp"

namespace petrelpond {

namespace {

constexpr int kMostInterim = 64;  // answers that go on without end hold a call as silence does
// An answer that has begun comes whole soon after. Against heads that never end and lengths that are never
// filled, on connections that stay open: each would hold its call's slot until the call's time is up. Where
// the first line has said all, the rest only decides whether the connection is used again.
constexpr Span kRest = Span::seconds(1), kRestOfDelivered = Span::millis(150);

// Whether the body ends where the connection does.
bool endless(const http::Head& head, const std::optional<size_t>& length) {
    return !length && head.status() != 204 && head.status() != 304;
}

}  // namespace

Reply readReply(const Socket& socket, const Buffers::Lease& buffer, bool bodyMatters, Instant until) {
    Reply reply;
    char* at = buffer.data();
    size_t have = 0;
    Instant begun;
    auto delivered = [&] { return !bodyMatters && http::firstLineStatus({at, have}) == 200; };
    auto more = [&]() -> long {
        Instant now = steadyNow();
        Instant end = have > 0 ? std::min(until, begun + (delivered() ? kRestOfDelivered : kRest)) : until;
        if (have >= Buffers::kSize || end <= now) return -1;
        socket.waitAtMost(end - now);
        long got = socket.receive(at + have, Buffers::kSize - have);
        if (got > 0 && have == 0) begun = steadyNow();
        if (got > 0) have += static_cast<size_t>(got);
        return got;
    };
    // Broken off or spoilt: a first line that came whole has still told that the call was delivered.
    auto broken = [&] {
        reply.head = http::Head(), reply.body = {}, reply.keep = false;
        int status = http::firstLineStatus({at, have});
        reply.state = status >= 200 ? Reply::State::half : have > 0 ? Reply::State::odd : Reply::State::ended;
        if (status < 200) return reply;
        http::parseResponse(std::string_view(at, std::string_view(at, have).find('\n') + 1), reply.head);
        return reply;
    };
    for (int interim = 0; interim < kMostInterim; ++interim) {
        std::optional<size_t> end;
        while (!(end = http::headEnd({at, have}))) {
            if (have > 0 && !http::mayBecomeResponse({at, have})) return broken();
            if (more() <= 0) return broken();
        }
        reply.head = http::Head();
        if (http::parseResponse({at, *end}, reply.head) != http::Fault::none) return broken();
        if (reply.head.status() < 200) {
            std::memmove(at, at + *end, have - *end);
            have -= *end;
            continue;
        }
        if (reply.head.field("Transfer-Encoding") == "chunked" && !reply.head.field("Content-Length")) {
            std::string body;
            size_t taken = 0;
            http::Chunks state;
            while ((state = http::unchunk({at + *end, have - *end}, body, taken)) ==
                   http::Chunks::incomplete) {
                if (more() <= 0) return broken();
            }
            if (state == http::Chunks::malformed) return broken();
            reply.keep = have == *end + taken && !reply.head.closes();
            std::memcpy(at + *end, body.data(), body.size());  // it takes less room than its chunks
            reply.body = {at + *end, body.size()};
            return reply.state = Reply::State::whole, reply;
        }
        std::optional<size_t> length;
        if (http::bodyLength(reply.head, length) != http::Fault::none) return broken();
        bool toTheEnd = endless(reply.head, length);
        if (toTheEnd && delivered()) return reply.state = Reply::State::whole, reply;
        size_t whole = *end + length.value_or(0);
        while (toTheEnd || have < whole) {
            long got = more();
            if (got == 0 && toTheEnd) break;
            if (got <= 0) return broken();
        }
        reply.body = {at + *end, toTheEnd ? have - *end : length.value_or(0)};
        // What is more than the answer's own spoils the connection, not the answer.
        reply.keep = !toTheEnd && have == whole && !reply.head.closes();
        reply.state = Reply::State::whole;
        return reply;
    }
    return reply.state = Reply::State::odd, reply;
}

}  // namespace petrelpond
