// Subscription to the endpoint list, and application of its updates to the server records.
#pragma once

#include "decision/action_queue.h"
#include "decision/random.h"
#include "decision/server_state.h"
#include "peargrade/events.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Applies updates of the endpoint list to the server records. Where the list is only sent on request
/// (Settings::endpointsOnRequest), subscribes to it, and subscribes again after a failure.
class EndpointList {
 public:
  EndpointList(const Settings& settings, const Clock& clock, Random& random)
      : settings_(settings), clock_(clock), random_(random) {}

  void apply(const EndpointListUpdate& update, ServerMap& servers);
  /// Called at the start of each decision. Subscribes if an attempt is due, and decides whether a cached list
  /// now counts as current. `engineStartedAt`: time of the engine's first batch of events.
  void refresh(Micros engineStartedAt, ActionQueue& actions);
  /// Whether a server that the list does not name may be treated as removed. A cached list may be out of date
  /// and lack new servers, so it is not current until it is confirmed.
  [[nodiscard]] bool isCurrent() const { return isCurrent_; }
  /// Whether a server started to drain recently, as happens during a rolling restart.
  [[nodiscard]] bool isRollingRestart() const { return clock_.now() < rollingRestartUntil_; }

 private:
  /// Schedules the next attempt to subscribe after a failure.
  void backOff();
  void applyEndpoint(const Endpoint& endpoint, bool isCached, ServerState& server);

  const Settings& settings_;
  const Clock& clock_;
  Random& random_;
  bool isCurrent_ = false;
  bool isSubscribed_ = false;
  Micros nextAttemptAt_ = 0;
  Micros backoff_ = kInitialBackoff;
  Micros rollingRestartUntil_ = 0;

  /// Start of the exponential backoff: it is doubled before each use.
  static constexpr Micros kInitialBackoff = 250 * kMillisecond;
};

}  // namespace peargrade::decision
