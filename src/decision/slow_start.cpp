#include "decision/slow_start.h"

#include <algorithm>

#include "decision/admission_controller.h"
#include "decision/pressure_estimator.h"

namespace peargrade::decision {
namespace {

/// Share of its capacity that a warming server counts for, since its caches are cold too.
constexpr double kWarmingShare = 0.85;
/// The same while the fleet is overloaded.
constexpr double kWarmingShareInOverload = 0.7;
/// Share of the overload factor that a warming server that answers at ease counts for.
constexpr double kAtEaseShare = 0.5;
/// Share of the overload limit that placements may use.
constexpr double kOverloadHeadroom = 0.67;

}  // namespace

bool SlowStart::isFleetOverloaded() const { return admission_.isOverloaded(); }

double SlowStart::warmUpFraction(const ServerState& server) const {
  if (!isWarmingUp(server)) return 1;
  const auto sinceStart = static_cast<double>(clock_.now() - server.endpoint.startedAt);
  const double age = std::max(0.0, sinceStart / static_cast<double>(settings_.slowStartWindow));
  return settings_.initialCapacity + (1 - settings_.initialCapacity) * age;
}

double SlowStart::rampFactor(const ServerState& server) const {
  if (!isWarmingUp(server)) return 1;
  const double least = isFleetOverloaded() ? kWarmingShareInOverload : kWarmingShare;
  const double pressure = server.reports.pressure;
  const bool isAtEase = pressure > 0 && pressure < kRelaxedPressure;
  const double share = isAtEase ? std::max(least, settings_.overloadFactor * kAtEaseShare) : least;
  return std::min(1.0, share * warmUpFraction(server));
}

double SlowStart::listedWeight(const ServerState& server) const {
  return settings_.endpointsHaveWeights && server.endpoint.weight > 0 ? server.endpoint.weight : 1;
}

bool SlowStart::canAbsorb(const ServerState& server, double extraHeat, double fleetScale) const {
  if (!isWarmingUp(server)) return true;
  const double sustainedHeat = admission_.sustainedHeatPerWeight();
  if (sustainedHeat <= 0) return true;
  const double limit = kOverloadHeadroom * settings_.overloadFactor * sustainedHeat * listedWeight(server) *
                       warmUpFraction(server);
  return admission_.admittedShare() * fleetScale * (server.load.ownHeat + extraHeat) <= limit;
}

}  // namespace peargrade::decision
