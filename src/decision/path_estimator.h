// Estimates the latency and failures that the network path between two zones adds.
#pragma once

#include <map>
#include <utility>

#include "decision/server_state.h"

namespace peargrade::decision {

/// Time constant of the statistics from load reports.
constexpr Micros kReportTimeConstant = 2 * kSecond;

struct PathPenalty {
  /// Added latency, in microseconds.
  double latency = 0;
  /// Added share of failed attempts, 0 to 1.
  double failureShare = 0;
};

/// Distinguishes a bad path between two zones (slow, lossy or cut) from bad servers. Reports are summed over
/// all servers of a zone. Latency and failures in excess of those that the zone of proxies with the best
/// results sees at the same servers are attributed to the path.
class PathEstimator {
 public:
  /// Estimates all penalties. Called once for each decision.
  void estimate(const ServerMap& servers, Micros now);
  [[nodiscard]] PathPenalty penalty(int serverZone, int proxyZone) const;

 private:
  std::map<std::pair<int, int>, PathPenalty> penalties_;  // by zone of the servers and zone of the proxies
};

}  // namespace peargrade::decision
