#include "decision/hotspot_rule.h"

#include <algorithm>

namespace peargrade::decision {
namespace {

/// A server is slow if its latency exceeds this multiple of its own minimum, or its pressure this multiple of
/// the median pressure.
constexpr double kSlowFactor = 2;
/// Number of consecutive reports with high latency and high heat after which a server is hot.
constexpr int kHotReports = 3;
/// The time between two migrations off the same server is random, one to three times this period.
constexpr Micros kMigrationPeriod = 2 * kSecond;
/// Minimum time since its start before a server is a target of this rule.
constexpr Micros kMinTargetAge = 10 * kSecond;

bool isHot(const ServerState& server) { return server.hotspot.hotReports >= kHotReports; }

}  // namespace

void HotspotRule::detect(ServerMap& servers) {
  const Micros now = clock_.now();
  const double fleetPressure = medianPressure(servers);
  for (auto& [id, server] : servers) {
    HotspotRecord& hotspot = server.hotspot;
    if (server.reports.reportedAt <= hotspot.evaluatedAt) continue;
    if (now - hotspot.evaluatedAt < settings_.reportInterval) continue;
    hotspot.evaluatedAt = now;
    const bool isHeavy = load_.usableWeight() > 0 && load_.heatOn(server) > load_.fairHeat(server);
    const bool reflectsLastMigration = now >= hotspot.relievedAt + pressure_.settlingTime();
    const bool isHotReport = isSlow(server, fleetPressure) && isHeavy && reflectsLastMigration;
    hotspot.hotReports = isHotReport ? hotspot.hotReports + 1 : 0;
  }
}

// The minimum of a server that was overloaded in every report is high too. Such a server is compared with the
// median pressure of the fleet instead.
bool HotspotRule::isSlow(const ServerState& server, double fleetPressure) {
  const ReportedLoad& reports = server.reports;
  const double leastLatency = reports.latencies.minimum();
  if (leastLatency > 0 && reports.latency > kSlowFactor * leastLatency) return true;
  return fleetPressure > 0 && reports.pressure > std::max(kRelaxedPressure, kSlowFactor * fleetPressure);
}

void HotspotRule::relieve(ServerMap& servers, SliceMap& slices) {
  std::size_t usable = 0;
  std::size_t hot = 0;
  for (const auto& [id, server] : servers) {
    usable += server.isUsable() ? 1 : 0;
    hot += server.isUsable() && isHot(server) ? 1 : 0;
  }
  if (hot == usable || slowStart_.isFleetOverloaded()) return;
  const Micros now = clock_.now();
  const double fleetPressure = medianPressure(servers);
  for (auto& [id, server] : servers) {
    if (!server.isUsable() || !isHot(server) || now < server.migrations.nextMigrationOffAt) continue;
    const auto target = [&](const SliceState& slice) {
      return placement_.coolest(servers, slice, fleetPressure,
                                [&](const ServerState& candidate) { return isTarget(candidate, slice); });
    };
    if (!migrator_.migrateOneSliceFrom(servers, slices, id, "hot", target)) continue;
    server.hotspot.hotReports = 0;
    server.hotspot.relievedAt = now;
    server.migrations.nextMigrationOffAt =
        now + static_cast<Micros>(kMigrationPeriod * (1 + 2 * random_.uniform()));
  }
}

bool HotspotRule::isTarget(const ServerState& server, const SliceState& slice) const {
  return server.isUsable() && !isHot(server) && load_.projectedLoad(server) < load_.meanLoad() &&
         slowStart_.canAbsorb(server, slice.heat, load_.fleetScale()) &&
         !server.startedWithin(clock_.now(), kMinTargetAge) && slice.heat <= load_.fairHeat(server);
}

}  // namespace peargrade::decision
