// Parses the lines that the relay sends on a connection that has called WATCH.
#pragma once

#include <string>
#include <variant>

#include "discovery/catalog.h"
#include "peargrade/events.h"

namespace peargrade::relay {

using discovery::Names;

/// The relay's sign of life, sent every second.
struct Heartbeat {};

/// One line of a watch. Units are those of the engine's events.
using WatchEvent = std::variant<Heartbeat, ProxyConnected, ProxyDisconnected, UpdateAcknowledged,
                                SliceAssignment, StoredRoute>;

/// Parses one line, without its line end. `slices`: number of slices in the settings.
/// Throws ParseError where the line is not one of the protocol or a value is out of range.
WatchEvent parseWatchEvent(const std::string& line, const Names& names, int slices);

/// Whether a line announces an acknowledgement, readable or not.
bool isAcknowledgementLine(const std::string& line);

}  // namespace peargrade::relay
