// What a play of the whole system is made of: machines, services, traffic, what breaks when. Read from TOML
// with every mistake named by its line; it does no more than read.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/system/judge.hpp"

namespace petrelpond::range {

constexpr int kUnlimitedSlots = 2147483647;  // the most that an endpoint may be configured to hold at once

// Functions that are alike: each has a service and, per flow, a route of its own.
struct GroupPlan {
    std::string name;
    int count = 1, slots = 1, memoryMb = 128, connections = 64;
    Span boot = Span::millis(700);
    double skew = 1;  // Zipf exponent over its functions: a few get most of the requests
};

// Open-loop arrivals of one kind of request.
struct FlowPlan {
    std::string name;
    int group = 0;
    bool repeatable = true;
    double rate = 10;  // a second
    Span work = Span::millis(80), aim = Span::millis(400), deadline = Span::millis(4000);
    int priority = 1, attempts = 2, tries = 3, body = 600;  // tries: of a client; body: bytes of an answer
    double workSpread = 0;  // standard deviation of the work, as a share of its mean; log-normal
    // Shares of the clients that close their connection `leavesAfter` their request, and that end their
    // sending with it and wait for the answer.
    double leaves = 0, halfCloses = 0;
    Span leavesAfter = Span::millis(300);
};

enum class Kind {
    kill,
    freeze,
    term,
    hup,             // SIGHUP, the settings name other seeds
    replace,         // gone for good with its disk; a machine that was never there comes `lasts` later
    replacePlanned,  // one that was never there comes first; `lasts` later the old one is told to end
    wipe,
    afterAckKill,
    afterAckWipe,
    powerLost,
    afterAckPower,
    diskSlow,
    diskStalled,
    diskFull,
    linkCut,
    linkLoss,
    linkDelay,
    linkSqueeze,
    workerCrash,
    workerDrain,
    platformDown,
    platformSlow,
    answerLost,
    cut,
    noise,
    excess,
    excessLate,
    refusedTwice,  // turned away as full, and told so again where the connection's next answer is due
    reset,
    burst,
    configChange,
    configRace,
    badConfig,
    oldConfig,
    readConfig
};
constexpr size_t kKinds = 35;
constexpr int kMostSpares = 60;
std::string_view wordOf(Kind);
bool atMachines(Kind);
bool atEndpoints(Kind);
bool atDisks(Kind);
bool atLinks(Kind);
bool needsWeather(Kind);  // made inside the range's own set of the programs

struct FaultPlan {
    Kind kind = Kind::kill;
    Span at, lasts;                     // lasts: away, frozen, or in force for so long
    std::vector<std::string> machines;  // names, or "edge", "core", "all" for a class
    std::vector<std::string> to;        // links: the other end; none: everybody else
    bool oneWay = false;                // links: what `machines` say to `to` alone
    int count = 0;                      // so many of those, drawn by the seed; 0: all
    std::string program;                // kill: this program alone
    double share = 1, factor = 3;       // of answers struck, packets lost; burst: times the usual
    double rate = 0;                    // link_squeeze: bytes a second of a stream
    int group = -1;                     // -1: all
    Span value = Span::millis(800);     // added to each call (platform_slow), sync, packet
};

struct Plan {
    std::string name = "play";
    uint64_t seed = 1;
    Span lasts = Span::seconds(20), settle = Span::seconds(3);  // settle: before traffic starts
    int spares = 0;  // core machines that come only in the place of others
    int edges = 6, cores = 3, zones = 3, workers = 6, workerMemoryMb = 9303, clients = 60;
    double keepAlive = 0.6;  // share of requests on kept connections
    // Share of clients that use an open connection for as long as it is open, whatever readiness says.
    double faithful = 0;
    double listRate = 26, dutyRate = 150;
    Span lag = Span::millis(800);
    Bounds bounds;
    std::vector<GroupPlan> groups;
    std::vector<FlowPlan> flows;
    std::vector<FaultPlan> faults;
    bool needsWeather() const;
};

Plan readPlan(std::string_view text, const std::string& file);  // throws fleet::WrongScenario
Plan readPlanFile(const std::string& path);
std::string_view demoPlan();

// A long play: single losses drawn by the seed, each over before the next begins, as the system is to bear.
struct KillsPlan {
    int kills = 20, wipes = 3;
    uint64_t seed = 1;
};
Plan killsPlan(const KillsPlan&);

// Rounds of kills, stops, losses of power, lost and troubled disks, cuts and harmed links, drawn by the seed,
// each within what the system is to bear; after each the configuration is read back.
struct StormPlan {
    int rounds = 20, edges = 6, cores = 3;
    uint64_t seed = 1;
};
Plan stormPlan(const StormPlan&);

// Replacements of core machines, planned and not, drawn by the seed, each followed by a second loss as soon
// as as many losses are borne again: a killed or frozen machine, a lost disk, with the power of all the
// others.
struct ReplacementsPlan {
    int replacements = 10, edges = 4, cores = 3;
    int functions = 0;  // of the rarely called kind, each with two routes; 0: as in the demo
    uint64_t seed = 1;
};
Plan replacementsPlan(const ReplacementsPlan&);

// Cuts of 5 to 25 s of every shape round the core machines, with orders pressed on both sides, senders that
// start anew during them, and resets.
struct CutsPlan {
    int cuts = 8, edges = 4, cores = 3;
    uint64_t seed = 1;
};
Plan cutsPlan(const CutsPlan&);

// Series that overlap: signals, restarts and freezes of senders, losses and troubles of cores, changes three
// a second, clients that stay on their connections. Which of the series there are goes by the seed: without
// those of the cores all rules hold throughout.
struct SoakPlan {
    int seconds = 60, edges = 6, cores = 3;
    uint64_t seed = 1;
};
Plan soakPlan(const SoakPlan&);

}  // namespace petrelpond::range
