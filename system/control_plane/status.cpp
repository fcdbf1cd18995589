// What GET /status tells: this core's view, made when it is asked for and not before. Nothing here changes
// anything.
#include <rapidjson/memorystream.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <tuple>

#include "system/control_plane/control.hpp"

namespace petrelpond::control_plane {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// The answer is bounded, whatever agents and configurations hold: what is left out is counted, never silently
// missing. At these bounds it is under a megabyte.
constexpr size_t kMostAgents = 1024, kMostServices = 512, kMostCores = 64, kMostName = 128;

// Names come from agents and configurations: cut to kMostName bytes, and bytes that are no UTF-8 become '?',
// else one odd agent would make the whole answer unreadable.
void word(Writer& w, std::string_view name) {
    std::string out;
    size_t at = 0;
    while (at < name.size()) {
        rapidjson::StringBuffer one;
        rapidjson::MemoryStream in(name.data() + at, name.size() - at);
        bool good = rapidjson::UTF8<>::Validate(in, one);
        size_t taken = good ? in.Tell() : 1;
        if (out.size() + taken > kMostName) break;
        out += good ? std::string(one.GetString(), one.GetSize()) : "?";
        at += taken;
    }
    w.String(out.data(), static_cast<rapidjson::SizeType>(out.size()));
}

void text(Writer& w, const char* key, std::string_view value) {
    w.Key(key);
    word(w, value);
}
void yes(Writer& w, const char* key, bool value) { w.Key(key), w.Bool(value); }
void number(Writer& w, const char* key, uint64_t value) { w.Key(key), w.Uint64(value); }
void version(Writer& w, const char* key, int64_t value) { w.Key(key), w.Int64(value); }
void seconds(Writer& w, const char* key, Span value) {
    w.Key(key);
    const int64_t wholeMillis = value.inMicros() / 1000;
    w.Double(static_cast<double>(wholeMillis) / 1e3);
}

}  // namespace

void Control::run(const GetStatus& c) {
    if (auto v = visits_.find(c.visit); v != visits_.end())
        v->second->answer(200, "Content-Type: application/json\r\n", status());
}

// Who votes, who catches up, who is suspected and since when, and how many voters may still be lost.
void Control::members(rapidjson::Writer<rapidjson::StringBuffer>& w, Instant now) const {
    w.Key("losses_left"), w.Int(core_->lossesLeft(now));  // negative: no majority
    w.Key("members"), w.StartArray();
    const auto all = core_->members(now);
    for (size_t i = 0; i < std::min(all.size(), kMostCores); ++i) {
        w.StartObject();
        text(w, "ip", all[i].node);
        yes(w, "votes", all[i].isVoter), yes(w, "catching_up", all[i].catchingUp);
        yes(w, "standby", all[i].standby), yes(w, "leaving", all[i].leaving);
        yes(w, "suspected", all[i].suspected), seconds(w, "silent_s", all[i].silent);
        w.EndObject();
    }
    w.EndArray();
}

std::string Control::status() const {
    const Instant now = loop_.now();
    const auto& voters = core_->voters();
    const bool selfIsVoter = std::find(voters.begin(), voters.end(), settings_.ip) != voters.end();
    rapidjson::StringBuffer out;
    Writer w(out);
    w.StartObject();
    text(w, "name", settings_.nodeName), text(w, "ip", settings_.ip), text(w, "zone", settings_.zone);
    yes(w, "leaving", leaving_);
    yes(w, "in_contact", core_->isInContact(now));  // with a majority, lately: else what follows may be old

    w.Key("configuration"), w.StartObject();
    auto held = core_->newestValue();
    version(w, "on_majority", value_ ? value_->version : 0);  // 0: none known
    version(w, "held", held ? held->version : 0);
    w.EndObject();

    w.Key("disk"), w.StartObject();
    yes(w, "counts", selfIsVoter && !core_->isRecovering() && !saveFailedLast_);
    yes(w, "is_voter", selfIsVoter), yes(w, "recovering", core_->isRecovering());
    yes(w, "last_save_failed", saveFailedLast_);
    w.EndObject();

    number(w, "voters_epoch", core_->epoch());  // 0: not agreed on
    w.Key("voters"), w.StartArray();
    for (size_t i = 0; i < std::min(voters.size(), kMostCores); ++i) word(w, voters[i]);
    w.EndArray();
    members(w, now);
    w.Key("seeds"), w.StartArray();
    for (size_t i = 0; i < std::min(settings_.seeds.size(), kMostCores); ++i)
        word(w, settings_.seeds[i].text());
    w.EndArray();

    w.Key("peers"), w.StartArray();
    auto peers = core_->peers();
    for (size_t i = 0; i < std::min(peers.size(), kMostCores); ++i) {
        w.StartObject();
        text(w, "ip", peers[i]);
        Instant heard = Instant::longAgo();
        for (const auto& [tag, guest] : guests_)
            if (guest.coreIp == peers[i]) heard = std::max(heard, guest.heardAt);
        if (heard > Instant::longAgo())
            seconds(w, "heard_s_ago", now - heard);  // else it has no link to us now
        w.EndObject();
    }
    w.EndArray();

    w.Key("duty"), w.StartObject();
    const consensus::Lease duty = core_->lease();
    const bool here = duty.held && duty.validUntil > now;
    text(w, "holder", duty.holder), number(w, "term", duty.term), yes(w, "held_here", here);
    if (here) seconds(w, "left_s", duty.validUntil - now);
    w.EndObject();

    number(w, "agents_linked", agentByName_.size());
    w.Key("agents"), w.StartArray();
    size_t listed = 0;
    for (const auto& [name, tag] : agentByName_) {
        auto guest = guests_.find(tag);
        if (guest == guests_.end() || listed++ >= kMostAgents) continue;
        const network::Hello& h = guest->second.hello;
        w.StartObject();
        text(w, "name", h.name), text(w, "ip", h.ip), text(w, "zone", h.zone);
        seconds(w, "heard_s_ago", now - guest->second.heardAt);
        version(w, "version", guest->second.version);  // that it said it has
        w.EndObject();
    }
    w.EndArray();

    if (scalerHost_) {
        const scaler::Counts& counts = scalerHost_->planner().counts();
        w.Key("planner"), w.StartObject();
        number(w, "term", scalerHost_->term());
        number(w, "starts", counts.starts), number(w, "starts_failed", counts.startsFailed);
        number(w, "stops", counts.stops), number(w, "adopted", counts.adopted),
            number(w, "lost", counts.lost);
        number(w, "drained", counts.drained), number(w, "overheld", counts.overheld);
        number(w, "wrong_term", counts.wrongTerm), number(w, "recalls", counts.recalls);
        auto services = scalerHost_->planner().services();
        // Where there are too many, those in want come first, then those with instances.
        std::sort(services.begin(), services.end(),
                  [](const scaler::ServiceState& a, const scaler::ServiceState& b) {
                      return std::tuple(b.waiting, b.up + b.booting, a.name) <
                             std::tuple(a.waiting, a.up + a.booting, b.name);
                  });
        number(w, "services_known", services.size());
        w.Key("services"), w.StartArray();
        for (size_t i = 0; i < std::min(services.size(), kMostServices); ++i) {
            const scaler::ServiceState& s = services[i];
            w.StartObject();
            text(w, "name", s.name);
            number(w, "up", s.up), number(w, "booting", s.booting), number(w, "draining", s.draining);
            number(w, "slots", s.slots), number(w, "waiting", s.waiting), number(w, "busy", s.busy);
            w.EndObject();
        }
        w.EndArray(), w.EndObject();
    }
    w.EndObject();
    return std::string(out.GetString(), out.GetSize());
}

}  // namespace petrelpond::control_plane
