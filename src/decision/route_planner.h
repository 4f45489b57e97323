// The changed routes of a slice, by priority.
#pragma once

#include <vector>

#include "decision/ejection_planner.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/update_budget.h"

namespace peargrade::decision {

/// Splits a slice's changed routes into two updates: the primary route with removals of routable servers, and
/// the rest, backup routes and routes to ejected servers, which comes later.
class RoutePlanner {
 public:
  explicit RoutePlanner(const EjectionPlanner& ejections) : ejections_(ejections) {}

  void plan(TableId table, const SliceState& slice, const ServerMap& servers,
            std::vector<PendingUpdate>& updates) const;

 private:
  [[nodiscard]] static bool hasUsableRoute(const SliceState& slice, const ServerMap& servers);
  [[nodiscard]] bool isEvacuating(const SliceState& slice, const ServerMap& servers) const;

  const EjectionPlanner& ejections_;
};

}  // namespace peargrade::decision
