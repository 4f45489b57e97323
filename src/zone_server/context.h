// The environment of a ZoneSource.
#pragma once

#include <event2/event.h>

#include <functional>

#include "discovery/catalog.h"
#include "log/log.h"
#include "peargrade/decision_engine.h"

namespace peargrade::zone_server {

/// The objects referred to must outlive the ZoneSource.
struct Context {
  event_base* base = nullptr;
  const discovery::Names* names = nullptr;  // of the configuration
  log::Log* log = nullptr;
  std::function<Micros()> clock;  // Unix time in microseconds; monotonic
  /// Servers in the first observation count as warm (operator setting `first-answer-warm`).
  bool firstAnswerWarm = false;
  /// Memory that updates may use in one zone, in bytes.
  std::size_t updateMemory = std::size_t{96} << 20;
};

}  // namespace peargrade::zone_server
