// What every program of the system does first: command line, settings file, log.
#pragma once

#include <spdlog/spdlog.h>

#include <memory>
#include <optional>
#include <string>

#include "system/configuration/settings.hpp"

namespace petrelpond::startup {

struct StartupContext {
    configuration::Settings settings;
    std::string settingsPath;
    std::string loopback = "127.0.0.1";  // where proxy and agent of one machine talk
    uint32_t randomSeed = 1;             // seeds every generator of the process
};

// Reads the words of the command line and the settings. Where the program is to end at once (a mistake,
// --help,
// --check) `code` is its exit code and nothing is returned. Mistakes are told in one line on standard error.
std::optional<StartupContext> initialize(const char* program, const char* description, int argc, char** argv,
                                         int& exitCode);

}  // namespace petrelpond::startup
