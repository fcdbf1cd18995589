// Plays that are drawn by a seed: losses, replacements, cuts and storms, each within what the system is to
// bear.
#include <algorithm>
#include <random>

#include "fleet/system/draw.hpp"

namespace petrelpond::range {

namespace {

// The loss that comes as soon as it may after a replacement; until when it lasts.
Span addSecondLoss(Plan& plan, Draw& draw, Span at, const std::vector<std::string>& here) {
    const std::string victim = draw.of(here);
    const Span away = draw.millis(300, 1500);
    add(plan, Kind::configChange, at - draw.millis(20, 300), Span(), {});
    switch (draw.below(5)) {
        case 0:
            add(plan, Kind::kill, at, away, {victim});
            break;
        case 1:
            add(plan, Kind::freeze, at, away, {victim});
            break;
        case 2:
            add(plan, Kind::afterAckWipe, at, away, {});
            break;
        case 3:
            add(plan, Kind::wipe, at, away, {victim});
            break;
        default:
            add(plan, Kind::wipe, at, away, {victim});
            add(plan, Kind::powerLost, at, away, without(here, {victim}));
    }
    return at + away;
}

}  // namespace

Plan replacementsPlan(const ReplacementsPlan& r) {
    Plan plan = quietPlan("replacements", r.seed, r.edges, r.cores);
    plan.spares = r.replacements;
    if (r.functions > 0) plan.groups.back().count = r.functions;
    Draw draw(r.seed);
    std::vector<std::string> here = coreNames(1, r.cores);
    const bool bearsTwo = r.cores >= 5;
    Span at = plan.settle + Span::seconds(2);
    for (int i = 0; i < r.replacements; ++i) {
        const std::string gone = draw.of(here), come = "core-" + std::to_string(r.cores + i + 1);
        const bool planned = draw.chance(50);
        // Planned work begins once the successor had its time to catch up.
        const Span between = planned ? plan.bounds.catchUp + draw.millis(0, 1500) : draw.millis(300, 3000);
        add(plan, Kind::configChange, at - draw.millis(20, 500), Span(), {});
        add(plan, planned ? Kind::replacePlanned : Kind::replace, at, between, {gone});
        here = without(here, {gone});
        Span second = at + between;
        if (planned) {
            second = second + draw.millis(500, 2000);
        } else if (bearsTwo && draw.chance(50)) {
            second = at + draw.millis(200, 3000);
        } else {
            second = second + plan.bounds.catchUp + draw.millis(50, 1000);
        }
        const Span over = addSecondLoss(plan, draw, second, here);
        here.push_back(come);
        at = std::max(over, at + between + (planned ? plan.bounds.grace : Span())) + plan.bounds.catchUp +
             draw.millis(500, 2000);
        add(plan, Kind::readConfig, at - Span::millis(300), Span(), {});
        at = at + Span::millis(600);
    }
    plan.lasts = at + Span::seconds(3);
    return plan;
}

Plan cutsPlan(const CutsPlan& c) {
    Plan plan = quietPlan("cuts", c.seed, c.edges, c.cores);
    Draw draw(c.seed);
    const std::vector<std::string> all = coreNames(1, c.cores);
    Span at = plan.settle + Span::seconds(2);
    for (int i = 0; i < c.cuts; ++i) {
        const Span lasts = draw.millis(5000, 20000);
        std::vector<std::string> cut = {draw.of(all)};
        if (c.cores >= 5 && draw.chance(40)) cut = {cut.front(), draw.of(without(all, cut))};
        const std::vector<std::string> others = without(all, cut);
        const std::string edge = "edge-" + std::to_string(1 + draw.below(c.edges));
        switch (i % 6) {
            case 0:  // from everybody, both ways
                add(plan, Kind::linkCut, at, lasts, cut);
                break;
            case 1:  // it hears and is not heard
                add(plan, Kind::linkCut, at, lasts, cut).oneWay = true;
                break;
            case 2: {  // it is heard by the senders alone
                add(plan, Kind::linkCut, at, lasts, cut).to = others;
                break;
            }
            case 3: {  // it is heard and hears nobody
                FaultPlan& fault = add(plan, Kind::linkCut, at, lasts, others);
                fault.to = cut, fault.oneWay = true;
                break;
            }
            case 4:  // with one sender on its side
                cut.push_back(edge);
                add(plan, Kind::linkCut, at, lasts, cut).to = others;
                break;
            default:
                add(plan, Kind::freeze, at, lasts, cut);
        }
        // Orders go to any core, on both sides; a sender starts anew in the midst.
        for (Span when = at + draw.millis(100, 700); when < at + lasts;
             when = when + draw.millis(900, 1800)) {
            add(plan, draw.chance(30) ? Kind::configRace : Kind::configChange, when, Span(), {});
            if (draw.chance(30)) add(plan, Kind::readConfig, when + Span::millis(300), Span(), {});
        }
        add(plan, Kind::kill, at + draw.millis(1500, 2500), Span::millis(500), {edge});
        at = at + lasts + plan.bounds.contact * 2.0 + draw.millis(0, 1000);
        add(plan, Kind::readConfig, at - Span::millis(300), Span(), {});
    }
    plan.lasts = at + Span::seconds(3);
    return plan;
}

Plan killsPlan(const KillsPlan& k) {
    Plan plan = readPlan(demoPlan(), "demo");
    plan.name = "kills", plan.seed = k.seed, plan.faults.clear();
    std::mt19937_64 chance(k.seed);
    auto draw = [&](int n) { return static_cast<int>(chance() % static_cast<uint64_t>(n)); };
    std::vector<bool> wipes(static_cast<size_t>(k.kills + k.wipes));
    std::fill_n(wipes.begin(), k.wipes, true);
    std::shuffle(wipes.begin(), wipes.end(), chance);
    Span at = plan.settle + Span::seconds(2), last;
    for (bool wipe : wipes) {
        FaultPlan f;
        f.at = at, f.lasts = Span::millis(300 + draw(2000));
        int kind = draw(10);
        std::string core = "core-" + std::to_string(1 + draw(plan.cores));
        if (wipe) {
            f.kind = draw(3) == 0 ? Kind::afterAckWipe : Kind::wipe;
            if (f.kind == Kind::wipe) f.machines = {core};
        } else if (kind < 3) {
            f.machines = {core};
        } else if (kind < 5) {
            f.machines = {"edge"}, f.count = 1 + draw(3);
        } else if (kind < 6) {  // every process of the core at the same moment: their disks survive
            f.machines = {"core"}, f.lasts = Span::millis(300 + draw(600));
        } else if (kind < 7) {
            f.kind = Kind::freeze,
            f.machines = {draw(2) ? core : "edge-" + std::to_string(1 + draw(plan.edges))};
        } else if (kind < 8) {
            f.kind = Kind::term,
            f.machines = {draw(2) ? core : "edge-" + std::to_string(1 + draw(plan.edges))};
            f.lasts = Span::seconds(1);
        } else if (kind < 9) {
            f.kind = Kind::afterAckKill;
        } else {
            f.kind = Kind::workerCrash, f.count = 1, f.lasts = Span::seconds(2);
        }
        // A change in the midst, and one just before, so that what was just acknowledged is at stake.
        FaultPlan change;
        change.kind = Kind::configChange, change.at = at - Span::millis(200 + draw(400));
        plan.faults.push_back(change), plan.faults.push_back(f);
        Span rest = plan.bounds.catchUp + Span::millis(500 + draw(2500));
        last = f.at + f.lasts + (f.kind == Kind::term ? plan.bounds.grace : Span());
        at = last + rest;
    }
    plan.lasts = at + Span::seconds(3);
    return plan;
}

Plan stormPlan(const StormPlan& s) {
    Plan plan = readPlan(demoPlan(), "demo");
    plan.name = "storm", plan.seed = s.seed, plan.edges = s.edges, plan.cores = s.cores;
    plan.faults.clear();
    std::mt19937_64 chance(s.seed);
    auto draw = [&](int n) { return static_cast<int>(chance() % static_cast<uint64_t>(n)); };
    int losses = std::max(1, (s.cores - 1) / 2);
    // Some cores, at most `most` of them; some senders.
    auto cores = [&](int most) {
        std::vector<std::string> all;
        for (int i = 1; i <= s.cores; ++i) all.push_back("core-" + std::to_string(i));
        std::shuffle(all.begin(), all.end(), chance);
        all.resize(static_cast<size_t>(1 + draw(most)));
        return all;
    };
    auto others = [&](const std::vector<std::string>& these) {
        std::vector<std::string> all;
        for (int i = 1; i <= s.cores; ++i)
            if (std::string name = "core-" + std::to_string(i);
                std::find(these.begin(), these.end(), name) == these.end())
                all.push_back(name);
        return all;
    };
    auto edges = [&] {
        std::vector<std::string> all;
        for (int i = 1 + draw(s.edges), n = 1 + draw(std::min(4, s.edges)); n > 0; --n, ++i)
            all.push_back("edge-" + std::to_string((i - 1) % s.edges + 1));
        return all;
    };
    Span at = plan.settle + Span::seconds(2);
    for (int round = 0; round < s.rounds; ++round) {
        // Out of eight rounds four are of kills and stops, two of power, one of disks and one of cuts.
        static constexpr int order[8] = {0, 1, 0, 2, 0, 1, 0, 3};
        FaultPlan f, beside;
        bool both = false;
        Span rest = Span::millis(1200 + draw(1500)), stretch;
        f.lasts = Span::millis(300 + draw(1200));
        auto add = [&](Kind kind, Span when, Span lasts, std::vector<std::string> machines) {
            FaultPlan more;
            more.kind = kind, more.at = when, more.lasts = lasts, more.machines = std::move(machines);
            plan.faults.push_back(more);
            return &plan.faults.back();
        };
        f.at = at;
        switch (order[round % 8]) {
            case 0:
                switch (draw(8)) {
                    case 0:
                        f.machines = {"core"}, f.lasts = Span::millis(300 + draw(600));
                        break;
                    case 1:
                        f.kind = Kind::afterAckKill;
                        break;
                    case 2:
                        f.kind = Kind::freeze, f.machines = draw(2) ? cores(losses) : edges();
                        break;
                    case 3:
                        f.machines = edges(), f.program = draw(2) ? "petrel-agent" : "petrel-proxy";
                        break;
                    case 4:
                    case 5:
                        f.machines = cores(losses);
                        break;
                    default:
                        f.machines = edges();
                }
                break;
            case 1:
                f.kind = draw(2) ? Kind::afterAckPower : Kind::powerLost;
                f.machines = draw(4) == 0   ? edges()
                             : draw(4) == 0 ? std::vector<std::string>{"all"}
                             : draw(2)      ? std::vector<std::string>{"core"}
                                            : cores(losses);
                // Writes that are under way as the power goes.
                if (draw(2)) {
                    Span slow = Span::millis(60 + draw(300));
                    add(Kind::diskSlow, at - Span::millis(900), Span::seconds(2), {"core"})->value = slow;
                }
                break;
            case 2:
                f.kind = draw(3) == 0 ? Kind::afterAckWipe : Kind::wipe;
                if (f.kind == Kind::wipe) f.machines = cores(losses);
                if (f.kind == Kind::wipe && draw(2))
                    both = true, beside = f, beside.kind = Kind::powerLost,
                    beside.machines = others(f.machines);
                rest = rest + Span::seconds(4);  // a lost disk is rebuilt before another may be lost
                break;
            default:
                f.kind = Kind::linkCut, f.lasts = Span::millis(800 + draw(5000)), f.oneWay = draw(3) == 0;
                switch (draw(4)) {
                    case 0:
                        f.machines = edges(), f.to = {"core"};
                        break;
                    case 1:
                        f.machines = edges();
                        break;
                    case 2:
                        f.machines = cores(losses), f.to = others(f.machines);
                        break;
                    default:
                        f.machines = cores(losses);
                }
        }
        if (draw(4) == 0) {  // and harm that lasts beyond
            Span lasts = Span::millis(500 + draw(2500));
            stretch = lasts;
            switch (draw(6)) {
                case 0:
                    add(Kind::diskStalled, at, lasts, cores(losses));
                    break;
                case 1:
                    add(Kind::diskFull, at, lasts, cores(losses));
                    break;
                case 2:
                    add(Kind::linkLoss, at, lasts, {"all"})->share = 0.02 + 0.01 * draw(20);
                    break;
                case 3:
                    add(Kind::linkDelay, at, lasts, {"all"})->value = Span::millis(10 + draw(150));
                    break;
                case 4:
                    add(Kind::linkSqueeze, at, lasts, {"core"})->rate = 20000 + 1000 * draw(200);
                    break;
                default:
                    add(Kind::workerCrash, at, Span::seconds(2), {})->count = 1;
            }
        }
        // What was just acknowledged, or is under way, is at stake.
        add(Kind::configChange, at - Span::millis(draw(500)), Span(), {});
        plan.faults.push_back(f);
        if (both) plan.faults.push_back(beside);
        if (round % 6 == 5) rest = rest + plan.bounds.contact * 2.0;  // calm, in which all rules hold
        at = at + std::max(f.lasts, stretch) + rest;
        add(Kind::readConfig, at - Span::millis(300), Span(), {});
        at = at + Span::millis(600);
    }
    plan.lasts = at + Span::seconds(3);
    return plan;
}

}  // namespace petrelpond::range
