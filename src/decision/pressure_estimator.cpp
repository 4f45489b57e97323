#include "decision/pressure_estimator.h"

#include <algorithm>
#include <map>

namespace peargrade::decision {
namespace {

/// Window of the minimum of a server's latency.
constexpr Micros kMinLatencyWindow = 30 * kSecond;
/// With fewer successful attempts the latency is too uncertain for the minimum.
constexpr double kMinSuccessesForMinimum = 4;
/// With fewer (decayed) successful attempts the server has no latency estimate.
constexpr double kMinSuccessesForMean = 0.5;

}  // namespace

void PressureEstimator::record(const ServerLoadReport& report, ServerMap& servers) const {
  const Micros now = clock_.now();
  const auto it = servers.find(report.server);
  if (it == servers.end() || it->second.startedWithin(now, kReportLag + report.window)) return;
  ServerState& server = it->second;
  server.reports.reportedAt = now;
  const bool hasAnswered = server.reports.byProxyZone[report.zone].add(now, report, kReportTimeConstant);
  server.isConfirmed = hasAnswered || server.isConfirmed;
}

void PressureEstimator::estimate(ServerMap& servers, const SliceMap& slices,
                                 const std::vector<double>& fleetRatios) {
  paths_.estimate(servers, clock_.now());
  // Only admitted requests count: proxies do not send rejected ones to the servers.
  std::map<ServerId, double> requests;
  std::map<ServerId, double> objectives;
  for (const auto& [table, slice] : slices) {
    for (std::size_t k = 0; k < slice.rates.size(); ++k) {
      const double admitted = std::min(slice.admission[k].ratio(), fleetRatios[k]) * slice.rates[k];
      requests[slice.primary] += admitted;
      objectives[slice.primary] += admitted * costs_.of(k);
    }
  }
  fleetCounts_ = {};
  for (auto& [id, server] : servers) {
    ReportedLoad& reports = server.reports;
    const double successes = summarizeReports(server);
    fleetCounts_.attempts += reports.counts.attempts;
    fleetCounts_.failures += reports.counts.failures;
    if (successes >= kMinSuccessesForMinimum)
      reports.latencies.add(clock_.now(), reports.latency, kMinLatencyWindow);
    // Reports about a server without slices of this supervisor come from slices of other supervisors, whose
    // classes are unknown here. The highest cost gives the lowest pressure.
    const double objective = objectives[id] > 0 ? objectives[id] / requests[id] : costs_.maxCost();
    reports.pressure = reports.latency / (objective * kSecond);
  }
}

double PressureEstimator::summarizeReports(ServerState& server) const {
  const Micros now = clock_.now();
  double successes = 0;
  double latencySum = 0;
  AttemptCounts& counts = server.reports.counts;
  counts = {};
  for (const auto& [proxyZone, statistics] : server.reports.byProxyZone) {
    const PathPenalty path = paths_.penalty(server.endpoint.zone, proxyZone);
    const double zoneSuccesses = statistics.successes.at(now, kReportTimeConstant);
    const double attempts = statistics.attempts.at(now, kReportTimeConstant);
    const double failures = statistics.failures.at(now, kReportTimeConstant);
    successes += zoneSuccesses;
    latencySum +=
        std::max(0.0, statistics.latencySum.at(now, kReportTimeConstant) - zoneSuccesses * path.latency);
    counts.attempts += attempts;
    counts.failures += std::max(0.0, failures - attempts * path.failureShare);
  }
  server.reports.latency = successes < kMinSuccessesForMean ? 0 : latencySum / successes;
  return successes;
}

double medianPressure(const ServerMap& servers) {
  std::vector<double> pressures;
  for (const auto& [id, server] : servers) {
    if (server.isUsable()) pressures.push_back(server.reports.pressure);
  }
  if (pressures.empty()) return 0;
  std::sort(pressures.begin(), pressures.end());
  return pressures[pressures.size() / 2];
}

}  // namespace peargrade::decision
