// One supervisor from its configuration to its end: builds both sides and the exchange and runs the loop.
#pragma once

#include "config/config.h"
#include "log/log.h"

namespace peargrade::supervisor {

// Serves until SIGTERM or SIGINT; returns the exit code.
int serve(const config::Config& config, log::Log& log);

}  // namespace peargrade::supervisor
