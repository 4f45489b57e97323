// Time and size limits of the connections to the relay.
#pragma once

#include <cstddef>

#include "peargrade/types.h"

namespace peargrade::relay {

/// Times are in microseconds.
struct Limits {
  /// For a connection to come up; the relay is near.
  Micros connectTimeout = 250000;
  /// Without a complete line a watch is given up; the relay sends a heartbeat every second.
  Micros watchIdleTimeout = 2500000;
  /// A reply arrives within 50 ms or never.
  Micros replyTimeout = 150000;
  /// Wait after a throttled call.
  Micros throttledDelay = 100000;
  /// A slice and its routes are posted together once no more lines of them come for so long, ...
  Micros batchDelay = 20000;
  /// ... but no later than this after the first.
  Micros batchDelayMax = 200000;
  /// Backoff between attempts to connect.
  Micros reconnectDelayMin = 20000;
  Micros reconnectDelayMax = 250000;
  /// The replay of a new watch is over at the first heartbeat after so long.
  Micros replayDuration = 300000;
  /// Longest line of the relay, in bytes.
  std::size_t lineBytesMax = 4096;
  /// Commands that may be pending; beyond it the oldest are lost.
  std::size_t pendingCommandsMax = 50000;
};

}  // namespace peargrade::relay
