// What could have been earned: one queue and one bucket for each destination that know everything, in place of all
// the senders. A bound to hold them against, not a policy: nothing is refused, lost or tried in vain.
#pragma once

#include "fleet/result.hpp"

namespace petrelpond::fleet {

// Of all that waits for a destination the text that earns most in time goes first, of alike ones the one whose SLA
// time ends first; a late one only when none is left that can be in time.
RunResult playOracle(const Scenario& scenario, uint64_t seed);

}  // namespace petrelpond::fleet
