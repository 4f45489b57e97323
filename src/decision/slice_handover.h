// Handover of single-owner slices from one server to another.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "decision/clock.h"
#include "decision/slice_state.h"
#include "peargrade/actions.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Ensures that no two servers receive writes for a single-owner slice at the same time. The route to the old
/// owner is removed first. The route to the new owner is set once every proxy has either acknowledged the
/// removal or lost its lease, and writes accepted before that have ended. A proxy that is disconnected holds
/// its lease for Settings::lease, whether it disconnected before the removal or after it. So does any proxy
/// of the supervisor that had the slice before, or of this one before its start. A table in which the store
/// shows no owner is cleared first, because proxies may still hold an owner that this supervisor was not told
/// of. Does nothing for shared slices.
class SliceHandover {
 public:
  SliceHandover(const Settings& settings, const Clock& clock) : settings_(settings), clock_(clock) {}

  /// The changes of a handover that may be published now: the removal of the old owner's route, or of all
  /// routes of a table whose owner is not known, or the route to the new owner, or none.
  [[nodiscard]] std::vector<Action> nextRoutes(TableId table, const SliceState& slice) const;
  /// Records that the store names `server` as the owner of the slice. Returns whether the slice then has no
  /// other owner, desired or published, so that this one becomes the desired owner. True for shared slices.
  [[nodiscard]] bool recordStoredOwner(SliceState& slice, const ServerId& server, double weight) const;
  /// Records that update `updateId`, which is sent to `proxies`, removes the old owner's route. Only for
  /// single-owner slices.
  void beginHandover(SliceState& slice, std::set<ProxyId> proxies, int updateId) const;
  /// The same for an update that clears a table in which the store shows no owner. The wait for
  /// acknowledgements has a limit.
  void beginClearedHandover(SliceState& slice, std::set<ProxyId> proxies, int updateId) const;
  /// Records that the slice was assigned to this supervisor. Proxies may still write to an owner that the
  /// slice had before, under leases that this supervisor does not know.
  void recordAssignment(SliceState& slice) const;
  void recordAcknowledgement(SliceMap& slices, ProxyId proxy, int updateId) const;
  /// Records that a proxy disconnected. It acknowledges no more updates, so handovers wait until its lease
  /// has expired instead.
  void recordDisconnection(SliceMap& slices, ProxyId proxy);
  /// Records that a proxy connected, up to `eventLag` ago. Handovers whose removal may have been sent after
  /// that wait for its acknowledgement. Returns whether there are any: an update sent from now on has to be
  /// acknowledged.
  [[nodiscard]] bool recordConnection(SliceMap& slices, ProxyId proxy, Micros eventLag);
  /// Records that the settings change. Leases, writes and messages may last longer by the new ones, also
  /// those that have begun: what waits for them waits longer. Shorter times apply to those that begin later.
  void changeSettings(const Settings& oldSettings, const Settings& newSettings, SliceMap& slices);
  /// Number of disconnected proxies that may still write.
  [[nodiscard]] std::size_t leaseCount() const;

 private:
  /// Whether the delivery of any published route is known.
  [[nodiscard]] static bool hasKnownOwner(const SliceState& slice);
  /// Whether the only published route is that of the desired owner.
  [[nodiscard]] static bool hasDesiredOwnerOnly(const SliceState& slice);
  /// The removals of all published routes.
  [[nodiscard]] static std::vector<Action> removals(TableId table, const SliceState& slice);
  /// When the writes have ended of a proxy that loses its lease in Settings::lease from now.
  [[nodiscard]] Micros leasedWritesEndAt() const;

  const Settings& settings_;
  const Clock& clock_;
  /// By disconnected proxy: when its writes have ended. Expired entries are erased with the next
  /// disconnection.
  std::map<ProxyId, Micros> writesEndAt_;
};

}  // namespace peargrade::decision
