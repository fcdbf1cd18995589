// cloudcap: the control program on a core machine.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "huts/cloudcap/control.hpp"
#include "huts/trailhead/start.hpp"

using namespace petrelpond;

int main(int argc, char** argv) {
    int code = 0;
    auto start =
        trailhead::start("cloudcap", "keeps the configuration and plans instances", argc, argv, code);
    if (!start) return code;
    eagle::Loop loop;
    muir::Twin twin = muir::Twin::none;
#ifdef PETRELPOND_RANGE_FAULTS  // the range's own set of the programs: it must find these
    const std::string_view said = std::getenv("PETRELPOND_TWIN") ? std::getenv("PETRELPOND_TWIN") : "";
    if (said == "hasty-amnesiac") twin = muir::Twin::hastyAmnesiac;
    if (said == "ack-before-sync") twin = muir::Twin::ackBeforeSync;
    if (said == "no-write-back") twin = muir::Twin::noWriteBack;
    if (said == "forgets-promise") twin = muir::Twin::forgetsPromise;
#endif
    cloudcap::Control control(loop, start->settings, start->chance, twin);
    std::string error;
    if (!control.open(error)) {
        std::fprintf(stderr, "cloudcap: open: %s\n", error.c_str());
        return 1;
    }
    loop.onSignal(SIGTERM, [&] { control.leave(); });
    loop.onSignal(SIGINT, [&] { control.leave(); });
    loop.onSignal(SIGUSR1, [&] { control.logCounters(); });
    loop.onSignal(SIGHUP, [&] {
        auto read = tilly::readSettings(start->settingsPath);
        if (auto* problem = std::get_if<eagle::Problem>(&read))
            return spdlog::error("settings kept: {}", problem->line());
        control.newSettings(std::get<tilly::Settings>(read));
    });
    loop.run();
    return 0;
}
