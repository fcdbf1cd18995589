#include "src/program/members_tool.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <sstream>

#include "src/transport/socket.hpp"

namespace petrelpond {

namespace {

using nlohmann::json;

constexpr Span kWithin = Span::seconds(2);
constexpr size_t kMost = 4 * 1024 * 1024;

struct View {
    std::string at, problem;  // problem: why there is none
    json body;
    const json& members() const { return body.at("members"); }
    std::string name() const { return problem.empty() ? body.value("name", "?") : at; }
};

bool usable(const json& body) {
    if (!body.is_object() || !body.contains("members") || !body["members"].is_array()) return false;
    return std::all_of(body["members"].begin(), body["members"].end(), [](const json& m) {
        return m.is_object() && m.contains("name") && m["name"].is_string() && m.contains("state") && m["state"].is_string();
    });
}

View ask(const std::string& at) {
    View view{at, "", {}};
    auto fails = [&](std::string why) { return view.problem = std::move(why), view; };
    auto address = Address::parse(at);
    if (!address) return fails("no address of four numbers and a port");
    Socket socket;
    if (makeSocket(socket) != Connect::up || connectSocket(*address, kWithin, socket) != Connect::up)
        return fails("can't be reached");
    socket.waitAtMost(kWithin);
    if (!socket.sendAll("members\n")) return fails("the connection broke");
    std::string line;
    char part[4096];
    for (long got = 0; line.size() < kMost && line.find('\n') == std::string::npos;) {
        if ((got = socket.receive(part, sizeof part)) <= 0) break;
        line.append(part, static_cast<size_t>(got));
    }
    if (line.empty() || line.back() != '\n') return fails("no whole answer within 2 s");
    line.pop_back();
    if (line.starts_with("FAILURE ")) return fails("says: " + line.substr(8));
    if (!line.starts_with("SUCCESS ")) return fails("gives no answer that can be read");
    view.body = json::parse(line.substr(8), nullptr, false);
    return usable(view.body) ? view : fails("gives no answer that can be read");
}

std::string spanOf(const json& m, const char* key) {
    if (!m.contains(key) || !m[key].is_number()) return "-";
    double ms = m[key].get<double>();
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    if (ms < 60000) out << ms / 1000 << " s";
    if (ms >= 60000 && ms < 7200000) out << ms / 60000 << " min";
    if (ms >= 7200000) out << ms / 3600000 << " h";
    return out.str();
}

void table(const View& view, std::ostream& out) {
    std::map<std::string, int> states;
    for (const json& m : view.members()) ++states[m["state"].get<std::string>()];
    out << "crew " << view.body.value("crew", "?") << " as " << view.name() << " sees it (" << view.body.value("phase", "?")
        << ", doubt in itself " << view.body.value("health", 0) << " of 8):";
    for (const auto& [state, n] : states) out << " " << n << " " << state;
    out << "\n";
    size_t wide = 6;
    for (const json& m : view.members()) wide = std::max(wide, m["name"].get<std::string>().size());
    auto row = [&](const std::string& name, const std::string& state, const std::string& since, const std::string& heard,
                   const std::string& address, const std::string& says) {
        out << std::left << std::setw(static_cast<int>(wide) + 2) << name << std::setw(16) << state << std::setw(11) << since
            << std::setw(11) << heard << std::setw(23) << address << says << "\n";
    };
    row("member", "state", "since", "heard", "address", "says");
    for (const json& m : view.members()) {
        std::string state = m["state"];
        if (m.contains("doubters")) state += " " + std::to_string(m.value("doubters", 0)) + "/" + std::to_string(m.value("doubters_wanted", 0));
        row(m["name"], state, spanOf(m, "since_ms"), spanOf(m, "heard_ms"), m.value("address", "-"), m.value("says", "-"));
    }
}

// A row for each member on which the views differ, a column for each view.
int compare(const std::vector<View>& views, std::ostream& out) {
    std::set<std::string> names;
    std::vector<std::map<std::string, std::string>> states;
    for (const View& v : views) {
        states.emplace_back();
        for (const json& m : v.members()) names.insert(m["name"]), states.back()[m["name"]] = m["state"];
    }
    size_t wide = 6;
    for (const std::string& n : names) wide = std::max(wide, n.size());
    std::vector<std::string> rows;
    for (const std::string& name : names) {
        std::set<std::string> said;
        std::ostringstream row;
        row << std::left << std::setw(static_cast<int>(wide) + 2) << name;
        for (auto& s : states) {
            std::string state = s.count(name) > 0 ? s[name] : "unknown";
            // One that has gone and one that was never heard of come to the same.
            said.insert(state == "dead" || state == "left" || state == "unknown" ? "gone" : state);
            row << std::setw(12) << state;
        }
        if (said.size() > 1) rows.push_back(row.str());
    }
    if (rows.empty()) {
        out << views.size() << " views of " << names.size() << " members are alike\n";
        return 0;
    }
    out << std::left << std::setw(static_cast<int>(wide) + 2) << "member";
    for (const View& v : views) out << std::setw(12) << v.name();
    out << "\n";
    for (const std::string& row : rows) out << row << "\n";
    out << rows.size() << " of " << names.size() << " members are seen differently\n";
    return 1;
}

}  // namespace

int membersTool(const std::vector<std::string>& words, std::ostream& out, std::ostream& err) {
    CLI::App app{"The crew as senders see it, asked at their operators' addresses", "petrelpond members"};
    std::vector<std::string> at;
    bool compared = false, raw = false;
    app.add_option("at", at, "operators' addresses, host:port")->required()->expected(1, 1000);
    app.add_flag("--compare", compared, "show only where the views of several differ; ends with 1 if they do");
    app.add_flag("--json", raw, "what each answered, a line each");
    std::vector<std::string> reversed(words.rbegin(), words.rend());
    try {
        app.parse(reversed);
    } catch (const CLI::CallForHelp&) {
        out << app.help();
        return 0;
    } catch (const CLI::ParseError& wrong) {
        err << "petrelpond members: " << wrong.what() << "\n";
        return 2;
    }
    std::vector<View> views;
    int status = 0;
    for (const std::string& a : at) {
        View view = ask(a);
        if (!view.problem.empty()) err << "petrelpond members: " << a << ": " << view.problem << "\n", status = 1;
        if (view.problem.empty()) views.push_back(std::move(view));
    }
    if (raw) {
        for (const View& v : views) out << v.body.dump() << "\n";
    } else if (compared) {
        if (!views.empty()) status = std::max(status, compare(views, out));
    } else {
        for (size_t i = 0; i < views.size(); ++i) out << (i > 0 ? "\n" : ""), table(views[i], out);
    }
    return status;
}

}  // namespace petrelpond
