// Real senders as processes, each with a folder of its own: configuration, state, log.
#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

#include "fleet/result.hpp"
#include "fleet/scenario.hpp"

namespace petrelpond::fleet {

// Which program stands as the sender, and with which words; the configuration comes by LB_CONFIG.
struct Command {
    std::string program;
    std::vector<std::string> words;
    std::vector<std::pair<std::string, std::string>> environment;
};

class SenderProcess {
  public:
    SenderProcess(const Scenario& scenario, int number, std::string folder, Command command);
    ~SenderProcess();  // kills it
    SenderProcess(const SenderProcess&) = delete;
    SenderProcess& operator=(const SenderProcess&) = delete;

    // `members`: the list as last known, a JSON array.
    void configure(const std::string& listen, const std::string& discovery, const std::string& members,
                   int64_t revision);
    // Before configure(): the crew's part of the configuration, a JSON object, and an operators' address.
    void joinCrew(std::string crew, std::string ops) { crew_ = std::move(crew), ops_ = std::move(ops); }
    const std::string& ops() const { return ops_; }
    void loseFolder();  // while it does not run
    void moveDiscovery(const std::string& discovery);
    void start();
    void kill();  // at once, and waits for its end
    void signal(int which);
    // As a bound on the processor does: past its share it stands still until that is made up for, 0.4 s at most.
    void keepToShare(Instant now, double cores);
    bool running();  // false also where it ended by itself
    void measure();  // what it has used, while it still runs
    const SenderResult& used() const { return used_; }
    const std::string& folder() const { return folder_; }
    pid_t pid() const { return pid_; }

  private:
    void writeConfig() const;
    const Scenario& scenario_;
    int number_;
    std::string folder_, listen_, discovery_, members_ = "[]", crew_, ops_;
    int64_t revision_ = 0;
    Command command_;
    pid_t pid_ = -1;
    SenderResult used_;
    double cpuBefore_ = 0;  // of its earlier lives
    pid_t sharedBy_ = -1;   // the process that the account below is of
    Instant sharedFrom_, stoppedAt_;
    double usedFrom_ = 0;  // its seconds of the processor then
    bool overShare_ = false, stopped_ = false;  // stopped: by a fault
};

}  // namespace petrelpond::fleet
