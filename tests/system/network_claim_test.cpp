// Plays of the whole system beside each other on one machine.
#include "fleet/system/network_claim.hpp"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <stdexcept>
#include <vector>

using petrelpond::range::NetworkClaim;

namespace {

// Not the port of real plays, which may run beside these tests.
uint16_t testPort() { return static_cast<uint16_t>(20000 + getpid() % 10000); }

}  // namespace

// Guards against two plays at the same addresses: the range was the process id modulo 200, so that the later
// of two plays whose ids agreed ended with "Address already in use".
TEST_CASE("plays whose process ids agree modulo 200 get different ranges of addresses") {
    const NetworkClaim first(1234, testPort()), second(1234, testPort()), third(1434, testPort());
    CHECK(std::set<uint32_t>{first.network(), second.network(), third.network()}.size() == 3);
    CHECK(first.network() >> 24 == 127);
}

TEST_CASE("a range is free again once its play has ended") {
    auto first = std::make_unique<NetworkClaim>(77, testPort());
    const uint32_t network = first->network();
    first.reset();
    CHECK(NetworkClaim(77, testPort()).network() == network);
}

TEST_CASE("a play for which no range is left is told so") {
    std::vector<std::unique_ptr<NetworkClaim>> all;
    CHECK_THROWS_AS(
        [&] {
            for (int i = 0; i <= 200; ++i) all.push_back(std::make_unique<NetworkClaim>(0, testPort()));
        }(),
        std::runtime_error);
    CHECK(all.size() <= 200);
}
