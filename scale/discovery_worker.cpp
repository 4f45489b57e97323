#include "scale/discovery_worker.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "scale/fleet_layout.h"

namespace peargrade::scale {

std::uint64_t entryHash(const std::string& server, bool draining) {
  return std::hash<std::string>{}(server + (draining ? "-" : "+"));
}

DiscoveryWorker::DiscoveryWorker(event_base* base, const Scenario& scenario)
    : scenario_(scenario),
      first_(base),
      second_(base),
      draining_(static_cast<std::size_t>(scenario.sizes.servers)),
      changes_(base, [this] {
        changeEntries(1);
        changes_.schedule(static_cast<Micros>(60e6 / scenario_.changesPerMinute));
      }) {
  for (int server = 0; server < scenario.sizes.servers; ++server) publish(server, false);
  second_.onWatch = [this] { secondWatchTimes_.push_back(static_cast<double>(net::steadyNow())); };
  if (scenario.changesPerMinute > 0) changes_.schedule(static_cast<Micros>(60e6 / scenario.changesPerMinute));
}

void DiscoveryWorker::publish(int server, bool draining) {
  draining_[static_cast<std::size_t>(server)] = draining;
  for (fakes::Discovery* discovery : {&first_, &second_})
    discovery->set(serverName(scenario_, server), zoneName(zoneOf(scenario_, server)),
                   draining ? "DRAINING" : "SERVING", 0,
                   "10.1." + std::to_string(server / 250) + "." + std::to_string(server % 250) + ":3000");
}

// Each change drains the next server; while a tenth of the servers are draining, it instead returns the
// longest draining one to service.
Measurements DiscoveryWorker::changeEntries(int count) {
  Measurements values{{"at", {static_cast<double>(net::steadyNow())}}, {"server", {}}, {"drains", {}}};
  const std::size_t maxDraining = std::max<std::size_t>(1, draining_.size() / 10);
  for (int k = 0; k < count; ++k) {
    const bool draining = drainingServers_.size() < maxDraining;
    int server = nextServer_;
    if (draining) {
      drainingServers_.push_back(server);
      nextServer_ = (nextServer_ + 1) % scenario_.sizes.servers;
    } else {
      server = drainingServers_.front();
      drainingServers_.pop_front();
    }
    publish(server, draining);
    values["server"].push_back(server);
    values["drains"].push_back(draining ? 1 : 0);
  }
  values["revision"] = {static_cast<double>(first_.rev)};
  return values;
}

Measurements DiscoveryWorker::sample() {
  Measurements values;
  const ResourceUsage usage = ownResourceUsage();
  values["cpu_s"] = {usage.cpuSeconds};
  values["resident_bytes"] = {static_cast<double>(usage.residentBytes)};
  values["state_bytes"] = {static_cast<double>(heapBytes())};
  values["state_entries"] = {static_cast<double>(first_.held() + first_.watching())};
  values["unsent_most"] = {static_cast<double>(std::max(first_.unsentMost, second_.unsentMost))};
  double bytesIn = 0;
  double bytesOut = 0;
  double messagesIn = 0;
  double messagesOut = 0;
  for (const fakes::Discovery* discovery : {&first_, &second_}) {
    bytesIn += static_cast<double>(discovery->wireIn);
    bytesOut += static_cast<double>(discovery->wireOut);
    messagesIn += static_cast<double>(discovery->in.all().messages);
    messagesOut += static_cast<double>(discovery->out.all().messages);
    for (const auto& [kind, count] : discovery->out.kinds) {
      values["out." + kind + ".bytes"].resize(1);
      values["out." + kind + ".bytes"][0] += static_cast<double>(count.bytes);
      values["out." + kind + ".messages"].resize(1);
      values["out." + kind + ".messages"][0] += static_cast<double>(count.messages);
    }
  }
  values["list_in_bytes"] = {bytesIn};
  values["list_out_bytes"] = {bytesOut};
  values["list_in_messages"] = {messagesIn};
  values["list_out_messages"] = {messagesOut};
  return values;
}

Measurements DiscoveryWorker::handle(const Command& command) {
  const std::string& verb = command.at(0);
  if (verb == "addresses") return {{"port", {double(first_.address().port), double(second_.address().port)}}};
  if (verb == "sample") return sample();
  if (verb == "change") return changeEntries(std::stoi(command.at(1)));
  if (verb == "break") {
    first_.breakWatches();
    second_.breakWatches();
    return {{"at", {static_cast<double>(net::steadyNow())}}};
  }
  if (verb == "watches")
    return {{"first", {double(first_.watching())}}, {"second", {double(second_.watching())}}};
  if (verb == "moved") return {{"at", std::exchange(secondWatchTimes_, {})}};
  if (verb == "digest") {
    std::uint64_t sum = 0;
    for (int k = 0; k < scenario_.sizes.servers; ++k)
      sum += entryHash(serverName(scenario_, k), draining_[static_cast<std::size_t>(k)]);
    return {{"hash", {double(sum >> 32), double(sum & 0xffffffffu)}},
            {"entries", {double(scenario_.sizes.servers)}}};
  }
  throw WorkerError("unknown command of the discovery worker: '" + verb + "'");
}

}  // namespace peargrade::scale
