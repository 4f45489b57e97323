#include "decision/endpoint_list.h"

#include <algorithm>

namespace peargrade::decision {
namespace {

/// How long after a drain a rolling restart is taken to go on.
constexpr Micros kRollingRestartMemory = 10 * kSecond;
/// Where changes are pushed, a cached list that nothing changed within this time is current.
constexpr Micros kCachedListSettles = 500 * kMillisecond;
/// Largest backoff, as a part of the poll deadline.
constexpr Micros kBackoffsInDeadline = 4;

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
  backoff_ = kFirstBackoff;
}

// Jitter: supervisors whose requests failed together must not repeat them together.
void EndpointList::backOff() {
  isSubscribed_ = false;
  backoff_ = std::min(2 * backoff_, std::max(kFirstBackoff, settings_.pollDeadline / kBackoffsInDeadline));
  const double jitter = 0.5 + 0.5 * random_.uniform();
  nextAttemptAt_ = clock_.now() + static_cast<Micros>(static_cast<double>(backoff_) * jitter);
}

// A server that starts has cold caches, whatever its slices say: what is known of its former process is
// dropped.
void EndpointList::applyEndpoint(const Endpoint& endpoint, bool isCached, ServerState& server) {
  const Micros now = clock_.now();
  const bool hasRestarted = endpoint.startedAt > server.endpoint.startedAt;
  if (!isCached && hasRestarted && endpoint.state == EndpointState::Ready) server.restart(now);
  server.update(endpoint, now, settings_.removalIsAdvisory);
  server.isConfirmed = server.isConfirmed || isCached;
  // No table may name it yet.
  if (isCached && server.startedWithin(now, kDepartureMemory)) server.changedAt = endpoint.startedAt;
  if (endpoint.state == EndpointState::Draining) rollingUntil_ = now + kRollingRestartMemory;
}

void EndpointList::refresh(Micros engineStartedAt, ActionQueue& actions) {
  const Micros now = clock_.now();
  if (settings_.endpointsOnRequest && !isSubscribed_ && now >= nextAttemptAt_) {
    actions.add(WatchEndpoints{true});
    isSubscribed_ = true;
  }
  const bool cachedListHolds = !settings_.endpointsOnRequest && now - engineStartedAt > kCachedListSettles;
  isCurrent_ = isCurrent_ || cachedListHolds;
}

}  // namespace peargrade::decision
