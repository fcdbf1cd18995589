#include "system/agent/agent.hpp"

#include <spdlog/spdlog.h>
#include <time.h>

#include <algorithm>
#include <cmath>

namespace petrelpond::agent {

using network::Kind;
using network::Link;

namespace {

const Span kHeartbeatInterval = Span::millis(1000);
const Span kCoreSilenceTimeout = Span::millis(2200);  // a link to a core silent for this long is reopened
// The holder sends a heartbeat every 250 ms; one may be delayed by a pause of a small machine.
const Span kHolderSilenceTimeout = Span::millis(500);
const Span kRequestRetryInterval = Span::millis(600);
// For a core whose process restarts: short, because one that wins the duty without this agent would give its
// slots to others.
const Span kMaxConnectPause = Span::millis(200);
const Span kConnectTimeout = Span::millis(240);  // several round trips between regions

// Increases with each start of this agent. If the clock was set back, other agents treat its messages as old
// until they have forgotten it; only the count of senders is affected.
uint64_t currentLife() {
    timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return static_cast<uint64_t>(t.tv_sec) * 1000 + static_cast<uint64_t>(t.tv_nsec) / 1000000;
}

gossip::Options viewOptions(const configuration::Settings& s, uint64_t life, uint32_t randomSeed) {
    gossip::Options o;
    o.self.name = s.nodeName, o.self.ip = s.ip, o.self.zone = s.zone, o.self.incarnation = life;
    o.randomSeed = randomSeed;
    return o;
}

}  // namespace

Agent::Agent(network::Loop& loop, const configuration::Settings& settings, uint32_t randomSeed,
             std::string loopback)
    : loop_(loop), settings_(settings), loopbackIp_(std::move(loopback)), life_(currentLife()),
      views_(loop.now(), viewOptions(settings, life_, randomSeed)), requestPolicy_(randomSeed + 1) {}

Agent::~Agent() = default;

bool Agent::open(std::string& error) {
    auto own = network::Address::parse(settings_.ip, static_cast<uint16_t>(settings_.portFirst + 1));
    auto loopback = network::Address::parse(loopbackIp_, static_cast<uint16_t>(settings_.portFirst + 2));
    auto adoptLink = [this](int fd, Span silence) {
        uint64_t tag = nextTag_++;
        OtherLink& g = otherLinks_[tag];
        g.link = Link::adopt(loop_, *this, fd, silence);
        g.link->tag = tag;
    };
    ownListener_ = network::Listener::open(
        loop_, *own, [adoptLink](int fd, network::Address) { adoptLink(fd, Span::seconds(3)); }, error);
    if (!ownListener_) return error = own->text() + ": " + error, false;
    loopbackListener_ = network::Listener::open(
        loop_, *loopback, [adoptLink](int fd, network::Address) { adoptLink(fd, Span()); }, error);
    if (!loopbackListener_) return error = loopback->text() + ": " + error, false;
    datagrams_ = network::Datagrams::open(
        loop_, *own,
        [this](network::Address from, std::string_view bytes) {
            if (auto message = gossip::decode(bytes)) {
                std::string ip = from.text();
                views_.receive(loop_.now(), ip.substr(0, ip.find(':')), *message);
                pump();
            }
        },
        error);
    if (!datagrams_) return error = own->text() + ": " + error, false;
    applySettings(settings_);
    tick();
    return true;
}

void Agent::applySettings(const configuration::Settings& settings) {
    settings_.seeds = settings.seeds;
    for (const auto& seed : settings_.seeds) addCore(seed.ip);
}

void Agent::addCore(const std::string& ip) {
    if (ip.empty() || cores_.count(ip) != 0) return;
    if (cores_.size() >= kMaxCores) {
        std::map<std::string, CoreContact> all;
        for (const auto& [known, core] : cores_) all[known] = contactOf(core);
        const std::string longest = findLongestSilentCore(all);
        if (longest.empty()) return;
        removeCore(longest);
    }
    cores_[ip].ip = ip;
    cores_[ip].lastSeenAt = loop_.now();
    connectCores();
}

CoreContact Agent::contactOf(const CoreLink& core) const {
    const auto& seeds = settings_.seeds;
    const bool seed =
        std::any_of(seeds.begin(), seeds.end(), [&](const auto& each) { return each.ip == core.ip; });
    const bool linked = core.link && core.link->isUp();
    return {seed || core.ip == holder_, linked, core.lastSeenAt};
}

void Agent::removeCore(const std::string& ip) {
    const auto core = cores_.find(ip);
    if (core == cores_.end()) return;
    if (core->second.link) {
        core->second.link->close();
        loop_.bury(std::move(core->second.link));
    }
    cores_.erase(core);
}

void Agent::removeSilentCores() {
    std::vector<std::string> silent;
    for (const auto& [ip, core] : cores_)
        if (canForgetCore(contactOf(core), loop_.now())) silent.push_back(ip);
    for (const std::string& ip : silent) removeCore(ip);
}

void Agent::connectCores() {
    for (auto& [ip, core] : cores_) {
        if (core.link || loop_.now() - core.connectTriedAt < core.connectPause) continue;
        core.connectTriedAt = core.lastHeardAt = loop_.now();
        core.connectPause = std::min(core.connectPause * 2, kMaxConnectPause);
        auto address = network::Address::parse(ip, static_cast<uint16_t>(settings_.portFirst));
        if (!address) continue;
        core.link = Link::connect(loop_, *this, *address, Span::millis(2000));
        if (core.link) core.link->tag = 0;
    }
}

void Agent::linkUp(Link& link) {
    for (auto& [ip, core] : cores_) {
        if (core.link.get() != &link) continue;
        core.connectPause = Span::millis(100), core.lastHeardAt = loop_.now();
        link.say(Kind::hello, network::Hello{settings_.nodeName, settings_.ip, settings_.zone, life_,
                                             heldConfig_.id().version});
        sendStandingToProxy();
        return;
    }
    auto other = otherLinks_.find(link.tag);
    if (other != otherLinks_.end() && !other->second.fetchedFrom.empty()) link.say(Kind::want, heldVersion());
}

void Agent::frame(Link& link, Kind kind, std::string_view payload) {
    for (auto& [ip, core] : cores_) {
        if (core.link.get() != &link) continue;
        core.lastHeardAt = core.lastSeenAt = loop_.now();
        if (kind == Kind::beat) {
            if (auto b = network::unpacked<network::Beat>(payload)) onHeartbeat(core, *b);
        } else if (kind == Kind::welcome) {
            if (auto w = network::unpacked<network::Welcome>(payload)) {
                for (const std::string& each : w->cores) addCore(each);
                if (!w->zone.empty()) core.zone = w->zone;
                std::vector<gossip::Peer> peers;
                for (const auto& k : w->senders) {
                    gossip::Peer p;
                    p.name = k.name, p.ip = k.ip, p.zone = k.zone, p.incarnation = k.life;
                    peers.push_back(p);
                }
                views_.addPeers(loop_.now(), peers);
            }
        } else if (kind == Kind::config) {
            if (auto c = network::unpacked<network::Config>(payload)) acceptConfig(*c);
        } else if (kind == Kind::grants && ip == holder_) {
            sendToProxy(Kind::grants, payload);
        }
        return pump();
    }
    auto found = otherLinks_.find(link.tag);
    if (found == otherLinks_.end()) return;
    if (kind == Kind::hello) {  // the proxy, over loopback
        proxyTag_ = link.tag;
        hasSentStanding_ = false;
        if (heldConfig_.any())
            link.say(Kind::config,
                     heldConfig_.plain());  // the proxy ignores it if it has the same version or a newer one
        sendStandingToProxy();
    } else if (kind == Kind::report && link.tag == proxyTag_) {
        auto core = cores_.find(holder_);
        if (core != cores_.end() && core->second.link && core->second.link->isUp())
            core->second.link->send(Kind::report, payload);
    } else if (kind == Kind::want) {
        const auto b = network::unpacked<network::Beat>(payload);
        const bool proxy = link.tag == proxyTag_;
        if (b && heldConfig_.any() && !isNewer(b->version, b->digest))
            link.say(Kind::config,
                     proxy ? heldConfig_.plain() : heldConfig_.configFor({b->version, b->digest}));
    } else if (kind == Kind::config && !found->second.fetchedFrom.empty()) {
        if (auto c = network::unpacked<network::Config>(payload)) acceptConfig(*c);
        link.close();
        loop_.bury(std::move(found->second.link));
        otherLinks_.erase(found);
    }
    pump();
}

void Agent::linkDown(Link& link, bool) {
    for (auto& [ip, core] : cores_) {
        if (core.link.get() != &link) continue;
        ++coreLinksLost_;
        link.close();
        loop_.bury(std::move(core.link));
        if (requestedCore_ == ip) requestedAt_ = Instant::longAgo();
        return sendStandingToProxy();
    }
    auto found = otherLinks_.find(link.tag);
    if (found == otherLinks_.end()) return;
    if (!found->second.fetchedFrom.empty()) views_.fetchFailed(loop_.now(), found->second.fetchedFrom);
    if (proxyTag_ == link.tag) proxyTag_ = 0;
    link.close();
    loop_.bury(std::move(found->second.link));
    otherLinks_.erase(found);
    pump();
}

bool Agent::isNewer(int64_t version, uint64_t digest) const {
    return version > 0 && configuration::TextId{version, digest} > heldConfig_.id();
}

void Agent::onHeartbeat(CoreLink& core, const network::Beat& b) {
    core.lastHeartbeat = b;
    if (b.term > term_ || (b.term == term_ && holder_.empty() && !b.holder.empty()))
        onDutyHolder(b.term, b.holder);
    requestConfig(core, b);
}

// Requests from one core at a time, the first that announces a newer configuration; from another after
// kRequestRetryInterval.
void Agent::requestConfig(CoreLink& core, const network::Beat& b) {
    const bool isPreferredZone = core.zone == settings_.zone || !hasCoreInOwnZone();
    const ConfigOffer offer{isNewer(b.version, b.digest), b.inContact, isPreferredZone};
    if (!requestPolicy_.shouldRequest(loop_.now(), heldConfig_.any(), offer)) return;
    if (loop_.now() - requestedAt_ < kRequestRetryInterval) return;
    if (!heldConfig_.any() && !b.inContact)
        spdlog::warn("configuration {} requested from {}, which has no majority: it may be outdated",
                     b.version, core.ip);
    requestedAt_ = loop_.now(), requestedCore_ = core.ip;
    core.link->say(Kind::want, heldVersion());
}

bool Agent::hasCoreInOwnZone() const {
    return std::any_of(cores_.begin(), cores_.end(), [this](const auto& each) {
        const CoreLink& core = each.second;
        return core.link && core.link->isUp() && core.zone == settings_.zone;
    });
}

network::Beat Agent::heldVersion() const {
    if (needsFullConfig_) return {};
    return network::Beat{heldConfig_.id().version, heldConfig_.id().digest, 0, "", 0};
}

void Agent::acceptConfig(const network::Config& c) {
    const configuration::Taking how = heldConfig_.take(c);
    if (how == configuration::Taking::older) return;
    if (how != configuration::Taking::taken) {
        ++configsRejected_;
        needsFullConfig_ = true;
        requestedAt_ = Instant::longAgo();
        spdlog::warn(
            "configuration {} rejected: {}", c.version,
            how == configuration::Taking::damaged ? "digest mismatch" : "the base of the delta is missing");
        return;
    }
    needsFullConfig_ = false;
    requestedAt_ = Instant::longAgo();
    requestPolicy_.onConfigAccepted();
    ++configsAccepted_;
    sendToProxy(Kind::config, network::packed(c));
    views_.updateDigest(loop_.now(), {c.version, c.digest, term_, holder_});
    spdlog::info("configuration {} accepted, {} bytes", c.version, c.bytes.size());
}

void Agent::onDutyHolder(uint64_t term, const std::string& holder) {
    if (term < term_ || (term == term_ && holder == holder_)) return;
    term_ = term, holder_ = holder;
    addCore(holder);
    views_.updateDigest(loop_.now(), {heldConfig_.id().version, heldConfig_.id().digest, term_, holder_});
    spdlog::info("startup duty: term {} held by {}", term, holder.empty() ? "nobody" : holder);
    sendStandingToProxy();
}

void Agent::sendToProxy(Kind kind, std::string_view payload) {
    auto found = otherLinks_.find(proxyTag_);
    if (proxyTag_ != 0 && found != otherLinks_.end()) found->second.link->send(kind, payload);
}

void Agent::sendStandingToProxy() {
    if (proxyTag_ == 0) return;
    network::Standing s;
    s.senders = static_cast<uint32_t>(std::max(1.0, std::round(views_.estimateAlive(loop_.now()))));
    s.term = term_;
    auto core = cores_.find(holder_);
    s.linked = core != cores_.end() && core->second.link && core->second.link->isUp();
    s.silent = !s.linked || loop_.now() - core->second.lastHeardAt > kHolderSilenceTimeout;
    if (hasSentStanding_ && s.senders == lastStanding_.senders && s.term == lastStanding_.term &&
        s.linked == lastStanding_.linked && s.silent == lastStanding_.silent)
        return;
    lastStanding_ = s, hasSentStanding_ = true;
    sendToProxy(Kind::standing, network::packed(s));
}

void Agent::tick() {
    Instant now = loop_.now();
    std::vector<Link*> silent;
    for (auto& [ip, core] : cores_) {
        if (!core.link) continue;
        // A connection's first packet lost at a machine that is down is retransmitted only after a second.
        bool lost = !core.link->isUp() && now - core.connectTriedAt > kConnectTimeout;
        if (lost || now - core.lastHeardAt > kCoreSilenceTimeout) silent.push_back(core.link.get());
    }
    for (Link* link : silent) linkDown(*link, false);
    removeSilentCores();
    connectCores();
    if (now - lastHeartbeatAt_ >= kHeartbeatInterval) {
        lastHeartbeatAt_ = now;
        for (auto& [ip, core] : cores_)
            if (core.link && core.link->isUp())
                core.link->say(Kind::beat, network::Beat{heldConfig_.id().version, 0, term_, "", 0});
    }
    for (auto& [ip, core] : cores_)
        if (core.link && core.link->isUp()) requestConfig(core, core.lastHeartbeat);
    if (now >= views_.wakeAt()) views_.tick(now);
    pump();
    sendStandingToProxy();
    if (now >= nextLogAt_) nextLogAt_ = now + Span::seconds(10), logCounters();
    if (isLeaving_ && (proxyTag_ == 0 || now - leavingSince_ > settings_.bounds.grace - Span::millis(300))) {
        views_.leave(now);
        pump();
        logCounters();
        loop_.stop();
        return;
    }
    bool missing = std::any_of(cores_.begin(), cores_.end(), [](const auto& c) { return !c.second.link; });
    Span pause = Span::millis(missing ? 100 : 150);
    Instant next = std::min(now + pause, std::max(views_.wakeAt(), now + Span::millis(5)));
    loop_.at(next, [this] { tick(); });
}

void Agent::pump() {
    while (auto output = views_.next()) {
        if (auto* s = std::get_if<gossip::Send>(&*output)) {
            auto to = network::Address::parse(s->ip, static_cast<uint16_t>(settings_.portFirst + 1));
            if (to && datagrams_) datagrams_->send(*to, gossip::encode(s->message));
        } else if (auto* f = std::get_if<gossip::Fetch>(&*output)) {
            auto to = network::Address::parse(f->ip, static_cast<uint16_t>(settings_.portFirst + 1));
            // A linked core has announced the version and will be asked instead: other agents' links are
            // slower. If that fails, the gossip views ask another agent a second later. Drawback: that
            // second, if the core stops meanwhile.
            if (heldConfig_.any() && hasCoreWithNewerConfig()) continue;
            uint64_t tag = nextTag_++;
            ++fetches_;
            auto link = to ? Link::connect(loop_, *this, *to, Span::seconds(2)) : nullptr;
            if (!link) {
                views_.fetchFailed(loop_.now(), f->ip);
                continue;
            }
            link->tag = tag;
            otherLinks_[tag] = OtherLink{std::move(link), f->ip};
        } else if (auto* h = std::get_if<gossip::HolderChange>(&*output)) {
            onDutyHolder(h->term, h->holder);
        }
    }
}

bool Agent::hasCoreWithNewerConfig() const {
    return std::any_of(cores_.begin(), cores_.end(), [this](const auto& each) {
        const CoreLink& core = each.second;
        return core.link && core.link->isUp() &&
               isNewer(core.lastHeartbeat.version, core.lastHeartbeat.digest);
    });
}

void Agent::leave() {
    if (isLeaving_) return;
    isLeaving_ = true, leavingSince_ = loop_.now();
    spdlog::info("shutting down once the proxy has disconnected");
}

void Agent::logCounters() const {
    size_t up = 0;
    for (const auto& [ip, core] : cores_) up += core.link && core.link->isUp();
    spdlog::info(
        "counters cores={} cores_up={} core_breaks={} configs={} configs_refused={} fetches={} term={} "
        "senders={:.0f}",
        cores_.size(), up, coreLinksLost_, configsAccepted_, configsRejected_, fetches_, term_,
        views_.estimateAlive(loop_.now()));
}

}  // namespace petrelpond::agent
