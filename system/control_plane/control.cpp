#include "system/control_plane/control.hpp"

#include <rapidjson/document.h>
#include <spdlog/spdlog.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>

#include "system/configuration/packing.hpp"

namespace petrelpond::control_plane {

using network::HttpRequest;
using network::HttpVisit;
using network::Kind;
using network::Link;

namespace {

const Span kAgentBeat = Span::millis(500);
const Span kHolderBeat = Span::millis(200);     // of the holder: senders are to miss it soon
const Span kAgentSilence = Span::millis(3000);  // no word of an agent for so long: its slots may be passed on

std::string json(const std::string& cause) {
    std::string out = "{\"cause\":\"";
    for (char c : cause) {
        if (c == '"' || c == '\\') out += '\\';
        if (static_cast<unsigned char>(c) >= 0x20) out += c;
    }
    return out + "\"}";
}

// A vacancy is a time without new instances: short, but several round trips between regions and the hiccups
// of a small machine. A needless ballot costs the new holder its learning, some 0.2 s.
const Span kDutyBeat = Span::millis(150);
const Span kDutyLapse = Span::millis(700);

const Span kConnectAgain = Span::millis(250);  // several round trips between regions

const Span kBehind = Span::millis(200);  // a report that waits for so long: our senders are not to blame

// Texts kept as bases of changes: what a sender holds that was away for a few seconds of a storm. An older
// one costs the whole.
constexpr size_t kBasesKept = 8;

const Span kLostForGood = Span::seconds(5);  // of too many lost disks: a rebuild takes 1.2 s

constexpr const char* kJson = "Content-Type: application/json\r\n";

// {"gone":["10.0.0.4"],"come":["10.0.0.9"]}: ips, either may be left out.
std::optional<ChangeVoters> readVotersChange(uint64_t visit, const std::string& body) {
    rapidjson::Document d;
    d.Parse<rapidjson::kParseIterativeFlag>(body.c_str(), body.size());
    if (d.HasParseError() || !d.IsObject() || d.MemberCount() == 0) return {};
    ChangeVoters out{visit, {}, {}};
    for (const auto& m : d.GetObject()) {
        const std::string name(m.name.GetString(), m.name.GetStringLength());
        auto* ips = name == "gone" ? &out.gone : name == "come" ? &out.come : nullptr;
        if (!ips || !m.value.IsArray() || m.value.Size() > 32) return {};
        for (const auto& each : m.value.GetArray()) {
            if (!each.IsString() || !network::Address::parse(each.GetString(), 1)) return {};
            ips->emplace_back(each.GetString());
        }
    }
    return out;
}

}  // namespace

Command decode(uint64_t visit, HttpRequest&& request) {
    std::string_view path = request.target().substr(0, request.target().find('?'));
    if (path == "/status" && request.method() == "GET") return GetStatus{visit};
    if (path == "/voters" && request.method() == "POST") {
        if (auto change = readVotersChange(visit, request.body)) return *change;
        return Unknown{visit, 400};
    }
    if (path != "/configuration") return Unknown{visit, path == "/status" || path == "/voters" ? 405 : 404};
    if (request.method() == "PUT") return PutConfiguration{visit, std::move(request.body)};
    if (request.method() == "GET") return GetConfiguration{visit};
    return Unknown{visit, 405};
}

Control::Control(network::Loop& loop, const configuration::Settings& settings, uint32_t chance,
                 consensus::Defect defect)
    : loop_(loop), settings_(settings), texts_(kBasesKept), beatAt_(loop.now()), chance_(chance),
      defect_(defect) {
    limits_.bodyBytes = network::kMostConfiguration;
    limits_.headerTimeout = Span::seconds(5), limits_.idleTimeout = Span::seconds(30);
}

Control::~Control() {
    if (keeperFd_ >= 0) ::close(keeperFd_);
}

bool Control::open(std::string& error) {
    if (!settings_.control)
        return error = "listen_addresses: control expected for a role that serves control_plane", false;
    if (!settings_.dataDir) return error = "data_dir: a folder on a disk expected", false;
    keeperFd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    keeper_ = std::make_unique<consensus::StateStore>(
        *settings_.dataDir, keeperFd_, [told = false](const std::string& why) mutable {
            if (!std::exchange(told, true)) spdlog::warn("state: {}: trying until it can be read", why);
            consensus::StateStore::waitReadRetryDelay(why);
        });
    auto taken = keeper_->takeLoaded();
    if (auto* problem = std::get_if<network::Problem>(&taken))
        spdlog::error("{}; this machine's part of the state is taken for lost", problem->line());
    std::optional<consensus::DurableState> found;
    if (auto* whole = std::get_if<std::optional<consensus::DurableState>>(&taken)) found = std::move(*whole);
    consensus::Options o;
    o.self = settings_.ip;
    for (const auto& seed : settings_.seeds) o.seeds.push_back(seed.ip);
    o.bootstrap = settings_.bootstrap, o.mayVote = settings_.quorumMember;
    o.machineLosses = settings_.tolerance.machineLosses;
    o.randomSeed = chance_, o.defect = defect_;
    o.heartbeatInterval = kDutyBeat, o.leaseDuration = kDutyLapse;
    spdlog::info("state: {} bootstrap={} counted={} saves={} version={}",
                 found ? "found on disk" : "disk is empty", o.bootstrap, o.mayVote,
                 found ? found->saveCount : 0, found ? found->value.version : 0);
    core_ = std::make_unique<consensus::Core>(loop_.now(), o, std::move(found));
    loop_.watch(keeperFd_, EPOLLIN, this);
    control_ = network::Listener::open(
        loop_, *network::Address::parse(settings_.control->text()),
        [this](int fd, network::Address) {
            uint64_t id = nextVisit_++;
            visits_[id] = std::make_unique<HttpVisit>(loop_, *this, fd, id);
        },
        error);
    if (!control_) return error = settings_.control->text() + ": " + error, false;
    auto inner = network::Address::parse(settings_.ip, static_cast<uint16_t>(settings_.portFirst));
    inner_ = network::Listener::open(
        loop_, *inner,
        [this](int fd, network::Address) {
            uint64_t tag = nextTag_++;
            Guest& g = guests_[tag];
            g.link = Link::adopt(loop_, *this, fd, Span::millis(2500));
            g.link->tag = tag, g.heardAt = loop_.now();
        },
        error);
    if (!inner_) return error = inner->text() + ": " + error, false;
    housekeep();
    pump();
    return true;
}

void Control::newSettings(const configuration::Settings& settings) {
    settings_.seeds = settings.seeds;
    std::vector<std::string> cores;
    for (const auto& seed : settings.seeds) cores.push_back(seed.ip);
    core_->addPeers(loop_.now(), cores);
    pumpSoon();
}

// --- operators ---------------------------------------------------------------------------------------------

void Control::asked(HttpVisit& visit, HttpRequest&& request) {
    commands_.push_back(decode(visit.id(), std::move(request)));
    if (commands_.size() == 1) loop_.soon([this] { runCommands(); });
}

void Control::runCommands() {
    // What the state said is carried out first, so that no command sees a duty that is held while its planner
    // is not there yet: the disk's word comes by woke() and is pumped a turn later. A read also finds the
    // newest value known. Harm: none seen, an empty pull.
    pump();
    auto all = std::move(commands_);
    commands_.clear();
    for (const Command& each : all) std::visit([this](const auto& c) { run(c); }, each);
    pump();
}

void Control::run(const Unknown& c) {
    if (auto v = visits_.find(c.visit); v != visits_.end()) v->second->answer(c.status, "", "");
}

void Control::run(const PutConfiguration& c) {
    ++puts_;
    auto visit = visits_.find(c.visit);
    if (visit == visits_.end()) return;
    auto read = configuration::readConfiguration(c.text);
    if (auto* problem = std::get_if<network::Problem>(&read)) {
        ++invalid_;
        spdlog::info("configuration refused: {}", problem->line());
        return visit->second->answer(400, kJson, json(problem->line()));
    }
    const auto& configuration = std::get<0>(read);
    auto value = std::make_shared<consensus::Value>();
    value->version = configuration->version;
    value->digest = configuration::digest(c.text);
    value->body = configuration::packed(c.text);  // as disks and links of cores carry it
    // Refused at once where no majority can be reached, so that the operator goes on to another core. What
    // the state would say only after its operationTimeout is over.
    if (core_->isCutOff(loop_.now())) return noMajority(*visit->second, "configuration write");
    uint64_t ticket = nextTicket_++;
    const int64_t version = value->version;
    tickets_[ticket] = {c.visit, true, version};
    core_->write(loop_.now(), ticket, std::move(value));
}

void Control::run(const GetConfiguration& c) {
    ++gets_;
    auto visit = visits_.find(c.visit);
    if (visit != visits_.end() && core_->isCutOff(loop_.now()))
        return noMajority(*visit->second, "configuration read");
    uint64_t ticket = nextTicket_++;
    tickets_[ticket] = {c.visit, false, 0};
    core_->read(loop_.now(), ticket);
}

void Control::run(const ChangeVoters& c) {
    if (!visits_.count(c.visit)) return;
    uint64_t ticket = nextTicket_++;
    tickets_[ticket] = {c.visit, false, 0, true};
    core_->changeVoters(loop_.now(), ticket, c.gone, c.come);
}

void Control::noMajority(HttpVisit& visit, const char* what) {
    ++noMajority_;
    spdlog::warn("{}: no majority of the disks can be reached", what);
    visit.answer(503, std::string(kJson) + "Retry-After: 0.3\r\n",
                 json("no majority of the disks answered in time"));
}

void Control::answered(const consensus::OperationResult& a) {
    auto found = tickets_.find(a.ticket);
    if (found == tickets_.end()) return;
    Ticket t = found->second;
    tickets_.erase(found);
    auto visit = visits_.find(t.visit);
    if (visit == visits_.end()) return;
    if (a.outcome == consensus::OperationResult::refused) {
        spdlog::info("voters: change refused: {}", a.reason);
        return visit->second->answer(409, kJson, json(a.reason));
    }
    if (t.voters && a.outcome == consensus::OperationResult::done) {
        std::string all;
        for (const auto& ip : core_->voters()) all += (all.empty() ? "\"" : ",\"") + ip + "\"";
        spdlog::info("voters: epoch {} is at work: {}", core_->epoch(), all);
        return visit->second->answer(
            200, kJson, "{\"epoch\":" + std::to_string(core_->epoch()) + ",\"voters\":[" + all + "]}");
    }
    if (a.outcome == consensus::OperationResult::conflict) {
        ++conflicts_;
        spdlog::warn("configuration {}: refused, another text is in force under this version", t.version);
        return visit->second->answer(
            409, kJson,
            json("version " + std::to_string(t.version) + " has another text; take a higher one"));
    }
    if (a.outcome != consensus::OperationResult::done) {
        const char* what = t.voters ? "voters change" : t.put ? "configuration write" : "configuration read";
        return noMajority(*visit->second, what);
    }
    if (t.put) {
        ++acked_;
        spdlog::info("configuration {} acknowledged", t.version);
        return visit->second->answer(
            200, kJson,
            "{\"config_version\":" + std::to_string(a.value ? a.value->version : t.version) + "}");
    }
    if (!a.value) return visit->second->answer(404, kJson, json("no configuration yet"));
    auto text = configuration::unpackedOrPlain(a.value->body, network::kMostConfiguration);
    if (!text) return noMajority(*visit->second, "configuration unpack");
    visit->second->answer(200, kJson, *text);
}

void Control::left(HttpVisit& visit) {
    auto found = visits_.find(visit.id());
    if (found == visits_.end()) return;
    loop_.bury(std::move(found->second));
    visits_.erase(found);
}

// --- the state and its outputs -----------------------------------------------------------------------------

void Control::woke(uint32_t) {
    uint64_t count = 0;
    (void)!read(keeperFd_, &count, sizeof count);
    for (const auto& result : keeper_->takeOutcomes()) {
        if (result.ok) {
            saveFailedLast_ = false;
            core_->handleSaved(loop_.now(), result.token);
        } else {
            ++saveFailures_, saveFailedLast_ = true;
            spdlog::error("state: {}", result.error);
            core_->handleSaveFailure(loop_.now(), result.token);
        }
    }
    pumpSoon();
}

void Control::pumpSoon() {
    if (pumping_) return;
    pumping_ = true;
    loop_.soon([this] { pump(); });
}

void Control::pump() {
    pumping_ = false;
    while (auto output = core_->nextOutput()) {
        if (auto* s = std::get_if<consensus::SendRequest>(&*output))
            toPeer(s->to, s->message);
        else if (auto* s = std::get_if<consensus::SaveRequest>(&*output))
            ++saves_, keeper_->save(std::move(*s));
        else if (auto* a = std::get_if<consensus::OperationResult>(&*output))
            answered(*a);
        else if (auto* n = std::get_if<consensus::ValueChosen>(&*output))
            news(n->value);
        else if (auto* d = std::get_if<consensus::Lease>(&*output))
            duty(*d);
    }
    followContact();
    followRebuilding();
    arm();
}

void Control::arm() {
    // What is armed sooner stays. Against calls that come faster than the millisecond: each of them used to
    // put the core's next turn off by one more, so no duty was won, renewed or told while they lasted. Harm:
    // a turn for nothing where the core meanwhile has more time.
    Instant wake = std::max(core_->nextWakeup(), loop_.now() + Span::millis(1));
    if (timer_ != 0 && armedFor_ <= wake) return;
    loop_.cancel(timer_);
    armedFor_ = wake;
    timer_ = loop_.at(wake, [this] {
        timer_ = 0;
        core_->tick(loop_.now());
        pump();
    });
}

void Control::toPeer(const std::string& ip, const consensus::Message& message) {
    Peer& peer = peers_[ip];
    std::string bytes = consensus::encode(message);
    if (peer.link && peer.link->isUp()) {
        // What a peer does not read is not piled up: the core's messages are said again.
        if (peer.link->unsent() < (1u << 20)) peer.link->send(Kind::coreMessage, bytes);
        return;
    }
    if (peer.waiting.size() < 16) peer.waiting.push_back(std::move(bytes));
    if (loop_.now() - peer.triedAt < kConnectAgain) return;
    // To a machine that is still dark a connection's first packet is lost, and is sent again after a second
    // only: so long all cores that came back would be without a majority.
    if (peer.link) peer.link->close(), loop_.bury(std::move(peer.link));
    peer.triedAt = loop_.now();
    auto to = network::Address::parse(ip, static_cast<uint16_t>(settings_.portFirst));
    if (to) peer.link = Link::connect(loop_, *this, *to, Span::millis(1500));
    if (peer.link) peer.link->tag = 0;
}

void Control::news(const std::shared_ptr<const consensus::Value>& value) {
    if (!value || (value_ && !value->isNewerThan(*value_))) return;
    auto text = configuration::unpackedOrPlain(value->body, network::kMostConfiguration);
    if (!text || configuration::digest(*text) != value->digest)
        return spdlog::error("configuration {}: register: can't be unpacked", value->version);
    value_ = value;
    configuration_ = configuration::trusted(*text);
    texts_.adopt({value->version, value->digest}, std::move(*text));
    spdlog::info("configuration {} lies on a majority", value->version);
    if (scalerHost_ && configuration_) scalerHost_->configured(*configuration_);
    beatSoon();
}

void Control::duty(const consensus::Lease& d) {
    bool was = duty_.held;
    uint64_t term = duty_.term;
    duty_ = d;
    if (was && d.held && d.term > term) {  // voted for again: nobody else has held it in between
        spdlog::info("startup duty won again, term {}", d.term);
        scalerHost_->renewed(d.term);
    } else if (was && !d.held) {
        scalerHost_->logCounters();
        scalerHost_.reset();
        reports_.clear();  // they were for this term
        spdlog::info("startup duty of term {} given up", term);
    }
    if (d.held && !scalerHost_) {
        spdlog::info("startup duty won, term {}", d.term);
        scalerHost_ =
            std::make_unique<ScalerHost>(loop_, settings_, d.term, chance_ + static_cast<uint32_t>(d.term),
                                         [this](const std::string& sender, const scaler::Grants& grants) {
                                             auto tag = agentByName_.find(sender);
                                             if (tag == agentByName_.end()) return;
                                             auto guest = guests_.find(tag->second);
                                             if (guest != guests_.end())
                                                 guest->second.link->say(Kind::grants, grants);
                                         });
        if (configuration_) scalerHost_->configured(*configuration_);
        for (auto& [name, tag] : agentByName_) scalerHost_->linked(name, guests_[tag].hello.zone);
    }
    beatSoon();
}

// --- agents and fellows ------------------------------------------------------------------------------------

void Control::sendConfig(Link& link, configuration::TextId base) {
    if (texts_.any()) link.say(Kind::config, texts_.configFor(base));
}

void Control::beatSoon() {
    if (beating_) return;
    beating_ = true;
    loop_.soon([this] {
        beating_ = false;
        beatAgents();
    });
}

void Control::beatAgents() {
    beatAt_ = loop_.now();
    for (auto& [tag, guest] : guests_)
        if (guest.agent) beatAgent(guest);
}

void Control::beatAgent(Guest& guest) {
    guest.link->say(
        Kind::beat,
        network::Beat{value_ ? value_->version : 0, value_ ? value_->digest : 0, duty_.term, duty_.holder,
                      static_cast<uint32_t>(agentByName_.size()), core_->isInContact(loop_.now())});
}

void Control::welcome(Guest& guest) {
    network::Welcome w;
    w.cores = knownCores();
    w.zone = settings_.zone;
    for (const auto& [name, tag] : agentByName_) {
        if (w.senders.size() >= 16) break;
        const network::Hello& h = guests_[tag].hello;
        if (name != guest.hello.name) w.senders.push_back({h.name, h.ip, h.zone, h.life});
    }
    guest.link->say(Kind::welcome, w);
    beatAgent(guest);
}

std::vector<std::string> Control::knownCores() const {
    std::vector<std::string> cores = core_->peers();
    cores.push_back(settings_.ip);
    return cores;
}

// Against agents that know none of the cores any more once each of those that they were told of has been
// replaced: a link that stays up brings no second welcome, and a core that has never held the lease is told
// of by nobody else. It harms by one small message to each agent for each change of the cores.
void Control::followCores() {
    std::vector<std::string> cores = knownCores();
    if (cores == toldCores_) return;
    toldCores_ = std::move(cores);
    network::Welcome w;
    w.cores = toldCores_;
    w.zone = settings_.zone;
    for (auto& [tag, guest] : guests_)
        if (guest.agent) guest.link->say(Kind::welcome, w);
    for (auto it = peers_.begin(); it != peers_.end();) {
        const bool known = std::find(toldCores_.begin(), toldCores_.end(), it->first) != toldCores_.end();
        if (!known && it->second.link) it->second.link->close(), loop_.bury(std::move(it->second.link));
        it = known ? std::next(it) : peers_.erase(it);
    }
}

void Control::linkUp(Link& link) {
    for (auto& [ip, peer] : peers_) {
        if (peer.link.get() != &link) continue;
        link.say(Kind::coreHello, network::CoreHello{settings_.ip});
        for (const std::string& bytes : peer.waiting) link.send(Kind::coreMessage, bytes);
        peer.waiting.clear();
    }
}

void Control::frame(Link& link, Kind kind, std::string_view payload) {
    auto found = guests_.find(link.tag);
    if (link.tag == 0 || found == guests_.end()) return;
    Guest& guest = found->second;
    guest.heardAt = loop_.now();
    switch (kind) {
        case Kind::coreHello:
            if (auto h = network::unpacked<network::CoreHello>(payload)) guest.coreIp = h->ip;
            break;
        case Kind::coreMessage:
            if (guest.coreIp.empty()) break;
            if (auto m = consensus::decode(payload))
                core_->receive(loop_.now(), guest.coreIp, *m), pumpSoon();
            break;
        case Kind::hello: {
            auto h = network::unpacked<network::Hello>(payload);
            if (!h) break;
            auto earlier = agentByName_.find(h->name);
            if (earlier != agentByName_.end() && earlier->second != link.tag) {
                auto old = guests_.find(earlier->second);  // its former link, not yet known to be dead
                if (old != guests_.end()) {
                    if (scalerHost_) scalerHost_->unlinked(h->name, old->second.hello.life != h->life);
                    old->second.agent = false;
                    old->second.link->close();
                    loop_.bury(std::move(old->second.link));
                    guests_.erase(old);
                }
            }
            guest.agent = true, guest.hello = *h, guest.version = h->version;
            agentByName_[h->name] = link.tag;
            welcome(guest);
            if (scalerHost_) scalerHost_->linked(h->name, h->zone);
            break;
        }
        case Kind::beat:
            if (auto b = network::unpacked<network::Beat>(payload)) guest.version = b->version;
            break;
        case Kind::want:
            if (auto b = network::unpacked<network::Beat>(payload);
                b && value_ && b->version <= value_->version)
                sendConfig(link, {b->version, b->digest});
            break;
        case Kind::report:
            if (!scalerHost_ || !guest.agent) break;
            reports_.push(loop_.now(), link.tag, payload);
            reportsSoon(loop_.now());
            break;
        default:
            break;
    }
}

void Control::reportsSoon(Instant at) {
    if (reporting_) return;
    reporting_ = true;
    loop_.at(at, [this] { takeReports(); });
}

void Control::takeReports() {
    reporting_ = false;
    reports_.turn([this](uint64_t tag, const std::string& payload) {
        // Of a link that ended: the sender's next link begins with a whole report of its own.
        auto guest = guests_.find(tag);
        if (!scalerHost_ || guest == guests_.end() || !guest->second.agent) return;
        auto r = network::unpacked<scaler::Report>(payload);
        if (r) scalerHost_->reported(guest->second.hello.name, *r);
    });
    // Who seems to say nothing may have said it here, where it waits.
    if (scalerHost_ && reports_.age(loop_.now()) > kBehind) scalerHost_->behind();
    // In the next round, after what has come for the duty meanwhile.
    if (!reports_.empty()) reportsSoon(std::max(network::Loop::clock(), loop_.now() + Span::micros(1)));
}

void Control::linkDown(Link& link, bool closed) {
    for (auto& [ip, peer] : peers_) {
        if (peer.link.get() != &link) continue;
        link.close();
        loop_.bury(std::move(peer.link));
        peer.waiting.clear();
        core_->handleLinkLoss(loop_.now(), ip);
        return pumpSoon();
    }
    auto found = guests_.find(link.tag);
    if (found == guests_.end()) return;
    Guest guest = std::move(found->second);
    guests_.erase(found);
    guest.link->close();
    loop_.bury(std::move(guest.link));
    if (guest.agent) {
        ++agentBreaks_;
        auto named = agentByName_.find(guest.hello.name);
        if (named != agentByName_.end() && named->second == link.tag) agentByName_.erase(named);
        if (scalerHost_) scalerHost_->unlinked(guest.hello.name, closed);
    }
    if (!guest.coreIp.empty()) core_->handleLinkLoss(loop_.now(), guest.coreIp), pumpSoon();
}

// Agents are told at once. Against a start of all: those without a configuration ask only a core that is in
// contact, and waited for its next heartbeat. Harm: one heartbeat more to each agent.
void Control::followContact() {
    if (core_->isInContact(loop_.now()) == inContact_) return;
    inContact_ = !inContact_;
    spdlog::info("state: {} with a majority of the cores", inContact_ ? "in contact" : "out of contact");
    beatSoon();
}

// Two disks that wait for each other look like a cut otherwise: both only say that no majority is reached.
void Control::followRebuilding() {
    if (core_->isRecovering() == rebuilding_) return;
    rebuilding_ = !rebuilding_;
    spdlog::info("state: {}", rebuilding_
                                  ? "this disk counts as lost and waits to be rebuilt by other members"
                                  : "this disk counts again");
}

// An alarm: where more disks are lost than a majority can be rebuilt from, nothing is acknowledged any more
// until one of them is brought back, and all else looks like a cut. Not at once: a change of the voters looks
// alike for some round trips, and disks that are lost before the voters are known may be begun anew.
void Control::followLostVoters() {
    const Instant now = loop_.now();
    const auto voters = static_cast<int>(core_->voters().size());
    const int lost = core_->lostVoterCount(now);
    if (lost <= (voters - 1) / 2) {
        if (tooManyLostTold_) spdlog::info("state: a majority of the disks is whole again");
        tooManyLostSince_ = Instant::never();
        tooManyLostTold_ = false;
        return;
    }
    if (tooManyLostSince_ == Instant::never()) tooManyLostSince_ = now;
    if (tooManyLostTold_ || now - tooManyLostSince_ < kLostForGood) return;
    tooManyLostTold_ = true;
    spdlog::error("state: {} of {} disks count as lost: nothing is acknowledged until one is brought back",
                  lost, voters);
}

void Control::housekeep() {
    Instant now = loop_.now();
    std::vector<HttpVisit*> all;
    for (auto& [id, visit] : visits_) all.push_back(visit.get());
    for (HttpVisit* visit : all) visit->look();
    std::vector<Link*> silent;
    for (auto& [tag, guest] : guests_)
        if (guest.agent && now - guest.heardAt > kAgentSilence) silent.push_back(guest.link.get());
    for (Link* link : silent) linkDown(*link, false);
    followCores();
    if (now - beatAt_ >= (duty_.held ? kHolderBeat : kAgentBeat)) beatAgents();
    if (now >= logAt_) logAt_ = now + Span::seconds(10), logCounters();
    followContact();
    followLostVoters();
    if (leaving_) mayEnd();
    loop_.at(now + Span::millis(250), [this] { housekeep(); });
}

void Control::leave() {
    if (leaving_) return;
    leaving_ = true, leavingSince_ = loop_.now();
    core_->beginLeave(loop_.now());
    pump();
    for (auto& [id, visit] : visits_) visit->closeWhenIdle();
}

void Control::mayEnd() {
    Span lasts = loop_.now() - leavingSince_;
    const bool dispensable = lasts > Span::millis(500) && core_->mayLeave(loop_.now());
    if ((tickets_.empty() && dispensable) || lasts > settings_.bounds.grace - Span::millis(800)) {
        logCounters();
        loop_.stop();
    }
}

void Control::logCounters() const {
    spdlog::info(
        "counters puts={} acknowledged={} invalid={} conflicts={} no_majority={} gets={} agents={} "
        "agent_breaks={} "
        "peers={} saves={} "
        "save_failures={} voters={} recovering={} told={} lost_voters={} claims={} version={} term={} "
        "holder={}",
        puts_, acked_, invalid_, conflicts_, noMajority_, gets_, agentByName_.size(), agentBreaks_,
        core_->peers().size(), saves_, saveFailures_, core_->voters().size(), core_->isRecovering(),
        core_->recoverReplyCount(), core_->lostVoterCount(loop_.now()), core_->listedClaimCount(),
        value_ ? value_->version : 0, duty_.term, duty_.holder);
    if (scalerHost_) scalerHost_->logCounters();
}

}  // namespace petrelpond::control_plane
