#include "decision/slice_handover.h"

#include <algorithm>
#include <utility>

namespace peargrade::decision {

std::vector<Action> SliceHandover::nextRoutes(TableId table, const SliceState& slice) const {
  if (!settings_.hasSingleOwnerSlices() || slice.isPublished()) return {};
  const bool isSameOwner = !slice.published.empty() && !slice.desired.empty() &&
                           slice.published.begin()->first == slice.desired.begin()->first;
  if (!slice.published.empty() && !isSameOwner) return {SetRoute{table, slice.published.begin()->first, 0}};
  const Handover& handover = slice.handover;
  const bool canSetNewOwner = clock_.now() >= handover.earliestAt && handover.unacknowledgedBy.empty();
  return canSetNewOwner ? slice.changedRoutes(table) : std::vector<Action>{};
}

void SliceHandover::beginHandover(SliceState& slice, std::set<ProxyId> proxies, int updateId) {
  slice.handover.unacknowledgedBy = std::move(proxies);
  slice.handover.removalUpdateId = updateId;
}

void SliceHandover::recordAcknowledgement(SliceMap& slices, ProxyId proxy, int updateId) const {
  if (!settings_.hasSingleOwnerSlices()) return;
  const Micros writesEndAt = clock_.now() + settings_.inFlightWriteMax;
  for (auto& [table, slice] : slices) {
    Handover& handover = slice.handover;
    if (updateId < handover.removalUpdateId || handover.unacknowledgedBy.erase(proxy) == 0) continue;
    handover.earliestAt = std::max(handover.earliestAt, writesEndAt);
  }
}

void SliceHandover::recordConnectionChange(SliceMap& slices, ProxyId proxy) const {
  if (!settings_.hasSingleOwnerSlices()) return;
  const Micros writesEndAt = clock_.now() + settings_.lease + settings_.inFlightWriteMax;
  for (auto& [table, slice] : slices) {
    Handover& handover = slice.handover;
    if (handover.unacknowledgedBy.erase(proxy) == 0) continue;
    handover.earliestAt = std::max(handover.earliestAt, writesEndAt);
  }
}

}  // namespace peargrade::decision
