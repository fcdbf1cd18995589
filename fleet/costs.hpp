// What sockets add to a text's way, measured with a real sender among the stand-ins, for the model.
#pragma once

#include <string>

#include "fleet/stage.hpp"

namespace petrelpond::fleet {

// Plays three built-in scenarios, some 15 s in all. Throws std::runtime_error where too few samples
// came to speak of a median.
Model measureCosts(const StageOptions& options);
// From the samples alone: of a calm run, and of one whose texts come in clumps.
Model costsFrom(const CostSamples& calm, const CostSamples& clumps);
std::string asToml(const Model& model);  // the scenario's [model] table

}  // namespace petrelpond::fleet
