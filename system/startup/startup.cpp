#include "system/startup/startup.hpp"

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

std::optional<StartupContext> initialize(const char* program, const char* description, int argc, char** argv,
                                         int& exitCode) {
    char* settingsFile = nullptr;
    char* logLevel = nullptr;
    char* loopback = nullptr;
    int checkOnly = 0, showVersion = 0, seed = 0;
    poptOption options[] = {
        {"settings", 's', POPT_ARG_STRING, &settingsFile, 0, "settings file (default: $PETRELPOND_NODE_FILE)",
         "FILE"},
        {"log-level", 'l', POPT_ARG_STRING, &logLevel, 0, "debug, info (default), warning, error or off",
         "LEVEL"},
        {"check", 'c', POPT_ARG_NONE, &checkOnly, 0, "check the settings, print any problems and exit",
         nullptr},
        {"loopback", 0, POPT_ARG_STRING, &loopback, 0,
         "address that the proxy and the agent of a machine use (default: 127.0.0.1)", "IP"},
        {"seed", 0, POPT_ARG_INT, &seed, 0, "random seed (default: drawn at random)", "N"},
        {"version", 'V', POPT_ARG_NONE, &showVersion, 0, "print the version and exit", nullptr},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext parser = poptGetContext(program, argc, const_cast<const char**>(argv), options, 0);
    poptSetOtherOptionHelp(parser, "[OPTION...]");
    int parseResult = poptGetNextOpt(parser);
    auto fail = [&](const std::string& line) {
        std::fprintf(stderr, "%s: %s\n", program, line.c_str());
        poptFreeContext(parser);
        exitCode = 2;
        return std::nullopt;
    };
    if (parseResult < -1)
        return fail(std::string("command line: ") + poptBadOption(parser, POPT_BADOPTION_NOALIAS) + ": " +
                    poptStrerror(parseResult));
    if (const char* unexpected = poptGetArg(parser))
        return fail(std::string("command line: ") + unexpected + ": not expected");
    if (showVersion) {
        std::printf("%s %s: %s\n", program, kVersion, description);
        poptFreeContext(parser);
        exitCode = 0;
        return std::nullopt;
    }
    std::string logLevelName = logLevel ? logLevel : "info";
    auto parsedLevel = spdlog::level::from_str(logLevelName);
    if (parsedLevel == spdlog::level::off && logLevelName != "off")
        return fail("command line: --log-level: " + logLevelName +
                    ": debug, info, warning, error or off expected");
    StartupContext startup;
    if (loopback) startup.loopback = loopback;
    if (!configuration::parseAddress(startup.loopback + ":1"))
        return fail("command line: --loopback: " + startup.loopback + ": an IPv4 address expected");
    const char* environmentFile = std::getenv("PETRELPOND_NODE_FILE");
    if (!settingsFile && !environmentFile)
        return fail("settings: no file given by --settings or PETRELPOND_NODE_FILE");
    startup.settingsPath = settingsFile ? settingsFile : environmentFile;
    auto read = configuration::readSettings(startup.settingsPath);
    if (auto* problem = std::get_if<network::Problem>(&read)) return fail(problem->line());
    startup.settings = std::get<configuration::Settings>(std::move(read));
    poptFreeContext(parser);
    if (checkOnly) {
        for (const std::string& warning : startup.settings.doubts)
            std::printf("%s: doubtful: %s\n", program, warning.c_str());
        std::printf("%s: settings of %s can be used\n", program, startup.settings.nodeName.c_str());
        exitCode = 0;
        return std::nullopt;
    }
    auto log = std::make_shared<spdlog::logger>(program, std::make_shared<spdlog::sinks::stdout_sink_st>());
    log->set_level(parsedLevel);
    log->set_pattern("%H:%M:%S.%e %l %v");
    log->flush_on(spdlog::level::trace);
    spdlog::set_default_logger(log);
    for (const std::string& warning : startup.settings.doubts)
        spdlog::warn("settings: doubtful: {}", warning);
    // A fixed threshold, since glibc otherwise raises it with the largest freed block: large bodies then go
    // back to the system when freed, instead of fragmenting the heap of a process with bounded memory.
    // Drawback: a system call for each large body.
    mallopt(M_MMAP_THRESHOLD, 64 * 1024);
    startup.randomSeed = seed ? static_cast<uint32_t>(seed) : std::random_device{}();
    return startup;
}

}  // namespace petrelpond::startup
