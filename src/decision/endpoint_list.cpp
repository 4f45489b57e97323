#include "decision/endpoint_list.h"

#include <algorithm>

namespace peargrade::decision {
namespace {

/// A rolling restart is assumed to last until this time after the last server started to drain.
constexpr Micros kRollingRestartTimeout = 10 * kSecond;
/// Where changes of the list are pushed, a cached list counts as current this time after the start: changes
/// since it was stored would have arrived by then.
constexpr Micros kCachedListSettlingTime = 500 * kMillisecond;
/// The backoff is at most the poll deadline divided by this, so that several attempts fit in the deadline.
constexpr Micros kMinAttemptsPerDeadline = 4;

}  // namespace

void EndpointList::apply(const EndpointListUpdate& update, ServerMap& servers) {
  if (update.kind == EndpointListKind::Failed) {
    backOff();
    return;
  }
  if (update.kind == EndpointListKind::Full) {
    for (auto& [id, server] : servers) server.isListed = false;
  }
  const bool isCached = update.kind == EndpointListKind::Cached;
  for (const Endpoint& endpoint : update.endpoints)
    applyEndpoint(endpoint, isCached, servers[endpoint.server]);
  if (isCached) return;
  isCurrent_ = true;
  backoff_ = kInitialBackoff;
}

// The jitter prevents supervisors whose requests failed at the same time from retrying at the same time.
void EndpointList::backOff() {
  isSubscribed_ = false;
  backoff_ =
      std::min(2 * backoff_, std::max(kInitialBackoff, settings_.pollDeadline / kMinAttemptsPerDeadline));
  const double jitter = 0.5 + 0.5 * random_.uniform();
  nextAttemptAt_ = clock_.now() + static_cast<Micros>(static_cast<double>(backoff_) * jitter);
}

// A restarted server has cold caches, so estimates from its previous process are discarded.
void EndpointList::applyEndpoint(const Endpoint& endpoint, bool isCached, ServerState& server) {
  const Micros now = clock_.now();
  const bool hasRestarted = endpoint.startedAt > server.endpoint.startedAt;
  if (!isCached && hasRestarted && endpoint.state == EndpointState::Ready) server.restart(now);
  server.update(endpoint, now, settings_.removalIsAdvisory);
  server.isConfirmed = server.isConfirmed || isCached;
  // A recently started server may not be in any table yet: a recent `changedAt` makes the recovery ramp
  // consider it.
  if (isCached && server.startedWithin(now, kDepartureMemory)) server.changedAt = endpoint.startedAt;
  if (endpoint.state == EndpointState::Draining) rollingRestartUntil_ = now + kRollingRestartTimeout;
}

void EndpointList::refresh(Micros engineStartedAt, ActionQueue& actions) {
  const Micros now = clock_.now();
  if (settings_.endpointsOnRequest && !isSubscribed_ && now >= nextAttemptAt_) {
    actions.add(WatchEndpoints{true});
    isSubscribed_ = true;
  }
  const bool hasCachedListSettled =
      !settings_.endpointsOnRequest && now - engineStartedAt > kCachedListSettlingTime;
  isCurrent_ = isCurrent_ || hasCachedListSettled;
}

}  // namespace peargrade::decision
