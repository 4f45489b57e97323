// Evacuation: migrates slices off servers that can no longer serve them.
#pragma once

#include "decision/endpoint_list.h"
#include "decision/load_estimator.h"
#include "decision/migrator.h"
#include "decision/placement.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"

namespace peargrade::decision {

/// First assigns slices without a primary server, then migrates slices whose primary server is draining,
/// removed, an outlier, ejected or restarted. The hottest slice is handled first. Each is placed on the
/// coolest server given the migrations before it.
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
  /// The reason, for the log, why a slice must leave its primary server; nullptr: it can stay.
  [[nodiscard]] const char* reasonToLeave(const ServerMap& servers, const SliceState& slice) const;
  /// Whether a server is ready and no outlier, but its readmission has not been published yet.
  [[nodiscard]] static bool isReadmissionPending(const ServerMap& servers, const ServerId& id);
  /// The server that the slice migrates to; empty: the slice stays where it is.
  [[nodiscard]] ServerId target(const ServerMap& servers, const SliceState& slice, double fleetPressure);

  const EndpointList& endpoints_;
  const SlowStart& slowStart_;
  const LoadEstimator& load_;
  Placement& placement_;
  Migrator& migrator_;
};

}  // namespace peargrade::decision
