// Identifiers and the unit of time that the decision engine's settings, events and actions share.
#pragma once

#include <cstdint>
#include <string>

namespace peargrade {

/// A time or duration in microseconds. Points in time are Unix time as the caller's clock shows it.
using Micros = std::int64_t;

/// A server's id as the endpoint list names it: printable, opaque, without meaning to the engine.
using ServerId = std::string;

/// A proxy's number, 0 to 65535.
using ProxyId = int;

/// A routing table's number: a slice's, or a proxy's where tables are per proxy.
using TableId = int;

/// In an action on a table: every table of this supervisor.
constexpr TableId kAllTables = 65535;

}  // namespace peargrade
