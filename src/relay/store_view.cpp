#include "relay/store_view.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peargrade::relay {
namespace {

/// Weights count as equal up to this difference, relative above 1 and absolute below: the store rounds them.
constexpr double kWeightTolerance = 1e-6;

/// Beyond so many possible tables of a slice its routes prove no call.
constexpr std::size_t kPossibleRoutesMax = 64;

/// The slice whose routes a command changes; nothing for other commands.
std::optional<TableId> tableOf(const Command& command) {
  if (const auto* clear = std::get_if<ClearTable>(&command.action)) return clear->table;
  if (const auto* route = std::get_if<SetRoute>(&command.action)) return route->table;
  return std::nullopt;
}

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

void StoreView::beginReplay(const Call& unconfirmed) {
  replaying_ = true;
  shownCalls_.clear();
  replay_ = Replay();
  replay_.proxiesNotShown = proxies_;
  for (const auto& [slice, routes] : tables_) replay_.slicesNotShown.insert(slice);
  replay_.tablesBefore = tables_;
  if (!unconfirmed.commands.empty()) replay_.calls.push_back(unconfirmed);
}

void StoreView::onCallSent(const Call& call) {
  if (replaying_) replay_.calls.push_back(call);
}

void StoreView::onCommandAccepted(const Command& command) { applyCommand(command, tables_); }

/// The calls of the replay with their commands for `slice`; those without such commands are left out.
std::vector<Call> StoreView::callsFor(TableId slice) const {
  std::vector<Call> calls;
  for (const Call& call : replay_.calls) {
    Call ofSlice{call.id, {}};
    for (const Command& command : call.commands) {
      if (tableOf(command) == slice) ofSlice.commands.push_back(command);
    }
    if (!ofSlice.commands.empty()) calls.push_back(std::move(ofSlice));
  }
  return calls;
}

StoreView::Routes StoreView::routesAfter(const Call& call, TableId slice, const Routes& before) {
  Tables tables{{slice, before}};
  for (const Command& command : call.commands) applyCommand(command, tables);
  return tables[slice];
}

bool StoreView::contains(const std::vector<Routes>& candidates, const Routes& routes) {
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const Routes& candidate) { return sameRoutes(candidate, routes); });
}

/// Whether `shown` is what the store held as the replay began, or that with the calls sent since, up to any
/// one of them.
bool StoreView::explainsRoutes(TableId slice, const Routes& shown) {
  Routes expected = replay_.tablesBefore[slice];
  if (sameRoutes(expected, shown)) return true;
  const std::vector<Call> calls = callsFor(slice);
  for (const Call& call : calls) {
    expected = routesAfter(call, slice, expected);
    if (!sameRoutes(expected, shown)) continue;
    recordShownCalls(calls, slice, shown);
    return true;
  }
  return false;
}

/// Records the calls without which the store could not show these routes.
void StoreView::recordShownCalls(const std::vector<Call>& calls, TableId slice, const Routes& shown) {
  const Routes& before = replay_.tablesBefore[slice];
  for (const Call& call : calls) {
    if (!isPossibleWithout(call.id, calls, slice, before, shown)) shownCalls_.insert(call.id);
  }
}

/// Whether some of the calls, of which each was executed completely or not at all, lead from `before` to
/// `shown` without the omitted one.
bool StoreView::isPossibleWithout(CallId omitted, const std::vector<Call>& calls, TableId slice,
                                  const Routes& before, const Routes& shown) {
  std::vector<Routes> possible{before};
  for (const Call& call : calls) {
    if (call.id == omitted) continue;
    const std::size_t notExecuted = possible.size();
    for (std::size_t k = 0; k < notExecuted; ++k) {
      Routes executed = routesAfter(call, slice, possible[k]);
      if (!contains(possible, executed)) possible.push_back(std::move(executed));
    }
    if (possible.size() > kPossibleRoutesMax) return true;
  }
  return contains(possible, shown);
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
                      replay_.tablesBefore.size() + replay_.calls.size() + shownCalls_.size();
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
