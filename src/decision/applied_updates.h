// Which updates each proxy is known to have applied, also while it is disconnected.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "decision/clock.h"
#include "decision/update_number.h"
#include "peargrade/types.h"

namespace peargrade::decision {

/// A range of updates: those after `after`, up to and including `last`.
struct UpdateRange {
  UpdateNumber after = 0;
  UpdateNumber last = 0;

  [[nodiscard]] bool contains(UpdateNumber update) const { return update > after && update <= last; }
};

/// Tracks the last update that each proxy has certainly applied. An update is lost for a proxy that is
/// disconnected when the update is sent, or that disconnects before it has applied the update; the proxy
/// keeps what it applied before. When it connects again, the updates after the last one it has applied count
/// as missed.
///
/// The record of a disconnected proxy is kept for kDisconnectedProxyRetention. A proxy without a record that
/// connects and is not a new incarnation may have missed all updates. There is at most one record for each
/// ProxyId. Not thread-safe.
class AppliedUpdates {
 public:
  /// How long the record of a disconnected proxy is kept.
  static constexpr Micros kDisconnectedProxyRetention = 600 * kSecond;

  explicit AppliedUpdates(const Clock& clock) : clock_(clock) {}

  /// Number of the update that is sent next.
  [[nodiscard]] UpdateNumber nextUpdate() const { return lastSent_ + 1; }
  /// Records that the next update was sent.
  void recordSent() { ++lastSent_; }
  /// Records a connection. A new incarnation holds nothing that an earlier update could change.
  void connect(ProxyId proxy, bool isNewIncarnation);
  void disconnect(ProxyId proxy);
  /// Records that a connected proxy has applied the update that was sent `updatesSince` updates before the
  /// last one, and all updates that were sent to it before.
  void acknowledge(ProxyId proxy, UpdateNumber updatesSince);
  /// Records that every connected proxy may have disconnected and connected again without an event.
  void recordUnobservedReconnects();
  /// Erases what was recorded of proxies that disconnected, or of a proxy with unknown state that connected,
  /// kDisconnectedProxyRetention ago or earlier.
  void forgetExpired();

  /// When a proxy first connected that may hold the effects of updates of another engine: of a predecessor of
  /// this one, or of this one if the record of the proxy has expired; nullopt: none.
  [[nodiscard]] std::optional<Micros> unknownStateSince() const { return unknownStateSince_; }
  /// Returns the updates that a proxy may have missed that connected since the last call; nullopt: none.
  std::optional<UpdateRange> takeMissed();
  /// The last update that every disconnected proxy with a record has applied; nullopt: there is none.
  [[nodiscard]] std::optional<UpdateNumber> appliedByDisconnected() const;
  /// Number of proxies with a record, as a measure of memory use.
  [[nodiscard]] std::size_t recordCount() const { return connected_.size() + disconnected_.size(); }

 private:
  struct Disconnected {
    UpdateNumber applied = 0;
    Micros since = 0;
  };

  /// Adds the updates after `applied` to those that were missed.
  void recordMissed(UpdateNumber applied);

  const Clock& clock_;
  /// By connected proxy: the last update that it has certainly applied.
  std::map<ProxyId, UpdateNumber> connected_;
  std::map<ProxyId, Disconnected> disconnected_;
  UpdateNumber lastSent_ = 0;
  std::optional<UpdateRange> missed_;
  std::optional<Micros> unknownStateSince_;
};

}  // namespace peargrade::decision
