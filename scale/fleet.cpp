#include "scale/fleet.h"

#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <ostream>
#include <thread>

#include "scale/collectorpart.h"
#include "scale/discoverypart.h"
#include "scale/relaypart.h"
#include "scale/world.h"

namespace peargrade::scale {
namespace {

constexpr Micros kPoll = 20000;
constexpr double kSocketGrace = 0.3;       // s; the rules on sockets grant it beside the settings' figures
constexpr double kReaderBehind = 1 << 20;  // bytes; who is so far behind at the relay is cut off
constexpr double kUnread = 128 << 10;  // bytes; who leaves so much unread is reset, by the protocol's page
constexpr double kTimersASecond = 4;   // the module's sweep
constexpr double kPaceLeast = 0.75;    // of them; fewer, and the machine is too slow for the run
constexpr Micros kPaceFrom = 2000000;  // shorter measurements have too few of them
constexpr double kPeriodsUnread = 3;   // of a collector

net::Address local(double port) { return {"127.0.0.1", static_cast<std::uint16_t>(port)}; }

double seconds(Micros span) { return static_cast<double>(span) / 1e6; }

double grown(const Figures& from, const Figures& to, const std::string& name) {
  return one(to, name) - one(from, name);
}

std::string fixed(double value) {
  char text[64];
  std::snprintf(text, sizeof text, "%.3f", value);
  return text;
}

Property atMost(const std::string& name, double value, double limit, const std::string& unit) {
  return {name, value <= limit, fixed(value) + " " + unit + ", limit " + fixed(limit) + " " + unit};
}

}  // namespace

bool Report::held() const {
  return std::all_of(properties.begin(), properties.end(), [](const Property& p) { return p.held; });
}

Fleet::Fleet(const Scenario& scenario, std::string program, std::ostream& progress)
    : scenario_(scenario), program_(std::move(program)), progress_(progress) {
  refuseTooLarge(scenario, machine());
  deadline_ = net::steadyNow() + scenario.bound;
}

Fleet::~Fleet() {
  reals_.clear();
  if (!folder_.empty()) rmdir(folder_.c_str());
}

double Fleet::hollow() const { return scenario_.sizes.supervisors - scenario_.sizes.real; }

// ---- Start ----

void Fleet::start() {
  const Sizes& sizes = scenario_.sizes;
  progress_ << scenario_.name << ": seed " << scenario_.seed << ", " << sizes.supervisors << " supervisors ("
            << sizes.real << " real) on " << sizes.machines << " machines, " << sizes.servers << " servers, "
            << sizes.slices << " slices each, " << sizes.proxies << " proxies, " << sizes.zones << " zones\n"
            << std::flush;
  const Scenario& scenario = scenario_;
  discovery_ = std::make_unique<Child>(
      "discovery", [&](event_base* base) { return std::make_unique<DiscoveryPart>(base, scenario); },
      deadline_);
  relay_ = std::make_unique<Child>(
      "relay", [&](event_base* base) { return std::make_unique<RelayPart>(base, scenario); }, deadline_);
  collectors_ = std::make_unique<Child>(
      "collectors", [&](event_base* base) { return std::make_unique<CollectorPart>(base, scenario); },
      deadline_);
  const Figures discovery = discovery_->ask("addresses");
  surroundings_.discovery = local(discovery.at("port").at(0));
  surroundings_.otherDiscovery = local(discovery.at("port").at(1));
  const Figures relays = relay_->ask("addresses");
  for (const double port : relays.at("port")) surroundings_.relays.push_back(local(port));
  for (int k = 0; k < sizes.supervisors; ++k)
    surroundings_.listen.push_back(k < sizes.real ? ownAddress(k) : local(0));
  onMachine_.resize(static_cast<std::size_t>(sizes.machines));
  const int share = static_cast<int>(std::ceil(hollow() / sizes.machines));
  for (int k = sizes.real; k < sizes.supervisors; ++k)
    onMachine_[static_cast<std::size_t>((k - sizes.real) / share)].push_back(k);
  machines_.resize(onMachine_.size());
  startReals();
  for (std::size_t k = 0; k < machines_.size(); ++k) startMachine(k);
  until("start", [this] { return up(); });
  firstListBytes_ = one(discovery_->ask("sample"), "list_out_bytes") / sizes.supervisors;
}

void Fleet::startReals() {
  if (scenario_.sizes.real == 0) return;
  char folder[] = "/tmp/peargrade_scale_XXXXXX";
  const char* const temporary = std::getenv("TMPDIR");
  std::string path = temporary == nullptr ? folder : std::string(temporary) + "/peargrade_scale_XXXXXX";
  if (mkdtemp(path.data()) == nullptr) throw Failed("no folder for the real supervisors: " + path);
  folder_ = path;
  std::vector<int> started;
  for (int k = 0; k < scenario_.sizes.real; ++k) {
    const auto at = static_cast<std::size_t>(k);
    reals_.push_back(std::make_unique<Real>(program_, folder_, "n" + std::to_string(k),
                                            configText(scenario_, k, surroundings_.listen[at],
                                                       surroundings_.discovery, surroundings_.relays[at])));
    started.push_back(k);
  }
  meet(started);
}

void Fleet::startMachine(std::size_t machine) {
  const std::vector<int>& supervisors = onMachine_[machine];
  const Scenario& scenario = scenario_;
  machines_[machine] = std::make_unique<Child>(
      "machine " + std::to_string(machine),
      [&](event_base* base) {
        return std::make_unique<MachinePart>(base, scenario, surroundings_, supervisors);
      },
      deadline_);
  const Figures figures = machines_[machine]->ask("addresses");
  for (std::size_t k = 0; k < supervisors.size(); ++k)
    surroundings_.listen[static_cast<std::size_t>(supervisors[k])] = local(figures.at("port").at(k));
  meet(supervisors);
}

// Collectors are told where they are.
void Fleet::meet(const std::vector<int>& supervisors) {
  for (const int k : supervisors) {
    const net::Address& at = surroundings_.listen[static_cast<std::size_t>(k)];
    collectors_->ask("dial " + std::to_string(k) + " " + at.host + " " + std::to_string(at.port));
  }
}

// Every supervisor is seen by discovery, by its relay and by every collector, and has its list.
bool Fleet::up() {
  check();
  const Figures watches = discovery_->ask("watches");
  if (one(watches, "first") + one(watches, "second") < scenario_.sizes.supervisors) return false;
  if (one(relay_->ask("watches"), "standing") < scenario_.sizes.supervisors) return false;
  const Figures links = collectors_->ask("connected");
  if (one(links, "connected") < one(links, "of")) return false;
  double listed = 0;
  for (const auto& machine : machines_) {
    if (machine) listed += one(machine->ask("status"), "listed");
  }
  return listed >= hollow();
}

// That no part has ended by itself.
void Fleet::check() {
  for (const auto& real : reals_) {
    if (real->ended()) throw Failed("a real supervisor has ended by itself");
  }
  for (const auto& machine : machines_) {
    if (machine) machine->check();
  }
  for (Child* child : {discovery_.get(), relay_.get(), collectors_.get()}) child->check();
}

void Fleet::until(const char* what, const std::function<bool()>& holds) {
  while (!holds()) {
    check();
    if (net::steadyNow() >= deadline_)
      throw OutOfTime(std::string(what) + ": not done by the end of the run's time");
    std::this_thread::sleep_for(std::chrono::microseconds(kPoll));
  }
}

// Lets time pass and what is due meanwhile happen.
void Fleet::pass(Micros until) {
  while (true) {
    const Micros now = net::steadyNow();
    if (now >= deadline_) throw OutOfTime("ended by its bound of " + fixed(seconds(scenario_.bound)) + " s");
    if (!agenda_.empty() && agenda_.begin()->first <= now) {
      const auto due = std::move(agenda_.begin()->second);
      agenda_.erase(agenda_.begin());
      due();
      continue;
    }
    if (now >= until) return;
    Micros next = std::min(until, deadline_);
    if (!agenda_.empty()) next = std::min(next, agenda_.begin()->first);
    std::this_thread::sleep_for(std::chrono::microseconds(std::max<Micros>(0, next - now)));
  }
}

Fleet::Sample Fleet::sample() {
  Sample s;
  std::vector<Child*> all{discovery_.get(), relay_.get(), collectors_.get()};
  for (const auto& machine : machines_) {
    if (machine) all.push_back(machine.get());
  }
  for (Child* child : all) child->tell("sample");
  s.at = net::steadyNow();
  for (const auto& real : reals_) s.reals.push_back(real->spent());
  s.discovery = discovery_->answer();
  s.relay = relay_->answer();
  s.collectors = collectors_->answer();
  for (const auto& machine : machines_) {
    s.machines.push_back(machine ? machine->answer() : Figures{});
    s.processes.push_back(machine ? machine->process() : -1);
    withoutMost_ = std::max(withoutMost_, one(s.machines.back(), "without_list_most_s"));
  }
  return s;
}

Report Fleet::run() {
  start();
  progress_ << scenario_.name << ": all up, first list " << fixed(firstListBytes_) << " bytes each\n"
            << std::flush;
  pass(net::steadyNow() + scenario_.warmUp);
  const Sample from = sample();
  // From the start to here supervisors were without a list because they had just begun.
  const double withoutAtStart = std::exchange(withoutMost_, 0);
  for (const Step& step : scenario_.events)
    agenda_.emplace(from.at + step.at, [this, &step] { happens(step); });
  pass(from.at + scenario_.measured);
  const Sample to = sample();
  pass(net::steadyNow() + scenario_.settle);
  const Sample end = scenario_.settle > 0 ? sample() : to;

  Report report;
  double members = 0;
  for (std::size_t k = 0; k < machines_.size(); ++k)
    members += machines_[k] ? static_cast<double>(onMachine_[k].size()) : 0;
  report.records.push_back(supervisors(from, to, members));
  report.records.back().metrics["without_list_at_start_s"] = withoutAtStart;
  addTimes(report.records.back());
  if (!reals_.empty()) report.records.push_back(reals(from, to));
  for (Record& record : others(from, to)) report.records.push_back(std::move(record));
  report.properties = properties(end);
  if (scenario_.measured >= kPaceFrom && hollow() > 0) {
    const double timers = report.records.front().metrics["timers_per_s"];
    report.properties.push_back({"supervisors keep their pace", timers >= kPaceLeast * kTimersASecond,
                                 fixed(timers) + " timers a second, of " + fixed(kTimersASecond)});
  }
  return report;
}

// ---- What happens ----

void Fleet::happens(const Step& step) {
  switch (step.what) {
    case Happening::Change:
      return change(step.count);
    case Happening::KillMachine:
      return kill(step);
    case Happening::Reload:
      return reload();
    case Happening::BreakWatches: {
      const Micros at = net::steadyNow();
      discovery_->ask("break");
      progress_ << scenario_.name << ": all watches broken\n" << std::flush;
      until("watches again", [this] {
        const Figures watches = discovery_->ask("watches");
        return one(watches, "first") + one(watches, "second") >= scenario_.sizes.supervisors;
      });
      rewatchSeconds_.push_back(seconds(net::steadyNow() - at));
      return;
    }
  }
}

void Fleet::change(int entries) {
  const Figures f = discovery_->ask("change " + std::to_string(entries));
  changed_.push_back({one(f, "at"), static_cast<std::int64_t>(one(f, "revision"))});
  for (std::size_t k = 0; k < f.at("server").size(); ++k)
    relay_->ask("server " + std::to_string(static_cast<int>(f.at("server")[k])) +
                (f.at("drains")[k] > 0 ? " 0" : " 1"));
}

void Fleet::kill(const Step& step) {
  const auto standing =
      std::find_if(machines_.begin(), machines_.end(), [](const auto& m) { return m != nullptr; });
  if (standing == machines_.end()) return;
  const auto machine = static_cast<std::size_t>(standing - machines_.begin());
  machines_[machine]->kill();
  machines_[machine].reset();
  for (const int k : onMachine_[machine]) collectors_->ask("gone " + std::to_string(k));
  progress_ << scenario_.name << ": machine " << machine << " lost, " << onMachine_[machine].size()
            << " supervisors\n"
            << std::flush;
  agenda_.emplace(net::steadyNow() + step.back, [this, machine] { back(machine); });
}

void Fleet::back(std::size_t machine) {
  const Micros at = net::steadyNow();
  startMachine(machine);
  until("machine back", [this] { return up(); });
  backSeconds_.push_back(seconds(net::steadyNow() - at));
  progress_ << scenario_.name << ": machine " << machine << " back\n" << std::flush;
}

// Every supervisor's configuration names the other discovery; in force once its watch stands there.
void Fleet::reload() {
  const Micros at = net::steadyNow();
  for (const auto& machine : machines_) machine->tell("reload 1");
  for (std::size_t k = 0; k < reals_.size(); ++k)
    reals_[k]->reload(configText(scenario_, static_cast<int>(k), surroundings_.listen[k],
                                 surroundings_.otherDiscovery, surroundings_.relays[k]));
  for (const auto& machine : machines_) machine->answer();
  until("reload",
        [this] { return one(discovery_->ask("watches"), "second") >= scenario_.sizes.supervisors; });
  const Figures moved = discovery_->ask("moved");
  for (const double when : moved.at("at")) reloadSeconds_.push_back((when - static_cast<double>(at)) / 1e6);
}

// ---- What came of it ----

Record Fleet::record(const char* role, double span) const {
  Record r;
  r.scenario = scenario_.name;
  r.role = role;
  r.machine = machine();
  r.seed = scenario_.seed;
  r.seconds = span;
  r.sizes = sizesOf(scenario_);
  return r;
}

// Of the hollow ones: their processes' accounts, and what their peers have counted, over their number.
Record Fleet::supervisors(const Sample& from, const Sample& to, double members) const {
  const double span = seconds(to.at - from.at);
  Record r = record("supervisor", span);
  auto& m = r.metrics;
  const double all = scenario_.sizes.supervisors;
  for (std::size_t k = 0; k < to.machines.size(); ++k) {
    if (from.machines[k].empty() || to.machines[k].empty()) continue;
    // One that was lost and came back began anew.
    const bool anew = from.processes[k] != to.processes[k];
    const Figures& begin = anew ? Figures{} : from.machines[k];
    for (const auto& [name, figure] : {std::pair<const char*, const char*>{"cpu_share", "cpu_s"},
                                       {"allocations_per_s", "allocations"},
                                       {"events_per_s", "events"},
                                       {"reports_in_messages_per_s", "reports"},
                                       {"news_in_messages_per_s", "news"},
                                       {"calls_per_s", "calls"},
                                       {"timers_per_s", "timers"},
                                       {"configuration_in_bytes_per_s", "configuration_in_bytes"},
                                       {"configuration_in_messages_per_s", "configuration_in_messages"}})
      m[name] += grown(begin, to.machines[k], figure) / span / members;
    m["resident_bytes"] += one(to.machines[k], "resident_bytes") / members;
    m["state_bytes"] += one(to.machines[k], "state_bytes") / members;
    m["replies_missed"] += one(to.machines[k], "replies_missed");
  }
  const Sizes& s = scenario_.sizes;
  m["state_entries"] = static_cast<double>(s.servers) * (1 + s.zones) + s.slices + s.proxies;
  m["first_list_bytes"] = firstListBytes_;
  m["list_in_bytes_per_s"] = grown(from.discovery, to.discovery, "list_out_bytes") / span / all;
  m["list_in_messages_per_s"] = grown(from.discovery, to.discovery, "list_out_messages") / span / all;
  m["list_out_bytes_per_s"] = grown(from.discovery, to.discovery, "list_in_bytes") / span / all;
  m["list_out_messages_per_s"] = grown(from.discovery, to.discovery, "list_in_messages") / span / all;
  double newsBytes = 0;
  for (const char* kind : {"standing", "attach", "detach", "owner", "done", "life", "other"})
    newsBytes += grown(from.relay, to.relay, std::string("out.") + kind + ".bytes");
  m["news_in_bytes_per_s"] = newsBytes / span / all;
  m["orders_out_bytes_per_s"] = grown(from.relay, to.relay, "in.apply.bytes") / span / all;
  m["orders_out_messages_per_s"] = grown(from.relay, to.relay, "in.apply.messages") / span / all;
  m["orders_in_bytes_per_s"] = grown(from.relay, to.relay, "out.answer.bytes") / span / all;
  m["orders_in_messages_per_s"] = grown(from.relay, to.relay, "out.answer.messages") / span / all;
  m["reports_in_bytes_per_s"] = grown(from.collectors, to.collectors, "reports_out_bytes") / span / all;
  m["control_bytes_per_s"] = m["list_in_bytes_per_s"] + m["list_out_bytes_per_s"] + m["news_in_bytes_per_s"] +
                             m["orders_out_bytes_per_s"] + m["orders_in_bytes_per_s"] +
                             m["reports_in_bytes_per_s"];
  m["longest_without_list_s"] = withoutMost_;
  return r;
}

Record Fleet::reals(const Sample& from, const Sample& to) const {
  const double span = seconds(to.at - from.at);
  Record r = record("supervisor", span);
  r.scenario += "/real";
  const double count = static_cast<double>(to.reals.size());
  for (std::size_t k = 0; k < to.reals.size(); ++k) {
    r.metrics["cpu_share"] += (to.reals[k].cpuSeconds - from.reals[k].cpuSeconds) / span / count;
    r.metrics["resident_bytes"] += static_cast<double>(to.reals[k].residentBytes) / count;
  }
  return r;
}

std::vector<Record> Fleet::others(const Sample& from, const Sample& to) const {
  const double span = seconds(to.at - from.at);
  const auto base = [&](const char* role, const Figures& a, const Figures& b, double members) {
    Record r = record(role, span);
    r.metrics["cpu_share"] = grown(a, b, "cpu_s") / span / members;
    for (const char* name : {"resident_bytes", "state_bytes", "state_entries"})
      r.metrics[name] = one(b, name) / members;
    r.metrics["unsent_most_bytes"] = one(b, "unsent_most");
    return r;
  };
  Record discovery = base("discovery", from.discovery, to.discovery, 1);
  for (const char* name : {"list_in_bytes", "list_out_bytes", "list_in_messages", "list_out_messages"})
    discovery.metrics[std::string(name) + "_per_s"] = grown(from.discovery, to.discovery, name) / span;

  Record relay = base("relay", from.relay, to.relay, 1);
  for (const auto& [name, value] : to.relay) {
    // "in.apply.bytes" -> "apply_in_bytes_per_s"
    const bool in = name.compare(0, 3, "in.") == 0, out = name.compare(0, 4, "out.") == 0;
    if (!in && !out) continue;
    const std::string rest = name.substr(in ? 3 : 4);
    const auto dot = rest.find('.');
    relay.metrics[rest.substr(0, dot) + (in ? "_in_" : "_out_") + rest.substr(dot + 1) + "_per_s"] =
        grown(from.relay, to.relay, name) / span;
  }
  relay.metrics["cpu_share"] -= grown(from.relay, to.relay, "proxy.cpu_s") / span;

  const double zones = scenario_.sizes.zones;
  Record collector = base("collector", from.collectors, to.collectors, zones);
  for (const char* name : {"reports_out_bytes", "reports_out_messages"})
    collector.metrics[std::string(name) + "_per_s"] =
        grown(from.collectors, to.collectors, name) / span / zones;
  collector.metrics["late_periods"] = grown(from.collectors, to.collectors, "late_periods");

  Record proxy = record("proxy", span);
  proxy.metrics["cpu_share"] = grown(from.relay, to.relay, "proxy.cpu_s") / span;
  proxy.metrics["state_entries"] = one(to.relay, "proxy.entries");
  proxy.metrics["state_bytes"] = one(to.relay, "proxy.bytes");
  proxy.metrics["orders_in_messages_per_s"] = grown(from.relay, to.relay, "proxy.messages") / span;
  proxy.metrics["orders_in_bytes_per_s"] = grown(from.relay, to.relay, "proxy.message_bytes") / span;

  Record configuration = record("configuration", span);
  double bytes = 0, messages = 0, held = 0;
  for (std::size_t k = 0; k < to.machines.size(); ++k) {
    const Figures& begin = from.processes[k] == to.processes[k] ? from.machines[k] : Figures{};
    bytes += grown(begin, to.machines[k], "configuration_in_bytes");
    messages += grown(begin, to.machines[k], "configuration_in_messages");
  }
  for (int k = 0; k < scenario_.sizes.supervisors; ++k) {
    const auto at = static_cast<std::size_t>(k);
    held += static_cast<double>(
        configText(scenario_, k, surroundings_.listen[at], surroundings_.discovery, surroundings_.relays[at])
            .size());
  }
  configuration.metrics = {{"state_entries", scenario_.sizes.supervisors},
                           {"state_bytes", held},
                           {"configuration_out_bytes_per_s", bytes / span},
                           {"configuration_out_messages_per_s", messages / span}};
  return {discovery, relay, collector, proxy, configuration};
}

// From a change to the last supervisor that has given it to its module; and from a reload to the last watch.
void Fleet::addTimes(Record& record) {
  std::vector<double> times;
  int missing = 0;
  for (const Changed& change : changed_) {
    for (const auto& machine : machines_) {
      if (!machine) continue;
      const Figures known = machine->ask("known " + std::to_string(change.revision));
      for (std::size_t k = 0; k < known.at("at").size(); ++k) {
        const double at = known.at("at")[k];
        // One that began after the change was told of it with its first list.
        if (at < 0)
          ++missing;
        else if (known.at("born")[k] <= change.at)
          times.push_back((at - change.at) / 1e6);
      }
    }
  }
  const auto add = [&](const std::string& name, const std::vector<double>& all) {
    if (all.empty()) return;
    record.metrics[name + "_p50_s"] = quantile(all, 0.5);
    record.metrics[name + "_p99_s"] = quantile(all, 0.99);
    record.metrics[name + "_worst_s"] = quantile(all, 1);
  };
  notMoved_ = missing;
  if (!changed_.empty()) record.metrics["changes_unknown"] = missing;
  add("time_to_force", times);
  add("time_to_reload", reloadSeconds_);
  add("time_to_watch_again", rewatchSeconds_);
  add("time_to_return", backSeconds_);
}

// The rules as far as hollow members see them, and what must not be lost or grow.
std::vector<Property> Fleet::properties(const Sample& end) {
  std::vector<Property> all;
  all.push_back(atMost("list asked for in time", withoutMost_, seconds(kAskWithin), "s without a list"));
  all.push_back(atMost("no slice bare for longer", one(end.relay, "bare_most_s"),
                       seconds(kBareMost) + kSocketGrace, "s"));
  all.push_back(atMost("drains are left in time", one(end.relay, "stale_most_s"),
                       seconds(kDrainGrace) + kSocketGrace, "s"));
  all.push_back(atMost("messages to a proxy", one(end.relay, "calls_most"), kMessagesMost, "in 10 s"));
  all.push_back(
      atMost("lines waiting in a channel", one(end.relay, "lines_waiting_most"), kLinesWaitingMost, "lines"));
  double lost = 0;
  for (const Figures& machine : end.machines) lost += one(machine, "orders_lost");
  all.push_back(atMost("no order lost", lost, 0, "orders"));
  all.push_back(atMost("every change is known", notMoved_, 0, "supervisors without it"));
  const double listBytes = std::max(kUnread, 2 * firstListBytes_);
  all.push_back(
      atMost("discovery's queue to a watch", one(end.discovery, "unsent_most"), listBytes, "bytes"));
  all.push_back(
      atMost("the relay's queue to a reader", one(end.relay, "unsent_most"), kReaderBehind, "bytes"));
  const int reported = scenario_.reported == 0 ? scenario_.sizes.servers : scenario_.reported;
  constexpr double kReportBytes = 110;
  all.push_back(atMost("a collector's queue", one(end.collectors, "unsent_most"),
                       std::max(kUnread, kPeriodsUnread * reported * kReportBytes), "bytes"));
  if (!scenario_.checked) return all;
  const Figures truth = discovery_->ask("digest");
  double other = 0, seen = 0;
  for (const auto& machine : machines_) {
    if (!machine) continue;
    const Figures digest = machine->ask("digest");
    for (std::size_t k = 0; k < digest.at("entries").size(); ++k) {
      ++seen;
      other += digest.at("hash_high")[k] != truth.at("hash")[0] ||
               digest.at("hash_low")[k] != truth.at("hash")[1] ||
               digest.at("entries")[k] != one(truth, "entries");
    }
  }
  all.push_back(atMost("nothing told is lost", other, 0, "of " + fixed(seen) + " lists differ"));
  return all;
}

}  // namespace peargrade::scale
