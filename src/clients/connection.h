/// State of one connection to the supervisor's address.
#pragma once

#include <memory>
#include <string>

#include "clients/frame_decoder.h"
#include "net/stream.h"
#include "peargrade/types.h"

namespace peargrade::clients {

/// What a peer has shown to be. It starts as Unidentified; a heartbeat makes it a HealthChecker, a join a
/// Collector. It never goes back.
enum class Role { Unidentified, HealthChecker, Collector };

/// The role as log lines name it.
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

/// Owned by ConnectionTable; ReportServer writes it but for `bufferedBytes`. Times are in microseconds of the
/// report server's clock.
struct Connection {
  std::string peer;  ///< Address and port, for log lines.
  std::unique_ptr<net::Stream> stream;
  FrameDecoder decoder;
  Role role = Role::Unidentified;
  /// Heartbeats not answered yet.
  int pendingHeartbeats = 0;
  /// Consecutive frames that are no JSON.
  int malformedFrames = 0;
  Micros acceptedAt = 0;
  /// Last valid message; the accept before the first.
  Micros lastActivity = 0;
  /// Arrival of the first byte of an incomplete message; 0 without one.
  Micros messageStartedAt = 0;
  /// Memory of the incomplete message as counted in ConnectionTable::bufferedBytes().
  std::size_t bufferedBytes = 0;
};

}  // namespace peargrade::clients
