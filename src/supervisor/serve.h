// Runs one supervisor as a process: creates the instance, the event loop and the signal handlers.
#pragma once

#include <functional>

#include "config/config.h"
#include "log/log.h"
#include "supervisor/supervisor_instance.h"

namespace peargrade::supervisor {

/// Runs a supervisor until SIGTERM or SIGINT and returns the exit code of the process. For the parameters see
/// SupervisorInstance. Throws std::runtime_error if it cannot listen on the configured address.
int serve(const config::Config& config, const std::function<config::Config()>& loadConfig, log::Log& log,
          const op::Operator* op = nullptr, const MakeSources& makeSources = nullptr);

}  // namespace peargrade::supervisor
