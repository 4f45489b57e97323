// Chooses the target server for a slice: the allowed server with the least projected load.
#pragma once

#include <functional>

#include "decision/endpoint_list.h"
#include "decision/load_estimator.h"
#include "decision/random.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/trial_budget.h"

namespace peargrade::decision {

/// Chooses the target servers of migrations.
class Placement {
 public:
  using IsAllowed = std::function<bool(const ServerState&)>;

  Placement(const Clock& clock, const EndpointList& endpoints, const LoadEstimator& load,
            const TrialBudget& trials, Random& random)
      : clock_(clock), endpoints_(endpoints), load_(load), trials_(trials), random_(random) {}

  /// The allowed server with the least projected load, other than the slice's primary server; empty: none.
  /// Chooses at random among servers with nearly the least load, so that supervisors do not all choose the
  /// same one. `fleetPressure`: median pressure of the usable servers.
  [[nodiscard]] ServerId coolest(const ServerMap& servers, const SliceState& slice, double fleetPressure,
                                 const IsAllowed& isAllowed);
  /// Whether slices may migrate to the server.
  [[nodiscard]] bool acceptsSlices(const ServerState& server) const;

 private:
  const Clock& clock_;
  const EndpointList& endpoints_;
  const LoadEstimator& load_;
  const TrialBudget& trials_;
  Random& random_;
};

}  // namespace peargrade::decision
