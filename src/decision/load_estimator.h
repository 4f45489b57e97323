// Heat of the slices and servers: the fleet's load as estimated by one supervisor.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/request_costs.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"
#include "decision/trial_budget.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Estimates load. Heat is requests a second, each with its cost. Tables count as desired, so that migrations
/// in flight weigh at their target. A supervisor hears of its own slices only. They are a fair sample of all:
/// what they say of a single server is chance, what they say of a cohort, the servers that changed at the
/// same time or not at all, holds for the slices of other supervisors too.
class LoadEstimator {
 public:
  LoadEstimator(const Settings& settings, const Clock& clock, const RequestCosts& costs,
                const SlowStart& slowStart, const TrialBudget& trials)
      : settings_(settings), clock_(clock), costs_(costs), slowStart_(slowStart), trials_(trials) {}

  void record(const SliceLoadReport& report, SliceMap& slices);
  /// Heat of the slices and what they bring to their primary servers. First step of each decision.
  void estimateOwnHeat(ServerMap& servers, SliceMap& slices);
  /// The fleet's heat, once pressure is estimated and trials are counted.
  void estimateFleetHeat(ServerMap& servers, const SliceMap& slices);
  /// Follows a slice that migrates.
  void recordMigration(ServerState& from, ServerState& to, double heat);

  /// Heat of all supervisors' slices on a server, never negative.
  [[nodiscard]] double heatOn(const ServerState& server) const;
  /// That heat, with `extraHeat` of own slices added, per unit of weight that the server has now.
  [[nodiscard]] double projectedLoad(const ServerState& server, double extraHeat = 0) const;
  /// The fleet's heat per unit of weight of the servers that take slices.
  [[nodiscard]] double meanLoad() const { return meanLoad_; }
  [[nodiscard]] double fleetHeat() const { return fleetHeat_; }
  /// Weight of the usable servers, as if all were warm.
  [[nodiscard]] double usableWeight() const { return usableWeight_; }
  /// The server's share of the fleet's heat by its weight.
  [[nodiscard]] double fairHeat(const ServerState& server) const {
    return fleetHeat_ * slowStart_.weight(server) / usableWeight_;
  }
  /// The fleet's heat against that of this supervisor's slices, at least 1.
  [[nodiscard]] double fleetScale() const { return fleetScale_; }
  /// Heat of this supervisor's slices, by class.
  [[nodiscard]] const std::vector<double>& classHeat() const { return classHeat_; }
  /// The begin of the first load report of a slice; 0: none has come.
  [[nodiscard]] Micros firstReportAt() const { return firstReportAt_; }
  /// A server that changed at or before this time counts as settled.
  [[nodiscard]] Micros settledBefore() const;

 private:
  struct CohortMember {
    Micros changedAt;
    ServerState* server;
  };

  void estimateRates(SliceState& slice) const;
  [[nodiscard]] double scaleToFleet(std::size_t ownSlices) const;
  void assignCohorts(std::vector<CohortMember>& members);

  const Settings& settings_;
  const Clock& clock_;
  const RequestCosts& costs_;
  const SlowStart& slowStart_;
  const TrialBudget& trials_;
  double meanLoad_ = 0;
  double fleetHeat_ = 0;
  double usableWeight_ = 0;
  double fleetScale_ = 1;
  std::vector<double> cohortHeat_ = {0};  // own heat by cohort; the first stands for none
  std::vector<double> classHeat_;
  Micros firstReportAt_ = 0;
};

}  // namespace peargrade::decision
