// An answer on a connection that we opened: bytes in, an answer out once it is whole.
#pragma once

#include <string>

#include "src/protocol/http.hpp"

namespace petrelpond::network {

struct HttpAnswer {
    std::string raw;  // the head; `head` points into it
    http::Head head;
    std::string body;
    int status = 0;
    bool closes = false;    // the connection ends behind it
    bool bodiless = false;  // to a HEAD, 204 or 304: no body may follow, whatever length is told
};

enum class Reading { incomplete, malformed, whole };

// Takes one answer off the front of `in`. ended: no more bytes will come. An answer without a length that
// only the connection's end ends can't be told from one that was cut, so it is malformed. toHead: the request
// was a HEAD.
Reading takeAnswer(std::string& in, bool ended, size_t mostBody, HttpAnswer& out, bool toHead = false);

}  // namespace petrelpond::network
