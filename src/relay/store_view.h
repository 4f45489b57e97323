// The supervisor's view of the relay's store: connected proxies, assigned slices and their routes, as
// reported by a watch. Does no I/O.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "relay/call_log.h"
#include "relay/command.h"
#include "relay/watch_event.h"

namespace peargrade::relay {

/// Converts watch events into engine events, and keeps its state across reconnects of the watch.
///
/// A new watch first replays the complete content of the store. During the replay only differences from the
/// view become events; the routes of known slices are compared at the heartbeat that follows them, when they
/// are complete. At the end of the replay, proxies and slices that were not replayed are reported as
/// disconnected and unassigned.
class StoreView {
 public:
  /// Starts the replay of a new watch. It contains the effect of all executed calls before
  /// `firstCallNotShown`, and may or may not contain that of later ones.
  void beginReplay(CallId firstCallNotShown);
  /// Reports that a call was sent.
  void onCallSent(const Call& call) { calls_.addCall(call, tables_); }
  /// Reports the outcome of a call, after the commands that the relay has accepted. A call of unknown outcome
  /// stays one until later calls or a replay settle it, however many others follow.
  void onCallSettled(const SettledCall& settled) { calls_.settle(settled); }
  /// Reports that the relay has accepted a command; its effect is applied to the view.
  void onCommandAccepted(const Command& command);
  /// Applies one watch event and appends the resulting engine events to `events`.
  void apply(const WatchEvent& event, std::vector<Event>& events);
  /// Ends the replay and appends the events for proxies and slices that it did not contain. Does nothing
  /// outside a replay.
  void endReplay(std::vector<Event>& events);

  /// Number of routes that the store has for a slice, as reported so far.
  std::size_t routeCount(TableId slice) const;
  /// Number of assigned slices whose routes may not all have been reported yet.
  std::size_t slicesAwaitingRoutes() const { return awaitingRoutes_.size(); }
  bool replaying() const { return replaying_; }
  bool isConnected(ProxyId proxy) const { return proxies_.count(proxy) > 0; }
  /// Whether the last replay contained routes that are possible only if this call was executed, and none that
  /// are possible only if it was not.
  bool confirmsCall(CallId call) const {
    return shownCalls_.count(call) > 0 && refutedCalls_.count(call) == 0;
  }
  /// Number of calls that may or may not have been executed.
  std::size_t unknownCalls() const { return calls_.unknownCalls(); }
  /// Number of proxies, slices, routes and calls held, as a measure of memory use.
  std::size_t recordCount() const;

 private:
  /// State of a replay in progress.
  struct Replay {
    /// Proxies of the view that were not replayed yet.
    std::set<ProxyId> proxiesNotReplayed;
    /// Slices of the view that were not replayed yet.
    std::set<TableId> slicesNotReplayed;
    /// Routes replayed so far of the slices of the view, since the last heartbeat.
    Tables replayedTables;
    /// The first call whose effect the replay may not contain.
    CallId firstCallNotShown = 0;
  };

  struct EventApplier;
  void onProxyConnected(const ProxyConnected& event, std::vector<Event>& events);
  void onProxyDisconnected(const ProxyDisconnected& event, std::vector<Event>& events);
  void onSliceAssignment(const SliceAssignment& event, std::vector<Event>& events);
  void onStoredRoute(const StoredRoute& event, std::vector<Event>& events);
  void onAcknowledged(const UpdateAcknowledged& event, std::vector<Event>& events) const;
  void assignSlice(TableId slice, std::vector<Event>& events);
  void completeRoutes(std::vector<Event>& events);
  void compareReplayedTables(std::vector<Event>& events);
  void compareReplayedTable(TableId slice, const Routes& replayedRoutes, std::vector<Event>& events);
  void recordEvidence(TableId slice, const Routes& replayedRoutes);

  std::set<ProxyId> proxies_;
  /// Slices assigned to this supervisor, each with its routes in the store as far as calls were accepted.
  Tables tables_;
  /// Calls that may or may not have changed the store as well.
  CallLog calls_;
  /// Slices assigned since the last heartbeat. Lines of the watch may arrive in pieces with any pause between
  /// them, so a slice without routes has none only once a heartbeat follows its assignment. Kept across
  /// watches: a watch that ends before its heartbeat leaves the routes unknown until the next replay.
  std::set<TableId> awaitingRoutes_;
  bool replaying_ = false;
  /// Calls without which, and with which, the store could not contain what the last replay showed.
  std::set<CallId> shownCalls_;
  std::set<CallId> refutedCalls_;
  Replay replay_;
};

}  // namespace peargrade::relay
