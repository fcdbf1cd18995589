// petrelctl: what operators ask of the cores, from a command line.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

#include "system/cli/commands.hpp"
#include "system/network/loop.hpp"

using namespace petrelpond;

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    cli::Surroundings around{std::cout, std::cerr, network::Loop::clock, [](Span pause) {
                                 std::this_thread::sleep_for(std::chrono::microseconds(pause.inMicros()));
                             }};
    int code = 0;
    auto orders = cli::readOrders(argc, const_cast<const char**>(argv), std::getenv("PETRELPOND_CONTROL"),
                                  around, code);
    if (!orders) return code;
    code = cli::run(*orders, around);
    std::cout.flush();
    return std::cout ? code : 1;  // a full disk behind `show --raw > file` must not pass for done
}
