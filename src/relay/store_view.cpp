#include "relay/store_view.h"

#include <utility>

namespace peargrade::relay {

void StoreView::beginReplay(CallId firstCallNotShown) {
  replaying_ = true;
  shownCalls_.clear();
  refutedCalls_.clear();
  replay_ = Replay();
  replay_.proxiesNotReplayed = proxies_;
  for (const auto& [slice, routes] : tables_) replay_.slicesNotReplayed.insert(slice);
  replay_.firstCallNotShown = firstCallNotShown;
  calls_.hold(firstCallNotShown);
}

// A command for a slice that is not assigned is ignored, as the store ignores it too.
void StoreView::onCommandAccepted(const Command& command) {
  const auto slice = changedTable(command);
  const auto table = slice ? tables_.find(*slice) : tables_.end();
  if (table != tables_.end()) applyCommand(command, table->first, table->second);
}

void StoreView::compareReplayedTables(std::vector<Event>& events) {
  const Tables replayed = std::exchange(replay_.replayedTables, {});
  for (const auto& [slice, routes] : replayed) compareReplayedTable(slice, routes, events);
}

// Routes that this supervisor's own calls do not account for were written by another supervisor: report the
// slice as unassigned and assigned again, with the routes of the store.
void StoreView::compareReplayedTable(TableId slice, const Routes& replayedRoutes,
                                     std::vector<Event>& events) {
  const bool isFromOwnCalls = calls_.mayContain(slice, replayedRoutes);
  const bool isExpected = isFromOwnCalls || sameRoutes(tables_[slice], replayedRoutes);
  if (isFromOwnCalls) recordEvidence(slice, replayedRoutes);
  Routes routes = calls_.afterAcceptedCalls(slice, replayedRoutes);
  calls_.rebase(slice, replayedRoutes, replay_.firstCallNotShown);
  if (!isExpected) {
    events.push_back(SliceAssignment{slice, false});
    assignSlice(slice, events);
    for (const auto& [server, weight] : routes) events.push_back(StoredRoute{slice, server, weight});
  }
  tables_[slice] = std::move(routes);
}

void StoreView::recordEvidence(TableId slice, const Routes& replayedRoutes) {
  for (const CallId call : calls_.callsShownBy(slice, replayedRoutes)) shownCalls_.insert(call);
  for (const CallId call : calls_.callsRefutedBy(slice, replayedRoutes)) refutedCalls_.insert(call);
}

void StoreView::assignSlice(TableId slice, std::vector<Event>& events) {
  tables_[slice].clear();
  awaitingRoutes_.insert(slice);
  events.push_back(SliceAssignment{slice, true, StoredRoutes::Pending});
}

void StoreView::completeRoutes(std::vector<Event>& events) {
  for (const TableId slice : awaitingRoutes_) events.push_back(StoredRoutesComplete{slice});
  awaitingRoutes_.clear();
}

/// Dispatches a watch event by its type.
struct StoreView::EventApplier {
  StoreView& view;
  std::vector<Event>& events;

  void operator()(const Heartbeat&) const {
    view.compareReplayedTables(events);
    view.completeRoutes(events);
  }
  void operator()(const ProxyConnected& event) const { view.onProxyConnected(event, events); }
  void operator()(const ProxyDisconnected& event) const { view.onProxyDisconnected(event, events); }
  void operator()(const SliceAssignment& event) const { view.onSliceAssignment(event, events); }
  void operator()(const StoredRoute& event) const { view.onStoredRoute(event, events); }
  void operator()(const UpdateAcknowledged& event) const { view.onAcknowledged(event, events); }
};

void StoreView::apply(const WatchEvent& event, std::vector<Event>& events) {
  std::visit(EventApplier{*this, events}, event);
}

void StoreView::onProxyConnected(const ProxyConnected& event, std::vector<Event>& events) {
  replay_.proxiesNotReplayed.erase(event.proxy);
  const bool known = !proxies_.insert(event.proxy).second;
  // A replay does not show whether a known proxy was disconnected in the meantime. Its own connection to the
  // relay is independent of this watch, so it counts as connected throughout unless it is a new incarnation.
  if (known && replaying_ && !event.newIncarnation) return;
  // Outside a replay, a second connect of a known proxy implies a disconnect that the watch did not report.
  if (known && !replaying_) events.push_back(ProxyDisconnected{event.proxy});
  events.push_back(event);
}

void StoreView::onProxyDisconnected(const ProxyDisconnected& event, std::vector<Event>& events) {
  replay_.proxiesNotReplayed.erase(event.proxy);
  if (proxies_.erase(event.proxy) > 0) events.push_back(event);
}

void StoreView::onSliceAssignment(const SliceAssignment& event, std::vector<Event>& events) {
  const bool replayed = replay_.slicesNotReplayed.erase(event.slice) > 0;
  if (replayed && event.assigned) {
    replay_.replayedTables[event.slice].clear();
    return;
  }
  replay_.replayedTables.erase(event.slice);
  calls_.forgetTable(event.slice);
  if (event.assigned) return assignSlice(event.slice, events);
  awaitingRoutes_.erase(event.slice);
  if (tables_.erase(event.slice) > 0) events.push_back(event);
}

void StoreView::onStoredRoute(const StoredRoute& event, std::vector<Event>& events) {
  const auto replayed = replay_.replayedTables.find(event.slice);
  if (replayed != replay_.replayedTables.end()) {
    replayed->second[event.server] = event.weight;
    return;
  }
  const auto table = tables_.find(event.slice);
  if (table == tables_.end()) return;
  table->second[event.server] = event.weight;
  events.push_back(event);
}

void StoreView::onAcknowledged(const UpdateAcknowledged& event, std::vector<Event>& events) const {
  if (isConnected(event.proxy)) events.push_back(event);
}

std::size_t StoreView::routeCount(TableId slice) const {
  const auto replayed = replay_.replayedTables.find(slice);
  if (replayed != replay_.replayedTables.end()) return replayed->second.size();
  const auto table = tables_.find(slice);
  return table == tables_.end() ? 0 : table->second.size();
}

std::size_t StoreView::recordCount() const {
  std::size_t count = proxies_.size() + awaitingRoutes_.size() + replay_.proxiesNotReplayed.size() +
                      replay_.slicesNotReplayed.size() + replay_.replayedTables.size() +
                      calls_.recordCount() + shownCalls_.size() + refutedCalls_.size();
  for (const auto& [slice, routes] : tables_) count += 1 + routes.size();
  return count;
}

void StoreView::endReplay(std::vector<Event>& events) {
  if (!replaying_) return;
  replaying_ = false;
  compareReplayedTables(events);
  for (const ProxyId proxy : replay_.proxiesNotReplayed) {
    proxies_.erase(proxy);
    events.push_back(ProxyDisconnected{proxy});
  }
  for (const TableId slice : replay_.slicesNotReplayed) {
    tables_.erase(slice);
    awaitingRoutes_.erase(slice);
    calls_.forgetTable(slice);
    events.push_back(SliceAssignment{slice, false});
  }
  calls_.forgetBefore(replay_.firstCallNotShown);
  calls_.release();
  replay_ = Replay();
}

}  // namespace peargrade::relay
