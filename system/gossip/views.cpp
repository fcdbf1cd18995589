#include "system/gossip/views.hpp"

#include <algorithm>
#include <cmath>

namespace petrelpond::gossip {

namespace {

constexpr size_t kTable = 2048;     // entries kept, the dead included
constexpr size_t kWants = 20;       // of one message: as many entries as surely fit into its answer
constexpr size_t kTellers = 4;      // kept in case the one asked fails
constexpr size_t kOutputs = 4096;   // against a host that does not pull; then the oldest go, as if lost
constexpr size_t kLookedAt = 512;   // entries of the table, for the beats of one message
constexpr size_t kAcross = 6;       // exchanges a round that the agents of one zone begin across
constexpr size_t kAcrossEvery = 3;  // of few agents: every so many rounds one exchange across
constexpr int kTries = 16;          // draws for somebody of the own zone
constexpr size_t kRider = 9, kWant = 5;
constexpr uint64_t kIdMask = (uint64_t{1} << 39) - 1;
constexpr Span kBeat = Span::seconds(1);

// FNV-1a, folded. Two of 1,000 agents share an id once in a million fleets; one's beats would then be taken
// for the other's until it restarts.
uint64_t idOf(const Peer& p) {
    uint64_t h = 14695981039346656037ull;
    const auto mix = [&h](uint8_t byte) { h = (h ^ byte) * 1099511628211ull; };
    for (const char c : p.name) mix(static_cast<uint8_t>(c));
    for (int i = 0; i < 8; ++i) mix(static_cast<uint8_t>(p.life >> (8 * i)));
    h ^= h >> 32;
    h *= 0x9e3779b97f4a7c15ull;
    return (h >> 20) & kIdMask;
}

void putBytes(std::string& to, uint64_t value, int bytes) {
    for (int i = 0; i < bytes; ++i) to.push_back(static_cast<char>(value >> (8 * i)));
}

uint64_t getBytes(const std::string& from, size_t at, int bytes) {
    uint64_t value = 0;
    for (int i = 0; i < bytes; ++i)
        value |= static_cast<uint64_t>(static_cast<uint8_t>(from[at + i])) << (8 * i);
    return value;
}

// Upper bounds of what msgpack makes of them, in bytes.
size_t sizeOf(const Peer& p) { return 22 + p.name.size() + p.ip.size() + p.zone.size(); }
size_t sizeOfRest(const Message& m) { return 45 + sizeOf(m.from) + m.digest.holder.size(); }

Span beats(uint32_t n) { return Span::micros(kBeat.inMicros() * static_cast<int64_t>(n)); }

}  // namespace

Views::Views(Instant now, Options options)
    : options_(std::move(options)), self_(options_.self), rng_(options_.chance), started_(now),
      lastSeen_(now),
      nextShuffle_(now + options_.every * (0.1 + 0.9 * static_cast<double>(below(1000)) / 1000)),
      nextPrune_(now), window_(options_.forget), base_(self_.beat + 1), fetchUntil_(Instant::never()) {
    beat(now);
}

// A process that was frozen must not take the time it slept for the silence of all others: it would forget
// everyone, tell its host that it is alone and shuffle with none. Catches a stalled host too. Harm: agents
// that died meanwhile are believed for one window more, here only, since their beats do not rise for others.
void Views::passTime(Instant now) {
    if (now <= lastSeen_) return;
    const Span gap = now - lastSeen_;
    if (gap > options_.every * 2)
        for (Entry& e : entries_) e.heard = std::min(now, e.heard + gap);
    lastSeen_ = now;
}

void Views::beat(Instant now) {
    if (left_) return;
    const int64_t lived = std::max<int64_t>(0, (now - started_).inMicros() / kBeat.inMicros());
    self_.beat = base_ + static_cast<uint32_t>(lived);
}

bool Views::lives(const Entry& e, Instant now) const {
    return !e.peer.name.empty() && e.peer.beat != kLeft && now - e.heard <= window_;
}

Instant Views::made(const Entry& e) const {
    return e.peer.beat == kLeft ? e.heard : std::min(e.heard, e.born + beats(e.peer.beat));
}

// Only a beat made in the last three quarters of the window is passed on: else the last beat of a dead one
// would go from one to the next for long, and each that hears it would hold it living for one window more.
bool Views::worthTelling(const Entry& e, Instant now) const {
    return !e.peer.name.empty() && now - made(e) <= window_ * 0.75;
}

void Views::rise(Instant now, Entry& e, uint32_t beat) {
    if (beat != kLeft) {
        // Crept forward a little, for clocks that run slow. Beats older than anyone passes on come from a
        // clock that stood still, as of a machine that was suspended: they are counted anew, else nobody
        // would pass on its beats any more.
        const Instant born = now - beats(beat);
        e.born = born - e.born > window_ ? born : std::min(e.born + (now - e.heard) * (1.0 / 32), born);
    }
    e.peer.beat = beat;
    e.heard = now;
}

uint32_t Views::learn(Instant now, const Peer& p, bool& risen) {
    risen = false;
    if (p.name == self_.name) {
        // Words of a life of our name that is newer than ours: the host's clock was set back before we
        // started, or that life left. All would ignore us for good, so we go above it. Harm: two machines
        // that were given one name outbid each other, one step a message.
        if (p.life > self_.life || (p.life == self_.life && p.beat > self_.beat)) self_.life = p.life + 1;
        return kNone;
    }
    if (p.name.empty() || p.ip.empty() || p.name.size() > 64 || p.ip.size() > 45 || p.zone.size() > 32)
        return kNone;
    const auto found = byName_.find(p.name);
    if (found != byName_.end()) {
        Entry& e = entries_[found->second];
        // Older words change nothing: of the dead the last (life, beat) is kept so that a frozen agent that
        // wakes, or a late datagram, does not bring them back.
        if (p.life < e.peer.life || (p.life == e.peer.life && p.beat <= e.peer.beat)) return found->second;
        risen = true;
        if (p.life > e.peer.life) {
            byId_.erase(e.id);
            e.peer = p;
            e.id = idOf(p);
            byId_[e.id] = found->second;
            e.heard = now;
            e.born = now - beats(p.beat == kLeft ? 0 : p.beat);
            e.unanswered = 0;
        } else {
            rise(now, e, p.beat);
            e.peer.ready = p.ready;
            if (e.peer.ip != p.ip) e.peer.ip = p.ip;
            if (e.peer.zone != p.zone) e.peer.zone = p.zone;
        }
        return found->second;
    }
    if (byName_.size() >= kTable) {  // the one longest silent goes
        uint32_t oldest = kNone;
        for (uint32_t i = 0; i < entries_.size(); ++i)
            if (!entries_[i].peer.name.empty() &&
                (oldest == kNone || entries_[i].heard < entries_[oldest].heard))
                oldest = i;
        forgetEntry(oldest);
    }
    uint32_t at;
    if (free_.empty()) {
        at = static_cast<uint32_t>(entries_.size());
        entries_.emplace_back();
    } else {
        at = free_.back();
        free_.pop_back();
    }
    entries_[at] = Entry{p, idOf(p), now, now - beats(p.beat == kLeft ? 0 : p.beat), 0};
    byName_[p.name] = at;
    byId_[entries_[at].id] = at;
    risen = true;
    return at;
}

void Views::forgetEntry(uint32_t at) {
    Entry& e = entries_[at];
    byName_.erase(e.peer.name);
    const auto id = byId_.find(e.id);
    if (id != byId_.end() && id->second == at) byId_.erase(id);
    std::erase_if(view_, [at](const Slot& s) { return s.entry == at; });
    std::erase(toProbe_, at);
    std::erase(partnerSent_, at);
    if (partner_ == at) partner_ = kNone;
    e = Entry{};
    free_.push_back(at);
}

void Views::prune(Instant now) {
    for (uint32_t i = 0; i < entries_.size(); ++i)
        if (!entries_[i].peer.name.empty() && now - entries_[i].heard > options_.remember) forgetEntry(i);
}

void Views::measure(Instant now) {
    size_t n = 1;
    ownZone_ = 1;
    for (const Entry& e : entries_) {
        if (!lives(e, now)) continue;
        ++n;
        ownZone_ += e.peer.zone == self_.zone;
    }
    window_ = options_.forget * (n > 64 ? 1 + std::log2(static_cast<double>(n) / 64) : 1.0);
}

bool Views::inView(uint32_t entry) const {
    return std::any_of(view_.begin(), view_.end(), [entry](const Slot& s) { return s.entry == entry; });
}

// Takes an entry into the view: where there is room, else in place of one that was just sent away (Cyclon's
// swap, by which links move and are not lost). A third of the view stays with other zones, so that the cheap
// preference for one's own zone does not cut the zones apart.
void Views::offer(Instant now, uint32_t entry, std::vector<uint32_t>& replaceable) {
    if (entry == kNone || inView(entry)) return;
    const Entry& e = entries_[entry];
    if (!lives(e, now) || (e.unanswered != 0 && e.peer.beat <= e.unanswered)) return;
    if (view_.size() < options_.view) {
        view_.push_back({entry, 0, 0});
        return;
    }
    size_t across = 0;
    for (const Slot& s : view_) across += entries_[s.entry].peer.zone != self_.zone;
    for (size_t i = replaceable.size(); i-- > 0;) {
        const auto slot = std::find_if(view_.begin(), view_.end(),
                                       [&](const Slot& s) { return s.entry == replaceable[i]; });
        if (slot == view_.end()) continue;
        const bool loses = entries_[slot->entry].peer.zone != self_.zone && e.peer.zone == self_.zone;
        if (loses && across <= options_.view / 3) continue;
        *slot = {entry, 0, 0};
        replaceable.erase(replaceable.begin() + static_cast<std::ptrdiff_t>(i));
        return;
    }
}

void Views::told(Instant now, const std::vector<Peer>& peers) {
    if (left_) return;
    passTime(now);
    beat(now);
    std::vector<uint32_t> none;
    for (const Peer& p : peers) {
        bool risen = false;
        const uint32_t at = learn(now, p, risen);
        if (at == kNone) continue;
        offer(now, at, none);
        // The core sees more than we do; but its word has no beat, so those whom we hold dead are asked.
        if (!lives(entries_[at], now) && toProbe_.size() < 16 &&
            std::find(toProbe_.begin(), toProbe_.end(), at) == toProbe_.end())
            toProbe_.push_back(at);
    }
}

Message Views::blank(Kind kind) const {
    Message m;
    m.kind = static_cast<uint8_t>(kind);
    m.from = self_;
    if (options_.digests || kind == Kind::rumour) m.digest = own_;
    return m;
}

void Views::send(const std::string& ip, Message&& m) {
    if (out_.size() >= kOutputs) out_.pop_front();
    out_.push_back(Send{ip, std::move(m)});
}

std::optional<Output> Views::next() {
    if (out_.empty()) return std::nullopt;
    Output o = std::move(out_.front());
    out_.pop_front();
    return o;
}

void Views::addView(Message& m, uint32_t but, size_t& room, std::vector<uint32_t>& sent, Instant now) {
    sent.clear();
    for (const Slot& s : view_)
        if (s.entry != but && worthTelling(entries_[s.entry], now)) sent.push_back(s.entry);
    const size_t want = std::min(options_.shuffle, sent.size());
    size_t taken = 0;
    for (; taken < want; ++taken) {
        std::swap(sent[taken], sent[taken + below(sent.size() - taken)]);
        const Peer& p = entries_[sent[taken]].peer;
        if (sizeOf(p) > room) break;
        room -= sizeOf(p);
        m.peers.push_back(p);
    }
    sent.resize(taken);
}

// All beats worth telling where they fit. Else three quarters of the room go to the youngest, by when the
// beat was made and not by when it came here: these still have far to go, and each agent gets young news of
// each other. The rest is any, so that each id is seen in time by those who lack it. Of large tables one part
// is looked at for each message, so that the cost does not grow with the table.
void Views::addRiders(Message& m, size_t room, Instant now) {
    const size_t most = room / kRider;
    if (most == 0 || entries_.empty()) return;
    order_.clear();
    const size_t size = entries_.size();
    for (size_t n = std::min(size, kLookedAt); n > 0; --n) {
        if (++cursor_ >= size) cursor_ = 0;
        const Entry& e = entries_[cursor_];
        if (worthTelling(e, now)) order_.emplace_back((now - made(e)).inMicros(), cursor_);
    }
    if (order_.size() > most) {
        const size_t young = most - most / 4;
        std::nth_element(order_.begin(), order_.begin() + static_cast<std::ptrdiff_t>(young), order_.end());
        for (size_t i = young; i < most; ++i) std::swap(order_[i], order_[i + below(order_.size() - i)]);
        order_.resize(most);
    }
    m.riders.reserve(order_.size() * kRider);
    for (const auto& [age, i] : order_) {
        const Entry& e = entries_[i];
        putBytes(m.riders, e.id | (e.peer.ready ? kIdMask + 1 : 0), 5);
        putBytes(m.riders, e.peer.beat, 4);
    }
}

void Views::takeRiders(Instant now, const Message& m, std::string& unknown) {
    const uint64_t selfId = idOf(self_);
    for (size_t at = 0; at + kRider <= m.riders.size(); at += kRider) {
        const uint64_t head = getBytes(m.riders, at, 5);
        const uint32_t beat = static_cast<uint32_t>(getBytes(m.riders, at + 5, 4));
        const uint64_t id = head & kIdMask;
        const auto found = byId_.find(id);
        if (found != byId_.end()) {
            Entry& e = entries_[found->second];
            if (beat <= e.peer.beat) continue;
            rise(now, e, beat);
            e.peer.ready = (head & (kIdMask + 1)) != 0;
        } else if (id == selfId) {
            if (beat > self_.beat) ++self_.life;  // as in learn()
        } else if (unknown.size() < kWants * kWant) {
            putBytes(unknown, id, 5);
        }
    }
}

void Views::addWanted(Message& m, const std::string& wants, size_t& room, Instant now) {
    for (size_t at = 0; at + kWant <= wants.size(); at += kWant) {
        const auto found = byId_.find(getBytes(wants, at, 5) & kIdMask);
        if (found == byId_.end()) continue;
        const Entry& e = entries_[found->second];
        if (!worthTelling(e, now) || sizeOf(e.peer) > room || m.peers.size() >= 60) continue;
        room -= sizeOf(e.peer);
        m.peers.push_back(e.peer);
    }
}

void Views::heard(Instant now, const std::string& fromIp, const Message& m) {
    if (left_) return;
    passTime(now);
    beat(now);
    bool risen = false;
    const uint32_t from = learn(now, m.from, risen);
    if (from == kNone) return;
    const Kind kind = static_cast<Kind>(m.kind);
    if (kind == Kind::leave) {
        std::erase_if(view_, [from, this](const Slot& s) {
            return s.entry == from && entries_[from].peer.beat == kLeft;
        });
        return;
    }
    takeDigest(now, fromIp, m);
    if (kind == Kind::rumour) return;

    std::vector<uint32_t> came;
    for (const Peer& p : m.peers) {
        const uint32_t at = learn(now, p, risen);
        if (at != kNone) came.push_back(at);
    }
    std::string unknown;
    takeRiders(now, m, unknown);

    if (kind == Kind::shuffle) {
        Message answer = blank(Kind::answer);
        answer.wants = std::move(unknown);
        size_t room = kMaxBytes - std::min(kMaxBytes, sizeOfRest(answer) + answer.wants.size());
        std::vector<uint32_t> sent;
        // Its word is older than what is known of its name: it must hear so to go above it, see learn().
        const Peer& known = entries_[from].peer;
        if (known.life > m.from.life || (known.life == m.from.life && known.beat == kLeft)) {
            answer.peers.push_back(known);
            room -= std::min(room, sizeOf(known));
        }
        addView(answer, from, room, sent, now);
        addRiders(answer, room, now);
        send(fromIp, std::move(answer));
        came.push_back(from);
        for (const uint32_t at : came) offer(now, at, sent);
        return;
    }
    if (kind == Kind::answer && from == partner_) {
        answered_ = true;
        for (Slot& s : view_)
            if (s.entry == from) s.age = s.misses = 0;
        for (const uint32_t at : came) offer(now, at, partnerSent_);
        partnerSent_.clear();
    }
    std::vector<uint32_t> none;
    offer(now, from, none);  // one of the dead that was probed and lives
    if (m.wants.empty() && unknown.empty()) return;
    // Ends by itself: what was wanted comes without riders, so nothing new is wanted after it.
    Message mend = blank(Kind::mend);
    mend.wants = std::move(unknown);
    size_t room = kMaxBytes - std::min(kMaxBytes, sizeOfRest(mend) + mend.wants.size());
    addWanted(mend, m.wants, room, now);
    if (!mend.peers.empty() || !mend.wants.empty()) send(fromIp, std::move(mend));
}

bool Views::newer(int64_t version, uint64_t digest) const {
    return version != own_.version ? version > own_.version : digest > own_.digest;
}

void Views::takeDigest(Instant now, const std::string& fromIp, const Message& m) {
    const bool rumour = static_cast<Kind>(m.kind) == Kind::rumour;
    if (!options_.digests && !rumour) return;
    const Digest& d = m.digest;
    if (d.term > own_.term) {
        own_.term = d.term;
        own_.holder = d.holder;
        out_.push_back(HolderNews{d.term, d.holder});
        spread(fromIp);
    }
    if (newer(d.version, d.digest)) {
        if (fetching_ && fetching_->ip == fromIp && fetching_->version == d.version &&
            fetching_->digest == d.digest)
            return;
        std::erase_if(tellers_, [&fromIp](const Teller& t) { return t.ip == fromIp; });
        if (tellers_.size() >= kTellers) tellers_.erase(tellers_.begin());
        tellers_.push_back({fromIp, d.version, d.digest});
        if (!fetching_) fetchNext(now);
    } else if (rumour && options_.digests &&
               (d.version != own_.version || d.digest != own_.digest || d.term < own_.term)) {
        // It passes on what is old, as one that was frozen does: it is told at once. A shuffle's sender sees
        // it in the answer. Two cannot go on so: only the one that knows more answers.
        send(fromIp, blank(Kind::rumour));
    }
}

void Views::fetchNext(Instant now) {
    fetching_.reset();
    fetchUntil_ = Instant::never();
    std::erase_if(tellers_, [this](const Teller& t) { return !newer(t.version, t.digest); });
    if (tellers_.empty()) return;
    auto best = tellers_.begin();
    for (auto t = tellers_.begin(); t != tellers_.end(); ++t)
        if (std::pair(t->version, t->digest) >= std::pair(best->version, best->digest)) best = t;
    fetching_ = *best;
    tellers_.erase(best);
    fetchUntil_ = now + options_.fetchWait;
    out_.push_back(Fetch{fetching_->ip, fetching_->version});
}

void Views::fetchFailed(Instant now, const std::string& ip) {
    passTime(now);
    if (!left_ && fetching_ && fetching_->ip == ip) fetchNext(now);
}

// Rumours are sent only once the configuration itself is here, so that who hears one can fetch from its
// teller.
void Views::know(Instant now, const Digest& d) {
    if (left_) return;
    passTime(now);
    beat(now);
    bool rose = false;
    if (d.term > own_.term) {
        own_.term = d.term;
        own_.holder = d.holder;
        out_.push_back(HolderNews{d.term, d.holder});
        rose = true;
    }
    if (newer(d.version, d.digest)) {
        own_.version = d.version;
        own_.digest = d.digest;
        rose = true;
        if (!fetching_ || !newer(fetching_->version, fetching_->digest)) fetchNext(now);
    }
    if (rose) spread({});
}

void Views::spread(const std::string& butIp) {
    if (!options_.rumours) return;
    std::vector<uint32_t> to;
    for (const Slot& s : view_)
        if (entries_[s.entry].peer.ip != butIp) to.push_back(s.entry);
    for (size_t i = 0; i < std::min(options_.fanout, to.size()); ++i) {
        std::swap(to[i], to[i + below(to.size() - i)]);
        send(entries_[to[i]].peer.ip, blank(Kind::rumour));
    }
}

void Views::ready(Instant now, bool is) {
    if (left_ || self_.ready == is) return;
    passTime(now);
    self_.ready = is;
    ++base_;  // a newer beat, else the change would be taken for old word until the next second
    beat(now);
}

void Views::leave(Instant now) {
    if (left_) return;
    passTime(now);
    self_.beat = kLeft;
    left_ = true;
    for (const Slot& s : view_) send(entries_[s.entry].peer.ip, blank(Kind::leave));
}

Instant Views::wakeAt() const { return left_ ? Instant::never() : std::min(nextShuffle_, fetchUntil_); }

// Whether this round's exchange goes to another zone. Bytes between zones are dear, so the agents of a zone
// together begin kAcross exchanges across in a round, however many they are; few of them, every third of
// theirs. Harm if too few: a beat comes late to the other zones, and who lives there is held dead.
bool Views::goesAcross() {
    if (ownZone_ <= kAcrossEvery * kAcross) return round_ % kAcrossEvery == 0;
    return below(ownZone_) < kAcross;
}

uint32_t Views::pickNeighbour() {
    const bool within = !goesAcross();
    uint32_t best = kNone, bestAge = 0, any = kNone, anyAge = 0;
    for (const Slot& s : view_) {
        if (any == kNone || s.age > anyAge) any = s.entry, anyAge = s.age;
        if ((entries_[s.entry].peer.zone == self_.zone) != within) continue;
        if (best == kNone || s.age > bestAge) best = s.entry, bestAge = s.age;
    }
    return best != kNone ? best : any;
}

uint32_t Views::pickDead(Instant now, bool orAny) {
    uint32_t picked = kNone;
    size_t seen = 0;
    for (uint32_t i = 0; i < entries_.size(); ++i) {
        const Entry& e = entries_[i];
        if (e.peer.name.empty() || e.peer.beat == kLeft || (!orAny && lives(e, now))) continue;
        if (below(++seen) == 0) picked = i;
    }
    return picked;
}

void Views::startShuffle(Instant now, uint32_t entry) {
    Message m = blank(Kind::shuffle);
    size_t room = kMaxBytes - std::min(kMaxBytes, sizeOfRest(m));
    std::vector<uint32_t> sent;
    addView(m, entry, room, sent, now);
    addRiders(m, room, now);
    if (entry == partner_) partnerSent_ = std::move(sent);
    send(entries_[entry].peer.ip, std::move(m));
}

void Views::tick(Instant now) {
    if (left_) return;
    passTime(now);
    beat(now);
    if (fetching_ && now >= fetchUntil_) fetchNext(now);
    if (now < nextShuffle_) return;
    // Jitter, so that many agents started at once do not stay in step.
    nextShuffle_ = now + options_.every * (0.75 + 0.5 * static_cast<double>(below(1000)) / 1000);
    ++round_;
    measure(now);
    if (now >= nextPrune_) {
        prune(now);
        nextPrune_ = now + Span::seconds(10);
    }
    if (!answered_ && partner_ != kNone) {
        const auto slot =
            std::find_if(view_.begin(), view_.end(), [this](const Slot& s) { return s.entry == partner_; });
        if (slot != view_.end() && ++slot->misses >= 2) {
            entries_[partner_].unanswered = std::max<uint32_t>(1, entries_[partner_].peer.beat);
            view_.erase(slot);
        }
    }
    partner_ = kNone;
    answered_ = true;
    std::erase_if(view_, [&](const Slot& s) { return !lives(entries_[s.entry], now); });

    // The table knows more than the view: it fills the gaps that losses leave, and brings links across back.
    std::vector<uint32_t> none;
    size_t across = 0;
    for (Slot& s : view_) {
        ++s.age;
        across += entries_[s.entry].peer.zone != self_.zone;
    }
    for (int tries = 0; tries < 8 && !entries_.empty(); ++tries) {
        const uint32_t at = static_cast<uint32_t>(below(entries_.size()));
        if (view_.size() < options_.view) {
            offer(now, at, none);
        } else if (across <= options_.view / 4 && entries_[at].peer.zone != self_.zone) {
            std::vector<uint32_t> one;
            for (const Slot& s : view_)
                if (entries_[s.entry].peer.zone == self_.zone) one.assign(1, s.entry);
            offer(now, at, one);
            break;
        }
    }

    partner_ = pickNeighbour();
    if (partner_ != kNone) {
        answered_ = false;
        startShuffle(now, partner_);
    }
    // A second exchange with anybody of the zone that lives: with one only, beats reach the last of 74 agents
    // at 30% loss too late. Fewer have no need of it.
    if (window_ > options_.forget || view_.size() >= options_.view) {
        for (int tries = 0; tries < kTries; ++tries) {
            const uint32_t any = static_cast<uint32_t>(below(entries_.size()));
            const Entry& entry = entries_[any];
            if (any == partner_ || !lives(entry, now) || entry.peer.zone != self_.zone) continue;
            startShuffle(now, any);
            break;
        }
    }
    // One of the dead is asked now and then, at all times by one that has no neighbours: both sides of a cut
    // hold each other dead, so nobody would ever speak across it when it is mended.
    uint32_t probe = kNone;
    if (!toProbe_.empty()) {
        probe = toProbe_.front();
        toProbe_.pop_front();
    } else if (options_.probes && (round_ % 5 == 0 || partner_ == kNone)) {
        probe = pickDead(now, partner_ == kNone);
    }
    if (probe != kNone && probe != partner_) startShuffle(now, probe);
}

std::vector<Peer> Views::living(Instant now) const {
    std::vector<Peer> all;
    all.reserve(byName_.size() + 1);
    if (!left_) all.push_back(self_);
    for (const Entry& e : entries_)
        if (lives(e, now)) all.push_back(e.peer);
    return all;
}

double Views::count(Instant now) const {
    double a = 1, b = 1;
    for (const Entry& e : entries_) {
        if (!lives(e, now)) continue;
        ++b;
        a += now - e.heard <= window_ * 0.5;
    }
    if (b <= 128) return b;
    return std::min(2 * b, 2 * a > b ? std::max(b, a * a / (2 * a - b)) : 2 * b);
}

std::vector<std::string> Views::neighbours() const {
    std::vector<std::string> names;
    for (const Slot& s : view_) names.push_back(entries_[s.entry].peer.name);
    return names;
}

}  // namespace petrelpond::gossip
