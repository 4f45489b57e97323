// Repetition of ejections and readmissions that some proxies may not hold.
#pragma once

#include <cstddef>

#include "decision/action_queue.h"
#include "decision/applied_updates.h"
#include "decision/clock.h"
#include "decision/server_state.h"

namespace peargrade::decision {

/// Finds the published ejections and readmissions that a connected proxy may have missed, and marks them as
/// unconfirmed: EjectionPlanner then publishes them again. A proxy keeps what it holds while it is
/// disconnected, so a readmission that it has missed leaves the server ejected at this proxy for good.
class EjectionRepeater {
 public:
  EjectionRepeater(const Clock& clock, const AppliedUpdates& applied, ActionQueue& actions)
      : clock_(clock), applied_(applied), actions_(actions) {}

  /// Records that a proxy connected, or may have connected, since the last decision.
  void recordConnection() { hasNewProxies_ = true; }
  void markUnconfirmed(ServerMap& servers);
  /// Marks the readmissions among updates that a connected proxy may have missed. Returns their number.
  std::size_t markMissedReadmissions(const UpdateRange& missed, ServerMap& servers);

 private:
  /// Ejections in force: new proxies do not hold them.
  void markEjections(ServerMap& servers);
  /// Servers that an engine before this one may have ejected.
  void markUnknownEjections(ServerMap& servers) const;

  const Clock& clock_;
  const AppliedUpdates& applied_;
  ActionQueue& actions_;
  bool hasNewProxies_ = false;
};

}  // namespace peargrade::decision
