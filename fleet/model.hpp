// The same scenario in simulated time: the decision module itself, through its public interface, among the
// same partners, programs and judge as on sockets. What sockets add is said in a few costs.
#pragma once

#include "fleet/result.hpp"
#include "fleet/scenario.hpp"

namespace petrelpond::fleet {

RunResult playInModel(const Scenario& scenario, uint64_t seed);

}  // namespace petrelpond::fleet
