// What the program is told at its start.
#pragma once

#include <cstdint>
#include <string>

#include "src/crew/members.hpp"
#include "src/protocol/messages.hpp"
#include "src/store/store.hpp"

namespace petrelpond {

struct Config {
    std::string name, listen, discovery, state;
    int listener = -1;  // a listening socket that the platform has and this process inherits; -1: none
    std::string ops;  // host:port of the operators' address; empty: none
    uint64_t seed = 0;
    int64_t memoryMb = 192, sockets = 1024, diskMb = 3;
    // Of the store, for installations other than the platform's, whose folder needs no sync.
    Durability durability = Durability::written;
    Span gatherFor = Span::millis(2);
    bool reserve = false;
    std::string replica;  // host:port of the standby without which nothing is taken on; empty: none
    MemberList known;
    Settings settings;
    std::string crewListen;  // host:port; empty: no crew
    crew::Settings crew;
};

// Reads the file that LB_CONFIG names; the other variables go over what stands in it, but for discovery: its
// address may change in the file while the process runs, and a later start must find the new one. Throws
// Malformed.
Config readConfig();

}  // namespace petrelpond
