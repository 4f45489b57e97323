// The incidents of a RecordedFleet: replaced servers, crashes, load bursts, bad paths, lost messages, changed
// settings.
#include <algorithm>
#include <iterator>

#include "recorded_fleet.h"
#include "support/decision_settings.h"

namespace peargrade::test {

void RecordedFleet::scheduleIncidents(Micros end) {
  scheduleTask(kStart + settings_.reportInterval, &RecordedFleet::report);
  const std::vector<Task> incidents{&RecordedFleet::replaceServer,
                                    &RecordedFleet::replaceServer,
                                    &RecordedFleet::replaceManyServers,
                                    &RecordedFleet::crashServer,
                                    &RecordedFleet::slowServer,
                                    &RecordedFleet::failServer,
                                    &RecordedFleet::raiseServerErrors,
                                    &RecordedFleet::addUnresponsiveServers,
                                    &RecordedFleet::degradePath,
                                    &RecordedFleet::beginBurst,
                                    &RecordedFleet::beginBurst,
                                    &RecordedFleet::disconnectMostProxies,
                                    &RecordedFleet::reannounceProxies,
                                    &RecordedFleet::releaseSlices,
                                    &RecordedFleet::degradePath,
                                    &RecordedFleet::cutPath,
                                    &RecordedFleet::beginLossyDelivery,
                                    &RecordedFleet::sendTruncatedList,
                                    &RecordedFleet::sendFullList,
                                    &RecordedFleet::changeSettings,
                                    &RecordedFleet::changeSliceLoad,
                                    &RecordedFleet::sendFailedList,
                                    &RecordedFleet::failZone};
  std::size_t next = static_cast<std::size_t>(random_.below(static_cast<int>(incidents.size())));
  for (Micros at = kStart + 15 * kSecond; at < end; at += random_.delay(5 * kSecond, 28 * kSecond)) {
    scheduleTask(at, incidents[next]);
    next = (next + 1 + static_cast<std::size_t>(random_.below(3))) % incidents.size();
  }
}

void RecordedFleet::drainAndReplaceServer(Micros drainFor) {
  if (listed_.size() < 6) return;
  const ServerId id = randomListedServer();
  if (servers_[id].endpoint.state != EndpointState::Ready) return;
  servers_[id].endpoint.state = EndpointState::Draining;
  announce(id);
  drains_.insert({now_ + drainFor, id});
  scheduleTask(now_ + drainFor, &RecordedFleet::finishDrains);
}

// New servers are listed that do not answer at first, while two others drain.
void RecordedFleet::addUnresponsiveServers() {
  for (int k = 0; k < 6; ++k) {
    const ServerId id = addServer(k % deployment_.zones, now_);
    servers_[id].running = false;
    announce(id);
    recoveries_.insert({now_ + random_.delay(4 * kSecond, 20 * kSecond), id});
  }
  scheduleTask(recoveries_.rbegin()->first, &RecordedFleet::recover);
  drainAndReplaceServer(kSecond);
  drainAndReplaceServer(2 * kSecond);
}

void RecordedFleet::finishDrains() {
  while (!drains_.empty() && drains_.begin()->first <= now_) {
    const ServerId id = drains_.begin()->second;
    drains_.erase(drains_.begin());
    const int zone = servers_[id].endpoint.zone;
    servers_[id].running = false;
    servers_[id].endpoint.state = EndpointState::Removed;
    announce(id);
    listed_.erase(id);
    if (random_.chance(0.4)) {
      restart(id);
    } else {
      announce(addServer(zone, now_ + random_.delay(0, 400 * kMillisecond)));
    }
  }
}

void RecordedFleet::restart(const ServerId& id) {
  SimulatedServer& server = servers_[id];
  server.running = true;
  server.errorShare = 0;
  server.endpoint.state = EndpointState::Ready;
  server.endpoint.startedAt = now_ + kMillisecond;
  listed_.insert(id);
  announce(id);
}

void RecordedFleet::replaceServer() { drainAndReplaceServer(random_.delay(1 * kSecond, 4 * kSecond)); }

void RecordedFleet::replaceManyServers() {
  for (int k = 0; k < deployment_.servers / 3; ++k)
    drainAndReplaceServer(random_.delay(1 * kSecond, 9 * kSecond));
}

void RecordedFleet::crashServer() {
  const ServerId id = randomListedServer();
  if (servers_[id].endpoint.state != EndpointState::Ready) return;
  servers_[id].running = false;
  recoveries_.insert({now_ + random_.delay(3 * kSecond, 25 * kSecond), id});
  scheduleTask(recoveries_.rbegin()->first, &RecordedFleet::recover);
}

void RecordedFleet::recover() {
  while (!recoveries_.empty() && recoveries_.begin()->first <= now_) {
    const ServerId id = recoveries_.begin()->second;
    recoveries_.erase(recoveries_.begin());
    if (listed_.count(id) == 0) continue;
    if (!servers_[id].running) restart(id);
    servers_[id].errorShare = 0;
    servers_[id].speed = 1;
  }
}

void RecordedFleet::degradeServer(double speed, double errors) {
  const ServerId id = randomListedServer();
  servers_[id].speed = speed;
  servers_[id].errorShare = errors;
  recoveries_.insert({now_ + random_.delay(10 * kSecond, 60 * kSecond), id});
  scheduleTask(recoveries_.rbegin()->first, &RecordedFleet::recover);
}

void RecordedFleet::slowServer() { degradeServer(random_.between(0.2, 0.5), 0); }

void RecordedFleet::failServer() { degradeServer(1, random_.between(0.35, 1)); }

void RecordedFleet::raiseServerErrors() { degradeServer(1, random_.between(0.7, 0.9)); }

void RecordedFleet::beginBurst() {
  demandFactor_ = random_.between(1.5, 3.2);
  scheduleTask(now_ + random_.delay(10 * kSecond, 40 * kSecond), &RecordedFleet::endBurst);
}

void RecordedFleet::endBurst() { demandFactor_ = random_.between(0.7, 1.2); }

void RecordedFleet::changeSliceLoad() {
  if (slices_.empty()) return;
  auto it = slices_.begin();
  std::advance(it, random_.below(static_cast<int>(slices_.size())));
  for (double& rate : it->second.rates) rate *= random_.between(0.3, 4);
  for (double& rate : it->second.rates) rate = std::clamp(rate, 0.0, 60.0);
}

void RecordedFleet::disconnectMostProxies() {
  for (const auto& [proxy, zone] : std::map<ProxyId, int>(proxies_)) {
    if (!random_.chance(0.7)) continue;
    proxies_.erase(proxy);
    schedule(now_ + random_.delay(0, 300 * kMillisecond), ProxyDisconnected{proxy});
    disconnectedProxies_.insert(proxy);
  }
  scheduleTask(now_ + random_.delay(400 * kMillisecond, 4 * kSecond), &RecordedFleet::reconnectProxies);
}

void RecordedFleet::reconnectProxies() {
  for (const ProxyId proxy : std::exchange(disconnectedProxies_, {})) connect(proxy, pendingEvents_);
}

void RecordedFleet::reannounceProxies() {
  for (const auto& [proxy, zone] : std::map<ProxyId, int>(proxies_)) {
    if (random_.chance(0.5)) connect(proxy, pendingEvents_);
  }
}

// Some slices are assigned to another supervisor, and later again to this one, with the stored routes.
void RecordedFleet::releaseSlices() {
  for (int k = 0; k < 4 && deployment_.ownedSlices > 0; ++k) {
    const TableId table = random_.below(deployment_.ownedSlices);
    if (assigned_.erase(table) > 0) pendingEvents_.emplace_back(SliceAssignment{table, false});
  }
  scheduleTask(now_ + random_.delay(1 * kSecond, 15 * kSecond), &RecordedFleet::reassignSlices);
}

void RecordedFleet::reassignSlices() {
  for (TableId table = 0; table < deployment_.ownedSlices; ++table) {
    if (assigned_.count(table) == 0) assign(table, pendingEvents_);
  }
}

void RecordedFleet::degradePath() {
  degradedZone_ = random_.below(deployment_.zones);
  pathDelay_ = random_.between(0.05, 0.7);
  pathLoss_ = random_.chance(0.5) ? random_.between(0.02, 0.2) : 0;
  scheduleTask(now_ + random_.delay(8 * kSecond, 20 * kSecond), &RecordedFleet::restorePaths);
}

void RecordedFleet::cutPath() {
  cutZone_ = random_.below(deployment_.zones);
  scheduleTask(now_ + random_.delay(4 * kSecond, 10 * kSecond), &RecordedFleet::restorePaths);
}

void RecordedFleet::restorePaths() { degradedZone_ = cutZone_ = -1; }

void RecordedFleet::failZone() {
  const int zone = random_.below(deployment_.zones);
  for (const ServerId& id : std::set<ServerId>(listed_)) {
    if (servers_[id].endpoint.zone != zone || !servers_[id].running) continue;
    servers_[id].running = false;
    recoveries_.insert({now_ + 5 * kSecond, id});
  }
  scheduleTask(now_ + 5 * kSecond, &RecordedFleet::recover);
}

void RecordedFleet::beginLossyDelivery() {
  isLossy_ = true;
  isChannelSlow_ = random_.chance(0.5);
  scheduleTask(now_ + random_.delay(5 * kSecond, 25 * kSecond), &RecordedFleet::endLossyDelivery);
}

void RecordedFleet::endLossyDelivery() { isLossy_ = isChannelSlow_ = false; }

// Sends a full list that lacks a quarter of the servers, and later the complete one.
void RecordedFleet::sendTruncatedList() {
  EndpointListUpdate update = fullListUpdate();
  update.endpoints.resize(update.endpoints.size() - update.endpoints.size() / 4);
  pendingEvents_.emplace_back(std::move(update));
  scheduleTask(now_ + random_.delay(1 * kSecond, 8 * kSecond), &RecordedFleet::sendFullList);
}

void RecordedFleet::sendFullList() { pendingEvents_.emplace_back(fullListUpdate()); }

void RecordedFleet::sendFailedList() {
  pendingEvents_.emplace_back(EndpointListUpdate{EndpointListKind::Failed, 0, {}});
}

// Sends changed settings, sometimes with another number of classes, which the engine must ignore.
void RecordedFleet::changeSettings() {
  Settings changed = settings_;
  if (random_.chance(0.3)) {
    changed.classes.pop_back();
  } else {
    changed.classes[0].latencyObjective = settings_.classes[0].latencyObjective * 11 / 10;
    changed.attemptTimeoutObjectives = random_.between(0.7, 1.3);
    changed.routesPerSecond = settings_.routesPerSecond * random_.between(0.8, 1.3);
    settings_ = changed;
  }
  pendingEvents_.emplace_back(SettingsChanged{changed});
}

}  // namespace peargrade::test
