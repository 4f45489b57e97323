// Server weights, and the reduced capacity of servers that are still warming up.
#pragma once

#include "decision/server_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

class AdmissionController;

/// Slow start: the capacity of a server that is warming up grows linearly from Settings::initialCapacity to 1
/// over Settings::slowStartWindow, counted from the start of its process.
class SlowStart {
 public:
  SlowStart(const Settings& settings, const Clock& clock, const AdmissionController& admission)
      : settings_(settings), clock_(clock), admission_(admission) {}

  [[nodiscard]] bool isWarmingUp(const ServerState& server) const {
    return server.startedWithin(clock_.now(), settings_.slowStartWindow);
  }
  [[nodiscard]] bool isFleetOverloaded() const;
  /// The share of its full capacity that the settings give a server of this age, 0 to 1; 1 if it is warm.
  [[nodiscard]] double warmUpFraction(const ServerState& server) const;
  /// The factor by which a server's weight is multiplied when load is distributed, 0 to 1; 1 if it is warm.
  /// For a warming server it is the warm-up fraction, reduced because its caches are cold, or raised while
  /// load reports show that the server is relaxed.
  [[nodiscard]] double rampFactor(const ServerState& server) const;
  /// The weight in the endpoint list; 1 where Settings::endpointsHaveWeights is false.
  [[nodiscard]] double listedWeight(const ServerState& server) const;
  /// The full weight of a server once it is warm: its listed weight times its estimated capacity factor.
  [[nodiscard]] double weight(const ServerState& server) const {
    return server.capacity.factor * listedWeight(server);
  }
  /// Whether a warming server stays below its overload limit even if every supervisor adds `extraHeat` to it
  /// at once. Always true for a warm server. `fleetScale`: the fleet's heat divided by the heat of this
  /// supervisor's slices.
  [[nodiscard]] bool canAbsorb(const ServerState& server, double extraHeat, double fleetScale) const;

 private:
  const Settings& settings_;
  const Clock& clock_;
  const AdmissionController& admission_;
};

}  // namespace peargrade::decision
