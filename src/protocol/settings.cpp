#include "src/protocol/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace petrelpond {

namespace {

template <class Number>
Number parse(std::string_view name, std::string_view text, const char* what) {
    Number value{};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw Malformed(std::string(name) + "=" + std::string(text.substr(0, 40)) + " is not " + what);
    }
    return value;
}

}  // namespace

int64_t toInteger(std::string_view name, std::string_view text) {
    return parse<int64_t>(name, text, "a whole number");
}

uint64_t toUnsigned(std::string_view name, std::string_view text) {
    return parse<uint64_t>(name, text, "a whole number, 0 or above");
}

double toNumber(std::string_view name, std::string_view text) {
    double value = parse<double>(name, text, "a number");
    if (!std::isfinite(value)) throw Malformed(std::string(name) + " is not a finite number");
    return value;
}

std::vector<std::string_view> splitList(std::string_view text) {
    std::vector<std::string_view> items;
    while (!text.empty()) {
        size_t comma = text.find(',');
        items.push_back(text.substr(0, comma));
        if (comma == std::string_view::npos) break;
        text.remove_prefix(comma + 1);
    }
    return items;
}

std::string_view Settings::text(const std::string& path) const {
    auto found = values_.find(path);
    return found == values_.end() ? std::string_view() : std::string_view(found->second);
}

int64_t Settings::integer(const std::string& path, int64_t absent) const {
    return text(path).empty() ? absent : toInteger(path, text(path));
}

double Settings::number(const std::string& path, double absent) const {
    return text(path).empty() ? absent : toNumber(path, text(path));
}

bool Settings::flag(const std::string& path, bool absent) const {
    std::string_view value = text(path);
    if (value.empty()) return absent;
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw Malformed(path + "=" + std::string(value) + " is not true or false");
}

namespace {

Span span(const Settings& set, const std::string& path) { return Span::micros(set.integer(path)); }

std::vector<Product> readProducts(const Settings& set, Names& names) {
    std::vector<Product> products;
    for (int64_t i = 0; i < set.integer("lanes.count"); ++i) {
        std::string at = "lanes.";
        at.append(std::to_string(i)).append(".");
        names.products.intern(set.text(at + "name"));
        Product p;
        p.sla = span(set, at + "aim");
        p.validity = span(set, at + "deadline");
        p.effect = named<Effect>(set.text(at + "effect"), {{"read_like", Effect::idempotent},
                                                           {"idempotency_key", Effect::idempotencyKey},
                                                           {"non_idempotent", Effect::nonIdempotent},
                                                           {"", Effect::nonIdempotent}});
        p.dedupWindow = span(set, at + "window");
        p.dedupPerZone = !set.text(at + "group").empty() && set.text(at + "group") != "all";
        p.revenue = set.number(at + "worth", 1);
        p.lateRevenueShare = set.number(at + "lateWorth");
        p.inOrder = set.flag(at + "fifoByKey");
        products.push_back(p);
    }
    return products;
}

}  // namespace

std::vector<EndpointKind> readKinds(const Settings& set, Names& names) {
    std::vector<EndpointKind> kinds;
    auto batches = set.list("domain.batchByKind"), routes = set.list("domain.separateRoutes");
    for (std::string_view name : set.list("kinds")) {
        names.kinds.intern(name);
        EndpointKind kind;
        if (kinds.size() < batches.size()) {
            kind.batch = static_cast<int>(toInteger("domain.batchByKind", batches[kinds.size()]));
        }
        if (kinds.size() < routes.size()) kind.separateRoutes = routes[kinds.size()] == "true";
        kinds.push_back(kind);
    }
    return kinds;
}

Span readLongestValidity(const Settings& set) {
    Names unused;
    Span longest;
    for (const Product& p : readProducts(set, unused)) longest = std::max(longest, p.validity);
    return longest;
}

std::set<std::string> readOrdered(const Settings& set) {
    Names names;
    std::set<std::string> ordered;
    auto products = readProducts(set, names);
    for (size_t i = 0; i < products.size(); ++i) {
        if (products[i].inOrder) ordered.insert(names.products.name(ProductIndex(i)));
    }
    return ordered;
}

SenderLimits readRoom(const Settings& set) {
    return {static_cast<int>(set.integer("domain.maxCalls")),
            static_cast<int>(set.integer("limits.mostHeld")),
            static_cast<int>(set.integer("limits.maxAttempts")),
            set.flag("limits.cancel"),
            span(set, "resolution"),
            set.flag("limits.retryAfter") ? span(set, "limits.maxRetryAfter") : Span()};
}

ConnectionRule readLinks(const Settings& set) {
    return {span(set, "limits.connIdle"), span(set, "contract.orderSettle")};
}

int readCrewSize(const Settings& set) { return static_cast<int>(set.integer("balancers", 1)); }

EndpointListRule readListRule(const Settings& set) {
    std::string_view weights = set.text("weights");
    return {set.text("membershipMode") == "subscribe", weights == "nominal" || weights == "rough",
            span(set, "contract.mustAskIn")};
}

ReportFields readReportFields(const Settings& set) {
    ReportFields found;
    if (set.text("report.how") != "piggyback") return found;
    auto fields = set.list("report.fields");
    for (size_t i = 0; i < fields.size(); ++i) {
        if (fields[i] == "x0") found.left = static_cast<int>(i);
        if (fields[i] == "x1") found.limit = static_cast<int>(i);
    }
    return found;
}

std::unique_ptr<Sender> readSender(const Settings& set, uint64_t seed, Names& names) {
    auto products = readProducts(set, names);
    auto kinds = readKinds(set, names);
    for (std::string_view name : set.list("failureDomains")) names.zones.intern(name);
    SenderGroup crew{readCrewSize(set), names.zones.intern(set.text("zone"))};
    ColdStartRule cold{set.number("contract.coldFrom"), span(set, "contract.cold"),
                  set.number("contract.tipMultiple"), span(set, "contract.fall")};
    Decay decay = set.text("domain.decay") == "halving" ? Decay::halving : Decay::linear;
    return makeSender(static_cast<uint32_t>(seed ^ (seed >> 32)), std::move(products), std::move(kinds), crew,
                      readRoom(set), cold, readListRule(set), decay, readLinks(set));
}

}  // namespace petrelpond
