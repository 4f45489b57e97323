#include "decision/hotspot_rule.h"

#include <algorithm>

namespace peargrade::decision {
namespace {

/// A server is slow from so many times its own least latency, or the median pressure.
constexpr double kSlowFactor = 2;
/// Consecutive slow and heavy reports that make a server hot.
constexpr int kHotReports = 3;
/// A controller waits a random one to three periods between two migrations off one server.
constexpr Micros kPeriod = 2 * kSecond;
/// A server that started within this time is no target.
constexpr Micros kLeastTargetAge = 10 * kSecond;

bool isHot(const ServerState& server) { return server.hotspot.hotReports >= kHotReports; }

}  // namespace

void HotspotRule::detect(ServerMap& servers) {
  const Micros now = clock_.now();
  const double typicalPressure = medianPressure(servers);
  for (auto& [id, server] : servers) {
    HotspotRecord& hotspot = server.hotspot;
    if (server.reports.reportedAt <= hotspot.evaluatedAt) continue;
    if (now - hotspot.evaluatedAt < settings_.reportInterval) continue;
    hotspot.evaluatedAt = now;
    const bool isHeavy = load_.usableWeight() > 0 && load_.heatOn(server) > load_.fairHeat(server);
    const bool showsLastMigration = now >= hotspot.relievedAt + pressure_.settlingTime();
    const bool isHotReport = isSlow(server, typicalPressure) && isHeavy && showsLastMigration;
    hotspot.hotReports = isHotReport ? hotspot.hotReports + 1 : 0;
  }
}

// A server that was overloaded in every report has no low latency of its own: the fleet's pressure stands for
// it.
bool HotspotRule::isSlow(const ServerState& server, double typicalPressure) {
  const ReportedLoad& reports = server.reports;
  const double leastLatency = reports.latencies.minimum();
  if (leastLatency > 0 && reports.latency > kSlowFactor * leastLatency) return true;
  return typicalPressure > 0 && reports.pressure > std::max(kRelaxedPressure, kSlowFactor * typicalPressure);
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
  const double typicalPressure = medianPressure(servers);
  for (auto& [id, server] : servers) {
    if (!server.isUsable() || !isHot(server) || now < server.migrations.nextOffAt) continue;
    const auto target = [&](const SliceState& slice) {
      return placement_.coolest(servers, slice, typicalPressure,
                                [&](const ServerState& candidate) { return isTarget(candidate, slice); });
    };
    if (!migrator_.migrateOneOff(servers, slices, id, "hot", target)) continue;
    server.hotspot.hotReports = 0;
    server.hotspot.relievedAt = now;
    server.migrations.nextOffAt = now + static_cast<Micros>(kPeriod * (1 + 2 * random_.uniform()));
  }
}

bool HotspotRule::isTarget(const ServerState& server, const SliceState& slice) const {
  return server.isUsable() && !isHot(server) && load_.projectedLoad(server) < load_.meanLoad() &&
         slowStart_.canAbsorb(server, slice.heat, load_.fleetScale()) &&
         !server.startedWithin(clock_.now(), kLeastTargetAge) && slice.heat <= load_.fairHeat(server);
}

}  // namespace peargrade::decision
