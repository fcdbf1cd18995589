#include "fleet/system/plan.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "fleet/scenario.hpp"

namespace petrelpond::range {

namespace {

using fleet::Mistake;
using fleet::WrongScenario;

constexpr std::string_view kWords[kKinds] = {"node_kill",     "node_freeze",     "node_term",
                                             "node_hup",      "node_replace",    "node_replace_planned",
                                             "disk_lost",     "after_ack_kill",  "after_ack_wipe",
                                             "power_lost",    "after_ack_power", "disk_slow",
                                             "disk_stalled",  "disk_full",       "link_cut",
                                             "link_loss",     "link_delay",      "link_squeeze",
                                             "worker_crash",  "worker_drain",    "platform_down",
                                             "platform_slow", "answer_lost",     "cut",
                                             "noise",         "excess",          "excess_late",
                                             "refused_twice", "reset",           "burst",
                                             "config_change", "config_race",     "bad_config",
                                             "config_old",    "config_read"};

// One table: each key is asked for once, and what nobody asked for is a mistake.
class Part {
  public:
    Part(const toml::table& table, std::string path, std::vector<Mistake>& mistakes)
        : table_(table), path_(std::move(path)), mistakes_(mistakes) {}

    const toml::node* find(const char* key) {
        asked_.insert(key);
        return table_.get(key);
    }
    double number(const char* key, double otherwise, double low, double high) {
        const toml::node* node = find(key);
        if (!node) return otherwise;
        auto value = node->value<double>();
        if (node->is_number() && value && *value >= low && *value <= high) return *value;
        wrong(node, key, "must be a number from " + shown(low) + " to " + shown(high));
        return otherwise;
    }
    int whole(const char* key, int otherwise, int low, int high) {
        const toml::node* node = find(key);
        if (!node) return otherwise;
        auto value = node->value<int64_t>();
        if (node->is_integer() && value && *value >= low && *value <= high) return static_cast<int>(*value);
        wrong(node, key,
              "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
        return otherwise;
    }
    bool truth(const char* key, bool otherwise) {
        const toml::node* node = find(key);
        if (!node) return otherwise;
        if (!node->is_boolean()) wrong(node, key, "must be true or false");
        return node->value<bool>().value_or(otherwise);
    }
    Span millis(const char* key, Span otherwise) {
        return Span::seconds(number(key, otherwise.inSeconds() * 1e3, 0, 1e7) / 1e3);
    }
    Span seconds(const char* key, Span otherwise) {
        return Span::seconds(number(key, otherwise.inSeconds(), 0, 1e5));
    }
    std::string text(const char* key, bool needed) {
        const toml::node* node = find(key);
        if (!node) return needed ? wrong(nullptr, key, "is missing") : void(), std::string();
        if (!node->is_string()) wrong(node, key, "must be a string");
        return node->value<std::string>().value_or("");
    }
    std::vector<std::string> texts(const char* key) {
        std::vector<std::string> out;
        const toml::node* node = find(key);
        if (!node) return out;
        if (auto one = node->value<std::string>()) return {*one};
        bool fine = node->is_array();
        if (fine)
            for (const toml::node& item : *node->as_array()) {
                if (auto one = item.value<std::string>())
                    out.push_back(*one);
                else
                    fine = false;
            }
        if (!fine) wrong(node, key, "must be a name or a list of names");
        return out;
    }
    // The index of a word; -1 where none is given or it is not known.
    template <class Words>
    int word(const char* key, const Words& words, bool needed) {
        std::string said = text(key, needed);
        if (said.empty()) return -1;
        auto at = std::find(std::begin(words), std::end(words), said);
        if (at != std::end(words)) return static_cast<int>(at - std::begin(words));
        std::string all;
        for (const auto& w : words) all.append(all.empty() ? "" : ", ").append(w);
        wrong(table_.get(key), key, "knows no '" + said + "'; one of: " + all);
        return -1;
    }
    template <class Read>
    void tables(const char* key, Read read) {
        const toml::node* node = find(key);
        if (!node) return;
        if (!node->is_array_of_tables())
            return wrong(node, key, std::string("must be written [[") + key + "]]");
        for (const toml::node& item : *node->as_array()) {
            Part part(*item.as_table(), std::string(key) + ".", mistakes_);
            read(part);
            part.done();
        }
    }
    template <class Read>
    void table(const char* key, Read read) {
        const toml::node* node = find(key);
        if (!node) return;
        if (!node->is_table()) return wrong(node, key, "must be a table");
        Part part(*node->as_table(), std::string(key) + ".", mistakes_);
        read(part);
        part.done();
    }
    void wrong(const toml::node* node, const std::string& key, std::string words) {
        auto line = (node ? node->source() : table_.source()).begin.line;
        mistakes_.push_back({static_cast<int>(line), path_ + key, std::move(words)});
    }
    void done() {
        for (const auto& [key, node] : table_)
            if (asked_.count(std::string(key.str())) == 0)
                wrong(&node, std::string(key.str()), "is not known here");
    }

  private:
    static std::string shown(double v) {
        std::ostringstream out;
        out << v;
        return out.str();
    }
    const toml::table& table_;
    std::string path_;
    std::vector<Mistake>& mistakes_;
    std::set<std::string> asked_;
};

void readBounds(Part& p, Bounds& b) {
    b.contact = p.millis("contact_ms", b.contact), b.ack = p.millis("ack_ms", b.ack);
    b.drain = p.millis("drain_ms", b.drain), b.grace = p.seconds("grace_s", b.grace);
    b.lossSlack = p.millis("loss_slack_ms", b.lossSlack);
    b.configApply = p.millis("config_apply_ms", b.configApply);
    b.rollbackSlack = p.millis("rollback_slack_ms", b.rollbackSlack);
    b.stretchMost = p.millis("stretch_max_ms", b.stretchMost);
    b.budgetWindow = p.seconds("budget_window_s", b.budgetWindow);
    b.recovery = p.seconds("recovery_s", b.recovery), b.catchUp = p.seconds("catch_up_s", b.catchUp);
    b.addressReuse = p.seconds("address_reuse_s", b.addressReuse);
    b.retryRatio = p.number("retry_budget_ratio", b.retryRatio, 0, 10);
    b.retrySlack = p.number("retry_slack", b.retrySlack, 0, 1e6);
    b.rejectionSlack = p.number("rejection_slack", b.rejectionSlack, 0, 1e6);
}

void checkNames(Part& p, const Plan& plan, const char* key, const std::vector<std::string>& names) {
    for (const std::string& name : names) {
        bool known = name == "edge" || name == "core" || name == "all";
        const int coreMachines = plan.cores + plan.spares;
        for (int i = 1; i <= std::max(plan.edges, coreMachines); ++i)
            known |= (i <= plan.edges && name == "edge-" + std::to_string(i)) ||
                     (i <= coreMachines && name == "core-" + std::to_string(i));
        if (!known) p.wrong(p.find(key), key, "knows no '" + name + "'");
    }
}

FaultPlan readFault(Part& p, const Plan& plan, const std::vector<std::string>& groups) {
    FaultPlan f;
    int kind = p.word("kind", kWords, true);
    f.kind = static_cast<Kind>(std::max(kind, 0));
    f.at = p.seconds("at", Span());
    if (!p.find("at")) p.wrong(nullptr, "at", "is missing");
    if (f.at > plan.lasts) p.wrong(p.find("at"), "at", "lies behind the play's end");
    f.lasts = p.seconds("lasts", atMachines(f.kind) ? Span::seconds(1) : Span::seconds(5));
    if (kind < 0) return f;
    if (atMachines(f.kind) && f.kind != Kind::afterAckKill && f.kind != Kind::afterAckWipe) {
        f.machines = p.texts("machines"), f.count = p.whole("count", 0, 0, 1000);
        if (f.machines.empty() && f.kind != Kind::afterAckPower)
            p.wrong(nullptr, "machines", "is missing: names, or \"edge\", \"core\" or \"all\"");
        checkNames(p, plan, "machines", f.machines);
    }
    if (atLinks(f.kind)) {
        f.to = p.texts("to"), f.oneWay = p.truth("one_way", false);
        checkNames(p, plan, "to", f.to);
    }
    if (f.kind == Kind::linkLoss) f.share = p.number("share", 0.1, 0, 1);
    if (f.kind == Kind::linkSqueeze) f.rate = p.number("bytes_per_s", 50000, 1000, 1e9);
    if (f.kind == Kind::linkDelay || f.kind == Kind::diskSlow)
        f.value = p.millis("value_ms", Span::millis(200));
    if (f.kind == Kind::kill) {
        static const std::vector<std::string> programs = {"petrel-proxy", "petrel-agent",
                                                          "petrel-control-plane"};
        if (int at = p.word("program", programs, false); at >= 0)
            f.program = programs[static_cast<size_t>(at)];
    }
    if (f.kind == Kind::workerCrash || f.kind == Kind::workerDrain) f.count = p.whole("count", 1, 1, 1000);
    if (atEndpoints(f.kind)) f.share = p.number("share", 0.1, 0, 1);
    if (atEndpoints(f.kind) || f.kind == Kind::burst) f.group = p.word("group", groups, false);
    if (f.kind == Kind::burst) f.factor = p.number("factor", 3, 0.01, 100);
    if (f.kind == Kind::platformSlow) f.value = p.millis("value_ms", f.value);
    return f;
}

}  // namespace

std::string_view wordOf(Kind k) { return kWords[static_cast<size_t>(k)]; }
bool atMachines(Kind k) { return k <= Kind::linkSqueeze; }
bool atDisks(Kind k) { return k >= Kind::diskSlow && k <= Kind::diskFull; }
bool atLinks(Kind k) { return k >= Kind::linkCut && k <= Kind::linkSqueeze; }
bool needsWeather(Kind k) { return k >= Kind::powerLost && k <= Kind::linkSqueeze; }
bool atEndpoints(Kind k) { return k >= Kind::answerLost && k <= Kind::reset; }

bool Plan::needsWeather() const {
    return std::any_of(faults.begin(), faults.end(),
                       [](const FaultPlan& f) { return range::needsWeather(f.kind); });
}

Plan readPlan(std::string_view text, const std::string& file) {
    toml::table root;
    try {
        root = toml::parse(text, file);
    } catch (const toml::parse_error& e) {
        throw WrongScenario(file + ":" + std::to_string(e.source().begin.line) + ": " +
                            std::string(e.description()));
    }
    std::vector<Mistake> mistakes;
    Plan plan;
    Part all(root, "", mistakes);
    all.table("run", [&](Part& p) {
        if (std::string name = p.text("name", false); !name.empty()) plan.name = name;
        plan.seed = static_cast<uint64_t>(p.whole("seed", 1, 0, 2000000000));
        plan.lasts = p.seconds("seconds", plan.lasts), plan.settle = p.seconds("settle", plan.settle);
        if (plan.lasts < Span::seconds(1)) p.wrong(p.find("seconds"), "seconds", "must be at least 1");
    });
    all.table("machines", [&](Part& p) {
        plan.edges = p.whole("edges", plan.edges, 1, 200), plan.cores = p.whole("cores", plan.cores, 1, 9);
        plan.zones = p.whole("zones", plan.zones, 1, 9);
        plan.spares = p.whole("spares", plan.spares, 0, kMostSpares);
    });
    all.table("platform", [&](Part& p) {
        plan.workers = p.whole("workers", plan.workers, 1, 1000);
        plan.workerMemoryMb = p.whole("worker_memory_mb", plan.workerMemoryMb, 1, 1000000);
        plan.listRate = p.number("rate_per_s", plan.listRate, 0.1, 1e5);
        plan.dutyRate = p.number("duty_per_s", plan.dutyRate, 0.1, 1e5);
        plan.lag = p.millis("max_lag_ms", plan.lag);
    });
    all.table("clients", [&](Part& p) {
        plan.clients = p.whole("count", plan.clients, 1, 100000);
        plan.keepAlive = p.number("keep_alive", plan.keepAlive, 0, 1);
        plan.faithful = p.number("faithful", plan.faithful, 0, 1);
    });
    all.table("bounds", [&](Part& p) { readBounds(p, plan.bounds); });
    std::vector<std::string> names;
    all.tables("group", [&](Part& p) {
        GroupPlan g;
        g.name = p.text("name", true);
        if (std::find(names.begin(), names.end(), g.name) != names.end())
            p.wrong(p.find("name"), "name", "is the name of two groups");
        g.count = p.whole("count", 1, 1, 2000), g.slots = p.whole("slots", 1, 1, kUnlimitedSlots);
        g.memoryMb = p.whole("memory_mb", g.memoryMb, 1, 1000000);
        g.connections = p.whole("connections", 64, 1, 100000);
        g.boot = p.millis("boot_ms", g.boot), g.skew = p.number("skew", 1, 0, 5);
        names.push_back(g.name), plan.groups.push_back(g);
    });
    all.tables("traffic", [&](Part& p) {
        FlowPlan f;
        f.name = p.text("name", true);
        f.group = std::max(0, p.word("group", names, true));
        static const std::vector<std::string> kinds = {"idempotent", "non_idempotent"};
        f.repeatable = p.word("kind", kinds, true) != 1;
        f.rate = p.number("rate", f.rate, 0.01, 1e5);
        f.work = p.millis("work_ms", f.work), f.aim = p.millis("aim_ms", f.aim);
        f.deadline = p.millis("deadline_ms", f.deadline);
        if (f.deadline < f.aim || f.aim <= Span())
            p.wrong(p.find("deadline_ms"), "deadline_ms", "must be no less than aim_ms, both above 0");
        f.priority = p.whole("priority", 1, 0, 9),
        f.attempts = p.whole("attempts", f.repeatable ? 2 : 1, 1, 9);
        f.tries = p.whole("tries", 3, 1, 9), f.body = p.whole("body", 600, 0, 1000000);
        f.workSpread = p.number("work_spread", f.workSpread, 0, 3);
        f.leaves = p.number("leaves", f.leaves, 0, 1);
        f.halfCloses = p.number("half_closes", f.halfCloses, 0, 1);
        f.leavesAfter = p.millis("leaves_after_ms", f.leavesAfter);
        if (f.leaves + f.halfCloses > 1)
            p.wrong(p.find("half_closes"), "half_closes", "must be at most 1 together with leaves");
        plan.flows.push_back(f);
    });
    all.tables("fault", [&](Part& p) { plan.faults.push_back(readFault(p, plan, names)); });
    if (plan.groups.empty()) all.wrong(nullptr, "group", "is missing: at least one [[group]]");
    if (plan.flows.empty()) all.wrong(nullptr, "traffic", "is missing: at least one [[traffic]]");
    all.done();
    if (mistakes.empty()) return plan;
    std::stable_sort(mistakes.begin(), mistakes.end(), [](auto& a, auto& b) { return a.line < b.line; });
    std::string words;
    for (const Mistake& m : mistakes)
        words +=
            (words.empty() ? "" : "\n") + file + ":" + std::to_string(m.line) + ": " + m.key + ": " + m.words;
    throw WrongScenario(words);
}

Plan readPlanFile(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw WrongScenario(path + ": can't be read");
    std::ostringstream text;
    text << file.rdbuf();
    return readPlan(text.str(), path);
}

std::string_view demoPlan() {
    return R"([run]
name = "demo"
seed = 7
seconds = 20
[machines]
edges = 6
cores = 3
[[group]]
name = "shelf"
count = 4
slots = 8
memory_mb = 1024
boot_ms = 900
[[group]]
name = "parcel"
count = 20
slots = 1
memory_mb = 128
boot_ms = 600
[[traffic]]
name = "lookup"
group = "shelf"
kind = "idempotent"
rate = 90
work_ms = 60
[[traffic]]
name = "reserve"
group = "shelf"
kind = "non_idempotent"
rate = 30
work_ms = 100
aim_ms = 500
priority = 0
[[traffic]]
name = "reorder"
group = "parcel"
kind = "idempotent"
rate = 25
work_ms = 80
aim_ms = 1500
deadline_ms = 8000
priority = 2
[[traffic]]
name = "booking"
group = "parcel"
kind = "non_idempotent"
rate = 3
work_ms = 700
aim_ms = 4000
deadline_ms = 8000
[[fault]]
kind = "config_change"
at = 5
[[fault]]
kind = "node_kill"     # a herd: half of the senders and one core at the same moment
at = 8
machines = ["edge-1", "edge-3", "edge-4", "core-2"]
[[fault]]
kind = "config_race"
at = 10
[[fault]]
kind = "bad_config"
at = 11
[[fault]]
kind = "disk_lost"
at = 14
machines = "core-1"
[[fault]]
kind = "worker_crash"
at = 16
[[fault]]
kind = "config_change"
at = 16.5
)";
}

}  // namespace petrelpond::range
