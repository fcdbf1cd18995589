#include "system/control_plane/scaler_host.hpp"

#include <rapidjson/document.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <map>

namespace petrelpond::control_plane {

namespace {

std::string stringField(const rapidjson::Value& v, const char* name) {
    auto at = v.FindMember(name);
    return at != v.MemberEnd() && at->value.IsString() ? at->value.GetString() : std::string();
}

// A number beyond the range of int counts as the nearest one in it: converting it as it is would be
// undefined.
int intField(const rapidjson::Value& v, const char* name, int otherwise) {
    auto at = v.FindMember(name);
    if (at == v.MemberEnd() || !at->value.IsNumber()) return otherwise;
    constexpr double kLeast = std::numeric_limits<int>::min(), kMost = std::numeric_limits<int>::max();
    return static_cast<int>(std::clamp(at->value.GetDouble(), kLeast, kMost));
}

std::string escapeJson(std::string_view s) {
    std::string out;
    for (char c : s) {
        auto u = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\')
            out += '\\', out += c;
        else if (u < 0x20) {
            char hex[8];
            std::snprintf(hex, sizeof hex, "\\u%04x", u);
            out += hex;
        } else
            out += c;
    }
    return out;
}

std::string escapeQuery(std::string_view s) {
    std::string out;
    for (char c : s) {
        if (std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == '~')
            out += c;
        else {
            char hex[4];
            std::snprintf(hex, sizeof hex, "%%%02X", static_cast<unsigned char>(c));
            out += hex;
        }
    }
    return out;
}

}  // namespace

ScalerHost::ScalerHost(network::Loop& loop, const configuration::Settings& settings, uint64_t term,
                       uint32_t randomSeed, SendGrants sendGrants)
    : loop_(loop), settings_(settings), term_(term), sendGrants_(std::move(sendGrants)),
      planner_(loop.now(), term, randomSeed, settings.platform ? settings.platform->dutyPerS : 10.0,
               Span::millis(settings.platform ? settings.platform->maxLagMs : 1000)),
      wonAt_(loop.now()), nextEndpointListAt_(loop.now()), nextWorkerListAt_(loop.now()),
      alive_(std::make_shared<bool>(true)) {
    if (settings_.platform) {
        auto at = network::Address::parse(settings_.platform->address.text());
        listCaller_ = std::make_unique<network::HttpCaller>(loop_, *at, 2, Span::millis(1500));
        startStopCaller_ = std::make_unique<network::HttpCaller>(loop_, *at, 8, Span::millis(1000));
        // Interval between list calls, within this core's part of the platform's rate limit.
        double each = 2.5 / std::max(0.5, settings_.platform->ratePerS * 0.4);
        listInterval_ = std::max(Span::millis(600), Span::seconds(each));
    }
    tick();
}

ScalerHost::~ScalerHost() { loop_.cancel(timer_); }

void ScalerHost::onConfiguration(const configuration::Configuration& c) {
    std::map<std::string, Span> targets;
    for (const auto& route : c.routes)
        for (const auto& [service, weight] : route.to) {
            auto [at, fresh] = targets.try_emplace(service, route.target);
            if (!fresh) at->second = std::min(at->second, route.target);
        }
    std::vector<scaler::FunctionSpec> specs;
    for (const auto& s : c.services) {
        auto target = targets.find(s.name);
        specs.push_back({s.name, s.memoryMb, s.boot, s.maxConcurrency,
                         target != targets.end() ? target->second : Span::seconds(1), s.maxConnections});
    }
    planner_.onConfiguration(loop_.now(), std::move(specs));
    schedulePump();
}

void ScalerHost::onTermRenewed(uint64_t term) {
    term_ = term;
    planner_.onTermRenewed(loop_.now(), term);
    schedulePump();
}

void ScalerHost::onSenderLinked(const std::string& sender, const std::string& zone) {
    planner_.onSenderLinked(loop_.now(), sender, zone);
    schedulePump();
}

void ScalerHost::onReport(const std::string& sender, const scaler::Report& report) {
    planner_.onReport(loop_.now(), sender, report);
    schedulePump();
}

void ScalerHost::onSenderUnlinked(const std::string& sender, bool closed) {
    planner_.onSenderUnlinked(loop_.now(), sender, closed);
    schedulePump();
}

void ScalerHost::schedulePump() {
    if (isPumpScheduled_) return;
    isPumpScheduled_ = true;
    loop_.soon([this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.lock()) pump();
    });
}

// Against a core that stops answering while the planner computes, which looks from outside like a lost core.
void ScalerHost::recordPass(Instant startedAt, uint64_t searchesBefore) {
    const Span duration = network::Loop::clock() - startedAt;
    if (!passMonitor_.record(duration)) return;
    const scaler::Counters& counters = planner_.counters();
    spdlog::warn("startup duty of term {}: a pass of the planner took {} ms, with {} searches for a slot",
                 term_, duration.inMicros() / 1000, counters.slotSearches - searchesBefore);
}

void ScalerHost::pump() {
    isPumpScheduled_ = false;
    const Instant startedAt = network::Loop::clock();
    const uint64_t searchesBefore = planner_.counters().slotSearches;
    while (auto output = planner_.next()) {
        if (auto* t = std::get_if<scaler::GrantsMessage>(&*output))
            sendGrants_(t->to, t->grants);
        else if (auto* s = std::get_if<scaler::StartCall>(&*output))
            sendStart(*s);
        else if (auto* s = std::get_if<scaler::StopCall>(&*output))
            sendStop(*s);
    }
    recordPass(startedAt, searchesBefore);
    if (!isReadyLogged_ && planner_.isReady()) {
        isReadyLogged_ = true;
        spdlog::info("startup duty of term {}: learning finished after {:.2f} s", term_,
                     (loop_.now() - wonAt_).inSeconds());
    }
    Instant wake = std::min({planner_.wakeAt(), nextEndpointListAt_, nextWorkerListAt_});
    wake = std::max(wake, loop_.now() + Span::millis(2));
    if (timer_ != 0 && armedFor_ <= wake) return;
    loop_.cancel(timer_);
    armedFor_ = wake;
    timer_ = loop_.at(wake, [this] { timer_ = 0, tick(); });
}

void ScalerHost::tick() {
    Instant now = loop_.now();
    if (now >= planner_.wakeAt()) {
        const Instant startedAt = network::Loop::clock();
        const uint64_t searchesBefore = planner_.counters().slotSearches;
        planner_.tick(now);
        recordPass(startedAt, searchesBefore);
    }
    requestLists();
    pump();
}

void ScalerHost::requestLists() {
    Instant now = loop_.now();
    if (!listCaller_) {
        nextEndpointListAt_ = nextWorkerListAt_ = now + Span::seconds(3600);
        return;
    }
    if (now >= nextEndpointListAt_) {
        nextEndpointListAt_ = now + listInterval_;
        if (!isListingEndpoints_) isListingEndpoints_ = true, requestEndpoints("", {});
    }
    if (now >= nextWorkerListAt_) {
        nextWorkerListAt_ = now + listInterval_ * 0.75;  // the loss of a worker shows here first
        if (!isListingWorkers_) isListingWorkers_ = true, requestWorkers();
    }
}

void ScalerHost::requestEndpoints(const std::string& page, std::vector<scaler::ListedInstance> collected) {
    ++listCalls_;
    std::string target = page.empty() ? "/endpoints" : "/endpoints?page_token=" + escapeQuery(page);
    listCaller_->call(
        "GET", target, "", "",
        [this, collected = std::move(collected), alive = std::weak_ptr<bool>(alive_)](
            int status, const std::string& body) mutable {
            if (!alive.lock()) return;
            rapidjson::Document d;
            if (status == 200) d.Parse(body.c_str(), body.size());
            if (status != 200 || d.HasParseError() || !d.IsObject() || !d.HasMember("endpoints") ||
                !d["endpoints"].IsArray()) {
                isListingEndpoints_ = false, ++listFailures_;
                nextEndpointListAt_ = loop_.now() + Span::millis(300);
                return schedulePump();
            }
            for (const auto& e : d["endpoints"].GetArray()) {
                if (!e.IsObject()) continue;
                collected.push_back({stringField(e, "endpoint_id"), stringField(e, "service"),
                                     stringField(e, "address"), stringField(e, "zone"),
                                     stringField(e, "worker_id"), intField(e, "concurrency_slots", 1),
                                     stringField(e, "endpoint_state") == "draining"});
            }
            std::string next = stringField(d, "next_token");
            if (!next.empty()) return requestEndpoints(next, std::move(collected));
            isListingEndpoints_ = false;
            planner_.onInstanceList(loop_.now(), std::move(collected));
            schedulePump();
        });
}

void ScalerHost::requestWorkers() {
    ++listCalls_;
    listCaller_->call("GET", "/workers", "", "",
                      [this, alive = std::weak_ptr<bool>(alive_)](int status, const std::string& body) {
                          if (!alive.lock()) return;
                          isListingWorkers_ = false;
                          rapidjson::Document d;
                          if (status == 200) d.Parse(body.c_str(), body.size());
                          if (status != 200 || d.HasParseError() || !d.IsObject() ||
                              !d.HasMember("worker_set") || !d["worker_set"].IsArray()) {
                              ++listFailures_;
                              nextWorkerListAt_ = loop_.now() + Span::millis(300);
                              return schedulePump();
                          }
                          std::vector<scaler::Worker> all;
                          for (const auto& w : d["worker_set"].GetArray()) {
                              if (!w.IsObject()) continue;
                              all.push_back({stringField(w, "name"), stringField(w, "zone"),
                                             intField(w, "memory_mb", 0), intField(w, "free_memory_mb", 0),
                                             stringField(w, "endpoint_state") == "draining"});
                          }
                          planner_.onWorkerList(loop_.now(), std::move(all));
                          schedulePump();
                      });
}

std::string ScalerHost::dutyHeaders() const {
    return "X-Duty-Holder: " + settings_.nodeName + "\r\nX-Fence-Number: " + std::to_string(term_) + "\r\n";
}

void ScalerHost::sendStart(const scaler::StartCall& s) {
    if (!startStopCaller_) return planner_.onStartFailed(loop_.now(), s.nonce, 0);
    ++startCalls_;
    std::string body = "{\"service\":\"" + escapeJson(s.service) + "\",\"worker_id\":\"" +
                       escapeJson(s.worker) + "\",\"nonce\":\"" + escapeJson(s.nonce) + "\"}";
    startStopCaller_->call(
        "POST", "/initiate", dutyHeaders(), std::move(body),
        [this, nonce = s.nonce, alive = std::weak_ptr<bool>(alive_)](int status, const std::string& answer) {
            if (!alive.lock()) return;
            rapidjson::Document d;
            if (status == 200) d.Parse(answer.c_str(), answer.size());
            if (status == 200 && !d.HasParseError() && d.IsObject() &&
                !stringField(d, "endpoint_id").empty()) {
                planner_.onStarted(loop_.now(), nonce, stringField(d, "endpoint_id"),
                                   stringField(d, "address"));
            } else {
                spdlog::debug("start: the platform answered with status {}", status);
                planner_.onStartFailed(loop_.now(), nonce, status == 200 ? 0 : status);
            }
            schedulePump();
        });
}

void ScalerHost::sendStop(const scaler::StopCall& s) {
    if (!startStopCaller_) return planner_.onStopped(loop_.now(), s.instance, 0);
    ++stopCalls_;
    startStopCaller_->call(
        "POST", "/stop", dutyHeaders(), "{\"endpoint_id\":\"" + escapeJson(s.instance) + "\"}",
        [this, instance = s.instance, alive = std::weak_ptr<bool>(alive_)](int status, const std::string&) {
            if (!alive.lock()) return;
            planner_.onStopped(loop_.now(), instance, status);
            schedulePump();
        });
}

void ScalerHost::logCounters() const {
    const scaler::Counters& c = planner_.counters();
    spdlog::info(
        "counters duty term={} starts={} starts_failed={} stops={} tells={} recalls={} adopted={} lost={} "
        "drained={} "
        "wrong_term={} overheld={} lent={} searches={} worker_searches={} instances={} booting={} slots={} "
        "waiting={} demands={} "
        "list_calls={} "
        "list_failures={} longest_pass_ms={} long_passes={} cut_passes={}",
        term_, c.starts, c.startsFailed, c.stops, c.grantMessages, c.recalledSlots, c.adopted, c.lost,
        c.drained, c.wrongTerm, c.overcommitted, c.reassignedSlots, c.slotSearches, c.workerSearches,
        c.instances, c.booting, c.slots, c.waiting, c.demands, listCalls_, listFailures_,
        passMonitor_.longest().inMicros() / 1000, passMonitor_.longPassCount(), c.cutPasses);
}

}  // namespace petrelpond::control_plane
