#include "fleet/system/clients.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "fleet/system/platform.hpp"

namespace petrelpond::range {

using network::HttpAnswer;
using network::Reading;
using network::Stream;

namespace {

const Span kToComeUp = Span::seconds(1);  // for a new connection
const Span kToBeRead =
    Span::seconds(1);  // a repeatable request that lies unread for so long is tried elsewhere
const Span kIdleMost = Span::seconds(8);
const Span kPauseOnce = Span::millis(60);  // before a further try that was told nothing
constexpr size_t kMostAnswer = 4u << 20;

}  // namespace

// --- the door ----------------------------------------------------------------------------------------------

Door::Door(network::Loop& loop, const Machines& machines) : loop_(loop), machines_(machines) {
    for (size_t i = 0; i < machines.all().size(); ++i) {
        in_.push_back(false), misses_.push_back(0), callers_.push_back(nullptr);
        const Machine& m = machines.all()[i];
        if (m.core) continue;
        edges_.push_back(static_cast<int>(i));
        callers_.back() = std::make_unique<network::HttpCaller>(
            loop, *network::Address::parse(m.ip, machines.ports.readiness), 1, Span::millis(900));
    }
    ask();
}

void Door::ask() {
    for (int e : edges_) {
        auto n = static_cast<size_t>(e);
        callers_[n]->call("GET", "/readiness", "", "", [this, n](int status, const std::string&) {
            if (status == 200)
                misses_[n] = 0, in_[n] = true;
            else if (++misses_[n] >= 2)
                in_[n] = false;
        });
    }
    loop_.at(loop_.now() + Span::seconds(1), [this] { ask(); });
}

int Door::pick(const std::string& zone, uint64_t client, int tryNo) const {
    std::vector<int> own, ready, others;
    for (int e : edges_) {
        bool here = machines_.all()[static_cast<size_t>(e)].zone == zone, in = in_[static_cast<size_t>(e)];
        if (here) own.push_back(e);
        if (here && in) ready.push_back(e);
        if (!here && in) others.push_back(e);
    }
    const auto& from = ready.size() * 2 >= own.size() && !ready.empty() ? ready
                       : !ready.empty() || others.empty()               ? own
                                                                        : others;
    // Where a client's zone has no other, its further tries leave the zone.
    const auto& any = from.empty()                                       ? edges_
                      : from.size() == 1 && tryNo > 0 && !others.empty() ? others
                                                                         : from;
    return any[(client * 2654435761u / 7 + static_cast<uint64_t>(tryNo)) % any.size()];
}

// --- one connection ----------------------------------------------------------------------------------------

struct Clients::Line final : network::StreamOwner {
    Clients& of;
    uint64_t id;
    int machine, client;
    std::unique_ptr<Stream> stream;
    uint64_t ask = 0;  // 0: idle
    Instant idleSince;
    Line(Clients& c, uint64_t i, int m, int k) : of(c), id(i), machine(m), client(k) {}

    void data(Stream& s) override {
        HttpAnswer answer;
        if (ask == 0) {
            // A last word on an idle connection, as 408, may come; nothing else.
            Reading read = network::takeAnswer(s.in(), s.isClosed(), kMostAnswer, answer);
            if (read == Reading::incomplete) return;
            of.judge_.stray(of.loop_.now(), machine, read == Reading::whole ? answer.status : 0);
            return of.bury(*this);
        }
        Reading read = network::takeAnswer(s.in(), s.isClosed(), kMostAnswer, answer);
        if (read == Reading::whole) return of.answered(*this, answer);
        if (read == Reading::incomplete) return;
        Ask& a = of.asks_.at(ask);
        if (s.isClosed())
            of.judge_.broken(of.loop_.now(), a.attempt);  // cut off: nobody takes it for whole
        else
            of.judge_.spoilt(of.loop_.now(), a.attempt);
        a.line = nullptr, ask = 0;
        of.bury(*this);
        of.unanswered(a, true);
    }
    void ended(Stream& s, int) override {
        if (ask == 0) return of.bury(*this);
        if (!s.in().empty()) return data(s);
        Ask& a = of.asks_.at(ask);
        bool connected = s.isConnected();
        of.judge_.broken(of.loop_.now(), a.attempt);
        a.line = nullptr, ask = 0;
        of.bury(*this);
        of.unanswered(a, connected);
    }
};

Clients::Clients(network::Loop& loop, Judge& judge, const Plan& plan, const Machines& machines, Door& door,
                 std::vector<std::string> zones, uint64_t seed)
    : loop_(loop), judge_(judge), plan_(plan), machines_(machines), door_(door), zones_(std::move(zones)),
      chance_(seed), results_(plan.flows.size()), factors_(plan.groups.size(), 1) {
    for (const GroupPlan& g : plan.groups) {
        std::vector<double> weights;
        for (int i = 0; i < g.count; ++i) weights.push_back(1 / std::pow(i + 1, g.skew));
        draws_.emplace_back(weights.begin(), weights.end());
    }
}

Clients::~Clients() = default;

std::string Clients::host(const Plan& plan, size_t flow) {
    return plan.groups[static_cast<size_t>(plan.flows[flow].group)].name + ".example";
}

std::string Clients::prefix(const Plan& plan, size_t flow, int function) {
    return "/f" + std::to_string(function) + "/" + plan.flows[flow].name + "/";
}

void Clients::start(Instant until) {
    until_ = until;
    for (size_t f = 0; f < plan_.flows.size(); ++f) {
        double first = std::exponential_distribution<double>(plan_.flows[f].rate)(chance_);
        loop_.at(loop_.now() + Span::seconds(first), [this, f] { arrive(f); });
    }
}

void Clients::burst(int group, double factor, Span lasts) {
    for (size_t g = 0; g < factors_.size(); ++g) {
        if (group >= 0 && static_cast<size_t>(group) != g) continue;
        factors_[g] *= factor;
        loop_.at(loop_.now() + lasts, [this, g, factor] { factors_[g] /= factor; });
    }
}

void Clients::arrive(size_t f) {
    if (loop_.now() >= until_) return;
    const FlowPlan& flow = plan_.flows[f];
    auto group = static_cast<size_t>(flow.group);
    double gap = std::exponential_distribution<double>(flow.rate * factors_[group])(chance_);
    loop_.at(loop_.now() + Span::seconds(std::min(gap, 2.0)), [this, f, gap] {
        if (gap <= 2.0)
            arrive(f);
        else
            loop_.at(loop_.now() + Span::seconds(gap - 2.0), [this, f] { arrive(f); });
    });
    Ask& a = asks_[nextAsk_];
    a.number = nextAsk_++, a.flow = static_cast<int>(f);
    int function = draws_[group](chance_);
    a.host = host(plan_, f);
    a.path = prefix(plan_, f, function) + "x" + std::to_string(chance_() % 100000) +
             "?work=" + std::to_string(drawWork(flow).inMicros() / 1000) +
             "&size=" + std::to_string(flow.body + static_cast<int>(chance_() % 2));
    a.repeatable = flow.repeatable;
    a.method = chance_() % 2 ? "POST" : "GET";
    if (a.method == "POST") a.body.assign(chance_() % 2000, 'b'), a.chunked = chance_() % 3 == 0;
    a.client = static_cast<int>(chance_() % static_cast<uint64_t>(plan_.clients));
    a.zone = zones_[static_cast<size_t>(a.client) % zones_.size()];
    a.keeps = between(0, 1) < plan_.keepAlive;
    a.cameAt = loop_.now(), a.deadline = a.cameAt + flow.deadline;
    if (flow.leaves + flow.halfCloses > 0) {
        const double chance = between(0, 1);
        a.halfCloses = chance < flow.halfCloses;
        if (!a.halfCloses && chance < flow.halfCloses + flow.leaves) a.leavesAt = a.cameAt + flow.leavesAfter;
    }
    ++results_[f].asked;
    attempt(a);
}

Span Clients::drawWork(const FlowPlan& flow) {
    if (flow.workSpread <= 0) return flow.work;
    const double sigma = std::sqrt(std::log(1 + flow.workSpread * flow.workSpread));
    return flow.work * std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(chance_);
}

void Clients::direct(int machine, const std::string& host, const std::string& path, Asked asked) {
    Ask& a = asks_[nextAsk_];
    a.number = nextAsk_++, a.host = host, a.path = path, a.method = "GET", a.machine = machine;
    a.client = -1, a.cameAt = loop_.now(), a.deadline = a.cameAt + Span::seconds(2),
    a.asked = std::move(asked);
    attempt(a);
}

void Clients::attempt(Ask& a) {
    Instant now = loop_.now();
    if (a.flow >= 0) {
        ++results_[static_cast<size_t>(a.flow)].tries;
        a.machine = door_.pick(a.zone, static_cast<uint64_t>(a.client), a.tries);
    }
    ++a.tries;
    char id[24];
    std::snprintf(id, sizeof id, "%016llx",
                  static_cast<unsigned long long>(nextAttempt_++ * 0x9E3779B97F4A7C15u));
    a.attempt = id, a.sentAt = now;
    Line* line = a.keeps && a.tries == 1 ? openLine(a) : nullptr;
    judge_.sent(now, Sent{a.attempt, a.method, a.host, a.path, digestOf(a.body), a.repeatable, a.machine,
                          a.deadline, a.flow >= 0, line != nullptr});
    if (!line) {
        auto made = std::make_unique<Line>(*this, nextLine_++, a.machine, a.client);
        const Machine& m = machines_.all()[static_cast<size_t>(a.machine)];
        ++connections_;
        made->stream =
            Stream::connect(loop_, *made, *network::Address::parse(m.ip, machines_.ports.front), Span());
        line = made.get();
        bool made_ = made->stream != nullptr;
        lines_[line->id] = std::move(made);
        if (!made_) {
            lines_.erase(line->id);
            judge_.broken(now, a.attempt);
            loop_.soon([this, n = a.number] {
                if (auto at = asks_.find(n); at != asks_.end()) unanswered(at->second, false);
            });
            return;
        }
    }
    line->ask = a.number, a.line = line;
    write(a);
    arm(a);
}

bool Clients::isFaithful(int client) const {
    return client >= 0 && client < static_cast<int>(plan_.faithful * plan_.clients);
}

// A connection of its client's that is open and idle; null: none. A faithful client takes one to any machine.
Clients::Line* Clients::openLine(Ask& a) {
    auto& byMachine = idle_[a.client];
    std::vector<int> machines = {a.machine};
    if (isFaithful(a.client))
        for (const auto& [machine, lines] : byMachine) machines.push_back(machine);
    for (int machine : machines) {
        auto& idle = byMachine[machine];
        while (!idle.empty()) {
            Line* line = idle.back();
            idle.pop_back();
            if (loop_.now() - line->idleSince <= kIdleMost) return a.machine = machine, line;
            bury(*line);
        }
    }
    return nullptr;
}

void Clients::write(Ask& a) {
    std::string out = a.method + " " + a.path + " HTTP/1.1\r\nHost: " + a.host +
                      "\r\nX-Attempt-Id: " + a.attempt + "\r\nX-Time-Remaining: " +
                      std::to_string(std::max<int64_t>(1, (a.deadline - loop_.now()).inMicros() / 1000)) +
                      "\r\n";
    if (!a.keeps) out += "Connection: close\r\n";
    if (a.chunked) {
        out += "Transfer-Encoding: chunked\r\n\r\n";
        char length[32];
        size_t half = a.body.size() / 2;
        for (std::string_view piece :
             {std::string_view(a.body).substr(0, half), std::string_view(a.body).substr(half)}) {
            if (piece.empty()) continue;
            std::snprintf(length, sizeof length, "%zx\r\n", piece.size());
            out.append(length).append(piece).append("\r\n");
        }
        out += "0\r\n\r\n";
    } else {
        if (a.method != "GET") out += "Content-Length: " + std::to_string(a.body.size()) + "\r\n";
        out += "\r\n" + a.body;
    }
    a.line->stream->send(out);
    if (a.halfCloses) a.line->stream->finishWriting();
}

void Clients::arm(Ask& a) {
    loop_.cancel(a.timer);
    Instant now = loop_.now(), first = std::min(a.deadline, a.leavesAt);
    if (a.line && !a.line->stream->isConnected()) first = std::min(first, a.sentAt + kToComeUp);
    // Whether a request was read can't be seen on real sockets, only that its sender stands still.
    if (a.line && a.repeatable)
        first = std::min(first, std::max(now + Span::millis(100), a.sentAt + Span::millis(300)));
    a.timer = loop_.at(first, [this, n = a.number] { timed(n); });
}

void Clients::timed(uint64_t number) {
    auto found = asks_.find(number);
    if (found == asks_.end()) return;
    Ask& a = found->second;
    a.timer = 0;
    Instant now = loop_.now();
    if (now >= a.leavesAt) return leave(a);
    bool up = a.line && a.line->stream->isConnected();
    bool unread = a.repeatable && machines_.all()[static_cast<size_t>(a.machine)].frozen &&
                  now - a.sentAt >= std::min(kToBeRead, (a.deadline - a.sentAt) * (1.0 / 3));
    bool hangs = a.line && !up && now >= a.sentAt + kToComeUp;
    if (now < a.deadline && !hangs && !unread) return arm(a);
    if (Line* line = std::exchange(a.line, nullptr)) line->ask = 0, bury(*line);
    if (now >= a.deadline) return over(a, 0);
    unanswered(a, up);
}

void Clients::answered(Line& line, const HttpAnswer& answer) {
    Ask& a = asks_.at(line.ask);
    Instant now = loop_.now();
    auto field = [&](const char* name) { return std::string(answer.head.field(name).value_or("")); };
    uint64_t body = answer.head.field("Content-Encoding") ? 1 : digestOf(answer.body);
    judge_.got(now, a.attempt, answer.status, field("X-Endpoint-Seal"), field("X-Attempt-Id"), body);
    std::string told = field("Retry-After");
    a.line = nullptr, line.ask = 0;
    bool excess = !line.stream->in().empty();
    if (excess) judge_.stray(now, line.machine, 200);
    if (a.keeps && !a.halfCloses && !answer.closes && !excess && !line.stream->isClosed()) {
        line.idleSince = now;
        idle_[line.client][line.machine].push_back(&line);
    } else {
        bury(line);
    }
    int status = answer.status;
    a.lastStatus = status;
    bool promise = status == 429 || status == 503 || status == 408 || status == 421;
    if (!promise) a.refusedOnly = false;
    bool final = (status >= 200 && status < 300) || status == 400 || status == 401 || status == 404 ||
                 status == 413 || status == 431;
    if (final || (!promise && !a.repeatable)) return over(a, status);
    Span wait = kPauseOnce * std::pow(2, a.tries - 1);
    if (auto seconds = http::decimal(told))
        wait = std::min(Span::seconds(*seconds), (a.deadline - now) * (1.0 / 3));
    again(a, wait);
}

// Its connection ended, or was given up, without an answer. What was never connected was never read.
void Clients::unanswered(Ask& a, bool connected) {
    a.lastStatus = 0;
    if (connected) a.refusedOnly = false;
    if (connected && !a.repeatable) return over(a, 0);
    again(a, kPauseOnce);
}

void Clients::again(Ask& a, Span wait) {
    loop_.cancel(a.timer);
    bool spent = a.flow < 0 || a.tries >= plan_.flows[static_cast<size_t>(a.flow)].tries;
    if (spent || loop_.now() + wait >= a.deadline) return over(a, a.lastStatus);
    a.timer = loop_.at(loop_.now() + wait, [this, n = a.number] {
        auto found = asks_.find(n);
        if (found != asks_.end()) found->second.timer = 0, attempt(found->second);
    });
}

void Clients::over(Ask& a, int status) {
    loop_.cancel(a.timer);
    if (Line* line = std::exchange(a.line, nullptr)) line->ask = 0, bury(*line);
    if (a.flow >= 0) {
        FlowResult& r = results_[static_cast<size_t>(a.flow)];
        const FlowPlan& flow = plan_.flows[static_cast<size_t>(a.flow)];
        Span took = loop_.now() - a.cameAt;
        if (status >= 200 && status < 300) {
            ++(took <= flow.aim ? r.inAim : r.late);
            r.millis.push_back(took.inSeconds() * 1e3);
        } else {
            ++(a.refusedOnly ? r.refused : r.failed);
            ++r.lastStatus[status];
        }
    }
    auto asked = std::move(a.asked);
    asks_.erase(a.number);
    if (asked) asked(status);
}

// Closes the connection of a request that is under way, and asks for it no more.
void Clients::leave(Ask& a) {
    loop_.cancel(a.timer);
    if (Line* line = std::exchange(a.line, nullptr)) {
        judge_.left(loop_.now(), a.attempt);
        line->ask = 0, bury(*line);
    }
    ++results_[static_cast<size_t>(a.flow)].left;
    asks_.erase(a.number);
}

void Clients::bury(Line& line) {
    std::erase(idle_[line.client][line.machine], &line);
    auto found = lines_.find(line.id);
    if (found == lines_.end()) return;
    line.stream->close();
    loop_.bury(std::move(found->second));
    lines_.erase(found);
}

void Clients::giveUp() {
    for (auto& [number, a] : asks_)
        if (a.flow >= 0) ++results_[static_cast<size_t>(a.flow)].open;
}

}  // namespace petrelpond::range
