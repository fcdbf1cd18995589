#include "system/agent/agent.hpp"

#include <spdlog/spdlog.h>
#include <time.h>

#include <algorithm>
#include <cmath>

namespace petrelpond::agent {

using network::Kind;
using network::Link;

namespace {

const Span kBeat = Span::millis(1000);
const Span kCoreSilence = Span::millis(2200);  // without a word from a core for so long its link is made anew
// The holder sends a heartbeat each 250 ms; one may be late by the hiccup of a small machine.
const Span kHolderSilence = Span::millis(500);
const Span kAskAgain = Span::millis(600);
// Of a core whose process starts anew: short, as one that won the duty without us would give our slots away.
const Span kTryAgain = Span::millis(200);
const Span kConnectAgain = Span::millis(240);  // several round trips between regions

// Rises with each start of this machine's agent. A time of day that was set back makes our word look old to
// others until they have forgotten us; nothing but the count of senders suffers.
uint64_t lifeNow() {
    timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return static_cast<uint64_t>(t.tv_sec) * 1000 + static_cast<uint64_t>(t.tv_nsec) / 1000000;
}

gossip::Options viewOptions(const configuration::Settings& s, uint64_t life, uint32_t chance) {
    gossip::Options o;
    o.self.name = s.nodeName, o.self.ip = s.ip, o.self.zone = s.zone, o.self.incarnation = life;
    o.randomSeed = chance;
    return o;
}

}  // namespace

Agent::Agent(network::Loop& loop, const configuration::Settings& settings, uint32_t chance,
             std::string loopback)
    : loop_(loop), settings_(settings), loopbackIp_(std::move(loopback)), life_(lifeNow()),
      views_(loop.now(), viewOptions(settings, life_, chance)), asking_(chance + 1) {}

Agent::~Agent() = default;

bool Agent::open(std::string& error) {
    auto own = network::Address::parse(settings_.ip, static_cast<uint16_t>(settings_.portFirst + 1));
    auto loopback = network::Address::parse(loopbackIp_, static_cast<uint16_t>(settings_.portFirst + 2));
    auto guest = [this](int fd, Span silence) {
        uint64_t tag = nextTag_++;
        Guest& g = guests_[tag];
        g.link = Link::adopt(loop_, *this, fd, silence);
        g.link->tag = tag;
    };
    own_ = network::Listener::open(
        loop_, *own, [guest](int fd, network::Address) { guest(fd, Span::seconds(3)); }, error);
    if (!own_) return error = own->text() + ": " + error, false;
    loopback_ = network::Listener::open(
        loop_, *loopback, [guest](int fd, network::Address) { guest(fd, Span()); }, error);
    if (!loopback_) return error = loopback->text() + ": " + error, false;
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
    newSettings(settings_);
    tick();
    return true;
}

void Agent::newSettings(const configuration::Settings& settings) {
    settings_.seeds = settings.seeds;
    for (const auto& seed : settings_.seeds) meetCore(seed.ip);
}

void Agent::meetCore(const std::string& ip) {
    if (ip.empty() || cores_.count(ip) != 0) return;
    if (cores_.size() >= kMostCores) {
        std::map<std::string, CoreSeen> all;
        for (const auto& [known, core] : cores_) all[known] = seen(core);
        const std::string longest = silentLongest(all);
        if (longest.empty()) return;
        forgetCore(longest);
    }
    cores_[ip].ip = ip;
    cores_[ip].seenAt = loop_.now();
    connectCores();
}

CoreSeen Agent::seen(const CoreLink& core) const {
    const auto& seeds = settings_.seeds;
    const bool seed =
        std::any_of(seeds.begin(), seeds.end(), [&](const auto& each) { return each.ip == core.ip; });
    const bool linked = core.link && core.link->isUp();
    return {seed || core.ip == holder_, linked, core.seenAt};
}

void Agent::forgetCore(const std::string& ip) {
    const auto core = cores_.find(ip);
    if (core == cores_.end()) return;
    if (core->second.link) {
        core->second.link->close();
        loop_.bury(std::move(core->second.link));
    }
    cores_.erase(core);
}

void Agent::forgetSilentCores() {
    std::vector<std::string> silent;
    for (const auto& [ip, core] : cores_)
        if (mayForget(seen(core), loop_.now())) silent.push_back(ip);
    for (const std::string& ip : silent) forgetCore(ip);
}

void Agent::connectCores() {
    for (auto& [ip, core] : cores_) {
        if (core.link || loop_.now() - core.triedAt < core.pause) continue;
        core.triedAt = core.heardAt = loop_.now();
        core.pause = std::min(core.pause * 2, kTryAgain);
        auto address = network::Address::parse(ip, static_cast<uint16_t>(settings_.portFirst));
        if (!address) continue;
        core.link = Link::connect(loop_, *this, *address, Span::millis(2000));
        if (core.link) core.link->tag = 0;
    }
}

void Agent::linkUp(Link& link) {
    for (auto& [ip, core] : cores_) {
        if (core.link.get() != &link) continue;
        core.pause = Span::millis(100), core.heardAt = loop_.now();
        link.say(Kind::hello, network::Hello{settings_.nodeName, settings_.ip, settings_.zone, life_,
                                             config_.id().version});
        tellProxy();
        return;
    }
    auto guest = guests_.find(link.tag);
    if (guest != guests_.end() && !guest->second.fetchFrom.empty()) link.say(Kind::want, held());
}

void Agent::frame(Link& link, Kind kind, std::string_view payload) {
    for (auto& [ip, core] : cores_) {
        if (core.link.get() != &link) continue;
        core.heardAt = core.seenAt = loop_.now();
        if (kind == Kind::beat) {
            if (auto b = network::unpacked<network::Beat>(payload)) heardBeat(core, *b);
        } else if (kind == Kind::welcome) {
            if (auto w = network::unpacked<network::Welcome>(payload)) {
                for (const std::string& each : w->cores) meetCore(each);
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
            if (auto c = network::unpacked<network::Config>(payload)) take(*c);
        } else if (kind == Kind::grants && ip == holder_) {
            toProxy(Kind::grants, payload);
        }
        return pump();
    }
    auto found = guests_.find(link.tag);
    if (found == guests_.end()) return;
    if (kind == Kind::hello) {  // the proxy, by loopback
        proxy_ = link.tag;
        toldAny_ = false;
        if (config_.any())
            link.say(Kind::config, config_.plain());  // it keeps what it has where that is as new
        tellProxy();
    } else if (kind == Kind::report && link.tag == proxy_) {
        auto core = cores_.find(holder_);
        if (core != cores_.end() && core->second.link && core->second.link->isUp())
            core->second.link->send(Kind::report, payload);
    } else if (kind == Kind::want) {
        const auto b = network::unpacked<network::Beat>(payload);
        const bool proxy = link.tag == proxy_;
        if (b && config_.any() && !newer(b->version, b->digest))
            link.say(Kind::config, proxy ? config_.plain() : config_.configFor({b->version, b->digest}));
    } else if (kind == Kind::config && !found->second.fetchFrom.empty()) {
        if (auto c = network::unpacked<network::Config>(payload)) take(*c);
        link.close();
        loop_.bury(std::move(found->second.link));
        guests_.erase(found);
    }
    pump();
}

void Agent::linkDown(Link& link, bool) {
    for (auto& [ip, core] : cores_) {
        if (core.link.get() != &link) continue;
        ++coreBreaks_;
        link.close();
        loop_.bury(std::move(core.link));
        if (askedCore_ == ip) askedAt_ = Instant::longAgo();
        return tellProxy();
    }
    auto found = guests_.find(link.tag);
    if (found == guests_.end()) return;
    if (!found->second.fetchFrom.empty()) views_.fetchFailed(loop_.now(), found->second.fetchFrom);
    if (proxy_ == link.tag) proxy_ = 0;
    link.close();
    loop_.bury(std::move(found->second.link));
    guests_.erase(found);
    pump();
}

bool Agent::newer(int64_t version, uint64_t digest) const {
    return version > 0 && configuration::TextId{version, digest} > config_.id();
}

void Agent::heardBeat(CoreLink& core, const network::Beat& b) {
    core.last = b;
    if (b.term > term_ || (b.term == term_ && holder_.empty() && !b.holder.empty())) duty(b.term, b.holder);
    askConfig(core, b);
}

// One core is asked at a time, the first that tells of a newer configuration; another after a while.
void Agent::askConfig(CoreLink& core, const network::Beat& b) {
    const bool near = core.zone == settings_.zone || !coreInOwnZone();
    const Offer offer{newer(b.version, b.digest), b.inContact, near};
    if (!asking_.due(loop_.now(), config_.any(), offer)) return;
    if (loop_.now() - askedAt_ < kAskAgain) return;
    if (!config_.any() && !b.inContact)
        spdlog::warn("configuration {} taken from {}, which is out of contact: it may be old", b.version,
                     core.ip);
    askedAt_ = loop_.now(), askedCore_ = core.ip;
    core.link->say(Kind::want, held());
}

bool Agent::coreInOwnZone() const {
    return std::any_of(cores_.begin(), cores_.end(), [this](const auto& each) {
        const CoreLink& core = each.second;
        return core.link && core.link->isUp() && core.zone == settings_.zone;
    });
}

network::Beat Agent::held() const {
    if (wantsWhole_) return {};
    return network::Beat{config_.id().version, config_.id().digest, 0, "", 0};
}

void Agent::take(const network::Config& c) {
    const configuration::Taking how = config_.take(c);
    if (how == configuration::Taking::older) return;
    if (how != configuration::Taking::taken) {
        ++refusedConfigs_;
        wantsWhole_ = true;
        askedAt_ = Instant::longAgo();
        spdlog::warn("configuration {} not taken: {}", c.version,
                     how == configuration::Taking::damaged ? "its digest is another"
                                                           : "a change from a text that is not held");
        return;
    }
    wantsWhole_ = false;
    askedAt_ = Instant::longAgo();
    asking_.taken();
    ++configs_;
    toProxy(Kind::config, network::packed(c));
    views_.updateDigest(loop_.now(), {c.version, c.digest, term_, holder_});
    spdlog::info("configuration {} taken, {} bytes", c.version, c.bytes.size());
}

void Agent::duty(uint64_t term, const std::string& holder) {
    if (term < term_ || (term == term_ && holder == holder_)) return;
    term_ = term, holder_ = holder;
    meetCore(holder);
    views_.updateDigest(loop_.now(), {config_.id().version, config_.id().digest, term_, holder_});
    spdlog::info("startup duty: term {} held by {}", term, holder.empty() ? "nobody" : holder);
    tellProxy();
}

void Agent::toProxy(Kind kind, std::string_view payload) {
    auto found = guests_.find(proxy_);
    if (proxy_ != 0 && found != guests_.end()) found->second.link->send(kind, payload);
}

void Agent::tellProxy() {
    if (proxy_ == 0) return;
    network::Standing s;
    s.senders = static_cast<uint32_t>(std::max(1.0, std::round(views_.estimateAlive(loop_.now()))));
    s.term = term_;
    auto core = cores_.find(holder_);
    s.linked = core != cores_.end() && core->second.link && core->second.link->isUp();
    s.silent = !s.linked || loop_.now() - core->second.heardAt > kHolderSilence;
    if (toldAny_ && s.senders == told_.senders && s.term == told_.term && s.linked == told_.linked &&
        s.silent == told_.silent)
        return;
    told_ = s, toldAny_ = true;
    toProxy(Kind::standing, network::packed(s));
}

void Agent::tick() {
    Instant now = loop_.now();
    std::vector<Link*> silent;
    for (auto& [ip, core] : cores_) {
        if (!core.link) continue;
        // A connection's first packet that was lost at a dark machine is sent again after a second only.
        bool lost = !core.link->isUp() && now - core.triedAt > kConnectAgain;
        if (lost || now - core.heardAt > kCoreSilence) silent.push_back(core.link.get());
    }
    for (Link* link : silent) linkDown(*link, false);
    forgetSilentCores();
    connectCores();
    if (now - beatAt_ >= kBeat) {
        beatAt_ = now;
        for (auto& [ip, core] : cores_)
            if (core.link && core.link->isUp())
                core.link->say(Kind::beat, network::Beat{config_.id().version, 0, term_, "", 0});
    }
    for (auto& [ip, core] : cores_)
        if (core.link && core.link->isUp()) askConfig(core, core.last);
    if (now >= views_.wakeAt()) views_.tick(now);
    pump();
    tellProxy();
    if (now >= logAt_) logAt_ = now + Span::seconds(10), logCounters();
    if (leaving_ && (proxy_ == 0 || now - leavingSince_ > settings_.bounds.grace - Span::millis(300))) {
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
            // A core that is linked has told of it and will be asked: a sender's own link is the narrower
            // one. Left undone the views ask another a second later. Harm: that second, where the core ends
            // meanwhile.
            if (config_.any() && coreTells()) continue;
            uint64_t tag = nextTag_++;
            ++fetches_;
            auto link = to ? Link::connect(loop_, *this, *to, Span::seconds(2)) : nullptr;
            if (!link) {
                views_.fetchFailed(loop_.now(), f->ip);
                continue;
            }
            link->tag = tag;
            guests_[tag] = Guest{std::move(link), f->ip};
        } else if (auto* h = std::get_if<gossip::HolderChange>(&*output)) {
            duty(h->term, h->holder);
        }
    }
}

bool Agent::coreTells() const {
    return std::any_of(cores_.begin(), cores_.end(), [this](const auto& each) {
        const CoreLink& core = each.second;
        return core.link && core.link->isUp() && newer(core.last.version, core.last.digest);
    });
}

void Agent::leave() {
    if (leaving_) return;
    leaving_ = true, leavingSince_ = loop_.now();
    spdlog::info("leaving once the proxy has gone");
}

void Agent::logCounters() const {
    size_t up = 0;
    for (const auto& [ip, core] : cores_) up += core.link && core.link->isUp();
    spdlog::info(
        "counters cores={} cores_up={} core_breaks={} configs={} configs_refused={} fetches={} term={} "
        "senders={:.0f}",
        cores_.size(), up, coreBreaks_, configs_, refusedConfigs_, fetches_, term_,
        views_.estimateAlive(loop_.now()));
}

}  // namespace petrelpond::agent
