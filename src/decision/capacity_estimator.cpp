#include "decision/capacity_estimator.h"

#include <algorithm>

namespace peargrade::decision {
namespace {

/// Lower bound of a capacity factor.
constexpr double kMinFactor = 0.4;
/// A decrease multiplies the capacity factor by this.
constexpr double kDecreaseFactor = 0.8;
/// An increase adds this to the capacity factor.
constexpr double kIncreaseStep = 0.01;
/// A server carries a fair share of the load above this share of the mean load.
constexpr double kFairLoadShare = 0.7;

}  // namespace

void CapacityEstimator::update(ServerMap& servers) const {
  if (slowStart_.isFleetOverloaded() || medianPressure(servers) > kRelaxedPressure) return;
  const Micros now = clock_.now();
  for (auto& [id, server] : servers) {
    EstimatedCapacity& capacity = server.capacity;
    const Micros changedAt = std::max(capacity.changedAt, server.hotspot.relievedAt);
    if (!server.isUsable() || slowStart_.isWarmingUp(server)) continue;
    if (now < changedAt + pressure_.settlingTime()) continue;
    const double oldFactor = capacity.factor;
    const double pressure = server.reports.pressure;
    const bool isFairlyLoaded = load_.projectedLoad(server) > kFairLoadShare * load_.meanLoad();
    if (pressure > kOverloadedPressure && isFairlyLoaded) capacity.factor *= kDecreaseFactor;
    if (pressure < kRelaxedPressure) capacity.factor += kIncreaseStep;
    capacity.factor = std::clamp(capacity.factor, kMinFactor, 1.0);
    if (capacity.factor != oldFactor) capacity.changedAt = now;
  }
}

}  // namespace peargrade::decision
