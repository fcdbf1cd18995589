// Messages between cores as one msgpack array.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

#include "system/consensus/core.hpp"

namespace petrelpond::consensus {
namespace {

constexpr uint32_t fields = 22;

// What a core may send at most: against a length that makes us reserve memory for garbage. It harms where a
// configuration outgrows 64 MB or a system 4096 cores.
const msgpack::unpack_limit& limits() {
    static const msgpack::unpack_limit limit(4096, 0, 4096, 64u << 20, 0, 4);
    return limit;
}

}  // namespace

std::string encode(const Message& m) {
    msgpack::sbuffer buffer((m.value ? m.value->body.size() : 0) + 512);
    msgpack::packer<msgpack::sbuffer> p(buffer);
    p.pack_array(fields);
    p.pack(static_cast<uint8_t>(m.kind));
    p.pack(m.number);
    p.pack(static_cast<uint8_t>((m.yes ? 1 : 0) | (m.recovering ? 2 : 0) | (m.counted ? 4 : 0) |
                                (m.leaving ? 8 : 0) | (m.diskBroken ? 16 : 0)));
    p.pack(m.disk.version);
    p.pack(m.disk.digest);
    p.pack(m.sure.version);
    p.pack(m.sure.digest);
    p.pack(m.term);
    p.pack(m.ballot);
    p.pack(m.accepted);
    p.pack(m.roll);
    p.pack(m.nodes);
    p.pack(m.electors);
    p.pack(m.epoch);
    p.pack(m.entering);
    p.pack(m.former);
    p.pack(m.joined);
    p.pack(m.birth);
    p.pack(m.value != nullptr);
    p.pack(m.value ? m.value->version : 0);
    p.pack(m.value ? m.value->digest : 0);
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
        m.number = f[1].as<uint64_t>();
        const auto flags = f[2].as<uint8_t>();
        m.yes = flags & 1;
        m.recovering = flags & 2;
        m.counted = flags & 4;
        m.leaving = flags & 8;
        m.diskBroken = flags & 16;
        m.disk = {f[3].as<int64_t>(), f[4].as<uint64_t>()};
        m.sure = {f[5].as<int64_t>(), f[6].as<uint64_t>()};
        m.term = f[7].as<uint64_t>();
        m.ballot = f[8].as<uint64_t>();
        m.accepted = f[9].as<uint64_t>();
        m.roll = f[10].as<std::vector<NodeId>>();
        m.nodes = f[11].as<std::vector<NodeId>>();
        m.electors = f[12].as<std::vector<NodeId>>();
        m.epoch = f[13].as<uint64_t>();
        m.entering = f[14].as<uint8_t>();
        m.former = f[15].as<std::vector<NodeId>>();
        m.joined = f[16].as<std::vector<std::string>>();
        m.birth = f[17].as<uint64_t>();
        if (f[18].as<bool>()) {
            if (f[21].type != msgpack::type::BIN) return {};
            auto value = std::make_shared<Value>();
            value->version = f[19].as<int64_t>();
            value->digest = f[20].as<uint64_t>();
            value->body.assign(f[21].via.bin.ptr, f[21].via.bin.size);
            if (value->version <= 0) return {};
            m.value = std::move(value);
        }
        return m;
    } catch (const std::exception&) {  // msgpack tells of garbage by exceptions of many kinds
        return {};
    }
}

}  // namespace petrelpond::consensus
