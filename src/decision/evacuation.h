// Evacuation: slices leave servers that cannot keep them.
#pragma once

#include "decision/endpoint_list.h"
#include "decision/load_estimator.h"
#include "decision/migrator.h"
#include "decision/placement.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"

namespace peargrade::decision {

/// Migrates slices without a primary server, then those whose primary is draining, gone, an outlier, ejected
/// or has restarted: the hottest first, each to the coolest server as the migrations before it leave things.
class Evacuation {
 public:
  Evacuation(const EndpointList& endpoints, const SlowStart& slowStart, const LoadEstimator& load,
             Placement& placement, Migrator& migrator)
      : endpoints_(endpoints),
        slowStart_(slowStart),
        load_(load),
        placement_(placement),
        migrator_(migrator) {}

  /// Called once for each decision.
  void evacuate(ServerMap& servers, SliceMap& slices);

 private:
  /// Why a slice must leave its primary server now, as a word for the log; nullptr: it need not.
  [[nodiscard]] const char* reasonToLeave(const ServerMap& servers, const SliceState& slice) const;
  /// Whether a server is ready and only waits to be readmitted.
  [[nodiscard]] static bool isReadmissionPending(const ServerMap& servers, const ServerId& id);
  /// Where the slice goes; empty: it stays.
  [[nodiscard]] ServerId target(const ServerMap& servers, const SliceState& slice, double typicalPressure);

  const EndpointList& endpoints_;
  const SlowStart& slowStart_;
  const LoadEstimator& load_;
  Placement& placement_;
  Migrator& migrator_;
};

}  // namespace peargrade::decision
