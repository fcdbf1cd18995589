// petrel-proxy: the proxy on an edge machine. Receives requests from clients and forwards them to instances.
#include <csignal>
#include <cstdio>

#include "system/proxy/proxy.hpp"
#include "system/startup/startup.hpp"

using namespace petrelpond;

int main(int argc, char** argv) {
    int code = 0;
    auto start =
        startup::initialize("petrel-proxy", "carries requests from clients to instances", argc, argv, code);
    if (!start) return code;
    network::Loop loop;
    proxy::Proxy proxy(loop, start->settings, start->randomSeed, start->loopback);
    std::string error;
    if (!proxy.start(error)) {
        std::fprintf(stderr, "petrel-proxy: listen: %s\n", error.c_str());
        return 1;
    }
    loop.onSignal(SIGTERM, [&] { proxy.startDraining(); });
    loop.onSignal(SIGINT, [&] { proxy.startDraining(); });
    loop.onSignal(SIGHUP, [] {});  // no setting that can change at run time concerns the proxy
    loop.onSignal(SIGUSR1, [&] { proxy.logCounters(); });
    loop.run();
    return 0;
}
