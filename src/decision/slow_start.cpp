#include "decision/slow_start.h"

#include <algorithm>

#include "decision/admission_controller.h"
#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// Factor on the warm-up fraction of a warming server: cold caches make its requests more expensive.
constexpr double kColdCacheFactor = 0.85;
/// The same while the fleet is overloaded.
constexpr double kColdCacheFactorInOverload = 0.7;
/// For a relaxed warming server, the factor is Settings::overloadFactor times this, if that is larger.
constexpr double kRelaxedOverloadShare = 0.5;
/// Share of a warming server's overload limit up to which slices are placed on it.
constexpr double kPlacementShareOfOverload = 0.67;

}  // namespace

bool SlowStart::isFleetOverloaded() const { return admission_.isOverloaded(); }

double SlowStart::warmUpFraction(const ServerState& server) const {
  if (!isWarmingUp(server)) return 1;
  const auto sinceStart = static_cast<double>(clock_.now() - server.endpoint.startedAt);
  const double progress = std::max(0.0, sinceStart / static_cast<double>(settings_.slowStartWindow));
  return settings_.initialCapacity + (1 - settings_.initialCapacity) * progress;
}

double SlowStart::rampFactor(const ServerState& server) const {
  if (!isWarmingUp(server)) return 1;
  const double minShare = isFleetOverloaded() ? kColdCacheFactorInOverload : kColdCacheFactor;
  const double pressure = server.reports.pressure;
  const bool isRelaxed = pressure > 0 && pressure < kRelaxedPressure;
  const double share =
      isRelaxed ? std::max(minShare, settings_.overloadFactor * kRelaxedOverloadShare) : minShare;
  return std::min(1.0, share * warmUpFraction(server));
}

double SlowStart::listedWeight(const ServerState& server) const {
  return settings_.endpointsHaveWeights && server.endpoint.weight > 0 ? server.endpoint.weight : 1;
}

bool SlowStart::canAbsorb(const ServerState& server, double extraHeat, double fleetScale) const {
  if (!isWarmingUp(server)) return true;
  const double sustainedHeat = admission_.sustainedHeatPerWeight();
  if (sustainedHeat <= 0) return true;
  const double limit = kPlacementShareOfOverload * settings_.overloadFactor * sustainedHeat *
                       listedWeight(server) * warmUpFraction(server);
  return admission_.admittedShare() * fleetScale * (server.load.ownHeat + extraHeat) <= limit;
}

}  // namespace peargrade::decision
