// petrel-control-plane: the control program on a core machine.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "system/control_plane/control.hpp"
#include "system/startup/startup.hpp"

using namespace petrelpond;

int main(int argc, char** argv) {
    int code = 0;
    auto start = startup::initialize("petrel-control-plane", "keeps the configuration and plans instances",
                                     argc, argv, code);
    if (!start) return code;
    network::Loop loop;
    consensus::Defect defect = consensus::Defect::none;
#ifdef PETRELPOND_RANGE_FAULTS  // deliberate faults in the test range's build, which it must detect
    const std::string_view said = std::getenv("PETRELPOND_TWIN") ? std::getenv("PETRELPOND_TWIN") : "";
    if (said == "hasty-amnesiac") defect = consensus::Defect::skipsRecovery;
    if (said == "ack-before-sync") defect = consensus::Defect::ackBeforeSync;
    if (said == "no-write-back") defect = consensus::Defect::noWriteBack;
    if (said == "forgets-promise") defect = consensus::Defect::forgetsPromises;
#endif
    control_plane::Control control(loop, start->settings, start->randomSeed, defect);
    std::string error;
    if (!control.open(error)) {
        std::fprintf(stderr, "petrel-control-plane: open: %s\n", error.c_str());
        return 1;
    }
    loop.onSignal(SIGTERM, [&] { control.leave(); });
    loop.onSignal(SIGINT, [&] { control.leave(); });
    loop.onSignal(SIGUSR1, [&] { control.logCounters(); });
    loop.onSignal(SIGHUP, [&] {
        auto read = configuration::readSettings(start->settingsPath);
        if (auto* problem = std::get_if<network::Problem>(&read))
            return spdlog::error("settings kept: {}", problem->line());
        control.applySettings(std::get<configuration::Settings>(read));
    });
    loop.run();
    return 0;
}
