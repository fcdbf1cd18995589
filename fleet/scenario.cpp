#include "fleet/scenario.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>

namespace petrelpond::fleet {

namespace {

constexpr std::string_view kTroubles[] = {"hang",
                                          "stall",
                                          "refuse",
                                          "full",
                                          "error",
                                          "reset_before",
                                          "reset_during",
                                          "reset_after",
                                          "half",
                                          "spoilt",
                                          "lost_answer",
                                          "drip",
                                          "down",
                                          "vanish",
                                          "stale",
                                          "drain",
                                          "go",
                                          "replace",
                                          "directory_silent",
                                          "directory_old",
                                          "directory_move",
                                          "sender_kill",
                                          "sender_stop",
                                          "sender_restart"};

constexpr std::string_view kLinks[] = {"loss",   "delay", "twice", "reorder", "spoil",     "narrow",
                                       "stall", "half_close", "reset", "cut",     "partition", "chain"};

size_t distance(std::string_view a, std::string_view b) {
    std::vector<size_t> row(b.size() + 1);
    for (size_t j = 0; j <= b.size(); ++j) row[j] = j;
    for (size_t i = 1; i <= a.size(); ++i) {
        size_t corner = row[0];
        row[0] = i;
        for (size_t j = 1; j <= b.size(); ++j) {
            size_t up = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, corner + (a[i - 1] != b[j - 1])});
            corner = up;
        }
    }
    return row.back();
}

template <class Words>
std::string meant(std::string_view word, const Words& known) {
    std::string best;
    size_t least = 3;
    for (std::string_view k : known) {
        if (size_t d = distance(word, k); d < least) least = d, best = std::string(k);
    }
    return best.empty() ? "" : "; did you mean '" + best + "'?";
}

// One table: each key is asked for once, and what nobody asked for is a mistake.
class Part {
  public:
    Part(const toml::table& table, std::string path, std::vector<Mistake>& mistakes)
        : table_(table), path_(std::move(path)), mistakes_(mistakes) {}

    const toml::node* find(const std::string& key) {
        asked_.insert(key);
        return table_.get(key);
    }
    double number(const std::string& key, double otherwise, double low, double high) {
        const toml::node* node = find(key);
        if (!node) return otherwise;
        auto value = node->value<double>();
        if (!value || !node->is_number() || !(*value >= low && *value <= high)) {
            return wrong(node, key, "must be a number from " + shown(low) + " to " + shown(high)), otherwise;
        }
        return *value;
    }
    int whole(const std::string& key, int otherwise, int low, int high) {
        const toml::node* node = find(key);
        if (!node) return otherwise;
        auto value = node->value<int64_t>();
        if (!node->is_integer() || !value || *value < low || *value > high) {
            wrong(node, key,
                  "must be a whole number from " + std::to_string(low) + " to " + std::to_string(high));
            return otherwise;
        }
        return static_cast<int>(*value);
    }
    Span millis(const std::string& key, Span otherwise) {
        return Span::seconds(number(key, otherwise.inSeconds() * 1e3, 0, 1e8) / 1e3);
    }
    Span seconds(const std::string& key, Span otherwise) {
        return Span::seconds(number(key, otherwise.inSeconds(), 0, 1e6));
    }
    bool flag(const std::string& key, bool otherwise) {
        const toml::node* node = find(key);
        if (!node) return otherwise;
        if (!node->is_boolean()) return wrong(node, key, "must be true or false"), otherwise;
        return *node->value<bool>();
    }
    std::string text(const std::string& key, const std::string& otherwise) {
        const toml::node* node = find(key);
        if (!node) return otherwise;
        if (!node->is_string()) return wrong(node, key, "must be a string"), otherwise;
        return *node->value<std::string>();
    }
    // Which of several words; `needed` where it must be given.
    int word(const std::string& key, const std::vector<std::string>& words, int otherwise, bool needed) {
        const toml::node* node = find(key);
        if (!node && needed) wrong(nullptr, key, "is missing");
        if (!node) return otherwise;
        std::string said = node->value<std::string>().value_or("");
        auto at = std::find(words.begin(), words.end(), said);
        if (at != words.end()) return static_cast<int>(at - words.begin());
        return wrong(node, key, "knows no '" + said + "'" + meant(said, words)), otherwise;
    }
    std::vector<const toml::table*> tables(const std::string& key) {
        std::vector<const toml::table*> out;
        const toml::node* node = find(key);
        if (!node) return out;
        if (!node->is_array_of_tables()) return wrong(node, key, "must be written [[" + key + "]]"), out;
        for (const toml::node& item : *node->as_array()) out.push_back(item.as_table());
        return out;
    }
    // Numbers of senders: a list, or "all".
    std::vector<int> senders(const std::string& key, int count) {
        const toml::node* node = find(key);
        if (!node || node->value<std::string>().value_or("") == "all") return {};
        return numbers(node, key, count);
    }
    std::vector<std::vector<int>> sides(const std::string& key, int count) {
        std::vector<std::vector<int>> out;
        const toml::node* node = find(key);
        if (!node) return wrong(nullptr, key, "is missing"), out;
        if (!node->is_array()) return wrong(node, key, "must be a list of lists of senders"), out;
        std::set<int> seen;
        for (const toml::node& side : *node->as_array()) {
            out.push_back(numbers(&side, key, count));
            for (int s : out.back()) {
                if (!seen.insert(s).second) wrong(&side, key, "has sender " + std::to_string(s) + " on two sides");
            }
        }
        return out;
    }
    const toml::table& table(const std::string& key) {
        static const toml::table none;
        const toml::node* node = find(key);
        if (!node) return none;
        if (!node->is_table()) return wrong(node, key, "must be a table"), none;
        return *node->as_table();
    }
    void wrong(const toml::node* node, const std::string& key, std::string words) {
        auto line = (node ? node->source() : table_.source()).begin.line;
        mistakes_.push_back({static_cast<int>(line), path_ + key, std::move(words)});
    }
    void done() {
        for (const auto& [key, node] : table_) {
            std::string name(key.str());
            if (asked_.count(name) == 0) wrong(&node, name, "is not known here" + meant(name, asked_));
        }
    }

  private:
    std::vector<int> numbers(const toml::node* node, const std::string& key, int count) {
        std::vector<int> out;
        bool fine = node->is_array();
        if (fine) {
            for (const toml::node& item : *node->as_array()) {
                auto value = item.value<int64_t>();
                fine = fine && item.is_integer() && value && *value >= 0 && *value < count;
                if (fine) out.push_back(static_cast<int>(*value));
            }
        }
        if (!fine || out.empty()) wrong(node, key, "must be a list of senders, 0 to " + std::to_string(count - 1));
        return out;
    }
    static std::string shown(double v) {
        std::string s = std::to_string(v);
        s.erase(s.find_last_not_of('0') + 1);
        if (s.back() == '.') s.pop_back();
        return s;
    }
    const toml::table& table_;
    std::string path_;
    std::vector<Mistake>& mistakes_;
    std::set<std::string> asked_;
};

ProductPlan readProduct(Part part) {
    ProductPlan plan;
    Product& p = plan.rules;
    plan.name = part.text("name", "");
    if (plan.name.empty()) part.wrong(nullptr, "name", "is missing");
    p.sla = part.millis("sla_ms", Span::millis(600));
    p.validity = part.millis("validity_ms", Span::seconds(6));
    if (p.validity < p.sla || p.validity <= Span()) {
        part.wrong(part.find("validity_ms"), "validity_ms", "must be above 0 and no less than sla_ms");
    }
    static const std::vector<std::string> effects = {"resendable", "referenced", "once-only"};
    p.effect = static_cast<Effect>(part.word("effect", effects, 2, true));
    p.dedupWindow = part.millis("memory_ms", Span());
    if (p.effect == Effect::idempotencyKey && p.dedupWindow <= Span()) {
        part.wrong(nullptr, "memory_ms", "must be above 0 for a referenced product");
    }
    p.revenue = part.number("revenue", 1, 0, 1e6);
    p.lateRevenueShare = part.number("late_share", 0.3, 0, 1);
    p.inOrder = part.flag("in_order", false);
    part.done();
    return plan;
}

Group readGroup(Part part) {
    Group g;
    g.name = part.text("name", "");
    if (g.name.empty()) part.wrong(nullptr, "name", "is missing");
    g.count = part.whole("count", 1, 1, 60000);
    g.endpoints = part.whole("endpoints", 1, 1, 64);
    g.batch = part.whole("batch", 1, 1, 64);
    g.separateRoutes = part.flag("separate_routes", false);
    g.workers = part.whole("workers", 8, 1, 10000);
    g.queue = part.whole("queue", 16, 0, 100000);
    g.rate = part.number("rate", 0, 0, 1e6);
    g.burst = part.number("burst", std::max(2.0, g.rate / 10), 1, 1e6);
    g.countMost = part.whole("count_most", 0, 0, 1000000);
    g.countSpan = part.millis("count_span_ms", Span::seconds(1));
    if (g.countMost > 0 && g.rate > 0)
        part.wrong(part.find("rate"), "rate", "and count_most exclude each other");
    g.rateListed = part.flag("rate_listed", false);
    g.tellsWaits = part.flag("tells_waits", false);
    g.answerMedian = part.millis("answer_median_ms", Span::millis(40));
    g.answerP99 = part.millis("answer_p99_ms", g.answerMedian * 4);
    if (g.answerP99 < g.answerMedian || g.answerMedian <= Span()) {
        part.wrong(part.find("answer_p99_ms"), "answer_p99_ms",
                   "must be no less than answer_median_ms, both above 0");
    }
    g.coldShare = part.number("cold_share", 1, 0.01, 1);
    g.warmUp = part.millis("warm_up_ms", Span());
    g.tipMultiple = part.number("tip_multiple", 0, 0, 100);
    g.tipWindow = part.millis("tip_window_ms", Span::seconds(1));
    g.connections = part.whole("connections", 256, 1, 100000);
    g.idle = part.millis("idle_ms", Span::seconds(20));
    g.idleCloses = part.number("idle_closes", 0, 0, 1);
    part.done();
    return g;
}

template <class Item>
std::vector<std::string> namesOf(const std::vector<Item>& items) {
    std::vector<std::string> names;
    for (const Item& i : items) names.push_back(i.name);
    return names;
}

Flow readFlow(Part part, const Scenario& s) {
    Flow f;
    f.product = static_cast<uint32_t>(part.word("product", namesOf(s.products), 0, true));
    f.group = static_cast<uint32_t>(part.word("group", namesOf(s.groups), 0, true));
    f.rate = part.number("rate", 1, 0, 1e6);
    f.from = part.seconds("from", Span());
    f.until = part.seconds("until", s.lasts);
    f.clump = part.number("clump", 1, 1, 100000);
    f.swing = part.number("swing", 0, 0, 1);
    f.swingSpan = part.seconds("swing_seconds", Span::seconds(60));
    if (f.swingSpan <= Span()) part.wrong(part.find("swing_seconds"), "swing_seconds", "must be above 0");
    f.body = part.whole("body", 200, 0, 60000);
    f.keys = part.whole("keys", 0, 0, 1000000);
    f.surge = part.number("surge", 1, 0, 1000);
    f.surgeFrom = part.seconds("surge_from", Span());
    f.surgeUntil = part.seconds("surge_until", Span());
    f.skew = part.number("skew", 0, 0, 3);
    part.done();
    return f;
}

Fault readFault(Part part, const Scenario& s) {
    Fault f;
    std::vector<std::string> words(std::begin(kTroubles), std::end(kTroubles));
    f.what = static_cast<Trouble>(part.word("kind", words, 0, true));
    f.at = part.seconds("at", Span());
    f.lasts = part.seconds("for", Span::seconds(1));
    if (f.at > s.lasts) part.wrong(part.find("at"), "at", "lies behind the end of the run");
    f.part = part.number("part", 1, 0, 1);
    bool told = f.what == Trouble::directorySilent || f.what == Trouble::directoryOld;
    if (atSenders(f.what) || told) {
        f.sender = part.whole("sender", -1, 0, s.senders - 1);
        if (f.what == Trouble::senderKill) f.folderLost = part.flag("folder_lost", false);
    } else if (!atDirectory(f.what)) {
        f.group = part.word("group", namesOf(s.groups), 0, true);
        int most = s.groups.empty() ? 1 : s.groups[static_cast<size_t>(f.group)].endpoints;
        f.endpoint = part.whole("endpoint", -1, 0, most - 1);
        f.share = part.number("share", 1, 0, 1);
        f.value = part.millis("value_ms", Span::seconds(1));
    }
    part.done();
    return f;
}

LinkFault readLink(Part part, const Scenario& s) {
    using Kind = LinkFault::Kind;
    LinkFault f;
    f.what = static_cast<Kind>(part.word("kind", {std::begin(kLinks), std::end(kLinks)}, 0, true));
    f.at = part.seconds("at", Span());
    f.lasts = part.seconds("for", Span::seconds(1));
    if (f.at > s.lasts) part.wrong(part.find("at"), "at", "lies behind the end of the run");
    if (f.what == Kind::partition || f.what == Kind::chain) {
        f.sides = part.sides("sides", s.senders);
        part.done();
        return f;
    }
    f.from = part.senders("from", s.senders), f.to = part.senders("to", s.senders);
    f.both = part.flag("both", false);
    bool shared = f.what <= Kind::spoil;
    if (shared) f.share = part.number("share", 1, 0, 1);
    if (f.what == Kind::delay || f.what == Kind::reorder) {
        f.value = part.millis("value_ms", Span::millis(100));
        f.spread = part.millis("p99_ms", f.value);
        if (f.spread < f.value) part.wrong(part.find("p99_ms"), "p99_ms", "must be no less than value_ms");
    }
    if (f.what == Kind::narrow) f.bytesPerSecond = part.number("bytes_per_second", 10000, 1, 1e9);
    part.done();
    return f;
}

CrewPlan readCrew(Part part) {
    CrewPlan c;
    c.on = true;
    c.round = part.millis("round_ms", c.round), c.ackWithin = part.millis("ack_ms", c.ackWithin);
    if (c.ackWithin <= Span() || c.ackWithin >= c.round)
        part.wrong(part.find("ack_ms"), "ack_ms", "must be above 0 and below round_ms");
    c.exchangeEvery = part.millis("exchange_ms", c.exchangeEvery), c.seekEvery = part.millis("seek_ms", c.seekEvery);
    c.seeds = part.whole("seeds", 3, 0, 64);
    part.done();
    return c;
}

void readTo(const toml::table& root, Scenario& s, std::vector<Mistake>& mistakes) {
    Part top(root, "", mistakes);
    s.name = top.text("name", s.name);
    Part run(top.table("run"), "run.", mistakes);
    s.lasts = run.seconds("seconds", s.lasts);
    if (s.lasts <= Span()) run.wrong(run.find("seconds"), "seconds", "must be above 0");
    s.seed = static_cast<uint64_t>(run.whole("seed", 1, 0, 2000000000));
    s.clientTries = run.whole("client_tries", 2, 0, 20);
    s.holds = run.number("holds", 0, 0, 1);
    s.ahead = run.millis("ahead_ms", Span());
    s.noticeLate = run.millis("notice_ms", Span());
    s.recording = run.text("recording", "");
    run.done();
    Part senders(top.table("senders"), "senders.", mistakes);
    s.senders = senders.whole("count", 2, 1, 1000);
    s.callsOut = senders.whole("calls_out", 64, 1, 10000);
    s.held = senders.whole("held", 1000, 1, 1000000);
    s.submits = senders.whole("submits", 6, 1, 100);
    s.memoryMb = senders.whole("memory_mb", 192, 16, 16384);
    s.sockets = senders.whole("sockets", 1024, 64, 18000);
    s.diskMb = senders.whole("disk_mb", 16, 1, 4096);
    s.cores = senders.number("cores", 0, 0, 64);
    s.otherPart = senders.number("other_part", 0, 0, 1);
    s.otherFactor = senders.number("other_factor", 1, 0.001, 1000);
    s.cancel = senders.flag("cancel", true);
    s.longestPause = senders.millis("longest_pause_ms", Span::seconds(2));
    s.tick = senders.millis("tick_ms", Span::millis(5));
    senders.done();
    Part model(top.table("model"), "model.", mistakes);
    s.model.hop = model.millis("hop_ms", s.model.hop);
    s.model.handshake = model.millis("handshake_ms", s.model.handshake);
    s.model.store = model.millis("store_ms", s.model.store);
    s.model.round = model.millis("round_ms", s.model.round);
    s.model.work = model.millis("work_ms", s.model.work);
    s.model.given = top.find("model") != nullptr;
    model.done();
    auto each = [&](const char* key, auto read) {
        int i = 0;
        for (const toml::table* t : top.tables(key)) {
            read(Part(*t, std::string(key) + "[" + std::to_string(i++) + "].", mistakes));
        }
    };
    each("product", [&](Part p) { s.products.push_back(readProduct(p)); });
    each("group", [&](Part p) { s.groups.push_back(readGroup(p)); });
    if (s.products.empty()) top.wrong(nullptr, "product", "at least one is needed");
    if (s.groups.empty()) top.wrong(nullptr, "group", "at least one is needed");
    each("traffic", [&](Part p) { s.flows.push_back(readFlow(p, s)); });
    each("fault", [&](Part p) { s.faults.push_back(readFault(p, s)); });
    if (top.find("crew")) s.crew = readCrew(Part(top.table("crew"), "crew.", mistakes));
    each("link", [&](Part p) { s.links.push_back(readLink(p, s)); });
    if (!s.links.empty() && !s.crew.on) top.wrong(top.find("link"), "link", "needs [crew]: without it senders have no links");
    auto twice = [&](const char* what, std::vector<std::string> names) {
        std::sort(names.begin(), names.end());
        auto at = std::adjacent_find(names.begin(), names.end());
        if (at != names.end()) top.wrong(nullptr, what, "two are named '" + *at + "'");
    };
    twice("product", namesOf(s.products)), twice("group", namesOf(s.groups));
    if (s.endpoints() > 60000) top.wrong(nullptr, "group", "more than 60000 endpoints in all");
    top.done();
    for (const ProductPlan& p : s.products) s.settle = std::max(s.settle, p.rules.validity);
    s.settle = s.settle + Span::millis(500);
}

}  // namespace

std::string_view wordOf(LinkFault::Kind what) { return kLinks[static_cast<size_t>(what)]; }
std::string_view wordOf(Trouble what) { return kTroubles[static_cast<size_t>(what)]; }
bool atSenders(Trouble what) { return what >= Trouble::senderKill; }
bool atDirectory(Trouble what) { return what >= Trouble::directorySilent && !atSenders(what); }

int Scenario::destinations() const {
    int n = 0;
    for (const Group& g : groups) n += g.count;
    return n;
}
int Scenario::endpoints() const {
    int n = 0;
    for (const Group& g : groups) n += g.count * g.endpoints;
    return n;
}
uint32_t Scenario::firstDestination(uint32_t group) const {
    uint32_t n = 0;
    for (uint32_t i = 0; i < group; ++i) n += static_cast<uint32_t>(groups[i].count);
    return n;
}
uint32_t Scenario::firstEndpoint(uint32_t group) const {
    uint32_t n = 0;
    for (uint32_t i = 0; i < group; ++i) n += static_cast<uint32_t>(groups[i].count * groups[i].endpoints);
    return n;
}

Scenario readScenario(std::string_view text, const std::string& file) {
    Scenario s;
    s.name = file;
    std::vector<Mistake> mistakes;
    try {
        toml::table root = toml::parse(text, file);
        readTo(root, s, mistakes);
    } catch (const toml::parse_error& e) {
        mistakes.push_back({static_cast<int>(e.source().begin.line), "", std::string(e.description())});
    }
    if (mistakes.empty()) return s;
    std::stable_sort(mistakes.begin(), mistakes.end(), [](auto& a, auto& b) { return a.line < b.line; });
    std::string words;
    for (const Mistake& m : mistakes) {
        words += (words.empty() ? "" : "\n") + file + ":" + std::to_string(m.line) + ": " +
                 (m.key.empty() ? "" : m.key + " ") + m.words;
    }
    throw WrongScenario(words);
}

Scenario readScenarioFile(const std::string& path) {
    if (path == "demo") return readScenario(demoScenario(), "demo");
    std::ifstream file(path);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file) throw WrongScenario(path + ": can't be read");
    return readScenario(text, path);
}

std::string_view demoScenario() {
    return R"(name = "demo"
[run]
seconds = 12
seed = 1
[senders]
count = 2
[[product]]
name = "status"
effect = "resendable"
sla_ms = 500
validity_ms = 4000
revenue = 1
[[product]]
name = "order"
effect = "once-only"
sla_ms = 800
validity_ms = 4000
revenue = 5
[[group]]
name = "hauler"
count = 6
endpoints = 3
workers = 12
answer_median_ms = 40
answer_p99_ms = 160
[[group]]
name = "maker"
count = 4
endpoints = 2
rate = 12
tells_waits = true
answer_median_ms = 60
answer_p99_ms = 250
cold_share = 0.5
warm_up_ms = 2000
[[traffic]]
product = "status"
group = "hauler"
rate = 120
[[traffic]]
product = "status"
group = "maker"
rate = 24
clump = 3
[[traffic]]
product = "order"
group = "maker"
rate = 8
[[fault]]
kind = "hang"
at = 3
for = 3
group = "hauler"
endpoint = 0
[[fault]]
kind = "down"
at = 5
for = 2
group = "maker"
part = 0.25
[[fault]]
kind = "sender_kill"
at = 8
for = 0.8
sender = 1
)";
}

}  // namespace petrelpond::fleet
