#include "decision/path_estimator.h"

#include <algorithm>

namespace peargrade::decision {
namespace {

/// A path is slow from so many times the latency of the best one.
constexpr double kSlowPathFactor = 2;
/// A path is lossy from so much more failed attempts, as a share, than on the best one.
constexpr double kLossyPathShare = 0.05;
constexpr double kNoLatency = 1e18;

using StatisticsByZone = std::map<int, ZoneStatistics>;  // by zone of the proxies

std::map<int, StatisticsByZone> statisticsBetweenZones(const ServerMap& servers, Micros now) {
  std::map<int, StatisticsByZone> statistics;  // by zone of the servers
  for (const auto& [id, server] : servers) {
    for (const auto& [proxyZone, reported] : server.reports.byProxyZone)
      statistics[server.endpoint.zone][proxyZone].add(now, reported, kReportMemory);
  }
  return statistics;
}

}  // namespace

void PathEstimator::estimate(const ServerMap& servers, Micros now) {
  penalties_.clear();
  for (const auto& [serverZone, byProxyZone] : statisticsBetweenZones(servers, now)) {
    double bestLatency = kNoLatency;
    double bestFailureShare = 1;
    for (const auto& [proxyZone, statistics] : byProxyZone) {
      const double latency = statistics.meanLatency(now, kReportMemory);
      if (latency > 0) bestLatency = std::min(bestLatency, latency);
      bestFailureShare = std::min(bestFailureShare, statistics.counts(now, kReportMemory).failureShare());
    }
    for (const auto& [proxyZone, statistics] : byProxyZone) {
      const double latency = statistics.meanLatency(now, kReportMemory);
      const double failureShare = statistics.counts(now, kReportMemory).failureShare();
      PathPenalty& penalty = penalties_[{serverZone, proxyZone}];
      if (latency > kSlowPathFactor * bestLatency) penalty.latency = latency - bestLatency;
      if (failureShare > bestFailureShare + kLossyPathShare)
        penalty.failureShare = failureShare - bestFailureShare;
    }
  }
}

PathPenalty PathEstimator::penalty(int serverZone, int proxyZone) const {
  const auto it = penalties_.find({serverZone, proxyZone});
  return it == penalties_.end() ? PathPenalty{} : it->second;
}

}  // namespace peargrade::decision
