#include "system/cli/changes.hpp"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>

namespace petrelpond::cli {

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

std::string plain(double v) {
    char out[32];
    std::snprintf(out, sizeof out, "%.6g", v);
    return out;
}
std::string millis(Span s) { return plain(static_cast<double>(s.inMicros()) / 1e3); }

std::string targets(const configuration::Route& r) {
    if (r.to.size() == 1) return r.to[0].first;
    std::string out;
    for (const auto& [service, weight] : r.to)
        out += (out.empty() ? "" : " + ") + service + " x " + plain(weight);
    return out;
}

Fields fieldsOf(const configuration::Route& r) {
    return {{"host_name", r.host},
            {"path_prefix", r.prefix},
            {"route_type", r.repeatable ? "idempotent" : "non_idempotent"},
            {"timeout_ms", millis(r.timeout)},
            {"target_latency_ms", millis(r.target)},
            {"priority", std::to_string(r.priority)},
            {"max_attempts", std::to_string(r.maxAttempts)},
            {"service", targets(r)}};
}
Fields fieldsOf(const configuration::Service& s) {
    return {{"health_path", s.healthPath.value_or("null")},
            {"max_connections", std::to_string(s.maxConnections)},
            {"memory_mb", std::to_string(s.memoryMb)},
            {"boot_ms", millis(s.boot)},
            {"max_concurrency", std::to_string(s.maxConcurrency)}};
}
Fields fieldsOf(const configuration::Limits& l) {
    return {{"max_header_bytes", std::to_string(l.headerBytes)},
            {"max_body_bytes", std::to_string(l.bodyBytes)},
            {"header_timeout_ms", millis(l.headerTimeout)},
            {"idle_timeout_ms", millis(l.idleTimeout)}};
}

std::vector<FieldChange> differing(const Fields& from, const Fields& to) {
    std::vector<FieldChange> out;
    for (size_t i = 0; i < from.size(); ++i)
        if (from[i].second != to[i].second) out.push_back({from[i].first, from[i].second, to[i].second});
    return out;
}

template <class T>
void compare(const char* kind, const std::vector<T>& from, const std::vector<T>& to,
             std::vector<Change>& out) {
    std::map<std::string, std::pair<const T*, const T*>> all;
    for (const T& one : from) all[one.name].first = &one;
    for (const T& one : to) all[one.name].second = &one;
    for (const auto& [name, pair] : all) {
        const auto [before, after] = pair;
        Change c{Change::altered, kind, name, {}};
        if (before && after) {
            c.fields = differing(fieldsOf(*before), fieldsOf(*after));
            if (c.fields.empty()) continue;
        } else if (after) {
            c.how = Change::added;
            for (auto& [field, value] : fieldsOf(*after)) c.fields.push_back({field, "", value});
        } else {
            c.how = Change::removed;
            for (auto& [field, value] : fieldsOf(*before)) c.fields.push_back({field, value, ""});
        }
        out.push_back(std::move(c));
    }
}

const char* wordOf(Change::How how) {
    return how == Change::added ? "added" : how == Change::removed ? "removed" : "changed";
}

void text(Writer& w, const char* key, const std::string& value) {
    w.Key(key), w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

bool sameButForText(const configuration::Configuration& from, const configuration::Configuration& to) {
    return changes(from, to).empty() && from.version == to.version && from.text != to.text;
}

}  // namespace

std::vector<Mistake> mistakesOf(const network::Problem& problem) {
    std::vector<Mistake> out;
    std::string_view rest = problem.what;
    while (!rest.empty()) {
        size_t end = std::min(rest.find("; /"), rest.size());  // each begins with its path
        std::string_view one = rest.substr(0, end);
        size_t blank = std::min(one.find(' '), one.size());
        out.push_back(
            {std::string(one.substr(0, blank)), std::string(one.substr(std::min(blank + 1, one.size())))});
        rest.remove_prefix(std::min(end + 2, rest.size()));
    }
    return out;
}

std::vector<Change> changes(const configuration::Configuration& from,
                            const configuration::Configuration& to) {
    std::vector<Change> out;
    auto limits = differing(fieldsOf(from.limits), fieldsOf(to.limits));
    if (!limits.empty()) out.push_back({Change::altered, "limits", "", std::move(limits)});
    compare("route", from.routes, to.routes, out);
    compare("service", from.services, to.services, out);
    return out;
}

std::string changesText(const configuration::Configuration* from, const configuration::Configuration& to) {
    static const configuration::Configuration none;
    std::string out = "version " + (from ? std::to_string(from->version) : std::string("none")) + " -> " +
                      std::to_string(to.version) + "\n";
    const auto all = changes(from ? *from : none, to);
    size_t count[3] = {0, 0, 0};
    for (const Change& c : all) {
        ++count[c.how];
        out += std::string(1, "+-~"[c.how]) + " " + c.kind + (c.name.empty() ? "" : " " + c.name);
        if (c.how == Change::altered) {
            out += "\n";
            for (const auto& f : c.fields) out += "    " + f.field + ": " + f.from + " -> " + f.to + "\n";
            continue;
        }
        out += ":";
        for (const auto& f : c.fields) out += " " + f.field + "=" + (c.how == Change::added ? f.to : f.from);
        out += "\n";
    }
    if (from && sameButForText(*from, to))
        out += "the texts differ only in what is not read: blanks, order, unknown fields\n";
    return out + std::to_string(count[0]) + " added, " + std::to_string(count[1]) + " removed, " +
           std::to_string(count[2]) + " changed\n";
}

std::string changesJson(const configuration::Configuration* from, const configuration::Configuration& to) {
    static const configuration::Configuration none;
    rapidjson::StringBuffer buffer;
    Writer w(buffer);
    w.StartObject();
    w.Key("from");
    if (from)
        w.Int64(from->version);
    else
        w.Null();
    w.Key("to"), w.Int64(to.version);
    w.Key("changes"), w.StartArray();
    for (const Change& c : changes(from ? *from : none, to)) {
        w.StartObject();
        text(w, "how", wordOf(c.how)), text(w, "kind", c.kind), text(w, "name", c.name);
        w.Key("fields"), w.StartArray();
        for (const auto& f : c.fields) {
            w.StartObject();
            text(w, "field", f.field);
            if (c.how != Change::added) text(w, "from", f.from);
            if (c.how != Change::removed) text(w, "to", f.to);
            w.EndObject();
        }
        w.EndArray(), w.EndObject();
    }
    w.EndArray();
    w.Key("same_but_for_text"), w.Bool(from && sameButForText(*from, to));
    w.EndObject();
    return buffer.GetString() + std::string("\n");
}

std::string summaryText(const configuration::Configuration& c) {
    std::string out = "version " + std::to_string(c.version) + ", " + std::to_string(c.text.size()) +
                      " bytes, " + std::to_string(c.routes.size()) + " routes, " +
                      std::to_string(c.services.size()) + " services\n";
    for (const auto& r : c.routes)
        out += "route " + r.name + ": " + r.host + r.prefix + " -> " + targets(r) + ", " +
               (r.repeatable ? "idempotent" : "non_idempotent") + ", " + millis(r.timeout) + " ms, aim " +
               millis(r.target) + " ms, priority " + std::to_string(r.priority) + ", attempts " +
               std::to_string(r.maxAttempts) + "\n";
    for (const auto& s : c.services)
        out += "service " + s.name + ": " + std::to_string(s.maxConcurrency) + " at once, " +
               std::to_string(s.memoryMb) + " MB, boot " + millis(s.boot) + " ms, connections " +
               std::to_string(s.maxConnections) + "\n";
    out += "limits:";
    for (const auto& [field, value] : fieldsOf(c.limits))
        out.append(" ").append(field).append("=").append(value);
    return out + "\n";
}

std::string summaryJson(const configuration::Configuration& c) {
    rapidjson::StringBuffer buffer;
    Writer w(buffer);
    auto list = [&](const char* key, const char* kind) {
        w.Key(key), w.StartArray();
        static const configuration::Configuration none;
        for (const Change& one : changes(none, c)) {
            if (one.kind != kind) continue;
            w.StartObject();
            text(w, "name", one.name);
            for (const auto& f : one.fields) text(w, f.field.c_str(), f.to);
            w.EndObject();
        }
        w.EndArray();
    };
    w.StartObject();
    w.Key("version"), w.Int64(c.version), w.Key("bytes"), w.Uint64(c.text.size());
    list("routes", "route"), list("services", "service");
    w.Key("limits"), w.StartObject();
    for (const auto& [field, value] : fieldsOf(c.limits)) text(w, field.c_str(), value);
    w.EndObject(), w.EndObject();
    return buffer.GetString() + std::string("\n");
}

}  // namespace petrelpond::cli
