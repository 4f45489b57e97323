// Estimates latency, attempts, failures and pressure of the servers from load reports.
#pragma once

#include <vector>

#include "decision/path_estimator.h"
#include "decision/request_costs.h"
#include "decision/server_state.h"
#include "decision/slice_state.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Assumed age of a load report when it arrives. The settings do not specify it.
constexpr Micros kReportLag = 1 * kSecond;
/// A server whose pressure is at least this value is overloaded.
constexpr double kOverloadedPressure = 0.55;
/// A server whose pressure is at most this value has spare capacity.
constexpr double kRelaxedPressure = 0.3;

/// Estimates each server's latency, attempt counts and pressure. Pressure is the mean latency divided by the
/// latency objective of the server's requests.
class PressureEstimator {
 public:
  PressureEstimator(const Settings& settings, const Clock& clock, const RequestCosts& costs)
      : settings_(settings), clock_(clock), costs_(costs) {}

  /// Adds a load report. A report whose window may begin before the server's start is ignored: it may
  /// describe the previous process.
  void record(const ServerLoadReport& report, ServerMap& servers) const;
  /// Called once for each decision. `fleetRatios`: published admission ratios that apply to all tables, by
  /// class.
  void estimate(ServerMap& servers, const SliceMap& slices, const std::vector<double>& fleetRatios);
  /// Decayed counts of attempts and failures, summed over all servers.
  [[nodiscard]] const AttemptCounts& fleetCounts() const { return fleetCounts_; }
  /// Time from a published change until load reports reflect it, in microseconds.
  [[nodiscard]] Micros settlingTime() const {
    return settings_.pushDelay + settings_.reportInterval + kReportLag;
  }

 private:
  /// Sets the server's latency and attempt counts from the reports of all zones, without the path penalties.
  /// Returns the decayed number of successful attempts.
  double summarizeReports(ServerState& server) const;

  const Settings& settings_;
  const Clock& clock_;
  const RequestCosts& costs_;
  PathEstimator paths_;
  AttemptCounts fleetCounts_;
};

/// Median pressure of the usable servers; 0 if there are none.
[[nodiscard]] double medianPressure(const ServerMap& servers);

}  // namespace peargrade::decision
