#include "decision/placement.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// Servers up to so many times the least load are equals.
constexpr double kNearlyCoolest = 1.1;
/// Load factor of servers that a rolling restart has not reached: a slice put there would migrate twice.
constexpr double kNotYetRestarted = 1.3;
/// A server that started within this time takes no slices.
constexpr Micros kLeastTargetAge = 2 * kSecond;

}  // namespace

ServerId Placement::coolest(const ServerMap& servers, const SliceState& slice, double typicalPressure,
                            const IsAllowed& isAllowed) {
  std::vector<std::pair<double, const ServerId*>> loads;
  const double borne = std::max(kOverloadedPressure, typicalPressure);
  for (const auto& [id, server] : servers) {
    if (id == slice.primary || !isAllowed(server)) continue;
    const bool willRestart = endpoints_.isRollingRestart() && server.changedAt == 0;
    const double restartFactor = willRestart ? kNotYetRestarted : 1;
    // An overloaded server holds little of its work and would look cool.
    const double pressureFactor = std::max(1.0, server.reports.pressure / borne);
    loads.emplace_back(restartFactor * pressureFactor * load_.projectedLoad(server, slice.heat), &id);
  }
  if (loads.empty()) return {};
  const double limit = std::min_element(loads.begin(), loads.end())->first * kNearlyCoolest;
  std::vector<const ServerId*> equals;
  for (const auto& [load, id] : loads) {
    if (load <= limit) equals.push_back(id);
  }
  return *equals[random_.next() % equals.size()];
}

bool Placement::acceptsSlices(const ServerState& server) const {
  if (!server.isUsable() && !trials_.canTrial(server)) return false;
  return !server.startedWithin(clock_.now(), kLeastTargetAge);
}

}  // namespace peargrade::decision
