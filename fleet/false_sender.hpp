// A sender that breaks one rule on purpose, so that the judge can be seen to catch it. Simple and slow, and
// no part of the product.
#pragma once

#include <string>
#include <vector>

namespace petrelpond::fleet {

// What it may be told to break; "nothing" keeps them all.
const std::vector<std::string>& falsehoods();
// Serves by LB_CONFIG until it is killed. Returns an exit code.
int runFalseSender(const std::string& falsehood);

}  // namespace petrelpond::fleet
