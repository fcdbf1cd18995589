#include "src/protocol/messages.hpp"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "src/protocol/base64.hpp"

namespace petrelpond {

namespace {

std::string millis(Span span) { return std::to_string(std::max<int64_t>(span.inMicros() / 1000, 0)); }

// Ids and names travel in heads and JSON again, so what could break out of either is not taken.
bool plain(std::string_view text) {
    return !text.empty() && text.size() <= kMostId &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

constexpr Span kLongest = Span::seconds(1e9);

std::optional<Span> asMillis(std::string_view text) {
    auto value = http::decimal(text);
    if (!value || *value < 0 || *value * 1000 > static_cast<double>(kLongest.inMicros())) return std::nullopt;
    return Span::micros(static_cast<int64_t>(*value * 1000));
}

std::string itemOf(const Parcel& p) {
    std::string item = "{\"id\":" + json::quote(p.id);
    if (!p.mark.empty()) item += ",\"key\":" + json::quote(p.mark);
    return item;
}

}  // namespace

std::optional<Handed> readHanded(const http::Head& head) {
    auto target = http::parseTarget(head.second);
    auto id = head.field("Request-Id"), timeout = head.field("Request-Timeout-Ms");
    auto envelope = head.field("Envelope");
    if (!target || target->path.empty() || !id || !timeout || !envelope) return std::nullopt;
    auto validity = http::wholeNumber(*timeout);
    auto destination = http::part(*envelope, "dest");
    auto product = http::unescape(target->path.front(), false);
    if (!plain(*id) || !validity || !destination || !plain(*destination) || !product) return std::nullopt;
    if (*validity > static_cast<uint64_t>(kLongest.inMicros() / 1000) || !plain(*product))
        return std::nullopt;
    Handed out{std::string(*id),
               *product,
               std::string(*destination),
               Span::millis(static_cast<int64_t>(*validity)),
               "",
               ""};
    if (auto mark = head.field("Idempotency-Key")) {
        if (!plain(*mark)) return std::nullopt;
        out.mark = *mark;
    }
    if (auto key = target->parameter("subject")) {
        if (key->size() > kMostId) return std::nullopt;
        out.key = *key;
    }
    return out;
}

std::string retryAfter(Span pause) {
    std::string ms = std::to_string(pause.inMicros() / 1000 % 1000);
    return std::to_string(pause.inMicros() / 1000000) + "." + std::string(3 - ms.size(), '0') + ms;
}

size_t bundledSize(const Parcel& parcel) {
    return itemOf(parcel).size() + (parcel.body->size() + 2) / 3 * 4 + 16;
}

std::string writeCall(std::string_view host, const std::vector<Parcel>& parcels, Span timeout) {
    http::Fields fields = {{"Request-Timeout-Ms", millis(timeout)}};
    if (parcels.size() == 1) {
        fields.insert(fields.begin(), {"Request-Id", parcels[0].id});
        if (!parcels[0].mark.empty()) fields.emplace_back("Idempotency-Key", parcels[0].mark);
        return http::writeRequest("POST", "/events", host, fields, *parcels[0].body);
    }
    std::string body;
    for (const Parcel& p : parcels) {
        body += body.empty() ? "[" : ",";
        body += itemOf(p) + ",\"body\":\"" + base64(*p.body) + "\"}";
    }
    fields.emplace_back("Content-Type", "application/json");
    return http::writeRequest("POST", "/events/bundle", host, fields, body + "]");
}

std::optional<Answer> readAnswer(const http::Head& head, std::string_view body,
                                 const std::vector<Parcel>& parcels, const ReportNames& names) {
    Answer out;
    if (auto wait = head.field("Wait-Ms")) out.wait = asMillis(*wait).value_or(Span());
    if (auto report = head.field("Server-Load")) {
        // No figure is below none, and a report with a part that is no number is as absent.
        auto read = [&](const std::string& name) -> std::optional<double> {
            auto value = name.empty() ? std::nullopt : http::part(*report, name);
            auto number = value ? http::decimal(*value) : std::nullopt;
            if (number && (*number < 0 || *number > 1e9 || !http::numbers(*report))) number.reset();
            return number;
        };
        out.limit = read(names.limit), out.left = read(names.left);
    }
    auto all = [&](Verdict verdict) { out.verdicts.assign(parcels.size(), verdict); };
    switch (head.status()) {
        case 200:
            all(Verdict::delivered);
            break;
        case 429:
            all(Verdict::turnedAway);
            break;
        case 503:
            all(head.field("Slots-Taken") == "1" ? Verdict::notSent : Verdict::turnedAway);
            break;
        case 504:
        case 400:  // nothing has run of a call that could not be read, or held too much
        case 413:
            all(Verdict::notSent);
            break;
        case 410:
            all(Verdict::over);
            break;
        default:
            all(Verdict::error);
    }
    if (head.status() != 200 || parcels.size() == 1) return out;
    // Of several, the body says how each one ended; one that it leaves out may have run.
    auto value = json::parse(body);
    if (!value || value->type != json::Value::Type::array) return std::nullopt;
    std::unordered_map<std::string_view, Verdict> told;
    for (const json::Value& item : value->items) {
        std::string_view state = item.textOf("state");
        Verdict verdict = state == "accepted"   ? Verdict::delivered
                          : state == "deferred" ? Verdict::turnedAway
                          : state == "expired"  ? Verdict::over
                          : state == "no_more"  ? Verdict::notSent
                                                : Verdict::error;
        told.emplace(item.textOf("id"), verdict);
    }
    for (size_t i = 0; i < parcels.size(); ++i) {
        auto found = told.find(parcels[i].id);
        out.verdicts[i] = found == told.end() ? Verdict::error : found->second;
    }
    return out;
}

std::string writeWatch(std::string_view host, std::optional<int64_t> after, Span wait) {
    std::string target = "/discovery/hosts";
    if (after) target += "?after=" + std::to_string(*after) + "&wait_ms=" + millis(wait);
    return http::writeRequest("GET", target, host, {}, "");
}

std::optional<MemberList> readMembers(const json::Value& value) {
    const json::Value *revision = value.member("revision"), *whole = value.member("complete");
    const json::Value* members = value.member("members");
    if (!revision || revision->type != json::Value::Type::number || !members) return std::nullopt;
    if (members->type != json::Value::Type::array || std::abs(revision->number) > 9e15) return std::nullopt;
    MemberList out;
    out.revision = static_cast<int64_t>(revision->number);
    out.whole = whole && whole->truth;
    for (const json::Value& item : members->items) {
        Member m;
        m.id = item.textOf("id"), m.address = item.textOf("host_port");
        m.zone = item.textOf("locality"), m.kind = item.textOf("flavor");
        if (const json::Value* cell = item.member("cell")) m.destination = cell->text;
        if (const json::Value* size = item.member("size")) m.rate = std::max(size->number, 0.0);
        std::string_view phase = item.textOf("phase");
        // A phase not known here is no leave to send.
        m.state = phase == "ready" ? ListState::active : phase == "gone" ? ListState::removed : ListState::draining;
        if (m.id.empty()) continue;  // the rest may hold a drain
        out.members.push_back(std::move(m));
    }
    return out;
}

std::optional<MemberList> readMembers(std::string_view body) {
    auto value = json::parse(body);
    return value ? readMembers(*value) : std::nullopt;
}

std::string writeNotices(std::string_view host, const std::vector<Notice>& notices) {
    std::string body;
    for (const Notice& n : notices) {
        body += "{\"ref\":" + json::quote(n.id) + ",\"result\":" + (n.nacked ? "\"bounced\"" : "\"dead\"");
        if (n.nacked && n.pause > Span()) body += ",\"wait_ms\":" + millis(n.pause);
        body += "}\n";
    }
    return http::writeRequest("POST", "/v2/finals", host, {{"Content-Type", "application/json"}}, body);
}

namespace {

std::string flatWord(const json::Value& value) {
    if (value.type == json::Value::Type::boolean) return value.truth ? "true" : "false";
    std::string word = value.text;
    for (char& c : word) {
        if (c == ' ' || c == ',') c = '_';  // as the simulator's wire does
    }
    return word;
}

void flattenAt(const json::Value& value, const std::string& path, Settings& set) {
    auto join = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (value.type == json::Value::Type::object) {
        for (const auto& [name, member] : value.members) flattenAt(member, join(name), set);
        return;
    }
    if (value.type != json::Value::Type::array) return set.add(path, flatWord(value));
    std::string words;
    bool nested = false;
    for (size_t i = 0; i < value.items.size(); ++i) {
        const json::Value& item = value.items[i];
        nested = nested || item.type == json::Value::Type::object || item.type == json::Value::Type::array;
        if (nested) flattenAt(item, join(std::to_string(i)), set);
        if (i > 0) words += ',';
        words += flatWord(item);
    }
    if (nested) return set.add(join("count"), std::to_string(value.items.size()));
    set.add(path, words);
}

}  // namespace

void flatten(const json::Value& value, Settings& set) { flattenAt(value, "", set); }

}  // namespace petrelpond
