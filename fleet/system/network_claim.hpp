// The range of loopback addresses of one play. Plays on one machine run beside each other, each in a range of
// its own.
#pragma once

#include <cstdint>

namespace petrelpond::range {

constexpr uint16_t kClaimPort = 8199;  // below the ports that the kernel picks by itself

// Holds a range 127.N.0.0/16 until it is destroyed or its process ends. The claim is a socket bound to a
// fixed port of the range, which the kernel gives to one process at a time.
class NetworkClaim {
  public:
    // Claims a free range. The search begins at one that depends on `hint`, so that plays that start at the
    // same time seldom ask for the same one. Claims exclude each other if they use the same port. Throws
    // std::runtime_error if every range is taken.
    explicit NetworkClaim(uint32_t hint, uint16_t port = kClaimPort);
    ~NetworkClaim();
    NetworkClaim(const NetworkClaim&) = delete;
    NetworkClaim& operator=(const NetworkClaim&) = delete;

    uint32_t network() const { return network_; }  // its first address, in the byte order of this machine

  private:
    int socket_ = -1;
    uint32_t network_ = 0;
};

}  // namespace petrelpond::range
