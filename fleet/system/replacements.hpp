// How long each replacement of a core machine takes, as the control programs' own status tells it.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/system/machines.hpp"
#include "system/network/http_caller.hpp"

namespace petrelpond::range {

struct ReplacementResult {
    std::string gone, come;
    bool planned = false;
    Instant begins;  // unplanned: the successor starts; planned: the old one is told to end
    Instant counts = Instant::never();  // the successor votes, has caught up, and the old one votes no more
};

class Replacements {
  public:
    Replacements(network::Loop&, const Machines&);
    ~Replacements();
    void watch(int old, int successor, Instant begins, bool planned);
    const std::vector<ReplacementResult>& results() const { return results_; }

  private:
    struct Watch;
    void ask(const std::shared_ptr<Watch>&);
    void judge(Watch&, const std::string& status);

    network::Loop& loop_;
    const Machines& machines_;
    std::vector<ReplacementResult> results_;
    std::vector<std::shared_ptr<Watch>> watches_;
};

std::string inWords(const std::vector<ReplacementResult>&);

}  // namespace petrelpond::range
