// How the agents beside the proxies know each other and how news goes round. No I/O, no threads, no clocks.
//
// Three ways work together: a small view of neighbours shuffled with them (who talks with whom), a table of
// all names whose beats ride along in each shuffle (who lives), and digests of the newest configuration and
// duty holder in each message (what is newest; gaps that lost rumours left are mended by these). Cost: about
// two exchanges begun and two answered per agent and `every` (one in fleets no larger than the view), each
// datagram at most kMaxBytes, whatever the number of agents.
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

inline constexpr size_t kMaxMessageBytes =
    1200;  // of an encoded message; one datagram that no usual path cuts in two
inline constexpr uint32_t kLeaveHeartbeat = 0xffffffff;  // as a beat: this life ended by its own word

struct Peer {
    std::string name, ip, zone;  // at most 64, 45 and 32 bytes; name and ip not empty
    uint64_t incarnation = 0;    // higher: started later; given by the host
    uint32_t heartbeat = 0;      // rises each second while it lives, set by itself only
    bool ready = false;
    MSGPACK_DEFINE(name, ip, zone, incarnation, heartbeat, ready)
};

// Newest configuration and duty holder known. Of two configurations the higher (version, digest) is newer.
struct Digest {
    int64_t version = 0;
    uint64_t digest = 0;
    uint64_t term = 0;
    std::string holder;  // at most 64 bytes
    MSGPACK_DEFINE(version, digest, term, holder)
};

enum class Kind : uint8_t {
    shuffle,  // begins an exchange; answered by answer
    reply,    // answered by mend only if something is wanted by either
    repair,   // entries that were wanted; answered by mend only if it wants something itself
    rumour,   // a digest alone; answered by rumour only if the digest is older than one's own
    leave,    // the sender ends
};

struct Message {
    uint8_t kind = 0;  // a Kind
    Peer from;
    Digest digest;
    std::vector<Peer> peers;
    std::string heartbeats;  // 9 bytes each, low byte first: 39 bits of id and a bit for ready, then the beat
    std::string wantedIds;   // 5 bytes each: ids of which the sender knows no name
    MSGPACK_DEFINE(kind, from, digest, peers, heartbeats, wantedIds)
};

std::string encode(const Message&);
std::optional<Message> decode(std::string_view);  // anything but a whole, bounded message: nullopt

struct Send {
    std::string ip;
    Message message;
};
// Ask that agent (by stream; the host does it) for its configuration, then call know() or fetchFailed().
struct Fetch {
    std::string ip;
    int64_t version = 0;
};
struct HolderChange {
    uint64_t term = 0;
    std::string holder;
};
using Output = std::variant<Send, Fetch, HolderChange>;

struct Options {
    Peer self;
    uint32_t randomSeed = 1;  // seed
    size_t viewSize = 12;
    size_t shuffleSize = 4;
    size_t fanout = 3;
    Span shuffleInterval = Span::seconds(1);
    Span baseFailureTimeout = Span::seconds(6);  // for up to 64 agents; see Views::window
    Span fetchTimeout = Span::seconds(1);        // then another teller is asked
    Span deadRetention =
        Span::seconds(600);  // how long the dead are kept as dead, so that old words stay old
    // Each of the next is on but in tests that show what it defends against.
    bool rumoursEnabled = true;
    bool digestsEnabled = true;  // in shuffles and answers
    bool probesEnabled = true;
};

class GossipNode {
  public:
    GossipNode(Instant now, Options);

    void addPeers(Instant now, const std::vector<Peer>&);  // the core named others
    void receive(Instant now, const std::string& fromIp, const Message&);
    void updateDigest(Instant now,
                      const Digest&);  // own newest: from the core, or fetched. Older words change nothing.
    void fetchFailed(Instant now, const std::string& ip);
    void setReady(Instant now, bool);
    void leave(
        Instant now);  // neighbours forget at once, others as the word goes round; nothing is sent later
    void tick(Instant now);
    Instant wakeAt() const;
    std::optional<Output> next();

    // All heard of within window(), self included and first.
    std::vector<Peer> livePeers(Instant now) const;
    // Estimate of the number of living agents, self included. Up to 128 it is the size of living(). Beyond,
    // beats come too seldom for each to rise within the window; were gaps between rises of one entry
    // exponential, with `a` entries risen within half of the window and `b` within all of it, there would be
    // a*a / (2a - b). At most 2b is said. It errs upwards for one window after many died at once.
    double estimateAlive(Instant now) const;
    // Silence after which an agent is held dead: `forget`, times 1 + log2(n / 64) beyond 64 agents, because a
    // datagram has room for the beats of about 80.
    Span failureTimeout() const { return failureTimeout_; }
    const Digest& digest() const { return ownDigest_; }
    std::vector<std::string> neighbours() const;  // names

  private:
    struct Entry {
        Peer peer;
        uint64_t id = 0;
        Instant lastHeard;       // when its (life, beat) last rose here
        Instant estimatedStart;  // least (time of hearing - beat) seen: tells how old a beat was when it came
        uint32_t heartbeatWhenDropped =
            0;  // its beat when it was dropped from the view for silence; 0: it was not
    };
    struct Neighbour {
        uint32_t entry = 0;
        uint32_t age = 0;            // shuffles since it was last contacted or came in
        uint32_t missedReplies = 0;  // contacts in a row without an answer
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
    Instant heartbeatTime(const Entry&) const;  // when its beat was, as far as known
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
    size_t aliveInOwnZone_ = 1;   // living agents of our zone, self included
    uint32_t heartbeatBase_ = 0;  // beat at started_
    bool hasLeft_ = false;
    uint64_t round_ = 0;

    std::vector<Entry> entries_;  // an empty name: free
    std::vector<uint32_t> freeEntries_;
    std::unordered_map<std::string, uint32_t> byName_;
    std::unordered_map<uint64_t, uint32_t> byId_;
    std::vector<Neighbour> view_;
    std::deque<uint32_t> probeQueue_;                           // named by the core though held dead here
    uint32_t heartbeatCursor_ = 0;                              // of the rotation of riders
    std::vector<std::pair<int64_t, uint32_t>> byHeartbeatAge_;  // scratch

    uint32_t partner_ = kNoEntry;        // of the exchange begun last
    std::vector<uint32_t> partnerSent_;  // entries of the view that were sent to it
    bool partnerReplied_ = true;

    Digest ownDigest_;
    std::vector<ConfigSource> configSources_;
    std::optional<ConfigSource> fetching_;
    Instant fetchDeadline_;

    std::deque<Output> outputs_;
};

}  // namespace petrelpond::gossip
