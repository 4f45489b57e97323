// One supervisor as a process, from its configuration to its end: a Node, the loop and the signals.
#pragma once

#include <functional>

#include "config/config.h"
#include "log/log.h"
#include "supervisor/node.h"

namespace peargrade::supervisor {

// Serves until SIGTERM or SIGINT; returns the exit code. `loadAgain` reads the configuration at SIGHUP.
// `sources`: as for Node.
int serve(const config::Config& config, const std::function<config::Config()>& loadAgain, log::Log& log,
          const op::Operator* op = nullptr, const MakeSources& sources = nullptr);

}  // namespace peargrade::supervisor
