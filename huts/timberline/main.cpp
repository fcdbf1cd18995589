// timberline: the proxy on an edge machine. Takes requests from clients and carries them to instances.
#include <csignal>
#include <cstdio>

#include "huts/timberline/proxy.hpp"
#include "huts/trailhead/start.hpp"

using namespace petrelpond;

int main(int argc, char** argv) {
    int code = 0;
    auto start =
        trailhead::start("timberline", "carries requests from clients to instances", argc, argv, code);
    if (!start) return code;
    eagle::Loop loop;
    timberline::Proxy proxy(loop, start->settings, start->chance, start->loopback);
    std::string error;
    if (!proxy.open(error)) {
        std::fprintf(stderr, "timberline: listen: %s\n", error.c_str());
        return 1;
    }
    loop.onSignal(SIGTERM, [&] { proxy.leave(); });
    loop.onSignal(SIGINT, [&] { proxy.leave(); });
    loop.onSignal(SIGHUP, [] {});  // nothing of the settings that changes concerns the proxy
    loop.onSignal(SIGUSR1, [&] { proxy.logCounters(); });
    loop.run();
    return 0;
}
