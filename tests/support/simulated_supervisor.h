// A decision engine with a simulated fleet: its actions are applied to the stored routes, three proxies
// acknowledge its updates, and load reports arrive at the configured interval.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "peargrade/decision_engine.h"
#include "support/decision_settings.h"

namespace peargrade {

/// One supervisor and its fleet on simulated time. Equal seeds, settings and calls give equal decisions.
/// Tests change the conditions through the public fields and read from them what the engine decided.
class SimulatedSupervisor {
 public:
  using RouteTable = std::map<ServerId, double>;
  /// A slice, or kAllTables, and a request class.
  using TableClass = std::pair<TableId, int>;
  /// A server and a zone of proxies.
  using ServerZone = std::pair<ServerId, int>;

  /// Servers 0 to `serverCount` - 1 are listed as ready, the even ones in zone 0, the odd ones in zone 1.
  explicit SimulatedSupervisor(const Settings& settings = testSettings(), int serverCount = 4,
                               std::uint64_t seed = 1);

  /// The id of server `index`: s_a to s_t, then s_20 and so on. The ids sort by index up to s_t.
  static ServerId serverName(int index);

  // ---- Start and restart ----

  /// The events that a supervisor receives at its start: cached and current endpoint list, three proxies, and
  /// the assignment of slices 0 to `sliceCount` - 1 with one stored route each, round-robin over the servers.
  std::vector<Event> startEvents(int sliceCount);
  void start(int sliceCount) { handle(startEvents(sliceCount)); }
  void startAndRun(int sliceCount, Micros duration);
  /// Starts, runs for 8 s, and then for `duration` with all servers above the latency objective of class 0.
  void startUnderOverload(int sliceCount, Micros duration);
  /// Replaces the engine by a new one that receives only `cachedList`, the stored routes and the connected
  /// proxies.
  void restart(const EndpointListUpdate& cachedList);

  // ---- Endpoint list ----

  /// The listed endpoints as an update of `kind`.
  EndpointListUpdate endpointList(EndpointListKind kind) const;
  /// Changes one endpoint of the list and delivers the change. `startedAt` 0 keeps its start time.
  std::vector<Action> updateEndpoint(const ServerId& server, EndpointState state, Micros startedAt = 0);

  /// Changes servers `first` to `end` - 1, each in a separate update.
  void updateEndpoints(int first, int end, EndpointState state, Micros startedAt = 0);

  // ---- Time and events ----

  /// Passes events to the engine and applies its actions to the fleet.
  std::vector<Action> handle(const std::vector<Event>& events);
  /// Advances the time by `duration`, with sweeps, answers of the fleet and load reports.
  void run(Micros duration);
  /// Appends the load reports of one report interval.
  void appendLoadReports(std::vector<Event>& events);

  // ---- Decisions of the engine ----

  /// The server with the highest weight in a slice's table, or an empty id if the table is empty.
  ServerId primaryServer(TableId slice) const;
  /// Slices whose primary server is `server`.
  int primaryCount(const ServerId& server) const;
  /// Slices whose primary server is one of the servers `first` to `end` - 1.
  int primaryCount(int first, int end) const;
  /// Admission ratio of a class in a table; 1 where none was set.
  double admissionRatio(TableId table, int requestClass) const;
  /// Log lines that contain `text`.
  int countLogLines(const std::string& text) const;

  // ---- Conditions of the fleet ----

  /// Sets the failure ratio of a server as proxies of both zones see it.
  void setFailureRatio(const ServerId& server, double ratio);
  /// Sets the latency of servers 0 to `serverCount` - 1.
  void setLatencies(int serverCount, Micros latency);

  Settings settings;
  DecisionEngine engine;
  Micros now = 1000 * kSecond;
  std::map<ServerId, Endpoint> endpoints;
  /// Listed servers whose health checks fail.
  std::set<ServerId> unreachableServers;
  /// Requests per second. Default: 10 for class 0, none for the other classes.
  std::map<TableClass, double> requestRates;
  /// Mean latency of a server's successful attempts. Default: 100 ms.
  std::map<ServerId, Micros> latencies;
  std::map<ServerZone, double> failureRatios;
  /// Latency that the path from a zone to a server adds.
  std::map<ServerZone, Micros> zonePathDelays;
  bool reportsLoad = true;
  bool acknowledgesUpdates = true;
  /// Results of health checks and acknowledgements; delivered with the next step of run().
  std::vector<Event> pendingEvents;

  // ---- State that follows the engine's actions ----

  std::set<TableId> assignedSlices;
  /// Stored routes in use by proxies.
  std::map<TableId, RouteTable> routes;
  /// Stored routes that are not in use because their server is ejected.
  std::map<TableId, RouteTable> routesToEjectedServers;
  std::set<ServerId> ejectedServers;
  std::map<TableClass, double> admissionRatios;
  std::map<TableClass, RetryPolicy> retryPolicies;

  // ---- Record of the actions ----

  std::vector<std::string> logLines;
  /// Times of the updates and of the WatchEndpoints actions.
  std::vector<Micros> updateTimes;
  std::vector<Micros> watchTimes;
  int routesSet = 0;
  int ejections = 0;
  std::map<ServerId, int> healthCheckCounts;
  /// Slices that were not assigned when a route was set for them.
  std::set<TableId> unassignedSlicesUpdated;

 private:
  void trackAssignments(const std::vector<Event>& events);
  // Each overload applies one kind of action to the fleet.
  void apply(const SetRoute& route);
  void apply(const SetEjection& ejection);
  void apply(const SetAdmission& admission);
  void answer(const HealthCheck& check);
  void acknowledge(const AcknowledgementRequest& request);
  // Moves all routes to `server` from one set of tables to the other.
  void moveRoutes(const ServerId& server, std::map<TableId, RouteTable>& from,
                  std::map<TableId, RouteTable>& to);
  // Appends the reports of all slices and returns the admitted requests by primary server.
  std::map<ServerId, double> appendSliceReports(std::vector<Event>& events);
  void appendServerReport(std::vector<Event>& events, const ServerId& server, int zone, double requests);
};

}  // namespace peargrade
