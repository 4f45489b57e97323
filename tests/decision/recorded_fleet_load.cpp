// The load reports of a RecordedFleet.
#include <algorithm>
#include <cmath>

#include "recorded_fleet.h"
#include "support/decision_settings.h"

namespace peargrade::test {

void RecordedFleet::report() {
  std::map<ServerId, std::vector<double>> offered;
  for (auto& [table, slice] : slices_) {
    if (settings_.slices > 0 && assigned_.count(table) == 0) continue;
    reportSlice(table, slice, offered);
  }
  if (settings_.slices == 0) reportProxies(offered);
  if (deployment_.erraticReports)
    reportErratically();
  else
    for (auto& [id, rates] : offered) reportServer(id, rates);
  if (random_.chance(0.05))
    pendingEvents_.emplace_back(
        ServerLoadReport{0, "unknown", 50, 10, 90 * kMillisecond, settings_.reportInterval});
  if (random_.chance(0.05))
    pendingEvents_.emplace_back(SliceLoadReport{0, 99, 50, 10, settings_.reportInterval});
  scheduleTask(now_ + settings_.reportInterval, &RecordedFleet::report);
}

void RecordedFleet::reportSlice(TableId table, const SimulatedSlice& slice,
                                std::map<ServerId, std::vector<double>>& offered) {
  double weights = 0;
  for (const auto& [server, weight] : slice.routes) weights += servers_[server].ejected ? 0 : weight;
  for (std::size_t c = 0; c < slice.rates.size(); ++c) {
    const double rate = slice.rates[c] * demandFactor_ * random_.between(0.9, 1.1);
    const auto requests = count(rate);
    if (requests > 0)
      pendingEvents_.emplace_back(
          SliceLoadReport{table, static_cast<int>(c), requests, 0, settings_.reportInterval});
    for (const auto& [server, weight] : slice.routes) {
      if (servers_[server].ejected || weights <= 0) continue;
      std::vector<double>& rates = offered[server];
      rates.resize(slice.rates.size());
      rates[c] += rate * std::min(slice.admissionRatios[c], fleetRatios_[c]) * weight / weights;
    }
  }
}

void RecordedFleet::reportProxies(std::map<ServerId, std::vector<double>>& offered) {
  for (const auto& [proxy, zone] : proxies_) {
    pendingEvents_.emplace_back(
        ProxyLoadReport{proxy, 0, count(20 * demandFactor_), 0, settings_.reportInterval});
  }
  for (auto& [id, server] : servers_) {
    if (server.ejected) continue;
    offered[id].assign(settings_.classes.size(), 30 * demandFactor_);
  }
}

// Latency grows with the load of a server. Errors occur when the load exceeds its capacity.
void RecordedFleet::reportServer(const ServerId& id, const std::vector<double>& rates) {
  const SimulatedServer& server = servers_[id];
  double work = 0;
  double requests = 0;
  for (std::size_t c = 0; c < rates.size(); ++c) {
    work +=
        rates[c] * static_cast<double>(settings_.classes[c].latencyObjective) / static_cast<double>(kSecond);
    requests += rates[c];
  }
  const double capacity = capacityOf(server);
  const double utilization = capacity > 0 ? work / capacity : 10;
  for (int zone = 0; zone < deployment_.zones; ++zone) {
    const bool remote = server.endpoint.zone != zone;
    const bool cut = cutZone_ == zone && remote;
    const double pathLoss = degradedZone_ == zone && remote ? pathLoss_ : 0.0;
    const double overload = utilization > 1.2 ? 1 - 1.2 / utilization : 0;
    const double errors = !server.running || cut ? 1 : std::min(1.0, server.errorShare + overload + pathLoss);
    const std::int64_t attempts = count(requests / deployment_.zones);
    if (attempts == 0) continue;
    const auto failed = static_cast<std::int64_t>(std::llround(errors * static_cast<double>(attempts)));
    const double queueing = 0.08 + 0.25 * std::min(4.0, utilization * utilization);
    const double pathDelay = degradedZone_ == zone && remote ? pathDelay_ : 0.0;
    const double seconds = (queueing / server.speed + pathDelay) * random_.between(0.92, 1.08);
    const Micros latency =
        failed < attempts ? static_cast<Micros>(seconds * static_cast<double>(kSecond)) : 0;
    pendingEvents_.emplace_back(
        ServerLoadReport{zone, id, attempts, failed, latency, settings_.reportInterval});
  }
}

// Reports that follow no model: few attempts, and random latencies and failures that cross all thresholds of
// the engine.
void RecordedFleet::reportErratically() {
  for (auto& [id, server] : servers_) {
    if (!server.running || listed_.count(id) == 0) continue;
    if (random_.chance(0.15)) server.speed = random_.between(0.05, 1.2);
    if (random_.chance(0.1)) server.errorShare = random_.chance(0.6) ? 0 : random_.between(0, 1);
    for (int zone = 0; zone < deployment_.zones; ++zone) reportErratically(server, zone);
  }
}

void RecordedFleet::reportErratically(const SimulatedServer& server, int zone) {
  const bool remote = zone == degradedZone_ && server.endpoint.zone != zone;
  const std::int64_t attempts = random_.chance(0.35) ? random_.below(7) : 0;
  if (attempts == 0) return;
  const double errors = std::min(1.0, server.errorShare + (remote ? pathLoss_ : 0.0));
  const auto failed = static_cast<std::int64_t>(errors * static_cast<double>(attempts) + random_.uniform());
  const double latency = random_.between(0.2, 3) * (0.05 / server.speed + (remote ? pathDelay_ : 0.0));
  const auto mean = static_cast<Micros>(latency * static_cast<double>(kSecond));
  pendingEvents_.emplace_back(ServerLoadReport{zone, server.endpoint.server, attempts,
                                               std::min(failed, attempts), failed < attempts ? mean : 0,
                                               settings_.reportInterval});
}

double RecordedFleet::capacityOf(const SimulatedServer& server) const {
  const Micros age = now_ - server.endpoint.startedAt;
  const bool isWarming = server.endpoint.startedAt > 0 && age < settings_.slowStartWindow;
  const double warmShare =
      isWarming ? settings_.initialCapacity + (1 - settings_.initialCapacity) * static_cast<double>(age) /
                                                  static_cast<double>(settings_.slowStartWindow)
                : 1;
  return 90 * server.speed * warmShare * (settings_.endpointsHaveWeights ? server.endpoint.weight : 1);
}

std::int64_t RecordedFleet::count(double rate) const {
  return static_cast<std::int64_t>(
      std::llround(rate * static_cast<double>(settings_.reportInterval) / static_cast<double>(kSecond)));
}

}  // namespace peargrade::test
