#include "decision/route_planner.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace peargrade::decision {

void RoutePlanner::plan(TableId table, const SliceState& slice, const ServerMap& servers,
                        std::vector<PendingUpdate>& updates) const {
  PendingUpdate primary{UpdatePriority::Migration, -slice.heat, table, {}};
  PendingUpdate deferred{UpdatePriority::Backup, -slice.heat, table, {}};
  for (const Action& action : slice.changedRoutes(table)) {
    const auto& route = std::get<SetRoute>(action);
    const ServerState& server = servers.at(route.server);
    const bool isRemoval = route.weight <= 0;
    // The route is removed after the server has been ejected.
    if (isRemoval && ejections_.mustBeVacated(server) && !server.ejection.isEjected()) continue;
    const bool isSentWithPrimary = isRemoval ? ejections_.isRoutable(server) : route.server == slice.primary;
    (isSentWithPrimary ? primary : deferred).actions.push_back(action);
    if (!isRemoval || isSentWithPrimary || deferred.priority == UpdatePriority::Evacuation) continue;
    // A server that has recovered is readmitted only after its stale routes are removed.
    const bool hasRecovered = server.isReady() && !server.outlier.isOutlier();
    deferred.priority = hasRecovered ? UpdatePriority::Evacuation : UpdatePriority::Migration;
  }
  if (!hasUsableRoute(slice, servers))
    primary.priority = UpdatePriority::Critical;
  else if (isEvacuating(slice, servers))
    primary.priority = UpdatePriority::Evacuation;
  if (!primary.actions.empty()) updates.push_back(std::move(primary));
  if (!deferred.actions.empty()) updates.push_back(std::move(deferred));
}

bool RoutePlanner::hasUsableRoute(const SliceState& slice, const ServerMap& servers) {
  return std::any_of(slice.published.begin(), slice.published.end(), [&](const auto& entry) {
    const ServerState& server = servers.at(entry.first);
    return entry.second.isDelivered() && !server.ejection.mayBeInForce() && server.isReady();
  });
}

bool RoutePlanner::isEvacuating(const SliceState& slice, const ServerMap& servers) const {
  if (slice.hasUnpublishedEvacuation) return true;
  return std::any_of(slice.published.begin(), slice.published.end(), [&](const auto& entry) {
    return slice.desired.count(entry.first) == 0 && ejections_.mustBeVacated(servers.at(entry.first));
  });
}

}  // namespace peargrade::decision
