// One request and its answer on a connection of ours, for calls, discovery and notices alike.
#pragma once

#include <string>

#include "src/protocol/http.hpp"
#include "src/transport/buffers.hpp"
#include "src/transport/socket.hpp"

namespace petrelpond {

struct Reply {
    // half: a first line came whole, and what follows it broke off or can't be read; odd: not even that
    enum class State { whole, half, ended, odd };
    State state = State::ended;
    http::Head head;  // views into the buffer
    std::string_view body;
    bool keep = false;  // the connection can carry another
};

// Reads one answer into the buffer, waiting for its first byte until then; passes over the interim ones.
// Where the body means nothing, an answer that says 200 is not waited for to its end.
Reply readReply(const Socket& socket, const Buffers::Lease& buffer, bool bodyMatters, Instant until);

}  // namespace petrelpond
