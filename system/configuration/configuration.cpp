#include "system/configuration/configuration.hpp"

#define XXH_INLINE_ALL
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <unordered_set>

namespace petrelpond::configuration {
namespace {

using Json = rapidjson::Value;

// The shape of a configuration. Numbers may be whole or not, for a sender that writes 4000.0. What the pages
// show in every example and do not call optional is required; null counts as missing elsewhere.
// The validator stops at its first error, so the Builder below lists all of them by itself; the schema is the
// net under it, and its error is added when the Builder has not found one at the same place.
constexpr const char* kSchema = R"({
  "type": "object",
  "required": ["config_version", "route_table", "service_table"],
  "properties": {
    "config_version": {"type": "number"},
    "route_table": {"type": "array", "items": {
      "type": "object",
      "required": ["name", "host_name", "path_prefix", "route_type", "timeout_ms"],
      "properties": {
        "name": {"type": "string", "minLength": 1},
        "host_name": {"type": "string", "minLength": 1},
        "path_prefix": {"type": "string", "minLength": 1},
        "route_type": {"enum": ["idempotent", "non_idempotent"]},
        "timeout_ms": {"type": "number"},
        "target_latency_ms": {"type": ["number", "null"]},
        "priority": {"type": ["number", "null"]},
        "max_attempts": {"type": ["number", "null"]}
      }}},
    "service_table": {"type": "array", "items": {
      "type": "object",
      "required": ["name", "max_connections"],
      "properties": {
        "name": {"type": "string", "minLength": 1},
        "health_path": {"type": ["string", "null"]},
        "max_connections": {"type": "number"},
        "memory_mb": {"type": ["number", "null"]},
        "boot_ms": {"type": ["number", "null"]},
        "max_concurrency": {"type": ["number", "null"]}
      }}},
    "limits": {"type": ["object", "null"], "properties": {
      "max_header_bytes": {"type": ["number", "null"], "minimum": 0},
      "max_body_bytes": {"type": ["number", "null"], "minimum": 0},
      "header_timeout_ms": {"type": ["number", "null"], "minimum": 0},
      "idle_timeout_ms": {"type": ["number", "null"], "minimum": 0}
    }}
  }
})";

const rapidjson::SchemaDocument& schema() {
    static const rapidjson::SchemaDocument compiled = [] {
        rapidjson::Document d;
        d.Parse(kSchema);
        return rapidjson::SchemaDocument(d);
    }();
    return compiled;
}

constexpr int kDeepest = 64;
// The longest time that is believed, about 31 years in milliseconds, so that no sum of times overflows.
constexpr double kMostMs = 1e12;

struct Mistakes {
    std::vector<std::string> list;
    bool unreadable = false;  // something has not the type that it needs, so there is no value to use

    void rule(const std::string& path, const std::string& what) { list.push_back(path + " " + what); }
    void shape(const std::string& path, const std::string& what) {
        unreadable = true;
        rule(path, what);
    }
};

// Refuses, before any parser sees the text:
// - nesting deeper than 64, against a body of brackets that overflows the stack of the parser, which calls
//   itself; it would also refuse a deep unknown field, which no page hints at;
// - a byte 0, at which the parser takes the text for ended and would let anything follow. JSON has none.
const char* refuse(std::string_view text) {
    int depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (c == '\0') return "holds a byte 0";
        if (inString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                inString = false;
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > kDeepest) return "is nested deeper than 64";
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return nullptr;
}

bool parse(std::string_view text, rapidjson::Document& doc, Mistakes& m) {
    if (const char* why = refuse(text)) {
        m.shape("/", why);
        return false;
    }
    doc.Parse<rapidjson::kParseValidateEncodingFlag>(text.data(), text.size());
    if (!doc.HasParseError()) return true;
    m.shape("/", std::string("cannot be read whole: ") + rapidjson::GetParseError_En(doc.GetParseError()) +
                     " At byte " + std::to_string(doc.GetErrorOffset()) + ".");
    return false;
}

void checkSchema(const rapidjson::Document& doc, Mistakes& m) {
    rapidjson::SchemaValidator validator(schema());
    if (doc.Accept(validator) && validator.IsValid()) return;
    rapidjson::StringBuffer at;
    validator.GetInvalidDocumentPointer().Stringify(at);
    const std::string path(at.GetString(), at.GetSize());
    for (const std::string& known : m.list) {
        if (known.starts_with(path + " ") || known.starts_with(path + "/")) return;
    }
    m.shape(path.empty() ? "/" : path,
            std::string("breaks the schema's \"") + validator.GetInvalidSchemaKeyword() + "\"");
}

// Null when the field is missing or null. The first of two fields with one name counts.
const Json* member(const Json& object, std::string_view key) {
    for (auto at = object.MemberBegin(), end = object.MemberEnd(); at != end; ++at) {
        if (std::string_view(at->name.GetString(), at->name.GetStringLength()) == key) {
            return at->value.IsNull() ? nullptr : &at->value;
        }
    }
    return nullptr;
}

// Takes the values out and lists every mistake: those of a single field as well as those between fields.
class Builder {
  public:
    explicit Builder(Mistakes& mistakes) : m_(mistakes) {}

    void build(const Json& root, Configuration& out) {
        if (!root.IsObject()) return m_.shape("/", "must be an object");
        if (const Json* v = needed(root, "", "config_version")) out.version = version(*v);
        if (const Json* list = array(root, "service_table")) {
            out.services.reserve(list->Size());
            for (rapidjson::SizeType i = 0; i < list->Size(); ++i) {
                addService((*list)[i], "/service_table/" + std::to_string(i), out);
            }
        }
        if (const Json* list = array(root, "route_table")) {
            out.routes.reserve(list->Size());
            for (rapidjson::SizeType i = 0; i < list->Size(); ++i) {
                addRoute((*list)[i], "/route_table/" + std::to_string(i), out);
            }
        }
        if (const Json* limits = member(root, "limits")) {
            if (!limits->IsObject()) return m_.shape("/limits", "must be an object");
            auto size = [&](const char* key, std::size_t& to) {
                to = static_cast<std::size_t>(std::min(limit(*limits, key, double(to)), 1e15));
            };
            auto time = [&](const char* key, Span& to) {
                to = fromMillis(limit(*limits, key, to.inSeconds() * 1e3));
            };
            size("max_header_bytes", out.limits.headerBytes);
            size("max_body_bytes", out.limits.bodyBytes);
            time("header_timeout_ms", out.limits.headerTimeout);
            time("idle_timeout_ms", out.limits.idleTimeout);
        }
    }

    // The host as it is compared: without port, in lower case.
    static std::string hostKey(std::string_view host);

  private:
    using Names = std::unordered_set<std::string>;

    const Json* needed(const Json& object, const std::string& path, const char* key) {
        const Json* v = member(object, key);
        if (!v) m_.shape(path + "/" + key, "is missing");
        return v;
    }

    // Versions are compared, so one that is cut to a whole number could pass for one that is already held.
    int64_t version(const Json& v) {
        if (v.IsInt64()) return v.GetInt64();
        const double d = v.IsDouble() ? v.GetDouble() : 0.5;
        // 2^53: above, a double no longer tells neighbours apart.
        if (d != std::floor(d) || std::abs(d) > 9007199254740992.0) {
            m_.shape("/config_version", "must be a whole number of at most 63 bits");
            return 0;
        }
        return static_cast<int64_t>(d);
    }

    const Json* array(const Json& object, const char* key) {
        const Json* v = needed(object, "", key);
        if (!v || v->IsArray()) return v;
        m_.shape(std::string("/") + key, "must be a list");
        return nullptr;
    }

    // A necessary text; empty when it is missing or wrong.
    std::string text(const Json& object, const std::string& path, const char* key) {
        const Json* v = needed(object, path, key);
        if (!v) return {};
        if (v->IsString() && v->GetStringLength() > 0) return {v->GetString(), v->GetStringLength()};
        m_.shape(path + "/" + key, "must be a text that is not empty");
        return {};
    }

    double number(const Json& object, const std::string& path, const char* key, double missing) {
        const Json* v = member(object, key);
        if (!v) return missing;
        if (v->IsNumber()) return v->GetDouble();
        m_.shape(path + "/" + key, "must be a number");
        return missing;
    }

    double limit(const Json& limits, const char* key, double missing) {
        const double v = number(limits, "/limits", key, missing);
        if (v >= 0) return v;
        m_.shape(std::string("/limits/") + key, "must not be below 0");
        return missing;
    }

    int whole(const Json& object, const std::string& path, const char* key, int least, int missing) {
        return static_cast<int>(std::clamp(number(object, path, key, missing), double(least), 2e9));
    }

    static Span fromMillis(double ms) {
        return Span::micros(std::llround(std::clamp(ms, 0.0, kMostMs) * 1e3));
    }

    Span span(const Json& object, const std::string& path, const char* key, Span missing) {
        return member(object, key) ? fromMillis(number(object, path, key, 0)) : missing;
    }

    void addService(const Json& v, const std::string& path, Configuration& out) {
        if (!v.IsObject()) return m_.shape(path, "must be an object");
        Service s;
        s.name = text(v, path, "name");
        if (const Json* health = member(v, "health_path")) {
            if (health->IsString())
                s.healthPath.emplace(health->GetString(), health->GetStringLength());
            else
                m_.shape(path + "/health_path", "must be a text or null");
        }
        // At least 1: with none, no request of the service could ever be sent.
        if (needed(v, path, "max_connections")) s.maxConnections = whole(v, path, "max_connections", 1, 1);
        s.memoryMb = whole(v, path, "memory_mb", 0, s.memoryMb);
        s.boot = span(v, path, "boot_ms", s.boot);
        s.maxConcurrency = whole(v, path, "max_concurrency", 1, s.maxConcurrency);
        if (!s.name.empty() && !services_.insert(s.name).second) {
            m_.rule(path + "/name", "repeats the service " + s.name);
        }
        out.services.push_back(std::move(s));
    }

    void addRoute(const Json& v, const std::string& path, Configuration& out) {
        if (!v.IsObject()) return m_.shape(path, "must be an object");
        Route r;
        r.name = text(v, path, "name");
        r.host = text(v, path, "host_name");
        r.prefix = text(v, path, "path_prefix");
        const std::string type = text(v, path, "route_type");
        r.repeatable = type == "idempotent";
        if (!type.empty() && !r.repeatable && type != "non_idempotent") {
            m_.shape(path + "/route_type", "must be idempotent or non_idempotent");
        }
        if (needed(v, path, "timeout_ms")) {
            const double ms = number(v, path, "timeout_ms", 1);
            if (!(ms > 0)) m_.rule(path + "/timeout_ms", "must be above 0");
            r.timeout = std::max(fromMillis(ms), Span::micros(1));
        }
        r.target = span(v, path, "target_latency_ms", r.timeout);
        r.priority = whole(v, path, "priority", 0, r.priority);
        r.maxAttempts = whole(v, path, "max_attempts", 1, r.maxAttempts);
        readTargets(v, path, r);

        if (!r.name.empty() && !routes_.insert(r.name).second) {
            m_.rule(path + "/name", "repeats the route " + r.name);
        }
        if (!r.prefix.empty()) {
            if (r.prefix.front() != '/' || r.prefix.back() != '/') {
                m_.rule(path + "/path_prefix", "must begin and end with a slash");
            }
            if (!r.host.empty() && !places_.insert(hostKey(r.host) + '\n' + r.prefix).second) {
                m_.rule(path, "shares host and prefix with another route: " + r.host + r.prefix);
            }
        }
        out.routes.push_back(std::move(r));
    }

    // OPEN QUESTION: a configuration may split a route over services by weights, but no page shows how that
    // is written. Taken are, under `service`, `services`, `weights` or `service_weights`:
    //   "a"                                  one service
    //   ["a", {"service": "b", "weight": 3}] a list; the name stands in `service` or `name`, the weight is 1
    //                                        when missing
    //   {"a": 1, "b": 3}                     a map from name to weight
    // and a list of names in `service` or `services` beside a list of as many numbers in one of the others.
    // When several of the fields are there, the one that can say most counts: service_weights, weights,
    // services, service; empty ones are passed over, since a route that is not split may carry one.
    // Once the real form is known, the others should go: they hide an operator's slip.
    void readTargets(const Json& v, const std::string& path, Route& r) {
        const Json* numbers = nullptr;
        std::string numbersPath;
        for (const char* key : {"service_weights", "weights", "services", "service"}) {
            const Json* at = member(v, key);
            if (!at) continue;
            if ((at->IsArray() && at->Empty()) || (at->IsObject() && at->ObjectEmpty())) continue;
            const std::string here = path + "/" + key;
            if (at->IsArray() && (*at)[0].IsNumber() && !numbers) {
                numbers = at;
                numbersPath = here;
                continue;
            }
            targetsFrom(*at, here, numbers, numbersPath, r);
            return checkSum(here, r);
        }
        m_.shape(path + "/service", "must name a service");
    }

    void targetsFrom(const Json& at, const std::string& here, const Json* numbers,
                     const std::string& numbersPath, Route& r) {
        if (at.IsString()) return addTarget(here, at, 1, r);
        if (at.IsObject()) {
            for (const auto& entry : at.GetObject()) {
                std::string path = here;
                path.append("/").append(entry.name.GetString(), entry.name.GetStringLength());
                if (!entry.value.IsNumber())
                    m_.shape(path, "must be a weight");
                else
                    addTarget(path, entry.name, entry.value.GetDouble(), r);
            }
            return;
        }
        if (!at.IsArray()) return m_.shape(here, "must be a service, a list of them or a map to weights");
        if (numbers && numbers->Size() != at.Size()) {
            return m_.shape(numbersPath, "must hold as many weights as there are services");
        }
        for (rapidjson::SizeType i = 0; i < at.Size(); ++i) {
            const Json& item = at[i];
            const std::string itemPath = here + "/" + std::to_string(i);
            double weight = 1;
            if (numbers) {
                if ((*numbers)[i].IsNumber())
                    weight = (*numbers)[i].GetDouble();
                else
                    m_.shape(numbersPath + "/" + std::to_string(i), "must be a weight");
            }
            const Json* name = &item;
            if (item.IsObject()) {
                name = member(item, "service");
                if (!name) name = member(item, "name");
                if (const Json* w = member(item, "weight")) {
                    if (w->IsNumber())
                        weight = w->GetDouble();
                    else
                        m_.shape(itemPath + "/weight", "must be a number");
                }
            }
            if (!name || !name->IsString())
                m_.shape(itemPath, "must name a service");
            else
                addTarget(itemPath, *name, weight, r);
        }
    }

    void addTarget(const std::string& path, const Json& name, double weight, Route& r) {
        std::string service(name.GetString(), name.GetStringLength());
        if (services_.count(service) == 0) m_.rule(path, "names the unknown service " + service);
        if (weight < 0) m_.rule(path, "has a weight below 0");
        r.to.emplace_back(std::move(service), weight);
    }

    void checkSum(const std::string& path, const Route& r) {
        double sum = 0;
        for (const auto& [service, weight] : r.to) sum += weight;
        if (!(sum > 0) || !std::isfinite(sum)) m_.rule(path, "has weights whose sum is not above 0");
    }

    Mistakes& m_;
    Names services_, routes_, places_;
};

// Without the port. An IPv6 address in brackets keeps its colons.
std::string_view withoutPort(std::string_view host) {
    const std::size_t from = !host.empty() && host.front() == '[' ? host.find(']') : 0;
    if (from == std::string_view::npos) return host;
    return host.substr(0, host.find(':', from));
}

constexpr char lower(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

std::string Builder::hostKey(std::string_view host) {
    std::string key(withoutPort(host));
    for (char& c : key) c = lower(c);
    return key;
}

}  // namespace

Result<std::shared_ptr<const Configuration>> readConfiguration(std::string_view json) {
    Mistakes m;
    rapidjson::Document doc;
    auto out = std::make_shared<Configuration>();
    if (parse(json, doc, m)) {
        Builder(m).build(doc, *out);
        checkSchema(doc, m);
    }
    if (m.list.empty()) {
        out->text = json;
        return std::shared_ptr<const Configuration>(std::move(out));
    }
    std::string what;
    for (const std::string& one : m.list) what += (what.empty() ? "" : "; ") + one;
    return Problem{"read configuration", "configuration", what};
}

std::shared_ptr<const Configuration> trusted(std::string_view json) {
    Mistakes m;
    rapidjson::Document doc;
    if (!parse(json, doc, m)) return nullptr;
    auto out = std::make_shared<Configuration>();
    Builder(m).build(doc, *out);
    if (m.unreadable) return nullptr;
    out->text = json;
    return out;
}

uint64_t digest(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

const std::string& pickService(const Route& route, double point) {
    // Weights count as parts of the largest: their own sum may exceed the range of a double, and then every
    // request went to the last service.
    double largest = 0;
    for (const auto& [name, weight] : route.to) largest = std::max(largest, weight);
    double sum = 0;
    for (const auto& [name, weight] : route.to) sum += weight / largest;
    const std::string* picked = &route.to.front().first;
    double left = point * sum;
    for (const auto& [name, weight] : route.to) {
        if (weight <= 0) continue;
        picked = &name;
        left -= weight / largest;
        if (left < 0) break;
    }
    return *picked;
}

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : configuration_(std::move(configuration)) {
    if (!configuration_) return;
    for (const Service& s : configuration_->services) services_.emplace(s.name, &s);
    for (const Route& r : configuration_->routes) {
        hosts_[Builder::hostKey(r.host)].push_back({r.prefix, &r, -1});
    }
    for (auto& [host, entries] : hosts_) {
        std::stable_sort(entries.begin(), entries.end(),
                         [](const Entry& a, const Entry& b) { return a.prefix < b.prefix; });
        for (std::size_t i = 1; i < entries.size(); ++i) {
            int p = static_cast<int>(i) - 1;
            while (p >= 0 && !entries[i].prefix.starts_with(entries[p].prefix)) p = entries[p].parent;
            entries[i].parent = p;
        }
    }
}

// The last prefix that is not above the path either begins it, or all that begin the path begin that prefix
// too: so its parents, longest first, are the only ones left to try. No work grows with the path's slashes.
const Route* RouteTable::find(std::string_view host, std::string_view path) const {
    host = withoutPort(host);
    char key[256];
    if (host.size() > sizeof key) return nullptr;  // no name is that long
    for (std::size_t i = 0; i < host.size(); ++i) key[i] = lower(host[i]);
    const auto found = hosts_.find(std::string_view(key, host.size()));
    if (found == hosts_.end()) return nullptr;
    path = path.substr(0, path.find('?'));
    const std::vector<Entry>& entries = found->second;
    const auto above = std::upper_bound(entries.begin(), entries.end(), path,
                                        [](std::string_view p, const Entry& e) { return p < e.prefix; });
    int i = static_cast<int>(above - entries.begin()) - 1;
    while (i >= 0 && !path.starts_with(entries[i].prefix)) i = entries[i].parent;
    return i < 0 ? nullptr : entries[i].route;
}

const Service* RouteTable::service(std::string_view name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

}  // namespace petrelpond::configuration
