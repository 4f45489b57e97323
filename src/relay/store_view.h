// The supervisor's view of the relay's store, without sockets: proxies, slices and their routes as a watch
// shows them.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "relay/command.h"
#include "relay/watch_event.h"

namespace peargrade::relay {

/// Turns watch events into events for the engine, across the watch connections.
///
/// A new watch first replays all that the store holds. During the replay only differences from the view
/// become events; when it ends, what was not replayed counts as gone.
class StoreView {
 public:
  /// A new watch begins its replay. `unconfirmed`: a call of unknown outcome, which the store may or may not
  /// show; without commands: none.
  void beginReplay(const Call& unconfirmed);
  /// A call was sent. During a replay the store may or may not show it.
  void onCallSent(const Call& call);
  /// The relay has accepted a command: the store holds it from now on.
  void onCommandAccepted(const Command& command);
  /// Applies one watch event and appends the engine's events for what it changes.
  void apply(const WatchEvent& event, std::vector<Event>& events);
  /// The replay is complete: appends the events for what it did not name. Does nothing outside a replay.
  void endReplay(std::vector<Event>& events);

  bool replaying() const { return replaying_; }
  bool isConnected(ProxyId proxy) const { return proxies_.count(proxy) > 0; }
  /// Whether the last replay showed routes that only this call explains: it was executed.
  bool showsCall(CallId call) const { return shownCalls_.count(call) > 0; }
  /// Number of proxies, slices, routes and calls that are held.
  std::size_t recordCount() const;

 private:
  using Routes = std::map<ServerId, double>;
  using Tables = std::map<TableId, Routes>;

  /// What a replay has and has not shown yet.
  struct Replay {
    std::set<ProxyId> proxiesNotShown;
    std::set<TableId> slicesNotShown;
    /// A slice of the view whose routes are being replayed, and those shown so far.
    std::optional<TableId> slice;
    Routes routes;
    /// The tables as the replay began.
    Tables tablesBefore;
    /// Calls that the store may show beyond those tables, in the order they were sent.
    std::vector<Call> calls;
  };

  struct EventApplier;
  static bool sameRoutes(const Routes& left, const Routes& right);
  static bool contains(const std::vector<Routes>& candidates, const Routes& routes);
  static void applyCommand(const Command& command, Tables& tables);
  static Routes routesAfter(const Call& call, TableId slice, const Routes& before);
  void onProxyConnected(const ProxyConnected& event, std::vector<Event>& events);
  void onProxyDisconnected(const ProxyDisconnected& event, std::vector<Event>& events);
  void onSliceAssignment(const SliceAssignment& event, std::vector<Event>& events);
  void onStoredRoute(const StoredRoute& event, std::vector<Event>& events);
  void onAcknowledged(const UpdateAcknowledged& event, std::vector<Event>& events) const;
  void endSliceReplay(std::vector<Event>& events);
  bool explainsRoutes(TableId slice, const Routes& shown);
  std::vector<Call> callsFor(TableId slice) const;
  void recordShownCalls(const std::vector<Call>& calls, TableId slice, const Routes& shown);
  static bool isPossibleWithout(CallId omitted, const std::vector<Call>& calls, TableId slice,
                                const Routes& before, const Routes& shown);

  std::set<ProxyId> proxies_;
  /// Slices that are assigned to this supervisor, with the routes that the store holds.
  Tables tables_;
  bool replaying_ = false;
  std::set<CallId> shownCalls_;
  Replay replay_;
};

}  // namespace peargrade::relay
