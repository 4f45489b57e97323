// The endpoint list: its subscription, and what its updates say of the servers.
#pragma once

#include "decision/action_queue.h"
#include "decision/random.h"
#include "decision/server_state.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Keeps the endpoint list subscribed where it must be requested, and takes its updates into the servers.
class EndpointList {
 public:
  EndpointList(const Settings& settings, const Clock& clock, Random& random)
      : settings_(settings), clock_(clock), random_(random) {}

  void apply(const EndpointListUpdate& update, ServerMap& servers);
  /// Called at the start of each decision: subscribes when it is due, and decides whether a cached list
  /// holds. `engineStartedAt`: when the engine handled its first batch.
  void refresh(Micros engineStartedAt, ActionQueue& actions);
  /// Whether the list as known holds: a cached one may not know a new server yet.
  [[nodiscard]] bool isCurrent() const { return isCurrent_; }
  /// Whether servers were seen draining lately, as in a rolling restart.
  [[nodiscard]] bool isRollingRestart() const { return clock_.now() < rollingUntil_; }

 private:
  void backOff();
  void applyEndpoint(const Endpoint& endpoint, bool isCached, ServerState& server);

  const Settings& settings_;
  const Clock& clock_;
  Random& random_;
  bool isCurrent_ = false;
  bool isSubscribed_ = false;
  Micros nextAttemptAt_ = 0;
  Micros backoff_ = kFirstBackoff;
  Micros rollingUntil_ = 0;

  /// Backoff after the first failed request of the list.
  static constexpr Micros kFirstBackoff = 250 * kMillisecond;
};

}  // namespace peargrade::decision
