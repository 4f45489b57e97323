// Handover of slices that may have a single owner.
#pragma once

#include <set>
#include <vector>

#include "decision/clock.h"
#include "decision/slice_state.h"
#include "peargrade/actions.h"
#include "peargrade/settings.h"

namespace peargrade::decision {

/// The old owner's route is removed first. The new owner's route follows once every proxy has acknowledged
/// the removal, or has lost its lease, and accepted writes have ended. Does nothing where slices are shared.
class SliceHandover {
 public:
  SliceHandover(const Settings& settings, const Clock& clock) : settings_(settings), clock_(clock) {}

  /// The routes of a handover that may be published now.
  [[nodiscard]] std::vector<Action> nextRoutes(TableId table, const SliceState& slice) const;
  /// Only for SingleOwner slices: the old owner's route is removed by an update that goes to `proxies`.
  static void beginHandover(SliceState& slice, std::set<ProxyId> proxies, int updateId);
  void recordAcknowledgement(SliceMap& slices, ProxyId proxy, int updateId) const;
  /// A proxy that connects or disconnects acknowledges nothing that was sent before.
  void recordConnectionChange(SliceMap& slices, ProxyId proxy) const;

 private:
  const Settings& settings_;
  const Clock& clock_;
};

}  // namespace peargrade::decision
