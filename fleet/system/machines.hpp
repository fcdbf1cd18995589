// Machines as addresses of loopback, with the system's programs as real processes on them.
#pragma once

#include <sys/resource.h>
#include <sys/types.h>

#include <string>
#include <vector>

#include "fleet/system/judge.hpp"
#include "fleet/system/plan.hpp"
#include "huts/eagle/stream.hpp"

namespace petrelpond::range {

struct Ports {
    uint16_t front = 8269, readiness = 8266, control = 8263, platform = 8262, first = 7680, last = 7695;
};

struct Machine {
    std::string name, zone, ip, folder;
    bool core = false, bootstrap = true, frozen = false, ending = false;
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
    Machines(eagle::Loop&, Judge&, const Plan&, std::string programs, std::string folder, uint32_t network,
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
    void look();    // who ended by itself: is started again
    void endAll();  // the play is over

    double cpuSeconds() const;
    double mostMemoryMb() const { return mostMemory_; }
    int ownEnds() const;
    Ports ports;

  private:
    void writeSettings(const Machine&) const;
    void start(Machine&, Machine::Process&);
    void end(Machine::Process&);
    void account(Machine::Process&, const rusage&);
    void back(int machine);
    eagle::Loop& loop_;
    Judge& judge_;
    const Plan& plan_;
    std::string programs_, folder_;
    uint32_t network_;
    std::vector<std::string> zones_;
    std::vector<Machine> machines_;
    double mostMemory_ = 0;
    bool ending_ = false;
};

}  // namespace petrelpond::range
