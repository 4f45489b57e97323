// Estimates the heat of slices, servers and the fleet from the load reports that one supervisor receives.
// Heat is load: requests a second, each multiplied by the cost of its class.
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

/// Estimates the heat of the whole fleet. Slices count at their desired primary server, so that the heat of a
/// migration in flight counts at its target. A supervisor receives reports of its own slices only and has to
/// extrapolate to the slices of other supervisors. Its slices are too small a sample for a single server.
/// Therefore the extrapolation is made per cohort: the servers that changed at about the same time, or those
/// that never changed.
class LoadEstimator {
 public:
  LoadEstimator(const Settings& settings, const Clock& clock, const RequestCosts& costs,
                const SlowStart& slowStart, const TrialBudget& trials)
      : settings_(settings), clock_(clock), costs_(costs), slowStart_(slowStart), trials_(trials) {}

  void record(const SliceLoadReport& report, SliceMap& slices);
  /// Estimates the heat of this supervisor's slices and adds it up by primary server. First step of each
  /// decision.
  void estimateOwnHeat(ServerMap& servers, SliceMap& slices);
  /// Extrapolates to the heat of all supervisors' slices. Call after PressureEstimator::estimate and
  /// TrialBudget::count.
  void estimateFleetHeat(ServerMap& servers, const SliceMap& slices);
  /// Moves the heat of a migrating slice from one server's estimate to the other's.
  void recordMigration(ServerState& from, ServerState& to, double heat);

  /// Estimated heat of all supervisors' slices on a server. Never negative.
  [[nodiscard]] double heatOn(const ServerState& server) const;
  /// Load of a server if `extraHeat` of this supervisor's slices were added: heat per unit of the weight that
  /// the server has in its current phase of slow start.
  [[nodiscard]] double projectedLoad(const ServerState& server, double extraHeat = 0) const;
  /// Heat of the fleet per unit of weight of the servers that accept slices.
  [[nodiscard]] double meanLoad() const { return meanLoad_; }
  [[nodiscard]] double fleetHeat() const { return fleetHeat_; }
  /// Sum of the weights of the usable servers, without the reduction during slow start.
  [[nodiscard]] double usableWeight() const { return usableWeight_; }
  /// The heat that the server would have if the fleet's heat were distributed by weight.
  [[nodiscard]] double fairHeat(const ServerState& server) const {
    return fleetHeat_ * slowStart_.weight(server) / usableWeight_;
  }
  /// Ratio of the fleet's heat to the heat of this supervisor's slices, at least 1.
  [[nodiscard]] double fleetScale() const { return fleetScale_; }
  /// Heat of this supervisor's slices, by class.
  [[nodiscard]] const std::vector<double>& classHeat() const { return classHeat_; }
  /// Start of the window of the first slice load report; 0: none has arrived.
  [[nodiscard]] Micros firstReportAt() const { return firstReportAt_; }
  /// Servers that last changed at or before this time are settled: they form one cohort and are no longer
  /// filled by RecoveryFiller.
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
  std::vector<double> cohortHeat_ = {0};  // own heat by cohort; index 0: servers without a cohort
  std::vector<double> classHeat_;
  Micros firstReportAt_ = 0;
};

}  // namespace peargrade::decision
