#include "decision/pressure_estimator.h"

#include <algorithm>
#include <map>

namespace peargrade::decision {
namespace {

/// Window of a server's least latency.
constexpr Micros kLeastLatencyWindow = 30 * kSecond;
/// Fewer successful attempts than this say nothing of the least latency.
constexpr double kLeastSuccesses = 4;
/// Fewer successful attempts than this give no latency.
constexpr double kNoSuccesses = 0.5;

}  // namespace

void PressureEstimator::record(const ServerLoadReport& report, ServerMap& servers) const {
  const Micros now = clock_.now();
  const auto it = servers.find(report.server);
  if (it == servers.end() || it->second.startedWithin(now, kReportLag + report.window)) return;
  ServerState& server = it->second;
  server.reports.reportedAt = now;
  const bool hasAnswered = server.reports.byProxyZone[report.zone].add(now, report, kReportMemory);
  server.isConfirmed = hasAnswered || server.isConfirmed;
}

void PressureEstimator::estimate(ServerMap& servers, const SliceMap& slices,
                                 const std::vector<double>& fleetRatios) {
  paths_.estimate(servers, clock_.now());
  // Of admitted requests only: rejected ones are not answered.
  std::map<ServerId, double> requests;
  std::map<ServerId, double> objectives;
  for (const auto& [table, slice] : slices) {
    for (std::size_t k = 0; k < slice.rates.size(); ++k) {
      const double admitted = std::min(slice.publishedRatios[k], fleetRatios[k]) * slice.rates[k];
      requests[slice.primary] += admitted;
      objectives[slice.primary] += admitted * costs_.of(k);
    }
  }
  fleetCounts_ = {};
  for (auto& [id, server] : servers) {
    ReportedLoad& reports = server.reports;
    const double successes = summarize(server);
    fleetCounts_.attempts += reports.counts.attempts;
    fleetCounts_.failures += reports.counts.failures;
    if (successes >= kLeastSuccesses)
      reports.latencies.add(clock_.now(), reports.latency, kLeastLatencyWindow);
    // A server without own slices is reported on for those of other supervisors.
    const double objective = objectives[id] > 0 ? objectives[id] / requests[id] : costs_.highest();
    reports.pressure = reports.latency / (objective * kSecond);
  }
}

double PressureEstimator::summarize(ServerState& server) const {
  const Micros now = clock_.now();
  double successes = 0;
  double latencySum = 0;
  AttemptCounts& counts = server.reports.counts;
  counts = {};
  for (const auto& [proxyZone, statistics] : server.reports.byProxyZone) {
    const PathPenalty path = paths_.penalty(server.endpoint.zone, proxyZone);
    const double zoneSuccesses = statistics.successes.at(now, kReportMemory);
    const double attempts = statistics.attempts.at(now, kReportMemory);
    const double failures = statistics.failures.at(now, kReportMemory);
    successes += zoneSuccesses;
    latencySum += std::max(0.0, statistics.latencySum.at(now, kReportMemory) - zoneSuccesses * path.latency);
    counts.attempts += attempts;
    counts.failures += std::max(0.0, failures - attempts * path.failureShare);
  }
  server.reports.latency = successes < kNoSuccesses ? 0 : latencySum / successes;
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
