// Outlier detection: finds servers whose attempts fail far more often than those at the other servers.
#pragma once

#include "decision/action_queue.h"
#include "decision/server_state.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Detects outliers from the share of failed attempts in load reports, whatever the cause: errors, refused
/// connections or timeouts. A server that is slow and rejects some requests is overloaded rather than an
/// outlier: moving its slices would only overload other servers. Also starts health checks of unconfirmed
/// servers, and detects servers that still answer although the endpoint list no longer names them.
class OutlierDetector {
 public:
  OutlierDetector(const Settings& settings, const Clock& clock, ActionQueue& actions)
      : settings_(settings), clock_(clock), actions_(actions) {}

  /// Called once for each decision. `fleetCounts`: attempts and failures summed over all servers.
  void detect(ServerMap& servers, const AttemptCounts& fleetCounts);

 private:
  /// Ends the ejection time of an outlier and discards the reports that made it one.
  void release(const ServerId& id, ServerState& server);
  /// Starts a health check of an unconfirmed server if one is due.
  void checkHealth(const ServerId& id, ServerState& server);
  [[nodiscard]] bool isOutlier(const ServerState& server, const AttemptCounts& fleetCounts) const;

  const Settings& settings_;
  const Clock& clock_;
  ActionQueue& actions_;
};

}  // namespace peargrade::decision
