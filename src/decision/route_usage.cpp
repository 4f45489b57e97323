#include "decision/route_usage.h"

#include <algorithm>
#include <iterator>

namespace peargrade::decision {
namespace {

bool hasDeparted(const ServerState& server, Micros departedBefore) {
  return !server.isReady() && server.departedAt > 0 && server.departedAt < departedBefore;
}

}  // namespace

RouteUsage routeUsage(const SliceMap& slices, const std::function<bool(const ServerId&)>& isRoutable) {
  RouteUsage usage;
  for (const auto& [table, slice] : slices) {
    bool hasRoutableServer = false;
    usage.desired.insert(slice.primary);
    for (const auto& [server, weight] : slice.desired) usage.desired.insert(server);
    for (const auto& [server, route] : slice.published)
      hasRoutableServer = hasRoutableServer || (route.isDelivered() && isRoutable(server));
    for (const auto& [server, route] : slice.published) {
      usage.published.insert(server);
      if (!hasRoutableServer) usage.indispensable.insert(server);
      if (slice.desired.count(server) == 0) usage.stale.insert(server);
    }
  }
  return usage;
}

void forgetDepartedServers(ServerMap& servers, const SliceMap& slices, Micros departedBefore,
                           std::optional<UpdateNumber> appliedByDisconnected) {
  const bool anyDeparted = std::any_of(servers.begin(), servers.end(), [&](const auto& entry) {
    return hasDeparted(entry.second, departedBefore);
  });
  if (!anyDeparted) return;
  const RouteUsage usage = routeUsage(slices, [](const ServerId&) { return true; });
  for (auto it = servers.begin(); it != servers.end();) {
    const auto& [id, server] = *it;
    const bool isUsed = usage.published.count(id) + usage.desired.count(id) > 0;
    const bool mayBeEjected =
        server.ejection.mayBeInForce() ||
        (appliedByDisconnected && server.ejection.lastUpdate() > *appliedByDisconnected);
    const bool isForgotten = hasDeparted(server, departedBefore) && !isUsed && !mayBeEjected;
    it = isForgotten ? servers.erase(it) : std::next(it);
  }
}

}  // namespace peargrade::decision
