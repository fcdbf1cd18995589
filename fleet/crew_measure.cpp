#include "fleet/crew_measure.hpp"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <set>
#include <sstream>

#include "fleet/crew_model.hpp"
#include "fleet/report.hpp"

namespace petrelpond::fleet {

namespace {

using crew::State;

constexpr Span kTogetherMost = Span::seconds(300), kFoundMost = Span::seconds(120), kStep = Span::millis(100);

LinkFault lossOf(double share) {
    LinkFault f;
    f.what = LinkFault::Kind::loss, f.lasts = Span::seconds(1e6), f.share = share;
    return f;
}

// How many of the others hold it to be so, or further gone.
int holding(const CrewModel& model, int member, State least) {
    int n = 0;
    for (int v = 0; v < model.members(); ++v) {
        if (v == member || !model.core(v)) continue;
        auto s = model.core(v)->seen(model.localNow(v), CrewModel::nameOf(member));
        n += s && s->state >= least;
    }
    return n;
}

long deathsIn(const CrewModel& model) {
    long n = 0;
    for (int m = 0; m < model.members(); ++m) n += model.core(m) ? model.core(m)->count(crew::Counted::deaths) : 0;
    return n;
}

}  // namespace

double medianOf(std::vector<double> v) {
    if (v.empty()) return 0;
    std::sort(v.begin(), v.end());
    return v.size() % 2 == 1 ? v[v.size() / 2] : (v[v.size() / 2 - 1] + v[v.size() / 2]) / 2;
}
double mostOf(const std::vector<double>& v) { return v.empty() ? 0 : *std::max_element(v.begin(), v.end()); }

CrewFigures measureCrew(const CrewMeasure& measure) {
    CrewFigures out;
    out.members = measure.members, out.loss = measure.loss;
    CrewSetup setup;
    setup.members = measure.members, setup.seed = measure.seed;
    if (measure.loss > 0) setup.links = {lossOf(measure.loss)};
    CrewModel model(setup);
    for (int m = 0; m < measure.members; ++m) model.start(m);
    auto all = [&] {
        for (int m = 0; m < measure.members; ++m) {
            if (model.core(m)->living() < static_cast<size_t>(measure.members)) return false;
        }
        return true;
    };
    while (!all() && model.now() < Instant() + kTogetherMost) model.runUntil(model.now() + kStep);
    out.together = (model.now() - Instant()).inSeconds();
    // What is still to be passed on from the start is no part of rest.
    model.runUntil(model.now() + Span::seconds(10));
    std::vector<long> bytes;
    for (int m = 0; m < measure.members; ++m) bytes.push_back(model.bytesOut(m));
    long deaths = deathsIn(model);
    model.runUntil(model.now() + measure.quiet);
    out.falseDeaths = deathsIn(model) - deaths;
    out.memberHours = measure.members * measure.quiet.inSeconds() / 3600;
    for (int m = 0; m < measure.members; ++m) {
        double each = static_cast<double>(model.bytesOut(m) - bytes[static_cast<size_t>(m)]) / measure.quiet.inSeconds();
        out.bytesASecond += each / measure.members, out.bytesMost = std::max(out.bytesMost, each);
    }
    // One after the other, so that each is found by a whole crew; those killed stay away.
    int kills = std::min(measure.kills, std::max(1, measure.members / 3));
    for (int k = 0; k < kills; ++k) {
        int victim = measure.members - 1 - k, others = measure.members - 1 - k;
        Instant killed = model.now() + Span::millis(37 * (k + 1));
        model.runUntil(killed);
        model.kill(victim);
        double doubted = -1, dead = -1, known = -1;
        while (known < 0 && model.now() < killed + kFoundMost) {
            model.runUntil(model.now() + Span::millis(20));
            double after = (model.now() - killed).inSeconds();
            if (doubted < 0 && holding(model, victim, State::doubted) > 0) doubted = after;
            if (dead < 0 && holding(model, victim, State::dead) > 0) dead = after;
            if (holding(model, victim, State::dead) == others) known = after;
        }
        double most = kFoundMost.inSeconds();
        out.doubted.push_back(doubted < 0 ? most : doubted), out.dead.push_back(dead < 0 ? most : dead);
        out.known.push_back(known < 0 ? most : known);
        model.runUntil(model.now() + Span::seconds(5));
    }
    out.steps = model.steps();
    return out;
}

CrewFigures measureCrewPlay(const CrewMeasure& measure, const Command& sender, const std::string& folder) {
    CrewFigures out;
    out.members = measure.members, out.loss = measure.loss;
    CrewPlay play;
    play.members = measure.members, play.seed = measure.seed, play.sender = sender, play.folder = folder;
    if (measure.loss > 0) play.links = {lossOf(measure.loss)};
    int kills = std::min(measure.kills, std::max(1, measure.members / 3));
    double quiet = measure.quiet.inSeconds(), between = 20;
    for (int k = 0; k < kills; ++k)
        play.steps.push_back({Span::seconds(quiet + between * k), CrewStep::What::kill, measure.members - 1 - k});
    play.lasts = Span::seconds(quiet + between * kills);
    play.lookEvery = measure.members > 100 ? Span::millis(1000) : Span::millis(250);
    CrewRun run = playCrew(play);
    out.together = (run.allThere - Instant()).inSeconds();
    out.memberHours = measure.members * quiet / 3600;
    std::set<std::pair<size_t, size_t>> wrong;
    std::vector<double> doubted(static_cast<size_t>(kills), -1), dead = doubted, known = doubted;
    for (const CrewLook& look : run.looks) {
        double at = look.at.inMicros() / 1e6;
        for (size_t v = 0; v < look.views.size(); ++v) {
            for (size_t m = 0; m < look.views.size(); ++m) {
                bool held = look.views[v].answered && look.views[v].states[m] == State::dead;
                if (held && at < quiet && wrong.insert({v, m}).second) ++out.falseDeaths;
                if (!held) wrong.erase({v, m});
            }
        }
        for (int k = 0; k < kills; ++k) {
            auto i = static_cast<size_t>(k), victim = static_cast<size_t>(measure.members - 1 - k);
            double after = at - play.steps[i].at.inSeconds();
            if (after < 0) continue;
            int n = 0, gone = 0, unsure = 0;
            for (size_t v = 0; v < look.views.size(); ++v) {
                if (!look.runs[v] || !look.views[v].answered || v == victim) continue;
                auto state = look.views[v].states[victim];
                ++n, gone += state >= State::dead, unsure += state >= State::doubted;
            }
            if (doubted[i] < 0 && unsure > 0) doubted[i] = after;
            if (dead[i] < 0 && gone > 0) dead[i] = after;
            if (known[i] < 0 && n > 0 && gone == n) known[i] = after;
        }
    }
    for (auto* each : {&doubted, &dead, &known}) {
        for (double& v : *each) v = v < 0 ? between : v;
    }
    out.doubted = doubted, out.dead = dead, out.known = known;
    return out;
}

std::string crewTable(const std::vector<CrewFigures>& all) {
    std::ostringstream out;
    out << std::fixed;
    out << "| members | loss | all know all, s | first doubt, s | first holds it dead, s | all do, s (most) | false deaths an hour "
           "and member | bytes a second, mean (most) |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const CrewFigures& f : all) {
        out << "| " << f.members << " | " << std::setprecision(0) << 100 * f.loss << "% | " << std::setprecision(1) << f.together
            << " | " << medianOf(f.doubted) << " | " << medianOf(f.dead) << " | " << medianOf(f.known) << " (" << mostOf(f.known)
            << ") | " << std::setprecision(3) << f.falseAnHour() << " | " << std::setprecision(0);
        if (f.bytesASecond > 0) out << f.bytesASecond << " (" << f.bytesMost << ")";
        out << " |\n";
    }
    return out.str();
}

std::string crewPage(const std::vector<CrewFigures>& all) {
    std::map<double, std::vector<const CrewFigures*>> byLoss;
    std::vector<std::string> sizes;
    for (const CrewFigures& f : all) byLoss[f.loss].push_back(&f);
    for (const CrewFigures* f : byLoss.begin()->second) sizes.push_back(std::to_string(f->members));
    auto curves = [&](auto of) {
        std::vector<Curve> out;
        for (const auto& [loss, figures] : byLoss) {
            Curve c;
            c.name = shown(100 * loss) + "% loss", c.colour = static_cast<int>(out.size());
            for (const CrewFigures* f : figures) c.values.push_back(of(*f));
            out.push_back(std::move(c));
        }
        return out;
    };
    std::vector<std::string> plots = {
        plot("Time until all hold a killed member dead", "s, median", curves([](auto& f) { return medianOf(f.known); }), sizes, "members"),
        plot("Time until the first doubt", "s, median", curves([](auto& f) { return medianOf(f.doubted); }), sizes, "members"),
        plot("False deaths", "an hour and member", curves([](auto& f) { return f.falseAnHour(); }), sizes, "members"),
        plot("Sent by each member at rest", "bytes a second, mean", curves([](auto& f) { return f.bytesASecond; }), sizes, "members"),
        plot("From a common start until all know all", "s", curves([](auto& f) { return f.together; }), sizes, "members")};
    return plotPage("Members of a crew, in simulated time", plots);
}

}  // namespace petrelpond::fleet
