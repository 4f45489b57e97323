#include "scale/relay_worker.h"

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <sstream>

#include "scale/fleet_layout.h"

namespace peargrade::scale {
namespace {

constexpr Micros kRulesDelay = 1000000;  // the rules apply to a supervisor this long after it has connected
constexpr Micros kTickInterval = 50000;  // for acknowledgements and the check of the rules

double threadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> words;
  std::istringstream in(text);
  for (std::string word; std::getline(in, word, separator);) words.push_back(word);
  return words;
}

}  // namespace

// ---- Proxies ----

void SimulatedProxies::apply(const std::string& commands) {
  const double startSeconds = threadCpuSeconds();
  ++messages;
  messageBytes += commands.size();
  for (const std::string& command : split(commands, ';')) applyCommand(command);
  cpuSeconds += threadCpuSeconds() - startSeconds;
}

void SimulatedProxies::applyCommand(const std::string& command) {
  const std::vector<std::string> fields = split(command, ',');
  if (fields[0] == "put" && fields.size() == 4) {
    if (std::atof(fields[3].c_str()) > 0)
      routes_[std::atoi(fields[1].c_str())][fields[2]] = fields[3];
    else
      routes_[std::atoi(fields[1].c_str())].erase(fields[2]);
  } else if (fields[0] == "wipe" && fields.size() == 2) {
    routes_[std::atoi(fields[1].c_str())].clear();
  } else if (fields[0] == "eject" && fields.size() == 2) {
    ejectedServers_.insert(fields[1]);
  } else if (fields[0] == "uneject" && fields.size() == 2) {
    ejectedServers_.erase(fields[1]);
  } else if (fields[0] == "gate" && fields.size() == 5) {
    admissionLevels_[{fields[1], fields[2]}] = fields[3] + "," + fields[4];
  }
}

void SimulatedProxies::setRoute(int slice, const std::string& server, const std::string& weight) {
  routes_[slice][server] = weight;
}

std::size_t SimulatedProxies::entries() const {
  std::size_t count = admissionLevels_.size() + ejectedServers_.size();
  for (const auto& [slice, routes] : routes_) count += routes.size();
  return count;
}

std::size_t SimulatedProxies::bytes() const {
  std::size_t sum = 0;
  for (const auto& [slice, routes] : routes_) {
    for (const auto& [server, weight] : routes) sum += sizeof slice + server.size() + weight.size();
  }
  for (const auto& [key, level] : admissionLevels_)
    sum += key.first.size() + key.second.size() + level.size();
  for (const std::string& server : ejectedServers_) sum += server.size();
  return sum;
}

// ---- Relay ----

RelayWorker::RelayWorker(event_base* base, const Scenario& scenario)
    : scenario_(scenario), tick_(base, [this] {
        completeDueUpdates();
        checkRules();
        tick_.schedule(kTickInterval);
      }) {
  const Sizes& sizes = scenario.sizes;
  for (int number = 0; number < sizes.supervisors; ++number) {
    Store store;
    store.relay = std::make_unique<fakes::Relay>(base);
    store.relay->keep = false;
    for (int p = 0; p < sizes.proxies; ++p)
      store.relay->proxies[p] = {zoneName(zoneOf(scenario, p)),
                                 scenario.requestsPerSecond / sizes.proxies / sizes.supervisors, true};
    for (int k = 0; k < sizes.slices; ++k) {
      const int slice = firstSlice(scenario, number) + k;
      const std::string server = serverName(scenario, initialServerOf(scenario, number, k));
      store.relay->slices[slice] = {{server, "1"}};
      proxies_.setRoute(slice, server, "1");
    }
    stores_.push_back(std::move(store));
    const auto index = static_cast<std::size_t>(number);
    stores_.back().relay->onCall = [this, index](const std::string& commands) { onCall(index, commands); };
  }
  tick_.schedule(kTickInterval);
}

void RelayWorker::onCall(std::size_t number, const std::string& commands) {
  Store& store = stores_[number];
  const Micros now = net::steadyNow();
  proxies_.apply(commands);
  store.calls.push_back(now);
  while (store.calls.front() < now - kMessageWindow) store.calls.pop_front();
  maxCalls_ = std::max(maxCalls_, static_cast<double>(store.calls.size()));
  int fence = -1;
  double lines = 0;
  for (const std::string& command : split(commands, ';')) {
    if (command.compare(0, 6, "fence,") == 0) fence = std::atoi(command.c_str() + 6);
    if (command.compare(0, 6, "eject,") == 0) store.ejectedServers.insert(command.substr(6));
    if (command.compare(0, 8, "uneject,") == 0) store.ejectedServers.erase(command.substr(8));
    ++lines;
  }
  lines *= scenario_.sizes.proxies;
  store.queuedLines += lines;
  maxQueuedLines_ = std::max(maxQueuedLines_, store.queuedLines);
  pendingUpdates_.push_back({now + kProxyApplyDelay, number, fence, lines});
}

void RelayWorker::completeDueUpdates() {
  const Micros now = net::steadyNow();
  for (; !pendingUpdates_.empty() && pendingUpdates_.front().at <= now; pendingUpdates_.pop_front()) {
    const PendingUpdate& update = pendingUpdates_.front();
    Store& store = stores_[update.store];
    store.queuedLines -= update.lines;
    if (update.fence < 0) continue;
    for (int p = 0; p < scenario_.sizes.proxies; ++p)
      store.relay->done(p, update.fence, static_cast<double>(kProxyApplyDelay) / 1000);
  }
}

// A slice is unroutable while none of its routes leads to a server that is not draining; routes to a draining
// server must be removed within the grace period. By the protocol's documentation both rules apply from 1 s
// after the first answer of the supervisor, which is taken to be its connection to the relay.
void RelayWorker::checkRules() {
  const Micros now = net::steadyNow();
  for (Store& store : stores_) {
    if (store.relay->open() == 0) {
      store.rulesFrom = 0;
      store.unroutableSince.clear();
    } else if (store.rulesFrom == 0) {
      store.rulesFrom = now + kRulesDelay;
    }
    if (!drainingSince_.empty() && store.rulesFrom != 0 && now >= store.rulesFrom) checkRoutes(store, now);
  }
}

void RelayWorker::checkRoutes(Store& store, Micros now) {
  for (const auto& [slice, routes] : store.relay->slices) {
    bool usable = false;
    for (const auto& [server, weight] : routes) {
      const auto draining = drainingSince_.find(server);
      usable = usable || draining == drainingSince_.end();
      if (draining != drainingSince_.end() && store.ejectedServers.count(server) == 0)
        maxStaleRoute_ = std::max(maxStaleRoute_, now - std::max(draining->second, store.rulesFrom));
    }
    if (usable) {
      store.unroutableSince.erase(slice);
      continue;
    }
    const Micros since = store.unroutableSince.emplace(slice, now).first->second;
    maxUnroutable_ = std::max(maxUnroutable_, now - since);
  }
}

Measurements RelayWorker::sample() {
  Measurements values;
  const ResourceUsage usage = ownResourceUsage();
  values["cpu_s"] = {usage.cpuSeconds};
  values["resident_bytes"] = {static_cast<double>(usage.residentBytes)};
  values["state_bytes"] = {static_cast<double>(heapBytes())};
  double entries = 0;
  double maxUnsentBytes = 0;
  for (const Store& store : stores_) {
    const fakes::Relay& relay = *store.relay;
    entries += static_cast<double>(relay.proxies.size());
    for (const auto& [slice, routes] : relay.slices) entries += 1 + static_cast<double>(routes.size());
    maxUnsentBytes = std::max(maxUnsentBytes, static_cast<double>(relay.unsentMost));
    for (const auto& [direction, traffic] :
         {std::pair<const char*, const fakes::Traffic*>{"in", &relay.in}, {"out", &relay.out}}) {
      for (const auto& [kind, count] : traffic->kinds) {
        for (const auto& [unit, amount] :
             {std::pair<const char*, std::uint64_t>{".bytes", count.bytes}, {".messages", count.messages}}) {
          std::vector<double>& total = values[std::string(direction) + "." + kind + unit];
          total.resize(1);
          total[0] += static_cast<double>(amount);
        }
      }
    }
  }
  values["state_entries"] = {entries};
  values["unsent_most"] = {maxUnsentBytes};
  values["proxy.cpu_s"] = {proxies_.cpuSeconds};
  values["proxy.messages"] = {static_cast<double>(proxies_.messages)};
  values["proxy.message_bytes"] = {static_cast<double>(proxies_.messageBytes)};
  values["proxy.entries"] = {static_cast<double>(proxies_.entries())};
  values["proxy.bytes"] = {static_cast<double>(proxies_.bytes())};
  values["bare_most_s"] = {static_cast<double>(maxUnroutable_) / 1e6};
  values["calls_most"] = {maxCalls_};
  values["lines_waiting_most"] = {maxQueuedLines_};
  values["stale_most_s"] = {static_cast<double>(maxStaleRoute_) / 1e6};
  return values;
}

Measurements RelayWorker::handle(const Command& command) {
  const std::string& verb = command.at(0);
  if (verb == "addresses") {
    Measurements values;
    for (const Store& store : stores_) values["port"].push_back(store.relay->address().port);
    return values;
  }
  if (verb == "watches") {
    double connected = 0;
    for (const Store& store : stores_) connected += store.relay->open() > 0;
    return {{"standing", {connected}}};
  }
  if (verb == "sample") return sample();
  if (verb == "server") {
    const std::string server = serverName(scenario_, std::stoi(command.at(1)));
    if (command.at(2) == "0")
      drainingSince_.emplace(server, net::steadyNow());
    else
      drainingSince_.erase(server);
    return {};
  }
  throw WorkerError("unknown command of the relay worker: '" + verb + "'");
}

}  // namespace peargrade::scale
