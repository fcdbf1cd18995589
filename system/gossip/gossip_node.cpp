#include "system/gossip/gossip_node.hpp"

#include <algorithm>
#include <cmath>

namespace petrelpond::gossip {

namespace {

constexpr size_t kMaxEntries = 2048;     // entries kept, dead agents included
constexpr size_t kMaxWantedIds = 20;     // in one message; that many entries always fit into the answer
constexpr size_t kMaxConfigSources = 4;  // kept in case the current fetch fails
constexpr size_t kMaxOutputs = 4096;     // for a host that does not pull; the oldest are dropped, as if lost
constexpr size_t kMaxEntriesScanned = 512;  // of the table, to choose the heartbeats of one message
constexpr size_t kCrossZoneExchanges = 6;   // to other zones per round, by all agents of a zone together
constexpr size_t kCrossZoneRounds = 3;  // in small zones, each agent goes across zones once in so many rounds
constexpr int kMaxDraws = 16;           // random draws for an agent of the own zone
constexpr size_t kHeartbeatBytes = 9, kIdBytes = 5;
constexpr uint64_t kIdMask = (uint64_t{1} << 39) - 1;
constexpr Span kHeartbeatInterval = Span::seconds(1);

// FNV-1a, folded to 39 bits. Two of 1,000 agents share an id in about one fleet of a million; the heartbeats
// of one are then taken for those of the other until it restarts.
uint64_t idOfPeer(const Peer& p) {
    uint64_t h = 14695981039346656037ull;
    const auto mix = [&h](uint8_t byte) { h = (h ^ byte) * 1099511628211ull; };
    for (const char c : p.name) mix(static_cast<uint8_t>(c));
    for (int i = 0; i < 8; ++i) mix(static_cast<uint8_t>(p.incarnation >> (8 * i)));
    h ^= h >> 32;
    h *= 0x9e3779b97f4a7c15ull;
    return (h >> 20) & kIdMask;
}

void appendLittleEndian(std::string& to, uint64_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) to.push_back(static_cast<char>(value >> (8 * i)));
}

uint64_t readLittleEndian(const std::string& from, size_t at, int bytes) {
    uint64_t value = 0;
    for (int i = 0; i < bytes; ++i)
        value |= static_cast<uint64_t>(static_cast<uint8_t>(from[at + i])) << (8 * i);
    return value;
}

// Upper bounds of the MessagePack encoding, in bytes.
size_t maxEncodedSize(const Peer& p) { return 22 + p.name.size() + p.ip.size() + p.zone.size(); }
size_t maxEncodedSizeWithoutLists(const Message& m) {
    return 45 + maxEncodedSize(m.from) + m.digest.holder.size();
}

Span heartbeatDuration(uint32_t n) {
    return Span::micros(kHeartbeatInterval.inMicros() * static_cast<int64_t>(n));
}

}  // namespace

GossipNode::GossipNode(Instant now, Options options)
    : options_(std::move(options)), self_(options_.self), rng_(options_.randomSeed), startedAt_(now),
      lastInputAt_(now),
      nextShuffleAt_(now +
                     options_.shuffleInterval * (0.1 + 0.9 * static_cast<double>(randomBelow(1000)) / 1000)),
      nextExpiryAt_(now), failureTimeout_(options_.baseFailureTimeout), heartbeatBase_(self_.heartbeat + 1),
      fetchDeadline_(Instant::never()) {
    updateOwnHeartbeat(now);
}

// Shifts all receive times by a gap in our own execution. A process that was suspended, or whose host
// stalled, must not take that gap for silence of all others: it would remove everyone, report to its host
// that it is alone and shuffle with nobody. Drawback: agents that died meanwhile count as alive here for one
// timeout more; other agents are not affected, since those heartbeats do not rise.
void GossipNode::compensateForPause(Instant now) {
    if (now <= lastInputAt_) return;
    const Span gap = now - lastInputAt_;
    if (gap > options_.shuffleInterval * 2)
        for (Entry& e : entries_) e.lastHeard = std::min(now, e.lastHeard + gap);
    lastInputAt_ = now;
}

void GossipNode::updateOwnHeartbeat(Instant now) {
    if (hasLeft_) return;
    const int64_t lived = std::max<int64_t>(0, (now - startedAt_).inMicros() / kHeartbeatInterval.inMicros());
    self_.heartbeat = heartbeatBase_ + static_cast<uint32_t>(lived);
}

bool GossipNode::isAlive(const Entry& e, Instant now) const {
    return !e.peer.name.empty() && e.peer.heartbeat != kLeaveHeartbeat &&
           now - e.lastHeard <= failureTimeout_;
}

Instant GossipNode::heartbeatTime(const Entry& e) const {
    return e.peer.heartbeat == kLeaveHeartbeat
               ? e.lastHeard
               : std::min(e.lastHeard, e.estimatedStart + heartbeatDuration(e.peer.heartbeat));
}

// Only heartbeats made within the last three quarters of the timeout are forwarded. Otherwise the last
// heartbeat of a dead agent would keep circulating, and each receiver would count it as alive for another
// timeout.
bool GossipNode::isFresh(const Entry& e, Instant now) const {
    return !e.peer.name.empty() && now - heartbeatTime(e) <= failureTimeout_ * 0.75;
}

void GossipNode::raiseHeartbeat(Instant now, Entry& e, uint32_t heartbeat) {
    if (heartbeat != kLeaveHeartbeat) {
        // Moves forward slowly, for clocks that run slow. A heartbeat older than anyone forwards comes from a
        // clock that stood still, as on a suspended machine: the estimate starts anew, otherwise nobody would
        // forward its heartbeats again.
        const Instant estimatedStart = now - heartbeatDuration(heartbeat);
        e.estimatedStart =
            estimatedStart - e.estimatedStart > failureTimeout_
                ? estimatedStart
                : std::min(e.estimatedStart + (now - e.lastHeard) * (1.0 / 32), estimatedStart);
    }
    e.peer.heartbeat = heartbeat;
    e.lastHeard = now;
}

uint32_t GossipNode::mergePeer(Instant now, const Peer& p, bool& isNewer) {
    isNewer = false;
    if (p.name == self_.name) {
        // Somebody knows a newer incarnation of our name: the clock of this host was set back before we
        // started, or that incarnation left. All would ignore us for good, so we go above it. Drawback: two
        // machines with the same name outbid each other by one step per message.
        if (p.incarnation > self_.incarnation ||
            (p.incarnation == self_.incarnation && p.heartbeat > self_.heartbeat))
            self_.incarnation = p.incarnation + 1;
        return kNoEntry;
    }
    if (p.name.empty() || p.ip.empty() || p.name.size() > 64 || p.ip.size() > 45 || p.zone.size() > 32)
        return kNoEntry;
    const auto found = byName_.find(p.name);
    if (found != byName_.end()) {
        Entry& e = entries_[found->second];
        // Stale information changes nothing. The last (incarnation, heartbeat) of a dead agent is kept so
        // that a resumed agent or a late datagram does not revive it.
        if (p.incarnation < e.peer.incarnation ||
            (p.incarnation == e.peer.incarnation && p.heartbeat <= e.peer.heartbeat))
            return found->second;
        isNewer = true;
        if (p.incarnation > e.peer.incarnation) {
            byId_.erase(e.id);
            e.peer = p;
            e.id = idOfPeer(p);
            byId_[e.id] = found->second;
            e.lastHeard = now;
            e.estimatedStart = now - heartbeatDuration(p.heartbeat == kLeaveHeartbeat ? 0 : p.heartbeat);
            e.heartbeatWhenDropped = 0;
        } else {
            raiseHeartbeat(now, e, p.heartbeat);
            e.peer.ready = p.ready;
            if (e.peer.ip != p.ip) e.peer.ip = p.ip;
            if (e.peer.zone != p.zone) e.peer.zone = p.zone;
        }
        return found->second;
    }
    if (byName_.size() >= kMaxEntries) {  // evict the entry that was silent longest
        uint32_t oldest = kNoEntry;
        for (uint32_t i = 0; i < entries_.size(); ++i)
            if (!entries_[i].peer.name.empty() &&
                (oldest == kNoEntry || entries_[i].lastHeard < entries_[oldest].lastHeard))
                oldest = i;
        removeEntry(oldest);
    }
    uint32_t at;
    if (freeEntries_.empty()) {
        at = static_cast<uint32_t>(entries_.size());
        entries_.emplace_back();
    } else {
        at = freeEntries_.back();
        freeEntries_.pop_back();
    }
    entries_[at] = Entry{p, idOfPeer(p), now,
                         now - heartbeatDuration(p.heartbeat == kLeaveHeartbeat ? 0 : p.heartbeat), 0};
    byName_[p.name] = at;
    byId_[entries_[at].id] = at;
    isNewer = true;
    return at;
}

void GossipNode::removeEntry(uint32_t at) {
    Entry& e = entries_[at];
    byName_.erase(e.peer.name);
    const auto id = byId_.find(e.id);
    if (id != byId_.end() && id->second == at) byId_.erase(id);
    std::erase_if(view_, [at](const Neighbour& s) { return s.entry == at; });
    std::erase(probeQueue_, at);
    std::erase(partnerSent_, at);
    if (partner_ == at) partner_ = kNoEntry;
    e = Entry{};
    freeEntries_.push_back(at);
}

void GossipNode::removeExpired(Instant now) {
    for (uint32_t i = 0; i < entries_.size(); ++i)
        if (!entries_[i].peer.name.empty() && now - entries_[i].lastHeard > options_.deadRetention)
            removeEntry(i);
}

void GossipNode::updateFailureTimeout(Instant now) {
    size_t n = 1;
    aliveInOwnZone_ = 1;
    for (const Entry& e : entries_) {
        if (!isAlive(e, now)) continue;
        ++n;
        aliveInOwnZone_ += e.peer.zone == self_.zone;
    }
    failureTimeout_ =
        options_.baseFailureTimeout * (n > 64 ? 1 + std::log2(static_cast<double>(n) / 64) : 1.0);
}

bool GossipNode::isNeighbour(uint32_t entry) const {
    return std::any_of(view_.begin(), view_.end(), [entry](const Neighbour& s) { return s.entry == entry; });
}

// Adds an entry to the view if there is room, otherwise in place of one that was just sent to the partner
// (the swap of Cyclon, which moves links without losing them). A third of the view is kept for other zones,
// so that the preference for cheap traffic within the zone does not partition the zones.
void GossipNode::offerNeighbour(Instant now, uint32_t entry, std::vector<uint32_t>& replaceable) {
    if (entry == kNoEntry || isNeighbour(entry)) return;
    const Entry& e = entries_[entry];
    if (!isAlive(e, now) || (e.heartbeatWhenDropped != 0 && e.peer.heartbeat <= e.heartbeatWhenDropped))
        return;
    if (view_.size() < options_.viewSize) {
        view_.push_back({entry, 0, 0});
        return;
    }
    size_t otherZone = 0;
    for (const Neighbour& s : view_) otherZone += entries_[s.entry].peer.zone != self_.zone;
    for (size_t i = replaceable.size(); i-- > 0;) {
        const auto slot = std::find_if(view_.begin(), view_.end(),
                                       [&](const Neighbour& s) { return s.entry == replaceable[i]; });
        if (slot == view_.end()) continue;
        const bool loses = entries_[slot->entry].peer.zone != self_.zone && e.peer.zone == self_.zone;
        if (loses && otherZone <= options_.viewSize / 3) continue;
        *slot = {entry, 0, 0};
        replaceable.erase(replaceable.begin() + static_cast<std::ptrdiff_t>(i));
        return;
    }
}

void GossipNode::addPeers(Instant now, const std::vector<Peer>& peers) {
    if (hasLeft_) return;
    compensateForPause(now);
    updateOwnHeartbeat(now);
    std::vector<uint32_t> none;
    for (const Peer& p : peers) {
        bool isNewer = false;
        const uint32_t at = mergePeer(now, p, isNewer);
        if (at == kNoEntry) continue;
        offerNeighbour(now, at, none);
        // The core knows more than this agent, but names peers without a heartbeat, so peers that are dead
        // here are probed.
        if (!isAlive(entries_[at], now) && probeQueue_.size() < 16 &&
            std::find(probeQueue_.begin(), probeQueue_.end(), at) == probeQueue_.end())
            probeQueue_.push_back(at);
    }
}

Message GossipNode::makeMessage(Kind kind) const {
    Message m;
    m.kind = static_cast<uint8_t>(kind);
    m.from = self_;
    if (options_.digestsEnabled || kind == Kind::rumour) m.digest = ownDigest_;
    return m;
}

void GossipNode::send(const std::string& ip, Message&& m) {
    if (outputs_.size() >= kMaxOutputs) outputs_.pop_front();
    outputs_.push_back(Send{ip, std::move(m)});
}

std::optional<Output> GossipNode::next() {
    if (outputs_.empty()) return std::nullopt;
    Output o = std::move(outputs_.front());
    outputs_.pop_front();
    return o;
}

void GossipNode::addNeighbours(Message& m, uint32_t excluded, size_t& room, std::vector<uint32_t>& sent,
                               Instant now) {
    sent.clear();
    for (const Neighbour& s : view_)
        if (s.entry != excluded && isFresh(entries_[s.entry], now)) sent.push_back(s.entry);
    const size_t want = std::min(options_.shuffleSize, sent.size());
    size_t taken = 0;
    for (; taken < want; ++taken) {
        std::swap(sent[taken], sent[taken + randomBelow(sent.size() - taken)]);
        const Peer& p = entries_[sent[taken]].peer;
        if (maxEncodedSize(p) > room) break;
        room -= maxEncodedSize(p);
        m.peers.push_back(p);
    }
    sent.resize(taken);
}

// Adds all fresh heartbeats if they fit. Otherwise three quarters of the room go to the youngest, by when the
// heartbeat was made and not by when it arrived: these have the longest way to go, so that every agent gets
// recent heartbeats of every other. The rest is drawn at random, so that agents that lack an id see it in
// time. Of large tables only kMaxEntriesScanned entries are scanned per message, so that the cost does not
// grow with the table.
void GossipNode::addHeartbeats(Message& m, size_t room, Instant now) {
    const size_t most = room / kHeartbeatBytes;
    if (most == 0 || entries_.empty()) return;
    byHeartbeatAge_.clear();
    const size_t size = entries_.size();
    for (size_t n = std::min(size, kMaxEntriesScanned); n > 0; --n) {
        if (++heartbeatCursor_ >= size) heartbeatCursor_ = 0;
        const Entry& e = entries_[heartbeatCursor_];
        if (isFresh(e, now))
            byHeartbeatAge_.emplace_back((now - heartbeatTime(e)).inMicros(), heartbeatCursor_);
    }
    if (byHeartbeatAge_.size() > most) {
        const size_t young = most - most / 4;
        std::nth_element(byHeartbeatAge_.begin(),
                         byHeartbeatAge_.begin() + static_cast<std::ptrdiff_t>(young), byHeartbeatAge_.end());
        for (size_t i = young; i < most; ++i)
            std::swap(byHeartbeatAge_[i], byHeartbeatAge_[i + randomBelow(byHeartbeatAge_.size() - i)]);
        byHeartbeatAge_.resize(most);
    }
    m.heartbeats.reserve(byHeartbeatAge_.size() * kHeartbeatBytes);
    for (const auto& [age, i] : byHeartbeatAge_) {
        const Entry& e = entries_[i];
        appendLittleEndian(m.heartbeats, e.id | (e.peer.ready ? kIdMask + 1 : 0), 5);
        appendLittleEndian(m.heartbeats, e.peer.heartbeat, 4);
    }
}

void GossipNode::applyHeartbeats(Instant now, const Message& m, std::string& unknownIds) {
    const uint64_t selfId = idOfPeer(self_);
    for (size_t at = 0; at + kHeartbeatBytes <= m.heartbeats.size(); at += kHeartbeatBytes) {
        const uint64_t head = readLittleEndian(m.heartbeats, at, 5);
        const uint32_t heartbeat = static_cast<uint32_t>(readLittleEndian(m.heartbeats, at + 5, 4));
        const uint64_t id = head & kIdMask;
        const auto found = byId_.find(id);
        if (found != byId_.end()) {
            Entry& e = entries_[found->second];
            if (heartbeat <= e.peer.heartbeat) continue;
            raiseHeartbeat(now, e, heartbeat);
            e.peer.ready = (head & (kIdMask + 1)) != 0;
        } else if (id == selfId) {
            if (heartbeat > self_.heartbeat) ++self_.incarnation;  // as in mergePeer()
        } else if (unknownIds.size() < kMaxWantedIds * kIdBytes) {
            appendLittleEndian(unknownIds, id, 5);
        }
    }
}

void GossipNode::addRequestedPeers(Message& m, const std::string& wantedIds, size_t& room, Instant now) {
    for (size_t at = 0; at + kIdBytes <= wantedIds.size(); at += kIdBytes) {
        const auto found = byId_.find(readLittleEndian(wantedIds, at, 5) & kIdMask);
        if (found == byId_.end()) continue;
        const Entry& e = entries_[found->second];
        if (!isFresh(e, now) || maxEncodedSize(e.peer) > room || m.peers.size() >= 60) continue;
        room -= maxEncodedSize(e.peer);
        m.peers.push_back(e.peer);
    }
}

void GossipNode::receive(Instant now, const std::string& fromIp, const Message& m) {
    if (hasLeft_) return;
    compensateForPause(now);
    updateOwnHeartbeat(now);
    bool isNewer = false;
    const uint32_t from = mergePeer(now, m.from, isNewer);
    if (from == kNoEntry) return;
    const Kind kind = static_cast<Kind>(m.kind);
    if (kind == Kind::leave) {
        std::erase_if(view_, [from, this](const Neighbour& s) {
            return s.entry == from && entries_[from].peer.heartbeat == kLeaveHeartbeat;
        });
        return;
    }
    applyDigest(now, fromIp, m);
    if (kind == Kind::rumour) return;

    std::vector<uint32_t> receivedEntries;
    for (const Peer& p : m.peers) {
        const uint32_t at = mergePeer(now, p, isNewer);
        if (at != kNoEntry) receivedEntries.push_back(at);
    }
    std::string unknownIds;
    applyHeartbeats(now, m, unknownIds);

    if (kind == Kind::shuffle) {
        Message reply = makeMessage(Kind::reply);
        reply.wantedIds = std::move(unknownIds);
        size_t room = kMaxMessageBytes -
                      std::min(kMaxMessageBytes, maxEncodedSizeWithoutLists(reply) + reply.wantedIds.size());
        std::vector<uint32_t> sent;
        // The sender is behind what is known of its name: it must learn this to go above it, see mergePeer().
        const Peer& known = entries_[from].peer;
        if (known.incarnation > m.from.incarnation ||
            (known.incarnation == m.from.incarnation && known.heartbeat == kLeaveHeartbeat)) {
            reply.peers.push_back(known);
            room -= std::min(room, maxEncodedSize(known));
        }
        addNeighbours(reply, from, room, sent, now);
        addHeartbeats(reply, room, now);
        send(fromIp, std::move(reply));
        receivedEntries.push_back(from);
        for (const uint32_t at : receivedEntries) offerNeighbour(now, at, sent);
        return;
    }
    if (kind == Kind::reply && from == partner_) {
        partnerReplied_ = true;
        for (Neighbour& s : view_)
            if (s.entry == from) s.age = s.missedReplies = 0;
        for (const uint32_t at : receivedEntries) offerNeighbour(now, at, partnerSent_);
        partnerSent_.clear();
    }
    std::vector<uint32_t> none;
    offerNeighbour(now, from, none);  // a probed agent that turned out to be alive
    if (m.wantedIds.empty() && unknownIds.empty()) return;
    // The exchange of repairs ends: requested entries come without heartbeats, so they lead to no new
    // requests.
    Message repair = makeMessage(Kind::repair);
    repair.wantedIds = std::move(unknownIds);
    size_t room = kMaxMessageBytes -
                  std::min(kMaxMessageBytes, maxEncodedSizeWithoutLists(repair) + repair.wantedIds.size());
    addRequestedPeers(repair, m.wantedIds, room, now);
    if (!repair.peers.empty() || !repair.wantedIds.empty()) send(fromIp, std::move(repair));
}

bool GossipNode::isNewerThanOwn(int64_t version, uint64_t digest) const {
    return version != ownDigest_.version ? version > ownDigest_.version : digest > ownDigest_.digest;
}

void GossipNode::applyDigest(Instant now, const std::string& fromIp, const Message& m) {
    const bool rumour = static_cast<Kind>(m.kind) == Kind::rumour;
    if (!options_.digestsEnabled && !rumour) return;
    const Digest& d = m.digest;
    if (d.term > ownDigest_.term) {
        ownDigest_.term = d.term;
        ownDigest_.holder = d.holder;
        outputs_.push_back(HolderChange{d.term, d.holder});
        sendRumours(fromIp);
    }
    if (isNewerThanOwn(d.version, d.digest)) {
        if (fetching_ && fetching_->ip == fromIp && fetching_->version == d.version &&
            fetching_->digest == d.digest)
            return;
        std::erase_if(configSources_, [&fromIp](const ConfigSource& t) { return t.ip == fromIp; });
        if (configSources_.size() >= kMaxConfigSources) configSources_.erase(configSources_.begin());
        configSources_.push_back({fromIp, d.version, d.digest});
        if (!fetching_) fetchNext(now);
    } else if (rumour && options_.digestsEnabled &&
               (d.version != ownDigest_.version || d.digest != ownDigest_.digest ||
                d.term < ownDigest_.term)) {
        // The sender spreads stale information, as an agent that was suspended does, so it is corrected at
        // once. The sender of a shuffle learns it from the reply. This can't loop: only the side that knows
        // more answers.
        send(fromIp, makeMessage(Kind::rumour));
    }
}

void GossipNode::fetchNext(Instant now) {
    fetching_.reset();
    fetchDeadline_ = Instant::never();
    std::erase_if(configSources_,
                  [this](const ConfigSource& t) { return !isNewerThanOwn(t.version, t.digest); });
    if (configSources_.empty()) return;
    auto best = configSources_.begin();
    for (auto t = configSources_.begin(); t != configSources_.end(); ++t)
        if (std::pair(t->version, t->digest) >= std::pair(best->version, best->digest)) best = t;
    fetching_ = *best;
    configSources_.erase(best);
    fetchDeadline_ = now + options_.fetchTimeout;
    outputs_.push_back(Fetch{fetching_->ip, fetching_->version});
}

void GossipNode::fetchFailed(Instant now, const std::string& ip) {
    compensateForPause(now);
    if (!hasLeft_ && fetching_ && fetching_->ip == ip) fetchNext(now);
}

// Rumours are sent only once the configuration itself is here, so that a receiver can fetch it from the
// sender.
void GossipNode::updateDigest(Instant now, const Digest& d) {
    if (hasLeft_) return;
    compensateForPause(now);
    updateOwnHeartbeat(now);
    bool changed = false;
    if (d.term > ownDigest_.term) {
        ownDigest_.term = d.term;
        ownDigest_.holder = d.holder;
        outputs_.push_back(HolderChange{d.term, d.holder});
        changed = true;
    }
    if (isNewerThanOwn(d.version, d.digest)) {
        ownDigest_.version = d.version;
        ownDigest_.digest = d.digest;
        changed = true;
        if (!fetching_ || !isNewerThanOwn(fetching_->version, fetching_->digest)) fetchNext(now);
    }
    if (changed) sendRumours({});
}

void GossipNode::sendRumours(const std::string& excludedIp) {
    if (!options_.rumoursEnabled) return;
    std::vector<uint32_t> to;
    for (const Neighbour& s : view_)
        if (entries_[s.entry].peer.ip != excludedIp) to.push_back(s.entry);
    for (size_t i = 0; i < std::min(options_.fanout, to.size()); ++i) {
        std::swap(to[i], to[i + randomBelow(to.size() - i)]);
        send(entries_[to[i]].peer.ip, makeMessage(Kind::rumour));
    }
}

void GossipNode::setReady(Instant now, bool is) {
    if (hasLeft_ || self_.ready == is) return;
    compensateForPause(now);
    self_.ready = is;
    ++heartbeatBase_;  // else the change would count as stale until the next second
    updateOwnHeartbeat(now);
}

void GossipNode::leave(Instant now) {
    if (hasLeft_) return;
    compensateForPause(now);
    self_.heartbeat = kLeaveHeartbeat;
    hasLeft_ = true;
    for (const Neighbour& s : view_) send(entries_[s.entry].peer.ip, makeMessage(Kind::leave));
}

Instant GossipNode::wakeAt() const {
    return hasLeft_ ? Instant::never() : std::min(nextShuffleAt_, fetchDeadline_);
}

// Whether this round's exchange goes to another zone. Traffic between zones is expensive, so all agents of a
// zone together start kCrossZoneExchanges such exchanges per round, however many they are; in small zones
// each agent does so every kCrossZoneRounds rounds. With too few, heartbeats reach other zones late and live
// agents there count as dead.
bool GossipNode::isCrossZoneRound() {
    if (aliveInOwnZone_ <= kCrossZoneRounds * kCrossZoneExchanges) return round_ % kCrossZoneRounds == 0;
    return randomBelow(aliveInOwnZone_) < kCrossZoneExchanges;
}

uint32_t GossipNode::pickNeighbour() {
    const bool within = !isCrossZoneRound();
    uint32_t best = kNoEntry, bestAge = 0, any = kNoEntry, anyAge = 0;
    for (const Neighbour& s : view_) {
        if (any == kNoEntry || s.age > anyAge) any = s.entry, anyAge = s.age;
        if ((entries_[s.entry].peer.zone == self_.zone) != within) continue;
        if (best == kNoEntry || s.age > bestAge) best = s.entry, bestAge = s.age;
    }
    return best != kNoEntry ? best : any;
}

uint32_t GossipNode::pickDeadPeer(Instant now, bool includeAlive) {
    uint32_t picked = kNoEntry;
    size_t seen = 0;
    for (uint32_t i = 0; i < entries_.size(); ++i) {
        const Entry& e = entries_[i];
        if (e.peer.name.empty() || e.peer.heartbeat == kLeaveHeartbeat || (!includeAlive && isAlive(e, now)))
            continue;
        if (randomBelow(++seen) == 0) picked = i;
    }
    return picked;
}

void GossipNode::startShuffle(Instant now, uint32_t entry) {
    Message m = makeMessage(Kind::shuffle);
    size_t room = kMaxMessageBytes - std::min(kMaxMessageBytes, maxEncodedSizeWithoutLists(m));
    std::vector<uint32_t> sent;
    addNeighbours(m, entry, room, sent, now);
    addHeartbeats(m, room, now);
    if (entry == partner_) partnerSent_ = std::move(sent);
    send(entries_[entry].peer.ip, std::move(m));
}

void GossipNode::tick(Instant now) {
    if (hasLeft_) return;
    compensateForPause(now);
    updateOwnHeartbeat(now);
    if (fetching_ && now >= fetchDeadline_) fetchNext(now);
    if (now < nextShuffleAt_) return;
    // Jitter, so that agents started at the same time do not stay in step.
    nextShuffleAt_ =
        now + options_.shuffleInterval * (0.75 + 0.5 * static_cast<double>(randomBelow(1000)) / 1000);
    ++round_;
    updateFailureTimeout(now);
    if (now >= nextExpiryAt_) {
        removeExpired(now);
        nextExpiryAt_ = now + Span::seconds(10);
    }
    if (!partnerReplied_ && partner_ != kNoEntry) {
        const auto slot = std::find_if(view_.begin(), view_.end(),
                                       [this](const Neighbour& s) { return s.entry == partner_; });
        if (slot != view_.end() && ++slot->missedReplies >= 2) {
            entries_[partner_].heartbeatWhenDropped =
                std::max<uint32_t>(1, entries_[partner_].peer.heartbeat);
            view_.erase(slot);
        }
    }
    partner_ = kNoEntry;
    partnerReplied_ = true;
    std::erase_if(view_, [&](const Neighbour& s) { return !isAlive(entries_[s.entry], now); });

    // The table holds more agents than the view: use it to fill gaps that losses leave, and to restore
    // neighbours in other zones.
    std::vector<uint32_t> none;
    size_t otherZone = 0;
    for (Neighbour& s : view_) {
        ++s.age;
        otherZone += entries_[s.entry].peer.zone != self_.zone;
    }
    for (int tries = 0; tries < 8 && !entries_.empty(); ++tries) {
        const uint32_t at = static_cast<uint32_t>(randomBelow(entries_.size()));
        if (view_.size() < options_.viewSize) {
            offerNeighbour(now, at, none);
        } else if (otherZone <= options_.viewSize / 4 && entries_[at].peer.zone != self_.zone) {
            std::vector<uint32_t> one;
            for (const Neighbour& s : view_)
                if (entries_[s.entry].peer.zone == self_.zone) one.assign(1, s.entry);
            offerNeighbour(now, at, one);
            break;
        }
    }

    partner_ = pickNeighbour();
    if (partner_ != kNoEntry) {
        partnerReplied_ = false;
        startShuffle(now, partner_);
    }
    // A second exchange with any live agent of the zone: with one alone, heartbeats reach the last of 74
    // agents too late at 30% loss. Smaller fleets do not need it.
    if (failureTimeout_ > options_.baseFailureTimeout || view_.size() >= options_.viewSize) {
        for (int tries = 0; tries < kMaxDraws; ++tries) {
            const uint32_t any = static_cast<uint32_t>(randomBelow(entries_.size()));
            const Entry& entry = entries_[any];
            if (any == partner_ || !isAlive(entry, now) || entry.peer.zone != self_.zone) continue;
            startShuffle(now, any);
            break;
        }
    }
    // Probes a dead agent now and then, and in every round while there are no neighbours: both sides of a
    // partition count each other as dead, so nobody would otherwise send across it once it has healed.
    uint32_t probe = kNoEntry;
    if (!probeQueue_.empty()) {
        probe = probeQueue_.front();
        probeQueue_.pop_front();
    } else if (options_.probesEnabled && (round_ % 5 == 0 || partner_ == kNoEntry)) {
        probe = pickDeadPeer(now, partner_ == kNoEntry);
    }
    if (probe != kNoEntry && probe != partner_) startShuffle(now, probe);
}

std::vector<Peer> GossipNode::livePeers(Instant now) const {
    std::vector<Peer> all;
    all.reserve(byName_.size() + 1);
    if (!hasLeft_) all.push_back(self_);
    for (const Entry& e : entries_)
        if (isAlive(e, now)) all.push_back(e.peer);
    return all;
}

double GossipNode::estimateAlive(Instant now) const {
    double a = 1, b = 1;
    for (const Entry& e : entries_) {
        if (!isAlive(e, now)) continue;
        ++b;
        a += now - e.lastHeard <= failureTimeout_ * 0.5;
    }
    if (b <= 128) return b;
    return std::min(2 * b, 2 * a > b ? std::max(b, a * a / (2 * a - b)) : 2 * b);
}

std::vector<std::string> GossipNode::neighbours() const {
    std::vector<std::string> names;
    for (const Neighbour& s : view_) names.push_back(entries_[s.entry].peer.name);
    return names;
}

}  // namespace petrelpond::gossip
