/// Limits of the report server: what one client, and all clients together, may hold and for how long.
#pragma once

#include <cstddef>

#include "peargrade/types.h"

namespace peargrade::clients {

/// Durations are in microseconds. Ages run from the accept or from the first byte of a message, so that a
/// slow sender does not prolong them. docs/service.md lists the limits for operators.
struct ReportServerLimits {
  /// Open connections, including those in a lingering close.
  std::size_t connections = 900;
  /// Connections taken per turn of the event loop, so that a flood leaves others their turn.
  std::size_t acceptsPerTurn = 64;

  /// Memory of incomplete messages over all connections, in bytes.
  std::size_t incompleteMessageBytes = 24 << 20;
  /// Message of a peer that has not joined as a collector, in bytes.
  std::size_t messageBytesBeforeJoin = 4096;
  /// Replies that a peer has not read, in bytes.
  std::size_t unsentReplyBytes = 64 << 10;
  /// Consecutive frames of a collector that are no JSON; the framing is lost then.
  int consecutiveMalformedFrames = 3;

  /// Without a join or a heartbeat: 1.5 s. The protocol grants 1 s.
  Micros unidentifiedAge = 1500000;
  /// With heartbeats only: 10 s.
  Micros healthCheckerAge = 10000000;
  /// From the first byte of a message to its last: 1 s.
  Micros messageDuration = 1000000;
  /// Without a message of a collector: 30 s. The protocol has no keep-alive for collectors.
  Micros collectorSilence = 30000000;
  /// Between two checks of the ages: 0.1 s.
  Micros sweepInterval = 100000;

  /// Lingering close of a rejected connection: 0.5 s.
  Micros lingerDuration = 500000;
  /// Input discarded during a lingering close, in bytes.
  std::size_t lingerBytes = 256 << 10;
};

}  // namespace peargrade::clients
