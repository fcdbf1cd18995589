#include "system/startup/start.hpp"

#include <malloc.h>
#include <popt.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <cstdio>
#include <cstdlib>
#include <random>

namespace petrelpond::startup {

namespace {
constexpr const char* kVersion = "0.1";
}

std::optional<Start> start(const char* program, const char* job, int argc, char** argv, int& code) {
    char* file = nullptr;
    char* level = nullptr;
    char* loopback = nullptr;
    int check = 0, version = 0, seed = 0;
    poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &file, 0, "settings file; else $PETRELPOND_NODE_FILE names it",
         "FILE"},
        {"log-level", 'l', POPT_ARG_STRING, &level, 0, "debug, info (unless said otherwise), warning, error",
         "LEVEL"},
        {"check", 'c', POPT_ARG_NONE, &check, 0, "read the settings, say what is wrong with them, and end",
         nullptr},
        {"loopback", 0, POPT_ARG_STRING, &loopback, 0,
         "address at which proxy and agent of one machine talk, 127.0.0.1 unless said otherwise", "IP"},
        {"seed", 0, POPT_ARG_INT, &seed, 0, "seed of all chance; else drawn", "N"},
        {"version", 'V', POPT_ARG_NONE, &version, 0, "say the version and end", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext(program, argc, const_cast<const char**>(argv), options, 0);
    poptSetOtherOptionHelp(context, "[OPTION...]");
    int said = poptGetNextOpt(context);
    auto wrong = [&](const std::string& line) {
        std::fprintf(stderr, "%s: %s\n", program, line.c_str());
        poptFreeContext(context);
        code = 2;
        return std::nullopt;
    };
    if (said < -1)
        return wrong(std::string("command line: ") + poptBadOption(context, POPT_BADOPTION_NOALIAS) + ": " +
                     poptStrerror(said));
    if (const char* rest = poptGetArg(context))
        return wrong(std::string("command line: ") + rest + ": not expected");
    if (version) {
        std::printf("%s %s: %s\n", program, kVersion, job);
        poptFreeContext(context);
        code = 0;
        return std::nullopt;
    }
    std::string levelName = level ? level : "info";
    auto parsed = spdlog::level::from_str(levelName);
    if (parsed == spdlog::level::off && levelName != "off")
        return wrong("command line: --log-level: " + levelName +
                     ": debug, info, warning, error or off expected");
    Start out;
    if (loopback) out.loopback = loopback;
    if (!configuration::parseAddress(out.loopback + ":1"))
        return wrong("command line: --loopback: " + out.loopback + ": an IPv4 address expected");
    const char* named = std::getenv("PETRELPOND_NODE_FILE");
    if (!file && !named) return wrong("settings: none named by --settings or PETRELPOND_NODE_FILE");
    out.settingsPath = file ? file : named;
    auto read = configuration::readSettings(out.settingsPath);
    if (auto* problem = std::get_if<network::Problem>(&read)) return wrong(problem->line());
    out.settings = std::get<configuration::Settings>(std::move(read));
    poptFreeContext(context);
    if (check) {
        for (const std::string& doubt : out.settings.doubts)
            std::printf("%s: doubtful: %s\n", program, doubt.c_str());
        std::printf("%s: settings of %s can be used\n", program, out.settings.nodeName.c_str());
        code = 0;
        return std::nullopt;
    }
    auto log = std::make_shared<spdlog::logger>(program, std::make_shared<spdlog::sinks::stdout_sink_st>());
    log->set_level(parsed);
    log->set_pattern("%H:%M:%S.%e %l %v");
    log->flush_on(spdlog::level::trace);
    spdlog::set_default_logger(log);
    for (const std::string& doubt : out.settings.doubts) spdlog::warn("settings: doubtful: {}", doubt);
    // Fixed, so that it does not rise with the largest body seen: what is large goes back to the machine when
    // it is freed, instead of staying between small blocks in a process that is bound in memory. Harm: a
    // system call for each large body.
    mallopt(M_MMAP_THRESHOLD, 64 * 1024);
    out.chance = seed ? static_cast<uint32_t>(seed) : std::random_device{}();
    return out;
}

}  // namespace petrelpond::startup
