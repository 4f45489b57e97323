#include "scale/machinepart.h"

#include <unistd.h>

#include <algorithm>

#include "scale/discoverypart.h"
#include "scale/world.h"

namespace peargrade::scale {
namespace {

constexpr int kDescriptors = 1024;       // that each may hold, as on a day of the bench
constexpr std::size_t kToldMost = 4096;  // revisions that are remembered

}  // namespace

MachinePart::MachinePart(event_base* base, const Scenario& scenario, const Dependencies& surroundings,
                         const std::vector<int>& supervisors)
    : scenario_(scenario), surroundings_(surroundings), log_(STDERR_FILENO, log::Level::Error) {
  heapBefore_ = heapBytes();
  for (const int number : supervisors) {
    members_.push_back(std::make_unique<Member>());
    Member& member = *members_.back();
    member.number = number;
    member.born = member.withoutSince = net::steadyNow();
    member.node = std::make_unique<supervisor::SupervisorInstance>(
        base, configOf(number), [this, number] { return configOf(number); }, log_, kDescriptors);
    member.node->onEvent([this, &member](const peargrade::Event& event) { onEvent(member, event); });
  }
}

// Read from its text, as from a file.
config::Config MachinePart::configOf(int supervisor) const {
  const auto at = static_cast<std::size_t>(supervisor);
  const std::string text =
      configText(scenario_, supervisor, surroundings_.listen[at],
                 moved_ ? surroundings_.otherDiscovery : surroundings_.discovery, surroundings_.relays[at]);
  configurationBytes_ += text.size();
  ++configurationReads_;
  return config::parse(text, [](const char*) { return std::nullopt; });
}

void MachinePart::turn() {
  for (const auto& member : members_) member->node->turn();
}

bool MachinePart::waiting() const {
  return std::any_of(members_.begin(), members_.end(),
                     [](const auto& member) { return member->node->hasEvents(); });
}

void MachinePart::onEvent(Member& member, const peargrade::Event& event) {
  ++member.events;
  if (std::holds_alternative<ServerLoadReport>(event) || std::holds_alternative<SliceLoadReport>(event))
    ++member.reports;
  else if (const auto* news = std::get_if<EndpointListUpdate>(&event))
    onList(member, *news);
  else if (const auto* told = std::get_if<UpdateDelivery>(&event))
    member.missed += told->outcome != DeliveryOutcome::Accepted;
  else if (std::holds_alternative<TimerFired>(event))
    ++member.timers;
  else
    ++member.news;
}

void MachinePart::onList(Member& member, const EndpointListUpdate& news) {
  const Micros now = net::steadyNow();
  if (news.kind == EndpointListKind::Cached) return;
  ++member.lists;
  if (news.kind == EndpointListKind::Failed) {
    if (member.withoutSince == 0) member.withoutSince = now;
    return;
  }
  if (member.withoutSince != 0)
    member.withoutMost = std::max(member.withoutMost, now - std::exchange(member.withoutSince, 0));
  if (member.told.size() >= kToldMost) member.told.erase(member.told.begin());
  member.told.emplace_back(news.version, now);
  if (!scenario_.checked) return;
  if (news.kind == EndpointListKind::Full) member.view.clear();
  for (const Endpoint& entry : news.endpoints) {
    if (entry.state == EndpointState::Removed)
      member.view.erase(entry.server);
    else
      member.view[entry.server] = entry.state == EndpointState::Draining;
  }
}

Figures MachinePart::sample() {
  Figures f;
  const Spent spent = spentHere();
  f["cpu_s"] = {spent.cpuSeconds};
  f["resident_bytes"] = {static_cast<double>(spent.residentBytes)};
  f["state_bytes"] = {static_cast<double>(heapBytes() - heapBefore_)};
  f["allocations"] = {static_cast<double>(allocations())};
  f["configuration_in_bytes"] = {static_cast<double>(configurationBytes_)};
  f["configuration_in_messages"] = {static_cast<double>(configurationReads_)};
  double events = 0, reports = 0, news = 0, lists = 0, missed = 0, connections = 0, calls = 0, lost = 0;
  double timers = 0;
  Micros without = 0;
  const Micros now = net::steadyNow();
  for (const auto& m : members_) {
    events += static_cast<double>(m->events);
    reports += static_cast<double>(m->reports);
    news += static_cast<double>(m->news);
    lists += static_cast<double>(m->lists);
    missed += static_cast<double>(m->missed);
    timers += static_cast<double>(m->timers);
    connections += static_cast<double>(m->node->connections());
    calls += static_cast<double>(m->node->calls().calls);
    lost += static_cast<double>(m->node->calls().commandsLost);
    without = std::max({without, m->withoutMost, m->withoutSince == 0 ? 0 : now - m->withoutSince});
    m->withoutMost = 0;
  }
  f["events"] = {events};
  f["reports"] = {reports};
  f["news"] = {news};
  f["lists"] = {lists};
  f["timers"] = {timers};
  f["replies_missed"] = {missed};
  f["orders_lost"] = {lost};
  f["calls"] = {calls};
  f["connections"] = {connections};
  f["without_list_most_s"] = {static_cast<double>(without) / 1e6};
  return f;
}

Figures MachinePart::on(const Words& words) {
  const std::string& verb = words.at(0);
  if (verb == "sample") return sample();
  Figures f;
  if (verb == "addresses") {
    for (const auto& m : members_) f["port"].push_back(m->node->address().port);
    return f;
  }
  if (verb == "status") {
    double ready = 0, listed = 0;
    for (const auto& m : members_) {
      ready += m->node->ready();
      listed += !m->told.empty();
    }
    return {{"ready", {ready}}, {"listed", {listed}}};
  }
  if (verb == "known") {
    const std::int64_t revision = std::stoll(words.at(1));
    for (const auto& m : members_) {
      const auto at = std::find_if(m->told.begin(), m->told.end(),
                                   [&](const auto& told) { return told.first >= revision; });
      f["at"].push_back(at == m->told.end() ? -1 : static_cast<double>(at->second));
      f["born"].push_back(static_cast<double>(m->born));
    }
    return f;
  }
  if (verb == "digest") {
    for (const auto& m : members_) {
      std::uint64_t sum = 0;
      for (const auto& [server, drains] : m->view) sum += entryHash(server, drains);
      f["hash_high"].push_back(static_cast<double>(sum >> 32));
      f["hash_low"].push_back(static_cast<double>(sum & 0xffffffffu));
      f["entries"].push_back(static_cast<double>(m->view.size()));
    }
    return f;
  }
  if (verb == "reload") {
    moved_ = words.at(1) == "1";
    f["at"] = {static_cast<double>(net::steadyNow())};
    for (const auto& m : members_) m->node->reload();
    return f;
  }
  throw Failed("a control machine is not asked '" + verb + "'");
}

}  // namespace peargrade::scale
