// Messages between cores as one msgpack array.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {
namespace {

constexpr uint32_t fields = 30;

// What a core may send at most: against a length that makes us reserve memory for garbage. It harms where a
// configuration outgrows 64 MB or a system 4096 cores.
const msgpack::unpack_limit& limits() {
    static const msgpack::unpack_limit limit(4096, 4096, 4096, 64u << 20, 0, 4);
    return limit;
}

}  // namespace

std::string encode(const Message& m) {
    msgpack::sbuffer buffer((m.value ? m.value->body.size() : 0) + 512);
    msgpack::packer<msgpack::sbuffer> p(buffer);
    p.pack_array(fields);
    p.pack(static_cast<uint8_t>(m.kind));
    p.pack(m.number);
    p.pack(m.echo);
    p.pack(static_cast<uint8_t>((m.yes ? 1 : 0) | (m.recovering ? 2 : 0) | (m.counted ? 4 : 0) |
                                (m.leaving ? 8 : 0) | (m.diskBroken ? 16 : 0)));
    p.pack(m.disk.version);
    p.pack(m.disk.digest);
    p.pack(m.disk.ballot);
    p.pack(m.sure.version);
    p.pack(m.sure.digest);
    p.pack(m.version);
    p.pack(m.term);
    p.pack(m.ballot);
    p.pack(m.accepted);
    p.pack(m.voters);
    p.pack(m.nodes);
    p.pack(m.electors);
    p.pack(m.epoch);
    p.pack(m.entering);
    p.pack(m.former);
    p.pack(m.joined);
    p.pack(m.birth);
    p.pack(m.claims);
    p.pack(m.saves);
    p.pack(m.knownBirth);
    p.pack(m.knownSaves);
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
        // The body is only looked at where it lies and copied once, into the value.
        const auto inPlace = [](msgpack::type::object_type, size_t, void*) { return true; };
        size_t used = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), used, inPlace, nullptr, limits());
        const msgpack::object& o = handle.get();
        if (used != bytes.size() || o.type != msgpack::type::ARRAY || o.via.array.size != fields) return {};
        const msgpack::object* f = o.via.array.ptr;
        Message m;
        const auto kind = f[0].as<uint8_t>();
        if (kind > static_cast<uint8_t>(Kind::last)) return {};
        m.kind = static_cast<Kind>(kind);
        size_t field = 1;
        const auto next = [&](auto& into) { into = f[field++].as<std::decay_t<decltype(into)>>(); };
        uint8_t flags = 0;
        next(m.number), next(m.echo), next(flags);
        m.yes = flags & 1;
        m.recovering = flags & 2;
        m.counted = flags & 4;
        m.leaving = flags & 8;
        m.diskBroken = flags & 16;
        next(m.disk.version), next(m.disk.digest), next(m.disk.ballot);
        next(m.sure.version), next(m.sure.digest), next(m.version);
        if (m.sure.version > 0) m.sure.ballot = kChosen;
        next(m.term), next(m.ballot), next(m.accepted);
        next(m.voters), next(m.nodes), next(m.electors);
        next(m.epoch), next(m.entering), next(m.former), next(m.joined), next(m.birth), next(m.claims),
            next(m.saves), next(m.knownBirth), next(m.knownSaves);
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
    } catch (const std::exception&) {  // msgpack tells of garbage by exceptions of many kinds
        return {};
    }
}

}  // namespace petrelpond::consensus
