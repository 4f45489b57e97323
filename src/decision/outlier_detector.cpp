#include "decision/outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// A server with fewer attempts than this is not evaluated: the sample is too small.
constexpr double kMinAttempts = 6;
/// Share of failed attempts from which a server may be an outlier.
constexpr double kOutlierFailureShare = 0.4;
/// An outlier's share of failed attempts is at least this many times that of all other servers together.
constexpr double kOutlierFactor = 3;
/// Share of successful attempts above which a server counts as alive.
constexpr double kAliveSuccessShare = 0.2;
/// Time for which an outlier is ejected the first time. It doubles with each further ejection.
constexpr Micros kFirstEjectionTime = 8 * kSecond;
/// Shortest interval between health checks of a server. Otherwise the interval is the time since the server
/// was first listed, so that it doubles from check to check.
constexpr Micros kMinHealthCheckInterval = 500 * kMillisecond;

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
    // Where removal is advisory, the list may be invalid: a removed server stays ready while it answers.
    server.isPresumedAlive = settings_.removalIsAdvisory && counts.attempts > 0 &&
                             counts.failureShare() < 1 - kAliveSuccessShare && !server.outlier.isOutlier();
    if (!isOutlier(server, fleetCounts)) continue;
    server.outlier.eject(now, kFirstEjectionTime);
    actions_.log(id + " is an outlier: " + std::to_string(std::lround(100 * counts.failureShare())) +
                 "% of its attempts failed");
  }
}

void OutlierDetector::release(const ServerId& id, ServerState& server) {
  server.outlier.release();
  server.reports.byProxyZone.clear();
  server.reports.counts = {};
  server.changedAt = clock_.now();
  actions_.log("outlier ejection of " + id + " has expired");
}

void OutlierDetector::checkHealth(const ServerId& id, ServerState& server) {
  const Micros now = clock_.now();
  if (!settings_.healthChecksAllowed || server.isConfirmed || !server.isReady()) return;
  if (now < server.nextHealthCheckAt) return;
  actions_.add(HealthCheck{id});
  server.nextHealthCheckAt = now + std::max(kMinHealthCheckInterval, now - server.firstSeenAt);
}

bool OutlierDetector::isOutlier(const ServerState& server, const AttemptCounts& fleetCounts) const {
  const AttemptCounts& own = server.reports.counts;
  if (!server.isReady() || server.outlier.isOutlier()) return false;
  if (own.attempts < kMinAttempts || own.failureShare() < kOutlierFailureShare) return false;
  const AttemptCounts others{fleetCounts.attempts - own.attempts, fleetCounts.failures - own.failures};
  if (own.failureShare() < kOutlierFactor * others.failureShare()) return false;
  const bool isOverloaded =
      own.failureShare() < 1 - kAliveSuccessShare && server.reports.pressure > kRelaxedPressure;
  return !isOverloaded;
}

}  // namespace peargrade::decision
