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

const Span kConnectTimeout = Span::millis(700);          // for connecting to an instance
const Span kUnacknowledgedTimeout = Span::millis(2500);  // after which a peer is considered gone
constexpr size_t kMaxResponseBodyBytes = 16u << 20;
const Span kPeerCheckPatience = Span::millis(300);     // more than a round trip and a delayed acknowledgement
const Span kMaxIdle = Span::seconds(8);                // longest idle time of a kept connection
const Span kRejectNewBeforeKill = Span::millis(1600);  // rejects new requests this long before the kill
const Span kRejectQueuedBeforeKill = Span::millis(1300);  // rejects queued requests then
const Span kLateAfterSignal = Span::seconds(3);        // see DrainSchedule; at most half of the grace period
const Span kAbandonBeforeKill = Span::millis(400);     // answers what is still in flight then
const Span kStopBeforeKill = Span::millis(250);        // the process ends by itself then
const Span kMaxIdleNonIdempotent = Span::millis(900);  // longest idle time before a non-idempotent request
constexpr size_t kMaxAbandonedLogged = 50;             // requests that are logged one by one at the exit

bool isHopByHop(std::string_view name) {
    for (const char* each :
         {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade",
          "Content-Length", "Expect", "Proxy-Authorization", "Proxy-Authenticate"})
        if (http::sameName(name, each)) return true;
    return false;
}

// Fields that the protocol itself needs cannot be removed by naming them in Connection: a request is not
// executed without its attempt id, and a success is not accepted without the seal.
bool isEndToEnd(std::string_view name) {
    return http::sameName(name, "Host") || http::sameName(name, "X-Attempt-Id") ||
           http::sameName(name, "X-Endpoint-Seal");
}

void appendFields(std::string& out, const http::Head& head,
                  std::initializer_list<std::string_view> excluded) {
    bool hasConnectionField = head.field("Connection").has_value();
    for (const auto& [name, value] : head.fields) {
        if (isHopByHop(name) || (hasConnectionField && !isEndToEnd(name) && head.names(name))) continue;
        if (std::any_of(excluded.begin(), excluded.end(),
                        [n = name](auto b) { return http::sameName(n, b); }))
            continue;
        out.append(name).append(": ").append(value).append("\r\n");
    }
}

std::string retryAfterField(Span wait) {
    char text[48];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", std::max(0.001, wait.inSeconds()));
    return text;
}

}  // namespace

// --- Connections to instances ---

struct Proxy::InstanceConnection final : network::StreamOwner {
    Proxy& proxy;
    uint64_t id;
    InstanceIndex instanceIndex;
    std::string instanceId;
    std::unique_ptr<Stream> stream;
    RequestId requestId = 0;  // 0: none
    bool isProbe = false, isIdle = false;
    bool isParked = false;  // idle, and this proxy has no slot of its instance
    ResponseReader reader{kMaxResponseBodyBytes};
    network::TimerId timer = 0;
    Instant connectBy, attemptTimeoutAt, deadline, idleSince;
    Span maxIdle = kMaxIdle;  // announced by the instance

    InstanceConnection(Proxy& p, uint64_t i, InstanceIndex a, std::string name)
        : proxy(p), id(i), instanceIndex(a), instanceId(std::move(name)) {}
    void connected(Stream&) override {
        // Nothing is sent for a client that has disconnected in the meantime.
        if (requestId != 0 && !proxy.hasClient(requestId))
            return proxy.failConnection(*this, AttemptOutcome::notSent);
        if (!isProbe) return;
        isProbe = false;
        isIdle = true, idleSince = proxy.loop_.now();
        proxy.loop_.cancel(timer);
        proxy.poolOf(instanceIndex).idle.push_back(this);
        if (proxy.isCurrent(*this)) proxy.dispatch_.onProbeResult(proxy.loop_.now(), instanceIndex, true);
        proxy.scheduleOutputs();
    }
    void data(Stream&) override { proxy.onResponseData(*this); }
    void ended(Stream& s, int) override {
        if (requestId != 0 && !s.in().empty()) {
            // The bytes may be a complete response that preceded the close.
            proxy.onResponseData(*this);
            if (requestId == 0 || stream->in().empty()) return;
        }
        if (requestId == 0) {
            if (isProbe && proxy.isCurrent(*this))
                proxy.dispatch_.onProbeResult(proxy.loop_.now(), instanceIndex, false),
                    proxy.scheduleOutputs();
            return proxy.closeConnection(*this);
        }
        proxy.failConnection(*this, !s.isConnected()   ? AttemptOutcome::connectFailed
                                    : s.anythingSent() ? AttemptOutcome::connectionBroken
                                                       : AttemptOutcome::notSent);
    }
};

// --- Proxy ---

Proxy::Proxy(network::Loop& loop, const configuration::Settings& settings, uint32_t seed,
             std::string loopback)
    : loop_(loop), settings_(settings), loopback_(std::move(loopback)),
      dispatch_(loop.now(), Dispatch::Options{seed, settings.zone, settings.bounds.retryBudgetRatio,
                                              settings.bounds.retrySlack, settings.bounds.budgetWindow,
                                              !settings.bootstrap}),
      random_{std::mt19937(seed + 1)}, readiness_(loop, [this] { return routes_ && !isDraining_; }) {}

Proxy::~Proxy() = default;

bool Proxy::start(std::string& error) {
    if (!settings_.front || !settings_.readiness) {
        error = "listen_addresses: front and readiness are required for a role that serves edge";
        return false;
    }
    auto front = network::Address::parse(settings_.front->text());
    auto ready = network::Address::parse(settings_.readiness->text());
    // Descriptors are reserved for requests in flight: beyond the limit a new connection is closed unread and
    // its client goes elsewhere. Of the 300 set aside, 200 are the platform's for files and the rest serves
    // this process; each request may take two.
    maxVisits_ = static_cast<size_t>(std::max(64, settings_.limits.fileDescriptors - 300)) * 2 / 3;
    dispatch_.setMaxQueued(maxVisits_ / 2);
    maxParked_ = maxVisits_ / 4;
    // A body is buffered in several places on its way: as received, in the kernel, and as forwarded.
    maxBufferedBytes_ = static_cast<size_t>(settings_.limits.memoryMb) * 1'000'000 / 8;
    listener_ = network::Listener::open(
        loop_, *front,
        [this](int fd, network::Address) {
            if (visits_.size() >= maxVisits_) {
                ++rejectedConnections_;
                ::close(fd);
                return;
            }
            uint64_t id = nextVisitId_++;
            lastAcceptedAt_ = loop_.now();
            visits_[id] = std::make_unique<HttpVisit>(loop_, *this, fd, id);
        },
        error);
    if (!listener_) return error = settings_.front->text() + ": " + error, false;
    if (!readiness_.listen(*ready, error)) return error = settings_.readiness->text() + ": " + error, false;
    connectAgent();
    runPeriodicChecks();
    armTimer();
    return true;
}

void Proxy::connectAgent() {
    if (agentLink_) return;
    agentLink_ = Link::connect(
        loop_, *this, *network::Address::parse(loopback_, static_cast<uint16_t>(settings_.portFirst + 2)),
        Span());
    if (!agentLink_) loop_.at(loop_.now() + Span::millis(100), [this] { connectAgent(); });
}

void Proxy::linkUp(Link& link) {
    network::Hello hello{settings_.nodeName, settings_.ip, settings_.zone, 0,
                         routes_ ? routes_->configuration()->version : 0};
    link.say(Kind::hello, hello);
}

void Proxy::linkDown(Link&, bool) {
    agentLink_->close();
    loop_.bury(std::move(agentLink_));
    dispatch_.onPlannerDisconnected();
    dispatch_.setPlannerSilent(loop_.now(), true);
    loop_.at(loop_.now() + Span::millis(100), [this] { connectAgent(); });
}

void Proxy::frame(Link&, Kind kind, std::string_view payload) {
    if (kind == Kind::config) {
        if (auto c = network::unpacked<network::Config>(payload)) applyConfiguration(*c);
    } else if (kind == Kind::standing) {
        if (auto s = network::unpacked<network::Standing>(payload)) {
            dispatch_.updatePlannerStatus(loop_.now(), s->term, s->linked, s->senders);
            dispatch_.setPlannerSilent(loop_.now(), s->silent);
        }
    } else if (kind == Kind::grants) {
        if (auto g = network::unpacked<scaler::Grants>(payload)) dispatch_.applyGrants(loop_.now(), *g);
    }
    scheduleOutputs();
}

void Proxy::applyConfiguration(const network::Config& c) {
    // Never applies an older version: what it allows must not be served once a newer version was in force.
    const configuration::Taking how = configurationText_.take(c);
    if (how == configuration::Taking::older) return;
    if (how != configuration::Taking::taken) {  // e.g. after a start between two versions
        ++fullConfigRequests_;
        agentLink_->say(Kind::want, network::Beat{});
        return;
    }
    auto made = configuration::trusted(configurationText_.text());
    if (!made) return spdlog::error("configuration {} from the agent cannot be parsed", c.version);
    limits_ = {made->limits.headerBytes, made->limits.bodyBytes, made->limits.headerTimeout,
               made->limits.idleTimeout};
    std::vector<ServiceSpec> specs;
    for (const auto& s : made->services)
        specs.push_back({s.name, s.maxConcurrency, s.boot, s.maxConnections});
    routes_ = std::make_unique<configuration::RouteTable>(std::move(made));
    dispatch_.updateServices(loop_.now(), specs);
    spdlog::info("configuration {} in force, {} routes, {} services", c.version,
                 routes_->configuration()->routes.size(), specs.size());
}

void Proxy::asked(HttpVisit& visit, HttpRequest&& request) {
    auto rejectNotExecuted = [&](Span wait) { visit.answer(503, retryAfterField(wait), "", isDraining_); };
    if (!routes_) {  // without a configuration no route is known to be missing, so no 404
        ++notReady_;
        // The random part keeps clients from returning together.
        return rejectNotExecuted(Span::millis(300) + Span::seconds(random_.uniform(0.05, 0.25)));
    }
    // With few proxies left, the platform sends requests here until the end. A request that may not finish
    // before the process is killed is rejected as not executed. Drawback: this includes requests that would
    // have been quick.
    if (isDraining_ && loop_.now() - drainingSince_ > settings_.bounds.grace - kRejectNewBeforeKill) {
        visit.answer(503, retryAfterField(Span::millis(50)), "", true);
        return;
    }
    auto host = request.head.field("Host");
    std::string_view target = request.target();
    const configuration::Route* route = routes_->find(host.value_or(""), target.substr(0, target.find('?')));
    if (!route) {
        ++noRoute_;
        return visit.answer(404, "", "", isDraining_);
    }
    // A process that exceeds its memory limit is killed with all its requests in flight. Drawback: small
    // requests are rejected as well.
    if (bufferedBytes_ + request.raw.size() + request.body.size() > maxBufferedBytes_) {
        ++rejectedForMemory_;
        Span wait = Span::millis(200) + Span::seconds(random_.uniform(0.05, 0.25));
        return visit.answer(503, retryAfterField(wait), "", true);
    }
    auto id = request.head.field("X-Attempt-Id");
    if (!id || id->empty()) return visit.answer(400, "", "X-Attempt-Id is missing\n", isDraining_);
    Span left = route->timeout;
    if (auto told = request.head.field("X-Time-Remaining")) {
        // Compared as floating-point numbers: a value beyond the range of Span would convert to a time in the
        // past.
        auto ms = http::decimal(*told);
        if (ms && *ms >= 0 && *ms / 1000 < left.inSeconds()) left = Span::seconds(*ms / 1000);
    }
    IncomingRequest a;
    a.id = nextRequestId_++;
    a.service = configuration::pickService(*route, route->to.size() > 1 ? random_.uniform(0, 1) : 0);
    a.isIdempotent = route->repeatable, a.priority = route->priority, a.maxAttempts = route->maxAttempts;
    a.deadline = loop_.now() + left, a.targetLatency = route->target, a.routeTimeout = route->timeout;
    Exchange& e = exchanges_[a.id];
    e.visit = visit.id(), e.attemptId = std::string(*id), e.deadline = a.deadline,
    e.isIdempotent = a.isIdempotent, e.receivedAt = loop_.now();
    e.request = std::move(request);
    updateBufferedBytes(e);
    visit.tag = a.id;
    dispatch_.onRequest(loop_.now(), a);
    scheduleOutputs();
}

// The end of its sending alone does not tell that the client has disconnected. If it has, left() follows.
void Proxy::hungUp(HttpVisit& visit) {
    if (visit.tag == 0) return;
    ++clientsStoppedSending_;
    visit.checkPeer(kPeerCheckPatience);
}

void Proxy::left(HttpVisit& visit) {
    if (visit.tag != 0) cancelExchange(visit.tag);
    auto at = visits_.find(visit.id());
    if (at == visits_.end()) return;
    loop_.bury(std::move(at->second));
    visits_.erase(at);
}

// Ends what is under way for a client that has disconnected, as far as Dispatch allows.
void Proxy::cancelExchange(RequestId id) {
    auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return;
    Exchange& e = found->second;
    e.visit = 0;
    if (!dispatch_.isQueued(id)) ++clientsGoneInFlight_;
    scheduleOutputs();
    if (!dispatch_.cancelRequest(loop_.now(), id, progressOf(e))) return;
    // The instance sees the close and may drop the request.
    if (InstanceConnection* connection = e.connection)
        connection->requestId = 0, closeConnection(*connection);
    eraseExchange(found);
}

AttemptProgress Proxy::progressOf(const Exchange& e) const {
    if (!e.connection) return AttemptProgress::none;
    const Stream& stream = *e.connection->stream;
    if (!stream.isConnected()) return AttemptProgress::connecting;
    return stream.unsent() > 0 ? AttemptProgress::sending : AttemptProgress::sent;
}

bool Proxy::hasClient(RequestId id) const {
    auto found = exchanges_.find(id);
    return found != exchanges_.end() && found->second.visit != 0;
}

void Proxy::updateBufferedBytes(Exchange& e) {
    bufferedBytes_ -= e.countedBytes;
    e.countedBytes = e.request.raw.size() + e.request.body.size();
    if (e.response) e.countedBytes += e.response->raw.size() + e.response->body.size();
    bufferedBytes_ += e.countedBytes;
}

void Proxy::eraseExchange(std::unordered_map<RequestId, Exchange>::iterator found) {
    bufferedBytes_ -= found->second.countedBytes;
    exchanges_.erase(found);
}

void Proxy::scheduleOutputs() {
    if (areOutputsScheduled_) return;
    areOutputsScheduled_ = true;
    loop_.soon([this] { processOutputs(); });
}

void Proxy::processOutputs() {
    areOutputsScheduled_ = false;
    if (dispatch_.wakeAt() <= loop_.now()) dispatch_.tick(loop_.now());
    while (auto output = dispatch_.next()) {
        if (auto* s = std::get_if<SendRequest>(&*output))
            sendRequest(*s);
        else if (auto* r = std::get_if<RejectRequest>(&*output))
            answerWithStatus(r->id, r->status, retryAfterField(r->retryAfter));
        else if (auto* g = std::get_if<FailRequest>(&*output))
            answerWithStatus(g->id, g->status, "");
        else if (auto* p = std::get_if<ForwardResponse>(&*output))
            forwardResponse(p->id);
        else if (auto* x = std::get_if<DropRequest>(&*output))
            dropRequest(x->id);
        else if (auto* b = std::get_if<ProbeInstance>(&*output))
            probeInstance(b->instance);
        else if (auto* d = std::get_if<ReleaseInstance>(&*output))
            releaseInstance(*d);
        else if (auto* t = std::get_if<SendReport>(&*output)) {
            if (agentLink_ && agentLink_->isUp()) agentLink_->say(Kind::report, t->report);
        }
    }
    armTimer();
}

void Proxy::armTimer() {
    Instant wake = dispatch_.wakeAt();
    if (timer_ != 0 && armedFor_ <= wake) return;
    loop_.cancel(timer_);
    armedFor_ = wake;
    timer_ = loop_.at(wake, [this] {
        timer_ = 0;
        dispatch_.tick(loop_.now());
        scheduleOutputs();
    });
}

Proxy::ConnectionPool& Proxy::poolOf(InstanceIndex at) {
    if (pools_.size() <= at) pools_.resize(at + 1);
    return pools_[at];
}

std::string Proxy::serializeRequest(const Exchange& e, const std::string& instance) const {
    std::string out;
    out.reserve(e.request.raw.size() + e.request.body.size() + 128);
    out.append(e.request.method()).append(" ").append(e.request.target()).append(" HTTP/1.1\r\n");
    appendFields(out, e.request.head, {"X-Time-Remaining", "X-Target-Endpoint"});
    int64_t left = std::max<int64_t>(1, (e.deadline - loop_.now()).inMicros() / 1000);
    out.append("X-Time-Remaining: ").append(std::to_string(left)).append("\r\n");
    // Addresses are reused by other services: an instance that is not the target answers 421 and executes
    // nothing.
    out.append("X-Target-Endpoint: ").append(instance).append("\r\n");
    if (!e.request.body.empty() || (e.request.method() != "GET" && e.request.method() != "HEAD"))
        out.append("Content-Length: ").append(std::to_string(e.request.body.size())).append("\r\n");
    out.append("\r\n").append(e.request.body);
    return out;
}

void Proxy::sendRequest(const SendRequest& s) {
    auto found = exchanges_.find(s.id);
    const InstanceInfo* info = dispatch_.findInstance(s.instance);
    if (found == exchanges_.end() || !info) {
        dispatch_.onAttemptEnded(loop_.now(), s.id, AttemptOutcome::connectFailed);
        return scheduleOutputs();
    }
    Exchange& e = found->second;
    Instant now = loop_.now();
    ConnectionPool& p = poolOf(s.instance);
    InstanceConnection* connection = takeIdleConnection(p.idle, e);
    if (auto parked = parked_.find(info->id); !connection && parked != parked_.end()) {
        const std::vector<InstanceConnection*> returned = std::move(parked->second);
        parked_.erase(parked);
        parkedCount_ -= returned.size();
        for (InstanceConnection* each : returned) each->isParked = false, each->instanceIndex = s.instance;
        p.idle.insert(p.idle.begin(), returned.begin(), returned.end());  // idle for longer than the others
        connection = takeIdleConnection(p.idle, e);
        connectsSaved_ += connection != nullptr;
    }
    if (!connection) {
        auto address = network::Address::parse(info->address);
        auto made = std::make_unique<InstanceConnection>(*this, nextConnectionId_++, s.instance, info->id);
        ++connects_;
        if (!p.idle.empty()) {
            // All of them have carried this request. One is replaced, so that retries do not use up the
            // connections that the instance takes.
            ++connectsForRetries_;
            closeConnection(*p.idle.front());
        }
        if (address) made->stream = Stream::connect(loop_, *made, *address, kUnacknowledgedTimeout);
        if (!made->stream) {
            dispatch_.onAttemptEnded(now, s.id, AttemptOutcome::connectFailed);
            return scheduleOutputs();
        }
        connection = made.get();
        connections_[made->id] = std::move(made);
    }
    spdlog::debug("request {}: sent to {} on connection {}{}", e.attemptId, connection->instanceId,
                  connection->id, connection->isIdle ? ", reused" : "");
    connection->isIdle = false;
    connection->requestId = s.id, e.connection = connection, e.sentAt = now, e.response.reset();
    e.usedConnections.push_back(connection->id);
    updateBufferedBytes(e);
    connection->connectBy = now + kConnectTimeout;
    connection->attemptTimeoutAt = s.attemptTimeout > Span() ? now + s.attemptTimeout : Instant::never();
    connection->deadline = e.deadline + Span::millis(30);
    connection->stream->sendAnew(serializeRequest(e, connection->instanceId));
    Instant first = std::min(connection->attemptTimeoutAt, connection->deadline);
    if (!connection->stream->isConnected()) first = std::min(first, connection->connectBy);
    connection->timer =
        loop_.at(first, [this, connection] { connection->timer = 0, onConnectionTimer(*connection); });
}

// Prefers the connection used last, as it is the least likely to be closed soon. Non-idempotent requests
// avoid connections that were idle for long: if a close crosses the request, it is unknown whether it was
// executed.
// A connection on which this request was sent before is left to other requests. Both answers would bear the
// same attempt id, so a late copy of the first would pass for the second, and a request that is running would
// be sent once more. Drawback: such a retry opens a connection unless another one is idle.
Proxy::InstanceConnection* Proxy::takeIdleConnection(std::vector<InstanceConnection*>& idle,
                                                     const Exchange& e) {
    for (size_t left = idle.size(); left > 0; --left) {
        InstanceConnection* candidate = idle[left - 1];
        if (e.wasSentOn(candidate->id)) continue;
        Span idleTime = loop_.now() - candidate->idleSince;
        Span maxIdleTime =
            e.isIdempotent ? candidate->maxIdle : std::min(kMaxIdleNonIdempotent, candidate->maxIdle * 0.5);
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(left - 1));
        if (idleTime < maxIdleTime && !candidate->reader.mustClose()) return candidate;
        closeConnection(*candidate);
    }
    return nullptr;
}

void Proxy::onConnectionTimer(InstanceConnection& connection) {
    Instant now = loop_.now();
    if (connection.isProbe) {
        if (isCurrent(connection)) dispatch_.onProbeResult(now, connection.instanceIndex, false);
        scheduleOutputs();
        return closeConnection(connection);
    }
    if (connection.requestId == 0) return;
    if (!connection.stream->isConnected() && now >= connection.connectBy)
        return failConnection(connection, AttemptOutcome::connectFailed);
    if (now >= connection.attemptTimeoutAt && connection.stream->anythingSent() &&
        !dispatch_.mayAbandonAttempt(now, connection.requestId))
        connection.attemptTimeoutAt = Instant::never();
    if (now >= connection.attemptTimeoutAt || now >= connection.deadline)
        return failConnection(connection, connection.stream->anythingSent() ? AttemptOutcome::timedOut
                                                                            : AttemptOutcome::notSent);
    connection.timer = loop_.at(std::min(connection.attemptTimeoutAt, connection.deadline),
                                [this, &connection] { connection.timer = 0, onConnectionTimer(connection); });
}

// Instance indices are reused: the result of a probe of a previous instance says nothing about the current
// one.
bool Proxy::isCurrent(const InstanceConnection& connection) const {
    const InstanceInfo* info = dispatch_.findInstance(connection.instanceIndex);
    return info && info->id == connection.instanceId;
}

void Proxy::failConnection(InstanceConnection& connection, AttemptOutcome outcome) {
    RequestId id = connection.requestId;
    connection.requestId = 0;
    if (auto found = exchanges_.find(id); found != exchanges_.end()) found->second.connection = nullptr;
    closeConnection(connection);
    if (id != 0) dispatch_.onAttemptEnded(loop_.now(), id, outcome);
    scheduleOutputs();
}

void Proxy::closeConnection(InstanceConnection& connection) {
    loop_.cancel(connection.timer);
    connection.stream->close();
    auto& idle = poolOf(connection.instanceIndex).idle;
    idle.erase(std::remove(idle.begin(), idle.end(), &connection), idle.end());
    if (auto parked = parked_.find(connection.instanceId); parked != parked_.end()) {
        parkedCount_ -= std::erase(parked->second, &connection);
        if (parked->second.empty()) parked_.erase(parked);
    }
    auto found = connections_.find(connection.id);
    if (found == connections_.end()) return;
    loop_.bury(std::move(found->second));
    connections_.erase(found);
}

void Proxy::onResponseData(InstanceConnection& connection) {
    if (connection.requestId == 0) {  // unexpected bytes: the connection cannot be reused
        ++excessResponses_;
        return closeConnection(connection);
    }
    auto found = exchanges_.find(connection.requestId);
    if (found == exchanges_.end()) return failConnection(connection, AttemptOutcome::connectionBroken);
    Exchange& e = found->second;
    const ExpectedResponse expected{e.attemptId, e.isIdempotent, e.request.method() == "HEAD"};
    const uint64_t excessBefore = connection.reader.excessCount();
    auto result = connection.reader.read(connection.stream->in(), connection.stream->isClosed(), expected);
    excessResponses_ += connection.reader.excessCount() - excessBefore;
    if (!result) return;
    invalidResponses_ += result->isInvalid;
    spdlog::debug("request {}: connection {}: {} after {} ms", e.attemptId, connection.id,
                  result->response ? std::to_string(result->response->status) : "no valid response",
                  (loop_.now() - e.sentAt).inMicros() / 1000);
    if (!result->response) return failConnection(connection, result->outcome);
    if (result->keepAlive) connection.maxIdle = *result->keepAlive;
    const RequestId id = connection.requestId;
    connection.requestId = 0, e.connection = nullptr;
    loop_.cancel(connection.timer);
    e.response = std::move(result->response);
    updateBufferedBytes(e);
    if (result->isReusable) {
        connection.isIdle = true, connection.idleSince = loop_.now();
        poolOf(connection.instanceIndex).idle.push_back(&connection);
    } else {
        closeConnection(connection);
    }
    dispatch_.onAttemptEnded(loop_.now(), id, result->outcome);
    scheduleOutputs();
}

void Proxy::forwardResponse(RequestId id) {
    auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return;
    Exchange& e = found->second;
    auto visit = visits_.find(e.visit);
    if (visit != visits_.end() && e.response) {
        const HttpAnswer& a = *e.response;
        std::string head = "HTTP/1.1 " + std::to_string(a.status) + " ";
        head.append(a.head.third.empty() ? http::reason(a.status) : std::string(a.head.third)).append("\r\n");
        appendFields(head, a.head, {});
        // In a response without a body, Content-Length describes the body of another response, as for HEAD.
        // It is forwarded as the instance sent it.
        if (a.bodiless) {
            if (auto length = a.head.field("Content-Length"))
                head.append("Content-Length: ").append(*length).append("\r\n");
        } else {
            head.append("Content-Length: ").append(std::to_string(a.body.size())).append("\r\n");
        }
        bool last = isDraining_ || visit->second->wantsClose();
        if (last) head.append("Connection: close\r\n");
        head.append("\r\n");
        visit->second->tag = 0;
        visit->second->answerAsIs(head, a.body, last);
    }
    eraseExchange(found);
}

void Proxy::answerWithStatus(RequestId id, int status, std::string_view fields) {
    auto found = exchanges_.find(id);
    if (found == exchanges_.end()) return;
    if (spdlog::should_log(spdlog::level::debug))
        spdlog::debug("request {}: {} {}: {} with {} ms left", found->second.attemptId,
                      found->second.request.method(), found->second.request.target(), status,
                      (found->second.deadline - loop_.now()).inMicros() / 1000);
    if (InstanceConnection* connection = found->second.connection)
        connection->requestId = 0, closeConnection(*connection);
    auto visit = visits_.find(found->second.visit);
    // A rejected client returns on another connection and may leave this one idle. Under load such
    // connections used up all descriptors; further clients were then reset without a Retry-After and returned
    // immediately. Drawback: under load a client that would have kept its connection opens a new one.
    bool last = isDraining_ || visits_.size() > maxVisits_ / 2;
    if (visit != visits_.end()) visit->second->tag = 0, visit->second->answer(status, fields, "", last);
    eraseExchange(found);
}

void Proxy::dropRequest(RequestId id) {
    if (auto found = exchanges_.find(id); found != exchanges_.end()) eraseExchange(found);
}

void Proxy::probeInstance(InstanceIndex at) {
    const InstanceInfo* info = dispatch_.findInstance(at);
    if (!info) return;
    auto made = std::make_unique<InstanceConnection>(*this, nextConnectionId_++, at, info->id);
    auto address = network::Address::parse(info->address);
    if (address) made->stream = Stream::connect(loop_, *made, *address, kUnacknowledgedTimeout);
    if (!made->stream) {
        dispatch_.onProbeResult(loop_.now(), at, false);
        return scheduleOutputs();
    }
    made->isProbe = true;
    InstanceConnection* connection = made.get();
    connections_[made->id] = std::move(made);
    connection->timer = loop_.at(loop_.now() + kConnectTimeout, [this, connection] {
        connection->timer = 0, onConnectionTimer(*connection);
    });
}

// Keeps an idle connection for when a slot of its instance returns. Returns false if it has to be closed.
bool Proxy::park(InstanceConnection& connection, size_t maxIdleConnections) {
    if (!connection.isIdle || connection.requestId != 0 || connection.reader.mustClose()) return false;
    const auto same = parked_.find(connection.instanceId);
    const size_t kept = same != parked_.end() ? same->second.size() : 0;
    if (kept >= maxIdleConnections || parkedCount_ >= maxParked_) return false;
    parked_[connection.instanceId].push_back(&connection);
    connection.isParked = true;
    ++parkedCount_;
    return true;
}

void Proxy::releaseInstance(const ReleaseInstance& d) {
    std::vector<InstanceConnection*> released;
    for (auto& [id, connection] : connections_)
        if (connection->instanceIndex == d.instance && !connection->isParked)
            released.push_back(connection.get());
    for (InstanceConnection* connection : released) {
        if (park(*connection, d.maxIdleConnections)) continue;
        if (connection->requestId != 0)
            failConnection(*connection, connection->stream->anythingSent() ? AttemptOutcome::connectionBroken
                                                                           : AttemptOutcome::notSent);
        else
            closeConnection(*connection);
    }
    poolOf(d.instance).idle.clear();
}

void Proxy::runPeriodicChecks() {
    Instant now = loop_.now();
    std::vector<HttpVisit*> all;
    for (auto& [id, visit] : visits_) all.push_back(visit.get());
    for (HttpVisit* visit : all) visit->look();
    readiness_.closeTimedOut();
    for (ConnectionPool& p : pools_) closeExpiredIdle(p.idle);
    std::vector<std::string> parked;
    for (const auto& [instance, idle] : parked_) parked.push_back(instance);
    for (const std::string& instance : parked) closeExpiredIdle(parked_[instance]);
    if (now >= nextLogAt_) nextLogAt_ = now + Span::seconds(10), logCounters();
    if (isDraining_) stopIfDrained();
    sweepTimer_ = loop_.at(now + Span::millis(isDraining_ ? 100 : 500), [this] { runPeriodicChecks(); });
}

void Proxy::closeExpiredIdle(std::vector<InstanceConnection*>& idle) {
    size_t expiredCount = 0;
    while (expiredCount < idle.size() &&
           loop_.now() - idle[expiredCount]->idleSince > idle[expiredCount]->maxIdle)
        ++expiredCount;
    const std::vector<InstanceConnection*> expired(idle.begin(),
                                                   idle.begin() + static_cast<std::ptrdiff_t>(expiredCount));
    for (InstanceConnection* connection : expired) closeConnection(*connection);
}

void Proxy::startDraining() {
    if (isDraining_) return;
    isDraining_ = true, drainingSince_ = loop_.now();
    spdlog::info("leaving: {} connections, {} requests in flight", visits_.size(), exchanges_.size());
    const Span grace = settings_.bounds.grace;
    dispatch_.startDraining(drainingSince_, {drainingSince_ + std::min(kLateAfterSignal, grace * 0.5),
                                             drainingSince_ + grace - kAbandonBeforeKill});
    scheduleOutputs();
    loop_.cancel(sweepTimer_);
    runPeriodicChecks();
}

// New connections arrive for two seconds and more after the readiness check starts to fail. Requests are
// served as long as they can end in time, each with Connection: close. The rest of the grace period is for
// requests still in flight at instances.
void Proxy::stopIfDrained() {
    Instant now = loop_.now();
    Span drainingTime = now - drainingSince_;
    if (drainingTime > Span::millis(400)) {
        std::vector<HttpVisit*> all;
        for (auto& [id, visit] : visits_) all.push_back(visit.get());
        for (HttpVisit* visit : all) visit->closeWhenIdle(Span::millis(300));
    }
    if (drainingTime > settings_.bounds.grace - kRejectQueuedBeforeKill) {
        if (listener_) listener_->close();  // clients are reset from now on, before they have sent anything
        dispatch_.rejectQueued(now);
        scheduleOutputs();
    }
    if (drainingTime > settings_.bounds.grace - kAbandonBeforeKill) abandonAttempts();
    bool quiet = exchanges_.empty() && now - lastAcceptedAt_ > Span::millis(700);
    bool late = drainingTime > settings_.bounds.grace - kRejectQueuedBeforeKill + Span::millis(200);
    // An answer that is still being written counts too: its client would get a part of it.
    bool busy = std::any_of(visits_.begin(), visits_.end(),
                            [](const auto& v) { return v.second->busy() || v.second->hasUnsentAnswer(); });
    if ((quiet && !busy && drainingTime > Span::millis(3200)) || (late && !busy && exchanges_.empty()) ||
        drainingTime > settings_.bounds.grace - kStopBeforeKill) {
        logCounters();
        loop_.stop();
    }
}

// Ends the attempts that are still in flight at the end of the grace period, so that their clients get an
// answer: a connection that closes without one looks like a crash, and a client may wait for nothing.
void Proxy::abandonAttempts() {
    std::vector<InstanceConnection*> busy;
    for (auto& [id, connection] : connections_)
        if (connection->requestId != 0) busy.push_back(connection.get());
    for (InstanceConnection* connection : busy) {
        logAbandoned(connection->requestId);
        failConnection(*connection, connection->stream->anythingSent() ? AttemptOutcome::timedOut
                                                                       : AttemptOutcome::notSent);
    }
}

void Proxy::logAbandoned(RequestId id) {
    auto found = exchanges_.find(id);
    if (found == exchanges_.end() || ++abandonedAtExit_ > kMaxAbandonedLogged) return;
    const Exchange& e = found->second;
    auto millisSinceSignal = [this](Instant at) { return (at - drainingSince_).inMicros() / 1000; };
    spdlog::warn(
        "leaving: request {} ({}) is abandoned at its instance: received {} ms after SIGTERM, sent {} ms",
        e.attemptId, e.isIdempotent ? "idempotent" : "non-idempotent", millisSinceSignal(e.receivedAt),
        millisSinceSignal(e.sentAt));
}

void Proxy::logCounters() const {
    const Counters& c = dispatch_.counters();
    spdlog::info(
        "counters arrived={} sent={} passed={} refused={} refused_held={} again={} gave_up={} full={} "
        "misdirected={} broken={} silent={} unconnected={} probes={} reports={} no_route={} not_ready={} "
        "borrowed={} borrowed_full={} excess={} spoilt={} connects={} connects_for_retries={} "
        "connects_spared={} parked={} "
        "whole_asked={} open={} waiting={} "
        "turned_away={} too_much={} bytes={} refused_leaving={} stopped_sending={} gone_in_flight={} "
        "abandoned={}",
        c.received, c.sent, c.forwarded, c.rejectedImmediately, c.rejectedAfterQueueing, c.retries, c.failed,
        c.notExecuted, c.misdirected, c.connectionBroken, c.timedOut, c.connectFailed, c.probes, c.reports,
        noRoute_, notReady_, c.borrowed, c.borrowedNotExecuted, excessResponses_, invalidResponses_,
        connects_, connectsForRetries_, connectsSaved_, parkedCount_, fullConfigRequests_, visits_.size(),
        dispatch_.queuedCount(), rejectedConnections_, rejectedForMemory_, bufferedBytes_,
        c.rejectedForShutdown, clientsStoppedSending_, c.cancelled, clientsGoneInFlight_, c.cutOff,
        abandonedAtExit_);
}

}  // namespace petrelpond::proxy
