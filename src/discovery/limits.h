/// Limits on the size and timing of responses of the discovery service.
#pragma once

#include <cstddef>

#include "peargrade/decision_engine.h"

namespace peargrade::discovery {

/// The supervisor sets the sizes from its memory budget; the times follow from the protocol. Times are in
/// microseconds, sizes in bytes.
struct Limits {
  /// Longest pause between two complete lines of a watch. Discovery sends an empty line every 2 s. An update
  /// counts as delivered after 6 s even if it did not arrive, so a silent watch must be detected and reopened
  /// within 6 s.
  Micros idleTimeout = 3000000;
  /// Maximum of the adaptive timeout for the first line of a watch or for a polled list. That timeout starts
  /// at `idleTimeout` and doubles with each timeout.
  Micros firstObjectTimeoutMax = 12000000;
  /// Short, because discovery is in the same network.
  Micros connectTimeout = 500000;
  /// Size limit of one JSON object of a watch.
  std::size_t objectBytesMax = 4 << 20;
  /// Size limit of one response. A watch that reaches it is closed and reopened.
  std::size_t responseBytesMax = 16 << 20;
  /// Range of the backoff between attempts to connect to a new address while the old watch is still active.
  Micros reconnectDelayMin = 20000;
  Micros reconnectDelayMax = 250000;
};

}  // namespace peargrade::discovery
