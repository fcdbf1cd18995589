#include "system/configuration/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace petrelpond::configuration {
namespace {

// The longest time and the greatest figure that are believed: about 31 years, so that no sum overflows.
constexpr double kMostSeconds = 1e9;
constexpr double kMostInt = 2e9;

// Takes typed fields out of a document and keeps every mistake, so that one run shows them all.
// A wrong field that is not necessary keeps its default and is noted as a doubt. Against: a day whose file
// brings a new form of some figure, on which every process would refuse to start. It harms when the default
// is far from what was meant; hence the note.
class Reader {
  public:
    std::vector<std::string> mistakes, doubts;

    // The field of a map, or an undefined node. A null counts as missing.
    static YAML::Node at(const YAML::Node& map, const char* key) {
        if (map.IsDefined() && map.IsMap()) {
            YAML::Node found = map[key];
            if (found.IsDefined() && !found.IsNull()) return found;
        }
        return YAML::Node(YAML::NodeType::Undefined);
    }

    void needText(const YAML::Node& map, const char* key, std::string& out) {
        YAML::Node n = at(map, key);
        if (!n.IsDefined()) return mistake(key, "is missing");
        if (!n.IsScalar() || n.Scalar().empty()) return mistake(key, "must be a text that is not empty");
        out = n.Scalar();
    }

    void text(const YAML::Node& map, const std::string& path, const char* key, std::string& out) {
        YAML::Node n = at(map, key);
        if (!n.IsDefined()) return;
        if (!n.IsScalar()) return doubt(path + key, "must be a text");
        out = n.Scalar();
    }

    void flag(const YAML::Node& map, const char* key, bool& out) {
        YAML::Node n = at(map, key);
        if (!n.IsDefined()) return;
        if (!n.IsScalar() || !YAML::convert<bool>::decode(n, out)) doubt(key, "must be true or false");
    }

    // Numbers from `least` to `most`; anything else, NaN too, keeps the default.
    void number(const YAML::Node& map, const std::string& path, const char* key, double least, double most,
                double& out) {
        YAML::Node n = at(map, key);
        if (!n.IsDefined()) return;
        double v = 0;
        if (!n.IsScalar() || !YAML::convert<double>::decode(n, v) || !(v >= least && v <= most)) {
            return doubt(path + key, "must be a number in its range");
        }
        out = v;
    }

    void whole(const YAML::Node& map, const std::string& path, const char* key, int least, int& out) {
        double v = out;
        number(map, path, key, least, kMostInt, v);
        out = static_cast<int>(std::llround(v));
    }

    // `unit` is the number of seconds that 1 stands for.
    void span(const YAML::Node& map, const std::string& path, const char* key, double unit, Span& out) {
        double v = -1;
        number(map, path, key, 0, kMostSeconds / unit, v);
        if (v >= 0) out = Span::micros(std::llround(v * unit * 1e6));
    }

    void address(const YAML::Node& map, const std::string& path, const char* key,
                 std::optional<Address>& out) {
        YAML::Node n = at(map, key);
        if (!n.IsDefined()) return;
        if (n.IsScalar()) out = parseAddress(n.Scalar());
        if (!out) doubt(path + key, "must be an IPv4 address with a port");
    }

    void texts(const YAML::Node& map, const std::string& path, const char* key, std::set<std::string>& out) {
        YAML::Node n = at(map, key);
        if (!n.IsDefined()) return;
        if (!n.IsSequence()) return doubt(path + key, "must be a list of texts");
        for (std::size_t i = 0; i < n.size(); ++i) {
            const YAML::Node item = n[i];
            if (item.IsScalar())
                out.insert(item.Scalar());
            else
                doubt(path + key + "." + std::to_string(i), "must be a text");
        }
    }

    void mistake(const std::string& path, const char* what) { mistakes.push_back(path + " " + what); }
    void doubt(const std::string& path, const char* what) { doubts.push_back(path + " " + what); }
};

void readPorts(Reader& r, const YAML::Node& root, Settings& s) {
    YAML::Node n = Reader::at(root, "internal_port_range");
    if (!n.IsDefined()) return r.mistake("internal_port_range", "is missing");
    int first = 0, last = 0;
    if (!n.IsSequence() || n.size() != 2 || !YAML::convert<int>::decode(n[0], first) ||
        !YAML::convert<int>::decode(n[1], last) || first < 1 || last > 65535 || first > last) {
        return r.mistake("internal_port_range", "must be two ports from 1 to 65535, the lower first");
    }
    s.portFirst = first;
    s.portLast = last;
}

void readSeeds(Reader& r, const YAML::Node& root, Settings& s) {
    YAML::Node n = Reader::at(root, "seed_nodes");
    if (!n.IsDefined()) return r.mistake("seed_nodes", "is missing");
    if (!n.IsSequence()) return r.mistake("seed_nodes", "must be a list of addresses");
    for (std::size_t i = 0; i < n.size(); ++i) {
        const YAML::Node item = n[i];
        auto a = item.IsScalar() ? parseAddress(item.Scalar()) : std::nullopt;
        if (a)
            s.seeds.push_back(std::move(*a));
        else
            r.mistake("seed_nodes." + std::to_string(i), "must be an IPv4 address with a port");
    }
}

void readBounds(Reader& r, const YAML::Node& root, Bounds& b) {
    const YAML::Node n = Reader::at(root, "bounds");
    const std::string path = "bounds.";
    const double ms = 1e-3, s = 1;
    r.span(n, path, "seed_lag_s", s, b.seedLag);
    r.span(n, path, "address_reuse_s", s, b.addressReuse);
    r.span(n, path, "contact_ms", ms, b.contact);
    r.span(n, path, "ack_ms", ms, b.ack);
    r.span(n, path, "catch_up_s", s, b.catchUp);
    r.span(n, path, "drain_ms", ms, b.drain);
    r.span(n, path, "grace_s", s, b.grace);
    r.span(n, path, "loss_slack_ms", ms, b.lossSlack);
    r.span(n, path, "config_apply_ms", ms, b.configApply);
    r.span(n, path, "rollback_slack_ms", ms, b.rollbackSlack);
    r.span(n, path, "stretch_max_ms", ms, b.stretchMax);
    r.number(n, path, "retry_budget_ratio", 0, kMostInt, b.retryBudgetRatio);
    r.span(n, path, "budget_window_s", s, b.budgetWindow);
    r.number(n, path, "retry_slack", 0, kMostInt, b.retrySlack);
    r.span(n, path, "recovery_s", s, b.recovery);
    r.number(n, path, "rejection_slack", 0, kMostInt, b.rejectionSlack);
}

void readPlatform(Reader& r, const YAML::Node& root, std::optional<Platform>& out) {
    const YAML::Node n = Reader::at(root, "platform_api");
    if (!n.IsDefined()) return;
    const std::string path = "platform_api.";
    std::optional<Address> address;
    r.address(n, path, "address", address);
    if (!address) {
        if (!Reader::at(n, "address").IsDefined()) r.doubt(path + "address", "is missing");
        return;
    }
    Platform p;
    p.address = std::move(*address);
    r.number(n, path, "rate_per_s", 0, kMostInt, p.ratePerS);
    r.number(n, path, "duty_per_s", 0, kMostInt, p.dutyPerS);
    r.whole(n, path, "max_lag_ms", 0, p.maxLagMs);
    r.texts(n, path, "duty_set", p.duties);
    out = std::move(p);
}

void readAll(Reader& r, const YAML::Node& root, Settings& s) {
    r.needText(root, "node_name", s.nodeName);
    r.needText(root, "role", s.role);
    r.needText(root, "ip_address", s.ip);
    if (!s.ip.empty() && !parseAddress(s.ip + ":1")) r.mistake("ip_address", "must be an IPv4 address");
    r.needText(root, "zone", s.zone);
    readPorts(r, root, s);
    readSeeds(r, root, s);

    r.text(root, "", "machine_class", s.machineClass);
    r.text(root, "", "region", s.region);
    const YAML::Node zones = Reader::at(root, "zones");
    if (zones.IsDefined() && !zones.IsMap()) r.doubt("zones", "must be a map from zone to region");
    if (zones.IsDefined() && zones.IsMap()) {
        for (const auto& entry : zones) {
            if (entry.first.IsScalar() && entry.second.IsScalar()) {
                s.zones[entry.first.Scalar()] = entry.second.Scalar();
            } else {
                r.doubt("zones", "must be a map from zone to region");
            }
        }
    }
    if (auto own = s.zones.find(s.zone); s.region.empty() && own != s.zones.end()) s.region = own->second;

    const YAML::Node listen = Reader::at(root, "listen_addresses");
    r.address(listen, "listen_addresses.", "front", s.front);
    r.address(listen, "listen_addresses.", "readiness", s.readiness);
    r.address(listen, "listen_addresses.", "control", s.control);
    r.flag(root, "bootstrap", s.bootstrap);
    r.flag(root, "quorum_member", s.quorumMember);

    const YAML::Node limits = Reader::at(root, "limits");
    // Nothing at all of processor, memory or link cannot be meant: whatever is divided by it would run wild.
    r.number(limits, "limits.", "cpu_share", 1e-6, kMostInt, s.limits.cpuShare);
    r.whole(limits, "limits.", "memory_mb", 1, s.limits.memoryMb);
    r.whole(limits, "limits.", "file_descriptors", 1, s.limits.fileDescriptors);
    r.number(limits, "limits.", "link_mbps", 1e-6, kMostInt, s.limits.linkMbps);
    r.whole(limits, "limits.", "disk_mb", 0, s.limits.diskMb);

    std::string dataDir;
    r.text(root, "", "data_dir", dataDir);
    if (!dataDir.empty()) s.dataDir = std::move(dataDir);
    readPlatform(r, root, s.platform);
    readBounds(r, root, s.bounds);
    const YAML::Node tolerance = Reader::at(root, "fault_tolerance");
    r.whole(tolerance, "fault_tolerance.", "machine_losses", 0, s.tolerance.machineLosses);
    r.whole(tolerance, "fault_tolerance.", "zones", 0, s.tolerance.zones);
    r.whole(tolerance, "fault_tolerance.", "region_losses", 0, s.tolerance.regions);
    r.texts(root, "", "contract_set", s.contracts);
    Span heartbeat;
    r.span(root, "", "heartbeat_ms", 1e-3, heartbeat);
    // A beat of 0 would be sent without end; missing or 0 keeps the default.
    if (heartbeat > Span()) s.heartbeat = heartbeat;
}

}  // namespace

std::optional<Address> parseAddress(std::string_view text) {
    const char* at = text.data();
    const char* end = at + text.size();
    // A number up to `most`, without sign; moves `at` behind it.
    auto take = [&](unsigned most, unsigned& out) {
        auto [next, error] = std::from_chars(at, end, out);
        if (error != std::errc() || out > most) return false;
        at = next;
        return true;
    };
    unsigned part = 0;
    for (int i = 0; i < 4; ++i) {
        if (!take(255, part) || at == end || *at != (i < 3 ? '.' : ':')) return std::nullopt;
        ++at;
    }
    const std::size_t ipSize = static_cast<std::size_t>(at - text.data()) - 1;
    if (!take(65535, part) || part == 0 || at != end) return std::nullopt;
    return Address{std::string(text.substr(0, ipSize)), static_cast<uint16_t>(part)};
}

Result<Settings> readSettings(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) return Problem{"read settings", path, "the file cannot be opened"};
    std::ostringstream all;
    all << in.rdbuf();
    if (in.bad()) return Problem{"read settings", path, "the file cannot be read to its end"};
    return parseSettings(all.str(), path);
}

Result<Settings> parseSettings(std::string_view yaml, std::string_view name) {
    const std::string peer(name);
    try {
        const YAML::Node root = YAML::Load(std::string(yaml));
        if (!root.IsMap()) return Problem{"read settings", peer, "must be a map of fields"};
        Reader r;
        Settings s;
        readAll(r, root, s);
        if (r.mistakes.empty()) {
            s.doubts = std::move(r.doubts);
            return s;
        }
        std::string what;
        for (const std::string& m : r.mistakes) what += (what.empty() ? "" : "; ") + m;
        return Problem{"read settings", peer, what};
    } catch (const YAML::Exception& e) {
        return Problem{"read settings", peer, std::string("not YAML that can be read: ") + e.what()};
    }
}

}  // namespace petrelpond::configuration
