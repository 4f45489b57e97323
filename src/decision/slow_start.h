// Weights of the servers, and what a server that has just started can take.
#pragma once

#include "decision/server_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

class AdmissionController;

/// Slow start: the capacity of a server that warms up grows from the stated initial capacity to its full size
/// over the slow start window.
class SlowStart {
 public:
  SlowStart(const Settings& settings, const Clock& clock, const AdmissionController& admission)
      : settings_(settings), clock_(clock), admission_(admission) {}

  [[nodiscard]] bool isWarmingUp(const ServerState& server) const {
    return server.startedWithin(clock_.now(), settings_.slowStartWindow);
  }
  [[nodiscard]] bool isFleetOverloaded() const;
  /// The share of its capacity that a server has by the settings, 0 to 1.
  [[nodiscard]] double warmUpFraction(const ServerState& server) const;
  /// The share of its weight that a server counts for, 0 to 1: the warm-up fraction is the least, and one
  /// that answers at ease counts for more.
  [[nodiscard]] double rampFactor(const ServerState& server) const;
  /// The weight by the endpoint list; 1 where the list's weights mean nothing.
  [[nodiscard]] double listedWeight(const ServerState& server) const;
  /// The listed weight corrected by the capacity estimate, as if the server were warm.
  [[nodiscard]] double weight(const ServerState& server) const {
    return server.capacity.factor * listedWeight(server);
  }
  /// Whether a warming server stays below its overload limit even if every supervisor adds `extraHeat` to it
  /// at once. `fleetScale`: the fleet's heat against this supervisor's own.
  [[nodiscard]] bool canAbsorb(const ServerState& server, double extraHeat, double fleetScale) const;

 private:
  const Settings& settings_;
  const Clock& clock_;
  const AdmissionController& admission_;
};

}  // namespace peargrade::decision
