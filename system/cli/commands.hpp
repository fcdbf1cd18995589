// The commands of petrelctl. Exit codes: 0 done, 1 not done, 2 not understood.
#pragma once

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "petrelpond/time.hpp"
#include "system/network/stream.hpp"

namespace petrelpond::cli {

struct Orders {
    std::string command, operand, second;
    std::vector<network::Address> cores;
    bool json = false, raw = false;
    std::optional<Span> timeout;  // nothing: 30 s to put, to wait and to replace, 5 s else
};

struct Surroundings {
    std::ostream& out;
    std::ostream& err;
    std::function<Instant()> clock;
    std::function<void(Span)> pause;
    // How long a core may be silent; for large bodies another second a megabyte.
    Span silence = Span::seconds(1);
};

// Reads the words of the command line; `control` is PETRELPOND_CONTROL, or null. nothing: ends with `code`.
std::optional<Orders> readOrders(int argc, const char** argv, const char* control, const Surroundings&,
                                 int& code);
int run(const Orders&, const Surroundings&);

}  // namespace petrelpond::cli
