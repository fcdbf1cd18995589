#include "system/cli/overview.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdio>
#include <set>
#include <tuple>

namespace petrelpond::cli {

namespace {

using Json = rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

// A core that has not been heard for so long is worth a word: beats between cores come a few times a second.
constexpr double kSilentS = 3.0;
// So many names are listed in a line of text; the rest is counted.
constexpr size_t kNamesInLine = 8;

const Json* member(const Json& v, const char* name) {
    if (!v.IsObject()) return nullptr;
    auto at = v.FindMember(name);
    return at == v.MemberEnd() ? nullptr : &at->value;
}
std::string text(const Json& v, const char* name) {
    const Json* m = member(v, name);
    return m && m->IsString() ? std::string(m->GetString(), m->GetStringLength()) : std::string();
}
bool yes(const Json& v, const char* name) {
    const Json* m = member(v, name);
    return m && m->IsBool() && m->GetBool();
}
uint64_t number(const Json& v, const char* name) {
    const Json* m = member(v, name);
    return m && m->IsUint64() ? m->GetUint64() : 0;
}
int64_t version(const Json& v, const char* name) {
    const Json* m = member(v, name);
    return m && m->IsInt64() ? m->GetInt64() : 0;
}
std::optional<double> seconds(const Json& v, const char* name) {
    const Json* m = member(v, name);
    return m && m->IsNumber() ? std::optional(m->GetDouble()) : std::nullopt;
}
template <class Do>
void each(const Json& v, const char* name, Do&& what) {
    const Json* m = member(v, name);
    if (m && m->IsArray())
        for (const Json& one : m->GetArray()) what(one);
}
std::vector<std::string> words(const Json& v, const char* name) {
    std::vector<std::string> out;
    each(v, name, [&](const Json& one) {
        if (one.IsString()) out.emplace_back(one.GetString(), one.GetStringLength());
    });
    return out;
}

std::string joined(const std::vector<std::string>& names, size_t most = kNamesInLine) {
    std::string out;
    for (size_t i = 0; i < std::min(names.size(), most); ++i) out += (i ? ", " : "") + names[i];
    if (names.size() > most) out += " and " + std::to_string(names.size() - most) + " more";
    return out;
}

std::string shown(double s) {
    char out[32];
    std::snprintf(out, sizeof out, "%.1f s", s);
    return out;
}

std::string shown(int64_t version) { return version ? std::to_string(version) : "none"; }

std::string nameOf(const Answer& a) {
    return a.core && !a.core->name.empty() ? a.core->name : a.address.text();
}

std::string ipOf(const network::Address& a) {
    std::string whole = a.text();
    return whole.substr(0, whole.rfind(':'));
}

// Says who says what, where not all say the same.
template <class Say>
void compare(const Overview& o, const char* about, Say&& say, std::vector<std::string>& out) {
    std::map<std::string, std::vector<std::string>> by;
    for (const Answer& a : o.cores)
        if (a.core) by[say(*a.core)].push_back(nameOf(a));
    if (by.size() < 2) return;
    std::string line = std::string(about) + ":";
    for (const auto& [what, who] : by) line += (line.back() == ':' ? " " : "; ") + joined(who) + ": " + what;
    out.push_back(std::move(line));
}

std::string diskOf(const CoreView& c) {
    if (c.counts) return "counts";
    if (c.recovering) return "lost, rebuilding: does not count";
    if (c.saveFailed) return "last save failed: does not count";
    if (!c.selfIsVoter) return c.voters.empty() ? "voters not agreed on" : "not among the voters";
    return "does not count";
}

void findDisagreements(Overview& o) {
    auto& out = o.disagreements;
    compare(
        o, "duty",
        [](const CoreView& c) {
            return (c.holder.empty() ? std::string("vacant") : "held by " + c.holder) + ", term " +
                   std::to_string(c.term);
        },
        out);
    std::vector<std::string> holders;
    for (const Answer& a : o.cores)
        if (a.core && a.core->heldHere)
            holders.push_back(nameOf(a) + " (term " + std::to_string(a.core->term) + ")");
    if (holders.size() > 1) out.push_back("duty: more than one says that it holds it: " + joined(holders));
    compare(
        o, "voters",
        [](const CoreView& c) {
            return c.voters.empty() ? std::string("not agreed on") : joined(c.voters, 32);
        },
        out);
    compare(
        o, "version on a majority", [](const CoreView& c) { return shown(c.onMajority); }, out);
    for (const Answer& a : o.cores) {
        if (!a.core) continue;
        if (a.core->held > o.version)
            out.push_back("version: " + nameOf(a) + " holds " + shown(a.core->held) +
                          ", which nobody asked knows to lie on a majority: it may yet take hold");
        for (const PeerView& p : a.core->peers) {
            auto other = std::find_if(o.cores.begin(), o.cores.end(),
                                      [&](const Answer& b) { return b.core && b.core->ip == p.ip; });
            if (other == o.cores.end()) continue;  // it is silent to us as well
            if (!p.heardAgo)
                out.push_back("links: " + nameOf(a) + " has no link from " + nameOf(*other) +
                              ", which answers here");
            else if (*p.heardAgo > kSilentS)
                out.push_back("links: " + nameOf(a) + " has not heard " + nameOf(*other) + " for " +
                              shown(*p.heardAgo));
        }
    }
    const Answer* holder = nullptr;
    for (const Answer& a : o.cores)
        if (a.core && a.core->heldHere) holder = &a;
    if (holder && holders.size() == 1 && holder->core->agents.size() == holder->core->agentsLinked) {
        std::set<std::string> linked;
        for (const AgentView& g : holder->core->agents) linked.insert(g.name);
        std::vector<std::string> missing;
        for (const AgentView& g : o.agents)
            if (!linked.count(g.name)) missing.push_back(g.name);
        if (!missing.empty())
            out.push_back("agents: linked to others but not to the holder " + nameOf(*holder) +
                          ", so they get no slots: " + joined(missing));
    }
    if (o.version > 0) {
        auto late = lacking(o, o.version);
        if (!late.empty()) out.push_back("version: without " + shown(o.version) + " so far: " + joined(late));
    }
}

void findUnknown(Overview& o) {
    std::set<std::string> answered;
    for (const Answer& a : o.cores)
        if (a.core) answered.insert(a.core->ip);
    for (const Answer& a : o.cores) {
        if (a.core) continue;
        o.unknown.push_back(a.address.text() + ": " + a.why +
                            ": its disk, its versions and agents linked to it alone" +
                            (a.guessed ? " (nobody told its control port, this one was guessed)" : ""));
    }
    std::set<std::string> asked = answered;
    for (const Answer& a : o.cores) asked.insert(ipOf(a.address));
    for (const std::string& ip : o.voters)
        if (!asked.count(ip)) o.unknown.push_back(ip + ": among the voters, not asked");
    bool any = !answered.empty();
    if (any && !o.planner) {
        if (o.holder && !answered.count(*o.holder))
            o.unknown.push_back("functions: the holder of the duty, " + *o.holder + ", did not answer");
        else
            o.unknown.push_back("functions: no core that answered holds the duty");
    }
    if (any && o.votersAgreed && !o.majority)
        o.unknown.push_back("whether a majority is there: " + std::to_string(o.countedHere) + " of " +
                            std::to_string(o.voters.size()) + " disks answered and count, " +
                            std::to_string(o.voters.size() / 2 + 1) + " are needed");
    if (!o.agentsWhole) o.unknown.push_back("agents: a core has more links than it lists");
    if (o.planner && o.planner->servicesKnown > o.planner->services.size())
        o.unknown.push_back(
            "functions: " + std::to_string(o.planner->servicesKnown - o.planner->services.size()) +
            " are not listed; those in want and with instances come first");
}

}  // namespace

network::Result<CoreView> readStatus(std::string_view json, const std::string& from) {
    rapidjson::Document d;
    d.Parse<rapidjson::kParseIterativeFlag>(json.data(),
                                            json.size());  // deep nesting can't overflow the stack
    if (d.HasParseError() || !d.IsObject())
        return network::Problem{"read status", from, "a JSON object expected"};
    CoreView c;
    c.name = text(d, "name"), c.ip = text(d, "ip"), c.zone = text(d, "zone"), c.leaving = yes(d, "leaving");
    if (c.ip.empty()) return network::Problem{"read status", from, "/ip: a text expected"};
    static const Json none;
    const Json* configuration = member(d, "configuration");
    const Json* disk = member(d, "disk");
    const Json* duty = member(d, "duty");
    if (!configuration) configuration = &none;
    if (!disk) disk = &none;
    if (!duty) duty = &none;
    c.onMajority = version(*configuration, "on_majority"), c.held = version(*configuration, "held");
    c.counts = yes(*disk, "counts"), c.selfIsVoter = yes(*disk, "is_voter"),
    c.recovering = yes(*disk, "recovering");
    c.saveFailed = yes(*disk, "last_save_failed");
    c.voters = words(d, "voters"), c.seeds = words(d, "seeds");
    each(d, "peers", [&](const Json& v) { c.peers.push_back({text(v, "ip"), seconds(v, "heard_s_ago")}); });
    each(d, "members", [&](const Json& v) {
        c.members.push_back({text(v, "ip"), yes(v, "votes"), yes(v, "catching_up"), yes(v, "standby"),
                             yes(v, "leaving"), yes(v, "suspected"), seconds(v, "silent_s").value_or(0)});
    });
    if (const Json* left = member(d, "losses_left"); left && left->IsInt64()) c.lossesLeft = left->GetInt64();
    c.holder = text(*duty, "holder"), c.term = number(*duty, "term"), c.heldHere = yes(*duty, "held_here");
    c.left = seconds(*duty, "left_s");
    c.agentsLinked = number(d, "agents_linked");
    each(d, "agents", [&](const Json& v) {
        c.agents.push_back({text(v, "name"), text(v, "ip"), text(v, "zone"),
                            seconds(v, "heard_s_ago").value_or(0), version(v, "version")});
    });
    if (const Json* planner = member(d, "planner"); planner && planner->IsObject()) {
        c.plans = true;
        c.servicesKnown = number(*planner, "services_known");
        each(*planner, "services", [&](const Json& v) {
            c.services.push_back({text(v, "name"), number(v, "up"), number(v, "booting"),
                                  number(v, "draining"), number(v, "slots"), number(v, "waiting"),
                                  number(v, "busy")});
        });
        for (const auto& m : planner->GetObject())
            if (m.value.IsUint64() && std::string_view(m.name.GetString()) != "services_known")
                c.plannerCounts.emplace_back(m.name.GetString(), m.value.GetUint64());
    }
    return c;
}

std::vector<Hint> hints(const std::vector<Answer>& asked) {
    std::set<std::string> known, ips;  // addresses that were asked; ips that answered or whose port was told
    for (const Answer& a : asked) {
        known.insert(a.address.text()), ips.insert(ipOf(a.address));
        if (a.core) ips.insert(a.core->ip);
    }
    std::vector<Hint> out;
    auto add = [&](const network::Address& address, bool guessed) {
        if (!known.insert(address.text()).second) return;
        ips.insert(ipOf(address));
        out.push_back({address, guessed});
    };
    for (const Answer& a : asked) {
        if (!a.core) continue;
        for (const std::string& seed : a.core->seeds)
            if (auto at = network::Address::parse(seed); at && at->port != 0 && !ips.count(ipOf(*at)))
                add(*at, false);
    }
    for (const Answer& a : asked) {
        if (!a.core) continue;
        std::vector<std::string> others = a.core->voters;
        for (const PeerView& p : a.core->peers) others.push_back(p.ip);
        for (const std::string& ip : others)
            if (auto at = network::Address::parse(ip, a.address.port); at && !ips.count(ip)) add(*at, true);
    }
    return out;
}

std::vector<std::string> lacking(const Overview& o, int64_t version) {
    std::vector<std::string> out;
    for (const AgentView& a : o.agents)
        if (a.version < version) out.push_back(a.name + " (" + shown(a.version) + ")");
    return out;
}

Overview merge(std::vector<Answer> answers) {
    Overview o;
    // One core may be asked at two addresses; the first answer counts. A silent address of a core that
    // answered elsewhere says nothing.
    std::stable_sort(answers.begin(), answers.end(), [](const Answer& a, const Answer& b) {
        return std::tuple(!a.core, a.core ? a.core->ip : a.address.text()) <
               std::tuple(!b.core, b.core ? b.core->ip : b.address.text());
    });
    std::set<std::string> seen;
    for (Answer& a : answers) {
        std::string ip = a.core ? a.core->ip : ipOf(a.address);
        if (a.core ? !seen.insert(ip).second : seen.count(ip) > 0) continue;
        o.cores.push_back(std::move(a));
    }
    std::map<std::string, AgentView> agents;
    std::map<std::vector<std::string>, size_t> voterSets;
    const CoreView* planning = nullptr;
    for (const Answer& a : o.cores) {
        if (!a.core) continue;
        const CoreView& c = *a.core;
        if (!c.voters.empty()) ++voterSets[c.voters];
        o.version = std::max(o.version, c.onMajority);
        o.term = std::max(o.term, c.term);
        if (c.plans && c.heldHere && (!planning || c.term > planning->term)) planning = &c;
        if (c.agents.size() < c.agentsLinked) o.agentsWhole = false;
        for (const AgentView& g : c.agents) {
            auto [at, fresh] = agents.try_emplace(g.name, g);
            if (fresh) continue;
            // The lowest: an agent's beats reach all cores, so what one of them has not heard is not sure.
            at->second.version = std::min(at->second.version, g.version);
            at->second.heardAgo = std::min(at->second.heardAgo, g.heardAgo);
        }
    }
    for (auto& [name, agent] : agents) o.agents.push_back(std::move(agent));
    for (const auto& [voters, count] : voterSets)
        if (!o.votersAgreed || count > voterSets[o.voters]) o.voters = voters, o.votersAgreed = true;
    for (const Answer& a : o.cores)
        o.countedHere += a.core && a.core->counts &&
                         std::find(o.voters.begin(), o.voters.end(), a.core->ip) != o.voters.end();
    o.majority = o.votersAgreed && o.countedHere >= o.voters.size() / 2 + 1;
    // The holder: as it says itself; else as those of the highest term say with one voice.
    if (planning) {
        o.holder = planning->ip, o.planner = planning;
    } else {
        std::set<std::string> said;
        for (const Answer& a : o.cores)
            if (a.core && a.core->term == o.term) said.insert(a.core->holder);
        if (said.size() == 1 && !said.begin()->empty()) o.holder = *said.begin();
    }
    findDisagreements(o);
    findUnknown(o);
    return o;
}

namespace {

std::string stateOf(const MemberView& m) {
    std::string state = m.votes ? "votes" : m.standby ? "standby" : "no voter";
    if (m.catchingUp) state += ", catches up";
    if (m.leaving) state += ", leaves";
    if (m.suspected) state += ", suspected, silent for " + shown(m.silent);
    return state;
}

// Only the holder of the lease hears all the others all the time, so it alone is shown.
std::string membersText(const Overview& o) {
    std::string out;
    for (const Answer& a : o.cores) {
        if (!a.core || !a.core->heldHere || !a.core->lossesLeft) continue;
        const int64_t left = *a.core->lossesLeft;
        out += "members: " + (left < 0 ? "no majority" : std::to_string(left) + " more may be lost") +
               ", as the holder hears them\n";
        for (const MemberView& m : a.core->members) out += "  " + m.ip + ": " + stateOf(m) + "\n";
    }
    return out;
}

}  // namespace

std::string overviewText(const Overview& o) {
    std::string out;
    size_t answered = 0;
    for (const Answer& a : o.cores) answered += a.core.has_value();
    out += "cores: " + std::to_string(answered) + " of " + std::to_string(o.cores.size()) + " answered\n";
    for (const Answer& a : o.cores) {
        if (!a.core) {
            out += "  " + a.address.text() + ": " + a.why + "\n";
            continue;
        }
        const CoreView& c = *a.core;
        out += "  " + c.name + " " + a.address.text() + (c.zone.empty() ? "" : " " + c.zone) + ": disk " +
               diskOf(c) + "; version " + shown(c.onMajority) +
               (c.held != c.onMajority ? ", holds " + shown(c.held) : "") + "; " +
               std::to_string(c.agentsLinked) + " agents" + (c.leaving ? "; leaving" : "") + "\n";
    }
    if (o.votersAgreed)
        out += "voters: " + joined(o.voters, 32) + ": " + std::to_string(o.countedHere) + " of " +
               std::to_string(o.voters.size()) + " answered and count, " +
               (o.majority ? "a majority" : "no majority seen") + "\n";
    else if (answered > 0)
        out += "voters: not agreed on\n";
    out += membersText(o);
    if (answered > 0) {
        out +=
            "configuration: " + (o.version ? "version " + shown(o.version) + " lies on a majority" : "none") +
            "\n";
        out += "duty: ";
        if (o.holder)
            out += *o.holder + ", term " + std::to_string(o.term);
        else
            out += "no holder known, highest term " + std::to_string(o.term);
        if (o.planner && o.planner->left) out += ", surely held for " + shown(*o.planner->left);
        out += "\n";
        std::map<int64_t, size_t> versions;
        for (const AgentView& g : o.agents) ++versions[g.version];
        out += "agents: " + std::to_string(o.agents.size());
        for (auto it = versions.rbegin(); it != versions.rend(); ++it)
            out += (it == versions.rbegin() ? "; " : ", ") + std::to_string(it->second) + " with version " +
                   shown(it->first);
        out += "\n";
        for (const AgentView& g : o.agents)
            out += "  " + g.name + " " + g.ip + " " + g.zone + ": version " + shown(g.version) + ", heard " +
                   shown(g.heardAgo) + " ago\n";
    }
    if (o.planner) {
        out += "functions: " + std::to_string(o.planner->servicesKnown) + "\n";
        for (const ServiceView& s : o.planner->services)
            out += "  " + s.name + ": " + std::to_string(s.up) + " up, " + std::to_string(s.booting) +
                   " booting, " + std::to_string(s.draining) + " draining; " + std::to_string(s.slots) +
                   " slots, " + std::to_string(s.busy) + " busy; " + std::to_string(s.waiting) + " waiting\n";
        out += "planner:";
        for (const auto& [name, value] : o.planner->plannerCounts)
            out += " " + name + "=" + std::to_string(value);
        out += "\n";
    }
    for (const std::string& line : o.disagreements) out += "DISAGREE " + line + "\n";
    for (const std::string& line : o.unknown) out += "UNKNOWN " + line + "\n";
    return out;
}

std::string overviewJson(const Overview& o) {
    rapidjson::StringBuffer buffer;
    Writer w(buffer);
    auto word = [&](const char* key, const std::string& value) {
        w.Key(key), w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    };
    auto list = [&](const char* key, const std::vector<std::string>& all) {
        w.Key(key), w.StartArray();
        for (const auto& one : all) w.String(one.data(), static_cast<rapidjson::SizeType>(one.size()));
        w.EndArray();
    };
    w.StartObject();
    w.Key("cores"), w.StartArray();
    for (const Answer& a : o.cores) {
        w.StartObject();
        word("address", a.address.text());
        w.Key("answered"), w.Bool(a.core.has_value());
        if (!a.core) {
            word("why", a.why);
        } else {
            const CoreView& c = *a.core;
            word("name", c.name), word("ip", c.ip), word("zone", c.zone), word("disk", diskOf(c));
            w.Key("disk_counts"), w.Bool(c.counts), w.Key("leaving"), w.Bool(c.leaving);
            w.Key("on_majority"), w.Int64(c.onMajority), w.Key("held"), w.Int64(c.held);
            w.Key("agents_linked"), w.Uint64(c.agentsLinked);
            word("holder", c.holder), w.Key("term"), w.Uint64(c.term), w.Key("held_here"), w.Bool(c.heldHere);
        }
        w.EndObject();
    }
    w.EndArray();
    list("voters", o.voters);
    w.Key("disks_counting"), w.Uint64(o.countedHere), w.Key("majority"), w.Bool(o.majority);
    w.Key("version"), w.Int64(o.version);
    w.Key("holder");
    if (o.holder)
        w.String(o.holder->c_str());
    else
        w.Null();
    w.Key("term"), w.Uint64(o.term);
    w.Key("agents"), w.StartArray();
    for (const AgentView& g : o.agents) {
        w.StartObject();
        word("name", g.name), word("ip", g.ip), word("zone", g.zone);
        w.Key("version"), w.Int64(g.version), w.Key("heard_s_ago"), w.Double(g.heardAgo);
        w.EndObject();
    }
    w.EndArray();
    w.Key("functions"), w.StartArray();
    if (o.planner)
        for (const ServiceView& s : o.planner->services) {
            w.StartObject();
            word("name", s.name);
            w.Key("up"), w.Uint64(s.up), w.Key("booting"), w.Uint64(s.booting), w.Key("draining"),
                w.Uint64(s.draining);
            w.Key("slots"), w.Uint64(s.slots), w.Key("waiting"), w.Uint64(s.waiting), w.Key("busy"),
                w.Uint64(s.busy);
            w.EndObject();
        }
    w.EndArray();
    if (o.planner) {
        w.Key("planner"), w.StartObject();
        for (const auto& [name, value] : o.planner->plannerCounts) w.Key(name.c_str()), w.Uint64(value);
        w.EndObject();
    }
    list("disagreements", o.disagreements), list("unknown", o.unknown);
    w.EndObject();
    return buffer.GetString() + std::string("\n");
}

}  // namespace petrelpond::cli
