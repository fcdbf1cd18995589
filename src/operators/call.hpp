// One line of an operator, read: which call it is and of which endpoint. Bytes in, values out.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace petrelpond::operators {

constexpr size_t kMostLine = 512;  // bytes, its end counted

struct Call {
    enum class Verb { status, outOn, outOff, standby, active, members } verb = Verb::status;
    std::string endpoint;  // of outOn and outOff
};

// Without the line's end. False: `problem` says in one line what is wrong with it.
bool readCall(std::string_view line, Call& call, std::string& problem);

}  // namespace petrelpond::operators
