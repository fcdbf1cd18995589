// Datagrams, and streams that one thread attends to beside others.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "src/transport/socket.hpp"

namespace petrelpond {

// Never waits. Not open where the address can't be had.
Socket datagramsAt(const Address& at, std::string& problem);
bool sendDatagram(const Socket& socket, const Address& to, std::string_view bytes);
// Bytes received; -1 where nothing is there. `from`: host:port.
long receiveDatagram(const Socket& socket, char* into, size_t room, std::string& from);

// A stream that never waits, from now on coming up; not open where it can't.
Socket beginStream(const Address& to);
bool cameUp(const Socket& stream);  // once it can be written to
// What could be written now; -1 on a break.
long sendSome(const Socket& stream, std::string_view bytes);

}  // namespace petrelpond
