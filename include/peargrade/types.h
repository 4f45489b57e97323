// Identifier types and the time unit used in the settings, events and actions of the decision engine.
#pragma once

#include <cstdint>
#include <string>

namespace peargrade {

/// A duration, or a point in time as Unix time by the caller's clock. Microseconds.
using Micros = std::int64_t;

/// The id of a server in the endpoint list: printable, opaque to the engine.
using ServerId = std::string;

/// The number of a proxy, 0 to 65535.
using ProxyId = int;

/// The number of a routing table: that of its slice, or of its proxy if Settings::slices is 0.
using TableId = int;

/// As the table of an action: all tables of this supervisor.
constexpr TableId kAllTables = 65535;

}  // namespace peargrade
