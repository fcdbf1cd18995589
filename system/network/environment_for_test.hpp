// How long a search or a measurement runs, as asked for by a variable of the environment. For tests alone.
#pragma once

#include <cstdint>
#include <cstdlib>

namespace petrelpond {

inline uint32_t numberFromEnvironment(const char* name, uint32_t otherwise) {
    const char* said = std::getenv(name);
    return said ? static_cast<uint32_t>(std::strtoul(said, nullptr, 10)) : otherwise;
}

}  // namespace petrelpond
