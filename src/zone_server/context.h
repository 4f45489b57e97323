// What a ZoneSource works with.
#pragma once

#include <event2/event.h>

#include <functional>

#include "discovery/catalog.h"
#include "log/log.h"
#include "peargrade/decision_engine.h"

namespace peargrade::zone_server {

// All of it outlives the ZoneSource.
struct Context {
  event_base* base = nullptr;
  const discovery::Names* names = nullptr;  // of the configuration
  log::Log* log = nullptr;
  std::function<Micros()> clock;  // Unix time in microseconds; it never jumps
  bool firstAnswerWarm =
      false;  // what the zone offers first has run for long (operator's `first-answer-warm`)
};

}  // namespace peargrade::zone_server
