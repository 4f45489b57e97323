#include "decision/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// Fewer attempts than this say nothing.
constexpr double kLeastAttempts = 6;
/// Share of failed attempts from which a server may be an outlier.
constexpr double kOutlierFailureShare = 0.4;
/// An outlier's share of failed attempts, in shares of the other servers.
constexpr double kOutlierFactor = 3;
/// Share of successful attempts that shows that a server is there.
constexpr double kAliveShare = 0.2;
/// The first ejection time of an outlier.
constexpr Micros kLeastEjectionTime = 8 * kSecond;
/// Time between the first two health checks of a server; it grows with the time that it is known.
constexpr Micros kFirstHealthCheckInterval = 500 * kMillisecond;

}  // namespace

void OutlierDetector::detect(ServerMap& servers, const AttemptCounts& fleetCounts) {
  const Micros now = clock_.now();
  for (auto& [id, server] : servers) {
    if (server.outlier.hasExpired(now)) release(id, server);
    checkHealth(id, server);
    const AttemptCounts& counts = server.reports.counts;
    if (server.isReady())
      server.departedAt = 0;
    else if (server.departedAt == 0)
      server.departedAt = now;
    // The list may be wrong: a server that it drops counts until its answers stop as well.
    server.isPresumedAlive = settings_.removalIsAdvisory && counts.attempts > 0 &&
                             counts.failureShare() < 1 - kAliveShare && !server.outlier.isOutlier();
    if (!isOutlier(server, fleetCounts)) continue;
    server.outlier.eject(now, kLeastEjectionTime);
    actions_.log(id + " is an outlier: " + std::to_string(std::lround(100 * counts.failureShare())) +
                 " of 100 attempts failed");
  }
}

void OutlierDetector::release(const ServerId& id, ServerState& server) {
  server.outlier.release();
  server.reports.byProxyZone.clear();
  server.reports.counts = {};
  server.changedAt = clock_.now();
  actions_.log("outlier ejection of " + id + " ends");
}

void OutlierDetector::checkHealth(const ServerId& id, ServerState& server) {
  const Micros now = clock_.now();
  if (!settings_.healthChecksAllowed || server.isConfirmed || !server.isReady()) return;
  if (now < server.nextHealthCheckAt) return;
  actions_.add(HealthCheck{id});
  server.nextHealthCheckAt = now + std::max(kFirstHealthCheckInterval, now - server.firstSeenAt);
}

bool OutlierDetector::isOutlier(const ServerState& server, const AttemptCounts& fleetCounts) const {
  const AttemptCounts& own = server.reports.counts;
  if (!server.isReady() || server.outlier.isOutlier()) return false;
  if (own.attempts < kLeastAttempts || own.failureShare() < kOutlierFailureShare) return false;
  const AttemptCounts others{fleetCounts.attempts - own.attempts, fleetCounts.failures - own.failures};
  if (own.failureShare() < kOutlierFactor * others.failureShare()) return false;
  const bool isOverloaded =
      own.failureShare() < 1 - kAliveShare && server.reports.pressure > kRelaxedPressure;
  return !isOverloaded;
}

}  // namespace peargrade::decision
