// silcox: the agent beside the proxy on an edge machine.
#include <csignal>
#include <cstdio>

#include "huts/silcox/agent.hpp"
#include "huts/trailhead/start.hpp"

using namespace petrelpond;

int main(int argc, char** argv) {
    int code = 0;
    auto start = trailhead::start("silcox", "keeps the proxy's link to the cores and to the other agents",
                                  argc, argv, code);
    if (!start) return code;
    eagle::Loop loop;
    silcox::Agent agent(loop, start->settings, start->chance, start->loopback);
    std::string error;
    if (!agent.open(error)) {
        std::fprintf(stderr, "silcox: listen: %s\n", error.c_str());
        return 1;
    }
    loop.onSignal(SIGTERM, [&] { agent.leave(); });
    loop.onSignal(SIGINT, [&] { agent.leave(); });
    loop.onSignal(SIGUSR1, [&] { agent.logCounters(); });
    loop.onSignal(SIGHUP, [&] {
        auto read = tilly::readSettings(start->settingsPath);
        if (auto* problem = std::get_if<eagle::Problem>(&read))
            return spdlog::error("settings kept: {}", problem->line());
        agent.newSettings(std::get<tilly::Settings>(read));
    });
    loop.run();
    return 0;
}
