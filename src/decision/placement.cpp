#include "decision/placement.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// Servers whose load is at most this multiple of the least load count as equally loaded.
constexpr double kEqualLoadFactor = 1.1;
/// Factor on the load of servers that have yet to restart in a rolling restart: a slice placed there would
/// have to migrate again.
constexpr double kPendingRestartFactor = 1.3;
/// Minimum time since its start before a server accepts slices.
constexpr Micros kMinTargetAge = 2 * kSecond;

}  // namespace

ServerId Placement::coolest(const ServerMap& servers, const SliceState& slice, double fleetPressure,
                            const IsAllowed& isAllowed) {
  std::vector<std::pair<double, const ServerId*>> loads;
  const double pressureLimit = std::max(kOverloadedPressure, fleetPressure);
  for (const auto& [id, server] : servers) {
    if (id == slice.primary || !isAllowed(server)) continue;
    const bool willRestart = endpoints_.isRollingRestart() && server.changedAt == 0;
    const double restartFactor = willRestart ? kPendingRestartFactor : 1;
    // A server can be overloaded with little heat, for example on a slow machine.
    const double pressureFactor = std::max(1.0, server.reports.pressure / pressureLimit);
    loads.emplace_back(restartFactor * pressureFactor * load_.projectedLoad(server, slice.heat), &id);
  }
  if (loads.empty()) return {};
  const double limit = std::min_element(loads.begin(), loads.end())->first * kEqualLoadFactor;
  std::vector<const ServerId*> equallyLoaded;
  for (const auto& [load, id] : loads) {
    if (load <= limit) equallyLoaded.push_back(id);
  }
  return *equallyLoaded[random_.next() % equallyLoaded.size()];
}

bool Placement::acceptsSlices(const ServerState& server) const {
  if (!server.isUsable() && !trials_.canTrial(server)) return false;
  return !server.startedWithin(clock_.now(), kMinTargetAge);
}

}  // namespace peargrade::decision
