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

inline constexpr size_t kMaxBytes =
    1200;  // of an encoded message; one datagram that no usual path cuts in two
inline constexpr uint32_t kLeft = 0xffffffff;  // as a beat: this life ended by its own word

struct Peer {
    std::string name, ip, zone;  // at most 64, 45 and 32 bytes; name and ip not empty
    uint64_t life = 0;           // higher: started later; given by the host
    uint32_t beat = 0;           // rises each second while it lives, set by itself only
    bool ready = false;
    MSGPACK_DEFINE(name, ip, zone, life, beat, ready)
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
    answer,   // answered by mend only if something is wanted by either
    mend,     // entries that were wanted; answered by mend only if it wants something itself
    rumour,   // a digest alone; answered by rumour only if the digest is older than one's own
    leave,    // the sender ends
};

struct Message {
    uint8_t kind = 0;  // a Kind
    Peer from;
    Digest digest;
    std::vector<Peer> peers;
    std::string riders;  // 9 bytes each, low byte first: 39 bits of id and a bit for ready, then the beat
    std::string wants;   // 5 bytes each: ids of which the sender knows no name
    MSGPACK_DEFINE(kind, from, digest, peers, riders, wants)
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
struct HolderNews {
    uint64_t term = 0;
    std::string holder;
};
using Output = std::variant<Send, Fetch, HolderNews>;

struct Options {
    Peer self;
    uint32_t chance = 1;  // seed
    size_t view = 12;
    size_t shuffle = 4;
    size_t fanout = 3;
    Span every = Span::seconds(1);
    Span forget = Span::seconds(6);      // for up to 64 agents; see Views::window
    Span fetchWait = Span::seconds(1);   // then another teller is asked
    Span remember = Span::seconds(600);  // how long the dead are kept as dead, so that old words stay old
    // Each of the next is on but in tests that show what it defends against.
    bool rumours = true;
    bool digests = true;  // in shuffles and answers
    bool probes = true;
};

class Views {
  public:
    Views(Instant now, Options);

    void told(Instant now, const std::vector<Peer>&);  // the core named others
    void heard(Instant now, const std::string& fromIp, const Message&);
    void know(Instant now,
              const Digest&);  // own newest: from the core, or fetched. Older words change nothing.
    void fetchFailed(Instant now, const std::string& ip);
    void ready(Instant now, bool);
    void leave(
        Instant now);  // neighbours forget at once, others as the word goes round; nothing is sent later
    void tick(Instant now);
    Instant wakeAt() const;
    std::optional<Output> next();

    // All heard of within window(), self included and first.
    std::vector<Peer> living(Instant now) const;
    // Estimate of the number of living agents, self included. Up to 128 it is the size of living(). Beyond,
    // beats come too seldom for each to rise within the window; were gaps between rises of one entry
    // exponential, with `a` entries risen within half of the window and `b` within all of it, there would be
    // a*a / (2a - b). At most 2b is said. It errs upwards for one window after many died at once.
    double count(Instant now) const;
    // Silence after which an agent is held dead: `forget`, times 1 + log2(n / 64) beyond 64 agents, because a
    // datagram has room for the beats of about 80.
    Span window() const { return window_; }
    const Digest& digest() const { return own_; }
    std::vector<std::string> neighbours() const;  // names

  private:
    struct Entry {
        Peer peer;
        uint64_t id = 0;
        Instant heard;  // when its (life, beat) last rose here
        Instant born;   // least (time of hearing - beat) seen: tells how old a beat was when it came
        uint32_t unanswered = 0;  // its beat when it was dropped from the view for silence; 0: it was not
    };
    struct Slot {
        uint32_t entry = 0;
        uint32_t age = 0;     // shuffles since it was last contacted or came in
        uint32_t misses = 0;  // contacts in a row without an answer
    };
    struct Teller {
        std::string ip;
        int64_t version = 0;
        uint64_t digest = 0;
    };
    static constexpr uint32_t kNone = 0xffffffff;

    void passTime(Instant now);
    void beat(Instant now);
    bool lives(const Entry&, Instant now) const;
    Instant made(const Entry&) const;  // when its beat was, as far as known
    bool worthTelling(const Entry&, Instant now) const;
    uint32_t learn(Instant now, const Peer&, bool& risen);
    void rise(Instant now, Entry&, uint32_t beat);
    void forgetEntry(uint32_t at);
    void prune(Instant now);
    void measure(Instant now);
    void offer(Instant now, uint32_t entry, std::vector<uint32_t>& replaceable);
    bool inView(uint32_t entry) const;
    bool goesAcross();
    uint32_t pickNeighbour();
    uint32_t pickDead(Instant now, bool orAny);
    void startShuffle(Instant now, uint32_t entry);
    Message blank(Kind) const;
    void addView(Message&, uint32_t but, size_t& room, std::vector<uint32_t>& sent, Instant now);
    void addRiders(Message&, size_t room, Instant now);
    void takeRiders(Instant now, const Message&, std::string& unknown);
    void addWanted(Message&, const std::string& wants, size_t& room, Instant now);
    void takeDigest(Instant now, const std::string& fromIp, const Message&);
    void spread(const std::string& butIp);
    void fetchNext(Instant now);
    bool newer(int64_t version, uint64_t digest) const;
    size_t below(size_t n) { return static_cast<size_t>((static_cast<uint64_t>(rng_()) * n) >> 32); }
    void send(const std::string& ip, Message&&);

    Options options_;
    Peer self_;
    std::mt19937 rng_;
    Instant started_, lastSeen_, nextShuffle_, nextPrune_;
    Span window_;
    size_t ownZone_ = 1;  // living agents of our zone, self included
    uint32_t base_ = 0;   // beat at started_
    bool left_ = false;
    uint64_t round_ = 0;

    std::vector<Entry> entries_;  // an empty name: free
    std::vector<uint32_t> free_;
    std::unordered_map<std::string, uint32_t> byName_;
    std::unordered_map<uint64_t, uint32_t> byId_;
    std::vector<Slot> view_;
    std::deque<uint32_t> toProbe_;                     // named by the core though held dead here
    uint32_t cursor_ = 0;                              // of the rotation of riders
    std::vector<std::pair<int64_t, uint32_t>> order_;  // scratch

    uint32_t partner_ = kNone;           // of the exchange begun last
    std::vector<uint32_t> partnerSent_;  // entries of the view that were sent to it
    bool answered_ = true;

    Digest own_;
    std::vector<Teller> tellers_;
    std::optional<Teller> fetching_;
    Instant fetchUntil_;

    std::deque<Output> out_;
};

}  // namespace petrelpond::gossip
