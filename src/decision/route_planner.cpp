#include "decision/route_planner.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace peargrade::decision {

void RoutePlanner::plan(TableId table, const SliceState& slice, const ServerMap& servers,
                        std::vector<PendingUpdate>& updates) const {
  PendingUpdate primary{UpdatePriority::Migration, -slice.heat, table, {}};
  PendingUpdate rest{UpdatePriority::Backup, -slice.heat, table, {}};
  for (const Action& action : slice.changedRoutes(table)) {
    const auto& route = std::get<SetRoute>(action);
    const ServerState& server = servers.at(route.server);
    const bool isRemoval = route.weight <= 0;
    // The ejection of the server comes first.
    if (isRemoval && ejections_.isLeaving(server) && !server.ejection.isEjected()) continue;
    const bool isWithPrimary = isRemoval ? ejections_.isRoutable(server) : route.server == slice.primary;
    (isWithPrimary ? primary : rest).actions.push_back(action);
    if (!isRemoval || isWithPrimary || rest.priority == UpdatePriority::Evacuation) continue;
    // A server that is back is readmitted only after this.
    const bool isBack = server.isReady() && !server.outlier.isOutlier();
    rest.priority = isBack ? UpdatePriority::Evacuation : UpdatePriority::Migration;
  }
  if (!hasUsableRoute(slice, servers))
    primary.priority = UpdatePriority::Critical;
  else if (isEvacuating(slice, servers))
    primary.priority = UpdatePriority::Evacuation;
  if (!primary.actions.empty()) updates.push_back(std::move(primary));
  if (!rest.actions.empty()) updates.push_back(std::move(rest));
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
    return slice.desired.count(entry.first) == 0 && ejections_.isLeaving(servers.at(entry.first));
  });
}

}  // namespace peargrade::decision
