// Capacity of a server against its listed weight.
#pragma once

#include "decision/load_estimator.h"
#include "decision/pressure_estimator.h"
#include "decision/server_state.h"
#include "decision/slow_start.h"

namespace peargrade::decision {

/// A server that is overloaded at a fair load while most are not is weaker than its listed weight says: its
/// capacity factor falls, and rises again slowly while it is relaxed.
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
