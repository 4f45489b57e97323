#include "decision/ejection_planner.h"

#include <algorithm>

#include "decision/route_usage.h"

namespace peargrade::decision {
namespace {

/// Time that an ejection has to take effect before the drain grace runs out.
constexpr Micros kGraceMargin = 300 * kMillisecond;
/// Where tables are per proxy, a server that started within this time is not readmitted.
constexpr Micros kReadmissionAge = 10 * kSecond;

}  // namespace

std::vector<SetEjection> EjectionPlanner::plan(const ServerMap& servers, const SliceMap& slices) const {
  const RouteUsage usage = routeUsage(slices, [&](const ServerId& id) { return isRoutable(servers.at(id)); });
  const double queueingTime = budget_.routesInFlight() / settings_.routesPerSecond * kSecond;
  const Micros deliveryTime = settings_.pushDelayMax + static_cast<Micros>(queueingTime);
  const bool hasUsableServer =
      std::any_of(servers.begin(), servers.end(), [](const auto& entry) { return entry.second.isUsable(); });
  std::vector<SetEjection> ejections;
  for (const auto& [id, server] : servers) {
    const TableUse use{usage.published.count(id) > 0, usage.indispensable.count(id) > 0,
                       usage.stale.count(id) > 0};
    // Where no server is usable, stale routes to a ready one are better than none.
    const bool isNeeded = !hasUsableServer && server.isReady() && !server.outlier.isOutlier();
    const bool isWanted = !isNeeded && shouldBeEjected(server, use, deliveryTime);
    const bool isChange = isWanted != server.ejection.isEjected();
    if (!isChange && !server.ejection.needsRepeat()) continue;
    const EjectionState state = isWanted ? EjectionState::Ejected : EjectionState::Readmitted;
    ejections.insert(isChange ? ejections.begin() : ejections.end(), SetEjection{id, state});
  }
  return ejections;
}

bool EjectionPlanner::shouldBeEjected(const ServerState& server, const TableUse& use,
                                      Micros deliveryTime) const {
  const Micros now = clock_.now();
  const bool hasSlices = settings_.slices > 0;
  const bool isInUse = hasSlices ? use.isPublished : load_.usableWeight() > 0;
  const bool mustLeave = isInUse && isLeaving(server) && !settings_.hasSingleOwnerSlices();
  if (server.ejection.isEjected()) {
    const bool isUnsettled = hasSlices ? use.isStale : server.startedWithin(now, kReadmissionAge);
    return mustLeave || isUnsettled;
  }
  const bool graceRunsOut =
      !server.isReady() && now + deliveryTime + kGraceMargin > server.departedAt + settings_.drainGrace;
  return mustLeave && (graceRunsOut || !use.isIndispensable);
}

bool EjectionPlanner::isLeaving(const ServerState& server) const {
  return server.outlier.isOutlier() || (endpoints_.isCurrent() && !server.isReady());
}

}  // namespace peargrade::decision
