// Machines as addresses of loopback, with the system's programs as real processes on them.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fleet/system/judge.hpp"
#include "fleet/system/plan.hpp"
#include "fleet/system/weather.hpp"
#include "system/network/stream.hpp"

namespace petrelpond::range {

struct Ports {
    uint16_t front = 8269, readiness = 8266, control = 8263, platform = 8262, first = 7680, last = 7695;
};

struct Machine {
    std::string name, zone, ip, folder;
    bool core = false, bootstrap = true, frozen = false, ending = false;
    bool powerless = false;
    bool out = false;    // not there yet, or gone for good
    bool taken = false;  // a spare that comes in some machine's place
    int starts = 0, ownEnds = 0;
    struct Process {
        std::string program;
        pid_t pid = -1;
        bool meant = false;  // to run
        double cpuBefore = 0;
    };
    std::vector<Process> processes;
    bool running() const;
};

class Machines {
  public:
    Machines(network::Loop&, Judge&, const Plan&, std::string programs, std::string folder, uint32_t network,
             std::vector<std::string> zones);
    ~Machines();  // kills what runs
    void startAll();
    const std::vector<Machine>& all() const { return machines_; }
    int number(const std::string& name) const;  // -1: none
    std::string ip(uint32_t block, uint32_t host) const;

    // Each of these at the same moment, for those that are killed one by one right after.
    void strikeDead(const std::vector<int>& machines, const std::string& program);
    void kill(int machine, Span away, bool wipe, const std::string& program = "");
    void freeze(int machine, Span lasts);
    void terminate(int machine, Span away);
    void reload(int machine);  // other seeds in its settings, then SIGHUP
    // A core machine that was never there takes the place of this one; -1: none is left. See Kind::replace.
    int replace(int machine, Span between, bool planned);
    // All at the same moment: nothing more is said or heard, and what was not synced is forgotten.
    void losePower(const std::vector<int>& machines, Span away);
    void harmDisks(const std::vector<int>& machines, Kind, Span value, Span lasts);
    void harmLinks(const LinkTrouble&, Span lasts);
    // Bytes between machines so far, as each living sender's two programs count them: out, in. Asked for by
    // count(), there a moment later.
    void count();
    std::pair<double, double> counted() const;
    int fileLosses() const { return fileLosses_; }
    std::string defect;  // of the cores: broken on purpose
    void look();         // who ended by itself: is started again
    void endAll();       // the play is over

    double cpuSeconds() const;
    double mostMemoryMb() const { return mostMemory_; }
    int ownEnds() const;
    Ports ports;

  private:
    void writeSettings(const Machine&, size_t firstSeed = 0) const;
    int takeSpare();
    void bringUp(int machine);
    void endForGood(int machine);
    // Its loss is over once its successor, that comes then, has had its time to catch up.
    void lostUntilCaughtUp(int machine, Instant successorComes);
    void start(Machine&, Machine::Process&);
    void end(Machine::Process&);
    void account(Machine::Process&, const rusage&);
    void back(int machine);
    network::Loop& loop_;
    Judge& judge_;
    const Plan& plan_;
    std::string programs_, folder_;
    uint32_t network_;
    std::vector<std::string> zones_;
    std::vector<Machine> machines_;
    std::unique_ptr<Weather> weather_;
    std::mt19937_64 chance_;
    int fileLosses_ = 0;
    double mostMemory_ = 0;
    bool ending_ = false;
};

}  // namespace petrelpond::range
