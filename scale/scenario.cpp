#include "scale/scenario.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace peargrade::scale {
namespace {

using op::Block;
using op::Field;
using op::Form;
using op::Kind;
using op::Section;

constexpr double kSecondUs = 1e6;
constexpr double kHourUs = 3600e6;
constexpr int kMaxServers = 20000;
constexpr int kMaxSupervisors = 2000;
constexpr int kMaxProxies = 20000;

// Memory use, rounded up from runs with 23 to 1,500 servers.
constexpr std::int64_t kProcessBytes = 16 << 20;
constexpr std::int64_t kSupervisorBytes = 256 << 10;
constexpr std::int64_t kListedServerBytes = 600;    // for each supervisor
constexpr std::int64_t kReportedServerBytes = 900;  // for each supervisor and zone
constexpr std::int64_t kProxyBytes = 400;           // for each supervisor
constexpr std::int64_t kVerifiedEntryBytes = 120;
constexpr std::int64_t kSupervisorProcessBytes = 24 << 20;
constexpr std::int64_t kBaseDescriptors = 64;
// Sockets of a supervisor other than those to collectors: listener, relay watch, relay calls, discovery
// watch, and two spare ones.
constexpr int kPeerSockets = 6;

Field field(const char* name, Kind kind, double minimum, double maximum, const char* defaultValue,
            const char* description) {
  return {name, kind, minimum, maximum, defaultValue, Form::Node, false, false, {}, description};
}

const Block& schema() {
  static const Block all{
      "scenario",
      false,
      {{"version", Kind::Count, 1, 1, "", Form::Node, true, false, {}, "version of this format"},
       {"name", Kind::Text, 0, 0, "", Form::Node, true, false, {}, "name of the scenario in the records"},
       field("seed", Kind::Count, 1, 1e15, "1", "seed of the random numbers"),
       field("bound", Kind::Duration, kSecondUs, kHourUs, "2m", "time limit of the run"),
       field("checked", Kind::Flag, 0, 0, "false", "verify each supervisor's list against discovery's")},
      {{"sizes",
        false,
        {field("supervisors", Kind::Count, 1, kMaxSupervisors, "1", "simulated ones and processes together"),
         field("machines", Kind::Count, 1, 100, "1", "control machines, one process each"),
         field("real", Kind::Count, 0, 200, "0", "supervisors that are peargrade serve processes"),
         field("servers", Kind::Count, 1, kMaxServers, "10", "servers on the list of every supervisor"),
         field("services", Kind::Count, 1, 1000, "1", "services that the servers are divided among by name"),
         field("racks", Kind::Count, 1, 1000, "1", "racks of the servers"),
         field("slices", Kind::Count, 1, 100, "2", "slices assigned to each supervisor"),
         field("proxies", Kind::Count, 1, kMaxProxies, "10", "proxies connected to every supervisor"),
         field("zones", Kind::Count, 1, 64, "2", "zones, one collector each"),
         field("regions", Kind::Count, 1, 16, "1", "regions of the zones"),
         field("tenants", Kind::Count, 0, 1e6, "0", "for the records; the protocol has no tenants")},
        {},
        "sizes of the fleet"},
       {"rates",
        false,
        {field("reports-every", Kind::Duration, 0.1 * kSecondUs, 600 * kSecondUs, "1s", "report interval"),
         field("reported", Kind::Count, 0, kMaxServers, "0",
               "servers of its service reported to a supervisor; 0: all servers"),
         field("requests", Kind::Count, 0, 1e7, "1000", "requests per second, over all servers"),
         field("changes-per-minute", Kind::Count, 0, 6000, "0", "changes of the list, one entry each")},
        {},
        "load"},
       {"run",
        false,
        {field("warm-up", Kind::Duration, 0, kHourUs, "3s", "between start of the fleet and measurement"),
         field("measured", Kind::Duration, 0.5 * kSecondUs, kHourUs, "5s", "duration of the measurement"),
         field("settle", Kind::Duration, 0, kHourUs, "0s", "for events to take full effect"),
         field("processes", Kind::Count, 1, 300, "200", "limit of processes; a larger fleet is rejected")},
        {},
        "durations and limits of a run"},
       {"event",
        true,
        {{"what",
          Kind::Word,
          0,
          0,
          "",
          Form::Argument,
          true,
          false,
          {"break-watches", "kill-machine", "reload", "change"},
          "kind of event"},
         {"at", Kind::Duration, 0, kHourUs, "0s", Form::Property, false, false, {}, "offset in measurement"},
         {"count", Kind::Count, 1, 10000, "1", Form::Property, false, false, {}, "entries to change"},
         {"back", Kind::Duration, 0, kHourUs, "5s", Form::Property, false, false, {}, "delay of restart"}},
        {},
        "an event during the measurement"}},
      "a load test of the simulated fleet"};
  return all;
}

std::string formatComplaint(const std::string& file, const op::Complaint& complaint) {
  return file + ":" + std::to_string(complaint.place.line) + ":" + std::to_string(complaint.place.column) +
         ": " + complaint.where + ": found " + complaint.found + ", expected " + complaint.expected;
}

void throwIfAny(std::vector<op::Complaint>& complaints, const std::string& file) {
  if (complaints.empty()) return;
  std::stable_sort(complaints.begin(), complaints.end(), [](const auto& a, const auto& b) {
    return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
  });
  std::string lines;
  for (const op::Complaint& complaint : complaints)
    lines += (lines.empty() ? "" : "\n") + formatComplaint(file, complaint);
  throw ScenarioError(lines);
}

EventKind parseEventKind(const std::string& word) {
  if (word == "break-watches") return EventKind::BreakWatches;
  if (word == "kill-machine") return EventKind::KillMachine;
  return word == "reload" ? EventKind::Reload : EventKind::Change;
}

Sizes parseSizes(const Section& section) {
  const auto integer = [&](const char* name) { return static_cast<int>(section.whole(name)); };
  Sizes sizes;
  sizes.supervisors = integer("supervisors");
  sizes.machines = integer("machines");
  sizes.real = integer("real");
  sizes.servers = integer("servers");
  sizes.services = integer("services");
  sizes.racks = integer("racks");
  sizes.slices = integer("slices");
  sizes.proxies = integer("proxies");
  sizes.zones = integer("zones");
  sizes.regions = integer("regions");
  sizes.tenants = integer("tenants");
  return sizes;
}

// Checks limits that depend on several fields.
void checkCombinations(const Scenario& scenario, const Section& top, std::vector<op::Complaint>& complaints) {
  const auto& sizes = top.block("sizes");
  const auto requireAtMost = [&](const char* name, int value, int limit, const char* of) {
    if (value <= limit) return;
    complaints.push_back({sizes.one(name).place, std::string("sizes.") + name, std::to_string(value),
                          "no more than the number of " + std::string(of) + ", " + std::to_string(limit)});
  };
  requireAtMost("real", scenario.sizes.real, scenario.sizes.supervisors, "supervisors");
  requireAtMost("machines", scenario.sizes.machines, scenario.sizes.supervisors, "supervisors");
  requireAtMost("services", scenario.sizes.services, scenario.sizes.servers, "servers");
  requireAtMost("racks", scenario.sizes.racks, scenario.sizes.servers, "servers");
  requireAtMost("regions", scenario.sizes.regions, scenario.sizes.zones, "zones");
  for (const ScenarioEvent& event : scenario.events) {
    if (event.at > scenario.measurement)
      complaints.push_back(
          {event.place, "event.at", std::to_string(event.at / 1000) + "ms",
           "a time within run.measured, " + std::to_string(scenario.measurement / 1000) + "ms"});
  }
}

// Both return the field that a sweep may set, by its name in the file; null if there is none.
double* findRate(Scenario& scenario, const std::string& name) {
  if (name == "requests") return &scenario.requestsPerSecond;
  if (name == "changes-per-minute") return &scenario.changesPerMinute;
  return nullptr;
}
int* findSize(Scenario& scenario, const std::string& name) {
  const std::pair<const char*, int*> all[] = {{"supervisors", &scenario.sizes.supervisors},
                                              {"machines", &scenario.sizes.machines},
                                              {"real", &scenario.sizes.real},
                                              {"servers", &scenario.sizes.servers},
                                              {"services", &scenario.sizes.services},
                                              {"racks", &scenario.sizes.racks},
                                              {"slices", &scenario.sizes.slices},
                                              {"proxies", &scenario.sizes.proxies},
                                              {"zones", &scenario.sizes.zones},
                                              {"regions", &scenario.sizes.regions},
                                              {"tenants", &scenario.sizes.tenants},
                                              {"reported", &scenario.reportedServers}};
  for (const auto& [known, size] : all) {
    if (name == known) return size;
  }
  return nullptr;
}

}  // namespace

std::string settingsTable() { return op::tableOf(schema()); }

Scenario parseScenario(const std::string& text, const std::string& file) {
  std::vector<op::Complaint> complaints;
  const Section top = op::check(schema(), kdl::parse(text), complaints);
  throwIfAny(complaints, file);
  Scenario scenario;
  scenario.file = file;
  scenario.name = top.one("name").text;
  scenario.seed = static_cast<std::uint64_t>(top.whole("seed"));
  scenario.timeLimit = top.micros("bound");
  scenario.verifyLists = top.one("checked").yes;
  scenario.sizes = parseSizes(top.block("sizes"));
  scenario.sizesPlace = top.block("sizes").place;
  const Section& rates = top.block("rates");
  scenario.reportInterval = rates.micros("reports-every");
  scenario.reportedServers = static_cast<int>(rates.whole("reported"));
  scenario.requestsPerSecond = rates.one("requests").number;
  scenario.changesPerMinute = rates.one("changes-per-minute").number;
  const Section& run = top.block("run");
  scenario.warmUp = run.micros("warm-up");
  scenario.measurement = run.micros("measured");
  scenario.settle = run.micros("settle");
  scenario.maxProcesses = static_cast<int>(run.whole("processes"));
  if (const auto events = top.blocks.find("event"); events != top.blocks.end()) {
    for (const Section& event : events->second) {
      if (!event.given) continue;
      scenario.events.push_back({parseEventKind(event.one("what").text), event.micros("at"),
                                 static_cast<int>(event.whole("count")), event.micros("back"), event.place});
    }
  }
  std::stable_sort(scenario.events.begin(), scenario.events.end(),
                   [](const ScenarioEvent& a, const ScenarioEvent& b) { return a.at < b.at; });
  checkCombinations(scenario, top, complaints);
  throwIfAny(complaints, file);
  return scenario;
}

Scenario loadScenario(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in || text.str().empty())
    throw ScenarioError(path + ":1:1: file: found an empty or unreadable file, expected a scenario");
  return parseScenario(text.str(), path);
}

void setVariable(Scenario& scenario, const std::string& variable, double value) {
  if (double* rate = findRate(scenario, variable); rate != nullptr && value >= 0) {
    *rate = value;
    return;
  }
  int* const size = findSize(scenario, variable);
  const bool mayBeZero = variable == "real" || variable == "tenants" || variable == "reported";
  if (size == nullptr || value < (mayBeZero ? 0 : 1) || value > 1e6)
    throw ScenarioError("variable: found " + variable + "=" + std::to_string(value) +
                        ", expected the name of a size or rate of a scenario and a value in its range");
  *size = static_cast<int>(value);
}

void clampDependentSizes(Scenario& scenario) {
  Sizes& sizes = scenario.sizes;
  sizes.machines = std::min(sizes.machines, sizes.supervisors);
  sizes.real = std::min(sizes.real, sizes.supervisors);
  sizes.services = std::min(sizes.services, sizes.servers);
  sizes.racks = std::min(sizes.racks, sizes.servers);
  sizes.regions = std::min(sizes.regions, sizes.zones);
}

double variableValue(const Scenario& scenario, const std::string& variable) {
  Scenario copy = scenario;
  if (const double* rate = findRate(copy, variable)) return *rate;
  const int* size = findSize(copy, variable);
  return size == nullptr ? 0 : *size;
}

ResourceNeeds estimateNeeds(const Scenario& scenario) {
  const std::int64_t supervisors = scenario.sizes.supervisors, servers = scenario.sizes.servers,
                     zones = scenario.sizes.zones;
  ResourceNeeds needs;
  // This process, discovery, the relay, the collectors and the control machines; then the supervisor
  // processes.
  const int workers = 4 + scenario.sizes.machines;
  needs.processes = workers + scenario.sizes.real;
  const std::int64_t perSupervisor =
      kSupervisorBytes + servers * (kListedServerBytes + zones * kReportedServerBytes) +
      scenario.sizes.proxies * kProxyBytes + (scenario.verifyLists ? servers * kVerifiedEntryBytes : 0);
  needs.memoryBytes =
      workers * kProcessBytes + supervisors * perSupervisor + scenario.sizes.real * kSupervisorProcessBytes;
  const std::int64_t perMachine = (supervisors + scenario.sizes.machines - 1) / scenario.sizes.machines;
  needs.descriptors = kBaseDescriptors + std::max({supervisors * std::max<std::int64_t>(zones, kPeerSockets),
                                                   perMachine * (zones + kPeerSockets)});
  return needs;
}

void checkFitsHost(const Scenario& scenario, const HostInfo& host) {
  const ResourceNeeds needs = estimateNeeds(scenario);
  std::vector<op::Complaint> complaints;
  const auto megabytes = [](std::int64_t bytes) { return std::to_string(bytes >> 20) + " MB"; };
  if (needs.memoryBytes > host.memoryBytes / 2)
    complaints.push_back({scenario.sizesPlace, "sizes", "a fleet of about " + megabytes(needs.memoryBytes),
                          "no more than half of this host's memory, " + megabytes(host.memoryBytes / 2)});
  if (needs.processes > scenario.maxProcesses)
    complaints.push_back({scenario.sizesPlace, "sizes",
                          "a fleet of " + std::to_string(needs.processes) + " processes",
                          "no more than run.processes, " + std::to_string(scenario.maxProcesses)});
  if (needs.descriptors > host.descriptors)
    complaints.push_back(
        {scenario.sizesPlace, "sizes",
         "a process with " + std::to_string(needs.descriptors) + " file descriptors",
         "no more than the limit of a process on this host, " + std::to_string(host.descriptors)});
  throwIfAny(complaints, scenario.file);
}

}  // namespace peargrade::scale
