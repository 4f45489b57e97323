// Migrates slices from one server to another.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "decision/action_queue.h"
#include "decision/load_estimator.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/trial_budget.h"

namespace peargrade::decision {

/// Changes the primary server of a slice in its desired table and in the load estimates. Logs each migration.
class Migrator {
 public:
  /// Returns the server that a slice shall migrate to; empty: it cannot migrate.
  using ChooseTarget = std::function<ServerId(const SliceState&)>;

  Migrator(const Clock& clock, LoadEstimator& load, TrialBudget& trials, ActionQueue& actions)
      : clock_(clock), load_(load), trials_(trials), actions_(actions) {}

  /// `reason`: for the log. docs/oncall.md explains each reason.
  void migrate(ServerMap& servers, TableId table, SliceState& slice, const ServerId& to,
               const std::string& reason);
  /// Migrates one slice off the server `from`: the first for which `chooseTarget` returns a server. Slices
  /// are offered in this order: those with at least half the heat of the hottest slice, the coolest first;
  /// those with less than half, the hottest first; the hottest slice; idle slices. Returns whether a slice
  /// migrated.
  bool migrateOneSliceFrom(ServerMap& servers, SliceMap& slices, const ServerId& from,
                           const std::string& reason, const ChooseTarget& chooseTarget);

 private:
  const Clock& clock_;
  LoadEstimator& load_;
  TrialBudget& trials_;
  ActionQueue& actions_;
};

}  // namespace peargrade::decision
