#include "decision/evacuation.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "decision/pressure_estimator.h"

namespace peargrade::decision {

void Evacuation::evacuate(ServerMap& servers, SliceMap& slices) {
  const double fleetPressure = medianPressure(servers);
  std::vector<std::tuple<bool, double, TableId>> order;  // has a primary server, negated heat, table
  for (const auto& [table, slice] : slices) {
    if (reasonToLeave(servers, slice) != nullptr)
      order.emplace_back(!slice.primary.empty(), -slice.heat, table);
  }
  std::sort(order.begin(), order.end());
  for (const auto& entry : order) {
    const TableId table = std::get<TableId>(entry);
    SliceState& slice = slices.at(table);
    const ServerId to = target(servers, slice, fleetPressure);
    if (to.empty()) continue;
    migrator_.migrate(servers, table, slice, to, reasonToLeave(servers, slice));
    slice.hasUnpublishedEvacuation = true;
  }
}

ServerId Evacuation::target(const ServerMap& servers, const SliceState& slice, double fleetPressure) {
  const auto canAbsorb = [&](const ServerState& server) {
    return placement_.acceptsSlices(server) && slowStart_.canAbsorb(server, slice.heat, load_.fleetScale());
  };
  ServerId to = placement_.coolest(servers, slice, fleetPressure, canAbsorb);
  if (!to.empty()) return to;
  const auto accepts = [&](const ServerState& server) { return placement_.acceptsSlices(server); };
  to = placement_.coolest(servers, slice, fleetPressure, accepts);
  if (!to.empty()) return to;
  if (isReadmissionPending(servers, slice.primary)) return {};
  const auto isReady = [](const ServerState& server) { return server.isReady(); };
  return placement_.coolest(servers, slice, fleetPressure, isReady);
}

// Such a slice must not migrate to another ejected server: that server is no better, and the migration leaves
// a stale route that has to be removed before the old server can be readmitted.
bool Evacuation::isReadmissionPending(const ServerMap& servers, const ServerId& id) {
  const auto it = servers.find(id);
  if (it == servers.end()) return false;
  const ServerState& server = it->second;
  return server.isReady() && !server.outlier.isOutlier() && server.ejection.isEjected();
}

const char* Evacuation::reasonToLeave(const ServerMap& servers, const SliceState& slice) const {
  if (slice.primary.empty()) return slice.awaitsStoredRoutes() ? nullptr : "no primary";
  const auto it = servers.find(slice.primary);
  if (it == servers.end()) return endpoints_.isCurrent() ? "gone" : nullptr;
  const ServerState& server = it->second;
  if (server.endpoint.state == EndpointState::Draining) return "draining";
  if (!server.isReady()) return endpoints_.isCurrent() ? "gone" : nullptr;
  if (server.outlier.isOutlier()) return "outlier";
  if (server.ejection.isEjected()) return "ejected";
  const bool hasRestarted = slowStart_.isWarmingUp(server) && slice.migratedAt < server.endpoint.startedAt;
  return hasRestarted ? "restarted" : nullptr;
}

}  // namespace peargrade::decision
