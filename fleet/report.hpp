// Results as one HTML page that needs nothing else: plots drawn as SVG.
#pragma once

#include <string>
#include <vector>

#include "fleet/result.hpp"

namespace petrelpond::fleet {

std::string reportPage(const std::vector<RunResult>& runs);

}  // namespace petrelpond::fleet
