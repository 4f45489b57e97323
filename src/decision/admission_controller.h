// Admission control: limits the heat of each server, based on the pressure and failures in load reports.
#pragma once

#include <cstddef>

#include "decision/pressure_estimator.h"
#include "decision/server_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

class LoadEstimator;
class SlowStart;

/// Adjusts a heat limit for each server. When a server is overloaded, its limit is set one step below the
/// heat that it receives. While it is relaxed, the limit rises in growing steps, and is removed once it
/// exceeds the offered heat. While its pressure is high, the admitted share is reduced further, so that its
/// queue drains. A warming server is limited to the heat that warm servers sustain, times its ramp factor.
class AdmissionController {
 public:
  AdmissionController(const Clock& clock, const PressureEstimator& pressure)
      : clock_(clock), pressure_(pressure) {}

  /// Sets each server's heat limit and admitted share. Called once for each decision.
  void adjust(ServerMap& servers, const LoadEstimator& load, const SlowStart& slowStart);
  /// Whether the fleet is overloaded: more than a third of the warm servers have a heat limit, or many
  /// attempts at warm servers fail.
  [[nodiscard]] bool isOverloaded() const { return isOverloaded_; }
  /// Heat per unit of listed weight that warm servers admit on average; 0: unknown.
  [[nodiscard]] double sustainedHeatPerWeight() const { return sustainedHeat_; }
  /// Share of the offered heat that warm servers admit.
  [[nodiscard]] double admittedShare() const { return admittedShare_; }

 private:
  /// Sums over the warm servers.
  struct WarmServers {
    std::size_t count = 0;
    std::size_t limited = 0;
    double admittedHeat = 0;
    double offeredHeat = 0;
    double weight = 0;
    AttemptCounts counts;
  };

  /// `heatPerWeight`: heat offered to the server, per unit of listed weight.
  void adjustLimit(ServerState& server, double heatPerWeight) const;
  void decreaseLimit(ServerState& server, double heatPerWeight) const;
  void increaseLimit(ServerState& server, double heatPerWeight) const;
  void updateFleetState(const WarmServers& warm);
  /// `heatPerWeight`: heat offered to the server, per unit of listed weight times its ramp factor.
  void setAdmittedShare(ServerState& server, double heatPerWeight, bool isWarmingUp) const;

  const Clock& clock_;
  const PressureEstimator& pressure_;
  bool isOverloaded_ = false;
  double sustainedHeat_ = 0;
  Micros sustainedHeatAt_ = 0;
  double admittedShare_ = 1;
};

}  // namespace peargrade::decision
