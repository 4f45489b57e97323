// Handover of single-owner slices from one server to another.
#pragma once

#include <set>
#include <vector>

#include "decision/clock.h"
#include "decision/slice_state.h"
#include "peargrade/actions.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// Ensures that no two servers receive writes for a single-owner slice at the same time. The route to the old
/// owner is removed first. The route to the new owner is set once every proxy has either acknowledged the
/// removal or lost its lease, and writes accepted before that have ended. Does nothing for shared slices.
class SliceHandover {
 public:
  SliceHandover(const Settings& settings, const Clock& clock) : settings_(settings), clock_(clock) {}

  /// The route changes of a handover that may be published now: the removal of the old owner's route, or the
  /// route to the new owner, or none.
  [[nodiscard]] std::vector<Action> nextRoutes(TableId table, const SliceState& slice) const;
  /// Records that update `updateId`, which is sent to `proxies`, removes the old owner's route. Only for
  /// single-owner slices.
  static void beginHandover(SliceState& slice, std::set<ProxyId> proxies, int updateId);
  void recordAcknowledgement(SliceMap& slices, ProxyId proxy, int updateId) const;
  /// Records that a proxy connected or disconnected. It will not acknowledge updates sent before, so the
  /// handover waits until its lease has expired instead.
  void recordConnectionChange(SliceMap& slices, ProxyId proxy) const;

 private:
  const Settings& settings_;
  const Clock& clock_;
};

}  // namespace peargrade::decision
