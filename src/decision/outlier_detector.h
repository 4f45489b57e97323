// Outlier detection: servers that fail where most others do well.
#pragma once

#include "decision/action_queue.h"
#include "decision/server_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Evaluates every server by its load reports, whatever makes it useless: quick errors, refused or silent
/// connections. A slow server that rejects requests is overloaded, no outlier: to leave it would only pass
/// the load on. Also starts health checks of servers that never answered, and judges whether a server that
/// the list dropped is still alive.
class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const Clock& clock, ActionQueue& actions)
      : settings_(settings), clock_(clock), actions_(actions) {}

  /// `fleetCounts`: attempts at all servers. Called once for each decision.
  void detect(ServerMap& servers, const AttemptCounts& fleetCounts);

 private:
  void release(const ServerId& id, ServerState& server);
  void checkHealth(const ServerId& id, ServerState& server);
  [[nodiscard]] bool isOutlier(const ServerState& server, const AttemptCounts& fleetCounts) const;

  const Settings& settings_;
  const Clock& clock_;
  ActionQueue& actions_;
};

}  // namespace peargrade::decision
