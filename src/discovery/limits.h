/// Bounds on what discovery may send and on how long it may take.
#pragma once

#include <cstddef>

#include "peargrade/decision_engine.h"

namespace peargrade::discovery {

/// Set by the supervisor from its memory budget; the rest are constants of the protocol. Times in
/// microseconds, sizes in bytes.
struct Limits {
  /// Longest pause between two complete lines of a watch. Discovery writes an empty line every 2 s, and an
  /// update counts as delivered after 6 s whether it arrived or not: a silent watch has to be noticed and
  /// opened again within that time.
  Micros idleTimeout = 3000000;
  /// The adaptive timeout of a first line or of a polled list starts at `idleTimeout` and doubles up to this.
  Micros firstObjectTimeoutMax = 12000000;
  /// Discovery is in the same network.
  Micros connectTimeout = 500000;
  /// One JSON object of a watch.
  std::size_t objectBytesMax = 4 << 20;
  /// One response. A watch that has carried this much is opened again.
  std::size_t responseBytesMax = 16 << 20;
  /// Backoff of connection attempts to a new address while the watch at the old one is still active.
  Micros reconnectDelayMin = 20000;
  Micros reconnectDelayMax = 250000;
};

}  // namespace peargrade::discovery
