// One supervisor as a process, from its configuration to its exit: an instance, the loop and the signals.
#pragma once

#include <functional>

#include "config/config.h"
#include "log/log.h"
#include "supervisor/supervisor_instance.h"

namespace peargrade::supervisor {

/// Serves until SIGTERM or SIGINT and returns the exit code. The other parameters are those of
/// SupervisorInstance. Throws std::runtime_error where the address cannot be listened on.
int serve(const config::Config& config, const std::function<config::Config()>& loadConfig, log::Log& log,
          const op::Operator* op = nullptr, const MakeSources& makeSources = nullptr);

}  // namespace peargrade::supervisor
