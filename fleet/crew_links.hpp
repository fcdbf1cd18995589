// What a sender is told of its crew, where a relay stands between all of them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fleet/relay.hpp"

namespace petrelpond::fleet {

// The addresses of a crew's senders, free ones of loopback, and the relay between them.
class CrewLinks {
  public:
    CrewLinks(Loop& loop, const CrewPlan& plan, std::vector<LinkFault> faults, int senders, uint64_t seed);
    std::string configOf(int sender) const;  // the JSON object `crew` of its configuration
    const std::string& ops(int sender) const { return ops_[static_cast<size_t>(sender)]; }
    Links& links() { return links_; }
    // Faults count from the loop's zero from now on.
    void begin();

  private:
    void change();
    Loop& loop_;
    CrewPlan plan_;
    Links links_;
    std::vector<std::string> listen_, ops_;
    std::unique_ptr<Relay> relay_;
};

}  // namespace petrelpond::fleet
