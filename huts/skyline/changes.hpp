// What an operator is told of configurations: mistakes one by one, and what changes from one to another.
#pragma once

#include <string>
#include <vector>

#include "huts/eagle/result.hpp"
#include "huts/tilly/configuration.hpp"

namespace petrelpond::skyline {

struct Mistake {
    std::string path;  // within the document, as "/route_table/0/timeout_ms"
    std::string what;
};
std::vector<Mistake> mistakesOf(const eagle::Problem& problem);  // of tilly::readConfiguration

struct FieldChange {
    std::string field, from, to;
};
struct Change {
    enum How { added, removed, altered } how = altered;
    std::string kind;  // route, service, limits
    std::string name;
    std::vector<FieldChange> fields;  // of what was altered; one that came has "to", one that went "from"
};
// Routes and services are told apart by their names. Sorted by kind, then by name.
std::vector<Change> changes(const tilly::Configuration& from, const tilly::Configuration& to);

std::string changesText(const tilly::Configuration* from,
                        const tilly::Configuration& to);  // from null: none in force
std::string changesJson(const tilly::Configuration* from, const tilly::Configuration& to);
std::string summaryText(const tilly::Configuration&);
std::string summaryJson(const tilly::Configuration&);

}  // namespace petrelpond::skyline
