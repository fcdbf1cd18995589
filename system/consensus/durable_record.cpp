#include "system/consensus/durable_record.hpp"

#include <cstring>

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

namespace petrelpond::consensus {
namespace {

// Prepends a checksum, against a disk that returns other bytes than were written. LevelDB checks its blocks;
// this also detects an older block in place of a newer one.
std::string addChecksum(std::string_view content) {
    const uint64_t checksum = XXH3_64bits(content.data(), content.size());
    std::string s(sizeof checksum + content.size(), '\0');
    std::memcpy(s.data(), &checksum, sizeof checksum);
    std::memcpy(s.data() + sizeof checksum, content.data(), content.size());
    return s;
}

std::optional<std::string_view> stripChecksum(std::string_view s) {
    uint64_t checksum = 0;
    if (s.size() < sizeof checksum) return {};
    std::memcpy(&checksum, s.data(), sizeof checksum);
    s.remove_prefix(sizeof checksum);
    if (XXH3_64bits(s.data(), s.size()) != checksum) return {};
    return s;
}

constexpr size_t kValueHeaderBytes = sizeof(int64_t) + sizeof(uint64_t);

constexpr uint32_t kStateFields = 21;
constexpr uint32_t kStateFieldsBeforeBallots = 17;  // on disks written before ballots decided versions

}  // namespace

std::string packValueRecord(const Value& value) {
    std::string content(kValueHeaderBytes, '\0');
    std::memcpy(content.data(), &value.version, sizeof value.version);
    std::memcpy(content.data() + sizeof value.version, &value.digest, sizeof value.digest);
    content += value.body;
    return addChecksum(content);
}

std::optional<Value> unpackValueRecord(std::string_view record) {
    const auto content = stripChecksum(record);
    if (!content || content->size() < kValueHeaderBytes) return {};
    Value value;
    std::memcpy(&value.version, content->data(), sizeof value.version);
    std::memcpy(&value.digest, content->data() + sizeof value.version, sizeof value.digest);
    value.body = content->substr(kValueHeaderBytes);
    return value;
}

std::string packStateRecord(const DurableState& d) {
    msgpack::sbuffer buffer(512);
    msgpack::packer<msgpack::sbuffer> p(buffer);
    p.pack_array(kStateFields);
    p.pack(d.value.version);
    p.pack(d.value.digest);
    p.pack(d.voters);
    p.pack(d.electors);
    p.pack(d.votersBallot);
    p.pack(d.votersAcceptedBallot);
    p.pack(d.votersAcceptedOffer);
    p.pack(d.term);
    p.pack(d.votedFor);
    p.pack(d.recovering);
    p.pack(d.mayElect);
    p.pack(d.epoch);
    p.pack(d.formerVoters);
    p.pack(d.takeoverState);
    p.pack(d.joinedDisks);
    p.pack(d.diskId);
    p.pack(d.leasePromisedTo);
    p.pack(d.value.ballot);
    p.pack(d.claims.listed());
    p.pack(d.saveCount);
    p.pack_map(static_cast<uint32_t>(d.knownDisks.size()));
    for (const auto& [node, age] : d.knownDisks) {
        p.pack(node);
        p.pack(std::pair(age.diskId, age.saveCount));
    }
    return addChecksum({buffer.data(), buffer.size()});
}

std::optional<DurableState> unpackStateRecord(std::string_view record) {
    const auto content = stripChecksum(record);
    if (!content) return {};
    try {
        const msgpack::object_handle handle = msgpack::unpack(content->data(), content->size());
        const msgpack::object& o = handle.get();
        if (o.type != msgpack::type::ARRAY) return {};
        const uint32_t size = o.via.array.size;
        if (size != kStateFields && size != kStateFieldsBeforeBallots) return {};
        const msgpack::object* f = o.via.array.ptr;
        DurableState d;
        d.value.version = f[0].as<int64_t>();
        d.value.digest = f[1].as<uint64_t>();
        d.voters = f[2].as<std::vector<NodeId>>();
        d.electors = f[3].as<std::vector<NodeId>>();
        d.votersBallot = f[4].as<uint64_t>();
        d.votersAcceptedBallot = f[5].as<uint64_t>();
        d.votersAcceptedOffer = f[6].as<std::vector<NodeId>>();
        d.term = f[7].as<uint64_t>();
        d.votedFor = f[8].as<NodeId>();
        d.recovering = f[9].as<bool>();
        d.mayElect = f[10].as<bool>();
        d.epoch = f[11].as<uint64_t>();
        d.formerVoters = f[12].as<std::vector<NodeId>>();
        d.takeoverState = f[13].as<uint8_t>();
        d.joinedDisks = f[14].as<std::vector<std::string>>();
        d.diskId = f[15].as<uint64_t>();
        d.leasePromisedTo = f[16].as<NodeId>();
        if (size == kStateFieldsBeforeBallots) return d;
        d.value.ballot = f[17].as<uint64_t>();
        d.claims = PromisedBallots(f[18].as<PromisedBallots::BallotsByVersion>());
        d.saveCount = f[19].as<uint64_t>();
        for (const auto& [node, age] : f[20].as<std::map<NodeId, std::pair<uint64_t, uint64_t>>>())
            d.knownDisks[node] = {age.first, age.second};
        return d;
    } catch (const std::exception&) {
        return {};
    }
}

}  // namespace petrelpond::consensus
