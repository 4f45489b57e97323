/// Messages that collectors and health checkers send to the report server, and their JSON parser.
#pragma once

#include <string>
#include <variant>

#include "discovery/catalog.h"
#include "peargrade/decision_engine.h"

namespace peargrade::clients {

/// A health check request; any peer may send it at any time. Wire name: `hb`.
struct Heartbeat {};

/// A collector's first message, which states its zone; only then are its load reports accepted. Wire name:
/// `telemetry`.
struct CollectorJoin {
  int zone = 0;  ///< Index into the zone names of the settings.
};

using Message = std::variant<Heartbeat, CollectorJoin, ServerLoadReport, SliceLoadReport>;

/// Parses the JSON object in the body of one frame. Converts zone and request class names to indices into
/// `names`, and milliseconds to microseconds. `slices`: number of slices in the settings. Throws ParseError
/// that names the invalid field.
Message parseMessage(const std::string& bytes, const discovery::Names& names, int slices);

}  // namespace peargrade::clients
