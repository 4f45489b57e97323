// Admission control: how much heat each server may be sent, learned from its pressure.
#pragma once

#include <cstddef>

#include "decision/pressure_estimator.h"
#include "decision/server_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

class LoadEstimator;
class SlowStart;

/// Learns each server's heat limit. An overloaded server's limit is set a step below what it receives, and
/// rises in growing steps while the server is relaxed, until it limits nothing. While pressure is high a
/// passing cut lets the queue drain. A warming server is held to what warm ones sustain, by its slow start.
class AdmissionController {
 public:
  AdmissionController(const Clock& clock, const PressureEstimator& pressure)
      : clock_(clock), pressure_(pressure) {}

  /// Sets each server's heat limit and admitted share. Called once for each decision.
  void adjust(ServerMap& servers, const LoadEstimator& load, const SlowStart& slowStart);
  /// Whether work is short in the fleet: a third of the warm servers are limited, or many attempts fail.
  [[nodiscard]] bool isOverloaded() const { return isOverloaded_; }
  /// Heat that a unit of listed weight of a warm server takes; 0: unknown.
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

  /// `heat`: per listed weight, offered to the server now.
  void adjustLimit(ServerState& server, double heat) const;
  void decreaseLimit(ServerState& server, double heat) const;
  void increaseLimit(ServerState& server, double heat) const;
  void updateFleetState(const WarmServers& warm);
  /// `heat`: per listed weight that the server has now.
  void setAdmittedShare(ServerState& server, double heat, bool isWarmingUp) const;

  const Clock& clock_;
  const PressureEstimator& pressure_;
  bool isOverloaded_ = false;
  double sustainedHeat_ = 0;
  Micros sustainedHeatAt_ = 0;
  double admittedShare_ = 1;
};

}  // namespace peargrade::decision
