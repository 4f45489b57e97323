// Selection of the name server for the next attempt, by the latency and the failures of each. Performs no I/O
// and reads no clock.
#pragma once

#include <set>
#include <vector>

#include "peargrade/decision_engine.h"

namespace peargrade::dns {

/// Latency and failures of the name servers, by their index in the settings. Times in microseconds.
class Servers {
 public:
  explicit Servers(std::size_t count) : servers_(count) {}

  /// Selects the server with the lowest smoothed latency that is not in backoff and not in `tried`. If all
  /// untried servers are in backoff, selects the one whose backoff ends first. If all servers are in `tried`,
  /// selects among all of them. The latency of the servers not selected decays, so that a slow server is
  /// probed again from time to time.
  std::size_t select(Micros now, const std::set<std::size_t>& tried);
  void recordAnswer(std::size_t server, Micros latency);
  /// Records a missing or unusable answer. The backoff is 1 s at first and doubles with each failure,
  /// up to 30 s.
  void recordFailure(std::size_t server, Micros now);

  struct ServerStats {
    Micros smoothedLatency = 0;  // 0: never answered
    int failures = 0;            // in a row
    Micros backoffUntil = 0;
  };
  const std::vector<ServerStats>& stats() const { return servers_; }

 private:
  static constexpr Micros kInitialBackoff = 1000000;
  static constexpr Micros kMaxBackoff = 30000000;

  std::vector<ServerStats> servers_;
};

}  // namespace peargrade::dns
