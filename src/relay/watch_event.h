// Parses the lines that the relay sends on a watch.
#pragma once

#include <string>
#include <variant>

#include "discovery/catalog.h"
#include "peargrade/events.h"

namespace peargrade::relay {

using discovery::Names;

/// The relay's heartbeat, sent every second.
struct Heartbeat {};

/// One parsed line of a watch, in the units of the engine's events.
using WatchEvent = std::variant<Heartbeat, ProxyConnected, ProxyDisconnected, UpdateAcknowledged,
                                SliceAssignment, StoredRoute>;

/// Parses one line, given without its line end. `slices` is the number of slices in the settings.
/// Throws ParseError if the line does not follow the protocol or a value is out of range.
WatchEvent parseWatchEvent(const std::string& line, const Names& names, int slices);

/// Whether a line is of the acknowledgement type, valid or not.
bool isAcknowledgementLine(const std::string& line);

}  // namespace peargrade::relay
