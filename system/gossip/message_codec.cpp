// Encoding and decoding of gossip messages.
#include <exception>

#include "system/gossip/gossip_node.hpp"

namespace petrelpond::gossip {

namespace {

bool isWithinLimits(const Peer& p) {
    return !p.name.empty() && p.name.size() <= 64 && !p.ip.empty() && p.ip.size() <= 45 &&
           p.zone.size() <= 32;
}

}  // namespace

std::string encode(const Message& m) {
    msgpack::sbuffer buffer(kMaxMessageBytes);
    msgpack::pack(buffer, m);
    return std::string(buffer.data(), buffer.size());
}

std::optional<Message> decode(std::string_view bytes) {
    if (bytes.empty() || bytes.size() > kMaxMessageBytes) return std::nullopt;
    try {
        // The limits keep corrupted bytes from causing large allocations or deep recursion. Strings refer to
        // the caller's bytes until they are converted, which happens while those are still valid.
        const msgpack::unpack_limit limits(64, 0, kMaxMessageBytes, 0, 0, 4);
        size_t end = 0;
        bool referenced = false;
        const auto inPlace = [](msgpack::type::object_type, size_t, void*) { return true; };
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), end, referenced, inPlace, nullptr, limits);
        if (end != bytes.size()) return std::nullopt;
        const msgpack::object& o = handle.get();
        if (o.type != msgpack::type::ARRAY || o.via.array.size != 6) return std::nullopt;
        Message m;
        o.convert(m);
        if (m.kind > static_cast<uint8_t>(Kind::leave) || !isWithinLimits(m.from) ||
            m.digest.holder.size() > 64)
            return std::nullopt;
        if (m.heartbeats.size() % 9 != 0 || m.wantedIds.size() % 5 != 0) return std::nullopt;
        for (const Peer& p : m.peers)
            if (!isWithinLimits(p)) return std::nullopt;
        return m;
    } catch (const std::exception&) {  // parse, limit and type errors of msgpack
        return std::nullopt;
    }
}

}  // namespace petrelpond::gossip
