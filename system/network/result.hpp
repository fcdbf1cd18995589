// What may fail gives a value or a Problem, which says at which step and at which peer it arose.
#pragma once

#include <string>
#include <variant>

namespace petrelpond::network {

struct Problem {
    std::string step;  // what was being done, as "read settings"
    std::string peer;  // with whom or with what: an address, a file, a path within a document
    std::string what;  // what is wrong and what was expected
    std::string line() const { return step + ": " + peer + ": " + what; }
};

template <class T>
using Result = std::variant<T, Problem>;

}  // namespace petrelpond::network
