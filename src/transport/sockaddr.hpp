// Addresses as the kernel takes them; for this package alone.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstring>

#include "src/transport/socket.hpp"

namespace petrelpond {

inline bool asSockaddr(const Address& address, sockaddr_in& out) {
    std::memset(&out, 0, sizeof out);
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(address.port));
    return inet_pton(AF_INET, address.host.c_str(), &out.sin_addr) == 1;
}

}  // namespace petrelpond
