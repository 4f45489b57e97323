/// State of one connection that the report server has accepted.
#pragma once

#include <memory>
#include <string>

#include "clients/frame_decoder.h"
#include "net/stream.h"
#include "peargrade/types.h"

namespace peargrade::clients {

/// What kind of client a peer is, judged by its messages. A peer starts as Unidentified; a heartbeat makes it
/// a HealthChecker, a join makes it a Collector. A peer never returns to an earlier role.
enum class Role { Unidentified, HealthChecker, Collector };

/// The name of `role` in log lines.
inline const char* roleName(Role role) {
  switch (role) {
    case Role::Unidentified:
      return "unidentified";
    case Role::HealthChecker:
      return "health-checker";
    case Role::Collector:
      return "collector";
  }
  return "unknown";
}

/// Owned by ConnectionTable, which maintains `bufferedBytes`; ReportServer maintains the other members. Times
/// are in microseconds of the report server's clock.
struct Connection {
  std::string peer;  ///< Address and port, for log lines.
  std::unique_ptr<net::Stream> stream;
  FrameDecoder decoder;
  Role role = Role::Unidentified;
  /// Heartbeats received and not answered yet.
  int pendingHeartbeats = 0;
  /// Number of consecutive frames whose body was not JSON.
  int malformedFrames = 0;
  Micros acceptedAt = 0;
  /// Time of the last valid message, or of the accept if there was none.
  Micros lastActivity = 0;
  /// Time at which the incomplete message began to arrive; 0 if no message is incomplete.
  Micros messageStartedAt = 0;
  /// Memory of the incomplete message, in bytes, as included in ConnectionTable::bufferedBytes().
  std::size_t bufferedBytes = 0;
};

}  // namespace peargrade::clients
