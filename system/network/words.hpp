// What the system's programs say to each other over streams: frames of a length, a kind and a msgpack value.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace petrelpond::network {

enum class Kind : uint8_t {
    coreHello = 1,  // core to core: CoreHello
    coreMessage,    // core to core: the control state's own message
    hello,          // agent to core, proxy to agent: Hello
    welcome,        // core to agent: Welcome
    beat,           // both ways: Beat
    want,           // asks for the configuration: Beat with what is had
    config,         // Config
    report,         // sender to holder: scaler::Report
    grants,         // holder to sender: scaler::Grants
    standing,       // agent to proxy: Standing
};

struct CoreHello {
    std::string ip;
    MSGPACK_DEFINE(ip)
};

struct Hello {
    std::string name, ip, zone;
    uint64_t life = 0;  // rises with each start
    int64_t version = 0;
    MSGPACK_DEFINE(name, ip, zone, life, version)
};

struct Known {  // a sender that the core has a link to
    std::string name, ip, zone;
    uint64_t life = 0;
    MSGPACK_DEFINE(name, ip, zone, life)
};

struct Welcome {
    std::vector<std::string> cores;  // their addresses' IP
    std::vector<Known> senders;      // some
    std::string zone;                // of the core that says it
    MSGPACK_DEFINE(cores, senders, zone)
};

struct Beat {
    int64_t version = 0;  // newest configuration that is known to lie on a majority, or that is had
    uint64_t digest = 0;
    uint64_t term = 0;     // of the startup duty
    std::string holder;    // its IP; empty: vacant, as far as known
    uint32_t senders = 0;  // how many the core has links to
    // Of a core: whether it has lately heard of a majority of the cores. Else what it tells may be old.
    bool inContact = false;
    MSGPACK_DEFINE(version, digest, term, holder, senders, inContact)
};

// How the text of a configuration is given.
enum class Packing : uint8_t {
    plain,   // as it is; between two processes of one machine
    whole,   // compressed by itself
    change,  // as the change from the base
};

// A configuration. Whoever takes it compares the digest with that of the text which comes out, and asks for
// the whole where they differ or where the base is another.
struct Config {
    int64_t version = 0;
    uint64_t digest = 0;      // of the text
    int64_t baseVersion = 0;  // of a change
    uint64_t baseDigest = 0;
    uint8_t packing = 0;  // a Packing
    std::string bytes;
    MSGPACK_DEFINE(version, digest, baseVersion, baseDigest, packing, bytes)
};

// What a proxy is told beside configurations and grants.
struct Standing {
    uint32_t senders = 1;  // living ones, this one included
    uint64_t term = 0;     // of the holder to report to
    bool linked = false;   // whether the holder hears us
    bool silent = false;   // no holder is known, or nothing has been heard of it for a while
    MSGPACK_DEFINE(senders, term, linked, silent)
};

template <class T>
std::string packed(const T& value) {
    msgpack::sbuffer out;
    msgpack::pack(out, value);
    return std::string(out.data(), out.size());
}

template <class T>
std::optional<T> unpacked(std::string_view bytes) {
    try {
        auto handle = msgpack::unpack(bytes.data(), bytes.size());
        return handle.get().as<T>();
    } catch (const std::exception&) {
        return std::nullopt;  // not one of ours, or from a version that says it otherwise
    }
}

}  // namespace petrelpond::network
