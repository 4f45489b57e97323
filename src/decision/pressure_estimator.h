// Latency, failures and pressure of the servers, from load reports.
#pragma once

#include <vector>

#include "decision/path_estimator.h"
#include "decision/request_costs.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Age of a load report when it arrives. No setting states it.
constexpr Micros kReportLag = 1 * kSecond;
/// Pressure from which a server is overloaded.
constexpr double kOverloadedPressure = 0.55;
/// Pressure up to which a server is relaxed.
constexpr double kRelaxedPressure = 0.3;

/// Estimates each server's latency, attempts and pressure: latency as a share of the latency objective.
class PressureEstimator {
 public:
  PressureEstimator(const Settings& settings, const Clock& clock, const RequestCosts& costs)
      : settings_(settings), clock_(clock), costs_(costs) {}

  /// A report that may cover the time before the server's start is ignored.
  void record(const ServerLoadReport& report, ServerMap& servers) const;
  /// `fleetRatios`: the published admission ratios of all tables, by class. Called once for each decision.
  void estimate(ServerMap& servers, const SliceMap& slices, const std::vector<double>& fleetRatios);
  /// Attempts at all servers.
  [[nodiscard]] const AttemptCounts& fleetCounts() const { return fleetCounts_; }
  /// How long after a change load reports show its effect, in microseconds.
  [[nodiscard]] Micros settlingTime() const {
    return settings_.pushDelay + settings_.reportInterval + kReportLag;
  }

 private:
  /// Returns the number of successful attempts.
  double summarize(ServerState& server) const;

  const Settings& settings_;
  const Clock& clock_;
  const RequestCosts& costs_;
  PathEstimator paths_;
  AttemptCounts fleetCounts_;
};

/// Median pressure of the usable servers; 0: none.
[[nodiscard]] double medianPressure(const ServerMap& servers);

}  // namespace peargrade::decision
