#include "fleet/system/platform.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace petrelpond::range {

using network::Address;
using network::HttpRequest;
using network::HttpVisit;
using nlohmann::json;

namespace {

constexpr size_t kPage = 50;
const Span kCrashedListed = Span::seconds(2);  // a crashed endpoint stays on the list for so long
const Span kDrainBeyond = Span::millis(700);   // a leaving endpoint serves on for drain_ms and so much more
constexpr const char* kJson = "Content-Type: application/json\r\n";

std::string field(const json& body, const char* name) {
    auto at = body.find(name);
    return at != body.end() && at->is_string() ? at->get<std::string>() : std::string();
}

json parsed(const std::string& text) {
    json body = json::parse(text, nullptr, false);
    return body.is_object() ? body : json::object();
}

std::string parameter(std::string_view query, std::string_view name) {
    auto target = http::parseTarget(query);
    return target ? target->parameter(name).value_or("") : std::string();
}

}  // namespace

uint64_t digestOf(std::string_view bytes) { return std::hash<std::string_view>()(bytes); }

bool Platform::Allowance::take(Instant now) {
    left = std::min(rate, left + rate * (now - at).inSeconds());
    at = now;
    if (left < 1) return false;
    --left;
    return true;
}

Platform::Platform(network::Loop& loop, Judge& judge, const Plan& plan, std::vector<ServicePlan> services,
                   std::vector<std::string> zones, uint32_t network, uint64_t seed)
    : loop_(loop), judge_(judge), plan_(plan), services_(std::move(services)), network_(network),
      chance_(seed) {
    limits_.idleTimeout = Span::seconds(30);
    lists_ = {plan.listRate, plan.listRate, loop.now()}, duties_ = {plan.dutyRate, plan.dutyRate, loop.now()};
    for (int i = 0; i < plan.workers; ++i) {
        Worker w;
        w.name = "w-" + std::to_string(i + 1), w.zone = zones[static_cast<size_t>(i) % zones.size()];
        w.memory = plan.workerMemoryMb;
        w.freeMemory.emplace_back(Instant::longAgo(), w.memory);
        workers_.push_back(std::move(w));
    }
}

Platform::~Platform() = default;

void Platform::open(Address at) {
    at_ = at;
    setDown(false);
    sweep();
}

void Platform::setDown(bool down) {
    down_ = down;
    if (down) {
        listener_.reset();
        for (auto& [id, visit] : visits_) loop_.bury(std::move(visit));
        visits_.clear();
        return;
    }
    if (listener_) return;
    std::string error;
    listener_ = network::Listener::open(
        loop_, at_,
        [this](int fd, Address) {
            uint64_t id = nextVisit_++;
            visits_[id] = std::make_unique<HttpVisit>(loop_, *this, fd, id);
        },
        error);
    if (!listener_) throw std::runtime_error("the platform's address " + at_.text() + ": " + error);
}

void Platform::setSlow(Span by) { slow_ = by; }

void Platform::strike(const FaultPlan& f) { strikes_.emplace_back(f, loop_.now() + f.lasts); }

std::optional<Kind> Platform::struck(const ServicePlan& s) {
    for (const auto& [f, until] : strikes_) {
        if (f.kind == Kind::refusedTwice || !strikes(f, until, s)) continue;
        ++counts_.struck;
        return f.kind;
    }
    return std::nullopt;
}

bool Platform::refusesTwice(const ServicePlan& s) {
    const bool refuses = std::any_of(strikes_.begin(), strikes_.end(), [&](const auto& each) {
        return each.first.kind == Kind::refusedTwice && strikes(each.first, each.second, s);
    });
    counts_.struck += refuses;
    return refuses;
}

bool Platform::strikes(const FaultPlan& f, Instant until, const ServicePlan& s) {
    return loop_.now() <= until && (f.group < 0 || f.group == s.group) && between(0, 1) < f.share;
}

void Platform::sweep() {
    std::vector<HttpVisit*> all;
    for (auto& [id, visit] : visits_) all.push_back(visit.get());
    for (HttpVisit* visit : all) visit->look();
    Instant now = loop_.now();
    for (size_t i = 0; i < living_.size();) {
        Endpoint& e = *living_[i];
        e.look();
        if (e.gone())
            living_.erase(living_.begin() + static_cast<long>(i));
        else
            ++i;
    }
    for (Worker& w : workers_)
        while (w.freeMemory.size() > 1 && w.freeMemory[1].first <= now - plan_.lag) w.freeMemory.pop_front();
    loop_.at(now + Span::millis(200), [this] { sweep(); });
}

void Platform::left(HttpVisit& visit) {
    auto found = visits_.find(visit.id());
    if (found == visits_.end()) return;
    loop_.bury(std::move(found->second));
    visits_.erase(found);
}

void Platform::answer(HttpVisit& visit, int status, std::string body) {
    auto write = [this, id = visit.id(), status, body = std::move(body)] {
        auto found = visits_.find(id);
        if (found != visits_.end() && found->second->mayAnswer()) found->second->answer(status, kJson, body);
    };
    if (slow_ > Span())
        loop_.at(loop_.now() + slow_, write);
    else
        write();
}

void Platform::asked(HttpVisit& visit, HttpRequest&& request) {
    std::string_view path = request.target().substr(0, request.target().find('?'));
    bool duty = request.method() == "POST" && (path == "/initiate" || path == "/stop");
    bool list = request.method() == "GET" && (path == "/endpoints" || path == "/workers");
    if (!duty && !list) return answer(visit, 404, "{}");
    if (list) ++counts_.lists;
    if (!(duty ? duties_ : lists_).take(loop_.now())) return ++counts_.rationed, answer(visit, 429, "{}");
    if (path == "/endpoints")
        endpoints(visit, request.target());
    else if (path == "/workers")
        workers(visit);
    else if (fenced(request))
        ++counts_.fenced, answer(visit, 409, "{\"cause\":\"a later holder has called\"}");
    else if (path == "/initiate")
        initiate(visit, request);
    else
        halt(visit, request);
}

bool Platform::fenced(const HttpRequest& request) {
    auto said = request.head.field("X-Fence-Number");
    auto number = said ? http::wholeNumber(*said) : std::nullopt;
    if (!number || *number < highestFence_) return true;
    highestFence_ = *number;
    return false;
}

void Platform::endpoints(HttpVisit& visit, std::string_view target) {
    Instant now = loop_.now(), seen = now - plan_.lag;
    std::string zone = parameter(target, "zone"), token = parameter(target, "page_token");
    size_t first = token.size() > 2 ? static_cast<size_t>(std::strtoul(token.c_str() + 2, nullptr, 10)) : 0;
    json all = json::array();
    for (const auto& [id, e] : endpoints_) {
        if (seen < e->upAt || seen >= e->stoppedAt + (e->crashed ? kCrashedListed : Span())) continue;
        Worker* w = worker(e->worker);
        if (!zone.empty() && w->zone != zone) continue;
        all.push_back({{"endpoint_id", id},
                       {"service", e->service.name},
                       {"address", e->address.text()},
                       {"zone", w->zone},
                       {"worker_id", e->worker},
                       {"config_version", "v1"},
                       {"concurrency_slots", e->service.slots},
                       {"endpoint_state", seen >= e->drainsAt ? "draining" : "available"},
                       {"cold_remaining_ms", 0}});
    }
    json page = json::array();
    for (size_t i = first; i < std::min(all.size(), first + kPage); ++i) page.push_back(std::move(all[i]));
    json next = first + kPage < all.size() ? json("p-" + std::to_string(first + kPage)) : json();
    answer(visit, 200, json{{"endpoints", page}, {"next_token", next}}.dump());
}

void Platform::workers(HttpVisit& visit) {
    json all = json::array();
    Instant seen = loop_.now() - plan_.lag;
    for (const Worker& w : workers_) {
        if (w.down) continue;
        int left = w.memory;
        for (const auto& [at, memory] : w.freeMemory)
            if (at <= seen) left = memory;
        all.push_back({{"name", w.name},
                       {"zone", w.zone},
                       {"memory_mb", w.memory},
                       {"free_memory_mb", left},
                       {"endpoint_state", seen >= w.drainsAt ? "draining" : "available"}});
    }
    answer(visit, 200, json{{"worker_set", all}}.dump());
}

Platform::Worker* Platform::worker(const std::string& name) {
    auto at = std::find_if(workers_.begin(), workers_.end(), [&](const Worker& w) { return w.name == name; });
    return at == workers_.end() ? nullptr : &*at;
}

void Platform::take(Worker& w, int memory) {
    w.used += memory;
    w.freeMemory.emplace_back(loop_.now(), w.memory - w.used);
}

// One that was in use before goes first, as soon as it may: whoever kept it in mind meets a stranger there.
Address Platform::freshAddress() {
    if (!freed_.empty() && loop_.now() - freed_.front().first > plan_.bounds.addressReuse) {
        Address a = freed_.front().second;
        freed_.pop_front();
        return a;
    }
    uint32_t n = nextAddress_++;
    if (n >= 150 * 250) throw std::runtime_error("no more addresses for endpoints");
    return {network_ | (100 + n / 250) << 8 | (1 + n % 250), 8080};
}

void Platform::initiate(HttpVisit& visit, const HttpRequest& request) {
    json body = parsed(request.body);
    std::string service = field(body, "service"), on = field(body, "worker_id"), nonce = field(body, "nonce");
    auto plan = std::find_if(services_.begin(), services_.end(), [&](auto& s) { return s.name == service; });
    if (plan == services_.end() || on.empty() || nonce.empty() || nonce.size() > 64)
        return answer(visit, 400, "{}");
    auto tell = [&](const Endpoint& e) {
        answer(visit, 200, json{{"endpoint_id", e.id}, {"address", e.address.text()}}.dump());
    };
    if (auto seen = nonces_.find({service, nonce}); seen != nonces_.end())
        return tell(*endpoints_[seen->second]);
    Worker* w = worker(on);
    if (!w || w->down || w->drainsAt <= loop_.now() || w->used + plan->memoryMb > w->memory)
        return ++counts_.noRoom, answer(visit, 409, "{\"cause\":\"no room there\"}");
    ++counts_.starts;
    take(*w, plan->memoryMb);
    Instant up = loop_.now() + plan->boot * between(0.8, 1.25);
    auto made = std::make_unique<Endpoint>(*this, nextEndpoint_++, *plan, on, freshAddress(), up);
    Endpoint* e = made.get();
    endpoints_[e->id] = std::move(made);
    nonces_[{service, nonce}] = e->id;
    living_.push_back(e);
    counts_.mostInstances = std::max(counts_.mostInstances, living_.size());
    loop_.at(up, [e] { e->open(); });
    tell(*e);
}

void Platform::halt(HttpVisit& visit, const HttpRequest& request) {
    auto found = endpoints_.find(field(parsed(request.body), "endpoint_id"));
    if (found == endpoints_.end()) return answer(visit, 404, "{}");
    Endpoint& e = *found->second;
    if (e.stoppedAt == Instant::never()) {
        ++counts_.stops;
        e.stop();
    }
    answer(visit, 200, "{}");
}

void Platform::ended(Endpoint& e) {
    take(*worker(e.worker), -e.service.memoryMb);
    freed_.emplace_back(loop_.now(), e.address);
}

Platform::Worker* Platform::drawWorker() {
    // One with endpoints rather than one without, or nothing would be seen.
    std::vector<Worker*> used, all;
    for (Worker& w : workers_) {
        if (w.down || w.drainsAt != Instant::never()) continue;
        all.push_back(&w);
        if (w.used > 0) used.push_back(&w);
    }
    auto& from = used.empty() ? all : used;
    return from.empty() ? nullptr : from[chance_() % from.size()];
}

void Platform::crashWorker(Span away) {
    Worker* w = drawWorker();
    if (!w) return;
    w->down = true;
    auto all = living_;
    for (Endpoint* e : all)
        if (e->worker == w->name && e->stoppedAt == Instant::never()) ++counts_.crashed, e->crash();
    judge_.disturbed(loop_.now(), loop_.now() + away);
    loop_.at(loop_.now() + away, [w] { w->down = false; });
}

void Platform::drainWorker(Span away) {
    Worker* w = drawWorker();
    if (!w) return;
    Instant now = loop_.now();
    w->drainsAt = now;
    for (Endpoint* e : living_) {
        if (e->worker != w->name || e->stoppedAt != Instant::never() || e->drainsAt != Instant::never())
            continue;
        e->drainsAt = now;
        Instant shown = std::max(now, e->upAt) + plan_.lag;
        judge_.leaves(shown, e->id);
        loop_.at(shown + plan_.bounds.drain + kDrainBeyond, [e] {
            if (e->stoppedAt == Instant::never()) e->stop();
        });
    }
    loop_.at(now + std::max(away, plan_.lag + plan_.bounds.drain + kDrainBeyond + Span::seconds(1)),
             [w] { w->drainsAt = Instant::never(); });
}

// --- one endpoint ------------------------------------------------------------------------------------------

Endpoint::Endpoint(Platform& of, uint64_t n, const ServicePlan& s, std::string on, Address at, Instant up)
    : number(n), service(s), id("i-" + std::to_string(n) + "-" + std::to_string(of.chance_() % 100000)),
      worker(std::move(on)), address(at), upAt(up), of_(of), pace_(of.between(0.85, 1.25)) {
    limits_.idleTimeout = Span::seconds(4);
}

void Endpoint::open() {
    if (stoppedAt != Instant::never()) return;
    std::string error;
    listener_ = network::Listener::open(
        of_.loop_, address,
        [this](int fd, Address) {
            ++of_.counts_.connects;
            if (visits_.size() >= static_cast<size_t>(service.connections)) {
                linger none{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
                ::close(fd);
                return;
            }
            uint64_t visit = nextVisit_++;
            Visit& v = visits_[visit];
            v.fd = fd, v.http = std::make_unique<HttpVisit>(of_.loop_, *this, fd, visit);
        },
        error);
    if (!listener_) throw std::runtime_error("an endpoint's address " + address.text() + ": " + error);
}

void Endpoint::stop() {
    stoppedAt = of_.loop_.now(), over_ = true;
    if (listener_) of_.loop_.bury(std::move(listener_));
    for (auto& [n, v] : visits_) v.http->closeWhenIdle();
    of_.ended(*this);
}

void Endpoint::crash() {
    crashed = true;
    stop();
    while (!visits_.empty()) drop(visits_.begin(), true);
}

void Endpoint::look() {
    std::vector<HttpVisit*> all;
    for (auto& [visit, v] : visits_) all.push_back(v.http.get());
    for (HttpVisit* visit : all) visit->look();
}

void Endpoint::drop(std::map<uint64_t, Visit>::iterator at, bool reset) {
    Visit& v = at->second;
    if (v.work != 0) {
        of_.loop_.cancel(v.work);
        --busy_;
        if (reset)
            of_.judge_.answered(of_.loop_.now(), v.attempt, 0, "", 0);
        else
            of_.judge_.abandoned(of_.loop_.now(), v.attempt, v.workEnds);
    }
    if (reset) {
        linger none{1, 0};
        setsockopt(v.fd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
    }
    of_.loop_.bury(std::move(v.http));
    visits_.erase(at);
}

void Endpoint::left(HttpVisit& visit) {
    if (auto found = visits_.find(visit.id()); found != visits_.end()) drop(found, false);
}

// The caller has gone: what it asked for is dropped.
void Endpoint::hungUp(HttpVisit& visit) {
    of_.loop_.soon([this, n = visit.id()] {
        if (auto found = visits_.find(n); found != visits_.end()) drop(found, false);
    });
}

void Endpoint::asked(HttpVisit& visit, HttpRequest&& request) {
    Instant now = of_.loop_.now();
    auto found = visits_.find(visit.id());
    if (found == visits_.end()) return;  // dropped in this round
    Visit& v = found->second;
    auto attempt = request.head.field("X-Attempt-Id");
    auto notRun = [&](int status) {
        std::string fields = "X-Not-Executed: true\r\n";
        if (attempt) fields.append("X-Attempt-Id: ").append(*attempt).append("\r\n");
        visit.answer(status, fields, "", over_ || drainsAt != Instant::never());
    };
    if (!attempt || attempt->empty()) return notRun(400);
    std::string name(*attempt);
    if (!v.refusalCopy.empty()) {
        (void)!::send(v.fd, v.refusalCopy.data(), v.refusalCopy.size(), MSG_NOSIGNAL);
        v.refusalCopy.clear();
    }
    auto target = request.head.field("X-Target-Endpoint");
    bool stranger = target && *target != id;
    of_.judge_.reached(now, name, id, service.name, stranger);
    if (stranger) return ++of_.counts_.misdirected, notRun(421);
    auto left = request.head.field("X-Time-Remaining");
    double ms = left ? http::decimal(*left).value_or(0) : 10000;
    if (over_ || ms <= 0) return notRun(503);
    const bool refusesTwice = of_.refusesTwice(service);
    if (refusesTwice)
        v.refusalCopy = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: true\r\nX-Attempt-Id: " + name +
                        "\r\nContent-Length: 0\r\n\r\n";
    if (refusesTwice || busy_ >= service.slots) {
        ++of_.counts_.full;
        of_.judge_.turnedAway(now, name, service.name);
        return notRun(503);
    }
    ++of_.counts_.runs;
    of_.judge_.ran(now, name, service.name, request.method(), request.target(), digestOf(request.body));
    ++busy_;
    v.attempt = name;
    double work = std::strtod(parameter(request.target(), "work").c_str(), nullptr);
    work *= pace_ * of_.between(0.7, 1.3);
    bool late = work > ms;
    uint64_t pieces = std::strtoul(parameter(request.target(), "size").c_str(), nullptr, 10);
    v.workEnds = now + Span::seconds(std::min(work, ms) / 1e3);
    v.work = of_.loop_.at(v.workEnds, [this, n = visit.id(), late, pieces] { finish(n, late, pieces); });
}

void Endpoint::finish(uint64_t n, bool late, uint64_t size) {
    auto found = visits_.find(n);
    if (found == visits_.end()) return;
    Visit& v = found->second;
    Instant now = of_.loop_.now();
    v.work = 0;
    --busy_;
    auto said = [&](int status, const std::string& seal, uint64_t body) {
        of_.judge_.answered(now, v.attempt, status, seal, body);
    };
    std::string echo = "X-Attempt-Id: " + v.attempt + "\r\n";
    bool last = over_ || drainsAt != Instant::never();
    if (late) return said(504, "", digestOf("")), v.http->answer(504, echo, "", last);
    std::string body;
    for (uint64_t word = digestOf(id + v.attempt); body.size() < size; word = word * 6364136223846793005u + 1)
        body += std::to_string(word % 1000003) + " ";
    body.resize(size);
    std::string seal =
        std::to_string(number) + "." + std::to_string(digestOf(v.attempt + body) % 0xffffffffu);
    std::string fields = echo + "X-Endpoint-Seal: " + seal + "\r\nKeep-Alive: timeout=4\r\n";
    auto head = [&](const std::string& lines, size_t length) {
        return "HTTP/1.1 200 OK\r\n" + lines + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    };
    auto raw = [&](const std::string& bytes) {
        (void)!::send(v.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    };
    std::string excess =
        head("X-Attempt-Id: " + (v.before.empty() ? "none" : v.before) + "\r\nX-Endpoint-Seal: 0.0\r\n", 4) +
        "over";
    auto trouble = of_.struck(service);
    if (!trouble || *trouble == Kind::excess || *trouble == Kind::excessLate) {
        said(200, seal, digestOf(body));
        v.before = v.attempt;
        if (size % 2 == 1) {  // some come in chunks
            char length[32];
            std::snprintf(length, sizeof length, "%llx\r\n", static_cast<unsigned long long>(size));
            std::string chunks = "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" +
                                 length + body + "\r\n0\r\n\r\n";
            v.http->answerAsIs(chunks, trouble == Kind::excess ? excess : "", last);
        } else if (last) {
            v.http->answer(200, fields, body, true);
        } else {
            v.http->answerAsIs(head(fields, size), trouble == Kind::excess ? body + excess : body, false);
        }
        if (trouble == Kind::excessLate)
            of_.loop_.at(now + Span::millis(static_cast<int64_t>(of_.between(20, 300))), [this, n, excess] {
                auto at = visits_.find(n);
                if (at != visits_.end())
                    (void)!::send(at->second.fd, excess.data(), excess.size(), MSG_NOSIGNAL);
            });
        return;
    }
    said(0, "", 0);
    switch (*trouble) {
        case Kind::cut:
            raw(head(fields, size + 10) + body.substr(0, size / 2));
            break;
        case Kind::noise:
            raw("\x16\x03\x01 no answer at all \x00\x01\r\n\r\n");
            break;
        default:
            break;  // answer lost, reset
    }
    drop(found, *trouble == Kind::reset);
}

}  // namespace petrelpond::range
