// What the network path between two zones adds to latency and failures.
#pragma once

#include <map>
#include <utility>

#include "decision/server_state.h"

namespace peargrade::decision {

/// Time constant of the statistics of load reports.
constexpr Micros kReportMemory = 2 * kSecond;

struct PathPenalty {
  /// Added latency, in microseconds.
  double latency = 0;
  /// Added share of failed attempts.
  double failureShare = 0;
};

/// Tells a bad path between zones (slow, lossy or cut) from bad servers: what one zone's proxies experience
/// at all servers of a zone, beyond what the best placed proxies experience there, is the path's.
class PathEstimator {
 public:
  /// Called once for each decision.
  void estimate(const ServerMap& servers, Micros now);
  [[nodiscard]] PathPenalty penalty(int serverZone, int proxyZone) const;

 private:
  std::map<std::pair<int, int>, PathPenalty> penalties_;  // by zone of the servers, of the proxies
};

}  // namespace peargrade::decision
