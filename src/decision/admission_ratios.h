// Admission ratios by request class, for the fleet and for single slices.
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

/// Converts the admitted shares of the servers into admission ratios by class. The class with the lowest
/// priority weight per cost is shed first. Each ratio of a slice takes as much of an update as a route. If
/// more ratios are needed than fit in an update, the mean ratio is published for the fleet, and a slice gets
/// its own ratio only where that is much lower than the mean.
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
  /// Ratios that apply to all slices, by class. The ratio of a single slice may be lower.
  [[nodiscard]] const std::vector<double>& fleetRatios() const { return fleetRatios_; }

 private:
  /// Sums over the slices of this supervisor.
  struct RatioSummary {
    std::vector<double> meanRatios;  // by class, weighted by heat
    std::size_t belowOne = 0;        // number of pairs of slice and class with a ratio below 1
  };

  /// Ratios by class that together admit `admittedShare` of the heat.
  [[nodiscard]] std::vector<double> ratiosFor(double admittedShare) const;
  [[nodiscard]] RatioSummary summarize(const ServerMap& servers, const SliceMap& slices) const;
  /// Sets the desired ratio of a slice. `usesFleetRatio`: whether the fleet's ratio may be below 1, so that
  /// most slices need no ratio of their own.
  void updateSlice(const ServerState& primary, std::size_t requestClass, bool usesFleetRatio,
                   SliceState& slice) const;

  const Settings& settings_;
  const RequestCosts& costs_;
  const SlowStart& slowStart_;
  const LoadEstimator& load_;
  const UpdateBudget& budget_;
  std::vector<double> fleetRatios_;
};

}  // namespace peargrade::decision
