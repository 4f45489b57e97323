#include "scale/control_machine_worker.h"

#include <unistd.h>

#include <algorithm>

#include "scale/discovery_worker.h"
#include "scale/fleet_layout.h"

namespace peargrade::scale {
namespace {

constexpr int kMaxDescriptors = 1024;        // limit of each supervisor
constexpr std::size_t kMaxRevisions = 4096;  // kept for each supervisor

}  // namespace

ControlMachineWorker::ControlMachineWorker(event_base* base, const Scenario& scenario,
                                           const FleetAddresses& addresses,
                                           const std::vector<int>& supervisors)
    : scenario_(scenario), addresses_(addresses), log_(STDERR_FILENO, log::Level::Error) {
  initialHeapBytes_ = heapBytes();
  for (const int number : supervisors) {
    members_.push_back(std::make_unique<Member>());
    Member& member = *members_.back();
    member.number = number;
    member.startedAt = member.withoutListSince = net::steadyNow();
    member.node = std::make_unique<supervisor::SupervisorInstance>(
        base, configOf(number), [this, number] { return configOf(number); }, log_, kMaxDescriptors);
    member.node->onEvent([this, &member](const peargrade::Event& event) { onEvent(member, event); });
  }
}

// Parses the text of the configuration, so that its cost is that of reading a file.
config::Config ControlMachineWorker::configOf(int supervisor) const {
  const auto index = static_cast<std::size_t>(supervisor);
  const std::string text = configText(scenario_, supervisor, addresses_.listen[index],
                                      useOtherDiscovery_ ? addresses_.otherDiscovery : addresses_.discovery,
                                      addresses_.relays[index]);
  configurationBytes_ += text.size();
  ++configurationReads_;
  return config::parse(text, [](const char*) { return std::nullopt; });
}

void ControlMachineWorker::beforeLoopIteration() {
  for (const auto& member : members_) member->node->turn();
}

bool ControlMachineWorker::hasPendingWork() const {
  return std::any_of(members_.begin(), members_.end(),
                     [](const auto& member) { return member->node->hasEvents(); });
}

void ControlMachineWorker::onEvent(Member& member, const peargrade::Event& event) {
  ++member.events;
  if (std::holds_alternative<ServerLoadReport>(event) || std::holds_alternative<SliceLoadReport>(event))
    ++member.reports;
  else if (const auto* update = std::get_if<EndpointListUpdate>(&event))
    onList(member, *update);
  else if (const auto* delivery = std::get_if<UpdateDelivery>(&event))
    member.missedReplies += delivery->outcome != DeliveryOutcome::Accepted;
  else if (std::holds_alternative<TimerFired>(event))
    ++member.timers;
  else
    ++member.relayEvents;
}

void ControlMachineWorker::onList(Member& member, const EndpointListUpdate& update) {
  const Micros now = net::steadyNow();
  if (update.kind == EndpointListKind::Cached) return;
  ++member.lists;
  if (update.kind == EndpointListKind::Failed) {
    if (member.withoutListSince == 0) member.withoutListSince = now;
    return;
  }
  if (member.withoutListSince != 0)
    member.maxWithoutList = std::max(member.maxWithoutList, now - std::exchange(member.withoutListSince, 0));
  if (member.revisions.size() >= kMaxRevisions) member.revisions.erase(member.revisions.begin());
  member.revisions.emplace_back(update.version, now);
  if (!scenario_.verifyLists) return;
  if (update.kind == EndpointListKind::Full) member.list.clear();
  for (const Endpoint& entry : update.endpoints) {
    if (entry.state == EndpointState::Removed)
      member.list.erase(entry.server);
    else
      member.list[entry.server] = entry.state == EndpointState::Draining;
  }
}

Measurements ControlMachineWorker::sample() {
  Measurements values;
  const ResourceUsage usage = ownResourceUsage();
  values["cpu_s"] = {usage.cpuSeconds};
  values["resident_bytes"] = {static_cast<double>(usage.residentBytes)};
  values["state_bytes"] = {static_cast<double>(heapBytes() - initialHeapBytes_)};
  values["allocations"] = {static_cast<double>(allocations())};
  values["configuration_in_bytes"] = {static_cast<double>(configurationBytes_)};
  values["configuration_in_messages"] = {static_cast<double>(configurationReads_)};
  double events = 0;
  double reports = 0;
  double relayEvents = 0;
  double lists = 0;
  double missedReplies = 0;
  double connections = 0;
  double calls = 0;
  double lostCommands = 0;
  double timers = 0;
  Micros withoutList = 0;
  const Micros now = net::steadyNow();
  for (const auto& member : members_) {
    events += static_cast<double>(member->events);
    reports += static_cast<double>(member->reports);
    relayEvents += static_cast<double>(member->relayEvents);
    lists += static_cast<double>(member->lists);
    missedReplies += static_cast<double>(member->missedReplies);
    timers += static_cast<double>(member->timers);
    connections += static_cast<double>(member->node->connections());
    calls += static_cast<double>(member->node->calls().calls);
    lostCommands += static_cast<double>(member->node->calls().commandsLost);
    withoutList = std::max({withoutList, member->maxWithoutList,
                            member->withoutListSince == 0 ? 0 : now - member->withoutListSince});
    member->maxWithoutList = 0;
  }
  values["events"] = {events};
  values["reports"] = {reports};
  values["news"] = {relayEvents};
  values["lists"] = {lists};
  values["timers"] = {timers};
  values["replies_missed"] = {missedReplies};
  values["orders_lost"] = {lostCommands};
  values["calls"] = {calls};
  values["connections"] = {connections};
  values["without_list_most_s"] = {static_cast<double>(withoutList) / 1e6};
  return values;
}

Measurements ControlMachineWorker::handle(const Command& command) {
  const std::string& verb = command.at(0);
  if (verb == "sample") return sample();
  Measurements values;
  if (verb == "addresses") {
    for (const auto& member : members_) values["port"].push_back(member->node->address().port);
    return values;
  }
  if (verb == "status") {
    double ready = 0;
    double listed = 0;
    for (const auto& member : members_) {
      ready += member->node->ready();
      listed += !member->revisions.empty();
    }
    return {{"ready", {ready}}, {"listed", {listed}}};
  }
  if (verb == "known") {
    const std::int64_t revision = std::stoll(command.at(1));
    for (const auto& member : members_) {
      const auto found = std::find_if(member->revisions.begin(), member->revisions.end(),
                                      [&](const auto& entry) { return entry.first >= revision; });
      values["at"].push_back(found == member->revisions.end() ? -1 : static_cast<double>(found->second));
      values["born"].push_back(static_cast<double>(member->startedAt));
    }
    return values;
  }
  if (verb == "digest") {
    for (const auto& member : members_) {
      std::uint64_t sum = 0;
      for (const auto& [server, draining] : member->list) sum += entryHash(server, draining);
      values["hash_high"].push_back(static_cast<double>(sum >> 32));
      values["hash_low"].push_back(static_cast<double>(sum & 0xffffffffu));
      values["entries"].push_back(static_cast<double>(member->list.size()));
    }
    return values;
  }
  if (verb == "reload") {
    useOtherDiscovery_ = command.at(1) == "1";
    values["at"] = {static_cast<double>(net::steadyNow())};
    for (const auto& member : members_) member->node->reload();
    return values;
  }
  throw WorkerError("unknown command of the control machine worker: '" + verb + "'");
}

}  // namespace peargrade::scale
