// What a scenario file says: the fleet, the traffic, what breaks when. Read from TOML with every mistake
// named by line and key; it does no more than read.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "petrelpond/sender.hpp"
#include "petrelpond/time.hpp"

namespace petrelpond::fleet {

struct ProductPlan {
    std::string name;
    Product rules;
};

// A number of alike destinations, each with its own endpoints, limit and outages.
struct Group {
    std::string name;
    int count = 1, endpoints = 1;  // endpoints of each destination
    int batch = 1;                 // texts a call may carry
    bool separateRoutes = false;
    int workers = 8, queue = 16;  // of an endpoint: calls worked on at once, and waiting
    double rate = 0, burst = 0;   // of a destination: calls a second, 0 for no limit; bucket's depth
    int countMost = 0;            // or: so many calls in each span
    Span countSpan;
    bool rateListed = false, tellsWaits = false;
    Span answerMedian = Span::millis(40), answerP99 = Span::millis(200);
    double coldShare = 1;  // of its capacity that a returning destination has
    Span warmUp;
    double tipMultiple = 0;  // 0: never tips
    Span tipWindow = Span::seconds(1);
    int connections = 256;          // that an endpoint holds
    Span idle = Span::seconds(20);  // it closes connections idle for longer
    double idleCloses = 0;          // share of connections closed as idle at a random part of that span
};

// Open-loop arrivals: when a text comes hangs on nothing that the sender does.
struct Flow {
    uint32_t product = 0, group = 0;
    double rate = 1;  // texts a second, over all destinations of the group
    Span from, until;
    double clump = 1;  // mean number of texts that come at one moment
    double swing = 0;  // share by which the rate moves up and down
    Span swingSpan = Span::seconds(60);
    int body = 200;  // bytes
    int keys = 0;    // distinct keys of texts in order; 0: none
    double surge = 1;
    Span surgeFrom, surgeUntil;
    double skew = 0;  // Zipf exponent over the destinations; 0: all alike
};

enum class Trouble {
    hang,
    stall,
    refuse,
    full,
    error,
    resetBefore,
    resetDuring,
    resetAfter,
    half,
    spoilt,
    lostAnswer,
    drip,
    down,
    vanish,
    stale,
    drain,
    go,
    replace,
    directorySilent,
    directoryOld,
    directoryMove,
    senderKill,
    senderStop,
    senderRestart
};
std::string_view wordOf(Trouble what);
bool atSenders(Trouble what);
bool atDirectory(Trouble what);

struct Fault {
    Trouble what = Trouble::hang;
    Span at, lasts;
    int group = -1;
    double part = 1;    // of the group's destinations, the first ones
    int endpoint = -1;  // of each destination; -1: all
    double share = 1;   // of the calls that it strikes
    Span value;         // stall: added to each answer; full: the told wait
    int sender = -1;    // -1: the share `part` of them; also of those whose directory is silent or old
    bool folderLost = false;  // sender_kill: it comes back without what it had written down
};

// What strikes messages between two senders, each direction on its own.
struct LinkFault {
    enum class Kind { loss, delay, twice, reorder, spoil, narrow, stall, halfClose, reset, cut, partition, chain };
    Kind what = Kind::loss;
    Span at, lasts;
    std::vector<int> from, to;  // senders; empty: all
    bool both = false;          // the other direction too
    double share = 1;           // of the datagrams that it strikes
    Span value, spread;         // delay, reorder: the median and the 99th percentile of what is added
    double bytesPerSecond = 0;  // narrow
    std::vector<std::vector<int>> sides;  // partition: who hear each other; whoever is in none hears nobody
};
std::string_view wordOf(LinkFault::Kind what);

// Links between the senders, and what they are told of each other; off unless the scenario has [crew].
struct CrewPlan {
    bool on = false;
    Span round = Span::millis(500), ackWithin = Span::millis(200), exchangeEvery = Span::seconds(20),
         seekEvery = Span::seconds(3);
    int seeds = 3;  // of the others, that each is told at its start; 0: all
};

// What sockets add, for the model; `petrelfleet costs` measures it. Unless a scenario says otherwise, what it
// gave on the machine of docs/results-fleet.md.
struct Model {
    Span hop = Span::micros(150);        // one way between two processes of this machine, reading included
    Span handshake = Span::micros(100);  // a connection more than that
    Span store = Span::micros(120);      // from reading a text to its 202
    Span round = Span::micros(60);       // from that to the first byte of its call, less the hop
    Span work = Span::micros(40);        // for which one text keeps the next of a clump waiting
    bool given = false;                  // any of them by the scenario
};

struct Scenario {
    std::string name;
    Span lasts = Span::seconds(10), settle;  // settle: until all that was taken has its end
    uint64_t seed = 1;
    int senders = 2, callsOut = 64, held = 1000, submits = 6;
    int memoryMb = 192, sockets = 1024, diskMb = 16;
    bool cancel = true;
    Span longestPause = Span::seconds(2), tick = Span::millis(5);
    int clientTries = 2;  // times a text is handed in again after a refusal
    double holds = 0;     // share of the texts handed in on a connection that asks this once and is kept to the end
    Span noticeLate;      // the platform answers each notice after so long
    Span ahead;           // such a connection is made up to so long before its request
    // Share of the senders, the first ones, that were told a number of senders which is so many times the true one.
    double otherPart = 0, otherFactor = 1;
    double cores = 0;     // share of a processor that a sender gets: past it it is stopped for a while; 0: no bound
    std::vector<ProductPlan> products;
    std::vector<Group> groups;
    std::vector<Flow> flows;
    std::vector<Fault> faults;
    CrewPlan crew;
    std::vector<LinkFault> links;
    std::string recording;  // a sender's recording of arrivals, taken instead of flows
    Model model;

    int destinations() const;
    int endpoints() const;
    uint32_t firstDestination(uint32_t group) const;
    uint32_t firstEndpoint(uint32_t group) const;
};

struct Mistake {
    int line = 0;
    std::string key, words;
};

// Thrown with every mistake of a file, a line each: FILE:LINE: KEY: what is wrong.
struct WrongScenario : std::runtime_error {
    using std::runtime_error::runtime_error;
};

Scenario readScenario(std::string_view text, const std::string& file);
Scenario readScenarioFile(const std::string& path);
std::string_view demoScenario();  // the built-in small fleet, as TOML

}  // namespace petrelpond::fleet
