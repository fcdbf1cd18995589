#include "fleet/system/stage.hpp"

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <stdexcept>

#include "fleet/system/network_claim.hpp"
#include "fleet/system/replacements.hpp"

namespace petrelpond::range {

namespace {

const Span kProbe = Span::millis(100), kLook = Span::millis(50);
const Span kRest = Span::seconds(10);       // in which bytes at rest are counted, with as much before it
const Span kAfterwards = Span::seconds(9);  // for what is still open when traffic has ended

void allowManyDescriptors() {
    rlimit most{};
    if (getrlimit(RLIMIT_NOFILE, &most) == 0) most.rlim_cur = most.rlim_max, setrlimit(RLIMIT_NOFILE, &most);
}

class Stage {
  public:
    Stage(const Plan& plan, const StageOptions& options)
        : plan_(plan), options_(options), began_(loop_.now()), claim_(static_cast<uint32_t>(getpid())),
          network_(claim_.network()), zones_(zoneNames(plan)), services_(servicesOf(plan)),
          judge_(plan.bounds, coreFlags(plan), static_cast<size_t>(plan.cores)),
          machines_(loop_, judge_, plan, options.programs, options.folder, network_, zones_),
          platform_(loop_, judge_, plan, services_, zones_, network_, plan.seed * 7 + 1),
          door_(loop_, machines_), clients_(loop_, judge_, plan, machines_, door_, zones_, plan.seed * 7 + 2),
          operators_(loop_, judge_, plan, machines_, door_, clients_, services_, plan.seed * 7 + 3),
          replacements_(loop_, machines_), chance_(plan.seed * 7 + 4) {}

    Outcome run() {
        for (int number : {SIGINT, SIGTERM})
            loop_.onSignal(number, [this] { out_.interrupted = true, loop_.stop(); });
        machines_.defect = options_.defect;
        platform_.open(*network::Address::parse(machines_.ip(0, 10), machines_.ports.platform));
        machines_.startAll();
        loop_.at(began_ + Span::millis(300), [this] { operators_.first(); });
        loop_.at(began_ + plan_.settle, [this] { clients_.start(began_ + plan_.lasts); });
        for (const FaultPlan& f : plan_.faults) loop_.at(began_ + f.at, [this, &f] { strike(f); });
        loop_.at(began_ + plan_.lasts, [this] {
            Span reading = plan_.bounds.contact + Span::seconds(1);
            operators_.readBack(reading, true);
            readUntil_ = loop_.now() + reading + Span::millis(1200);
            mayEnd();
        });
        if (countsAtRest(plan_)) {
            Instant until = began_ + plan_.settle - Span::millis(200);
            for (Instant at : {until - kRest, until}) {
                loop_.at(at, [this] { machines_.count(); });
                loop_.at(at + Span::millis(150), [this] {
                    auto [out, in] = machines_.counted();
                    double over = plan_.edges * kRest.inSeconds();
                    out_.restOut = out / over - out_.restOut, out_.restIn = in / over - out_.restIn;
                });
            }
        }
        look(), probe(), progress();
        loop_.run();
        return result();
    }

  private:
    static std::vector<std::string> zoneNames(const Plan& plan) {
        std::vector<std::string> names;
        for (int i = 0; i < plan.zones; ++i) names.push_back(std::string("z-") + static_cast<char>('a' + i));
        return names;
    }
    static std::vector<ServicePlan> servicesOf(const Plan& plan) {
        std::vector<ServicePlan> all;
        for (size_t g = 0; g < plan.groups.size(); ++g) {
            const GroupPlan& p = plan.groups[g];
            for (int i = 0; i < p.count; ++i)
                all.push_back({p.name + "-" + std::to_string(i), static_cast<int>(g), p.slots, p.memoryMb,
                               p.connections, p.boot});
        }
        return all;
    }
    static std::vector<bool> coreFlags(const Plan& plan) {
        std::vector<bool> flags(static_cast<size_t>(plan.edges), false);
        flags.resize(static_cast<size_t>(plan.edges + plan.cores + plan.spares), true);
        return flags;
    }

    void note(const std::string& words) {
        out_.faults.emplace_back((loop_.now() - began_).inSeconds(), words);
        if (!options_.quiet) std::fprintf(stderr, "%5.1f s  %s\n", out_.faults.back().first, words.c_str());
    }

    std::vector<int> drawn(const FaultPlan& f) {
        std::vector<int> all;
        for (const std::string& name : f.machines)
            for (size_t i = 0; i < machines_.all().size(); ++i) {
                const Machine& m = machines_.all()[i];
                if (m.out && name != m.name) continue;  // by its name: a cut may begin before it comes
                bool meant = name == m.name || name == "all" || name == (m.core ? "core" : "edge");
                if (meant && std::find(all.begin(), all.end(), static_cast<int>(i)) == all.end())
                    all.push_back(static_cast<int>(i));
            }
        if (f.count > 0 && static_cast<size_t>(f.count) < all.size()) {
            std::shuffle(all.begin(), all.end(), chance_);
            all.resize(static_cast<size_t>(f.count));
            std::sort(all.begin(), all.end());
        }
        return all;
    }

    void count(const FaultPlan& f, size_t machines) {
        auto& [times, at] = out_.strikes[std::string(wordOf(f.kind))];
        bool acker = f.kind == Kind::afterAckKill || f.kind == Kind::afterAckWipe;
        ++times, at += acker ? 1 : static_cast<int>(machines);
    }

    void strike(const FaultPlan& f) {
        Instant now = loop_.now();
        std::string words(wordOf(f.kind));
        std::vector<int> struck = atMachines(f.kind) ? drawn(f) : std::vector<int>();
        for (int n : struck) words += " " + machines_.all()[static_cast<size_t>(n)].name;
        for (const std::string& name : f.to) words += (&name == &f.to[0] ? " | " : " ") + name;
        if (f.oneWay) words += ", one way";
        if (f.kind != Kind::readConfig) count(f, struck.size());
        if (!f.program.empty()) words += " " + f.program;
        if (f.kind == Kind::readConfig) return operators_.readBack(Span::millis(300), false);
        note(words);
        if (f.kind == Kind::kill || f.kind == Kind::wipe) machines_.strikeDead(struck, f.program);
        for (int n : struck) {
            if (f.kind == Kind::kill) machines_.kill(n, f.lasts, false, f.program);
            if (f.kind == Kind::wipe) machines_.kill(n, f.lasts, true);
            if (f.kind == Kind::freeze) machines_.freeze(n, f.lasts);
            if (f.kind == Kind::term) machines_.terminate(n, f.lasts);
            if (f.kind == Kind::hup) machines_.reload(n);
            if (f.kind == Kind::replace || f.kind == Kind::replacePlanned) replace(n, f);
        }
        if (f.kind == Kind::powerLost) machines_.losePower(struck, f.lasts);
        if (atDisks(f.kind)) machines_.harmDisks(struck, f.kind, f.value, f.lasts);
        if (atLinks(f.kind)) {
            LinkTrouble t{struck, {}, !f.oneWay, 0, Span(), 0};
            FaultPlan other;
            other.machines = f.to.empty() ? std::vector<std::string>{"all"} : f.to;
            for (int n : drawn(other))
                if (!f.to.empty() || struck.size() == machines_.all().size() ||
                    std::find(struck.begin(), struck.end(), n) == struck.end())
                    t.to.push_back(n);
            if (f.kind == Kind::linkCut) t.loss = 1;
            if (f.kind == Kind::linkLoss) t.loss = f.share;
            if (f.kind == Kind::linkDelay) t.delay = f.value;
            if (f.kind == Kind::linkSqueeze) t.bytesPerSecond = f.rate;
            machines_.harmLinks(t, f.lasts);
        }
        if (atEndpoints(f.kind)) {
            judge_.disturbed(now, now + f.lasts);
            platform_.strike(f);
        }
        switch (f.kind) {
            case Kind::afterAckKill:
            case Kind::afterAckWipe:
            case Kind::afterAckPower:
                operators_.onNextAck([this, &f, struck](int core) {
                    note(std::string(wordOf(f.kind)) + ": " +
                         machines_.all()[static_cast<size_t>(core)].name + " has just acknowledged");
                    if (f.kind != Kind::afterAckPower)
                        return machines_.kill(core, f.lasts, f.kind == Kind::afterAckWipe);
                    std::vector<int> all = struck;
                    if (std::find(all.begin(), all.end(), core) == all.end()) all.push_back(core);
                    machines_.losePower(all, f.lasts);
                });
                operators_.change();
                break;
            case Kind::workerCrash:
                for (int i = 0; i < f.count; ++i) platform_.crashWorker(f.lasts);
                break;
            case Kind::workerDrain:
                for (int i = 0; i < f.count; ++i) platform_.drainWorker(f.lasts);
                break;
            case Kind::platformDown:
            case Kind::platformSlow:
                judge_.platformAway(now, true);
                if (f.kind == Kind::platformDown)
                    platform_.setDown(true);
                else
                    platform_.setSlow(f.value);
                loop_.at(now + f.lasts, [this] {
                    platform_.setDown(false), platform_.setSlow(Span());
                    judge_.platformAway(loop_.now(), false);
                });
                break;
            case Kind::burst:
                clients_.burst(f.group, f.factor, f.lasts);
                break;
            case Kind::configChange:
                operators_.change();
                break;
            case Kind::configRace:
                operators_.race();
                break;
            case Kind::badConfig:
                operators_.bad();
                break;
            case Kind::oldConfig:
                operators_.old();
                break;
            default:
                break;
        }
    }

    void replace(int old, const FaultPlan& f) {
        const bool planned = f.kind == Kind::replacePlanned;
        const int successor = machines_.replace(old, f.lasts, planned);
        if (successor < 0) return note("nobody is left to take the place of " + nameOf(old));
        note(nameOf(successor) + " comes in the place of " + nameOf(old));
        const Instant begins =
            loop_.now() + f.lasts;  // planned: the old one is told to end; else the new one comes
        replacements_.watch(old, successor, begins, planned);
    }
    const std::string& nameOf(int machine) const {
        return machines_.all()[static_cast<size_t>(machine)].name;
    }

    void look() {
        Instant now = loop_.now();
        // What the stage itself was late by: a host that is too busy is no fault of the system's.
        if (lookedAt_ > Instant())
            out_.stageLagMs = std::max(out_.stageLagMs, (now - lookedAt_ - kLook).inSeconds() * 1e3);
        lookedAt_ = now;
        judge_.watching(now);
        machines_.look();
        loop_.at(now + kLook, [this] { look(); });
    }

    void probe() {
        operators_.probe();
        loop_.at(loop_.now() + kProbe, [this] { probe(); });
    }

    void progress() {
        if (options_.quiet) return;
        long asked = 0, served = 0;
        for (const FlowResult& r : clients_.results()) asked += r.asked, served += r.inAim + r.late;
        std::fprintf(stderr, "%5.1f s  %ld asked, %ld served, %zu under way, %d breaches\n",
                     (loop_.now() - began_).inSeconds(), asked, served, clients_.underWay(), judge_.all());
        loop_.at(loop_.now() + Span::seconds(5), [this] { progress(); });
    }

    void mayEnd() {
        Instant now = loop_.now();
        bool done = clients_.underWay() == 0 && now > readUntil_;
        if (done || now > began_ + plan_.lasts + kAfterwards) return loop_.stop();
        loop_.at(now + Span::millis(100), [this] { mayEnd(); });
    }

    Outcome result() {
        clients_.giveUp();
        judge_.finish(loop_.now());
        machines_.endAll();
        out_.name = plan_.name, out_.seed = plan_.seed, out_.seconds = (loop_.now() - began_).inSeconds();
        for (const FlowPlan& f : plan_.flows)
            out_.flowNames.push_back(f.name + (f.repeatable ? "" : " (once only)"));
        out_.flows = clients_.results(), out_.breaches = judge_.breaches(),
        out_.changes = operators_.results();
        for (size_t r = 0; r < kRules; ++r) out_.broken[r] = judge_.broken(static_cast<Rule>(r));
        out_.platform = platform_.counts(), out_.readVersion = operators_.readVersion();
        out_.readWell = operators_.readWell(), out_.fileLosses = machines_.fileLosses();
        out_.reads = operators_.reads(), out_.ownEnds = machines_.ownEnds();
        out_.connections = clients_.connections(), out_.cpuSeconds = machines_.cpuSeconds();
        out_.memoryMb = machines_.mostMemoryMb(), out_.began = began_;
        out_.replacements = replacements_.results();
        return out_;
    }

    const Plan& plan_;
    const StageOptions& options_;
    network::Loop loop_;
    Instant began_;
    NetworkClaim claim_;
    uint32_t network_;
    std::vector<std::string> zones_;
    std::vector<ServicePlan> services_;
    Judge judge_;
    Machines machines_;
    Platform platform_;
    Door door_;
    Clients clients_;
    Operators operators_;
    Replacements replacements_;
    std::mt19937_64 chance_;
    Instant readUntil_, lookedAt_;
    Outcome out_;
};

}  // namespace

long Outcome::asked() const {
    long n = 0;
    for (const FlowResult& f : flows) n += f.asked;
    return n;
}

long Outcome::served() const {
    long n = 0;
    for (const FlowResult& f : flows) n += f.inAim + f.late;
    return n;
}

bool countsAtRest(const Plan& plan) { return plan.settle >= kRest * 2.0; }

Outcome play(const Plan& plan, const StageOptions& options) {
    for (const char* program : {"petrel-proxy", "petrel-agent", "petrel-control-plane"})
        if (access((options.programs + "/" + program).c_str(), X_OK) != 0)
            throw std::runtime_error(options.programs + "/" + program +
                                     ": no such program; name its folder by --programs");
    allowManyDescriptors();
    return Stage(plan, options).run();
}

std::string inWords(const Outcome& o) {
    std::string out;
    char line[256];
    auto say = [&](auto... words) {
        std::snprintf(line, sizeof line, words...);
        out += line;
    };
    say("%s, seed %llu, %.1f s\n\n", o.name.c_str(), static_cast<unsigned long long>(o.seed), o.seconds);
    say("  %-24s %7s %8s %6s %8s %7s %6s %8s %8s\n", "requests", "asked", "in aim", "late", "refused",
        "failed", "tries", "p50 ms", "p99 ms");
    for (size_t i = 0; i < o.flows.size(); ++i) {
        FlowResult f = o.flows[i];
        std::sort(f.millis.begin(), f.millis.end());
        auto at = [&](double q) {
            return f.millis.empty()
                       ? 0
                       : f.millis[static_cast<size_t>(q * static_cast<double>(f.millis.size() - 1))];
        };
        say("  %-24s %7ld %8ld %6ld %8ld %7ld %6ld %8.0f %8.0f\n", o.flowNames[i].c_str(), f.asked, f.inAim,
            f.late, f.refused, f.failed + f.open, f.tries, at(0.5), at(0.99));
        if (f.left > 0) say("      %ld clients left before their answer\n", f.left);
        if (f.lastStatus.empty()) continue;
        out += "      not served, by their last answer:";
        for (auto [status, n] : f.lastStatus)
            out +=
                " " + (status == 0 ? std::string("none") : std::to_string(status)) + " " + std::to_string(n);
        out += "\n";
    }
    say("  %ld of %ld served\n\n", o.served(), o.asked());
    if (!o.faults.empty()) out += "faults\n";
    for (const auto& [second, words] : o.faults) {
        say("  %5.1f s  ", second);
        out += words + "\n";
    }
    out += o.faults.empty() ? "configuration\n" : "\nconfiguration\n";
    for (const ChangeResult& c : o.changes) {
        say("  %5.1f s  version %lld%s: ", (c.offeredAt - o.began).inSeconds(),
            static_cast<long long>(c.version), c.valid ? "" : " (invalid)");
        if (c.ackedAt != Instant::never())
            say("acknowledged after %.3f s, %d calls", (c.ackedAt - c.offeredAt).inSeconds(), c.calls);
        else if (c.refusedWith)
            say("refused with %d", c.refusedWith);
        else
            say("no clear answer, %d calls", c.calls);
        if (c.allActAt != Instant::never())
            say("; all senders act on it %.3f s later", (c.allActAt - c.ackedAt).inSeconds());
        else if (c.acting > 0)
            say("; %zu senders seen to act on it", c.acting);
        out += "\n";
    }
    long acked = std::count_if(o.changes.begin(), o.changes.end(),
                               [](const ChangeResult& c) { return c.ackedAt != Instant::never(); });
    say("  %ld acknowledged; read back at the end: version %lld, %d reads, %d answered\n\n", acked,
        static_cast<long long>(o.readVersion), o.reads, o.readWell);
    if (!o.strikes.empty()) out += "troubles, and machines struck\n ";
    for (const auto& [word, n] : o.strikes) say(" %s %d/%d", word.c_str(), n.first, n.second);
    if (o.fileLosses > 0) say("; %d files lost what was not synced", o.fileLosses);
    if (!o.strikes.empty()) out += "\n\n";
    out += inWords(o.replacements);
    const PlatformCounts& p = o.platform;
    say("platform: %ld lists, %ld starts, %ld stops, %ld without room, %ld over the rate, %ld by an old "
        "holder; most %zu endpoints at once\n",
        p.lists, p.starts, p.stops, p.noRoom, p.rationed, p.fenced, p.mostInstances);
    say("endpoints: %ld runs, %ld turned away, %ld to a stranger, %ld answers struck, %ld crashed, %ld "
        "connections (%ld of clients)\n",
        p.runs, p.full, p.misdirected, p.struck, p.crashed, p.connects, o.connections);
    say("processes: %.2f s of the processor, most memory of one %.0f MB, %d ended by themselves; the stage "
        "was late by %.0f ms at most\n\n",
        o.cpuSeconds, o.memoryMb, o.ownEnds, o.stageLagMs);
    if (o.restOut > 0)
        say("a sender at rest says %.0f and hears %.0f bytes a second\n\n", o.restOut, o.restIn);
    if (o.breaches.empty()) return out + "no rule broken\n";
    for (size_t r = 0; r < kRules; ++r)
        if (o.broken[r] > 0)
            say("RULE %s BROKEN, %d times\n", std::string(nameOf(static_cast<Rule>(r))).c_str(), o.broken[r]);
    std::array<int, kRules> shown{};
    for (const Breach& b : o.breaches) {
        if (++shown[static_cast<size_t>(b.rule)] > 5) continue;
        say("  %7.3f s  %s: ", (b.at - o.began).inSeconds(), std::string(nameOf(b.rule)).c_str());
        out += b.words + "\n";
    }
    return out;
}

}  // namespace petrelpond::range
