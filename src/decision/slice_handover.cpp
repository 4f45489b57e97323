#include "decision/slice_handover.h"

#include <algorithm>
#include <iterator>
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

void SliceHandover::beginHandover(SliceState& slice, std::set<ProxyId> proxies, int updateId) const {
  Handover& handover = slice.handover;
  handover.unacknowledgedBy = std::move(proxies);
  handover.removalUpdateId = updateId;
  handover.removedAt = clock_.now();
  for (const auto& [proxy, writesEndAt] : writesEndAt_)
    handover.earliestAt = std::max(handover.earliestAt, writesEndAt);
}

void SliceHandover::recordAssignment(SliceState& slice) const {
  if (settings_.hasSingleOwnerSlices()) slice.handover.earliestAt = leasedWritesEndAt();
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

void SliceHandover::recordDisconnection(SliceMap& slices, ProxyId proxy) {
  if (!settings_.hasSingleOwnerSlices()) return;
  for (auto it = writesEndAt_.begin(); it != writesEndAt_.end();)
    it = it->second <= clock_.now() ? writesEndAt_.erase(it) : std::next(it);
  writesEndAt_[proxy] = leasedWritesEndAt();
  for (auto& [table, slice] : slices) {
    Handover& handover = slice.handover;
    if (handover.unacknowledgedBy.erase(proxy) == 0) continue;
    handover.earliestAt = std::max(handover.earliestAt, leasedWritesEndAt());
  }
}

// A proxy that connected after the removal reads a table without the old owner. One that connected before it,
// unknown to the engine, was sent the removal and may not have applied it yet.
bool SliceHandover::recordConnection(SliceMap& slices, ProxyId proxy, Micros eventLag) {
  if (!settings_.hasSingleOwnerSlices()) return false;
  writesEndAt_.erase(proxy);
  bool isAcknowledgementRequired = false;
  for (auto& [table, slice] : slices) {
    Handover& handover = slice.handover;
    const bool isPending = handover.removalUpdateId >= 0 && slice.published.empty();
    if (!isPending || clock_.now() - handover.removedAt > eventLag) continue;
    handover.unacknowledgedBy.insert(proxy);
    isAcknowledgementRequired = true;
  }
  return isAcknowledgementRequired;
}

std::size_t SliceHandover::leaseCount() const {
  return static_cast<std::size_t>(
      std::count_if(writesEndAt_.begin(), writesEndAt_.end(),
                    [this](const auto& entry) { return entry.second > clock_.now(); }));
}

Micros SliceHandover::leasedWritesEndAt() const {
  return clock_.now() + settings_.lease + settings_.inFlightWriteMax;
}

}  // namespace peargrade::decision
