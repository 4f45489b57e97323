#include "support/simulated_supervisor.h"

#include <cmath>
#include <variant>

namespace peargrade {
namespace {

constexpr int kProxies = 3;
constexpr int kZones = 2;
constexpr int kClasses = 3;
constexpr Micros kStep = 250 * kMillisecond;
constexpr Micros kAnswerDelay = kMillisecond;
constexpr Micros kDefaultLatency = 100 * kMillisecond;
constexpr double kDefaultRequestRate = 10;
constexpr double kExpectedProxyRate = 5;
constexpr std::uint64_t kSeedAfterRestart = 2;

template <class Map>
typename Map::mapped_type valueOr(const Map& map, const typename Map::key_type& key,
                                  typename Map::mapped_type fallback) {
  const auto found = map.find(key);
  return found == map.end() ? fallback : found->second;
}

}  // namespace

SimulatedSupervisor::SimulatedSupervisor(const Settings& initialSettings, int serverCount, std::uint64_t seed)
    : settings(initialSettings), engine(seed, initialSettings) {
  for (int index = 0; index < serverCount; ++index) {
    Endpoint endpoint;
    endpoint.server = serverName(index);
    endpoint.zone = index % kZones;
    endpoints[endpoint.server] = endpoint;
  }
}

ServerId SimulatedSupervisor::serverName(int index) {
  constexpr int kLetters = 20;
  if (index < kLetters) return std::string("s_") + static_cast<char>('a' + index);
  return "s_" + std::to_string(index);
}

// ---- Start and restart ----

std::vector<Event> SimulatedSupervisor::startEvents(int sliceCount) {
  std::vector<Event> events{endpointList(EndpointListKind::Cached), endpointList(EndpointListKind::Full)};
  for (ProxyId proxy = 0; proxy < kProxies; ++proxy)
    events.push_back(ProxyConnected{proxy, proxy % kZones, kExpectedProxyRate, true});
  for (TableId slice = 0; slice < sliceCount; ++slice) {
    const ServerId server = serverName(slice % static_cast<int>(endpoints.size()));
    events.push_back(SliceAssignment{slice, true});
    events.push_back(StoredRoute{slice, server, 1});
    routes[slice] = {{server, 1}};
  }
  return events;
}

void SimulatedSupervisor::startAndRun(int sliceCount, Micros duration) {
  start(sliceCount);
  run(duration);
}

void SimulatedSupervisor::startUnderOverload(int sliceCount, Micros duration) {
  startAndRun(sliceCount, 8 * kSecond);
  setLatencies(static_cast<int>(endpoints.size()), 900 * kMillisecond);
  run(duration);
}

void SimulatedSupervisor::restart(const EndpointListUpdate& cachedList) {
  engine = DecisionEngine(kSeedAfterRestart, settings);
  std::vector<Event> events{cachedList};
  for (ProxyId proxy = 0; proxy < kProxies; ++proxy)
    events.push_back(ProxyConnected{proxy, proxy % kZones, kExpectedProxyRate, false});
  for (const TableId slice : assignedSlices) {
    events.push_back(SliceAssignment{slice, true});
    for (const auto& [server, weight] : routes[slice]) events.push_back(StoredRoute{slice, server, weight});
    for (const auto& [server, weight] : routesToEjectedServers[slice])
      events.push_back(StoredRoute{slice, server, weight});
  }
  admissionRatios.clear();
  handle(events);
}

// ---- Endpoint list ----

EndpointListUpdate SimulatedSupervisor::endpointList(EndpointListKind kind) const {
  EndpointListUpdate update;
  update.kind = kind;
  for (const auto& [server, endpoint] : endpoints) update.endpoints.push_back(endpoint);
  return update;
}

std::vector<Action> SimulatedSupervisor::updateEndpoint(const ServerId& server, EndpointState state,
                                                        Micros startedAt) {
  Endpoint endpoint = valueOr(endpoints, server, Endpoint{});
  endpoint.server = server;
  endpoint.state = state;
  if (startedAt > 0) endpoint.startedAt = startedAt;
  if (state == EndpointState::Removed)
    endpoints.erase(server);
  else
    endpoints[server] = endpoint;
  return handle({EndpointListUpdate{EndpointListKind::Delta, 0, {endpoint}}});
}

void SimulatedSupervisor::updateEndpoints(int first, int end, EndpointState state, Micros startedAt) {
  for (int index = first; index < end; ++index) updateEndpoint(serverName(index), state, startedAt);
}

// ---- Time and events ----

std::vector<Action> SimulatedSupervisor::handle(const std::vector<Event>& events) {
  trackAssignments(events);
  std::vector<Action> actions = engine.handle(now, events);
  bool updated = false;
  for (const Action& action : actions) {
    if (const auto* route = std::get_if<SetRoute>(&action)) {
      apply(*route);
      updated = true;
    } else if (const auto* clear = std::get_if<ClearTable>(&action)) {
      routes[clear->table].clear();
      updated = true;
    } else if (const auto* ejection = std::get_if<SetEjection>(&action)) {
      apply(*ejection);
      updated = true;
    } else if (const auto* admission = std::get_if<SetAdmission>(&action)) {
      apply(*admission);
      updated = true;
    } else if (const auto* check = std::get_if<HealthCheck>(&action)) {
      answer(*check);
    } else if (const auto* request = std::get_if<AcknowledgementRequest>(&action)) {
      acknowledge(*request);
    } else if (const auto* log = std::get_if<Log>(&action)) {
      logLines.push_back(log->text);
    } else if (std::holds_alternative<WatchEndpoints>(action)) {
      watchTimes.push_back(now);
    }
  }
  if (updated) updateTimes.push_back(now);
  return actions;
}

void SimulatedSupervisor::run(Micros duration) {
  const Micros end = now + duration;
  while (now < end) {
    now += kStep;
    std::vector<Event> events{TimerFired{"sweep"}};
    events.insert(events.end(), pendingEvents.begin(), pendingEvents.end());
    pendingEvents.clear();
    // Reports arrive at every second step, the report interval of testSettings().
    if (reportsLoad && (now / kStep) % 2 == 0) appendLoadReports(events);
    handle(events);
  }
}

void SimulatedSupervisor::appendLoadReports(std::vector<Event>& events) {
  for (const auto& [server, requests] : appendSliceReports(events)) {
    for (int zone = 0; zone < kZones; ++zone) appendServerReport(events, server, zone, requests);
  }
}

// ---- Decisions of the engine ----

ServerId SimulatedSupervisor::primaryServer(TableId slice) const {
  ServerId primary;
  double highestWeight = 0;
  for (const auto& [server, weight] : routes.at(slice)) {
    if (weight <= highestWeight) continue;
    primary = server;
    highestWeight = weight;
  }
  return primary;
}

int SimulatedSupervisor::primaryCount(const ServerId& server) const {
  int slices = 0;
  for (const auto& [slice, table] : routes) slices += primaryServer(slice) == server ? 1 : 0;
  return slices;
}

int SimulatedSupervisor::primaryCount(int first, int end) const {
  int slices = 0;
  for (int index = first; index < end; ++index) slices += primaryCount(serverName(index));
  return slices;
}

double SimulatedSupervisor::admissionRatio(TableId table, int requestClass) const {
  return valueOr(admissionRatios, {table, requestClass}, 1);
}

int SimulatedSupervisor::countLogLines(const std::string& text) const {
  int lines = 0;
  for (const std::string& line : logLines) lines += line.find(text) != std::string::npos ? 1 : 0;
  return lines;
}

void SimulatedSupervisor::setFailureRatio(const ServerId& server, double ratio) {
  for (int zone = 0; zone < kZones; ++zone) failureRatios[{server, zone}] = ratio;
}

void SimulatedSupervisor::setLatencies(int serverCount, Micros latency) {
  for (int index = 0; index < serverCount; ++index) latencies[serverName(index)] = latency;
}

// ---- Actions ----

void SimulatedSupervisor::trackAssignments(const std::vector<Event>& events) {
  for (const Event& event : events) {
    const auto* assignment = std::get_if<SliceAssignment>(&event);
    if (assignment == nullptr) continue;
    if (assignment->assigned)
      assignedSlices.insert(assignment->slice);
    else
      assignedSlices.erase(assignment->slice);
  }
}

void SimulatedSupervisor::apply(const SetRoute& route) {
  ++routesSet;
  if (assignedSlices.count(route.table) == 0) unassignedSlicesUpdated.insert(route.table);
  const bool ejected = ejectedServers.count(route.server) > 0;
  RouteTable& table = (ejected ? routesToEjectedServers : routes)[route.table];
  if (route.weight > 0)
    table[route.server] = route.weight;
  else
    table.erase(route.server);
}

void SimulatedSupervisor::apply(const SetEjection& ejection) {
  if (ejection.state == EjectionState::Ejected) {
    ++ejections;
    ejectedServers.insert(ejection.server);
    moveRoutes(ejection.server, routes, routesToEjectedServers);
  } else {
    ejectedServers.erase(ejection.server);
    moveRoutes(ejection.server, routesToEjectedServers, routes);
  }
}

void SimulatedSupervisor::moveRoutes(const ServerId& server, std::map<TableId, RouteTable>& from,
                                     std::map<TableId, RouteTable>& to) {
  for (const TableId slice : assignedSlices) {
    RouteTable& source = from[slice];
    RouteTable& target = to[slice];
    const auto route = source.find(server);
    if (route == source.end()) continue;
    target[server] = route->second;
    source.erase(route);
  }
}

void SimulatedSupervisor::apply(const SetAdmission& admission) {
  for (int requestClass = 0; requestClass < kClasses; ++requestClass) {
    if ((admission.classMask & (1U << requestClass)) == 0) continue;
    admissionRatios[{admission.table, requestClass}] = admission.ratio;
    retryPolicies[{admission.table, requestClass}] = admission.retryPolicy;
  }
}

void SimulatedSupervisor::answer(const HealthCheck& check) {
  ++healthCheckCounts[check.server];
  const bool answers = endpoints.count(check.server) > 0 && unreachableServers.count(check.server) == 0;
  const HealthCheckOutcome outcome = answers ? HealthCheckOutcome::Passed : HealthCheckOutcome::Unreachable;
  pendingEvents.push_back(HealthCheckResult{check.server, outcome, kAnswerDelay});
}

void SimulatedSupervisor::acknowledge(const AcknowledgementRequest& request) {
  if (!acknowledgesUpdates) return;
  for (ProxyId proxy = 0; proxy < kProxies; ++proxy)
    pendingEvents.push_back(UpdateAcknowledged{proxy, request.updateId, kAnswerDelay});
}

// ---- Load reports ----

std::map<ServerId, double> SimulatedSupervisor::appendSliceReports(std::vector<Event>& events) {
  std::map<ServerId, double> admitted;
  for (const auto& [slice, table] : routes) {
    for (int requestClass = 0; requestClass < kClasses; ++requestClass) {
      const double rate =
          valueOr(requestRates, {slice, requestClass}, requestClass == 0 ? kDefaultRequestRate : 0);
      const double ratio = admissionRatio(slice, requestClass);
      const auto requests = static_cast<std::int64_t>(rate * static_cast<double>(settings.reportInterval) /
                                                      static_cast<double>(kSecond));
      if (requests > 0)
        events.push_back(SliceLoadReport{slice, requestClass, requests, 0, settings.reportInterval});
      admitted[primaryServer(slice)] += static_cast<double>(requests) * ratio;
    }
  }
  return admitted;
}

void SimulatedSupervisor::appendServerReport(std::vector<Event>& events, const ServerId& server, int zone,
                                             double requests) {
  const std::int64_t attempts = std::llround(requests / kZones);
  if (attempts == 0) return;
  const double failureRatio = valueOr(failureRatios, {server, zone}, 0);
  const std::int64_t failures = std::llround(static_cast<double>(attempts) * failureRatio);
  const Micros latency =
      valueOr(latencies, server, kDefaultLatency) + valueOr(zonePathDelays, {server, zone}, 0);
  events.push_back(ServerLoadReport{zone, server, attempts, failures, failures < attempts ? latency : 0,
                                    settings.reportInterval});
}

}  // namespace peargrade
