// In-flight accounting of the update channel: how many routes wait in it, by what proxies acknowledge.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <utility>

#include "peargrade/types.h"

namespace peargrade::decision {

/// Counts the routes that were sent and may still wait in the channel. The count must never be below the
/// truth. Updates leave the channel one after the other, and each proxy applies its own in order. When
/// proxies disconnect, their copies still take their turn, but updates sent later move forward by as much:
/// they may overtake what was sent before to others. Sizes are in routes, message overhead included. Not
/// thread-safe.
class UpdateChannel {
 public:
  /// Number of connected proxies.
  [[nodiscard]] double proxyCount() const { return static_cast<double>(acknowledgedBy_.size()); }
  [[nodiscard]] std::set<ProxyId> proxies() const;
  /// The event may be read after updates went to the proxy: those sent at `since` or later count as in flight
  /// to it. A proxy that is announced again keeps what is in flight to it.
  void connect(ProxyId proxy, Micros since);
  /// What is in flight to the proxy stays so until it has left the channel. The event may be read after later
  /// updates moved forward: those sent at `since` or later count as moved.
  void disconnect(ProxyId proxy, Micros since);
  /// False: the proxy or the update is not known, or every proxy acknowledged the update long ago.
  bool acknowledge(ProxyId proxy, int updateId);
  /// Updates whose acknowledgement would still change the account.
  [[nodiscard]] std::size_t trackedUpdates() const { return updates_.size(); }
  [[nodiscard]] int lastUpdateId() const { return lastUpdateId_; }
  [[nodiscard]] int nextUpdateId() const { return (lastUpdateId_ + 1) % kUpdateIds; }
  /// Records one message of `routes` to each of `receivers` proxies. `slowestRate`: routes a second that
  /// certainly leave the channel. Returns the update's id.
  int send(Micros now, double routes, double receivers, double slowestRate);
  /// The last update leaves only when recordDelivery is called; until then nothing of it has left.
  void awaitDelivery() { isDeliveryPending_ = true; }
  /// The last update went out in `messages` messages, each with `overhead` routes on top, or not at all (0).
  void recordDelivery(Micros now, int messages, double overhead, double receivers);
  /// Routes in flight: those not acknowledged, but no more than the slowest rate leaves.
  [[nodiscard]] double routesInFlight(Micros now, double slowestRate) const;
  /// Messages to each proxy within the window up to now.
  double messagesWithin(Micros now, Micros window);

 private:
  struct Update {
    Micros sentAt;
    // Of the routes sent to one proxy.
    double firstRoute;
    double endRoute;
    // Of the queue of all proxies' routes, as far as the update can have moved forward.
    double queueStart;
    double queueEnd;
  };
  /// Routes sent to one proxy that wait for disconnected ones: the end and the begin of their range.
  using RouteRange = std::pair<double, double>;

  void raise(double& acknowledged, double to);
  void markLeft(const Update& acknowledged);
  void extendDeparted(double firstRoute, double extra);
  double routesForDeparted() const;
  void forgetAcknowledged();

  /// The range of an update id.
  static constexpr int kUpdateIds = 65536;
  std::map<ProxyId, double> acknowledgedBy_;  // of the routes sent to one proxy
  std::map<ProxyId, double> connectedAt_;     // of the same, where the proxy began
  std::map<int, Update> updates_;             // by update id
  double sent_ = 0;                           // routes sent to one proxy
  double acknowledged_ = 0;                   // sum of acknowledgedBy_
  double queued_ = 0;                         // upper bound of the routes in the channel at queuedAt_
  double left_ = 0;                           // of the routes sent to one proxy: these left for all proxies
  double nextInQueue_ = 0;                    // place in the queue of what is sent next
  std::map<RouteRange, double> departed_;     // number of disconnected proxies by the range in flight to them
  mutable double departedRoutes_ = 0;
  mutable bool departedRoutesCurrent_ = true;
  Micros queuedAt_ = 0;
  std::deque<Micros> messageTimes_;
  int lastUpdateId_ = 0;
  bool isDeliveryPending_ = false;
};

}  // namespace peargrade::decision
