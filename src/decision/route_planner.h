// Assigns priorities to the changed routes of a slice.
#pragma once

#include <vector>

#include "decision/ejection_planner.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/update_budget.h"

namespace peargrade::decision {

/// Splits the changed routes of a slice into two updates. The first has the route to the primary server and
/// removals of routes to routable servers. The second has the less urgent rest: backup routes, and removals
/// of routes that proxies do not use because their server is ejected.
class RoutePlanner {
 public:
  explicit RoutePlanner(const EjectionPlanner& ejections) : ejections_(ejections) {}

  /// Appends the updates of a slice to `updates`.
  void plan(TableId table, const SliceState& slice, const ServerMap& servers,
            std::vector<PendingUpdate>& updates) const;

 private:
  /// Whether the published table has a route to a ready server that is not ejected.
  [[nodiscard]] static bool hasUsableRoute(const SliceState& slice, const ServerMap& servers);
  /// Whether the slice is migrating off a server that cannot keep it.
  [[nodiscard]] bool isEvacuating(const SliceState& slice, const ServerMap& servers) const;

  const EjectionPlanner& ejections_;
};

}  // namespace peargrade::decision
