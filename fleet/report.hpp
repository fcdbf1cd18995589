// Results as one HTML page that needs nothing else: plots drawn as SVG.
#pragma once

#include <string>
#include <vector>

#include "fleet/result.hpp"

namespace petrelpond::fleet {

struct Curve {
    std::string name;
    std::vector<double> values;
    bool dashed = false;
    int colour = 0;
};
std::string shown(double v);
// An SVG drawing; `names` stand below the values, or their numbers where there are none.
std::string plot(const std::string& title, const std::string& unit, const std::vector<Curve>& curves,
                 const std::vector<std::string>& names = {}, const std::string& along = "seconds");
std::string plotPage(const std::string& title, const std::vector<std::string>& plots);

std::string reportPage(const std::vector<RunResult>& runs);

}  // namespace petrelpond::fleet
