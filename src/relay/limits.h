// Timeouts and size limits of the connections to the relay.
#pragma once

#include <cstddef>

#include "peargrade/types.h"

namespace peargrade::relay {

/// Durations are in microseconds.
struct Limits {
  /// Limit for establishing a connection. Short, because the relay is close in the network.
  Micros connectTimeout = 250000;
  /// A watch that delivers no complete line for this long is closed. The relay sends a heartbeat every
  /// second.
  Micros watchIdleTimeout = 2500000;
  /// Limit for the reply to a call. The relay replies within 50 ms or not at all.
  Micros replyTimeout = 150000;
  /// Delay before the next call after a call was throttled.
  Micros throttledDelay = 100000;
  /// Events of a slice and its routes are posted together once no further line of a slice has arrived for
  /// this long.
  Micros batchDelay = 20000;
  /// Longest time that an event waits for the rest of its batch.
  Micros batchDelayMax = 200000;
  /// Shortest and longest backoff between connection attempts.
  Micros reconnectDelayMin = 20000;
  Micros reconnectDelayMax = 250000;
  /// The replay of a new watch ends at the first heartbeat that arrives after this time.
  Micros replayDuration = 300000;
  /// Longest line accepted from the relay, in bytes.
  std::size_t lineBytesMax = 4096;
  /// Limit of the stored routes of one slice. A watch that reports more is closed.
  std::size_t routesPerSliceMax = 1024;
  /// Events of the watch that are posted together at most.
  std::size_t batchEventsMax = 8192;
  /// Limit of pending commands; beyond it the oldest are discarded.
  std::size_t pendingCommandsMax = 50000;
};

}  // namespace peargrade::relay
