// Gossip between agents: membership, failure detection and dissemination of the newest configuration and duty
// holder. No I/O, no threads, no clocks: the host passes in `now` and messages, and pulls outputs with
// next().
//
// Three mechanisms work together. A small partial view of neighbours, exchanged with them in shuffles
// (Cyclon), decides who talks to whom. A table of all known agents, whose heartbeats are piggybacked on each
// shuffle, tells who is alive. Each message carries a digest of the newest configuration and duty holder,
// which repairs the gaps that lost rumours leave. Cost per agent and shuffleInterval: about two exchanges
// started and two answered (one in fleets no larger than the view), each datagram at most kMaxMessageBytes,
// whatever the number of agents.
#pragma once

#include <cstdint>
#include <deque>
#include <msgpack.hpp>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "include/petrelpond/time.hpp"

namespace petrelpond::gossip {

// Of an encoded message: one datagram that is not fragmented on any usual path.
inline constexpr size_t kMaxMessageBytes = 1200;
inline constexpr uint32_t kLeaveHeartbeat = 0xffffffff;  // heartbeat value of an agent that left in order

// An agent as others know it. The pair (incarnation, heartbeat) orders what is known of one name.
struct Peer {
    std::string name, ip, zone;  // at most 64, 45 and 32 bytes; name and ip not empty
    uint64_t incarnation = 0;    // set by the host; higher for a later start
    uint32_t heartbeat = 0;      // raised each second by the agent itself alone
    bool ready = false;
    MSGPACK_DEFINE(name, ip, zone, incarnation, heartbeat, ready)
};

// The newest configuration and duty holder that an agent knows. Of two configurations, the one with the
// higher (version, digest) is newer.
struct Digest {
    int64_t version = 0;
    uint64_t digest = 0;
    uint64_t term = 0;
    std::string holder;  // at most 64 bytes
    MSGPACK_DEFINE(version, digest, term, holder)
};

enum class Kind : uint8_t {
    shuffle,  // starts an exchange; answered by reply
    reply,    // answered by repair only if either side wants entries
    repair,   // requested entries; answered by repair only if the receiver wants entries itself
    rumour,   // a digest alone; answered by rumour only if it is older than the receiver's
    leave,    // the sender is shutting down
};

struct Message {
    uint8_t kind = 0;  // a Kind
    Peer from;
    Digest digest;
    std::vector<Peer> peers;
    std::string heartbeats;  // 9 bytes each, little-endian: 39 bits of id, 1 bit ready, 32 bits of heartbeat
    std::string wantedIds;   // 5 bytes each: ids that the sender has no entry for
    MSGPACK_DEFINE(kind, from, digest, peers, heartbeats, wantedIds)
};

std::string encode(const Message&);
std::optional<Message> decode(std::string_view);  // nullopt for a malformed message or one over the limits

// A datagram to be sent to the agent at `ip`.
struct Send {
    std::string ip;
    Message message;
};
// Tells the host to fetch the configuration from that agent over a stream, and then to call updateDigest() or
// fetchFailed().
struct Fetch {
    std::string ip;
    int64_t version = 0;
};
// A higher term is known, and who holds the duty in it.
struct HolderChange {
    uint64_t term = 0;
    std::string holder;
};
using Output = std::variant<Send, Fetch, HolderChange>;

struct Options {
    Peer self;
    uint32_t randomSeed = 1;
    size_t viewSize = 12;    // neighbours
    size_t shuffleSize = 4;  // neighbours sent in one shuffle
    size_t fanout = 3;       // neighbours that a rumour is sent to
    Span shuffleInterval = Span::seconds(1);
    Span baseFailureTimeout = Span::seconds(6);  // for up to 64 agents; see failureTimeout()
    Span fetchTimeout = Span::seconds(1);        // then another source is tried
    // How long entries of dead agents are kept, so that stale messages do not revive them.
    Span deadRetention = Span::seconds(600);
    // Disabled only in tests, which show what each mechanism protects against.
    bool rumoursEnabled = true;
    bool digestsEnabled = true;  // in shuffles and replies
    bool probesEnabled = true;
};

// The gossip state machine of one agent. Inputs queue outputs, which the host pulls with next().
class GossipNode {
  public:
    GossipNode(Instant now, Options);

    void addPeers(Instant now, const std::vector<Peer>&);  // peers named by the core
    void receive(Instant now, const std::string& fromIp, const Message&);
    // Takes what this agent got from the core or fetched. Older values change nothing.
    void updateDigest(Instant now, const Digest&);
    void fetchFailed(Instant now, const std::string& ip);
    void setReady(Instant now, bool);
    // Neighbours remove this agent at once, others as the message spreads. Nothing is sent after that.
    void leave(Instant now);
    void tick(Instant now);
    Instant wakeAt() const;
    std::optional<Output> next();

    // All agents heard of within failureTimeout(); this agent is included and comes first.
    std::vector<Peer> livePeers(Instant now) const;
    // Estimated number of live agents, this one included. Up to 128 it is the size of livePeers(). Beyond
    // that, heartbeats arrive too seldom for each entry to rise within the timeout. If the gaps between rises
    // of one entry are exponential, with `a` entries raised within half of the timeout and `b` within all of
    // it, the estimate is a*a / (2a - b), capped at 2b. It is too high for one timeout after many agents died
    // at once.
    double estimateAlive(Instant now) const;
    // Silence after which an agent counts as dead: baseFailureTimeout, times 1 + log2(n / 64) beyond 64
    // agents, because a datagram has room for the heartbeats of about 80.
    Span failureTimeout() const { return failureTimeout_; }
    const Digest& digest() const { return ownDigest_; }
    std::vector<std::string> neighbours() const;  // names

  private:
    struct Entry {
        Peer peer;
        uint64_t id = 0;
        Instant lastHeard;       // when its (incarnation, heartbeat) last rose here
        Instant estimatedStart;  // least (receive time - heartbeat) seen; dates a received heartbeat
        // Its heartbeat when it was dropped from the view as unresponsive; 0: not dropped.
        uint32_t heartbeatWhenDropped = 0;
    };
    struct Neighbour {
        uint32_t entry = 0;
        uint32_t age = 0;            // shuffles since it was last contacted or added
        uint32_t missedReplies = 0;  // consecutive shuffles without a reply
    };
    struct ConfigSource {
        std::string ip;
        int64_t version = 0;
        uint64_t digest = 0;
    };
    static constexpr uint32_t kNoEntry = 0xffffffff;

    void compensateForPause(Instant now);
    void updateOwnHeartbeat(Instant now);
    bool isAlive(const Entry&, Instant now) const;
    Instant heartbeatTime(const Entry&) const;  // estimate of when its heartbeat was made
    bool isFresh(const Entry&, Instant now) const;
    uint32_t mergePeer(Instant now, const Peer&, bool& isNewer);
    void raiseHeartbeat(Instant now, Entry&, uint32_t heartbeat);
    void removeEntry(uint32_t at);
    void removeExpired(Instant now);
    void updateFailureTimeout(Instant now);
    void offerNeighbour(Instant now, uint32_t entry, std::vector<uint32_t>& replaceable);
    bool isNeighbour(uint32_t entry) const;
    bool isCrossZoneRound();
    uint32_t pickNeighbour();
    uint32_t pickDeadPeer(Instant now, bool includeAlive);
    void startShuffle(Instant now, uint32_t entry);
    Message makeMessage(Kind) const;
    void addNeighbours(Message&, uint32_t excluded, size_t& room, std::vector<uint32_t>& sent, Instant now);
    void addHeartbeats(Message&, size_t room, Instant now);
    void applyHeartbeats(Instant now, const Message&, std::string& unknownIds);
    void addRequestedPeers(Message&, const std::string& wantedIds, size_t& room, Instant now);
    void applyDigest(Instant now, const std::string& fromIp, const Message&);
    void sendRumours(const std::string& excludedIp);
    void fetchNext(Instant now);
    bool isNewerThanOwn(int64_t version, uint64_t digest) const;
    size_t randomBelow(size_t n) { return static_cast<size_t>((static_cast<uint64_t>(rng_()) * n) >> 32); }
    void send(const std::string& ip, Message&&);

    Options options_;
    Peer self_;
    std::mt19937 rng_;
    Instant startedAt_, lastInputAt_, nextShuffleAt_, nextExpiryAt_;
    Span failureTimeout_;
    size_t aliveInOwnZone_ = 1;   // live agents of this zone, self included
    uint32_t heartbeatBase_ = 0;  // heartbeat at startedAt_
    bool hasLeft_ = false;
    uint64_t round_ = 0;

    std::vector<Entry> entries_;  // an empty name marks a free entry
    std::vector<uint32_t> freeEntries_;
    std::unordered_map<std::string, uint32_t> byName_;
    std::unordered_map<uint64_t, uint32_t> byId_;
    std::vector<Neighbour> view_;
    std::deque<uint32_t> probeQueue_;                           // named by the core but dead here
    uint32_t heartbeatCursor_ = 0;                              // where the next scan for heartbeats goes on
    std::vector<std::pair<int64_t, uint32_t>> byHeartbeatAge_;  // scratch: (age in us, entry)

    uint32_t partner_ = kNoEntry;        // of the last exchange started
    std::vector<uint32_t> partnerSent_;  // entries of the view sent to the partner
    bool partnerReplied_ = true;

    Digest ownDigest_;
    std::vector<ConfigSource> configSources_;
    std::optional<ConfigSource> fetching_;
    Instant fetchDeadline_;

    std::deque<Output> outputs_;
};

}  // namespace petrelpond::gossip
