// In-flight accounting of the update channel, based on the acknowledgements of the proxies.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "peargrade/types.h"

namespace peargrade::decision {

/// Counts the routes that were sent and may still be queued in the channel. The count must never be too low,
/// because the pending limit relies on it.
///
/// The channel is a queue with one copy of each update for each proxy. Updates are transmitted in order, and
/// each proxy applies its own copies in order. When a proxy disconnects, its queued copies still use up
/// transmission time, but updates sent later move forward in the queue by the size of these copies. They may
/// then be transmitted before copies that were sent earlier to other proxies. An acknowledgement therefore
/// shows only that the updates which it cannot have overtaken were transmitted.
///
/// All sizes are in routes, message overhead included. Two kinds of positions are used: positions in the
/// stream of routes sent to one proxy (equal for all proxies, since each is sent every update), and positions
/// in the queue, which holds the copies for all proxies. Not thread-safe.
class UpdateChannel {
 public:
  /// Number of connected proxies.
  [[nodiscard]] double proxyCount() const { return static_cast<double>(acknowledgedByProxy_.size()); }
  [[nodiscard]] std::set<ProxyId> proxies() const;
  /// Adds a proxy. It may have connected before the event was read, so updates sent at `since` or later count
  /// as in flight to it. If the proxy is connected already, nothing changes.
  void connect(ProxyId proxy, Micros since);
  /// Removes a proxy. Its routes in flight count until they are transmitted. It may have disconnected before
  /// the event was read, so updates sent at `since` or later may already have moved forward in the queue.
  void disconnect(ProxyId proxy, Micros since);
  /// Records that a proxy has applied an update and all before it. Returns false if the proxy is not
  /// connected or there is no record of the update: its id is unknown, or every proxy has acknowledged it.
  bool acknowledge(ProxyId proxy, int updateId);
  /// Number of updates whose record is kept, because an acknowledgement of them may lower the count.
  [[nodiscard]] std::size_t trackedUpdates() const { return updates_.size(); }
  [[nodiscard]] int lastUpdateId() const { return lastUpdateId_; }
  [[nodiscard]] int nextUpdateId() const { return (lastUpdateId_ + 1) % kUpdateIds; }
  /// Number of updates that were sent after the one with this id.
  [[nodiscard]] int updatesSince(int updateId) const {
    return (lastUpdateId_ - updateId + kUpdateIds) % kUpdateIds;
  }
  /// Records an update: one message of `routes` routes to each of `receivers` proxies. `slowestRate`: routes
  /// per second that the channel transmits at least. Returns the update's id.
  int send(Micros now, double routes, double receivers, double slowestRate);
  /// Declares that recordDelivery will be called for the last update. Until then proxies that connect may
  /// still receive it.
  void awaitDelivery() { isDeliveryPending_ = true; }
  /// Records that the last update entered the channel in `messages` messages to each proxy; 0: it did not
  /// enter the channel. Each message after the first adds `overhead` routes.
  void recordDelivery(Micros now, int messages, double overhead, double receivers);
  /// Upper bound of the routes in flight, summed over the proxies: the routes that are not acknowledged, or
  /// if that is less, the routes that a channel with the slowest rate has not transmitted yet.
  [[nodiscard]] double routesInFlight(Micros now, double slowestRate) const;
  /// Messages sent to each proxy within the last `window` microseconds.
  double messagesWithin(Micros now, Micros window);

 private:
  struct Update {
    Micros sentAt;
    // Range of positions in the stream.
    double firstRoute;
    double endRoute;
    // Range of positions in the queue. The start is lowered as far as the update may have moved forward.
    double queueStart;
    double queueEnd;
  };
  /// Range of positions in the stream: its end, then its start, so that ranges sort by their end.
  using RouteRange = std::pair<double, double>;

  /// Raises the position up to which one proxy acknowledged the stream, and the sum over the proxies.
  void raiseAcknowledged(double& acknowledged, double position);
  /// Marks the updates as transmitted that must have been transmitted before `acknowledged`.
  void markTransmitted(const Update& acknowledged);
  /// Adapts the ranges in flight to disconnected proxies to a change of the last update's size by `extra`.
  void resizeDisconnectedRanges(double firstRoute, double extra);
  /// Routes in flight to disconnected proxies, derived from the acknowledgements of the connected ones.
  double routesToDisconnected() const;
  void eraseAcknowledgedUpdates();

  /// Number of update ids: they wrap around at this value.
  static constexpr int kUpdateIds = 65536;
  /// By connected proxy: the position in the stream up to which nothing is in flight to it.
  std::map<ProxyId, double> acknowledgedByProxy_;
  /// By connected proxy: the position in the stream of the first route that may have been sent to it.
  std::map<ProxyId, double> firstRouteByProxy_;
  /// By update id.
  std::map<int, Update> updates_;
  /// Position in the stream of the next route to be sent.
  double sentRoutes_ = 0;
  /// Sum of acknowledgedByProxy_.
  double acknowledgedRoutes_ = 0;
  /// Upper bound of the routes in the channel at queuedAt_, if it has the slowest rate.
  double queuedRoutes_ = 0;
  /// Position in the stream up to which the routes were transmitted to all proxies.
  double transmittedRoutes_ = 0;
  /// Position in the queue of the next update.
  double queueTail_ = 0;
  /// Number of disconnected proxies by the range of the stream that is in flight to them.
  std::map<RouteRange, double> disconnectedRanges_;
  /// Cached result of routesToDisconnected, and whether it is valid.
  mutable double disconnectedRoutes_ = 0;
  mutable bool areDisconnectedRoutesCurrent_ = true;
  Micros queuedAt_ = 0;
  /// Times of the messages sent to each proxy, ascending.
  std::deque<Micros> messageTimes_;
  int lastUpdateId_ = 0;
  bool isDeliveryPending_ = false;
};

}  // namespace peargrade::decision
