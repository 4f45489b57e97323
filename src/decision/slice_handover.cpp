#include "decision/slice_handover.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace peargrade::decision {

std::vector<Action> SliceHandover::nextRoutes(TableId table, const SliceState& slice) const {
  if (!settings_.hasSingleOwnerSlices() || slice.awaitsStoredRoutes() || slice.isPublished()) return {};
  const Handover& handover = slice.handover;
  if (!hasKnownOwner(slice) && handover.removalUpdateId < 0) return {ClearTable{table}};
  if (!slice.published.empty() && !hasDesiredOwnerOnly(slice)) return removals(table, slice);
  const bool isAcknowledged =
      handover.unacknowledgedBy.empty() ||
      (handover.acknowledgementsDueAt && clock_.now() >= *handover.acknowledgementsDueAt);
  const bool canSetNewOwner = clock_.now() >= handover.earliestAt && isAcknowledged;
  return canSetNewOwner ? slice.changedRoutes(table) : std::vector<Action>{};
}

bool SliceHandover::hasKnownOwner(const SliceState& slice) {
  return std::any_of(slice.published.begin(), slice.published.end(),
                     [](const auto& entry) { return entry.second.isDelivered(); });
}

bool SliceHandover::hasDesiredOwnerOnly(const SliceState& slice) {
  return slice.published.size() == 1 && slice.desired.size() == 1 &&
         slice.published.begin()->first == slice.desired.begin()->first;
}

std::vector<Action> SliceHandover::removals(TableId table, const SliceState& slice) {
  std::vector<Action> routes;
  for (const auto& [server, route] : slice.published) routes.emplace_back(SetRoute{table, server, 0});
  return routes;
}

// A stored route that arrives after another owner was chosen ends the choice as long as nothing was published
// for it. Later, or if an update set another owner shortly before the assignment, the proxies may hold either
// owner: both are removed before one is set again.
bool SliceHandover::recordStoredOwner(SliceState& slice, const ServerId& server, double weight) const {
  if (!settings_.hasSingleOwnerSlices()) return true;
  slice.storedRoutes = StoredRoutes::Complete;
  const bool isOnlyOwner =
      slice.handover.removalUpdateId < 0 &&
      (slice.published.empty() || slice.published.count(server) == slice.published.size());
  if (isOnlyOwner) {
    slice.recordStored(server, weight);
    return true;
  }
  slice.published.insert_or_assign(server, PublishedRoute::unknownDelivery());
  slice.desired.clear();
  slice.primary.clear();
  slice.hasUnpublishedEvacuation = false;
  return false;
}

void SliceHandover::beginHandover(SliceState& slice, std::set<ProxyId> proxies, int updateId) const {
  Handover& handover = slice.handover;
  handover.unacknowledgedBy = std::move(proxies);
  handover.removalUpdateId = updateId;
  handover.removedAt = clock_.now();
  handover.acknowledgementsDueAt.reset();
  for (const auto& [proxy, writesEndAt] : writesEndAt_)
    handover.earliestAt = std::max(handover.earliestAt, writesEndAt);
}

// A proxy that has not acknowledged by the limit was not connected when the update was sent, so its lease has
// expired: no proxy that the update reaches applies it later than Settings::pushDelayMax.
void SliceHandover::beginClearedHandover(SliceState& slice, std::set<ProxyId> proxies, int updateId) const {
  beginHandover(slice, std::move(proxies), updateId);
  slice.handover.acknowledgementsDueAt = leasedWritesEndAt() + settings_.pushDelayMax;
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

void SliceHandover::changeSettings(const Settings& oldSettings, const Settings& newSettings,
                                   SliceMap& slices) {
  const auto increase = [](Micros before, Micros after) { return std::max<Micros>(0, after - before); };
  const Micros writes = increase(oldSettings.lease, newSettings.lease) +
                        increase(oldSettings.inFlightWriteMax, newSettings.inFlightWriteMax);
  const Micros messages = increase(oldSettings.pushDelayMax, newSettings.pushDelayMax);
  for (auto& [proxy, writesEndAt] : writesEndAt_) writesEndAt += writes;
  for (auto& [table, slice] : slices) {
    Handover& handover = slice.handover;
    handover.earliestAt += writes;
    if (handover.acknowledgementsDueAt) *handover.acknowledgementsDueAt += writes + messages;
  }
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
