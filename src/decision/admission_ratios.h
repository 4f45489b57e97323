// Admission ratios by class, for the whole fleet and for single slices.
#pragma once

#include <cstddef>
#include <vector>

#include "decision/load_estimator.h"
#include "decision/request_costs.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "decision/slow_start.h"
#include "decision/update_budget.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Turns the servers' admitted shares into admission ratios: the class with the least priority weight per
/// cost is shed first. A ratio for each slice costs a route each. Where more are needed than a message holds,
/// the fleet's ratio is their mean, and slices have one of their own where it is far lower.
class AdmissionRatios {
 public:
  AdmissionRatios(const Settings& settings, const RequestCosts& costs, const SlowStart& slowStart,
                  const LoadEstimator& load, const UpdateBudget& budget)
      : settings_(settings),
        costs_(costs),
        slowStart_(slowStart),
        load_(load),
        budget_(budget),
        fleetRatios_(costs.classes(), 1) {}

  /// Called once for each decision, after admission control.
  void update(ServerMap& servers, SliceMap& slices);
  /// Ratios of all slices, by class; a slice's own may be lower.
  [[nodiscard]] const std::vector<double>& fleetRatios() const { return fleetRatios_; }

 private:
  /// Mean ratios by class, and how many ratios of slices are below 1.
  struct Needs {
    std::vector<double> meanRatios;
    std::size_t exceptions = 0;
  };

  [[nodiscard]] std::vector<double> ratiosFor(double admittedShare) const;
  [[nodiscard]] Needs needsOf(const ServerMap& servers, const SliceMap& slices) const;
  void updateSlice(const ServerState& primary, std::size_t requestClass, bool sharesFleetRatio,
                   SliceState& slice) const;

  const Settings& settings_;
  const RequestCosts& costs_;
  const SlowStart& slowStart_;
  const LoadEstimator& load_;
  const UpdateBudget& budget_;
  std::vector<double> fleetRatios_;
};

}  // namespace peargrade::decision
