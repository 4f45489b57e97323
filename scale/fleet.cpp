#include "scale/fleet.h"

#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ostream>
#include <thread>

#include "scale/collector_worker.h"
#include "scale/discovery_worker.h"
#include "scale/fleet_layout.h"
#include "scale/relay_worker.h"

namespace peargrade::scale {
namespace {

constexpr Micros kPollInterval = 20000;

// Added to the configured limits, as the protocol's rules on sockets allow. Seconds.
constexpr double kSocketGrace = 0.3;
// The relay disconnects a reader with more unread data. Bytes.
constexpr double kMaxRelayBacklog = 1 << 20;
// By the protocol, a connection with more unread data is reset. Bytes.
constexpr double kMaxUnreadBytes = 128 << 10;
// Periods of load reports that may be unread at a supervisor.
constexpr double kMaxUnreadPeriods = 3;

// Timers of the decision engine of each supervisor at full pace.
constexpr double kTimersPerSecond = 4;
// Smallest share of kTimersPerSecond; with fewer timers the host is too slow for the run.
constexpr double kPaceLeast = 0.75;
// Shorter measurements have too few timers to judge the pace.
constexpr Micros kMinPaceMeasurement = 2000000;

net::Address loopbackAddress(double port) { return {"127.0.0.1", static_cast<std::uint16_t>(port)}; }

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

double counterDelta(const Measurements& from, const Measurements& to, const std::string& name) {
  return firstValue(to, name) - firstValue(from, name);
}

std::string formatFixed(double value) {
  char text[64];
  std::snprintf(text, sizeof text, "%.3f", value);
  return text;
}

Property checkAtMost(const std::string& name, double value, double limit, const std::string& unit) {
  return {name, value <= limit,
          formatFixed(value) + " " + unit + ", limit " + formatFixed(limit) + " " + unit};
}

}  // namespace

bool RunResult::allHeld() const {
  return std::all_of(properties.begin(), properties.end(), [](const Property& p) { return p.held; });
}

Fleet::Fleet(const Scenario& scenario, std::string program, std::ostream& progress)
    : scenario_(scenario), program_(std::move(program)), progress_(progress) {
  checkFitsHost(scenario, hostInfo());
  deadline_ = net::steadyNow() + scenario.timeLimit;
}

Fleet::~Fleet() {
  supervisorProcesses_.clear();
  if (!folder_.empty()) rmdir(folder_.c_str());
}

double Fleet::simulatedSupervisors() const { return scenario_.sizes.supervisors - scenario_.sizes.real; }

// ---- Start ----

void Fleet::start() {
  const Sizes& sizes = scenario_.sizes;
  progress_ << scenario_.name << ": seed " << scenario_.seed << ", " << sizes.supervisors << " supervisors ("
            << sizes.real << " as processes) on " << sizes.machines << " machines, " << sizes.servers
            << " servers, " << sizes.slices << " slices each, " << sizes.proxies << " proxies, "
            << sizes.zones << " zones\n"
            << std::flush;
  const Scenario& scenario = scenario_;
  discovery_ = std::make_unique<WorkerProcess>(
      "discovery", [&](event_base* base) { return std::make_unique<DiscoveryWorker>(base, scenario); },
      deadline_);
  relay_ = std::make_unique<WorkerProcess>(
      "relay", [&](event_base* base) { return std::make_unique<RelayWorker>(base, scenario); }, deadline_);
  collectors_ = std::make_unique<WorkerProcess>(
      "collectors", [&](event_base* base) { return std::make_unique<CollectorWorker>(base, scenario); },
      deadline_);
  const Measurements discovery = discovery_->request("addresses");
  addresses_.discovery = loopbackAddress(discovery.at("port").at(0));
  addresses_.otherDiscovery = loopbackAddress(discovery.at("port").at(1));
  const Measurements relays = relay_->request("addresses");
  for (const double port : relays.at("port")) addresses_.relays.push_back(loopbackAddress(port));
  for (int k = 0; k < sizes.supervisors; ++k)
    addresses_.listen.push_back(k < sizes.real ? uniqueLoopbackAddress(k) : loopbackAddress(0));
  supervisorsByMachine_.resize(static_cast<std::size_t>(sizes.machines));
  const int supervisorsPerMachine = static_cast<int>(std::ceil(simulatedSupervisors() / sizes.machines));
  for (int k = sizes.real; k < sizes.supervisors; ++k)
    supervisorsByMachine_[static_cast<std::size_t>((k - sizes.real) / supervisorsPerMachine)].push_back(k);
  machines_.resize(supervisorsByMachine_.size());
  startSupervisorProcesses();
  for (std::size_t k = 0; k < machines_.size(); ++k) startMachine(k);
  waitUntil("start", [this] { return allConnected(); });
  firstListBytes_ = firstValue(discovery_->request("sample"), "list_out_bytes") / sizes.supervisors;
}

void Fleet::startSupervisorProcesses() {
  if (scenario_.sizes.real == 0) return;
  char defaultPath[] = "/tmp/peargrade_scale_XXXXXX";
  const char* const temporary = std::getenv("TMPDIR");
  std::string path = temporary == nullptr ? defaultPath : std::string(temporary) + "/peargrade_scale_XXXXXX";
  if (mkdtemp(path.data()) == nullptr)
    throw WorkerError("cannot create a folder for the supervisor processes: " + path);
  folder_ = path;
  std::vector<int> started;
  for (int k = 0; k < scenario_.sizes.real; ++k) {
    const auto index = static_cast<std::size_t>(k);
    supervisorProcesses_.push_back(std::make_unique<SupervisorProcess>(
        program_, folder_, "n" + std::to_string(k),
        configText(scenario_, k, addresses_.listen[index], addresses_.discovery, addresses_.relays[index])));
    started.push_back(k);
  }
  connectCollectors(started);
}

void Fleet::startMachine(std::size_t machine) {
  const std::vector<int>& supervisors = supervisorsByMachine_[machine];
  const Scenario& scenario = scenario_;
  machines_[machine] = std::make_unique<WorkerProcess>(
      "machine " + std::to_string(machine),
      [&](event_base* base) {
        return std::make_unique<ControlMachineWorker>(base, scenario, addresses_, supervisors);
      },
      deadline_);
  const Measurements addresses = machines_[machine]->request("addresses");
  for (std::size_t k = 0; k < supervisors.size(); ++k)
    addresses_.listen[static_cast<std::size_t>(supervisors[k])] = loopbackAddress(addresses.at("port").at(k));
  connectCollectors(supervisors);
}

// Makes the collectors connect to the supervisors.
void Fleet::connectCollectors(const std::vector<int>& supervisors) {
  for (const int k : supervisors) {
    const net::Address& address = addresses_.listen[static_cast<std::size_t>(k)];
    collectors_->request("dial " + std::to_string(k) + " " + address.host + " " +
                         std::to_string(address.port));
  }
}

// Whether every supervisor has an endpoint list and is connected to discovery, its relay and all collectors.
bool Fleet::allConnected() {
  checkProcesses();
  const Measurements watches = discovery_->request("watches");
  if (firstValue(watches, "first") + firstValue(watches, "second") < scenario_.sizes.supervisors)
    return false;
  if (firstValue(relay_->request("watches"), "standing") < scenario_.sizes.supervisors) return false;
  const Measurements connections = collectors_->request("connected");
  if (firstValue(connections, "connected") < firstValue(connections, "of")) return false;
  double listed = 0;
  for (const auto& machine : machines_) {
    if (machine) listed += firstValue(machine->request("status"), "listed");
  }
  return listed >= simulatedSupervisors();
}

// Throws WorkerError if a process has exited by itself.
void Fleet::checkProcesses() {
  for (const auto& process : supervisorProcesses_) {
    if (process->hasExited()) throw WorkerError("a supervisor process has exited by itself");
  }
  for (const auto& machine : machines_) {
    if (machine) machine->checkRunning();
  }
  for (WorkerProcess* worker : {discovery_.get(), relay_.get(), collectors_.get()}) worker->checkRunning();
}

void Fleet::waitUntil(const char* what, const std::function<bool()>& condition) {
  while (!condition()) {
    checkProcesses();
    if (net::steadyNow() >= deadline_)
      throw TimeLimitExceeded(std::string(what) + ": not complete before the time limit of the run");
    std::this_thread::sleep_for(std::chrono::microseconds(kPollInterval));
  }
}

// Sleeps until `end` and runs the pending events that become due.
void Fleet::runEventsUntil(Micros end) {
  while (true) {
    const Micros now = net::steadyNow();
    if (now >= deadline_)
      throw TimeLimitExceeded("exceeded the limit of " + formatFixed(seconds(scenario_.timeLimit)) + " s");
    if (!pendingEvents_.empty() && pendingEvents_.begin()->first <= now) {
      const auto due = std::move(pendingEvents_.begin()->second);
      pendingEvents_.erase(pendingEvents_.begin());
      due();
      continue;
    }
    if (now >= end) return;
    Micros next = std::min(end, deadline_);
    if (!pendingEvents_.empty()) next = std::min(next, pendingEvents_.begin()->first);
    std::this_thread::sleep_for(std::chrono::microseconds(std::max<Micros>(0, next - now)));
  }
}

Fleet::Sample Fleet::takeSample() {
  Sample sample;
  std::vector<WorkerProcess*> workers{discovery_.get(), relay_.get(), collectors_.get()};
  for (const auto& machine : machines_) {
    if (machine) workers.push_back(machine.get());
  }
  for (WorkerProcess* worker : workers) worker->sendCommand("sample");
  sample.at = net::steadyNow();
  for (const auto& process : supervisorProcesses_)
    sample.supervisorProcesses.push_back(process->resourceUsage());
  sample.discovery = discovery_->receiveReply();
  sample.relay = relay_->receiveReply();
  sample.collectors = collectors_->receiveReply();
  for (const auto& machine : machines_) {
    sample.machines.push_back(machine ? machine->receiveReply() : Measurements{});
    sample.machinePids.push_back(machine ? machine->process() : -1);
    maxSecondsWithoutList_ =
        std::max(maxSecondsWithoutList_, firstValue(sample.machines.back(), "without_list_most_s"));
  }
  return sample;
}

RunResult Fleet::run() {
  start();
  progress_ << scenario_.name << ": all supervisors connected, first list " << formatFixed(firstListBytes_)
            << " bytes each\n"
            << std::flush;
  runEventsUntil(net::steadyNow() + scenario_.warmUp);
  const Sample from = takeSample();
  // Until here, supervisors had no list because they had just started: that time is reported separately.
  const double withoutListAtStart = std::exchange(maxSecondsWithoutList_, 0);
  for (const ScenarioEvent& event : scenario_.events)
    pendingEvents_.emplace(from.at + event.at, [this, &event] { trigger(event); });
  runEventsUntil(from.at + scenario_.measurement);
  const Sample to = takeSample();
  runEventsUntil(net::steadyNow() + scenario_.settle);
  const Sample end = scenario_.settle > 0 ? takeSample() : to;

  RunResult result;
  double members = 0;
  for (std::size_t k = 0; k < machines_.size(); ++k)
    members += machines_[k] ? static_cast<double>(supervisorsByMachine_[k].size()) : 0;
  result.records.push_back(simulatedSupervisorRecord(from, to, members));
  result.records.back().metrics["without_list_at_start_s"] = withoutListAtStart;
  addLatencies(result.records.back());
  if (!supervisorProcesses_.empty()) result.records.push_back(supervisorProcessRecord(from, to));
  for (Record& record : peerRecords(from, to)) result.records.push_back(std::move(record));
  result.properties = checkProperties(end);
  if (scenario_.measurement >= kMinPaceMeasurement && simulatedSupervisors() > 0) {
    const double timers = result.records.front().metrics["timers_per_s"];
    result.properties.push_back(
        {"supervisors run at full pace", timers >= kPaceLeast * kTimersPerSecond,
         formatFixed(timers) + " timers per second, expected " + formatFixed(kTimersPerSecond)});
  }
  return result;
}

// ---- Events ----

void Fleet::trigger(const ScenarioEvent& event) {
  switch (event.kind) {
    case EventKind::Change:
      return changeEntries(event.count);
    case EventKind::KillMachine:
      return killMachine(event);
    case EventKind::Reload:
      return reloadConfigurations();
    case EventKind::BreakWatches: {
      const Micros startedAt = net::steadyNow();
      discovery_->request("break");
      progress_ << scenario_.name << ": all watches reset\n" << std::flush;
      waitUntil("reopening of the watches", [this] {
        const Measurements watches = discovery_->request("watches");
        return firstValue(watches, "first") + firstValue(watches, "second") >= scenario_.sizes.supervisors;
      });
      rewatchSeconds_.push_back(seconds(net::steadyNow() - startedAt));
      return;
    }
  }
}

void Fleet::changeEntries(int count) {
  const Measurements changed = discovery_->request("change " + std::to_string(count));
  listChanges_.push_back(
      {firstValue(changed, "at"), static_cast<std::int64_t>(firstValue(changed, "revision"))});
  for (std::size_t k = 0; k < changed.at("server").size(); ++k)
    relay_->request("server " + std::to_string(static_cast<int>(changed.at("server")[k])) +
                    (changed.at("drains")[k] > 0 ? " 0" : " 1"));
}

void Fleet::killMachine(const ScenarioEvent& event) {
  const auto running =
      std::find_if(machines_.begin(), machines_.end(), [](const auto& m) { return m != nullptr; });
  if (running == machines_.end()) return;
  const auto machine = static_cast<std::size_t>(running - machines_.begin());
  machines_[machine]->kill();
  machines_[machine].reset();
  for (const int k : supervisorsByMachine_[machine]) collectors_->request("gone " + std::to_string(k));
  progress_ << scenario_.name << ": machine " << machine << " killed, "
            << supervisorsByMachine_[machine].size() << " supervisors\n"
            << std::flush;
  pendingEvents_.emplace(net::steadyNow() + event.restartAfter, [this, machine] { restartMachine(machine); });
}

void Fleet::restartMachine(std::size_t machine) {
  const Micros startedAt = net::steadyNow();
  startMachine(machine);
  waitUntil("restart of the machine", [this] { return allConnected(); });
  restartSeconds_.push_back(seconds(net::steadyNow() - startedAt));
  progress_ << scenario_.name << ": machine " << machine << " restarted\n" << std::flush;
}

// Makes every configuration name the other discovery address. A reload has taken effect in a supervisor once
// it has a watch there.
void Fleet::reloadConfigurations() {
  const Micros startedAt = net::steadyNow();
  for (const auto& machine : machines_) machine->sendCommand("reload 1");
  for (std::size_t k = 0; k < supervisorProcesses_.size(); ++k)
    supervisorProcesses_[k]->reload(configText(scenario_, static_cast<int>(k), addresses_.listen[k],
                                               addresses_.otherDiscovery, addresses_.relays[k]));
  for (const auto& machine : machines_) machine->receiveReply();
  waitUntil("reload", [this] {
    return firstValue(discovery_->request("watches"), "second") >= scenario_.sizes.supervisors;
  });
  const Measurements moves = discovery_->request("moved");
  for (const double movedAt : moves.at("at"))
    reloadSeconds_.push_back((movedAt - static_cast<double>(startedAt)) / 1e6);
}

// ---- Records ----

Record Fleet::makeRecord(const char* role, double span) const {
  Record record;
  record.scenario = scenario_.name;
  record.role = role;
  record.host = hostInfo();
  record.seed = scenario_.seed;
  record.seconds = span;
  record.sizes = sizesOf(scenario_);
  return record;
}

// Means per simulated supervisor: resource usage of their processes, and the counters of their peers.
Record Fleet::simulatedSupervisorRecord(const Sample& from, const Sample& to, double members) const {
  const double span = seconds(to.at - from.at);
  Record record = makeRecord("supervisor", span);
  auto& metrics = record.metrics;
  const double supervisors = scenario_.sizes.supervisors;
  for (std::size_t k = 0; k < to.machines.size(); ++k) {
    if (from.machines[k].empty() || to.machines[k].empty()) continue;
    // The counters of a restarted machine have started at zero.
    const bool restarted = from.machinePids[k] != to.machinePids[k];
    const Measurements& begin = restarted ? Measurements{} : from.machines[k];
    for (const auto& [name, counter] : {std::pair<const char*, const char*>{"cpu_share", "cpu_s"},
                                        {"allocations_per_s", "allocations"},
                                        {"events_per_s", "events"},
                                        {"reports_in_messages_per_s", "reports"},
                                        {"news_in_messages_per_s", "news"},
                                        {"calls_per_s", "calls"},
                                        {"timers_per_s", "timers"},
                                        {"configuration_in_bytes_per_s", "configuration_in_bytes"},
                                        {"configuration_in_messages_per_s", "configuration_in_messages"}})
      metrics[name] += counterDelta(begin, to.machines[k], counter) / span / members;
    metrics["resident_bytes"] += firstValue(to.machines[k], "resident_bytes") / members;
    metrics["state_bytes"] += firstValue(to.machines[k], "state_bytes") / members;
    metrics["replies_missed"] += firstValue(to.machines[k], "replies_missed");
  }
  const Sizes& sizes = scenario_.sizes;
  metrics["state_entries"] =
      static_cast<double>(sizes.servers) * (1 + sizes.zones) + sizes.slices + sizes.proxies;
  metrics["first_list_bytes"] = firstListBytes_;
  metrics["list_in_bytes_per_s"] =
      counterDelta(from.discovery, to.discovery, "list_out_bytes") / span / supervisors;
  metrics["list_in_messages_per_s"] =
      counterDelta(from.discovery, to.discovery, "list_out_messages") / span / supervisors;
  metrics["list_out_bytes_per_s"] =
      counterDelta(from.discovery, to.discovery, "list_in_bytes") / span / supervisors;
  metrics["list_out_messages_per_s"] =
      counterDelta(from.discovery, to.discovery, "list_in_messages") / span / supervisors;
  double relayBytes = 0;
  for (const char* kind : {"standing", "attach", "detach", "owner", "done", "life", "other"})
    relayBytes += counterDelta(from.relay, to.relay, std::string("out.") + kind + ".bytes");
  metrics["news_in_bytes_per_s"] = relayBytes / span / supervisors;
  metrics["orders_out_bytes_per_s"] =
      counterDelta(from.relay, to.relay, "in.apply.bytes") / span / supervisors;
  metrics["orders_out_messages_per_s"] =
      counterDelta(from.relay, to.relay, "in.apply.messages") / span / supervisors;
  metrics["orders_in_bytes_per_s"] =
      counterDelta(from.relay, to.relay, "out.answer.bytes") / span / supervisors;
  metrics["orders_in_messages_per_s"] =
      counterDelta(from.relay, to.relay, "out.answer.messages") / span / supervisors;
  metrics["reports_in_bytes_per_s"] =
      counterDelta(from.collectors, to.collectors, "reports_out_bytes") / span / supervisors;
  metrics["control_bytes_per_s"] = metrics["list_in_bytes_per_s"] + metrics["list_out_bytes_per_s"] +
                                   metrics["news_in_bytes_per_s"] + metrics["orders_out_bytes_per_s"] +
                                   metrics["orders_in_bytes_per_s"] + metrics["reports_in_bytes_per_s"];
  metrics["longest_without_list_s"] = maxSecondsWithoutList_;
  return record;
}

Record Fleet::supervisorProcessRecord(const Sample& from, const Sample& to) const {
  const double span = seconds(to.at - from.at);
  Record record = makeRecord("supervisor", span);
  record.scenario += "/real";
  const double count = static_cast<double>(to.supervisorProcesses.size());
  for (std::size_t k = 0; k < to.supervisorProcesses.size(); ++k) {
    record.metrics["cpu_share"] +=
        (to.supervisorProcesses[k].cpuSeconds - from.supervisorProcesses[k].cpuSeconds) / span / count;
    record.metrics["resident_bytes"] += static_cast<double>(to.supervisorProcesses[k].residentBytes) / count;
  }
  return record;
}

std::vector<Record> Fleet::peerRecords(const Sample& from, const Sample& to) const {
  const double span = seconds(to.at - from.at);
  const auto base = [&](const char* role, const Measurements& a, const Measurements& b, double members) {
    Record record = makeRecord(role, span);
    record.metrics["cpu_share"] = counterDelta(a, b, "cpu_s") / span / members;
    for (const char* name : {"resident_bytes", "state_bytes", "state_entries"})
      record.metrics[name] = firstValue(b, name) / members;
    record.metrics["unsent_most_bytes"] = firstValue(b, "unsent_most");
    return record;
  };
  Record discovery = base("discovery", from.discovery, to.discovery, 1);
  for (const char* name : {"list_in_bytes", "list_out_bytes", "list_in_messages", "list_out_messages"})
    discovery.metrics[std::string(name) + "_per_s"] = counterDelta(from.discovery, to.discovery, name) / span;

  Record relay = base("relay", from.relay, to.relay, 1);
  for (const auto& [name, value] : to.relay) {
    // "in.apply.bytes" -> "apply_in_bytes_per_s"
    const bool in = name.compare(0, 3, "in.") == 0;
    const bool out = name.compare(0, 4, "out.") == 0;
    if (!in && !out) continue;
    const std::string rest = name.substr(in ? 3 : 4);
    const auto dot = rest.find('.');
    relay.metrics[rest.substr(0, dot) + (in ? "_in_" : "_out_") + rest.substr(dot + 1) + "_per_s"] =
        counterDelta(from.relay, to.relay, name) / span;
  }
  relay.metrics["cpu_share"] -= counterDelta(from.relay, to.relay, "proxy.cpu_s") / span;

  const double zones = scenario_.sizes.zones;
  Record collector = base("collector", from.collectors, to.collectors, zones);
  for (const char* name : {"reports_out_bytes", "reports_out_messages"})
    collector.metrics[std::string(name) + "_per_s"] =
        counterDelta(from.collectors, to.collectors, name) / span / zones;
  collector.metrics["late_periods"] = counterDelta(from.collectors, to.collectors, "late_periods");

  Record proxy = makeRecord("proxy", span);
  proxy.metrics["cpu_share"] = counterDelta(from.relay, to.relay, "proxy.cpu_s") / span;
  proxy.metrics["state_entries"] = firstValue(to.relay, "proxy.entries");
  proxy.metrics["state_bytes"] = firstValue(to.relay, "proxy.bytes");
  proxy.metrics["orders_in_messages_per_s"] = counterDelta(from.relay, to.relay, "proxy.messages") / span;
  proxy.metrics["orders_in_bytes_per_s"] = counterDelta(from.relay, to.relay, "proxy.message_bytes") / span;

  Record configuration = makeRecord("configuration", span);
  double bytes = 0;
  double messages = 0;
  double storedBytes = 0;
  for (std::size_t k = 0; k < to.machines.size(); ++k) {
    const Measurements& begin = from.machinePids[k] == to.machinePids[k] ? from.machines[k] : Measurements{};
    bytes += counterDelta(begin, to.machines[k], "configuration_in_bytes");
    messages += counterDelta(begin, to.machines[k], "configuration_in_messages");
  }
  for (int k = 0; k < scenario_.sizes.supervisors; ++k) {
    const auto i = static_cast<std::size_t>(k);
    storedBytes += static_cast<double>(
        configText(scenario_, k, addresses_.listen[i], addresses_.discovery, addresses_.relays[i]).size());
  }
  configuration.metrics = {{"state_entries", scenario_.sizes.supervisors},
                           {"state_bytes", storedBytes},
                           {"configuration_out_bytes_per_s", bytes / span},
                           {"configuration_out_messages_per_s", messages / span}};
  return {discovery, relay, collector, proxy, configuration};
}

// Adds quantiles of the times from a change of the list to each supervisor's decision engine, from a reload
// to each watch at the new address, and from a disruption to full recovery.
void Fleet::addLatencies(Record& record) {
  std::vector<double> times;
  int missing = 0;
  for (const ListChange& change : listChanges_) {
    for (const auto& machine : machines_) {
      if (!machine) continue;
      const Measurements known = machine->request("known " + std::to_string(change.revision));
      for (std::size_t k = 0; k < known.at("at").size(); ++k) {
        const double knownAt = known.at("at")[k];
        // A supervisor that started after the change got it with its first list.
        if (knownAt < 0)
          ++missing;
        else if (known.at("born")[k] <= change.at)
          times.push_back((knownAt - change.at) / 1e6);
      }
    }
  }
  const auto add = [&](const std::string& name, const std::vector<double>& values) {
    if (values.empty()) return;
    record.metrics[name + "_p50_s"] = quantile(values, 0.5);
    record.metrics[name + "_p99_s"] = quantile(values, 0.99);
    record.metrics[name + "_worst_s"] = quantile(values, 1);
  };
  missingChanges_ = missing;
  if (!listChanges_.empty()) record.metrics["changes_unknown"] = missing;
  add("time_to_force", times);
  add("time_to_reload", reloadSeconds_);
  add("time_to_watch_again", rewatchSeconds_);
  add("time_to_return", restartSeconds_);
}

// Checks the rules that the simulated peers can observe, the lengths of queues, and that nothing was lost.
std::vector<Property> Fleet::checkProperties(const Sample& end) {
  std::vector<Property> properties;
  properties.push_back(checkAtMost("endpoint list requested in time", maxSecondsWithoutList_,
                                   seconds(kListRequestDeadline), "s without a list"));
  properties.push_back(checkAtMost("time of a slice without a usable route",
                                   firstValue(end.relay, "bare_most_s"),
                                   seconds(kMaxUnroutable) + kSocketGrace, "s"));
  properties.push_back(checkAtMost("time of a route to a draining server",
                                   firstValue(end.relay, "stale_most_s"), seconds(kDrainGrace) + kSocketGrace,
                                   "s"));
  properties.push_back(
      checkAtMost("messages to a proxy", firstValue(end.relay, "calls_most"), kMaxMessages, "in 10 s"));
  properties.push_back(checkAtMost("lines queued in an update channel",
                                   firstValue(end.relay, "lines_waiting_most"), kMaxQueuedLines, "lines"));
  double lostCommands = 0;
  for (const Measurements& machine : end.machines) lostCommands += firstValue(machine, "orders_lost");
  properties.push_back(checkAtMost("commands lost", lostCommands, 0, "commands"));
  properties.push_back(checkAtMost("changes missing at supervisors", missingChanges_, 0, "missing"));
  const double listBytes = std::max(kMaxUnreadBytes, 2 * firstListBytes_);
  properties.push_back(checkAtMost("unsent data of a watch at discovery",
                                   firstValue(end.discovery, "unsent_most"), listBytes, "bytes"));
  properties.push_back(checkAtMost("unsent data of a watch at the relay",
                                   firstValue(end.relay, "unsent_most"), kMaxRelayBacklog, "bytes"));
  const int reportedServers =
      scenario_.reportedServers == 0 ? scenario_.sizes.servers : scenario_.reportedServers;
  constexpr double kReportBytes = 110;
  properties.push_back(
      checkAtMost("unsent data of a collector", firstValue(end.collectors, "unsent_most"),
                  std::max(kMaxUnreadBytes, kMaxUnreadPeriods * reportedServers * kReportBytes), "bytes"));
  if (!scenario_.verifyLists) return properties;
  const Measurements expected = discovery_->request("digest");
  double differing = 0;
  double compared = 0;
  for (const auto& machine : machines_) {
    if (!machine) continue;
    const Measurements digest = machine->request("digest");
    for (std::size_t k = 0; k < digest.at("entries").size(); ++k) {
      ++compared;
      differing += digest.at("hash_high")[k] != expected.at("hash")[0] ||
                   digest.at("hash_low")[k] != expected.at("hash")[1] ||
                   digest.at("entries")[k] != firstValue(expected, "entries");
    }
  }
  properties.push_back(checkAtMost("lists that differ from discovery's", differing, 0,
                                   "of " + formatFixed(compared) + " lists"));
  return properties;
}

}  // namespace peargrade::scale
