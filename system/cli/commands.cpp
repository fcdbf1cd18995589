#include "system/cli/commands.hpp"

#include <popt.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <ostream>
#include <sstream>

#include "system/cli/changes.hpp"
#include "system/cli/courier.hpp"
#include "system/cli/errand.hpp"
#include "system/cli/overview.hpp"
#include "system/configuration/settings.hpp"

namespace petrelpond::cli {

namespace {

using ConfigurationPtr = std::shared_ptr<const configuration::Configuration>;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr size_t kMostCores = 64;  // that are asked, whatever cores tell of
const Span kPollEvery = Span::millis(500);

constexpr const char* kUsage =
    "check FILE | diff FILE | put FILE | show [--raw] | status | wait VERSION | replace OLD NEW\n"
    "\n"
    "  check FILE    every mistake in a configuration; asks nobody\n"
    "  diff FILE     what it would change in the one in force\n"
    "  put FILE      checks it and brings it to a core, until one has acknowledged it\n"
    "  show          the one in force; --raw: byte for byte\n"
    "  status        who is there, who holds the duty, versions, functions, disagreements\n"
    "  wait VERSION  until all linked agents have it\n"
    "  replace OLD NEW  core OLD counts towards a majority no more, core NEW does (both by ip)\n"
    "\n"
    "Exit code: 0 done, 1 not done, 2 command line or settings not understood.";

void text(Writer& w, const char* key, const std::string& value) {
    w.Key(key), w.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

std::optional<std::string> readFile(const std::string& path, std::string& why) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream all;
    if (in) all << in.rdbuf();
    if (!in || in.bad()) {
        why = errno ? std::strerror(errno) : "can't be read";
        return std::nullopt;
    }
    return std::move(all).str();
}

Span operationTimeout(const Surroundings& s, size_t bytes) {
    return s.silence + Span::micros(static_cast<int64_t>(bytes));  // a second a megabyte
}

struct Try {
    std::string core;
    int status;
    std::string why;
};
struct Outcome {
    enum How { done, refused, noTime } how = noTime;
    Reply reply;
    std::string core;
    std::vector<Try> tries;
};

std::string said(const Try& t) { return t.core + ": " + (t.status ? std::to_string(t.status) : t.why); }

// Carries one call from core to core until it is answered clearly or the time is over. Asks at least once.
Outcome carry(const Surroundings& s, Errand errand, const std::string& method, const std::string& body,
              Instant until) {
    Outcome out;
    while (true) {
        const network::Address to = errand.to();
        Span left = std::max(until - s.clock(), Span::millis(10));
        Reply reply =
            ask({{to, method, errand.target(), body, std::min(operationTimeout(s, body.size()), left)}})[0];
        Errand::Verdict verdict = errand.answered(reply.status, reply.location);
        out.tries.push_back({to.text(), reply.status, reply.why});
        out.reply = std::move(reply), out.core = to.text();
        if (verdict.next == Errand::Next::done) return out.how = Outcome::done, out;
        if (verdict.next == Errand::Next::refused) return out.how = Outcome::refused, out;
        if (s.clock() + verdict.pause >= until) return out;
        if (verdict.pause > Span()) s.pause(verdict.pause);
    }
}

// What a core gives as its reason: the cause of a JSON body.
std::string causeOf(const std::string& body) {
    rapidjson::Document d;
    d.Parse<rapidjson::kParseIterativeFlag>(body.c_str(), body.size());
    if (d.HasParseError() || !d.IsObject()) return "";
    auto at = d.FindMember("cause");
    return at != d.MemberEnd() && at->value.IsString() ? at->value.GetString() : "";
}

std::string lastly(const Outcome& o) {
    std::string out = said({o.core, o.reply.status, o.reply.why});
    if (std::string cause = causeOf(o.reply.body); !cause.empty()) out += " " + cause;
    return out;
}

// The configuration in force: null inside if there is none yet. Nothing if nobody could tell; `why` says so.
std::optional<ConfigurationPtr> inForce(const Surroundings& s, const Orders& o, Instant until,
                                        std::string& why) {
    Outcome got = carry(s, Errand(o.cores, "/configuration", {404}), "GET", "", until);
    if (got.how == Outcome::refused && got.reply.status == 404) return ConfigurationPtr();
    if (got.how != Outcome::done) return why = lastly(got), std::nullopt;
    auto read = configuration::trusted(got.reply.body);
    if (!read) return why = got.core + ": its configuration can't be read", std::nullopt;
    return read;
}

// FILE as a configuration; null after every mistake was said.
ConfigurationPtr readChecked(const Surroundings& s, const Orders& o) {
    std::string why;
    auto body = readFile(o.operand, why);
    if (!body) {
        s.err << "petrelctl: read: " << o.operand << ": " << why << "\n";
        return nullptr;
    }
    auto read = configuration::readConfiguration(*body);
    auto* problem = std::get_if<network::Problem>(&read);
    if (!problem) return std::get<ConfigurationPtr>(read);
    const auto all = mistakesOf(*problem);
    if (o.json) {
        rapidjson::StringBuffer buffer;
        Writer w(buffer);
        w.StartObject();
        text(w, "file", o.operand);
        w.Key("mistakes"), w.StartArray();
        for (const Mistake& m : all)
            w.StartObject(), text(w, "path", m.path), text(w, "what", m.what), w.EndObject();
        w.EndArray(), w.EndObject();
        s.out << buffer.GetString() << "\n";
    } else {
        for (const Mistake& m : all) s.out << o.operand << ": " << m.path << ": " << m.what << "\n";
    }
    return nullptr;
}

int check(const Orders& o, const Surroundings& s) {
    auto read = readChecked(s, o);
    if (!read) return 1;
    if (o.json) {
        rapidjson::StringBuffer buffer;
        Writer w(buffer);
        w.StartObject();
        text(w, "file", o.operand);
        w.Key("version"), w.Int64(read->version), w.Key("mistakes"), w.StartArray(), w.EndArray(),
            w.EndObject();
        s.out << buffer.GetString() << "\n";
    } else {
        s.out << o.operand << ": version " << read->version << ", " << read->routes.size() << " routes, "
              << read->services.size() << " services: no mistakes\n";
    }
    return 0;
}

int diff(const Orders& o, const Surroundings& s, Instant until) {
    auto to = readChecked(s, o);
    if (!to) return 1;
    std::string why;
    auto from = inForce(s, o, until, why);
    if (!from) {
        s.err << "petrelctl: get configuration: " << why << "\n";
        return 1;
    }
    s.out << (o.json ? changesJson(from->get(), *to) : changesText(from->get(), *to));
    return 0;
}

// The version of a 200 to a PUT; nothing if it tells none.
std::optional<int64_t> acknowledged(const std::string& body) {
    rapidjson::Document d;
    d.Parse<rapidjson::kParseIterativeFlag>(body.c_str(), body.size());
    if (d.HasParseError() || !d.IsObject()) return std::nullopt;
    auto at = d.FindMember("config_version");
    return at != d.MemberEnd() && at->value.IsInt64() ? std::optional(at->value.GetInt64()) : std::nullopt;
}

int put(const Orders& o, const Surroundings& s, Instant until) {
    auto to = readChecked(s, o);
    if (!to) return 1;
    std::string why;
    // A warning only, so a short look: the write itself is what has to find a core that works.
    auto from = inForce(s, o, std::min(until, s.clock() + s.silence * 2.0), why);
    const configuration::Configuration* now = from ? from->get() : nullptr;
    if (!from) {
        s.err << "petrelctl: warning: what is in force could not be read (" << why
              << "), so versions were not compared\n";
    } else if (now && to->version == now->version && to->text != now->text) {
        s.err << "petrelctl: warning: version " << now->version
              << " is in force with another text; cores keep one of the "
              << "two, the same everywhere. Give it a higher version\n";
    } else if (now && to->version == now->version) {
        s.err << "petrelctl: warning: version " << now->version << " is in force already, with this text\n";
    } else if (now && to->version < now->version) {
        s.err << "petrelctl: warning: version " << to->version << " is not higher than " << now->version
              << ", which is in force: it is acknowledged and alters nothing\n";
    }
    Outcome got = carry(s, Errand(o.cores, "/configuration"), "PUT", to->text, until);
    const std::optional<int64_t> held = acknowledged(got.how == Outcome::done ? got.reply.body : "");
    if (o.json) {
        rapidjson::StringBuffer buffer;
        Writer w(buffer);
        w.StartObject();
        w.Key("acknowledged"), w.Bool(got.how == Outcome::done), w.Key("sent"), w.Int64(to->version);
        text(w, "core", got.core);
        w.Key("in_force");
        if (held)
            w.Int64(*held);
        else
            w.Null();
        w.Key("tries"), w.StartArray();
        for (const Try& t : got.tries) {
            w.StartObject(), text(w, "core", t.core), w.Key("status"), w.Int(t.status);
            if (!t.why.empty()) text(w, "why", t.why);
            w.EndObject();
        }
        w.EndArray();
        if (got.how != Outcome::done) text(w, "cause", causeOf(got.reply.body));
        w.EndObject();
        s.out << buffer.GetString() << "\n";
    } else {
        for (size_t i = 0; i + 1 < got.tries.size(); ++i)
            s.err << "petrelctl: put: " << said(got.tries[i]) << "\n";
        if (got.how == Outcome::done) {
            s.out << got.core << " acknowledged version " << to->version;
            if (held && *held > to->version) s.out << "; version " << *held << " is newer and stays in force";
            s.out << "\n";
        }
    }
    if (got.how == Outcome::refused) s.err << "petrelctl: put: refused by " << lastly(got) << "\n";
    if (got.how == Outcome::noTime)
        s.err << "petrelctl: put: no clear answer in time, lastly " << lastly(got)
              << ". It may take hold all the same: send it again unchanged\n";
    return got.how == Outcome::done ? 0 : 1;
}

int show(const Orders& o, const Surroundings& s, Instant until) {
    std::string why;
    auto now = inForce(s, o, until, why);
    if (!now || !*now) {
        s.err << "petrelctl: get configuration: " << (now ? "none yet" : why) << "\n";
        return 1;
    }
    if (o.raw)
        s.out.write((*now)->text.data(), static_cast<std::streamsize>((*now)->text.size()));
    else
        s.out << (o.json ? summaryJson(**now) : summaryText(**now));
    return 0;
}

// Asks all cores that were given, then those they tell of.
Overview look(const Orders& o, const Surroundings& s, Instant until) {
    std::vector<Answer> answers;
    std::vector<Hint> next;
    for (const network::Address& core : o.cores) next.push_back({core, false});
    while (!next.empty() && answers.size() < kMostCores) {
        next.resize(std::min(next.size(), kMostCores - answers.size()));
        Span time = std::min(s.silence, std::max(until - s.clock(), Span::millis(10)));
        std::vector<Question> questions;
        questions.reserve(next.size());
        for (const Hint& h : next) questions.push_back({h.address, "GET", "/status", "", time});
        std::vector<Reply> replies = ask(questions);
        for (size_t i = 0; i < next.size(); ++i) {
            Answer a;
            a.address = next[i].address, a.guessed = next[i].guessed, a.why = replies[i].why;
            if (replies[i].status == 200) {
                auto read = readStatus(replies[i].body, a.address.text());
                if (auto* problem = std::get_if<network::Problem>(&read))
                    a.why = "status can't be read: " + problem->what;
                else
                    a.core = std::get<CoreView>(std::move(read));
            } else if (replies[i].status != 0) {
                a.why = "answered " + std::to_string(replies[i].status);
            }
            answers.push_back(std::move(a));
        }
        next = hints(answers);
    }
    return merge(std::move(answers));
}

bool anyAnswered(const Overview& v) {
    return std::any_of(v.cores.begin(), v.cores.end(), [](const Answer& a) { return a.core.has_value(); });
}

int status(const Orders& o, const Surroundings& s, Instant until) {
    Overview v = look(o, s, until);
    s.out << (o.json ? overviewJson(v) : overviewText(v));
    return anyAnswered(v) ? 0 : 1;
}

int wait(const Orders& o, const Surroundings& s, Instant until) {
    const int64_t version = std::strtoll(o.operand.c_str(), nullptr, 10);
    while (true) {
        Overview v = look(o, s, until);
        auto without = lacking(v, version);
        // Without any agent there is nobody who has it; with some unlisted nobody can say.
        bool all = anyAnswered(v) && !v.agents.empty() && v.agentsWhole && without.empty();
        if (!all && s.clock() + kPollEvery < until) {
            s.pause(kPollEvery);
            continue;
        }
        size_t silent = 0;
        for (const Answer& a : v.cores) silent += !a.core;
        if (o.json) {
            rapidjson::StringBuffer buffer;
            Writer w(buffer);
            w.StartObject();
            w.Key("version"), w.Int64(version), w.Key("reached"), w.Bool(all);
            w.Key("agents"), w.Uint64(v.agents.size()), w.Key("have"),
                w.Uint64(v.agents.size() - without.size());
            w.Key("lacking"), w.StartArray();
            for (const auto& name : without) w.String(name.c_str());
            w.EndArray();
            w.Key("cores_silent"), w.Uint64(silent), w.Key("agents_all_listed"), w.Bool(v.agentsWhole);
            w.EndObject();
            s.out << buffer.GetString() << "\n";
        } else {
            s.out << "version " << version << ": " << v.agents.size() - without.size() << " of "
                  << v.agents.size() << " linked agents have it\n";
            for (const auto& name : without) s.out << "  without it: " << name << "\n";
        }
        if (silent > 0)
            s.err << "petrelctl: wait: " << silent << " of " << v.cores.size()
                  << " cores did not answer; agents linked to them alone are not counted\n";
        if (!v.agentsWhole)
            s.err << "petrelctl: wait: a core has more agents than it lists, so this can't be told for all\n";
        if (!anyAnswered(v))
            s.err << "petrelctl: wait: no core answered\n";
        else if (v.agents.empty())
            s.err << "petrelctl: wait: no agent is linked to any core that answered\n";
        return all ? 0 : 1;
    }
}

int replace(const Orders& o, const Surroundings& s, Instant until) {
    const std::string body = "{\"gone\":[\"" + o.operand + "\"],\"come\":[\"" + o.second + "\"]}";
    // A core answers once the new voters are at work, which takes several rounds and a sync; it gives up by
    // itself.
    Surroundings patient = s;
    patient.silence = s.silence * 6.0;
    Outcome got = carry(patient, Errand(o.cores, "/voters"), "POST", body, until);
    for (size_t i = 0; i + 1 < got.tries.size(); ++i)
        s.err << "petrelctl: replace: " << said(got.tries[i]) << "\n";
    if (got.how == Outcome::done) {
        if (o.json) {
            s.out << got.reply.body << "\n";
        } else {
            rapidjson::Document d;
            d.Parse<rapidjson::kParseIterativeFlag>(got.reply.body.c_str(), got.reply.body.size());
            s.out << "the voters are";
            if (!d.HasParseError() && d.IsObject() && d.HasMember("voters") && d["voters"].IsArray())
                for (const auto& ip : d["voters"].GetArray())
                    if (ip.IsString()) s.out << " " << ip.GetString();
            s.out << "; " << o.operand << " may be switched off\n";
        }
        return 0;
    }
    s.err << "petrelctl: replace: "
          << (got.how == Outcome::refused ? "refused by " : "no clear answer in time, lastly ") << lastly(got)
          << (got.how == Outcome::refused ? "" : ". It may take hold all the same: say it again") << "\n";
    return 1;
}

bool wholeNumber(const std::string& word) {
    int64_t n = 0;
    auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), n);
    return error == std::errc() && end == word.data() + word.size() && n > 0;
}

}  // namespace

std::optional<Orders> readOrders(int argc, const char** argv, const char* control, const Surroundings& s,
                                 int& code) {
    char* cores = nullptr;
    char* settings = nullptr;
    char* timeout = nullptr;
    int json = 0, raw = 0;
    poptOption options[] = {
        {"control", 'a', POPT_ARG_STRING, &cores, 0, "cores' control addresses; else $PETRELPOND_CONTROL",
         "IP:PORT[,IP:PORT...]"},
        {"settings", 's', POPT_ARG_STRING, &settings, 0, "take the seed_nodes of this settings file", "FILE"},
        {"timeout", 't', POPT_ARG_STRING, &timeout, 0,
         "give up after so long; 30 to put, wait and replace, else 5", "SECONDS"},
        {"json", 'j', POPT_ARG_NONE, &json, 0, "one JSON object instead of text", nullptr},
        {"raw", 'r', POPT_ARG_NONE, &raw, 0, "show: the text byte for byte", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("petrelctl", argc, argv, options, 0);
    poptSetOtherOptionHelp(context, kUsage);
    Orders out;
    auto wrong = [&](const std::string& line) -> std::optional<Orders> {
        s.err << "petrelctl: " << line << "\n";
        poptFreeContext(context);
        std::free(cores), std::free(settings), std::free(timeout);
        code = 2;
        return std::nullopt;
    };
    int got = poptGetNextOpt(context);
    if (got < -1)
        return wrong(std::string("command line: ") + poptBadOption(context, POPT_BADOPTION_NOALIAS) + ": " +
                     poptStrerror(got));
    std::vector<std::string> rest;
    while (const char* word = poptGetArg(context)) rest.emplace_back(word);
    if (rest.empty())
        return wrong("command line: check, diff, put, show, status, wait or replace expected; see --help");
    out.command = rest[0];
    const bool known = out.command == "show" || out.command == "status";
    const bool file = out.command == "check" || out.command == "diff" || out.command == "put";
    const bool pair = out.command == "replace";
    if (!known && !file && !pair && out.command != "wait")
        return wrong("command line: " + out.command +
                     ": check, diff, put, show, status, wait or replace expected");
    const size_t most = known ? 1 : pair ? 3 : 2;
    if (rest.size() < most)
        return wrong("command line: " + out.command + ": " +
                     (pair   ? "OLD and NEW"
                      : file ? "FILE"
                             : "VERSION") +
                     " expected");
    if (rest.size() > most) return wrong("command line: " + rest[most] + ": not expected");
    if (most >= 2) out.operand = rest[1];
    if (pair) {
        out.second = rest[2];
        for (const std::string& ip : {out.operand, out.second})
            if (!network::Address::parse(ip, 1))
                return wrong("command line: " + ip + ": an IPv4 address expected");
        if (out.operand == out.second)
            return wrong("command line: " + out.second + ": two machines expected");
    }
    if (out.command == "wait" && !wholeNumber(out.operand))
        return wrong("command line: " + out.operand + ": a version, a whole number above 0, expected");
    out.json = json, out.raw = raw;
    if (raw && out.command != "show") return wrong("command line: --raw: only with show");
    if (raw && json) return wrong("command line: --raw and --json: only one of them");
    if (timeout) {
        char* end = nullptr;
        double t = std::strtod(timeout, &end);
        if (end == timeout || *end != 0 || !(t > 0) || t > 86400)
            return wrong(std::string("command line: --timeout: ") + timeout +
                         ": seconds above 0, a day at most, expected");
        out.timeout = Span::seconds(t);
    }
    if (out.command != "check") {
        auto add = [&](const network::Address& a) {
            if (std::find(out.cores.begin(), out.cores.end(), a) == out.cores.end()) out.cores.push_back(a);
        };
        // What is said on the command line goes before the environment.
        std::string listed = cores ? cores : !settings && control ? control : "";
        std::istringstream words(listed);
        for (std::string word; std::getline(words, word, ',');) {
            auto address = network::Address::parse(word);
            if (!address || address->port == 0)
                return wrong((cores ? "command line: --control: " : "PETRELPOND_CONTROL: ") + word +
                             ": an IPv4 address and a port expected");
            add(*address);
        }
        if (settings) {
            auto read = configuration::readSettings(settings);
            if (auto* problem = std::get_if<network::Problem>(&read)) return wrong(problem->line());
            for (const auto& seed : std::get<configuration::Settings>(read).seeds)
                if (auto address = network::Address::parse(seed.text())) add(*address);
        }
        if (out.cores.empty())
            return wrong("cores: none named by --control, --settings or PETRELPOND_CONTROL");
    }
    poptFreeContext(context);
    std::free(cores), std::free(settings), std::free(timeout);
    code = 0;
    return out;
}

int run(const Orders& o, const Surroundings& s) {
    const bool patient = o.command == "put" || o.command == "wait" || o.command == "replace";
    const Instant until = s.clock() + o.timeout.value_or(Span::seconds(patient ? 30 : 5));
    if (o.command == "check") return check(o, s);
    if (o.command == "diff") return diff(o, s, until);
    if (o.command == "put") return put(o, s, until);
    if (o.command == "show") return show(o, s, until);
    if (o.command == "status") return status(o, s, until);
    if (o.command == "replace") return replace(o, s, until);
    return wait(o, s, until);
}

}  // namespace petrelpond::cli
