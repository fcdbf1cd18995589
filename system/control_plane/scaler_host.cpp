#include "system/control_plane/scaler_host.hpp"

#include <rapidjson/document.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdio>
#include <map>

namespace petrelpond::control_plane {

namespace {

std::string text(const rapidjson::Value& v, const char* name) {
    auto at = v.FindMember(name);
    return at != v.MemberEnd() && at->value.IsString() ? at->value.GetString() : std::string();
}

int number(const rapidjson::Value& v, const char* name, int otherwise) {
    auto at = v.FindMember(name);
    return at != v.MemberEnd() && at->value.IsNumber() ? static_cast<int>(at->value.GetDouble()) : otherwise;
}

std::string escaped(std::string_view s) {
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

std::string queryEscaped(std::string_view s) {
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
                       uint32_t chance, TellSender tell)
    : loop_(loop), settings_(settings), term_(term), tell_(std::move(tell)),
      planner_(loop.now(), term, chance, settings.platform ? settings.platform->dutyPerS : 10.0,
               Span::millis(settings.platform ? settings.platform->maxLagMs : 1000)),
      wonAt_(loop.now()), listAt_(loop.now()), workersAt_(loop.now()), alive_(std::make_shared<bool>(true)) {
    if (settings_.platform) {
        auto at = network::Address::parse(settings_.platform->address.text());
        lists_ = std::make_unique<network::HttpCaller>(loop_, *at, 2, Span::millis(1500));
        duties_ = std::make_unique<network::HttpCaller>(loop_, *at, 8, Span::millis(1000));
        // All senders together may make so many calls for lists; this one takes a part of it.
        double each = 2.5 / std::max(0.5, settings_.platform->ratePerS * 0.4);
        listEvery_ = std::max(Span::millis(600), Span::seconds(each));
    }
    tick();
}

ScalerHost::~ScalerHost() { loop_.cancel(timer_); }

void ScalerHost::configured(const configuration::Configuration& c) {
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
                         target != targets.end() ? target->second : Span::seconds(1)});
    }
    planner_.configured(loop_.now(), std::move(specs));
    pumpSoon();
}

void ScalerHost::renewed(uint64_t term) {
    term_ = term;
    planner_.renewed(loop_.now(), term);
    pumpSoon();
}

void ScalerHost::linked(const std::string& sender, const std::string& zone) {
    planner_.linked(loop_.now(), sender, zone);
    pumpSoon();
}

void ScalerHost::reported(const std::string& sender, const scaler::Report& report) {
    planner_.reported(loop_.now(), sender, report);
    pumpSoon();
}

void ScalerHost::unlinked(const std::string& sender, bool closed) {
    planner_.unlinked(loop_.now(), sender, closed);
    pumpSoon();
}

void ScalerHost::pumpSoon() {
    if (pumping_) return;
    pumping_ = true;
    loop_.soon([this, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.lock()) pump();
    });
}

void ScalerHost::pump() {
    pumping_ = false;
    while (auto output = planner_.next()) {
        if (auto* t = std::get_if<scaler::Tell>(&*output))
            tell_(t->to, t->grants);
        else if (auto* s = std::get_if<scaler::StartCall>(&*output))
            start(*s);
        else if (auto* s = std::get_if<scaler::StopCall>(&*output))
            stop(*s);
    }
    if (!readyTold_ && planner_.ready()) {
        readyTold_ = true;
        spdlog::info("startup duty of term {}: what is there is known after {:.2f} s", term_,
                     (loop_.now() - wonAt_).inSeconds());
    }
    Instant wake = std::min({planner_.wakeAt(), listAt_, workersAt_});
    wake = std::max(wake, loop_.now() + Span::millis(2));
    if (timer_ != 0 && armedFor_ <= wake) return;
    loop_.cancel(timer_);
    armedFor_ = wake;
    timer_ = loop_.at(wake, [this] { timer_ = 0, tick(); });
}

void ScalerHost::tick() {
    Instant now = loop_.now();
    if (now >= planner_.wakeAt()) planner_.tick(now);
    askLists();
    pump();
}

void ScalerHost::askLists() {
    Instant now = loop_.now();
    if (!lists_) {
        listAt_ = workersAt_ = now + Span::seconds(3600);
        return;
    }
    if (now >= listAt_) {
        listAt_ = now + listEvery_;
        if (!listing_) listing_ = true, askEndpoints("", {});
    }
    if (now >= workersAt_) {
        workersAt_ = now + listEvery_ * 0.75;  // a worker that is gone is first seen here
        if (!askingWorkers_) askingWorkers_ = true, askWorkers();
    }
}

void ScalerHost::askEndpoints(const std::string& page, std::vector<scaler::Listed> sofar) {
    ++listCalls_;
    std::string target = page.empty() ? "/endpoints" : "/endpoints?page_token=" + queryEscaped(page);
    lists_->call(
        "GET", target, "", "",
        [this, sofar = std::move(sofar), alive = std::weak_ptr<bool>(alive_)](
            int status, const std::string& body) mutable {
            if (!alive.lock()) return;
            rapidjson::Document d;
            if (status == 200) d.Parse(body.c_str(), body.size());
            if (status != 200 || d.HasParseError() || !d.IsObject() || !d.HasMember("endpoints") ||
                !d["endpoints"].IsArray()) {
                listing_ = false, ++listFailures_;
                listAt_ = loop_.now() + Span::millis(300);
                return pumpSoon();
            }
            for (const auto& e : d["endpoints"].GetArray()) {
                if (!e.IsObject()) continue;
                sofar.push_back({text(e, "endpoint_id"), text(e, "service"), text(e, "address"),
                                 text(e, "zone"), text(e, "worker_id"), number(e, "concurrency_slots", 1),
                                 text(e, "endpoint_state") == "draining"});
            }
            std::string next = text(d, "next_token");
            if (!next.empty()) return askEndpoints(next, std::move(sofar));
            listing_ = false;
            planner_.listed(loop_.now(), std::move(sofar));
            pumpSoon();
        });
}

void ScalerHost::askWorkers() {
    ++listCalls_;
    lists_->call(
        "GET", "/workers", "", "",
        [this, alive = std::weak_ptr<bool>(alive_)](int status, const std::string& body) {
            if (!alive.lock()) return;
            askingWorkers_ = false;
            rapidjson::Document d;
            if (status == 200) d.Parse(body.c_str(), body.size());
            if (status != 200 || d.HasParseError() || !d.IsObject() || !d.HasMember("worker_set") ||
                !d["worker_set"].IsArray()) {
                ++listFailures_;
                workersAt_ = loop_.now() + Span::millis(300);
                return pumpSoon();
            }
            std::vector<scaler::Worker> all;
            for (const auto& w : d["worker_set"].GetArray()) {
                if (!w.IsObject()) continue;
                all.push_back({text(w, "name"), text(w, "zone"), number(w, "memory_mb", 0),
                               number(w, "free_memory_mb", 0), text(w, "endpoint_state") == "draining"});
            }
            planner_.workers(loop_.now(), std::move(all));
            pumpSoon();
        });
}

std::string ScalerHost::dutyFields() const {
    return "X-Duty-Holder: " + settings_.nodeName + "\r\nX-Fence-Number: " + std::to_string(term_) + "\r\n";
}

void ScalerHost::start(const scaler::StartCall& s) {
    if (!duties_) return planner_.startFailed(loop_.now(), s.nonce, 0);
    ++startCalls_;
    std::string body = "{\"service\":\"" + escaped(s.service) + "\",\"worker_id\":\"" + escaped(s.worker) +
                       "\",\"nonce\":\"" + escaped(s.nonce) + "\"}";
    duties_->call(
        "POST", "/initiate", dutyFields(), std::move(body),
        [this, nonce = s.nonce, alive = std::weak_ptr<bool>(alive_)](int status, const std::string& answer) {
            if (!alive.lock()) return;
            rapidjson::Document d;
            if (status == 200) d.Parse(answer.c_str(), answer.size());
            if (status == 200 && !d.HasParseError() && d.IsObject() && !text(d, "endpoint_id").empty()) {
                planner_.started(loop_.now(), nonce, text(d, "endpoint_id"), text(d, "address"));
            } else {
                spdlog::debug("start: platform: status {}", status);
                planner_.startFailed(loop_.now(), nonce, status == 200 ? 0 : status);
            }
            pumpSoon();
        });
}

void ScalerHost::stop(const scaler::StopCall& s) {
    if (!duties_) return planner_.stopped(loop_.now(), s.instance, 0);
    ++stopCalls_;
    duties_->call(
        "POST", "/stop", dutyFields(), "{\"endpoint_id\":\"" + escaped(s.instance) + "\"}",
        [this, instance = s.instance, alive = std::weak_ptr<bool>(alive_)](int status, const std::string&) {
            if (!alive.lock()) return;
            planner_.stopped(loop_.now(), instance, status);
            pumpSoon();
        });
}

void ScalerHost::logCounters() const {
    const scaler::Counts& c = planner_.counts();
    spdlog::info(
        "counters duty term={} starts={} starts_failed={} stops={} tells={} recalls={} adopted={} lost={} "
        "drained={} "
        "wrong_term={} overheld={} lent={} searches={} instances={} booting={} slots={} waiting={} "
        "list_calls={} "
        "list_failures={}",
        term_, c.starts, c.startsFailed, c.stops, c.tells, c.recalls, c.adopted, c.lost, c.drained,
        c.wrongTerm, c.overheld, c.lent, c.searches, c.instances, c.booting, c.slots, c.waiting, listCalls_,
        listFailures_);
}

}  // namespace petrelpond::control_plane
