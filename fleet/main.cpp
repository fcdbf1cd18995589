// The program petrelfleet: stand-ins, the judge, the model and what compares runs, by subcommands.
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

#include "fleet/compare.hpp"
#include "fleet/costs.hpp"
#include "fleet/crew_measure.hpp"
#include "fleet/crew_search.hpp"
#include "fleet/false_sender.hpp"
#include "fleet/harm.hpp"
#include "fleet/model.hpp"
#include "fleet/oracle.hpp"
#include "fleet/report.hpp"
#include "fleet/scenario.hpp"
#include "fleet/stage.hpp"
#ifdef PETRELPOND_RANGE
#include "fleet/system/command.hpp"
#endif

using namespace petrelpond;
using namespace petrelpond::fleet;

namespace {

// 0 all well, 1 a rule was broken or a claim does not hold, 2 wrong input, 3 the run counts for nothing.
constexpr int kBroken = 1, kWrong = 2, kVoid = 3;

std::string besideUs(const char* name) {
    std::error_code error;
    auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    return (self.parent_path() / name).string();
}

// A folder of the run's own, removed at the end unless it is to be kept.
class Folder {
  public:
    explicit Folder(std::string kept) : path_(std::move(kept)), keep_(!path_.empty()) {
        if (keep_) {
            std::filesystem::create_directories(path_);
            return;
        }
        auto pattern = (std::filesystem::temp_directory_path() / "petrelfleet-XXXXXX").string();
        if (!mkdtemp(pattern.data())) throw std::runtime_error("no folder to be made in " + pattern);
        path_ = pattern;
    }
    ~Folder() {
        std::error_code error;
        if (!keep_) std::filesystem::remove_all(path_, error);
    }
    const std::string& path() const { return path_; }

  private:
    std::string path_;
    bool keep_;
};

void progressLine(const std::string& words) {
    bool terminal = isatty(STDERR_FILENO) != 0;
    std::cerr << (terminal ? "\r\033[K" : "") << words << (terminal ? "" : "\n") << std::flush;
}
void progressOver() {
    if (isatty(STDERR_FILENO)) std::cerr << "\r\033[K" << std::flush;
}

int verdict(const std::vector<RunResult>& runs) {
    int code = 0;
    for (const RunResult& r : runs) {
        if (!r.breaches.empty()) return kBroken;
        if (!r.voidBecause.empty()) code = kVoid;
    }
    return code;
}

std::vector<RunResult> modelRuns(const Scenario& scenario, uint64_t first, int runs, bool show) {
    std::vector<RunResult> out(static_cast<size_t>(runs));
    std::atomic<int> next = 0, done = 0;
    std::vector<std::thread> crew;
    for (unsigned i = 0; i < std::min<unsigned>(std::max(1u, std::thread::hardware_concurrency()),
                                                static_cast<unsigned>(runs));
         ++i) {
        crew.emplace_back([&] {
            for (int k; (k = next++) < runs;) {
                out[static_cast<size_t>(k)] = playInModel(scenario, first + static_cast<uint64_t>(k));
                ++done;
            }
        });
    }
    while (show && done < runs) {
        progressLine("model: " + std::to_string(done) + " of " + std::to_string(runs) + " runs");
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
    }
    for (std::thread& t : crew) t.join();
    if (show) progressOver();
    return out;
}

struct Options {
    std::string file, other, sender = besideUs("petrelpond"), out, keep, breaks = "nothing", html, record;
    uint64_t seed = 0;
    int runs = 20, plays = 1, trials = 10, connections = 64;
    double seconds = 3;
    bool quiet = false, words = false;
};

StageOptions stageFor(const Options& o, const Folder& folder) {
    StageOptions stage;
    stage.sender.program = o.sender;
    if (o.breaks != "none")
        stage.sender.program = besideUs("petrelfleet"),
        stage.sender.words = {"false-sender", "--breaks", o.breaks};
    if (!o.record.empty()) stage.sender.environment.emplace_back("PETRELPOND_RECORD", o.record);
    stage.folder = folder.path();
    if (!o.quiet) stage.progress = progressLine;
    return stage;
}

RunResult runOnSockets(const Options& o, const Scenario& scenario, uint64_t seed) {
    Folder folder(o.keep);
    Scenario seeded = scenario;
    seeded.seed = seed;
    RunResult r = playOnSockets(seeded, seed, stageFor(o, folder));
    if (!o.quiet) progressOver();
    return r;
}

void keepResults(const Options& o, const std::vector<RunResult>& runs) {
    if (!o.out.empty()) saveRuns(o.out, runs);
    if (o.html.empty()) return;
    std::ofstream page(o.html);
    page << reportPage(runs);
    page.close();
    if (!page) throw std::runtime_error(o.html + ": can't be written");
}

int run(const Options& o) {
    Scenario s = readScenarioFile(o.file);
    std::vector<RunResult> runs;
    for (int k = 0; k < o.plays; ++k) {
        runs.push_back(runOnSockets(o, s, (o.seed > 0 ? o.seed : s.seed) + static_cast<uint64_t>(k)));
        std::cout << inWords(runs.back()) << std::flush;
        keepResults(o, runs);  // of those so far, should the next be stopped
    }
    return verdict(runs);
}

int demo(const Options& o) {
    Scenario s = readScenario(demoScenario(), "demo");
    std::cout << "Two senders, 10 destinations with 26 endpoints. In 12 s: an endpoint of each hauler hangs "
                 "from 3 to 6 s,\n"
                 "a maker is down from 5 to 7 s, and one sender is killed at 8 s.\n";
    RunResult r = runOnSockets(o, s, o.seed > 0 ? o.seed : s.seed);
    keepResults(o, {r});
    std::cout << inWords(r);
    long undeliverable = 0, refused = 0;
    for (const ProductResult& p : r.products) undeliverable += p.undeliverable, refused += p.refused;
    if (undeliverable > 0)
        std::cout << undeliverable << " undeliverable: a submit may have run, or their time was over\n";
    if (refused > 0)
        std::cout << refused << " refused to the end: no turn for them in time, told so and when to return\n";
    return verdict({r});
}

int model(const Options& o) {
    Scenario s = readScenarioFile(o.file);
    auto runs = modelRuns(s, o.seed > 0 ? o.seed : s.seed, o.runs, !o.quiet);
    keepResults(o, runs);
    std::vector<double> service, inTime;
    double wall = 0;
    long texts = 0;
    for (const RunResult& r : runs) {
        service.push_back(100 * r.service()), inTime.push_back(100 * r.serviceInTime());
        wall += r.wallSeconds, texts += r.texts;
        if (o.words || !r.clean()) std::cout << inWords(r);
    }
    Interval all = nextRun(service), early = nextRun(inTime);
    std::cout << std::fixed << std::setprecision(2) << s.name << ", model, " << runs.size()
              << " runs: revenue " << all.middle << "% [" << all.low << ", " << all.high
              << "], within the SLA time " << early.middle << "% [" << early.low << ", " << early.high
              << "]\n"
              << std::setprecision(0) << static_cast<double>(texts) / wall << " texts a second on one core, "
              << std::setprecision(0) << s.lasts.inSeconds() * static_cast<double>(runs.size()) / wall
              << " times real time\n";
    return verdict(runs);
}

Model costsHere(const Options& o) {
    Folder folder(o.keep.empty() ? o.keep : o.keep + "/costs");
    Model costs = measureCosts(stageFor(o, folder));
    if (!o.quiet) progressOver();
    return costs;
}

int costs(const Options& o) {
    std::cout << "# what sockets add on this machine, medians\n" << asToml(costsHere(o));
    return 0;
}

int validate(const Options& o) {
    Scenario s = readScenarioFile(o.file);
    if (!s.model.given) {
        s.model = costsHere(o);
        std::cout << asToml(s.model);
    }
    std::vector<RunResult> played;
    int within = 0, counted = 0;
    std::cout << std::fixed << std::setprecision(2);
    for (int t = 0; t < o.trials; ++t) {
        uint64_t seed = (o.seed > 0 ? o.seed : s.seed) + static_cast<uint64_t>(t);
        // The bars hold the spread of arrivals too: the model's seeds are others than the trial's.
        std::vector<double> values;
        for (const RunResult& r : modelRuns(s, seed * 1000, o.runs, false))
            values.push_back(100 * r.service());
        Trial trial{seed, 0, nextRun(values)};
        played.push_back(runOnSockets(o, s, seed));
        trial.measured = 100 * played.back().service();
        bool counts = played.back().voidBecause.empty();
        counted += counts, within += counts && trial.within();
        std::cout << "trial " << t + 1 << ", seed " << seed << ": measured " << trial.measured << "%, model "
                  << trial.predicted.middle << "% [" << trial.predicted.low << ", " << trial.predicted.high
                  << "]: "
                  << (!counts          ? "void, " + played.back().voidBecause
                      : trial.within() ? "within"
                                       : "OUTSIDE")
                  << (played.back().breaches.empty() ? "" : ", A RULE BROKEN") << std::endl;
    }
    keepResults(o, played);
    std::cout << within << " of " << counted << " trials within the model's error bars\n";
    return counted > 0 && within * 10 >= counted * 9 ? verdict(played) : kBroken;
}

std::vector<RunResult> resultsOf(const Options& o, const std::string& file) {
    if (std::filesystem::path(file).extension() == ".json") return loadRuns(file);
    Scenario s = readScenarioFile(file);
    return modelRuns(s, o.seed > 0 ? o.seed : s.seed, o.runs, !o.quiet);
}

int compareTwo(const Options& o) {
    auto a = resultsOf(o, o.file), b = resultsOf(o, o.other);
    auto all = compare(a, b);
    std::cout << "A: " << o.file << "\nB: " << o.other << "\n" << inWords(all, std::min(a.size(), b.size()));
    return 0;
}

int report(const Options& o) {
    auto runs = loadRuns(o.file);
    std::string to = o.html.empty() ? "report.html" : o.html;
    std::ofstream page(to);
    page << reportPage(runs);
    page.close();
    if (!page) throw std::runtime_error(to + ": can't be written");
    std::cout << to << "\n";
    return 0;
}

int self(const Options& o) {
    SelfSpeed speed = measureSelf(o.connections, Span::seconds(o.seconds));
    std::cout << std::fixed << std::setprecision(0) << speed.textsPerSecond
              << " texts a second sent and answered on one core by " << o.connections << " connections, "
              << std::setprecision(1) << speed.cpuPerText << " us of CPU each; round trip p50 "
              << std::setprecision(2) << speed.roundTrip.p50 << " ms, p99 " << speed.roundTrip.p99 << " ms\n";
    return 0;
}

struct CrewOptions {
    std::vector<int> members = {3, 10, 30, 100, 300};
    std::vector<double> loss = {0, 0.1, 0.3};
    int kills = 5;
    double quiet = 120;
    long steps = 100000000;
};

int crewMeasure(const Options& o, const CrewOptions& c) {
    std::vector<CrewFigures> all;
    for (double loss : c.loss) {
        for (int members : c.members) {
            CrewMeasure m;
            m.members = members, m.loss = loss, m.kills = c.kills, m.quiet = Span::seconds(c.quiet), m.seed = std::max<uint64_t>(o.seed, 1);
            if (!o.quiet) progressLine(std::to_string(members) + " members, loss " + std::to_string(loss));
            all.push_back(measureCrew(m));
        }
    }
    if (!o.quiet) progressOver();
    std::cout << crewTable(all);
    if (o.html.empty()) return 0;
    std::ofstream page(o.html);
    page << crewPage(all);
    page.close();
    if (!page) throw std::runtime_error(o.html + ": can't be written");
    return 0;
}

int crewPlay(const Options& o, const CrewOptions& c) {
    std::vector<CrewFigures> all;
    for (double loss : c.loss) {
        for (int members : c.members) {
            Folder folder(o.keep);
            CrewMeasure m;
            m.members = members, m.loss = loss, m.kills = c.kills, m.quiet = Span::seconds(c.quiet), m.seed = std::max<uint64_t>(o.seed, 1);
            Command sender;
            sender.program = o.sender;
            all.push_back(measureCrewPlay(m, sender, folder.path()));
        }
    }
    std::cout << crewTable(all);
    return 0;
}

int crewSearch(const Options& o, const CrewOptions& c) {
    CrewSearch search;
    search.steps = c.steps, search.firstSeed = std::max<uint64_t>(o.seed, 1);
    CrewFindings found = searchCrew(search);
    for (const std::string& v : found.violations) std::cout << v << "\n";
    std::vector<double> agreed = found.agreedAfter;
    std::sort(agreed.begin(), agreed.end());
    std::cout << found.steps << " steps in " << found.schedules << " schedules, " << found.violations.size() << " findings";
    if (!agreed.empty()) {
        std::cout << std::fixed << std::setprecision(1) << "; all views alike after the last fault: median " << medianOf(agreed)
                  << " s, 99th percentile " << agreed[agreed.size() * 99 / 100] << " s, most " << agreed.back() << " s";
    }
    std::cout << "\n";
    return found.violations.empty() ? 0 : kBroken;
}

struct HarmOptions {
    std::vector<std::string> files;
    std::vector<int> senders = {0};
    std::vector<double> surges = {0};
    int runs = 3;
    bool model = false;
};

int harm(const Options& o, const HarmOptions& h) {
    std::vector<HarmRow> rows;
    std::vector<RunResult> all;
    for (const std::string& file : h.files) {
        for (double surge : h.surges) {
            for (int senders : h.senders) {
                Scenario s = withSize(readScenarioFile(file), senders, surge);
                HarmRow row{s.name, s.senders, surge > 0 ? surge : 1, triggerOf(s), {}, {}};
                uint64_t first = o.seed > 0 ? o.seed : s.seed;
                if (h.model) row.runs = modelRuns(s, first, h.runs, false);
                for (int k = 0; k < h.runs; ++k) {
                    uint64_t seed = first + static_cast<uint64_t>(k);
                    if (!h.model) row.runs.push_back(runOnSockets(o, s, seed));
                    row.best.push_back(playOracle(s, seed));
                }
                all.insert(all.end(), row.runs.begin(), row.runs.end());
                for (const RunResult& r : row.runs) {
                    if (!r.voidBecause.empty()) std::cout << s.name << ", " << s.senders << " senders, seed " << r.seed << ": VOID, " << r.voidBecause << "\n";
                    if (!r.breaches.empty()) std::cout << s.name << ", " << s.senders << " senders, seed " << r.seed << ": A RULE BROKEN\n";
                }
                rows.push_back(std::move(row));
                if (!o.quiet) progressLine(s.name + ", " + std::to_string(s.senders) + " senders");
            }
        }
    }
    if (!o.quiet) progressOver();
    keepResults(o, all);
    std::cout << harmTable(rows);
    return verdict(all);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app(
        "Stand-in partners, a judge of the rules and a model, for petrelpond. Everything stays on loopback.",
        "petrelfleet");
    app.require_subcommand(1);
    app.footer(
        "Exit codes: 0 all well; 1 a rule was broken or a claim does not hold; 2 wrong input; 3 a run that "
        "counts for nothing.");
    Options o;
    o.breaks = "none";
    auto scenario = [&](CLI::App* c) {
        c->add_option("scenario", o.file, "the scenario file (TOML)")->required();
    };
    auto seeds = [&](CLI::App* c) { c->add_option("--seed", o.seed, "in place of the scenario's"); };
    auto sockets = [&](CLI::App* c) {
        c->add_option("--sender", o.sender, "the sender's program")->capture_default_str();
        c->add_option("--keep", o.keep, "keep the senders' folders with their logs here");
        c->add_option("--record", o.record,
                      "have the senders record, into this file; {folder} is the sender's own");
        c->add_flag("-q,--quiet", o.quiet, "no progress");
    };
    auto outputs = [&](CLI::App* c) {
        c->add_option("-o,--out", o.out, "write the results here, as JSON");
        c->add_option("--html", o.html, "write a page with plots here");
    };
    auto* check = app.add_subcommand("check", "read a scenario and name every mistake in it by line");
    scenario(check);
    auto* play = app.add_subcommand("run", "play a scenario on sockets with real senders, under the judge");
    scenario(play), seeds(play), sockets(play), outputs(play);
    play->add_option("-n,--runs", o.plays, "how many, each with the next seed")
        ->capture_default_str()
        ->check(CLI::Range(1, 1000));
    play->add_option("--false-sender", o.breaks, "play with a sender that breaks this rule on purpose")
        ->check(CLI::IsMember(falsehoods()));
    auto* show = app.add_subcommand("demo", "the same with a small built-in fleet; needs no files");
    seeds(show), sockets(show), outputs(show);
    auto* simulate = app.add_subcommand("model", "play a scenario in simulated time, several seeds");
    scenario(simulate), seeds(simulate), outputs(simulate);
    simulate->add_option("-n,--runs", o.runs, "how many")->capture_default_str()->check(CLI::Range(1, 10000));
    simulate->add_flag("-q,--quiet", o.quiet, "no progress");
    simulate->add_flag("--each", o.words, "say each run in words");
    auto* trials = app.add_subcommand("validate", "hold the model's error bars against runs on sockets");
    scenario(trials), seeds(trials), sockets(trials), outputs(trials);
    trials->add_option("--trials", o.trials, "runs on sockets")
        ->capture_default_str()
        ->check(CLI::Range(1, 1000));
    trials->add_option("-n,--runs", o.runs, "runs of the model for each")
        ->capture_default_str()
        ->check(CLI::Range(3, 10000));
    auto* prices = app.add_subcommand("costs", "measure what sockets add on this machine, for the model");
    sockets(prices);
    auto* pair =
        app.add_subcommand("compare", "two scenarios (by the model) or two result files, paired by seed");
    pair->add_option("a", o.file, "scenario (.toml) or results (.json)")->required();
    pair->add_option("b", o.other, "the same")->required();
    seeds(pair);
    pair->add_option("-n,--runs", o.runs, "runs of the model")
        ->capture_default_str()
        ->check(CLI::Range(3, 10000));
    pair->add_flag("-q,--quiet", o.quiet, "no progress");
    auto* page = app.add_subcommand("report", "one HTML page with plots from a result file");
    page->add_option("results", o.file, "results (.json)")->required();
    page->add_option("--html", o.html, "the page (report.html)");
    auto* own = app.add_subcommand("self", "what the stand-ins can send and answer with no sender between");
    own->add_option("--connections", o.connections, "")->capture_default_str()->check(CLI::Range(1, 8000));
    own->add_option("--seconds", o.seconds, "")->capture_default_str()->check(CLI::Range(0.1, 60.0));
    HarmOptions h;
    auto* harms = app.add_subcommand("harm", "what troubles do to the fleet as a whole, beside an all-knowing queue");
    harms->add_option("scenarios", h.files, "scenario files (TOML)")->required();
    harms->add_option("--senders", h.senders, "in place of each scenario's number")->delimiter(',')->check(CLI::Range(1, 2000));
    harms->add_option("--surges", h.surges, "in place of the size of its surges")->delimiter(',')->check(CLI::Range(0.01, 1000.0));
    harms->add_option("-n,--runs", h.runs, "seeds of each")->capture_default_str()->check(CLI::Range(1, 1000));
    harms->add_flag("--model", h.model, "in simulated time, not on sockets");
    seeds(harms), sockets(harms), outputs(harms);
    CrewOptions c;
    auto* crewed = app.add_subcommand("crew", "members of a crew alone: how soon they find who has gone, and what it costs");
    crewed->require_subcommand(1);
    auto sizes = [&](CLI::App* s) {
        s->add_option("--members", c.members, "sizes of the crew")->delimiter(',')->check(CLI::Range(2, 1000));
        s->add_option("--loss", c.loss, "shares of datagrams lost")->delimiter(',')->check(CLI::Range(0.0, 0.9));
        s->add_option("--kills", c.kills, "members killed, one after the other")->check(CLI::Range(1, 100));
        s->add_option("--quiet-seconds", c.quiet, "watched for false deaths first")->check(CLI::Range(0.0, 86400.0));
        seeds(s);
    };
    auto* crewTimes = crewed->add_subcommand("measure", "in simulated time");
    sizes(crewTimes), outputs(crewTimes);
    crewTimes->add_flag("-q,--quiet", o.quiet, "no progress");
    auto* crewReal = crewed->add_subcommand("play", "with processes of the program");
    sizes(crewReal), sockets(crewReal);
    auto* crewTries = crewed->add_subcommand("search", "random schedules of faults, held against what must hold");
    seeds(crewTries);
    crewTries->add_option("--steps", c.steps, "inputs and due moments, all schedules together")->check(CLI::Range(1L, 100000000000L));
    auto* lies = app.add_subcommand("false-sender", "a sender that breaks a rule on purpose, by LB_CONFIG");
    lies->add_option("--breaks", o.breaks, "what")->check(CLI::IsMember(falsehoods()));
#ifdef PETRELPOND_RANGE
    range::Command wholeSystem(app);
#endif
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        int code = app.exit(e);
        return code == 0 ? 0 : kWrong;
    }
    try {
#ifdef PETRELPOND_RANGE
        if (auto code = wholeSystem.run()) return *code;
#endif
        if (*check) {
            Scenario s = readScenarioFile(o.file);
            size_t texts = plan(s, s.seed).size();
            std::cout << o.file << ": " << s.senders << " senders, " << s.destinations() << " destinations, "
                      << s.endpoints() << " endpoints, " << texts << " texts in " << s.lasts.inSeconds()
                      << " s, " << s.faults.size() << " faults\n";
            return 0;
        }
        if (*play) return run(o);
        if (*show) return demo(o);
        if (*simulate) return model(o);
        if (*trials) return validate(o);
        if (*prices) return costs(o);
        if (*pair) return compareTwo(o);
        if (*page) return report(o);
        if (*own) return self(o);
        if (*harms) return harm(o, h);
        if (*crewTimes) return crewMeasure(o, c);
        if (*crewReal) return crewPlay(o, c);
        if (*crewTries) return crewSearch(o, c);
        return runFalseSender(o.breaks);
    } catch (const WrongScenario& wrong) {
        std::cerr << wrong.what() << "\n";
        return kWrong;
    } catch (const std::exception& wrong) {
        progressOver();
        std::cerr << "petrelfleet: " << wrong.what() << "\n";
        return kWrong;
    }
}
