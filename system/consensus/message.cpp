// Encodes each message between cores as one msgpack array.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {
namespace {

constexpr uint32_t kFieldCount = 30;

// Limits of a message, so that a length in malformed input cannot make us reserve much memory. Drawback: a
// configuration above 64 MB or a system of more than 4096 cores does not fit.
const msgpack::unpack_limit& unpackLimits() {
    static const msgpack::unpack_limit limit(4096, 4096, 4096, 64u << 20, 0, 4);
    return limit;
}

}  // namespace

std::string encode(const Message& m) {
    msgpack::sbuffer buffer((m.value ? m.value->body.size() : 0) + 512);
    msgpack::packer<msgpack::sbuffer> p(buffer);
    p.pack_array(kFieldCount);
    p.pack(static_cast<uint8_t>(m.kind));
    p.pack(m.requestId);
    p.pack(m.echoedHeartbeatId);
    p.pack(static_cast<uint8_t>((m.granted ? 1 : 0) | (m.recovering ? 2 : 0) | (m.mayVote ? 4 : 0) |
                                (m.leaving ? 8 : 0) | (m.diskBroken ? 16 : 0)));
    p.pack(m.syncedValue.version);
    p.pack(m.syncedValue.digest);
    p.pack(m.syncedValue.ballot);
    p.pack(m.chosenValue.version);
    p.pack(m.chosenValue.digest);
    p.pack(m.version);
    p.pack(m.term);
    p.pack(m.ballot);
    p.pack(m.acceptedBallot);
    p.pack(m.voters);
    p.pack(m.nodes);
    p.pack(m.electors);
    p.pack(m.epoch);
    p.pack(m.takeoverState);
    p.pack(m.formerVoters);
    p.pack(m.joinedDisks);
    p.pack(m.diskId);
    p.pack(m.claims);
    p.pack(m.saveCount);
    p.pack(m.knownDiskId);
    p.pack(m.knownSaveCount);
    p.pack(m.value != nullptr);
    p.pack(m.value ? m.value->version : int64_t{0});
    p.pack(m.value ? m.value->digest : uint64_t{0});
    p.pack(m.value ? m.value->ballot : uint64_t{0});
    const size_t size = m.value ? m.value->body.size() : 0;
    p.pack_bin(static_cast<uint32_t>(size));
    if (size > 0) p.pack_bin_body(m.value->body.data(), static_cast<uint32_t>(size));
    return std::string(buffer.data(), buffer.size());
}

std::optional<Message> decode(std::string_view bytes) {
    try {
        // The body is referenced in the input and copied only once, into the value.
        const auto inPlace = [](msgpack::type::object_type, size_t, void*) { return true; };
        size_t used = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), used, inPlace, nullptr, unpackLimits());
        const msgpack::object& o = handle.get();
        if (used != bytes.size() || o.type != msgpack::type::ARRAY || o.via.array.size != kFieldCount)
            return {};
        const msgpack::object* f = o.via.array.ptr;
        Message m;
        const auto kind = f[0].as<uint8_t>();
        if (kind > static_cast<uint8_t>(MessageKind::last)) return {};
        m.kind = static_cast<MessageKind>(kind);
        size_t field = 1;
        const auto next = [&](auto& into) { into = f[field++].as<std::decay_t<decltype(into)>>(); };
        uint8_t flags = 0;
        next(m.requestId), next(m.echoedHeartbeatId), next(flags);
        m.granted = flags & 1;
        m.recovering = flags & 2;
        m.mayVote = flags & 4;
        m.leaving = flags & 8;
        m.diskBroken = flags & 16;
        next(m.syncedValue.version), next(m.syncedValue.digest), next(m.syncedValue.ballot);
        next(m.chosenValue.version), next(m.chosenValue.digest), next(m.version);
        if (m.chosenValue.version > 0) m.chosenValue.ballot = kChosenBallot;
        next(m.term), next(m.ballot), next(m.acceptedBallot);
        next(m.voters), next(m.nodes), next(m.electors);
        next(m.epoch), next(m.takeoverState), next(m.formerVoters), next(m.joinedDisks), next(m.diskId),
            next(m.claims), next(m.saveCount), next(m.knownDiskId), next(m.knownSaveCount);
        bool withValue = false;
        next(withValue);
        if (withValue) {
            auto value = std::make_shared<Value>();
            next(value->version), next(value->digest), next(value->ballot);
            if (f[field].type != msgpack::type::BIN || value->version <= 0) return {};
            value->body.assign(f[field].via.bin.ptr, f[field].via.bin.size);
            m.value = std::move(value);
        }
        return m;
    } catch (const std::exception&) {  // msgpack throws various exceptions for malformed input
        return {};
    }
}

}  // namespace petrelpond::consensus
