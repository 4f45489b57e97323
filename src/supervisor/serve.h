// One supervisor from its configuration to its end: builds both sides and the exchange and runs the loop.
#pragma once

#include <functional>

#include "config/config.h"
#include "log/log.h"
#include "sources/front.h"

namespace peargrade::supervisor {

// Serves until SIGTERM or SIGINT; returns the exit code. `loadAgain` reads the configuration at SIGHUP.
// `sources`: makes the front of the sources that an operator's file names; none: discovery is the only one.
using MakeSources = std::function<std::unique_ptr<sources::Front>(sources::Surroundings)>;
int serve(const config::Config& config, const std::function<config::Config()>& loadAgain, log::Log& log,
          const op::Operator* op = nullptr, const MakeSources& sources = nullptr);

}  // namespace peargrade::supervisor
