// One real sender, from its start to its end.
#pragma once

#include <signal.h>

#include "src/program/config.hpp"
#include "src/program/log.hpp"

namespace petrelpond {

// Serves until a SIGTERM or SIGINT among those signals, which its threads block; then it does not come back but
// ends the process. What it returns is why it could not begin.
int serveUntilTold(Config& config, Log& log, const sigset_t& signals);

}  // namespace petrelpond
