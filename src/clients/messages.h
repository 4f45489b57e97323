/// Messages that collectors and health checkers send to the supervisor's address, and their JSON parser.
#pragma once

#include <string>
#include <variant>

#include "discovery/catalog.h"
#include "peargrade/decision_engine.h"

namespace peargrade::clients {

/// A liveness question, by anyone on any connection. Wire: `hb`.
struct Heartbeat {};

/// A collector states its zone; its load reports are accepted from then on. Wire: `telemetry`.
struct CollectorJoin {
  int zone = 0;  ///< Index into the zones of the settings.
};

using Message = std::variant<Heartbeat, CollectorJoin, ServerLoadReport, SliceLoadReport>;

/// Parses the JSON object of one frame. Names become indices into `names`, milliseconds become microseconds.
/// `slices`: number of slices in the settings. Throws ParseError with the field at fault.
Message parseMessage(const std::string& bytes, const discovery::Names& names, int slices);

}  // namespace peargrade::clients
