// Start-up shared by all programs of the system: command line, settings file and log.
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
    std::string loopback = "127.0.0.1";  // IPv4 address that the proxy and the agent of a machine use
    uint32_t randomSeed = 1;             // seed of all random generators of the process
};

// Parses the command line, reads the settings and sets up the log. `description` is printed by --version.
// Returns nullopt if the program must exit at once (an error, --help, --version, --check), with `exitCode`
// set. Errors are printed as one line on standard error.
std::optional<StartupContext> initialize(const char* program, const char* description, int argc, char** argv,
                                         int& exitCode);

}  // namespace petrelpond::startup
