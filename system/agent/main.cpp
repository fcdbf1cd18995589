// petrel-agent: the agent beside the proxy on an edge machine.
#include <csignal>
#include <cstdio>

#include "system/agent/agent.hpp"
#include "system/startup/startup.hpp"

using namespace petrelpond;

int main(int argc, char** argv) {
    int code = 0;
    auto start = startup::initialize(
        "petrel-agent", "keeps the proxy's link to the cores and to the other agents", argc, argv, code);
    if (!start) return code;
    network::Loop loop;
    agent::Agent agent(loop, start->settings, start->randomSeed, start->loopback);
    std::string error;
    if (!agent.open(error)) {
        std::fprintf(stderr, "petrel-agent: listen: %s\n", error.c_str());
        return 1;
    }
    loop.onSignal(SIGTERM, [&] { agent.leave(); });
    loop.onSignal(SIGINT, [&] { agent.leave(); });
    loop.onSignal(SIGUSR1, [&] { agent.logCounters(); });
    loop.onSignal(SIGHUP, [&] {
        auto read = configuration::readSettings(start->settingsPath);
        if (auto* problem = std::get_if<network::Problem>(&read))
            return spdlog::error("settings kept: {}", problem->line());
        agent.applySettings(std::get<configuration::Settings>(read));
    });
    loop.run();
    return 0;
}
