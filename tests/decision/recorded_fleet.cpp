#include "recorded_fleet.h"

#include <algorithm>
#include <iterator>
#include <variant>

#include "support/decision_settings.h"

namespace peargrade::test {
namespace {

/// A slice that is not assigned to any supervisor.
constexpr TableId kUnknownTable = 9999;

}  // namespace

std::uint64_t actionHash(const Deployment& deployment, std::uint64_t seed, Micros span) {
  return RecordedFleet(deployment, seed).play(span);
}

RecordedFleet::RecordedFleet(const Deployment& deployment, std::uint64_t seed)
    : deployment_(deployment),
      settings_(deployment.settings),
      random_(seed),
      engine_(seed, deployment.settings),
      fleetRatios_(settings_.classes.size(), 1) {
  for (int k = 0; k < deployment_.servers; ++k) addServer(k % deployment_.zones, 0);
}

std::uint64_t RecordedFleet::play(Micros span) {
  start();
  const Micros end = kStart + span;
  scheduleIncidents(end);
  while (!queue_.empty() && queue_.begin()->first < end) step();
  return hash_.value();
}

void RecordedFleet::schedule(Micros at, Event event) { queue_[at].events.push_back(std::move(event)); }

void RecordedFleet::scheduleTask(Micros at, Task task) {
  while (queue_.count(at) > 0 && queue_[at].task != nullptr) ++at;
  queue_[at].task = task;
}

void RecordedFleet::step() {
  const auto first = queue_.begin();
  now_ = first->first;
  ScheduledWork work = std::move(first->second);
  queue_.erase(first);
  if (work.task != nullptr) (this->*work.task)();
  work.events.insert(work.events.end(), pendingEvents_.begin(), pendingEvents_.end());
  pendingEvents_.clear();
  if (!work.events.empty()) handle(work.events);
}

void RecordedFleet::handle(const std::vector<Event>& events) {
  for (const Action& action : engine_.handle(now_, events)) {
    foldAction(hash_, now_, action);
    apply(action);
  }
}

void RecordedFleet::apply(const Action& action) {
  if (const auto* timer = std::get_if<SetTimer>(&action))
    schedule(now_ + timer->delay + random_.delay(0, 13 * kMillisecond), TimerFired{timer->token});
  if (const auto* check = std::get_if<HealthCheck>(&action)) answerHealthCheck(check->server);
  if (const auto* watch = std::get_if<WatchEndpoints>(&action)) answerWatch(watch->enabled);
  if (const auto* route = std::get_if<SetRoute>(&action)) applyRoute(*route);
  if (const auto* ejection = std::get_if<SetEjection>(&action))
    servers_[ejection->server].ejected = ejection->state == EjectionState::Ejected;
  if (const auto* admission = std::get_if<SetAdmission>(&action)) applyAdmission(*admission);
  if (const auto* request = std::get_if<AcknowledgementRequest>(&action)) deliver(request->updateId);
}

void RecordedFleet::applyRoute(const SetRoute& route) {
  std::map<ServerId, double>& routes = slices_[route.table].routes;
  if (route.weight > 0)
    routes[route.server] = route.weight;
  else
    routes.erase(route.server);
}

void RecordedFleet::applyAdmission(const SetAdmission& admission) {
  const auto slice = slices_.find(admission.table);
  for (std::size_t c = 0; c < fleetRatios_.size(); ++c) {
    if ((admission.classMask & (1U << c)) == 0) continue;
    if (admission.table == kAllTables) fleetRatios_[c] = admission.ratio;
    if (slice != slices_.end()) slice->second.admissionRatios[c] = admission.ratio;
  }
}

void RecordedFleet::answerHealthCheck(const ServerId& server) {
  const SimulatedServer& target = servers_[server];
  HealthCheckResult result;
  result.server = server;
  result.outcome = target.running ? HealthCheckOutcome::Passed : HealthCheckOutcome::Unreachable;
  result.duration =
      random_.delay(kMillisecond, random_.chance(0.5) ? 1500 * kMillisecond : 40 * kMillisecond);
  schedule(now_ + result.duration, result);
}

void RecordedFleet::answerWatch(bool enabled) {
  if (!enabled) return;
  EndpointListUpdate update = fullListUpdate();
  if (random_.chance(0.4)) update = EndpointListUpdate{EndpointListKind::Failed, 0, {}};
  schedule(now_ + random_.delay(20 * kMillisecond, 400 * kMillisecond), std::move(update));
}

// Simulates the delivery of an update: it is accepted in one or several messages, or lost. Proxies
// acknowledge an accepted update later.
void RecordedFleet::deliver(int updateId) {
  const Micros accepted =
      now_ + random_.delay(5 * kMillisecond, isChannelSlow_ ? 3 * kSecond : 150 * kMillisecond);
  const bool isAccepted = !random_.chance(isLossy_ ? 0.3 : 0.02);
  const int messages = isAccepted ? 1 + (random_.chance(0.05) ? 1 : 0) : random_.below(2);
  if (settings_.deliveryReported)
    schedule(accepted,
             UpdateDelivery{updateId, isAccepted ? DeliveryOutcome::Accepted : DeliveryOutcome::Incomplete,
                            messages});
  if (random_.chance(0.03)) schedule(accepted, UpdateDelivery{updateId + 7, DeliveryOutcome::Accepted, 1});
  if (!isAccepted) return;
  for (const auto& [proxy, zone] : proxies_) {
    if (random_.chance(isLossy_ ? 0.2 : 0.01)) continue;
    const Micros delay = random_.delay(settings_.pushDelay / 2, settings_.pushDelayMax);
    schedule(accepted + delay, UpdateAcknowledged{proxy, updateId, delay});
  }
  if (random_.chance(0.05)) schedule(accepted, UpdateAcknowledged{60000, updateId, 1});
}

ServerId RecordedFleet::addServer(int zone, Micros startedAt) {
  SimulatedServer server;
  server.endpoint.server = "server-" + std::to_string(nextServer_++);
  server.endpoint.zone = zone;
  server.endpoint.startedAt = startedAt;
  server.endpoint.weight = settings_.endpointsHaveWeights ? 1 + random_.below(3) : 1;
  server.speed = random_.between(0.9, 1.1);
  ServerId id = server.endpoint.server;
  servers_[id] = server;
  listed_.insert(id);
  return id;
}

EndpointListUpdate RecordedFleet::fullListUpdate() const {
  EndpointListUpdate update{EndpointListKind::Full, ++listVersion_, {}};
  for (const ServerId& id : listed_) update.endpoints.push_back(servers_.at(id).endpoint);
  return update;
}

void RecordedFleet::announce(const ServerId& id) {
  EndpointListUpdate update{EndpointListKind::Delta, ++listVersion_, {servers_[id].endpoint}};
  schedule(now_ + random_.delay(10 * kMillisecond, 700 * kMillisecond), std::move(update));
}

ServerId RecordedFleet::randomListedServer() {
  auto it = listed_.begin();
  std::advance(it, random_.below(static_cast<int>(listed_.size())));
  return *it;
}

void RecordedFleet::start() {
  now_ = kStart;
  EndpointListUpdate cached = fullListUpdate();
  cached.kind = EndpointListKind::Cached;
  if (cached.endpoints.size() > 4) cached.endpoints.pop_back();
  std::vector<Event> events{cached};
  for (int k = 0; k < deployment_.proxies; ++k) connect(k, events);
  for (int table = 0; table < deployment_.ownedSlices; ++table) {
    SimulatedSlice& slice = slices_[table];
    randomizeRates(slice, table);
    const auto primary = static_cast<std::size_t>(table) % listed_.size();
    slice.routes = {{*std::next(listed_.begin(), static_cast<std::ptrdiff_t>(primary)), 1.0}};
    assign(table, events);
  }
  handle(events);
  schedule(now_ + deployment_.firstList, fullListUpdate());
  scheduleTask(now_ + kMillisecond, &RecordedFleet::triggerDecision);
}

void RecordedFleet::randomizeRates(SimulatedSlice& slice, TableId table) {
  const std::size_t classes = settings_.classes.size();
  slice.admissionRatios.assign(classes, 1);
  slice.rates.assign(classes, 0);
  for (std::size_t c = 0; c < classes; ++c) {
    const double skew = table % 7 == 0 ? 3.0 : 1.0;
    slice.rates[c] = deployment_.traffic * random_.between(4, 16) * skew / static_cast<double>(c + 1);
  }
}

void RecordedFleet::assign(TableId table, std::vector<Event>& events) {
  assigned_.insert(table);
  events.emplace_back(SliceAssignment{table, true});
  for (const auto& [server, weight] : slices_[table].routes)
    events.emplace_back(StoredRoute{table, server, weight});
}

void RecordedFleet::connect(ProxyId proxy, std::vector<Event>& events) {
  const int zone = proxy % deployment_.zones;
  events.emplace_back(ProxyConnected{proxy, zone, 5, proxies_.count(proxy) == 0});
  proxies_[proxy] = zone;
}

// Events about an unassigned slice have no effect except that the engine makes a decision at that time.
void RecordedFleet::triggerDecision() {
  pendingEvents_.emplace_back(SliceAssignment{kUnknownTable, false});
  const bool isStarting = now_ - kStart < kSecond;
  scheduleTask(now_ + random_.delay(2 * kMillisecond, (isStarting ? 6 : 350) * kMillisecond),
               &RecordedFleet::triggerDecision);
}

}  // namespace peargrade::test
