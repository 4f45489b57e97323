// Estimates the real capacity of each server in proportion to its listed weight.
#pragma once

#include "decision/load_estimator.h"
#include "decision/pressure_estimator.h"
#include "decision/server_state.h"
#include "decision/slow_start.h"

namespace peargrade::decision {

/// A server that is overloaded at a fair share of the load while most servers are not has less capacity than
/// its listed weight states. Its capacity factor is decreased then, and increased slowly while it is relaxed.
class CapacityEstimator {
 public:
  CapacityEstimator(const Clock& clock, const SlowStart& slowStart, const LoadEstimator& load,
                    const PressureEstimator& pressure)
      : clock_(clock), slowStart_(slowStart), load_(load), pressure_(pressure) {}

  /// Called once for each decision.
  void update(ServerMap& servers) const;

 private:
  const Clock& clock_;
  const SlowStart& slowStart_;
  const LoadEstimator& load_;
  const PressureEstimator& pressure_;
};

}  // namespace peargrade::decision
