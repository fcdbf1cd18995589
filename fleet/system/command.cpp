#include "fleet/system/command.hpp"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <iostream>
#include <stdexcept>

#include "fleet/system/stage.hpp"

namespace petrelpond::range {

namespace {

constexpr int kBroken = 1, kVoid = 3;  // as petrelfleet's other subcommands

std::string programsFolder(const std::string& said) {
    if (!said.empty()) return said;
    std::error_code error;
    auto beside = std::filesystem::read_symlink("/proc/self/exe", error).parent_path();
    return std::filesystem::exists(beside / "petrel-proxy", error) ? beside.string() : "./target";
}

}  // namespace

struct Command::Parts {
    CLI::App *all, *demo, *run, *check, *kills, *storm, *replacements, *cuts, *soak;
    std::string file, programs, keep, defect;
    uint64_t seed = 0;
    int plays = 1;
    bool quiet = false;
    KillsPlan long_;
    StormPlan storm_;
    ReplacementsPlan replacements_;
    CutsPlan cuts_;
    SoakPlan soak_;
    int edges = 0, cores = 0;  // 0: as the file says

    int play(Plan plan) {
        int code = 0;
        for (int i = 0; i < plays; ++i, ++plan.seed) {
            auto pattern = (std::filesystem::temp_directory_path() / "petrelrange-XXXXXX").string();
            std::string folder = keep;
            if (keep.empty()) {
                if (!mkdtemp(pattern.data())) throw std::runtime_error("no folder to be made in " + pattern);
                folder = pattern;
            }
            // What is made inside the programs needs the range's own set of them.
            bool own = plan.needsWeather() || !defect.empty() || countsAtRest(plan);
            std::string from = programsFolder(programs) + (own && programs.empty() ? "/range" : "");
            Outcome o = range::play(plan, {from, folder, quiet, defect});
            std::cout << inWords(o) << std::flush;
            std::error_code error;
            if (keep.empty()) std::filesystem::remove_all(folder, error);
            if (o.interrupted) return kVoid;
            if (!o.fine())
                code = kBroken;
            else if (o.served() == 0 && code == 0)
                code = kVoid;
        }
        return code;
    }
};

Command::Command(CLI::App& app) : parts_(std::make_unique<Parts>()) {
    Parts& p = *parts_;
    p.all = app.add_subcommand("system",
                               "the whole system as real processes, with stand-ins of everything round it");
    p.all->require_subcommand(1);
    auto usual = [&p](CLI::App* c) {
        c->add_option("--programs", p.programs,
                      "folder of petrel-proxy, petrel-agent and petrel-control-plane (beside petrelfleet, "
                      "else ./target)");
        c->add_option("--keep", p.keep, "keep the machines' folders with logs and disks here");
        c->add_option("--seed", p.seed, "in place of the file's");
        c->add_flag("-q,--quiet", p.quiet, "no progress");
        c->add_option("-n,--plays", p.plays, "how many, each with the next seed")->check(CLI::Range(1, 1000));
    };
    auto defects = [&p](CLI::App* c) {
        c->add_option("--defect", p.defect,
                      "cores that are broken on purpose, as consensus's search knows them")
            ->check(CLI::IsMember({"hasty-amnesiac", "ack-before-sync", "no-write-back", "forgets-promise"}));
    };
    p.demo = p.all->add_subcommand(
        "demo", "20 s: six senders, three cores, a herd kill, a lost disk, a worker's crash");
    usual(p.demo);
    p.run = p.all->add_subcommand("run", "play a scenario file");
    p.run->add_option("scenario", p.file, "the file (TOML)")->required();
    p.run->add_option("--senders", p.edges, "in place of the file's")->check(CLI::Range(1, 200));
    p.run->add_option("--cores", p.cores, "in place of the file's")->check(CLI::Range(1, 9));
    usual(p.run), defects(p.run);
    p.check = p.all->add_subcommand("check", "read a scenario file and name every mistake in it by line");
    p.check->add_option("scenario", p.file, "the file (TOML)")->required();
    p.kills =
        p.all->add_subcommand("kills", "a long play of single losses, drawn by the seed, under changes");
    p.kills->add_option("--kills", p.long_.kills, "kills, freezes, ends and crashes")
        ->check(CLI::Range(0, 10000));
    p.kills->add_option("--wipes", p.long_.wipes, "disks lost")->check(CLI::Range(0, 10000));
    usual(p.kills);
    p.storm = p.all->add_subcommand(
        "storm", "rounds of kills, losses of power, lost and troubled disks, cuts and harmed links");
    p.storm->add_option("--rounds", p.storm_.rounds)->check(CLI::Range(1, 10000));
    p.storm->add_option("--senders", p.storm_.edges)->check(CLI::Range(1, 200));
    p.storm->add_option("--cores", p.storm_.cores)->check(CLI::Range(3, 9));
    usual(p.storm), defects(p.storm);
    p.replacements = p.all->add_subcommand(
        "replacements", "core machines that are replaced, planned or not, each followed by a second loss");
    p.replacements->add_option("--replacements", p.replacements_.replacements)
        ->check(CLI::Range(1, kMostSpares));
    p.replacements->add_option("--senders", p.replacements_.edges)->check(CLI::Range(1, 200));
    p.replacements->add_option("--functions", p.replacements_.functions)->check(CLI::Range(1, 2000));
    p.replacements->add_option("--cores", p.replacements_.cores)->check(CLI::Range(3, 9));
    usual(p.replacements), defects(p.replacements);
    p.cuts = p.all->add_subcommand("cuts", "cuts of 5 to 25 s of every shape, with orders on both sides");
    p.cuts->add_option("--cuts", p.cuts_.cuts)->check(CLI::Range(1, 1000));
    p.cuts->add_option("--senders", p.cuts_.edges)->check(CLI::Range(1, 200));
    p.cuts->add_option("--cores", p.cuts_.cores)->check(CLI::Range(3, 9));
    usual(p.cuts), defects(p.cuts);
    p.soak = p.all->add_subcommand(
        "soak",
        "signals, restarts, losses and changes in series that overlap, on connections that stay in use");
    p.soak->add_option("--seconds", p.soak_.seconds)->check(CLI::Range(30, 100000));
    p.soak->add_option("--senders", p.soak_.edges)->check(CLI::Range(1, 200));
    p.soak->add_option("--cores", p.soak_.cores)->check(CLI::Range(3, 9));
    usual(p.soak), defects(p.soak);
}

Command::~Command() = default;

std::optional<int> Command::run() {
    Parts& p = *parts_;
    if (!*p.all) return std::nullopt;
    if (*p.kills) {
        p.long_.seed = std::max<uint64_t>(1, p.seed);
        return p.play(killsPlan(p.long_));
    }
    if (*p.storm) {
        p.storm_.seed = std::max<uint64_t>(1, p.seed);
        return p.play(stormPlan(p.storm_));
    }
    if (*p.replacements) {
        p.replacements_.seed = std::max<uint64_t>(1, p.seed);
        return p.play(replacementsPlan(p.replacements_));
    }
    if (*p.cuts) {
        p.cuts_.seed = std::max<uint64_t>(1, p.seed);
        return p.play(cutsPlan(p.cuts_));
    }
    if (*p.soak) {
        p.soak_.seed = std::max<uint64_t>(1, p.seed);
        return p.play(soakPlan(p.soak_));
    }
    Plan plan = *p.demo ? readPlan(demoPlan(), "demo") : readPlanFile(p.file);
    if (p.seed > 0) plan.seed = p.seed;
    if (p.edges > 0) plan.edges = p.edges;
    if (p.cores > 0) plan.cores = p.cores;
    if (*p.check) {
        std::cout << p.file << ": " << plan.edges << " senders, " << plan.cores << " cores, "
                  << plan.groups.size() << " groups, " << plan.flows.size() << " flows, "
                  << plan.faults.size() << " faults in " << plan.lasts.inSeconds() << " s\n";
        return 0;
    }
    return p.play(std::move(plan));
}

}  // namespace petrelpond::range
