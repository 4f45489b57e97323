#include "relay/store_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peargrade::relay {
namespace {

/// Weights count as equal up to this difference, relative above 1 and absolute below: the store rounds them.
constexpr double kWeightTolerance = 1e-6;

bool sameWeight(double left, double right) {
  return std::abs(left - right) <= kWeightTolerance * std::max(1.0, std::abs(left));
}

}  // namespace

bool StoreView::sameRoutes(const Routes& left, const Routes& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const auto& a, const auto& b) {
    return a.first == b.first && sameWeight(a.second, b.second);
  });
}

/// Only slices that `tables` names are changed: commands for others have no effect in the store.
void StoreView::applyCommand(const Command& command, Tables& tables) {
  if (const auto* clear = std::get_if<ClearTable>(&command.action)) {
    if (const auto table = tables.find(clear->table); table != tables.end()) table->second.clear();
    return;
  }
  const auto* route = std::get_if<SetRoute>(&command.action);
  if (route == nullptr) return;
  const auto table = tables.find(route->table);
  if (table == tables.end()) return;
  if (route->weight > 0)
    table->second[route->server] = route->weight;
  else
    table->second.erase(route->server);
}

void StoreView::beginReplay(const Commands& unconfirmed) {
  replaying_ = true;
  unconfirmedCallExecuted_ = false;
  replay_ = Replay();
  replay_.proxiesNotShown = proxies_;
  for (const auto& [slice, routes] : tables_) replay_.slicesNotShown.insert(slice);
  replay_.tablesBefore = tables_;
  if (unconfirmed.empty()) return;
  replay_.calls.push_back(unconfirmed);
  replay_.hasUnconfirmedCall = true;
}

void StoreView::onCallSent(const Commands& call) {
  if (replaying_) replay_.calls.push_back(call);
}

void StoreView::onCommandAccepted(const Command& command) { applyCommand(command, tables_); }

/// Whether `shown` is what the store held as the replay began, or that with the calls sent since, up to any
/// one of them.
bool StoreView::explainsRoutes(TableId slice, const Routes& shown) {
  Tables tables{{slice, replay_.tablesBefore[slice]}};
  const Routes& expected = tables[slice];
  if (sameRoutes(expected, shown)) return true;
  for (const Commands& call : replay_.calls) {
    for (const Command& command : call) applyCommand(command, tables);
    if (!sameRoutes(expected, shown)) continue;
    if (replay_.hasUnconfirmedCall) unconfirmedCallExecuted_ = true;
    return true;
  }
  return false;
}

// A slice that another supervisor wrote meanwhile counts as assigned anew, with the routes of the store.
void StoreView::endSliceReplay(std::vector<Event>& events) {
  if (!replay_.slice) return;
  const TableId slice = *replay_.slice;
  replay_.slice.reset();
  if (explainsRoutes(slice, replay_.routes)) return;
  tables_[slice] = replay_.routes;
  events.push_back(SliceAssignment{slice, false});
  events.push_back(SliceAssignment{slice, true});
  for (const auto& [server, weight] : replay_.routes) events.push_back(StoredRoute{slice, server, weight});
}

/// Dispatches a watch event by its type.
struct StoreView::EventApplier {
  StoreView& view;
  std::vector<Event>& events;

  void operator()(const Heartbeat&) const {}
  void operator()(const ProxyConnected& event) const { view.onProxyConnected(event, events); }
  void operator()(const ProxyDisconnected& event) const { view.onProxyDisconnected(event, events); }
  void operator()(const SliceAssignment& event) const { view.onSliceAssignment(event, events); }
  void operator()(const StoredRoute& event) const { view.onStoredRoute(event, events); }
  void operator()(const UpdateAcknowledged& event) const { view.onAcknowledged(event, events); }
};

void StoreView::apply(const WatchEvent& event, std::vector<Event>& events) {
  const auto* route = std::get_if<StoredRoute>(&event);
  if (route != nullptr && replay_.slice == route->slice) {
    replay_.routes[route->server] = route->weight;
    return;
  }
  endSliceReplay(events);
  std::visit(EventApplier{*this, events}, event);
}

void StoreView::onProxyConnected(const ProxyConnected& event, std::vector<Event>& events) {
  replay_.proxiesNotShown.erase(event.proxy);
  const bool known = !proxies_.insert(event.proxy).second;
  // A replay does not tell whether a known proxy was away meanwhile. Its own stream to the relay did not
  // break with the watch, so it counts as connected all along, unless it is a new incarnation.
  if (known && replaying_ && !event.newIncarnation) return;
  // Outside a replay a second connect shows that the proxy was away between.
  if (known && !replaying_) events.push_back(ProxyDisconnected{event.proxy});
  events.push_back(event);
}

void StoreView::onProxyDisconnected(const ProxyDisconnected& event, std::vector<Event>& events) {
  replay_.proxiesNotShown.erase(event.proxy);
  if (proxies_.erase(event.proxy) > 0) events.push_back(event);
}

void StoreView::onSliceAssignment(const SliceAssignment& event, std::vector<Event>& events) {
  const bool replayed = replay_.slicesNotShown.erase(event.slice) > 0;
  if (!event.assigned) {
    if (tables_.erase(event.slice) > 0) events.push_back(event);
    return;
  }
  if (replayed && tables_.count(event.slice) > 0) {
    replay_.slice = event.slice;
    replay_.routes.clear();
    return;
  }
  tables_[event.slice].clear();
  events.push_back(event);
}

void StoreView::onStoredRoute(const StoredRoute& event, std::vector<Event>& events) {
  const auto table = tables_.find(event.slice);
  if (table == tables_.end()) return;
  table->second[event.server] = event.weight;
  events.push_back(event);
}

void StoreView::onAcknowledged(const UpdateAcknowledged& event, std::vector<Event>& events) const {
  if (isConnected(event.proxy)) events.push_back(event);
}

std::size_t StoreView::recordCount() const {
  std::size_t count = proxies_.size() + replay_.proxiesNotShown.size() + replay_.slicesNotShown.size() +
                      replay_.tablesBefore.size() + replay_.calls.size();
  for (const auto& [slice, routes] : tables_) count += 1 + routes.size();
  return count;
}

void StoreView::endReplay(std::vector<Event>& events) {
  endSliceReplay(events);
  if (!replaying_) return;
  replaying_ = false;
  for (const ProxyId proxy : replay_.proxiesNotShown) {
    proxies_.erase(proxy);
    events.push_back(ProxyDisconnected{proxy});
  }
  for (const TableId slice : replay_.slicesNotShown) {
    tables_.erase(slice);
    events.push_back(SliceAssignment{slice, false});
  }
  replay_ = Replay();
}

}  // namespace peargrade::relay
