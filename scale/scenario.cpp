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

constexpr double kSecond = 1e6, kHour = 3600e6;
constexpr int kServersMost = 20000, kSupervisorsMost = 2000, kProxiesMost = 20000;

// What a member takes, in bytes: rounded up from runs at 23 to 1,500 servers (scale/README.md).
constexpr std::int64_t kProcess = 16 << 20, kSupervisor = 256 << 10, kServerKnown = 600, kServerMet = 900,
                       kProxyKnown = 400, kCheckedEntry = 120, kReal = 24 << 20;
constexpr std::int64_t kOwnDescriptors = 64;
constexpr int kPeerSockets = 6;  // of a supervisor beside its collectors: listener, news, calls, watch, spare

Field field(const char* name, Kind kind, double least, double most, const char* standard, const char* says) {
  return {name, kind, least, most, standard, Form::Node, false, false, {}, says};
}

const Block& schema() {
  static const Block all{
      "scenario",
      false,
      {{"version", Kind::Count, 1, 1, "", Form::Node, true, false, {}, "of this form"},
       {"name", Kind::Text, 0, 0, "", Form::Node, true, false, {}, "of the results"},
       field("seed", Kind::Count, 1, 1e15, "1", "of all that is drawn"),
       field("bound", Kind::Duration, kSecond, kHour, "2m", "the run ends itself after this"),
       field("checked", Kind::Flag, 0, 0, "false", "compare each supervisor's list with discovery's")},
      {{"sizes",
        false,
        {field("supervisors", Kind::Count, 1, kSupervisorsMost, "1", "hollow and real together"),
         field("machines", Kind::Count, 1, 100, "1", "control machines, a process each"),
         field("real", Kind::Count, 0, 200, "0", "of the supervisors, as processes of their own"),
         field("servers", Kind::Count, 1, kServersMost, "10", "on the list of every supervisor"),
         field("services", Kind::Count, 1, 1000, "1", "that the servers are parted into by name"),
         field("racks", Kind::Count, 1, 1000, "1", "that the servers stand in"),
         field("slices", Kind::Count, 1, 100, "2", "in the charge of each supervisor"),
         field("proxies", Kind::Count, 1, kProxiesMost, "10", "joined to every supervisor"),
         field("zones", Kind::Count, 1, 64, "2", "with a collector each"),
         field("regions", Kind::Count, 1, 16, "1", "that the zones are parted into"),
         field("tenants", Kind::Count, 0, 1e6, "0", "of the plan; nothing on the wire names them")},
        {},
        "how much there is of all"},
       {"rates",
        false,
        {field("reports-every", Kind::Duration, 0.1 * kSecond, 600 * kSecond, "1s", "period of a collector"),
         field("reported", Kind::Count, 0, kServersMost, "0",
               "servers of a supervisor's service; 0: all there are"),
         field("requests", Kind::Count, 0, 1e7, "1000", "a second, over all servers"),
         field("changes-per-minute", Kind::Count, 0, 6000, "0", "entries of the list, one at a time")},
        {},
        "how often it happens"},
       {"run",
        false,
        {field("warm-up", Kind::Duration, 0, kHour, "3s", "after the last supervisor is ready"),
         field("measured", Kind::Duration, 0.5 * kSecond, kHour, "5s", ""),
         field("settle", Kind::Duration, 0, kHour, "0s", "for what events have set off"),
         field("processes", Kind::Count, 1, 300, "200", "more are refused")},
        {},
        "the times of a run and its bounds"},
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
          "what happens"},
         {"at", Kind::Duration, 0, kHour, "0s", Form::Property, false, false, {}, "of the measurement"},
         {"count", Kind::Count, 1, 10000, "1", Form::Property, false, false, {}, "entries of the list"},
         {"back", Kind::Duration, 0, kHour, "5s", Form::Property, false, false, {}, "the machine returns"}},
        {},
        "in the time that is measured"}},
      "a run of the hollow fleet"};
  return all;
}

std::string lineOf(const std::string& file, const op::Complaint& c) {
  return file + ":" + std::to_string(c.place.line) + ":" + std::to_string(c.place.column) + ": " + c.where +
         ": found " + c.found + ", expected " + c.expected;
}

void refuse(std::vector<op::Complaint>& complaints, const std::string& file) {
  if (complaints.empty()) return;
  std::stable_sort(complaints.begin(), complaints.end(), [](const auto& a, const auto& b) {
    return std::pair(a.place.line, a.place.column) < std::pair(b.place.line, b.place.column);
  });
  std::string lines;
  for (const op::Complaint& c : complaints) lines += (lines.empty() ? "" : "\n") + lineOf(file, c);
  throw Wrong(lines);
}

Happening happening(const std::string& word) {
  if (word == "break-watches") return Happening::BreakWatches;
  if (word == "kill-machine") return Happening::KillMachine;
  return word == "reload" ? Happening::Reload : Happening::Change;
}

Sizes sizesOf(const Section& s) {
  const auto whole = [&](const char* name) { return static_cast<int>(s.whole(name)); };
  Sizes sizes;
  sizes.supervisors = whole("supervisors");
  sizes.machines = whole("machines");
  sizes.real = whole("real");
  sizes.servers = whole("servers");
  sizes.services = whole("services");
  sizes.racks = whole("racks");
  sizes.slices = whole("slices");
  sizes.proxies = whole("proxies");
  sizes.zones = whole("zones");
  sizes.regions = whole("regions");
  sizes.tenants = whole("tenants");
  return sizes;
}

// What one field alone cannot tell.
void checkTogether(const Scenario& s, const Section& top, std::vector<op::Complaint>& complaints) {
  const auto& sizes = top.block("sizes");
  const auto most = [&](const char* name, int value, int limit, const char* of) {
    if (value <= limit) return;
    complaints.push_back({sizes.one(name).place, std::string("sizes.") + name, std::to_string(value),
                          "no more than " + std::string(of) + ", which are " + std::to_string(limit)});
  };
  most("real", s.sizes.real, s.sizes.supervisors, "supervisors");
  most("machines", s.sizes.machines, s.sizes.supervisors, "supervisors");
  most("services", s.sizes.services, s.sizes.servers, "servers");
  most("racks", s.sizes.racks, s.sizes.servers, "servers");
  most("regions", s.sizes.regions, s.sizes.zones, "zones");
  for (const Step& e : s.events) {
    if (e.at > s.measured)
      complaints.push_back({e.place, "event.at", std::to_string(e.at / 1000) + "ms",
                            "a time within run.measured, " + std::to_string(s.measured / 1000) + "ms"});
  }
}

// Sizes and rates that a sweep may set, by their name in the file.
double* rateOf(Scenario& s, const std::string& name) {
  if (name == "requests") return &s.requests;
  if (name == "changes-per-minute") return &s.changesPerMinute;
  return nullptr;
}
int* sizeOf(Scenario& s, const std::string& name) {
  const std::pair<const char*, int*> all[] = {
      {"supervisors", &s.sizes.supervisors}, {"machines", &s.sizes.machines}, {"real", &s.sizes.real},
      {"servers", &s.sizes.servers},         {"services", &s.sizes.services}, {"racks", &s.sizes.racks},
      {"slices", &s.sizes.slices},           {"proxies", &s.sizes.proxies},   {"zones", &s.sizes.zones},
      {"regions", &s.sizes.regions},         {"tenants", &s.sizes.tenants},   {"reported", &s.reported}};
  for (const auto& [known, place] : all) {
    if (name == known) return place;
  }
  return nullptr;
}

}  // namespace

std::string settingsTable() { return op::tableOf(schema()); }

Scenario parseScenario(const std::string& text, const std::string& file) {
  std::vector<op::Complaint> complaints;
  const Section top = op::check(schema(), kdl::parse(text), complaints);
  refuse(complaints, file);
  Scenario s;
  s.file = file;
  s.name = top.one("name").text;
  s.seed = static_cast<std::uint64_t>(top.whole("seed"));
  s.bound = top.micros("bound");
  s.checked = top.one("checked").yes;
  s.sizes = sizesOf(top.block("sizes"));
  s.sizesPlace = top.block("sizes").place;
  const Section& rates = top.block("rates");
  s.reportsEvery = rates.micros("reports-every");
  s.reported = static_cast<int>(rates.whole("reported"));
  s.requests = rates.one("requests").number;
  s.changesPerMinute = rates.one("changes-per-minute").number;
  const Section& run = top.block("run");
  s.warmUp = run.micros("warm-up");
  s.measured = run.micros("measured");
  s.settle = run.micros("settle");
  s.processesMost = static_cast<int>(run.whole("processes"));
  if (const auto events = top.blocks.find("event"); events != top.blocks.end()) {
    for (const Section& e : events->second) {
      if (!e.given) continue;
      s.events.push_back({happening(e.one("what").text), e.micros("at"), static_cast<int>(e.whole("count")),
                          e.micros("back"), e.place});
    }
  }
  std::stable_sort(s.events.begin(), s.events.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  checkTogether(s, top, complaints);
  refuse(complaints, file);
  return s;
}

Scenario loadScenario(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in || text.str().empty())
    throw Wrong(path + ":1:1: file: found nothing that can be read, expected a scenario");
  return parseScenario(text.str(), path);
}

void set(Scenario& scenario, const std::string& variable, double value) {
  if (double* rate = rateOf(scenario, variable); rate != nullptr && value >= 0) {
    *rate = value;
    return;
  }
  int* const size = sizeOf(scenario, variable);
  const bool mayBeNone = variable == "real" || variable == "tenants" || variable == "reported";
  if (size == nullptr || value < (mayBeNone ? 0 : 1) || value > 1e6)
    throw Wrong("sweep: found " + variable + "=" + std::to_string(value) +
                ", expected a size or rate of the scenario's file and a value that it may have");
  *size = static_cast<int>(value);
}

void trim(Scenario& scenario) {
  Sizes& s = scenario.sizes;
  s.machines = std::min(s.machines, s.supervisors);
  s.real = std::min(s.real, s.supervisors);
  s.services = std::min(s.services, s.servers);
  s.racks = std::min(s.racks, s.servers);
  s.regions = std::min(s.regions, s.zones);
}

double valueOf(const Scenario& scenario, const std::string& variable) {
  Scenario copy = scenario;
  if (const double* rate = rateOf(copy, variable)) return *rate;
  const int* size = sizeOf(copy, variable);
  return size == nullptr ? 0 : *size;
}

Needs needsOf(const Scenario& s) {
  const std::int64_t supervisors = s.sizes.supervisors, servers = s.sizes.servers, zones = s.sizes.zones;
  Needs needs;
  // The fleet itself, discovery, the relay, the collectors, the control machines, the real supervisors.
  const int parts = 4 + s.sizes.machines;
  needs.processes = parts + s.sizes.real;
  const std::int64_t each = kSupervisor + servers * (kServerKnown + zones * kServerMet) +
                            s.sizes.proxies * kProxyKnown + (s.checked ? servers * kCheckedEntry : 0);
  needs.memoryBytes = parts * kProcess + supervisors * each + s.sizes.real * kReal;
  const std::int64_t machine = (supervisors + s.sizes.machines - 1) / s.sizes.machines;
  needs.descriptors = kOwnDescriptors + std::max({supervisors * std::max<std::int64_t>(zones, kPeerSockets),
                                                  machine * (zones + kPeerSockets)});
  return needs;
}

void refuseTooLarge(const Scenario& s, const Machine& machine) {
  const Needs needs = needsOf(s);
  std::vector<op::Complaint> complaints;
  const auto megabytes = [](std::int64_t bytes) { return std::to_string(bytes >> 20) + " MB"; };
  if (needs.memoryBytes > machine.memoryBytes / 2)
    complaints.push_back(
        {s.sizesPlace, "sizes", "a fleet of about " + megabytes(needs.memoryBytes),
         "no more than half of this machine's memory, " + megabytes(machine.memoryBytes / 2)});
  if (needs.processes > s.processesMost)
    complaints.push_back({s.sizesPlace, "sizes",
                          "a fleet of " + std::to_string(needs.processes) + " processes",
                          "no more than run.processes, " + std::to_string(s.processesMost)});
  if (needs.descriptors > machine.descriptors)
    complaints.push_back({s.sizesPlace, "sizes",
                          "a process with " + std::to_string(needs.descriptors) + " descriptors",
                          "no more than a process may hold here, " + std::to_string(machine.descriptors)});
  refuse(complaints, s.file);
}

}  // namespace peargrade::scale
