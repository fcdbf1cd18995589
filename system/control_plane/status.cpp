// The response of GET /status: this core's view, built on request. Read-only.
#include <rapidjson/memorystream.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <tuple>

#include "system/control_plane/control.hpp"

namespace petrelpond::control_plane {

namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// Bounds of the response, whatever agents and configurations contain. Totals show what was omitted. With
// these bounds it stays below a megabyte.
constexpr size_t kMaxAgents = 1024, kMaxServices = 512, kMaxCores = 64, kMaxNameBytes = 128;

// Names come from agents and configurations: truncated to kMaxNameBytes, with bytes that are not UTF-8
// replaced by '?', so that one bad name does not make the whole response unreadable.
void writeString(Writer& w, std::string_view name) {
    std::string out;
    size_t at = 0;
    while (at < name.size()) {
        rapidjson::StringBuffer one;
        rapidjson::MemoryStream in(name.data() + at, name.size() - at);
        bool good = rapidjson::UTF8<>::Validate(in, one);
        size_t taken = good ? in.Tell() : 1;
        if (out.size() + taken > kMaxNameBytes) break;
        out += good ? std::string(one.GetString(), one.GetSize()) : "?";
        at += taken;
    }
    w.String(out.data(), static_cast<rapidjson::SizeType>(out.size()));
}

void writeText(Writer& w, const char* key, std::string_view value) {
    w.Key(key);
    writeString(w, value);
}
void writeBool(Writer& w, const char* key, bool value) { w.Key(key), w.Bool(value); }
void writeNumber(Writer& w, const char* key, uint64_t value) { w.Key(key), w.Uint64(value); }
void writeVersion(Writer& w, const char* key, int64_t value) { w.Key(key), w.Int64(value); }
void writeSeconds(Writer& w, const char* key, Span value) {
    w.Key(key);
    const int64_t wholeMillis = value.inMicros() / 1000;
    w.Double(static_cast<double>(wholeMillis) / 1e3);
}

}  // namespace

void Control::run(const GetStatus& c) {
    if (auto v = visits_.find(c.visit); v != visits_.end())
        v->second->answer(200, "Content-Type: application/json\r\n", statusJson());
}

// Writes which members vote, catch up or are suspected and since when, and how many voters may still be lost.
void Control::writeMembers(rapidjson::Writer<rapidjson::StringBuffer>& w, Instant now) const {
    w.Key("losses_left"), w.Int(core_->lossesLeft(now));  // negative: no majority
    w.Key("members"), w.StartArray();
    const auto all = core_->members(now);
    for (size_t i = 0; i < std::min(all.size(), kMaxCores); ++i) {
        w.StartObject();
        writeText(w, "ip", all[i].node);
        writeBool(w, "votes", all[i].isVoter), writeBool(w, "catching_up", all[i].catchingUp);
        writeBool(w, "standby", all[i].standby), writeBool(w, "leaving", all[i].leaving);
        writeBool(w, "suspected", all[i].suspected), writeSeconds(w, "silent_s", all[i].silent);
        w.EndObject();
    }
    w.EndArray();
}

std::string Control::statusJson() const {
    const Instant now = loop_.now();
    const auto& voters = core_->voters();
    const bool isSelfVoter = std::find(voters.begin(), voters.end(), settings_.ip) != voters.end();
    rapidjson::StringBuffer out;
    Writer w(out);
    w.StartObject();
    writeText(w, "name", settings_.nodeName), writeText(w, "ip", settings_.ip),
        writeText(w, "zone", settings_.zone);
    writeBool(w, "leaving", isLeaving_);
    writeBool(w, "in_contact",
              core_->isInContact(now));  // recently, with a majority; otherwise the rest may be outdated

    w.Key("configuration"), w.StartObject();
    auto held = core_->newestValue();
    writeVersion(w, "on_majority", committedValue_ ? committedValue_->version : 0);  // 0: none known
    writeVersion(w, "held", held ? held->version : 0);
    w.EndObject();

    w.Key("disk"), w.StartObject();
    writeBool(w, "counts", isSelfVoter && !core_->isRecovering() && !lastSaveFailed_);
    writeBool(w, "is_voter", isSelfVoter), writeBool(w, "recovering", core_->isRecovering());
    writeBool(w, "last_save_failed", lastSaveFailed_);
    w.EndObject();

    writeNumber(w, "voters_epoch", core_->epoch());  // 0: not yet agreed on
    w.Key("voters"), w.StartArray();
    for (size_t i = 0; i < std::min(voters.size(), kMaxCores); ++i) writeString(w, voters[i]);
    w.EndArray();
    writeMembers(w, now);
    w.Key("seeds"), w.StartArray();
    for (size_t i = 0; i < std::min(settings_.seeds.size(), kMaxCores); ++i)
        writeString(w, settings_.seeds[i].text());
    w.EndArray();

    w.Key("peers"), w.StartArray();
    auto peers = core_->peers();
    for (size_t i = 0; i < std::min(peers.size(), kMaxCores); ++i) {
        w.StartObject();
        writeText(w, "ip", peers[i]);
        Instant heard = Instant::longAgo();
        for (const auto& [tag, inbound] : inboundLinks_)
            if (inbound.coreIp == peers[i]) heard = std::max(heard, inbound.lastHeardAt);
        if (heard > Instant::longAgo())
            writeSeconds(w, "heard_s_ago", now - heard);  // otherwise it has no link to this core now
        w.EndObject();
    }
    w.EndArray();

    w.Key("duty"), w.StartObject();
    const consensus::Lease duty = core_->lease();
    const bool isHeldHere = duty.held && duty.validUntil > now;
    writeText(w, "holder", duty.holder), writeNumber(w, "term", duty.term),
        writeBool(w, "held_here", isHeldHere);
    if (isHeldHere) writeSeconds(w, "left_s", duty.validUntil - now);
    w.EndObject();

    writeNumber(w, "agents_linked", agentByName_.size());
    w.Key("agents"), w.StartArray();
    size_t listed = 0;
    for (const auto& [name, tag] : agentByName_) {
        auto inbound = inboundLinks_.find(tag);
        if (inbound == inboundLinks_.end() || listed++ >= kMaxAgents) continue;
        const network::Hello& h = inbound->second.hello;
        w.StartObject();
        writeText(w, "name", h.name), writeText(w, "ip", h.ip), writeText(w, "zone", h.zone);
        writeSeconds(w, "heard_s_ago", now - inbound->second.lastHeardAt);
        writeVersion(w, "version", inbound->second.configVersion);  // as reported by the agent
        w.EndObject();
    }
    w.EndArray();

    if (scalerHost_) {
        const scaler::Counters& counters = scalerHost_->planner().counters();
        const Span longestPass = scalerHost_->passMonitor().longest();
        w.Key("planner"), w.StartObject();
        writeNumber(w, "term", scalerHost_->term());
        writeNumber(w, "starts", counters.starts), writeNumber(w, "starts_failed", counters.startsFailed);
        writeNumber(w, "stops", counters.stops), writeNumber(w, "adopted", counters.adopted),
            writeNumber(w, "lost", counters.lost);
        writeNumber(w, "drained", counters.drained), writeNumber(w, "overheld", counters.overcommitted);
        writeNumber(w, "wrong_term", counters.wrongTerm), writeNumber(w, "recalls", counters.recalledSlots);
        writeNumber(w, "longest_pass_ms", longestPass.inMicros() / 1000);
        auto services = scalerHost_->planner().serviceStates();
        // If there are too many, services with waiting requests come first, then those with instances.
        std::sort(services.begin(), services.end(),
                  [](const scaler::ServiceState& a, const scaler::ServiceState& b) {
                      return std::tuple(b.waiting, b.up + b.booting, a.name) <
                             std::tuple(a.waiting, a.up + a.booting, b.name);
                  });
        writeNumber(w, "services_known", services.size());
        w.Key("services"), w.StartArray();
        for (size_t i = 0; i < std::min(services.size(), kMaxServices); ++i) {
            const scaler::ServiceState& s = services[i];
            w.StartObject();
            writeText(w, "name", s.name);
            writeNumber(w, "up", s.up), writeNumber(w, "booting", s.booting),
                writeNumber(w, "draining", s.draining);
            writeNumber(w, "slots", s.slots), writeNumber(w, "waiting", s.waiting),
                writeNumber(w, "busy", s.busy);
            w.EndObject();
        }
        w.EndArray(), w.EndObject();
    }
    w.EndObject();
    return std::string(out.GetString(), out.GetSize());
}

}  // namespace petrelpond::control_plane
