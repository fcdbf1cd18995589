#include "fleet/stage_inside.hpp"

#include <signal.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace petrelpond::fleet {

namespace {

constexpr int kListenersMost = 4000, kSendersMost = 240;  // these by the form of the partners' addresses
constexpr double kVoidLateMs = 50;  // the rules' own slack: later than that the judge is no judge

}  // namespace

std::string idFor(RequestNo no) {
    char id[32];
    snprintf(id, sizeof id, "%08x%08x", no, no * 2654435761u);
    return id;
}
std::optional<RequestNo> requestFrom(std::string_view id) {
    if (id.size() != 16) return std::nullopt;
    auto no = static_cast<RequestNo>(strtoul(std::string(id.substr(0, 8)).c_str(), nullptr, 16));
    return idFor(no) == id ? std::optional(no) : std::nullopt;
}
std::string bodyFor(RequestNo no, int size) {
    std::string body = idFor(no);
    body.resize(static_cast<size_t>(size), static_cast<char>('a' + no % 26));
    return body;
}
uint32_t hostOf(int sender, uint32_t endpoint) {
    uint32_t at = endpoint + 1;
    return 127u << 24 | static_cast<uint32_t>(10 + sender) << 16 | (at >> 8) << 8 | (at & 255);
}

// ---- the run

void Stage::everySecond() {
    auto ix = static_cast<size_t>(std::max<int64_t>(loop_.now().inMicros(), 0) / 1000000);
    if (ix >= series_.size()) return;
    SecondOf& second = series_[ix];
    size_t planned = 0;
    while (planned < programs_.size() && programs_.text(planned).plan.at <= loop_.now()) ++planned;
    second.open = programs_.open() - static_cast<long>(programs_.size() - planned);
    for (const auto& lines : lines_) {
        for (const auto& line : lines) second.out += line->call ? 1 : 0;
    }
    for (uint32_t d = 0; d < static_cast<uint32_t>(scenario_.destinations()); ++d) {
        second.groupLimits[world_.groupIndex(world_.firstOf(d))] += world_.capability(loop_.now(), d);
    }
    for (Sender& s : senders_) s.process->measure();
    if (crew_) lookAtCrew(ix);
    if (options_.progress) {
        std::ostringstream words;
        words << ix << "/" << (scenario_.lasts + scenario_.settle).inSeconds() << " s: " << planned
              << " handed in, " << second.open << " open, " << second.out << " calls out, "
              << judge_.breaches().size() << " breaches";
        options_.progress(words.str());
    }
    loop_.at(Instant() + Span::seconds(static_cast<double>(ix) + 1), [this] { everySecond(); });
}

// Who could hear whom in this second, and how many of the others each sender believed to be there.
void Stage::lookAtCrew(size_t ix) {
    for (int a = 0; a < scenario_.senders; ++a) {
        for (int b = 0; b < scenario_.senders; ++b) {
            series_[ix].hears += a == b || !crew_->links().cutOrStalled(loop_.now(), a, b) ? '1' : '0';
        }
    }
    series_[ix].believed.assign(static_cast<size_t>(scenario_.senders), -1);
    for (int s = 0; s < scenario_.senders; ++s) {
        if (!senders_[static_cast<size_t>(s)].up) continue;
        askLine(loop_, crew_->ops(s), "members", Span::millis(900), [this, s, ix](std::optional<std::string> line) {
            if (!line || !line->starts_with("SUCCESS ")) return;
            auto body = nlohmann::json::parse(line->substr(8), nullptr, false);
            if (!body.is_object()) return;
            int there = 0;
            for (const auto& m : body["members"]) there += m.value("state", "") == "alive" || m.value("state", "") == "doubted";
            series_[ix].believed[static_cast<size_t>(s)] = there;
        });
    }
}

void Stage::keepToShares() {
    for (Sender& s : senders_) s.process->keepToShare(loop_.now(), scenario_.cores);
    loop_.at(loop_.now() + Span::millis(10), [this] { keepToShares(); });
}

// The shortest way there and back: a request that touches neither the store nor the module.
void Stage::ping() {
    if (!pinging_ || !pinging_->open()) {
        int fd = connectTo(senders_.front().listen);
        if (fd < 0) return;
        pinging_ = std::make_shared<Conn>(loop_, fd);
        pinging_->onMessage = [this](Message&&) {
            // The first one of a connection has its handshake in it.
            if (pinging_->calls > 1) options_.samples->pings.push_back((loop_.now() - pingedAt_).inSeconds() * 1e3);
        };
        pinging_->start(true);
    }
    pingedAt_ = loop_.now();
    pinging_->send(request("GET", "/alive", "", ""));
    loop_.at(loop_.now() + Span::millis(17), [this] { ping(); });
}

RunResult Stage::play() {
    raiseDescriptors();
    signal(SIGPIPE, SIG_IGN);
    if (scenario_.senders > kSendersMost) {
        throw std::runtime_error(std::to_string(scenario_.senders) + " senders on sockets; " + std::to_string(kSendersMost) +
                                 " at most, more in the model");
    }
    ownListeners_ = scenario_.endpoints() * scenario_.senders <= kListenersMost;
    for (const Fault& f : scenario_.faults) {
        bool needs = f.what == Trouble::down || f.what == Trouble::vanish || f.what == Trouble::go;
        if (needs && !ownListeners_) {
            throw std::runtime_error(std::string(wordOf(f.what)) +
                                     " needs a listener for each endpoint and sender, " +
                                     std::to_string(kListenersMost) + " at most; this fleet has " +
                                     std::to_string(scenario_.endpoints() * scenario_.senders));
        }
    }
    lines_.resize(world_.endpoints());
    senders_.resize(static_cast<size_t>(scenario_.senders));
    auto seconds = static_cast<size_t>((scenario_.lasts + scenario_.settle).inSeconds()) + 2;
    series_.resize(seconds);
    for (SecondOf& s : series_)
        s.groupCalls.resize(scenario_.groups.size()), s.groupLimits.resize(scenario_.groups.size());
    if (scenario_.crew.on)
        crew_ = std::make_unique<CrewLinks>(loop_, scenario_.crew, scenario_.links, scenario_.senders, seed_);
    for (int s = 0; s < scenario_.senders; ++s) {
        Sender& sender = senders_[static_cast<size_t>(s)];
        listenFor(s);
        sender.directory = listenOn("127.1.1." + std::to_string(s + 1), 0);
        loop_.watch(sender.directory.fd, EPOLLIN, [this, s](uint32_t) { acceptAgent(s); });
        Bound probe = listenOn("127.1.2." + std::to_string(s + 1), 0);  // a port that is free
        sender.listen = probe.address;
        ::close(probe.fd);
        sender.process = std::make_unique<SenderProcess>(
            scenario_, s, options_.folder + "/sender-" + std::to_string(s), options_.sender);
        std::string members;
        for (uint32_t e = 0; e < world_.endpoints(); ++e) {
            members += (e == 0 ? "" : ",") + memberOf(s, {1, e, 0, ListState::active});
        }
        if (crew_) sender.process->joinCrew(crew_->configOf(s), crew_->ops(s));
        sender.process->configure(sender.listen, sender.directory.address, "[" + members + "]", 1);
        startSender(s);
    }
    loop_.run();
    if (!trouble_.empty()) throw std::runtime_error(trouble_);
    begun_ = true;
    loop_.forgetLateness();
    loop_.zeroNow();
    // Timers set before the start were of the earlier zero: none matters but the polls, which are over.
    if (crew_) crew_->begin();
    if (auto at = world_.nextChange()) loop_.at(*at, [this] { happenings(); });
    loop_.at(Instant(), [this] { everySecond(); });
    if (scenario_.cores > 0) keepToShares();
    if (options_.samples) loop_.at(Instant() + Span::millis(100), [this] { ping(); });
    std::function<void()> next = [&] {
        // All that is due now, each by its own planned moment; never held up by how the senders fare.
        while (nextText_ < programs_.size() && programs_.text(nextText_).plan.at <= loop_.now())
            handIn(nextText_++);
        if (nextText_ < programs_.size()) loop_.at(programs_.text(nextText_).plan.at, next);
    };
    if (programs_.size() > 0) loop_.at(programs_.text(0).plan.at, next);
    std::function<void()> watch = [&] {
        for (int s = 0; s < scenario_.senders; ++s) {
            Sender& sender = senders_[static_cast<size_t>(s)];
            if (sender.up && !sender.process->running()) {
                sender.up = false;
                if (trouble_.empty()) trouble_ = "sender " + std::to_string(s) + " ended by itself";
            }
        }
        bool calm = programs_.open() == 0 && nextText_ == programs_.size() && !world_.nextChange();
        if (calm || loop_.now() >= Instant() + scenario_.lasts + scenario_.settle) return loop_.stop();
        loop_.at(loop_.now() + Span::millis(50), watch);
    };
    loop_.at(Instant() + scenario_.lasts, watch);
    loop_.run();
    return sum();
}

RunResult Stage::sum() {
    Instant now = loop_.now();
    programs_.finish(now);
    judge_.finish(now);
    RunResult r;
    r.scenario = scenario_.name, r.kind = "sockets", r.program = options_.sender.program, r.seed = seed_;
    r.seconds = scenario_.lasts.inSeconds(), r.wallSeconds = now.inMicros() / 1e6;
    r.series = series_;
    account(scenario_, programs_, r);
    for (Sender& s : senders_) s.process->kill(), r.senders.push_back(s.process->used());
    r.calls = judge_.calls(), r.wastedCalls = judge_.wasted(), r.tippedPlaces = tippedPlaces_;
    r.deadCalls = deadCalls_, r.deadConnections = deadConnections_;
    r.lateP99 = loop_.lateAt(0.99), r.lateP999 = loop_.lateAt(0.999), r.lateMost = loop_.lateAt(1);
    r.entryMs = entry_.quantile(0.5);
    r.breaches = judge_.breaches(), r.breachCounts = judge_.counts();
    r.voidBecause = trouble_;
    if (r.voidBecause.empty() && r.lateP999 > kVoidLateMs) {
        std::ostringstream words;
        words << "the judge was late: " << r.lateP999 << " ms at its 99.9th percentile, over " << kVoidLateMs;
        r.voidBecause = words.str();
    }
    return r;
}

RunResult playOnSockets(const Scenario& scenario, uint64_t seed, const StageOptions& options) {
    return Stage(scenario, seed, options).play();
}

}  // namespace petrelpond::fleet
