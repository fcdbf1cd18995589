// Questions to cores over HTTP/1.1, asked side by side; returns once each has its answer or its time is over.
#pragma once

#include <string>
#include <vector>

#include "petrelpond/time.hpp"
#include "system/network/stream.hpp"

namespace petrelpond::cli {

struct Question {
    network::Address to;
    std::string method, target, body;
    Span operationTimeout;  // from now to the whole answer
};

struct Reply {
    int status = 0;  // 0: no whole answer; the call may have been carried out all the same
    std::string body;
    std::string location;  // of a 307
    std::string why;       // where status is 0
};

std::vector<Reply> ask(const std::vector<Question>& questions);  // in the order of the questions

}  // namespace petrelpond::cli
