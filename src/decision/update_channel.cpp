#include "decision/update_channel.h"

#include <algorithm>
#include <iterator>

#include "decision/clock.h"

namespace peargrade::decision {

std::set<ProxyId> UpdateChannel::proxies() const {
  std::set<ProxyId> ids;
  for (const auto& [proxy, routes] : acknowledgedByProxy_) ids.insert(proxy);
  return ids;
}

void UpdateChannel::connect(ProxyId proxy, Micros since) {
  const auto [it, isNew] = acknowledgedByProxy_.try_emplace(proxy, sentRoutes_);
  if (!isNew) return;
  for (const auto& [id, update] : updates_) {
    const bool mayBeInFlight = update.sentAt >= since || (isDeliveryPending_ && id == lastUpdateId_);
    if (mayBeInFlight) it->second = std::min(it->second, update.firstRoute);
  }
  it->second = std::max(it->second, transmittedRoutes_);
  acknowledgedRoutes_ += it->second;
  firstRouteByProxy_[proxy] = it->second;
}

void UpdateChannel::disconnect(ProxyId proxy, Micros since) {
  const auto it = acknowledgedByProxy_.find(proxy);
  if (it == acknowledgedByProxy_.end()) return;
  const double acknowledged = it->second;
  const double inFlight = sentRoutes_ - acknowledged;
  acknowledgedRoutes_ -= acknowledged;
  acknowledgedByProxy_.erase(it);
  firstRouteByProxy_.erase(proxy);
  areDisconnectedRoutesCurrent_ = false;
  if (inFlight <= 0) return;
  disconnectedRanges_[{sentRoutes_, acknowledged}] += 1;
  queueTail_ -= inFlight;
  for (auto& [id, update] : updates_) update.queueStart -= update.sentAt >= since ? inFlight : 0;
}

bool UpdateChannel::acknowledge(ProxyId proxy, int updateId) {
  const auto it = acknowledgedByProxy_.find(proxy);
  const auto update = updates_.find(updateId);
  if (it == acknowledgedByProxy_.end() || update == updates_.end()) return false;
  raiseAcknowledged(it->second, update->second.endRoute);
  areDisconnectedRoutesCurrent_ = false;
  markTransmitted(update->second);
  return true;
}

// All updates that are entirely before the acknowledged one in the queue were transmitted to all proxies. In
// the stream, that is everything before the first update that may be queued later.
void UpdateChannel::markTransmitted(const Update& acknowledged) {
  double transmitted = acknowledged.firstRoute;
  for (const auto& [id, other] : updates_) {
    if (other.queueEnd > acknowledged.queueStart) transmitted = std::min(transmitted, other.firstRoute);
  }
  if (transmitted <= transmittedRoutes_) return;
  transmittedRoutes_ = transmitted;
  for (auto& [proxy, routes] : acknowledgedByProxy_) raiseAcknowledged(routes, transmittedRoutes_);
  while (!disconnectedRanges_.empty() && disconnectedRanges_.begin()->first.first <= transmittedRoutes_)
    disconnectedRanges_.erase(disconnectedRanges_.begin());
}

int UpdateChannel::send(Micros now, double routes, double receivers, double slowestRate) {
  queuedRoutes_ = routesInFlight(now, slowestRate) + routes * std::max(receivers, proxyCount());
  queuedAt_ = now;
  messageTimes_.push_back(now);
  lastUpdateId_ = nextUpdateId();
  updates_[lastUpdateId_] = {now, sentRoutes_, sentRoutes_ + routes, queueTail_,
                             queueTail_ + routes * proxyCount()};
  queueTail_ += routes * proxyCount();
  sentRoutes_ += routes;
  eraseAcknowledgedUpdates();
  return lastUpdateId_;
}

void UpdateChannel::recordDelivery(Micros now, int messages, double overhead, double receivers) {
  isDeliveryPending_ = false;
  const auto it = updates_.find(lastUpdateId_);
  if (it == updates_.end()) return;
  Update& update = it->second;
  const double extra = messages > 0 ? (messages - 1) * overhead : update.firstRoute - update.endRoute;
  queuedRoutes_ = std::max(0.0, queuedRoutes_ + extra * std::max(receivers, proxyCount()));
  sentRoutes_ += extra;
  queueTail_ += extra * proxyCount();
  queuedAt_ = now;
  update.sentAt = now;
  update.endRoute += extra;
  update.queueEnd += extra * proxyCount();
  messageTimes_.resize(messageTimes_.size() - std::min<std::size_t>(messageTimes_.size(), 1));
  for (int message = 0; message < messages; ++message) messageTimes_.push_back(now);
  for (auto& [proxy, routes] : acknowledgedByProxy_) {
    acknowledgedRoutes_ += std::min(routes, sentRoutes_) - routes;
    routes = std::min(routes, sentRoutes_);
  }
  resizeDisconnectedRanges(update.firstRoute, extra);
  areDisconnectedRoutesCurrent_ = false;
  if (messages == 0) updates_.erase(it);
}

// A range that reaches into the last update grows or shrinks with it; one that becomes empty is dropped.
void UpdateChannel::resizeDisconnectedRanges(double firstRoute, double extra) {
  const auto oldRanges = std::exchange(disconnectedRanges_, {});
  for (const auto& [range, count] : oldRanges) {
    const double end = range.first + (range.first > firstRoute ? extra : 0);
    if (end > range.second) disconnectedRanges_[{end, range.second}] += count;
  }
}

double UpdateChannel::routesInFlight(Micros now, double slowestRate) const {
  const double transmitted = static_cast<double>(now - queuedAt_) / kSecond * slowestRate;
  return std::max(0.0, std::min(queuedRoutes_ - transmitted,
                                sentRoutes_ * proxyCount() - acknowledgedRoutes_ + routesToDisconnected()));
}

double UpdateChannel::messagesWithin(Micros now, Micros window) {
  while (!messageTimes_.empty() && messageTimes_.front() <= now - window) messageTimes_.pop_front();
  return static_cast<double>(messageTimes_.size());
}

void UpdateChannel::raiseAcknowledged(double& acknowledged, double position) {
  if (acknowledged >= position) return;
  acknowledgedRoutes_ += position - acknowledged;
  acknowledged = position;
}

// The order in which the copies of an update are transmitted does not depend on which proxies disconnect.
// So of a range in flight to a disconnected proxy, the share that is still queued is estimated as the mean
// share that is unacknowledged by the connected proxies that were sent the complete range.
double UpdateChannel::routesToDisconnected() const {
  if (std::exchange(areDisconnectedRoutesCurrent_, true)) return disconnectedRoutes_;
  disconnectedRoutes_ = 0;
  for (const auto& [range, count] : disconnectedRanges_) {
    const auto [end, start] = range;
    double inFlight = 0;
    double receivingProxies = 0;
    for (const auto& [proxy, acknowledged] : acknowledgedByProxy_) {
      if (firstRouteByProxy_.at(proxy) > start) continue;
      inFlight += std::max(0.0, end - std::max(start, acknowledged));
      receivingProxies += 1;
    }
    const double untransmitted = std::max(0.0, end - std::max(start, transmittedRoutes_));
    disconnectedRoutes_ += count * (receivingProxies > 0 ? inFlight / receivingProxies : untransmitted);
  }
  return disconnectedRoutes_;
}

// Erases the records of updates that every proxy has acknowledged, which would otherwise grow without bound.
// The last update is kept, since recordDelivery may still change it.
void UpdateChannel::eraseAcknowledgedUpdates() {
  double acknowledgedByAll = sentRoutes_;
  for (const auto& [proxy, routes] : acknowledgedByProxy_)
    acknowledgedByAll = std::min(acknowledgedByAll, routes);
  for (const auto& [range, count] : disconnectedRanges_)
    acknowledgedByAll = std::min(acknowledgedByAll, std::max(range.second, transmittedRoutes_));
  for (auto it = updates_.begin(); it != updates_.end();) {
    const bool isObsolete = it->first != lastUpdateId_ && it->second.endRoute <= acknowledgedByAll;
    it = isObsolete ? updates_.erase(it) : std::next(it);
  }
}

}  // namespace peargrade::decision
