#include "fleet/crew_search.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "fleet/crew_model.hpp"

namespace petrelpond::fleet {

namespace {

using crew::Record;
using crew::State;

// What a schedule may not do to a viewer, told without the core's own words: lives in the order in which they
// began, in each life the incarnation, in that the state.
bool backwards(const Record& was, const Record& is) {
    if (was.joined != is.joined) return is.joined < was.joined;
    if (was.life != is.life) return is.life > was.life;
    if (was.incarnation != is.incarnation) return is.incarnation < was.incarnation;
    return is.state < was.state;
}

std::string shown(const Record& r) {
    std::ostringstream out;
    out << r.name << " " << wordOf(r.state) << " (joined " << r.joined << ", incarnation " << r.incarnation << ")";
    return out.str();
}

struct Step {
    Instant at;
    enum class What { kill, start, startLost, stop, go, leave } what;
    int member;
};

class Schedule {
  public:
    Schedule(uint64_t seed, const CrewSearch& search) : search_(search), seed_(seed), chance_(static_cast<uint32_t>(seed)) {}

    void play(CrewFindings& findings);

  private:
    int below(int n) { return static_cast<int>(chance_() % static_cast<uint32_t>(n)); }
    Instant when() { return Instant() + Span::millis(2000 + below(static_cast<int>(search_.faults.inMicros() / 1000) - 2000)); }
    std::vector<LinkFault> drawLinks(int n);
    std::vector<Step> drawSteps(int n);
    void look(CrewModel& model, int viewer, CrewFindings& findings);
    void majority(CrewModel& model, CrewFindings& findings);
    bool agree(const CrewModel& model, std::string& why) const;
    void found(CrewFindings& findings, Instant at, const std::string& words) const {
        std::ostringstream out;
        out << "seed " << seed_ << ", " << at.inMicros() / 1e6 << " s: " << words;
        findings.violations.push_back(out.str());
    }

    const CrewSearch& search_;
    uint64_t seed_;
    std::mt19937 chance_;
    std::vector<std::map<std::string, Record>> seen_;  // by viewer, over its process's life
    std::vector<uint64_t> lifeOf_;
    std::vector<LinkFault> faults_;
    std::set<int> leftByWord_;
};

std::vector<LinkFault> Schedule::drawLinks(int n) {
    std::vector<LinkFault> faults;
    using Kind = LinkFault::Kind;
    for (int i = below(5); i >= 0; --i) {
        LinkFault f;
        static constexpr Kind kinds[] = {Kind::loss, Kind::delay,     Kind::twice,     Kind::reorder, Kind::spoil, Kind::stall,
                                         Kind::cut,  Kind::partition, Kind::partition, Kind::chain,   Kind::reset};
        f.what = kinds[below(static_cast<int>(std::size(kinds)))];
        f.at = when() - Instant(), f.lasts = Span::millis(500 + below(20000));
        f.share = f.what == Kind::loss ? 0.1 + 0.1 * below(6) : 0.5;
        f.value = Span::millis(20 + below(600)), f.spread = f.value * 3;
        if (f.what >= Kind::partition) {
            f.sides.resize(static_cast<size_t>(2 + below(2)));
            for (int m = 0; m < n; ++m) f.sides[static_cast<size_t>(below(static_cast<int>(f.sides.size())))].push_back(m);
        } else if (below(3) > 0) {
            for (int k = below(3); k >= 0; --k) f.from.push_back(below(n));
            for (int k = below(3); k >= 0; --k) f.to.push_back(below(n));
            f.both = below(2) == 0;
        }
        faults.push_back(f);
    }
    return faults;
}

std::vector<Step> Schedule::drawSteps(int n) {
    std::vector<Step> steps;
    std::set<int> used;  // one trouble a member, so that each schedule is a possible one
    for (int i = below(n); i > 0; --i) {
        int m = below(n);
        if (!used.insert(m).second) continue;
        Instant at = when(), later = at + Span::millis(100 + below(25000));
        switch (below(6)) {
            case 0:
                steps.push_back({at, Step::What::kill, m});
                break;
            case 1:
                steps.push_back({at, Step::What::kill, m}), steps.push_back({later, Step::What::start, m});
                break;
            case 2:
                steps.push_back({at, Step::What::kill, m}), steps.push_back({later, Step::What::startLost, m});
                break;
            case 3:
                steps.push_back({at, Step::What::leave, m});
                break;
            case 4:
                steps.push_back({at, Step::What::leave, m}), steps.push_back({later, Step::What::start, m});
                break;
            default:
                steps.push_back({at, Step::What::stop, m}), steps.push_back({later, Step::What::go, m});
        }
    }
    std::sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    return steps;
}

void Schedule::look(CrewModel& model, int viewer, CrewFindings& findings) {
    auto& seen = seen_[static_cast<size_t>(viewer)];
    crew::Message table = model.core(viewer)->tableFor(model.localNow(viewer), crew::Kind::table);
    if (lifeOf_[static_cast<size_t>(viewer)] != table.life) seen.clear(), lifeOf_[static_cast<size_t>(viewer)] = table.life;
    for (const Record& r : table.records) {
        auto [at, fresh] = seen.emplace(r.name, r);
        if (!fresh && r.name != table.from && backwards(at->second, r)) {
            found(findings, model.now(), "in the view of " + table.from + " " + shown(at->second) + " became " + shown(r));
        }
        at->second = r;
    }
}

// Undisturbed for so long in both directions towards most of those that run, and yet held dead by most of them.
void Schedule::majority(CrewModel& model, CrewFindings& findings) {
    Instant now = model.now(), since = now - search_.answersFor;
    if (since < Instant()) return;
    auto calm = [&](int m) {
        return model.core(m) && !model.stopped(m) && model.since(m) <= since && model.core(m)->phase() == crew::Phase::in;
    };
    for (const LinkFault& f : faults_) {
        if (Instant() + f.at <= now && Instant() + f.at + f.lasts > since) return;  // links were not calm
    }
    int running = 0;
    for (int m = 0; m < model.members(); ++m) running += calm(m);
    for (int m = 0; m < model.members(); ++m) {
        if (!calm(m)) continue;
        int dead = 0;
        for (int v = 0; v < model.members(); ++v) {
            if (v == m || !calm(v)) continue;
            auto s = model.core(v)->seen(model.localNow(v), CrewModel::nameOf(m));
            dead += s && s->state >= State::dead;
        }
        if (2 * dead > running) found(findings, now, CrewModel::nameOf(m) + " answers and is held dead by " + std::to_string(dead));
    }
}

bool Schedule::agree(const CrewModel& model, std::string& why) const {
    for (int v = 0; v < model.members(); ++v) {
        const crew::Members* core = model.core(v);
        if (!core) continue;
        if (core->phase() != crew::Phase::in) return why = CrewModel::nameOf(v) + " takes no part", false;
        for (int m = 0; m < model.members(); ++m) {
            if (m == v) continue;
            auto s = core->seen(model.localNow(v), CrewModel::nameOf(m));
            bool there = s && s->state == State::alive, runs = model.core(m) != nullptr;
            bool gone = !s || s->state >= State::dead;
            if (runs ? there : gone) continue;
            why = CrewModel::nameOf(v) + " believes " + CrewModel::nameOf(m) + " " +
                  (s ? std::string(wordOf(s->state)) : "unknown") + (runs ? ", and it runs" : ", and it does not run");
            return false;
        }
    }
    return true;
}

void Schedule::play(CrewFindings& findings) {
    CrewSetup setup;
    setup.members = search_.fewest + below(search_.most - search_.fewest + 1);
    setup.seed = seed_, setup.seeds = 1 + below(3);
    setup.each.exchangeEvery = Span::seconds(5 + below(20));
    if (below(4) == 0) setup.clockRates = {1, 1.02, 0.98, 1.05};
    setup.links = faults_ = drawLinks(setup.members);
    CrewModel model(setup);
    seen_.resize(static_cast<size_t>(setup.members)), lifeOf_.resize(static_cast<size_t>(setup.members));
    size_t before = findings.violations.size();
    model.afterStep = [&](int viewer) {
        if (findings.violations.size() == before) look(model, viewer, findings);
    };
    std::vector<Step> steps = drawSteps(setup.members);
    for (int m = 0; m < setup.members; ++m) {
        model.runUntil(Instant() + Span::millis(1000 / setup.members) * m);
        model.start(m);
    }
    Instant last = model.links().lastEnd();
    for (const Step& s : steps) last = std::max(last, s.at);
    size_t next = 0;
    Instant end = last + search_.agreeWithin, at = model.now(), agreedSince = Instant::never();
    std::string why;
    while (at < end && findings.violations.size() == before) {
        at = std::min(end, at + Span::millis(500));
        for (; next < steps.size() && steps[next].at <= at; ++next) {
            const Step& s = steps[next];
            model.runUntil(s.at);
            if (s.what == Step::What::kill) model.kill(s.member);
            if (s.what == Step::What::start) model.start(s.member);
            if (s.what == Step::What::startLost) model.start(s.member, true);
            if (s.what == Step::What::stop) model.stop(s.member);
            if (s.what == Step::What::go) model.go(s.member);
            if (s.what == Step::What::leave) model.leave(s.member);
        }
        model.runUntil(at);
        majority(model, findings);
        if (at <= last) continue;
        bool alike = agree(model, why);
        if (!alike) agreedSince = Instant::never();
        if (alike && agreedSince == Instant::never()) agreedSince = at;
        if (alike && at - agreedSince >= Span::seconds(10)) break;
    }
    if (findings.violations.size() == before) {
        if (agreedSince == Instant::never()) found(findings, at, "no agreement: " + why);
        if (agreedSince != Instant::never()) findings.agreedAfter.push_back((agreedSince - last).inSeconds());
    }
    if (findings.violations.size() > before) {
        std::ostringstream all;
        for (int v = 0; v < model.members(); ++v) {
            const crew::Members* core = model.core(v);
            all << "\n      " << CrewModel::nameOf(v) << (core ? " " + std::string(wordOf(core->phase())) : " has no process")
                << (model.stopped(v) ? ", stopped" : "");
            if (!core) continue;
            all << ", health " << core->health() << ":";
            for (const Record& r : core->tableFor(model.localNow(v), crew::Kind::table).records)
                all << " " << r.name << " " << wordOf(r.state) << " " << r.joined << "/" << r.incarnation << ";";
        }
        findings.violations.back() += all.str();
    }
    findings.steps += model.steps();
    ++findings.schedules;
}

}  // namespace

CrewFindings searchCrew(const CrewSearch& search) {
    CrewFindings findings;
    for (uint64_t seed = search.firstSeed; findings.steps < search.steps; ++seed) {
        Schedule(seed, search).play(findings);
        if (findings.violations.size() >= static_cast<size_t>(search.findings)) break;
    }
    return findings;
}

}  // namespace petrelpond::fleet
