#include "decision/update_channel.h"

#include <algorithm>
#include <iterator>

#include "decision/clock.h"

namespace peargrade::decision {

std::set<ProxyId> UpdateChannel::proxies() const {
  std::set<ProxyId> ids;
  for (const auto& [proxy, routes] : acknowledgedBy_) ids.insert(proxy);
  return ids;
}

void UpdateChannel::connect(ProxyId proxy, Micros since) {
  const auto [it, isNew] = acknowledgedBy_.try_emplace(proxy, sent_);
  if (!isNew) return;
  for (const auto& [id, update] : updates_) {
    const bool mayHaveGone = update.sentAt >= since || (isDeliveryPending_ && id == lastUpdateId_);
    if (mayHaveGone) it->second = std::min(it->second, update.firstRoute);
  }
  it->second = std::max(it->second, left_);
  acknowledged_ += it->second;
  connectedAt_[proxy] = it->second;
}

void UpdateChannel::disconnect(ProxyId proxy, Micros since) {
  const auto it = acknowledgedBy_.find(proxy);
  if (it == acknowledgedBy_.end()) return;
  const double acknowledged = it->second;
  const double inFlight = sent_ - acknowledged;
  acknowledged_ -= acknowledged;
  acknowledgedBy_.erase(it);
  connectedAt_.erase(proxy);
  departedRoutesCurrent_ = false;
  if (inFlight <= 0) return;
  departed_[{sent_, acknowledged}] += 1;
  nextInQueue_ -= inFlight;
  for (auto& [id, update] : updates_) update.queueStart -= update.sentAt >= since ? inFlight : 0;
}

bool UpdateChannel::acknowledge(ProxyId proxy, int updateId) {
  const auto it = acknowledgedBy_.find(proxy);
  const auto update = updates_.find(updateId);
  if (it == acknowledgedBy_.end() || update == updates_.end()) return false;
  raise(it->second, update->second.endRoute);
  departedRoutesCurrent_ = false;
  markLeft(update->second);
  return true;
}

// Whatever stands before an acknowledged update in the queue has left the channel, for all proxies.
void UpdateChannel::markLeft(const Update& acknowledged) {
  double left = acknowledged.firstRoute;
  for (const auto& [id, other] : updates_) {
    if (other.queueEnd > acknowledged.queueStart) left = std::min(left, other.firstRoute);
  }
  if (left <= left_) return;
  left_ = left;
  for (auto& [proxy, routes] : acknowledgedBy_) raise(routes, left_);
  while (!departed_.empty() && departed_.begin()->first.first <= left_) departed_.erase(departed_.begin());
}

int UpdateChannel::send(Micros now, double routes, double receivers, double slowestRate) {
  queued_ = routesInFlight(now, slowestRate) + routes * std::max(receivers, proxyCount());
  queuedAt_ = now;
  messageTimes_.push_back(now);
  lastUpdateId_ = nextUpdateId();
  updates_[lastUpdateId_] = {now, sent_, sent_ + routes, nextInQueue_, nextInQueue_ + routes * proxyCount()};
  nextInQueue_ += routes * proxyCount();
  sent_ += routes;
  forgetAcknowledged();
  return lastUpdateId_;
}

void UpdateChannel::recordDelivery(Micros now, int messages, double overhead, double receivers) {
  isDeliveryPending_ = false;
  const auto it = updates_.find(lastUpdateId_);
  if (it == updates_.end()) return;
  Update& update = it->second;
  const double extra = messages > 0 ? (messages - 1) * overhead : update.firstRoute - update.endRoute;
  queued_ = std::max(0.0, queued_ + extra * std::max(receivers, proxyCount()));
  sent_ += extra;
  nextInQueue_ += extra * proxyCount();
  queuedAt_ = now;
  update.sentAt = now;
  update.endRoute += extra;
  update.queueEnd += extra * proxyCount();
  messageTimes_.resize(messageTimes_.size() - std::min<std::size_t>(messageTimes_.size(), 1));
  for (int message = 0; message < messages; ++message) messageTimes_.push_back(now);
  for (auto& [proxy, routes] : acknowledgedBy_) {
    acknowledged_ += std::min(routes, sent_) - routes;
    routes = std::min(routes, sent_);
  }
  extendDeparted(update.firstRoute, extra);
  departedRoutesCurrent_ = false;
  if (messages == 0) updates_.erase(it);
}

// Ranges in flight to disconnected proxies that reach into the last update grow or shrink with it.
void UpdateChannel::extendDeparted(double firstRoute, double extra) {
  const auto departed = std::exchange(departed_, {});
  for (const auto& [range, count] : departed) {
    const double end = range.first + (range.first > firstRoute ? extra : 0);
    if (end > range.second) departed_[{end, range.second}] += count;
  }
}

double UpdateChannel::routesInFlight(Micros now, double slowestRate) const {
  const double drained = static_cast<double>(now - queuedAt_) / kSecond * slowestRate;
  return std::max(0.0,
                  std::min(queued_ - drained, sent_ * proxyCount() - acknowledged_ + routesForDeparted()));
}

double UpdateChannel::messagesWithin(Micros now, Micros window) {
  while (!messageTimes_.empty() && messageTimes_.front() <= now - window) messageTimes_.pop_front();
  return static_cast<double>(messageTimes_.size());
}

void UpdateChannel::raise(double& acknowledged, double to) {
  if (acknowledged >= to) return;
  acknowledged_ += to - acknowledged;
  acknowledged = to;
}

// The copies of an update leave in an order that does not depend on which proxies disconnected. Of what is in
// flight to those, as large a part has left as of what was sent with it to the proxies still connected.
double UpdateChannel::routesForDeparted() const {
  if (std::exchange(departedRoutesCurrent_, true)) return departedRoutes_;
  departedRoutes_ = 0;
  for (const auto& [range, count] : departed_) {
    const auto [end, begin] = range;
    double inFlight = 0;
    double witnesses = 0;
    for (const auto& [proxy, acknowledged] : acknowledgedBy_) {
      if (connectedAt_.at(proxy) > begin) continue;
      inFlight += std::max(0.0, end - std::max(begin, acknowledged));
      witnesses += 1;
    }
    const double all = std::max(0.0, end - std::max(begin, left_));
    departedRoutes_ += count * (witnesses > 0 ? inFlight / witnesses : all);
  }
  return departedRoutes_;
}

// The record of an update that every proxy acknowledged has no further use; kept, records would grow with
// time.
void UpdateChannel::forgetAcknowledged() {
  double least = sent_;
  for (const auto& [proxy, routes] : acknowledgedBy_) least = std::min(least, routes);
  for (const auto& [range, count] : departed_) least = std::min(least, std::max(range.second, left_));
  for (auto it = updates_.begin(); it != updates_.end();) {
    const bool isObsolete = it->first != lastUpdateId_ && it->second.endRoute <= least;
    it = isObsolete ? updates_.erase(it) : std::next(it);
  }
}

}  // namespace peargrade::decision
