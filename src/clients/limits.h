/// Resource and time limits of the report server, for one client and for all clients together.
#pragma once

#include <cstddef>

#include "peargrade/types.h"

namespace peargrade::clients {

/// Durations are in microseconds. Ages are measured from the accept or from the start of a message, so that a
/// client cannot extend them by sending slowly. docs/service.md lists the limits for operators.
struct ReportServerLimits {
  /// Maximum number of open connections, including those in a lingering close.
  std::size_t connections = 900;
  /// Connections accepted per event loop iteration, so that a flood of connections does not delay other
  /// events.
  std::size_t acceptsPerTurn = 64;

  /// Memory of the incomplete messages of all connections, in bytes.
  std::size_t incompleteMessageBytes = 24 << 20;
  /// Length of a message of a peer that has not joined as a collector, in bytes.
  std::size_t messageBytesBeforeJoin = 4096;
  /// Replies queued for a peer that does not read them, in bytes.
  std::size_t unsentReplyBytes = 64 << 10;
  /// Consecutive frames of a collector whose body is not JSON. At this number the stream is assumed to have
  /// lost its framing, and the connection is closed.
  int consecutiveMalformedFrames = 3;

  /// Age at which a peer that has sent neither a join nor a heartbeat is rejected: 1.5 s. The protocol allows
  /// clients 1 s.
  Micros unidentifiedAge = 1500000;
  /// Age at which a peer that has sent heartbeats but no join is closed: 10 s.
  Micros healthCheckerAge = 10000000;
  /// Time from the first byte of a message to its last: 1 s.
  Micros messageDuration = 1000000;
  /// Time without a valid message after which a collector is closed: 30 s. The protocol has no keep-alive for
  /// collectors.
  Micros collectorSilence = 30000000;
  /// Interval between two checks of the age limits: 0.1 s.
  Micros sweepInterval = 100000;

  /// Duration of the lingering close of a rejected connection: 0.5 s.
  Micros lingerDuration = 500000;
  /// Input discarded during a lingering close, in bytes.
  std::size_t lingerBytes = 256 << 10;
};

}  // namespace peargrade::clients
