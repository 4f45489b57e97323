// One supervisor from its configuration to its end: builds both sides and the exchange and runs the loop.
#pragma once

#include <functional>

#include "config/config.h"
#include "log/log.h"

namespace peargrade::supervisor {

// SIGHUP before a supervisor can act on it would end the process: held back from here on until it can.
void holdReloads();

// Serves until SIGTERM or SIGINT; returns the exit code. `loadAgain` reads the configuration at SIGHUP.
int serve(const config::Config& config, const std::function<config::Config()>& loadAgain, log::Log& log);

}  // namespace peargrade::supervisor
