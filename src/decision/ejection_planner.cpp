#include "decision/ejection_planner.h"

#include <algorithm>

#include "decision/route_usage.h"

namespace peargrade::decision {
namespace {

/// An ejection must have reached every proxy this long before the drain grace expires.
constexpr Micros kDrainGraceMargin = 300 * kMillisecond;
/// Where tables are per proxy, an ejected server is readmitted only this long after its process started.
constexpr Micros kMinReadmissionAge = 10 * kSecond;

}  // namespace

std::vector<SetEjection> EjectionPlanner::plan(const ServerMap& servers, const SliceMap& slices) const {
  const RouteUsage usage = routeUsage(slices, [&](const ServerId& id) { return isRoutable(servers.at(id)); });
  const double queueingTime = budget_.routesInFlight() / settings_.routesPerSecond * kSecond;
  const Micros deliveryTime = settings_.pushDelayMax + static_cast<Micros>(queueingTime);
  const bool hasUsableServer =
      std::any_of(servers.begin(), servers.end(), [](const auto& entry) { return entry.second.isUsable(); });
  std::vector<SetEjection> changes;
  std::vector<SetEjection> repeats;
  for (const auto& [id, server] : servers) {
    const TableUse use{usage.published.count(id) > 0, usage.indispensable.count(id) > 0,
                       usage.stale.count(id) > 0};
    // If no server is usable, a stale route to a ready server is better than no route.
    const bool isLastResort = !hasUsableServer && server.isReady() && !server.outlier.isOutlier();
    const bool shouldEject = !isLastResort && shouldBeEjected(server, use, deliveryTime);
    const bool isChange = shouldEject != server.ejection.isEjected();
    if (!isChange && !server.ejection.needsRepeat()) continue;
    const EjectionState state = shouldEject ? EjectionState::Ejected : EjectionState::Readmitted;
    (isChange ? changes : repeats).push_back({id, state});
  }
  std::vector<SetEjection> ejections(changes.rbegin(), changes.rend());
  ejections.insert(ejections.end(), repeats.begin(), repeats.end());
  return ejections;
}

bool EjectionPlanner::shouldBeEjected(const ServerState& server, const TableUse& use,
                                      Micros deliveryTime) const {
  const Micros now = clock_.now();
  const bool hasSlices = settings_.slices > 0;
  const bool isInUse = hasSlices ? use.isPublished : load_.usableWeight() > 0;
  const bool mustEject = isInUse && mustBeVacated(server) && !settings_.hasSingleOwnerSlices();
  if (server.ejection.isEjected()) {
    const bool isReadmissionBlocked = hasSlices ? use.isStale : server.startedWithin(now, kMinReadmissionAge);
    return mustEject || isReadmissionBlocked;
  }
  const bool isGraceExpiring =
      !server.isReady() && now + deliveryTime + kDrainGraceMargin > server.departedAt + settings_.drainGrace;
  return mustEject && (isGraceExpiring || !use.isIndispensable);
}

bool EjectionPlanner::mustBeVacated(const ServerState& server) const {
  return server.outlier.isOutlier() || (endpoints_.isCurrent() && !server.isReady());
}

}  // namespace peargrade::decision
