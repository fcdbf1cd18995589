#include "system/proxy/proxy.hpp"

#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>

namespace petrelpond::proxy {

using network::HttpAnswer;
using network::HttpRequest;
using network::HttpVisit;
using network::Kind;
using network::Link;
using network::Stream;

namespace {

const Span kConnect = Span::millis(700);   // for a connection to an instance to come up
const Span kSilence = Span::millis(2500);  // unacknowledged for so long: the machine is gone
constexpr size_t kMostAnswer = 16u << 20;
const Span kIdleMost = Span::seconds(8);     // a kept connection that nobody uses
const Span kLastCalls = Span::millis(1600);  // before the kill: no request is taken on any more
const Span kLastHeld = Span::millis(1300);   // before the kill: none waits any more
const Span kIdleOnce = Span::millis(900);    // one that a once-only request may still trust

bool hopByHop(std::string_view name) {
    for (const char* each :
         {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
          "Content-Length", "Expect", "Proxy-Authorization", "Proxy-Authenticate"})
        if (http::sameName(name, each)) return true;
    return false;
}

// What the way itself needs is not to be struck out by naming it in Connection: without its id a request does
// not run, and without the seal a success is none.
bool endToEnd(std::string_view name) {
    return http::sameName(name, "Host") || http::sameName(name, "X-Attempt-Id") ||
           http::sameName(name, "X-Endpoint-Seal");
}

void copyFields(std::string& out, const http::Head& head, std::initializer_list<std::string_view> but) {
    bool lists = head.field("Connection").has_value();
    for (const auto& [name, value] : head.fields) {
        if (hopByHop(name) || (lists && !endToEnd(name) && head.names(name))) continue;
        if (std::any_of(but.begin(), but.end(), [n = name](auto b) { return http::sameName(n, b); }))
            continue;
        out.append(name).append(": ").append(value).append("\r\n");
    }
}

std::string retryAfter(Span wait) {
    char text[48];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", std::max(0.001, wait.inSeconds()));
    return text;
}

}  // namespace

// --- readiness ---------------------------------------------------------------------------------------------

bool Readiness::open(network::Address at, std::string& error) {
    limits_.idleTimeout = Span::seconds(30);
    listener_ = network::Listener::open(
        loop_, at,
        [this](int fd, network::Address) {
            uint64_t id = nextVisit_++;
            visits_[id] = std::make_unique<HttpVisit>(loop_, *this, fd, id);
        },
        error);
    return listener_ != nullptr;
}

void Readiness::asked(HttpVisit& visit, HttpRequest&& request) {
    if (request.target().substr(0, 10) != "/readiness") return visit.answer(404, "", "");
    bool ready = ready_();
    visit.answer(ready ? 200 : 503, "", ready ? "ready\n" : "not ready\n");
}

void Readiness::left(HttpVisit& visit) {
    auto found = visits_.find(visit.id());
    if (found == visits_.end()) return;
    loop_.bury(std::move(found->second));
    visits_.erase(found);
}

void Readiness::look() {
    std::vector<HttpVisit*> all;
    for (auto& [id, visit] : visits_) all.push_back(visit.get());
    for (HttpVisit* visit : all) visit->look();
}

// --- a connection to an instance ---------------------------------------------------------------------------

struct Proxy::Line final : network::StreamOwner {
    Proxy& of;
    uint64_t id;
    InstanceIx at;
    std::string instance;
    std::unique_ptr<Stream> stream;
    RequestId request = 0;  // 0: none
    bool probe = false, idle = false;
    bool parked = false;  // idle, and no slot of its instance is ours
    AnswerReading reading{kMostAnswer};
    network::TimerId timer = 0;
    Instant connectBy, patientUntil, deadline, idleSince;
    Span keep = kIdleMost;  // as the endpoint told

    Line(Proxy& p, uint64_t i, InstanceIx a, std::string name)
        : of(p), id(i), at(a), instance(std::move(name)) {}
    void connected(Stream&) override {
        if (!probe) return;
        probe = false;
        idle = true, idleSince = of.loop_.now();
        of.loop_.cancel(timer);
        of.place(at).idle.push_back(this);
        if (of.isStill(*this)) of.dispatch_.probed(of.loop_.now(), at, true);
        of.pumpSoon();
    }
    void data(Stream&) override { of.lineAnswered(*this); }
    void ended(Stream& s, int) override {
        if (request != 0 && !s.in().empty()) {
            // What came may be a whole answer that the close followed.
            of.lineAnswered(*this);
            if (request == 0 || stream->in().empty()) return;
        }
        if (request == 0) {
            if (probe && of.isStill(*this)) of.dispatch_.probed(of.loop_.now(), at, false), of.pumpSoon();
            return of.buryLine(*this);
        }
        of.endLine(*this, !s.isConnected()   ? Ending::unconnected
                          : s.anythingSent() ? Ending::broken
                                             : Ending::unsent);
    }
};

// --- the proxy ---------------------------------------------------------------------------------------------

Proxy::Proxy(network::Loop& loop, const configuration::Settings& settings, uint32_t chance,
             std::string loopback)
    : loop_(loop), settings_(settings), loopback_(std::move(loopback)),
      dispatch_(loop.now(), Dispatch::Options{chance, settings.zone, settings.bounds.retryBudgetRatio,
                                              settings.bounds.retrySlack, settings.bounds.budgetWindow,
                                              !settings.bootstrap}),
      chance_{std::mt19937(chance + 1)}, readiness_(loop, [this] { return routes_ && !leaving_; }) {}

Proxy::~Proxy() = default;

bool Proxy::open(std::string& error) {
    if (!settings_.front || !settings_.readiness) {
        error = "listen_addresses: front and readiness expected for a role that serves edge";
        return false;
    }
    auto front = network::Address::parse(settings_.front->text());
    auto ready = network::Address::parse(settings_.readiness->text());
    // Descriptors are for requests under way first: beyond the bound a new connection ends unread, and its
    // client goes elsewhere. 200 are the platform's for files, some our own; each request may take two.
    mostVisits_ = static_cast<size_t>(std::max(64, settings_.limits.fileDescriptors - 300)) * 2 / 3;
    dispatch_.bound(mostVisits_ / 2);
    mostParked_ = mostVisits_ / 4;
    // A body lies in several places on its way: as it came, in the kernel, and as it goes on.
    mostBytes_ = static_cast<size_t>(settings_.limits.memoryMb) * 1'000'000 / 8;
    listener_ = network::Listener::open(
        loop_, *front,
        [this](int fd, network::Address) {
            if (visits_.size() >= mostVisits_) {
                ++turnedAway_;
                ::close(fd);
                return;
            }
            uint64_t id = nextVisit_++;
            lastCame_ = loop_.now();
            visits_[id] = std::make_unique<HttpVisit>(loop_, *this, fd, id);
        },
        error);
    if (!listener_) return error = settings_.front->text() + ": " + error, false;
    if (!readiness_.open(*ready, error)) return error = settings_.readiness->text() + ": " + error, false;
    connectAgent();
    sweep();
    arm();
    return true;
}

void Proxy::connectAgent() {
    if (agent_) return;
    agent_ = Link::connect(
        loop_, *this, *network::Address::parse(loopback_, static_cast<uint16_t>(settings_.portFirst + 2)),
        Span());
    if (!agent_) loop_.at(loop_.now() + Span::millis(100), [this] { connectAgent(); });
}

void Proxy::linkUp(Link& link) {
    network::Hello hello{settings_.nodeName, settings_.ip, settings_.zone, 0,
                         routes_ ? routes_->configuration()->version : 0};
    link.say(Kind::hello, hello);
}

void Proxy::linkDown(Link&, bool) {
    agent_->close();
    loop_.bury(std::move(agent_));
    dispatch_.unlinked();
    dispatch_.holderSilent(loop_.now(), true);
    loop_.at(loop_.now() + Span::millis(100), [this] { connectAgent(); });
}

void Proxy::frame(Link&, Kind kind, std::string_view payload) {
    if (kind == Kind::config) {
        if (auto c = network::unpacked<network::Config>(payload)) configure(*c);
    } else if (kind == Kind::standing) {
        if (auto s = network::unpacked<network::Standing>(payload)) {
            dispatch_.standing(loop_.now(), s->term, s->linked, s->senders);
            dispatch_.holderSilent(loop_.now(), s->silent);
        }
    } else if (kind == Kind::grants) {
        if (auto g = network::unpacked<scaler::Grants>(payload)) dispatch_.granted(loop_.now(), *g);
    }
    pumpSoon();
}

void Proxy::configure(const network::Config& c) {
    // Never backwards: what an older version allows is not served once a newer one was.
    const configuration::Taking how = text_.take(c);
    if (how == configuration::Taking::older) return;
    if (how != configuration::Taking::taken) {  // as after a start between two versions: the whole, please
        ++wholeAsked_;
        agent_->say(Kind::want, network::Beat{});
        return;
    }
    auto made = configuration::trusted(text_.text());
    if (!made) return spdlog::error("configuration {}: agent: can't be read", c.version);
    limits_ = {made->limits.headerBytes, made->limits.bodyBytes, made->limits.headerTimeout,
               made->limits.idleTimeout};
    std::vector<ServiceSpec> specs;
    for (const auto& s : made->services)
        specs.push_back({s.name, s.maxConcurrency, s.boot, s.maxConnections});
    routes_ = std::make_unique<configuration::RouteTable>(std::move(made));
    dispatch_.configured(loop_.now(), specs);
    spdlog::info("configuration {} in force, {} routes, {} services", c.version,
                 routes_->configuration()->routes.size(), specs.size());
}

void Proxy::asked(HttpVisit& visit, HttpRequest&& request) {
    auto notRun = [&](Span wait) { visit.answer(503, retryAfter(wait), "", leaving_); };
    if (!routes_) {  // without a configuration nothing is known of any route: no 404
        ++notReady_;
        return notRun(Span::millis(300) +
                      Span::seconds(chance_.uniform(0.05, 0.25)));  // the design's random extra
    }
    // Where few senders are left the platform goes on sending here to the end. What could no more be finished
    // before the process is killed is told at once that it has not run. Harm: what would have been quick.
    if (leaving_ && loop_.now() - leavingSince_ > settings_.bounds.grace - kLastCalls) {
        visit.answer(503, retryAfter(Span::millis(50)), "", true);
        return;
    }
    auto host = request.head.field("Host");
    std::string_view target = request.target();
    const configuration::Route* route = routes_->find(host.value_or(""), target.substr(0, target.find('?')));
    if (!route) {
        ++noRoute_;
        return visit.answer(404, "", "", leaving_);
    }
    // A process over its memory is killed, with all that it has under way. Harm: who comes with nothing to
    // carry is told to come back as well.
    if (bytes_ + request.raw.size() + request.body.size() > mostBytes_) {
        ++tooMuch_;
        Span wait = Span::millis(200) + Span::seconds(chance_.uniform(0.05, 0.25));
        return visit.answer(503, retryAfter(wait), "", true);
    }
    auto id = request.head.field("X-Attempt-Id");
    if (!id || id->empty()) return visit.answer(400, "", "X-Attempt-Id is missing\n", leaving_);
    Span left = route->timeout;
    if (auto told = request.head.field("X-Time-Remaining")) {
        // Compared as numbers: one beyond all spans would come out of the conversion as long past.
        auto ms = http::decimal(*told);
        if (ms && *ms >= 0 && *ms / 1000 < left.inSeconds()) left = Span::seconds(*ms / 1000);
    }
    Arrival a;
    a.id = nextRequest_++;
    const auto& to = route->to;
    a.service = to.front().first;
    if (to.size() > 1) {
        double sum = 0;
        for (const auto& [name, weight] : to) sum += weight;
        double at = chance_.uniform(0, sum);
        for (const auto& [name, weight] : to) {
            if (weight <= 0) continue;
            a.service = name;
            if ((at -= weight) < 0) break;
        }
    }
    a.repeatable = route->repeatable, a.priority = route->priority, a.maxAttempts = route->maxAttempts;
    a.deadline = loop_.now() + left, a.target = route->target, a.timeout = route->timeout;
    Exchange& e = exchanges_[a.id];
    e.visit = visit.id(), e.attemptId = std::string(*id), e.deadline = a.deadline,
    e.repeatable = a.repeatable;
    e.request = std::move(request);
    weigh(e);
    visit.tag = a.id;
    dispatch_.arrived(loop_.now(), a);
    pumpSoon();
}

void Proxy::hungUp(HttpVisit& visit) {
    if (visit.tag == 0) return;
    auto found = exchanges_.find(visit.tag);
    if (found == exchanges_.end() || !dispatch_.waits(visit.tag)) return;
    // It has not been sent: with its client gone it need not be.
    dispatch_.withdrawn(loop_.now(), visit.tag);
    forget(found);
    visit.tag = 0;
    loop_.soon([this, id = visit.id()] {
        if (auto v = visits_.find(id); v != visits_.end()) left(*v->second);
    });
}

void Proxy::left(HttpVisit& visit) {
    if (visit.tag != 0) {
        auto found = exchanges_.find(visit.tag);
        if (found != exchanges_.end()) {
            found->second.visit = 0;
            if (dispatch_.waits(visit.tag)) dispatch_.withdrawn(loop_.now(), visit.tag), forget(found);
        }
    }
    auto at = visits_.find(visit.id());
    if (at == visits_.end()) return;
    loop_.bury(std::move(at->second));
    visits_.erase(at);
}

void Proxy::weigh(Exchange& e) {
    bytes_ -= e.weighs;
    e.weighs = e.request.raw.size() + e.request.body.size();
    if (e.answer) e.weighs += e.answer->raw.size() + e.answer->body.size();
    bytes_ += e.weighs;
}

void Proxy::forget(std::unordered_map<RequestId, Exchange>::iterator found) {
    bytes_ -= found->second.weighs;
    exchanges_.erase(found);
}

void Proxy::pumpSoon() {
    if (pumping_) return;
    pumping_ = true;
    loop_.soon([this] { pump(); });
}

void Proxy::pump() {
    pumping_ = false;
    if (dispatch_.wakeAt() <= loop_.now()) dispatch_.tick(loop_.now());
    while (auto output = dispatch_.next()) {
        if (auto* s = std::get_if<SendTo>(&*output))
            carry(*s);
        else if (auto* r = std::get_if<Refuse>(&*output))
            answerPlain(r->id, r->status, retryAfter(r->comeBack));
        else if (auto* g = std::get_if<GiveUp>(&*output))
            answerPlain(g->id, g->status, "");
        else if (auto* p = std::get_if<PassOn>(&*output))
            passOn(p->id);
        else if (auto* b = std::get_if<Probe>(&*output))
            probe(b->at);
        else if (auto* d = std::get_if<Drop>(&*output))
            drop(*d);
        else if (auto* t = std::get_if<Tell>(&*output)) {
            if (agent_ && agent_->isUp()) agent_->say(Kind::report, t->report);
        }
    }
    arm();
}

void Proxy::arm() {
    Instant wake = dispatch_.wakeAt();
    if (timer_ != 0 && armedFor_ <= wake) return;
    loop_.cancel(timer_);
    armedFor_ = wake;
    timer_ = loop_.at(wake, [this] {
        timer_ = 0;
        dispatch_.tick(loop_.now());
        pumpSoon();
    });
}

Proxy::Place& Proxy::place(InstanceIx at) {
    if (places_.size() <= at) places_.resize(at + 1);
    return places_[at];
}

std::string Proxy::requestBytes(const Exchange& e, const std::string& instance) const {
    std::string out;
    out.reserve(e.request.raw.size() + e.request.body.size() + 128);
    out.append(e.request.method()).append(" ").append(e.request.target()).append(" HTTP/1.1\r\n");
    copyFields(out, e.request.head, {"X-Time-Remaining", "X-Target-Endpoint"});
    int64_t left = std::max<int64_t>(1, (e.deadline - loop_.now()).inMicros() / 1000);
    out.append("X-Time-Remaining: ").append(std::to_string(left)).append("\r\n");
    // Addresses come back under other services: whoever else has it now answers 421 and runs nothing.
    out.append("X-Target-Endpoint: ").append(instance).append("\r\n");
    if (!e.request.body.empty() || (e.request.method() != "GET" && e.request.method() != "HEAD"))
        out.append("Content-Length: ").append(std::to_string(e.request.body.size())).append("\r\n");
    out.append("\r\n").append(e.request.body);
    return out;
}

void Proxy::carry(const SendTo& s) {
    auto found = exchanges_.find(s.id);
    const InstanceView* view = dispatch_.instance(s.at);
    if (found == exchanges_.end() || !view) {
        dispatch_.ended(loop_.now(), s.id, Ending::unconnected);
        return pumpSoon();
    }
    Exchange& e = found->second;
    Instant now = loop_.now();
    Place& p = place(s.at);
    Line* line = takeIdle(p.idle, e);
    if (auto parked = parked_.find(view->id); !line && parked != parked_.end()) {
        p.idle = std::move(parked->second);
        parked_.erase(parked);
        parkedCount_ -= p.idle.size();
        for (Line* each : p.idle) each->parked = false, each->at = s.at;
        line = takeIdle(p.idle, e);
        connectsSpared_ += line != nullptr;
    }
    if (!line) {
        auto address = network::Address::parse(view->address);
        auto made = std::make_unique<Line>(*this, nextLine_++, s.at, view->id);
        ++connects_;
        if (address) made->stream = Stream::connect(loop_, *made, *address, kSilence);
        if (!made->stream) {
            dispatch_.ended(now, s.id, Ending::unconnected);
            return pumpSoon();
        }
        line = made.get();
        lines_[made->id] = std::move(made);
    }
    line->idle = false;
    line->request = s.id, e.line = line, e.answer.reset();
    weigh(e);
    line->connectBy = now + kConnect;
    line->patientUntil = s.patience > Span() ? now + s.patience : Instant::never();
    line->deadline = e.deadline + Span::millis(30);
    line->stream->sendAnew(requestBytes(e, line->instance));
    Instant first = std::min(line->patientUntil, line->deadline);
    if (!line->stream->isConnected()) first = std::min(first, line->connectBy);
    line->timer = loop_.at(first, [this, line] { line->timer = 0, lineTimed(*line); });
}

// The one used last, as it is the least likely to be about to close. What may run only once does not trust
// one that lay long: a close that crosses it would leave open whether it ran.
Proxy::Line* Proxy::takeIdle(std::vector<Line*>& idle, const Exchange& e) {
    while (!idle.empty()) {
        Line* last = idle.back();
        idle.pop_back();
        Span lay = loop_.now() - last->idleSince;
        Span most = e.repeatable ? last->keep : std::min(kIdleOnce, last->keep * 0.5);
        if (lay < most && !last->reading.spoilt()) return last;
        buryLine(*last);
    }
    return nullptr;
}

void Proxy::lineTimed(Line& line) {
    Instant now = loop_.now();
    if (line.probe) {
        if (isStill(line)) dispatch_.probed(now, line.at, false);
        pumpSoon();
        return buryLine(line);
    }
    if (line.request == 0) return;
    if (!line.stream->isConnected() && now >= line.connectBy) return endLine(line, Ending::unconnected);
    if (now >= line.patientUntil && line.stream->anythingSent() && !dispatch_.mayGiveUp(now, line.request))
        line.patientUntil = Instant::never();
    if (now >= line.patientUntil || now >= line.deadline)
        return endLine(line, line.stream->anythingSent() ? Ending::silent : Ending::unsent);
    line.timer = loop_.at(std::min(line.patientUntil, line.deadline),
                          [this, &line] { line.timer = 0, lineTimed(line); });
}

// Indices of instances come again: what a probe of an earlier one showed says nothing of the next.
bool Proxy::isStill(const Line& line) const {
    const InstanceView* view = dispatch_.instance(line.at);
    return view && view->id == line.instance;
}

void Proxy::endLine(Line& line, Ending how) {
    RequestId id = line.request;
    line.request = 0;
    if (auto found = exchanges_.find(id); found != exchanges_.end()) found->second.line = nullptr;
    buryLine(line);
    if (id != 0) dispatch_.ended(loop_.now(), id, how);
    pumpSoon();
}

void Proxy::buryLine(Line& line) {
    loop_.cancel(line.timer);
    line.stream->close();
    auto& idle = place(line.at).idle;
    idle.erase(std::remove(idle.begin(), idle.end(), &line), idle.end());
    if (auto parked = parked_.find(line.instance); parked != parked_.end()) {
        parkedCount_ -= std::erase(parked->second, &line);
        if (parked->second.empty()) parked_.erase(parked);
    }
    auto found = lines_.find(line.id);
    if (found == lines_.end()) return;
    loop_.bury(std::move(found->second));
    lines_.erase(found);
}

void Proxy::lineAnswered(Line& line) {
    if (line.request == 0) {  // bytes that belong to no request: the connection is of no more use
        ++excess_;
        return buryLine(line);
    }
    auto found = exchanges_.find(line.request);
    if (found == exchanges_.end()) return endLine(line, Ending::broken);
    Exchange& e = found->second;
    const Expected expected{e.attemptId, e.repeatable, e.request.method() == "HEAD"};
    const uint64_t excessBefore = line.reading.excess();
    auto conclusion = line.reading.read(line.stream->in(), line.stream->isClosed(), expected);
    excess_ += line.reading.excess() - excessBefore;
    if (!conclusion) return;
    spoilt_ += conclusion->spoilt;
    if (!conclusion->answer) return endLine(line, conclusion->how);
    if (conclusion->keepAlive) line.keep = *conclusion->keepAlive;
    const RequestId request = line.request;
    line.request = 0, e.line = nullptr;
    loop_.cancel(line.timer);
    e.answer = std::move(conclusion->answer);
    weigh(e);
    if (conclusion->keep) {
        line.idle = true, line.idleSince = loop_.now();
        place(line.at).idle.push_back(&line);
    } else {
        buryLine(line);
    }
    dispatch_.ended(loop_.now(), request, conclusion->how);
    pumpSoon();
}

void Proxy::passOn(RequestId id) {
    auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return;
    Exchange& e = found->second;
    auto visit = visits_.find(e.visit);
    if (visit != visits_.end() && e.answer) {
        const HttpAnswer& a = *e.answer;
        std::string head = "HTTP/1.1 " + std::to_string(a.status) + " ";
        head.append(a.head.third.empty() ? http::reason(a.status) : std::string(a.head.third)).append("\r\n");
        copyFields(head, a.head, {});
        // Where no body may come the length tells of another answer's, and is the endpoint's word.
        if (a.bodiless) {
            if (auto length = a.head.field("Content-Length"))
                head.append("Content-Length: ").append(*length).append("\r\n");
        } else {
            head.append("Content-Length: ").append(std::to_string(a.body.size())).append("\r\n");
        }
        bool last = leaving_ || visit->second->wantsClose();
        if (last) head.append("Connection: close\r\n");
        head.append("\r\n");
        visit->second->tag = 0;
        visit->second->answerAsIs(head, a.body, last);
    }
    forget(found);
}

void Proxy::answerPlain(RequestId id, int status, std::string_view fields) {
    auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return;
    if (spdlog::should_log(spdlog::level::debug))
        spdlog::debug("request {}: {} {}: {} with {} ms left", found->second.attemptId,
                      found->second.request.method(), found->second.request.target(), status,
                      (found->second.deadline - loop_.now()).inMicros() / 1000);
    if (Line* line = found->second.line) line->request = 0, buryLine(*line);
    auto visit = visits_.find(found->second.visit);
    // A client that is refused comes back on another connection and may leave this one idle: in a rush these
    // took all descriptors, and whoever came then was reset, told nothing and back at once. Harm: in a rush a
    // client that would have kept it opens a new one.
    bool last = leaving_ || visits_.size() > mostVisits_ / 2;
    if (visit != visits_.end()) visit->second->tag = 0, visit->second->answer(status, fields, "", last);
    forget(found);
}

void Proxy::probe(InstanceIx at) {
    const InstanceView* view = dispatch_.instance(at);
    if (!view) return;
    auto made = std::make_unique<Line>(*this, nextLine_++, at, view->id);
    auto address = network::Address::parse(view->address);
    if (address) made->stream = Stream::connect(loop_, *made, *address, kSilence);
    if (!made->stream) {
        dispatch_.probed(loop_.now(), at, false);
        return pumpSoon();
    }
    made->probe = true;
    Line* line = made.get();
    lines_[made->id] = std::move(made);
    line->timer = loop_.at(loop_.now() + kConnect, [this, line] { line->timer = 0, lineTimed(*line); });
}

// Keeps an idle connection for when a slot of its instance comes back. False: it is to be closed.
bool Proxy::park(Line& line, size_t mayKeep) {
    if (!line.idle || line.request != 0 || line.reading.spoilt()) return false;
    const auto same = parked_.find(line.instance);
    const size_t kept = same != parked_.end() ? same->second.size() : 0;
    if (kept >= mayKeep || parkedCount_ >= mostParked_) return false;
    parked_[line.instance].push_back(&line);
    line.parked = true;
    ++parkedCount_;
    return true;
}

void Proxy::drop(const Drop& d) {
    std::vector<Line*> mine;
    for (auto& [id, line] : lines_)
        if (line->at == d.at && !line->parked) mine.push_back(line.get());
    for (Line* line : mine) {
        if (park(*line, d.mayKeep)) continue;
        if (line->request != 0)
            endLine(*line, line->stream->anythingSent() ? Ending::broken : Ending::unsent);
        else
            buryLine(*line);
    }
    place(d.at).idle.clear();
}

void Proxy::sweep() {
    Instant now = loop_.now();
    std::vector<HttpVisit*> all;
    for (auto& [id, visit] : visits_) all.push_back(visit.get());
    for (HttpVisit* visit : all) visit->look();
    readiness_.look();
    for (Place& p : places_) buryIdleLongest(p.idle);
    std::vector<std::string> parked;
    for (const auto& [instance, idle] : parked_) parked.push_back(instance);
    for (const std::string& instance : parked) buryIdleLongest(parked_[instance]);
    if (now >= logAt_) logAt_ = now + Span::seconds(10), logCounters();
    if (leaving_) mayEnd();
    sweepTimer_ = loop_.at(now + Span::millis(leaving_ ? 100 : 500), [this] { sweep(); });
}

void Proxy::buryIdleLongest(std::vector<Line*>& idle) {
    size_t over = 0;
    while (over < idle.size() && loop_.now() - idle[over]->idleSince > idle[over]->keep) ++over;
    const std::vector<Line*> old(idle.begin(), idle.begin() + static_cast<std::ptrdiff_t>(over));
    for (Line* line : old) buryLine(*line);
}

void Proxy::leave() {
    if (leaving_) return;
    leaving_ = true, leavingSince_ = loop_.now();
    spdlog::info("leaving: {} connections, {} requests under way", visits_.size(), exchanges_.size());
    dispatch_.leaving(loop_.now());
    pumpSoon();
    loop_.cancel(sweepTimer_);
    sweep();
}

// New connections come for two seconds and more after the readiness check fails: they are served to the last,
// each with its connection's end. Then the rest of the grace is for what is still at an endpoint.
void Proxy::mayEnd() {
    Instant now = loop_.now();
    Span lasts = now - leavingSince_;
    if (lasts > Span::millis(400)) {
        std::vector<HttpVisit*> all;
        for (auto& [id, visit] : visits_) all.push_back(visit.get());
        for (HttpVisit* visit : all) visit->closeWhenIdle(Span::millis(300));
    }
    if (lasts > settings_.bounds.grace - kLastHeld) {
        if (listener_) listener_->close();  // who comes now is told by the reset, having sent nothing
        dispatch_.turnAway(now);
        pumpSoon();
    }
    bool quiet = exchanges_.empty() && now - lastCame_ > Span::millis(700);
    bool late = lasts > settings_.bounds.grace - kLastHeld + Span::millis(200);
    bool busy = std::any_of(visits_.begin(), visits_.end(), [](const auto& v) { return v.second->busy(); });
    if ((quiet && !busy && lasts > Span::millis(3200)) || (late && !busy && exchanges_.empty()) ||
        lasts > settings_.bounds.grace - Span::millis(250)) {
        logCounters();
        loop_.stop();
    }
}

void Proxy::logCounters() const {
    const Counters& c = dispatch_.counters();
    spdlog::info(
        "counters arrived={} sent={} passed={} refused={} refused_held={} again={} gave_up={} full={} "
        "misdirected={} broken={} silent={} unconnected={} probes={} reports={} no_route={} not_ready={} "
        "borrowed={} borrowed_full={} excess={} spoilt={} connects={} connects_spared={} parked={} "
        "whole_asked={} open={} waiting={} "
        "turned_away={} too_much={} bytes={}",
        c.arrived, c.sent, c.passed, c.refusedAtOnce, c.refusedHeld, c.again, c.gaveUp, c.full, c.misdirected,
        c.broken, c.silent, c.unconnected, c.probes, c.reports, noRoute_, notReady_, c.borrowed,
        c.borrowedFull, excess_, spoilt_, connects_, connectsSpared_, parkedCount_, wholeAsked_,
        visits_.size(), dispatch_.held(), turnedAway_, tooMuch_, bytes_);
}

}  // namespace petrelpond::proxy
