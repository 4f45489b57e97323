#include "decision/path_estimator.h"

#include <algorithm>

namespace peargrade::decision {
namespace {

/// A path is slow if its latency exceeds this multiple of the latency of the best path.
constexpr double kSlowPathFactor = 2;
/// A path is lossy if its share of failed attempts exceeds that of the best path by more than this.
constexpr double kLossyPathMargin = 0.05;
/// Greater than any latency.
constexpr double kInfiniteLatency = 1e18;

using StatisticsByZone = std::map<int, ZoneStatistics>;  // by zone of the proxies

std::map<int, StatisticsByZone> statisticsBetweenZones(const ServerMap& servers, Micros now) {
  std::map<int, StatisticsByZone> statistics;  // by zone of the servers
  for (const auto& [id, server] : servers) {
    for (const auto& [proxyZone, zoneStatistics] : server.reports.byProxyZone)
      statistics[server.endpoint.zone][proxyZone].add(now, zoneStatistics, kReportTimeConstant);
  }
  return statistics;
}

}  // namespace

void PathEstimator::estimate(const ServerMap& servers, Micros now) {
  penalties_.clear();
  for (const auto& [serverZone, byProxyZone] : statisticsBetweenZones(servers, now)) {
    double bestLatency = kInfiniteLatency;
    double bestFailureShare = 1;
    for (const auto& [proxyZone, statistics] : byProxyZone) {
      const double latency = statistics.meanLatency(now, kReportTimeConstant);
      if (latency > 0) bestLatency = std::min(bestLatency, latency);
      bestFailureShare =
          std::min(bestFailureShare, statistics.counts(now, kReportTimeConstant).failureShare());
    }
    for (const auto& [proxyZone, statistics] : byProxyZone) {
      const double latency = statistics.meanLatency(now, kReportTimeConstant);
      const double failureShare = statistics.counts(now, kReportTimeConstant).failureShare();
      PathPenalty& penalty = penalties_[{serverZone, proxyZone}];
      if (latency > kSlowPathFactor * bestLatency) penalty.latency = latency - bestLatency;
      if (failureShare > bestFailureShare + kLossyPathMargin)
        penalty.failureShare = failureShare - bestFailureShare;
    }
  }
}

PathPenalty PathEstimator::penalty(int serverZone, int proxyZone) const {
  const auto it = penalties_.find({serverZone, proxyZone});
  return it == penalties_.end() ? PathPenalty{} : it->second;
}

}  // namespace peargrade::decision
