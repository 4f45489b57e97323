#include "scale/discoverypart.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "scale/world.h"

namespace peargrade::scale {

std::uint64_t entryHash(const std::string& server, bool draining) {
  return std::hash<std::string>{}(server + (draining ? "-" : "+"));
}

DiscoveryPart::DiscoveryPart(event_base* base, const Scenario& scenario)
    : scenario_(scenario),
      first_(base),
      second_(base),
      draining_(static_cast<std::size_t>(scenario.sizes.servers)),
      changes_(base, [this] {
        change(1);
        changes_.schedule(static_cast<Micros>(60e6 / scenario_.changesPerMinute));
      }) {
  for (int server = 0; server < scenario.sizes.servers; ++server) tell(server, false);
  second_.onWatch = [this] { movedAt_.push_back(static_cast<double>(net::steadyNow())); };
  if (scenario.changesPerMinute > 0) changes_.schedule(static_cast<Micros>(60e6 / scenario.changesPerMinute));
}

void DiscoveryPart::tell(int server, bool draining) {
  draining_[static_cast<std::size_t>(server)] = draining;
  for (fakes::Discovery* d : {&first_, &second_})
    d->set(serverName(scenario_, server), zoneName(zoneOf(scenario_, server)),
           draining ? "DRAINING" : "SERVING", 0,
           "10.1." + std::to_string(server / 250) + "." + std::to_string(server % 250) + ":3000");
}

// The next server drains; once a tenth of them drain, those that have drained longest serve again.
Figures DiscoveryPart::change(int entries) {
  Figures f{{"at", {static_cast<double>(net::steadyNow())}}, {"server", {}}, {"drains", {}}};
  const std::size_t most = std::max<std::size_t>(1, draining_.size() / 10);
  for (int k = 0; k < entries; ++k) {
    const bool drains = order_.size() < most;
    int server = next_;
    if (drains) {
      order_.push_back(server);
      next_ = (next_ + 1) % scenario_.sizes.servers;
    } else {
      server = order_.front();
      order_.pop_front();
    }
    tell(server, drains);
    f["server"].push_back(server);
    f["drains"].push_back(drains ? 1 : 0);
  }
  f["revision"] = {static_cast<double>(first_.rev)};
  return f;
}

Figures DiscoveryPart::sample() {
  Figures f;
  const Spent spent = spentHere();
  f["cpu_s"] = {spent.cpuSeconds};
  f["resident_bytes"] = {static_cast<double>(spent.residentBytes)};
  f["state_bytes"] = {static_cast<double>(heapBytes())};
  f["state_entries"] = {static_cast<double>(first_.held() + first_.watching())};
  f["unsent_most"] = {static_cast<double>(std::max(first_.unsentMost, second_.unsentMost))};
  double bytesIn = 0, bytesOut = 0, messagesIn = 0, messagesOut = 0;
  for (const fakes::Discovery* d : {&first_, &second_}) {
    bytesIn += static_cast<double>(d->wireIn);
    bytesOut += static_cast<double>(d->wireOut);
    messagesIn += static_cast<double>(d->in.all().messages);
    messagesOut += static_cast<double>(d->out.all().messages);
    for (const auto& [kind, count] : d->out.kinds) {
      f["out." + kind + ".bytes"].resize(1);
      f["out." + kind + ".bytes"][0] += static_cast<double>(count.bytes);
      f["out." + kind + ".messages"].resize(1);
      f["out." + kind + ".messages"][0] += static_cast<double>(count.messages);
    }
  }
  f["list_in_bytes"] = {bytesIn};
  f["list_out_bytes"] = {bytesOut};
  f["list_in_messages"] = {messagesIn};
  f["list_out_messages"] = {messagesOut};
  return f;
}

Figures DiscoveryPart::on(const Words& words) {
  const std::string& verb = words.at(0);
  if (verb == "addresses") return {{"port", {double(first_.address().port), double(second_.address().port)}}};
  if (verb == "sample") return sample();
  if (verb == "change") return change(std::stoi(words.at(1)));
  if (verb == "break") {
    first_.breakWatches();
    second_.breakWatches();
    return {{"at", {static_cast<double>(net::steadyNow())}}};
  }
  if (verb == "watches")
    return {{"first", {double(first_.watching())}}, {"second", {double(second_.watching())}}};
  if (verb == "moved") return {{"at", std::exchange(movedAt_, {})}};
  if (verb == "digest") {
    std::uint64_t sum = 0;
    for (int k = 0; k < scenario_.sizes.servers; ++k)
      sum += entryHash(serverName(scenario_, k), draining_[static_cast<std::size_t>(k)]);
    return {{"hash", {double(sum >> 32), double(sum & 0xffffffffu)}},
            {"entries", {double(scenario_.sizes.servers)}}};
  }
  throw Failed("discovery is not asked '" + verb + "'");
}

}  // namespace peargrade::scale
