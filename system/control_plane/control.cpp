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

const Span kAgentHeartbeatInterval = Span::millis(500);
const Span kHolderHeartbeatInterval =
    Span::millis(200);  // sent by the holder: senders must detect its loss soon
const Span kAgentSilenceTimeout =
    Span::millis(3000);  // an agent silent for this long is unlinked, its slots may be reassigned

std::string errorBody(const std::string& cause) {
    std::string out = "{\"cause\":\"";
    for (char c : cause) {
        if (c == '"' || c == '\\') out += '\\';
        if (static_cast<unsigned char>(c) >= 0x20) out += c;
    }
    return out + "\"}";
}

// Without a holder no instances are started, so the lease is short, but longer than several round trips
// between regions plus the pauses of a small machine. A needless election costs the new holder's learning
// time, about 0.2 s.
const Span kDutyHeartbeatInterval = Span::millis(150);
const Span kDutyLeaseTime = Span::millis(700);

const Span kReconnectInterval = Span::millis(250);  // several round trips between regions

const Span kMaxReportAge =
    Span::millis(200);  // if reports wait longer than this, senders' silence is not held against them

// Texts kept as bases of deltas: enough for a sender that was away for a few seconds of rapid changes. A
// sender with an older one gets the full text.
constexpr size_t kMaxConfigBases = 8;

const Span kMajorityLossDelay =
    Span::seconds(5);  // delay before the loss of a majority of disks is logged; a rebuild takes 1.2 s

const Span kStopBeforeKill = Span::millis(800);  // a core that leaves ends by then

constexpr const char* kJsonHeader = "Content-Type: application/json\r\n";

// Parses {"gone":["10.0.0.4"],"come":["10.0.0.9"]}: ips, either may be omitted. Empty if malformed.
std::optional<ChangeVoters> parseVotersChange(uint64_t visit, const std::string& body) {
    rapidjson::Document d;
    d.Parse<rapidjson::kParseIterativeFlag>(body.c_str(), body.size());
    if (d.HasParseError() || !d.IsObject() || d.MemberCount() == 0) return {};
    ChangeVoters out{visit, {}, {}};
    for (const auto& m : d.GetObject()) {
        const std::string name(m.name.GetString(), m.name.GetStringLength());
        auto* ips = name == "gone" ? &out.removed : name == "come" ? &out.added : nullptr;
        if (!ips || !m.value.IsArray() || m.value.Size() > 32) return {};
        for (const auto& each : m.value.GetArray()) {
            if (!each.IsString() || !network::Address::parse(each.GetString(), 1)) return {};
            ips->emplace_back(each.GetString());
        }
    }
    return out;
}

}  // namespace

Command decodeCommand(uint64_t visit, HttpRequest&& request) {
    std::string_view path = request.target().substr(0, request.target().find('?'));
    if (path == "/status" && request.method() == "GET") return GetStatus{visit};
    if (path == "/voters" && request.method() == "POST") {
        if (auto change = parseVotersChange(visit, request.body)) return *change;
        return InvalidRequest{visit, 400};
    }
    if (path != "/configuration")
        return InvalidRequest{visit, path == "/status" || path == "/voters" ? 405 : 404};
    if (request.method() == "PUT") return PutConfiguration{visit, std::move(request.body)};
    if (request.method() == "GET") return GetConfiguration{visit};
    return InvalidRequest{visit, 405};
}

Control::Control(network::Loop& loop, const configuration::Settings& settings, uint32_t randomSeed,
                 consensus::Defect defect)
    : loop_(loop), settings_(settings), configTexts_(kMaxConfigBases), lastHeartbeatAt_(loop.now()),
      randomSeed_(randomSeed), defect_(defect) {
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
            if (!std::exchange(told, true)) spdlog::warn("state: {}: retrying until it can be read", why);
            consensus::StateStore::waitReadRetryDelay(why);
        });
    auto taken = keeper_->takeLoaded();
    if (auto* problem = std::get_if<network::Problem>(&taken))
        spdlog::error("{}; this machine's copy of the state counts as lost", problem->line());
    std::optional<consensus::DurableState> found;
    if (auto* whole = std::get_if<std::optional<consensus::DurableState>>(&taken)) found = std::move(*whole);
    consensus::Options o;
    o.self = settings_.ip;
    for (const auto& seed : settings_.seeds) o.seeds.push_back(seed.ip);
    o.bootstrap = settings_.bootstrap, o.mayVote = settings_.quorumMember;
    o.machineLosses = settings_.tolerance.machineLosses;
    o.randomSeed = randomSeed_, o.defect = defect_;
    o.heartbeatInterval = kDutyHeartbeatInterval, o.leaseDuration = kDutyLeaseTime;
    spdlog::info("state: {} bootstrap={} counted={} saves={} version={}",
                 found ? "found on disk" : "disk is empty", o.bootstrap, o.mayVote,
                 found ? found->saveCount : 0, found ? found->value.version : 0);
    core_ = std::make_unique<consensus::Core>(loop_.now(), o, std::move(found));
    loop_.watch(keeperFd_, EPOLLIN, this);
    controlListener_ = network::Listener::open(
        loop_, *network::Address::parse(settings_.control->text()),
        [this](int fd, network::Address) {
            uint64_t id = nextVisit_++;
            visits_[id] = std::make_unique<HttpVisit>(loop_, *this, fd, id);
        },
        error);
    if (!controlListener_) return error = settings_.control->text() + ": " + error, false;
    auto inner = network::Address::parse(settings_.ip, static_cast<uint16_t>(settings_.portFirst));
    coreListener_ = network::Listener::open(
        loop_, *inner,
        [this](int fd, network::Address) {
            uint64_t tag = nextTag_++;
            InboundLink& g = inboundLinks_[tag];
            g.link = Link::adopt(loop_, *this, fd, Span::millis(2500));
            g.link->tag = tag, g.lastHeardAt = loop_.now();
        },
        error);
    if (!coreListener_) return error = inner->text() + ": " + error, false;
    housekeep();
    pump();
    return true;
}

void Control::applySettings(const configuration::Settings& settings) {
    settings_.seeds = settings.seeds;
    std::vector<std::string> cores;
    for (const auto& seed : settings.seeds) cores.push_back(seed.ip);
    core_->addPeers(loop_.now(), cores);
    schedulePump();
}

// --- operator requests ---

void Control::asked(HttpVisit& visit, HttpRequest&& request) {
    commands_.push_back(decodeCommand(visit.id(), std::move(request)));
    if (commands_.size() == 1) loop_.soon([this] { runCommands(); });
}

void Control::runCommands() {
    // Outputs of the consensus core are processed first, so that no command sees a held duty without its
    // planner: finished saves arrive in woke() and are pumped a turn later. A read also gets the newest known
    // value. Drawback: only an extra call when there is no output.
    pump();
    auto all = std::move(commands_);
    commands_.clear();
    for (const Command& each : all) std::visit([this](const auto& c) { run(c); }, each);
    pump();
}

void Control::run(const InvalidRequest& c) {
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
        return visit->second->answer(400, kJsonHeader, errorBody(problem->line()));
    }
    const auto& configuration = std::get<0>(read);
    auto value = std::make_shared<consensus::Value>();
    value->version = configuration->version;
    value->digest = configuration::digest(c.text);
    value->body = configuration::packed(c.text);  // compressed, as stored and sent between cores
    // Rejected at once when no majority can be reached, so that the operator tries another core instead of
    // waiting for the operationTimeout.
    if (core_->isCutOff(loop_.now())) return answerNoMajority(*visit->second, "configuration write");
    uint64_t ticket = nextOperation_++;
    const int64_t version = value->version;
    pendingOperations_[ticket] = {c.visit, true, version};
    core_->write(loop_.now(), ticket, std::move(value));
}

void Control::run(const GetConfiguration& c) {
    ++gets_;
    auto visit = visits_.find(c.visit);
    if (visit != visits_.end() && core_->isCutOff(loop_.now()))
        return answerNoMajority(*visit->second, "configuration read");
    uint64_t ticket = nextOperation_++;
    pendingOperations_[ticket] = {c.visit, false, 0};
    core_->read(loop_.now(), ticket);
}

void Control::run(const ChangeVoters& c) {
    if (!visits_.count(c.visit)) return;
    uint64_t ticket = nextOperation_++;
    pendingOperations_[ticket] = {c.visit, false, 0, true};
    core_->changeVoters(loop_.now(), ticket, c.removed, c.added);
}

void Control::answerNoMajority(HttpVisit& visit, const char* what) {
    ++noMajority_;
    spdlog::warn("{}: no majority of the disks can be reached", what);
    visit.answer(503, std::string(kJsonHeader) + "Retry-After: 0.3\r\n",
                 errorBody("no majority of the disks answered in time"));
}

void Control::onAnswer(const consensus::OperationResult& a) {
    auto found = pendingOperations_.find(a.ticket);
    if (found == pendingOperations_.end()) return;
    PendingOperation t = found->second;
    pendingOperations_.erase(found);
    auto visit = visits_.find(t.visit);
    if (visit == visits_.end()) return;
    if (a.outcome == consensus::OperationResult::refused) {
        spdlog::info("voters: change refused: {}", a.reason);
        return visit->second->answer(409, kJsonHeader, errorBody(a.reason));
    }
    if (t.voters && a.outcome == consensus::OperationResult::done) {
        std::string all;
        for (const auto& ip : core_->voters()) all += (all.empty() ? "\"" : ",\"") + ip + "\"";
        spdlog::info("voters: epoch {} is in effect: {}", core_->epoch(), all);
        return visit->second->answer(
            200, kJsonHeader, "{\"epoch\":" + std::to_string(core_->epoch()) + ",\"voters\":[" + all + "]}");
    }
    if (a.outcome == consensus::OperationResult::conflict) {
        ++conflicts_;
        spdlog::warn("configuration {}: refused, this version already has another text", t.version);
        return visit->second->answer(
            409, kJsonHeader,
            errorBody("version " + std::to_string(t.version) + " has another text; take a higher one"));
    }
    if (a.outcome != consensus::OperationResult::done) {
        const char* what = t.voters ? "voters change" : t.put ? "configuration write" : "configuration read";
        return answerNoMajority(*visit->second, what);
    }
    if (t.put) {
        ++acknowledged_;
        spdlog::info("configuration {} acknowledged", t.version);
        return visit->second->answer(
            200, kJsonHeader,
            "{\"config_version\":" + std::to_string(a.value ? a.value->version : t.version) + "}");
    }
    if (!a.value) return visit->second->answer(404, kJsonHeader, errorBody("no configuration yet"));
    auto text = configuration::unpackedOrPlain(a.value->body, network::kMostConfiguration);
    if (!text) return answerNoMajority(*visit->second, "configuration unpack");
    visit->second->answer(200, kJsonHeader, *text);
}

void Control::left(HttpVisit& visit) {
    auto found = visits_.find(visit.id());
    if (found == visits_.end()) return;
    loop_.bury(std::move(found->second));
    visits_.erase(found);
}

// --- consensus core and its outputs ---

void Control::woke(uint32_t) {
    uint64_t count = 0;
    (void)!read(keeperFd_, &count, sizeof count);
    for (const auto& result : keeper_->takeOutcomes()) {
        if (result.ok) {
            lastSaveFailed_ = false;
            core_->handleSaved(loop_.now(), result.token);
        } else {
            ++saveFailures_, lastSaveFailed_ = true;
            spdlog::error("state: {}", result.error);
            core_->handleSaveFailure(loop_.now(), result.token);
        }
    }
    schedulePump();
}

void Control::schedulePump() {
    if (isPumpScheduled_) return;
    isPumpScheduled_ = true;
    loop_.soon([this] { pump(); });
}

void Control::pump() {
    isPumpScheduled_ = false;
    while (auto output = core_->nextOutput()) {
        if (auto* s = std::get_if<consensus::SendRequest>(&*output))
            sendToCore(s->to, s->message);
        else if (auto* s = std::get_if<consensus::SaveRequest>(&*output))
            ++saves_, keeper_->save(std::move(*s));
        else if (auto* a = std::get_if<consensus::OperationResult>(&*output))
            onAnswer(*a);
        else if (auto* n = std::get_if<consensus::ValueChosen>(&*output))
            onValue(n->value);
        else if (auto* d = std::get_if<consensus::Lease>(&*output))
            onDuty(*d);
    }
    checkContact();
    checkRebuilding();
    armTimer();
}

void Control::armTimer() {
    // An earlier timer is kept. When requests came faster than one per millisecond, each of them delayed the
    // core's next tick by another one, so the duty was not won, renewed or announced meanwhile. Drawback: a
    // needless tick when the core's deadline has moved back.
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

void Control::sendToCore(const std::string& ip, const consensus::Message& message) {
    OutboundLink& outbound = outboundLinks_[ip];
    std::string bytes = consensus::encode(message);
    if (outbound.link && outbound.link->isUp()) {
        // Messages to a peer that does not read are dropped: the core repeats them.
        if (outbound.link->unsent() < (1u << 20)) outbound.link->send(Kind::coreMessage, bytes);
        return;
    }
    if (outbound.unsentMessages.size() < 16) outbound.unsentMessages.push_back(std::move(bytes));
    if (loop_.now() - outbound.connectTriedAt < kReconnectInterval) return;
    // The first packet to a machine that is still down is lost and retransmitted only after a second, and for
    // that long the recovered cores would have no majority. So the connection is opened anew.
    if (outbound.link) outbound.link->close(), loop_.bury(std::move(outbound.link));
    outbound.connectTriedAt = loop_.now();
    auto to = network::Address::parse(ip, static_cast<uint16_t>(settings_.portFirst));
    if (to) outbound.link = Link::connect(loop_, *this, *to, Span::millis(1500));
    if (outbound.link) outbound.link->tag = 0;
}

void Control::onValue(const std::shared_ptr<const consensus::Value>& value) {
    if (!value || (committedValue_ && !value->isNewerThan(*committedValue_))) return;
    auto text = configuration::unpackedOrPlain(value->body, network::kMostConfiguration);
    if (!text || configuration::digest(*text) != value->digest)
        return spdlog::error("configuration {}: the committed value cannot be unpacked", value->version);
    committedValue_ = value;
    configuration_ = configuration::trusted(*text);
    configTexts_.adopt({value->version, value->digest}, std::move(*text));
    spdlog::info("configuration {} lies on a majority", value->version);
    if (scalerHost_ && configuration_) scalerHost_->onConfiguration(*configuration_);
    scheduleHeartbeats();
}

void Control::onDuty(const consensus::Lease& d) {
    bool was = duty_.held;
    uint64_t term = duty_.term;
    duty_ = d;
    if (was && d.held && d.term > term) {  // re-elected: no other core held it in between
        spdlog::info("startup duty won again, term {}", d.term);
        scalerHost_->onTermRenewed(d.term);
    } else if (was && !d.held) {
        scalerHost_->logCounters();
        scalerHost_.reset();
        reportBacklog_.clear();  // they belong to the old term
        spdlog::info("startup duty of term {} lost or released", term);
    }
    if (d.held && !scalerHost_) {
        spdlog::info("startup duty won, term {}", d.term);
        scalerHost_ = std::make_unique<ScalerHost>(
            loop_, settings_, d.term, randomSeed_ + static_cast<uint32_t>(d.term),
            [this](const std::string& sender, const scaler::Grants& grants) {
                auto tag = agentByName_.find(sender);
                if (tag == agentByName_.end()) return;
                auto inbound = inboundLinks_.find(tag->second);
                if (inbound != inboundLinks_.end()) inbound->second.link->say(Kind::grants, grants);
            });
        if (configuration_) scalerHost_->onConfiguration(*configuration_);
        for (auto& [name, tag] : agentByName_)
            scalerHost_->onSenderLinked(name, inboundLinks_[tag].hello.zone);
    }
    scheduleHeartbeats();
}

// --- agents and other cores ---

void Control::sendConfig(Link& link, configuration::TextId base) {
    if (configTexts_.any()) link.say(Kind::config, configTexts_.configFor(base));
}

void Control::scheduleHeartbeats() {
    if (isHeartbeatScheduled_) return;
    isHeartbeatScheduled_ = true;
    loop_.soon([this] {
        isHeartbeatScheduled_ = false;
        sendHeartbeats();
    });
}

void Control::sendHeartbeats() {
    lastHeartbeatAt_ = loop_.now();
    for (auto& [tag, inbound] : inboundLinks_)
        if (inbound.isAgent) sendHeartbeat(inbound);
}

void Control::sendHeartbeat(InboundLink& inbound) {
    inbound.link->say(Kind::beat, network::Beat{committedValue_ ? committedValue_->version : 0,
                                                committedValue_ ? committedValue_->digest : 0, duty_.term,
                                                duty_.holder, static_cast<uint32_t>(agentByName_.size()),
                                                core_->isInContact(loop_.now())});
}

void Control::sendWelcome(InboundLink& inbound) {
    network::Welcome w;
    w.cores = knownCores();
    w.zone = settings_.zone;
    for (const auto& [name, tag] : agentByName_) {
        if (w.senders.size() >= 16) break;
        const network::Hello& h = inboundLinks_[tag].hello;
        if (name != inbound.hello.name) w.senders.push_back({h.name, h.ip, h.zone, h.life});
    }
    inbound.link->say(Kind::welcome, w);
    sendHeartbeat(inbound);
}

std::vector<std::string> Control::knownCores() const {
    std::vector<std::string> cores = core_->peers();
    cores.push_back(settings_.ip);
    return cores;
}

// Sends linked agents the new core list when it changes. Otherwise an agent whose link stays up would know no
// core once all those in its first welcome were replaced, as nobody else announces a core that never held the
// lease. Drawback: one small message to each agent per change.
void Control::announceCoreChanges() {
    std::vector<std::string> cores = knownCores();
    if (cores == announcedCores_) return;
    announcedCores_ = std::move(cores);
    network::Welcome w;
    w.cores = announcedCores_;
    w.zone = settings_.zone;
    for (auto& [tag, inbound] : inboundLinks_)
        if (inbound.isAgent) inbound.link->say(Kind::welcome, w);
    for (auto it = outboundLinks_.begin(); it != outboundLinks_.end();) {
        const bool known =
            std::find(announcedCores_.begin(), announcedCores_.end(), it->first) != announcedCores_.end();
        if (!known && it->second.link) it->second.link->close(), loop_.bury(std::move(it->second.link));
        it = known ? std::next(it) : outboundLinks_.erase(it);
    }
}

void Control::linkUp(Link& link) {
    for (auto& [ip, outbound] : outboundLinks_) {
        if (outbound.link.get() != &link) continue;
        link.say(Kind::coreHello, network::CoreHello{settings_.ip});
        for (const std::string& bytes : outbound.unsentMessages) link.send(Kind::coreMessage, bytes);
        outbound.unsentMessages.clear();
    }
}

void Control::frame(Link& link, Kind kind, std::string_view payload) {
    auto found = inboundLinks_.find(link.tag);
    if (link.tag == 0 || found == inboundLinks_.end()) return;
    InboundLink& inbound = found->second;
    inbound.lastHeardAt = loop_.now();
    switch (kind) {
        case Kind::coreHello:
            if (auto h = network::unpacked<network::CoreHello>(payload)) inbound.coreIp = h->ip;
            break;
        case Kind::coreMessage:
            if (inbound.coreIp.empty()) break;
            if (auto m = consensus::decode(payload))
                core_->receive(loop_.now(), inbound.coreIp, *m), schedulePump();
            break;
        case Kind::hello: {
            auto h = network::unpacked<network::Hello>(payload);
            if (!h) break;
            auto earlier = agentByName_.find(h->name);
            if (earlier != agentByName_.end() && earlier->second != link.tag) {
                auto old =
                    inboundLinks_.find(earlier->second);  // its previous link, not yet detected as dead
                if (old != inboundLinks_.end()) {
                    if (scalerHost_)
                        scalerHost_->onSenderUnlinked(h->name, old->second.hello.life != h->life);
                    old->second.isAgent = false;
                    old->second.link->close();
                    loop_.bury(std::move(old->second.link));
                    inboundLinks_.erase(old);
                }
            }
            inbound.isAgent = true, inbound.hello = *h, inbound.configVersion = h->version;
            agentByName_[h->name] = link.tag;
            sendWelcome(inbound);
            if (scalerHost_) scalerHost_->onSenderLinked(h->name, h->zone);
            break;
        }
        case Kind::beat:
            if (auto b = network::unpacked<network::Beat>(payload)) inbound.configVersion = b->version;
            break;
        case Kind::want:
            if (auto b = network::unpacked<network::Beat>(payload);
                b && committedValue_ && b->version <= committedValue_->version)
                sendConfig(link, {b->version, b->digest});
            break;
        case Kind::report:
            if (!scalerHost_ || !inbound.isAgent) break;
            reportBacklog_.push(loop_.now(), link.tag, payload);
            scheduleReports(loop_.now());
            break;
        default:
            break;
    }
}

void Control::scheduleReports(Instant at) {
    if (isReportTurnScheduled_) return;
    isReportTurnScheduled_ = true;
    loop_.at(at, [this] { processReports(); });
}

void Control::processReports() {
    isReportTurnScheduled_ = false;
    reportBacklog_.processTurn([this](uint64_t tag, const std::string& payload) {
        // Reports of a closed link are dropped: the sender's next link starts with a full report.
        auto inbound = inboundLinks_.find(tag);
        if (!scalerHost_ || inbound == inboundLinks_.end() || !inbound->second.isAgent) return;
        auto r = network::unpacked<scaler::Report>(payload);
        if (r) scalerHost_->onReport(inbound->second.hello.name, *r);
    });
    // A sender that seems silent may have a report in this queue.
    if (scalerHost_ && reportBacklog_.oldestAge(loop_.now()) > kMaxReportAge) scalerHost_->onReportBacklog();
    // In the next turn, after events for the duty that have arrived meanwhile.
    if (!reportBacklog_.empty())
        scheduleReports(std::max(network::Loop::clock(), loop_.now() + Span::micros(1)));
}

void Control::linkDown(Link& link, bool closed) {
    for (auto& [ip, outbound] : outboundLinks_) {
        if (outbound.link.get() != &link) continue;
        link.close();
        loop_.bury(std::move(outbound.link));
        outbound.unsentMessages.clear();
        core_->handleLinkLoss(loop_.now(), ip);
        return schedulePump();
    }
    auto found = inboundLinks_.find(link.tag);
    if (found == inboundLinks_.end()) return;
    InboundLink inbound = std::move(found->second);
    inboundLinks_.erase(found);
    inbound.link->close();
    loop_.bury(std::move(inbound.link));
    if (inbound.isAgent) {
        ++agentLinksLost_;
        auto named = agentByName_.find(inbound.hello.name);
        if (named != agentByName_.end() && named->second == link.tag) agentByName_.erase(named);
        if (scalerHost_) scalerHost_->onSenderUnlinked(inbound.hello.name, closed);
    }
    if (!inbound.coreIp.empty()) core_->handleLinkLoss(loop_.now(), inbound.coreIp), schedulePump();
}

// Sends heartbeats at once when contact with a majority changes. When everything starts at the same time,
// agents without a configuration ask only a core in contact and would wait for its next heartbeat. Drawback:
// one more heartbeat to each agent.
void Control::checkContact() {
    if (core_->isInContact(loop_.now()) == wasInContact_) return;
    wasInContact_ = !wasInContact_;
    spdlog::info("state: {} with a majority of the cores", wasInContact_ ? "in contact" : "out of contact");
    scheduleHeartbeats();
}

// Logs the start and end of a rebuild. Two disks waiting for each other would otherwise look like a network
// partition: both only report that no majority is reached.
void Control::checkRebuilding() {
    if (core_->isRecovering() == wasRebuilding_) return;
    wasRebuilding_ = !wasRebuilding_;
    spdlog::info("state: {}", wasRebuilding_
                                  ? "this disk counts as lost and waits to be rebuilt by other members"
                                  : "this disk counts again");
}

// Logs an error when so many disks are lost that no majority can be rebuilt: nothing is acknowledged until
// one is restored, and otherwise it looks like a network partition. Delayed, because a change of voters looks
// the same for a few round trips, and disks lost before the voters are known may be initialized again.
void Control::checkLostVoters() {
    const Instant now = loop_.now();
    const auto voters = static_cast<int>(core_->voters().size());
    const int lost = core_->lostVoterCount(now);
    if (lost <= (voters - 1) / 2) {
        if (isMajorityLossLogged_) spdlog::info("state: a majority of the disks is available again");
        majorityLostSince_ = Instant::never();
        isMajorityLossLogged_ = false;
        return;
    }
    if (majorityLostSince_ == Instant::never()) majorityLostSince_ = now;
    if (isMajorityLossLogged_ || now - majorityLostSince_ < kMajorityLossDelay) return;
    isMajorityLossLogged_ = true;
    spdlog::error("state: {} of {} disks count as lost: nothing is acknowledged until one is restored", lost,
                  voters);
}

void Control::housekeep() {
    Instant now = loop_.now();
    std::vector<HttpVisit*> all;
    for (auto& [id, visit] : visits_) all.push_back(visit.get());
    for (HttpVisit* visit : all) visit->look();
    std::vector<Link*> silent;
    for (auto& [tag, inbound] : inboundLinks_)
        if (inbound.isAgent && now - inbound.lastHeardAt > kAgentSilenceTimeout)
            silent.push_back(inbound.link.get());
    for (Link* link : silent) linkDown(*link, false);
    announceCoreChanges();
    if (now - lastHeartbeatAt_ >= (duty_.held ? kHolderHeartbeatInterval : kAgentHeartbeatInterval))
        sendHeartbeats();
    if (now >= nextLogAt_) nextLogAt_ = now + Span::seconds(10), logCounters();
    checkContact();
    checkLostVoters();
    if (isLeaving_) stopWhenDone();
    loop_.at(now + Span::millis(250), [this] { housekeep(); });
}

void Control::leave() {
    if (isLeaving_) return;
    isLeaving_ = true, leavingSince_ = loop_.now();
    core_->beginLeave(loop_.now());
    pump();
    for (auto& [id, visit] : visits_) visit->closeWhenIdle();
}

void Control::stopWhenDone() {
    Span lasts = loop_.now() - leavingSince_;
    const bool dispensable = lasts > Span::millis(500) && core_->mayLeave(loop_.now());
    // An answer that is still being written would reach its caller in part.
    const bool isWriting = std::any_of(visits_.begin(), visits_.end(),
                                       [](const auto& each) { return each.second->hasUnsentAnswer(); });
    const bool isIdle = pendingOperations_.empty() && !isWriting;
    if ((isIdle && dispensable) || lasts > settings_.bounds.grace - kStopBeforeKill) {
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
        puts_, acknowledged_, invalid_, conflicts_, noMajority_, gets_, agentByName_.size(), agentLinksLost_,
        core_->peers().size(), saves_, saveFailures_, core_->voters().size(), core_->isRecovering(),
        core_->recoverReplyCount(), core_->lostVoterCount(loop_.now()), core_->listedClaimCount(),
        committedValue_ ? committedValue_->version : 0, duty_.term, duty_.holder);
    if (scalerHost_) scalerHost_->logCounters();
}

}  // namespace petrelpond::control_plane
