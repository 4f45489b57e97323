#include "decision/capacity_estimator.h"

#include <algorithm>

namespace peargrade::decision {
namespace {

constexpr double kLeastFactor = 0.4;
/// Factor of one decrease.
constexpr double kDecrease = 0.8;
/// One increase.
constexpr double kIncrease = 0.01;
/// Share of the mean load from which a load is fair.
constexpr double kFairShare = 0.7;

}  // namespace

void CapacityEstimator::update(ServerMap& servers) const {
  if (slowStart_.isFleetOverloaded() || medianPressure(servers) > kRelaxedPressure) return;
  const Micros now = clock_.now();
  for (auto& [id, server] : servers) {
    EstimatedCapacity& capacity = server.capacity;
    const Micros changedAt = std::max(capacity.changedAt, server.hotspot.relievedAt);
    if (!server.isUsable() || slowStart_.isWarmingUp(server)) continue;
    if (now < changedAt + pressure_.settlingTime()) continue;
    const double before = capacity.factor;
    const double pressure = server.reports.pressure;
    const bool isFairlyLoaded = load_.projectedLoad(server) > kFairShare * load_.meanLoad();
    if (pressure > kOverloadedPressure && isFairlyLoaded) capacity.factor *= kDecrease;
    if (pressure < kRelaxedPressure) capacity.factor += kIncrease;
    capacity.factor = std::clamp(capacity.factor, kLeastFactor, 1.0);
    if (capacity.factor != before) capacity.changedAt = now;
  }
}

}  // namespace peargrade::decision
