// The messages that come to the supervisor's address.
#pragma once

#include <string>
#include <variant>

#include "discovery/catalog.h"
#include "peargrade/decision_engine.h"

namespace peargrade::clients {

struct Heartbeat {};
struct Telemetry {  // a collector states its zone
  int zone = 0;
};
using Message = std::variant<Heartbeat, Telemetry, ServerLoadReport, SliceLoadReport>;

// One JSON object. Throws ParseError.
Message parseMessage(const std::string& bytes, const discovery::Names& names, int slices);

}  // namespace peargrade::clients
