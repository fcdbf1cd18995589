// What an operator is told of configurations: mistakes one by one, and what changes from one to another.
#pragma once

#include <string>
#include <vector>

#include "system/configuration/configuration.hpp"
#include "system/network/result.hpp"

namespace petrelpond::cli {

struct Mistake {
    std::string path;  // within the document, as "/route_table/0/timeout_ms"
    std::string what;
};
std::vector<Mistake> mistakesOf(const network::Problem& problem);  // of configuration::readConfiguration

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
std::vector<Change> changes(const configuration::Configuration& from, const configuration::Configuration& to);

std::string changesText(const configuration::Configuration* from,
                        const configuration::Configuration& to);  // from null: none in force
std::string changesJson(const configuration::Configuration* from, const configuration::Configuration& to);
std::string summaryText(const configuration::Configuration&);
std::string summaryJson(const configuration::Configuration&);

}  // namespace petrelpond::cli
