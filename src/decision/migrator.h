// Migration of slices from one server to another.
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

/// Changes the primary server of a slice, in its desired table and in the estimates; logs each migration.
class Migrator {
 public:
  /// The server that a slice may migrate to; empty: none.
  using ChooseTarget = std::function<ServerId(const SliceState&)>;

  Migrator(const Clock& clock, LoadEstimator& load, TrialBudget& trials, ActionQueue& actions)
      : clock_(clock), load_(load), trials_(trials), actions_(actions) {}

  /// `reason`: a word for the log, explained in docs/oncall.md.
  void migrate(ServerMap& servers, TableId table, SliceState& slice, const ServerId& to,
               const std::string& reason);
  /// Migrates the first slice that has a target, by half of the hottest slice's heat: from there up, then
  /// down, then the hottest, then cold ones. Returns whether there was one.
  bool migrateOneOff(ServerMap& servers, SliceMap& slices, const ServerId& from, const std::string& reason,
                     const ChooseTarget& chooseTarget);

 private:
  const Clock& clock_;
  LoadEstimator& load_;
  TrialBudget& trials_;
  ActionQueue& actions_;
};

}  // namespace peargrade::decision
