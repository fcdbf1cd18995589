#include "fleet/system/network_claim.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <stdexcept>

namespace petrelpond::range {

namespace {

constexpr uint32_t kLoopback = 127u << 24;
constexpr uint32_t kFirstRange = 16, kRangeCount = 200;  // values of N in 127.N.0.0
constexpr uint32_t kClaimHost = 255u << 8 | 254u;        // no machine of a play has this address

// A socket bound to the address; -1 if that is taken.
int bindTo(uint32_t address, uint16_t port) {
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return -1;
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(address);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return fd;
    ::close(fd);
    return -1;
}

}  // namespace

NetworkClaim::NetworkClaim(uint32_t hint, uint16_t port) {
    for (uint32_t i = 0; i < kRangeCount; ++i) {
        const uint32_t range = kFirstRange + (hint + i) % kRangeCount;
        network_ = kLoopback | range << 16;
        socket_ = bindTo(network_ | kClaimHost, port);
        if (socket_ >= 0) return;
    }
    throw std::runtime_error("no range of loopback addresses is free: 200 plays are running");
}

NetworkClaim::~NetworkClaim() {
    if (socket_ >= 0) ::close(socket_);
}

}  // namespace petrelpond::range
