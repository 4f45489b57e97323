#include "simulator/engine_instances.h"

#include <utility>

namespace peargrade::simulator {
namespace {

constexpr TableId kNoSlice = -1;

// Returns the slice that an event refers to, or kNoSlice.
TableId sliceIndex(const Event& event) {
  if (const auto* report = std::get_if<SliceLoadReport>(&event)) return report->slice;
  if (const auto* assignment = std::get_if<SliceAssignment>(&event)) return assignment->slice;
  if (const auto* route = std::get_if<StoredRoute>(&event)) return route->slice;
  return kNoSlice;
}

}  // namespace

wire::Reply EngineInstances::process(const wire::Batch& batch) {
  wire::Reply reply;
  reply.sequenceNumber = batch.sequenceNumber;
  for (const wire::InputGroup& group : batch.groups) {
    const std::string where =
        "batch " + std::to_string(batch.sequenceNumber) + ": supervisor " + std::to_string(group.supervisor);
    std::vector<Action> actions = processGroup(batch.now, group, where);
    if (!actions.empty()) reply.groups.push_back({group.supervisor, std::move(actions)});
  }
  return reply;
}

// Passes consecutive events of an instance to its engine together.
std::vector<Action> EngineInstances::processGroup(Micros now, const wire::InputGroup& group,
                                                  const std::string& where) {
  std::vector<Event> events;
  std::vector<Action> actions;
  for (const wire::Input& input : group.inputs) {
    if (const auto* newInstance = std::get_if<wire::NewInstance>(&input)) {
      handle(group.supervisor, now, events, actions);
      start(group.supervisor, *newInstance);
      continue;
    }
    const auto running = instances_.find(group.supervisor);
    if (running == instances_.end())
      throw ParseError(ParseErrorCode::InvalidMessage, where, "event for an instance that is not running");
    if (std::holds_alternative<wire::Retire>(input)) {
      // Pending events and actions of the instance are dropped with it.
      events.clear();
      actions.clear();
      instances_.erase(running);
      continue;
    }
    const Event& event = std::get<Event>(input);
    if (sliceIndex(event) >= running->second.slices)
      throw ParseError(ParseErrorCode::InvalidMessage, where,
                       "'tbl' is out of range: expected a slice below " +
                           std::to_string(running->second.slices) + ", found " +
                           std::to_string(sliceIndex(event)));
    events.push_back(event);
  }
  handle(group.supervisor, now, events, actions);
  return actions;
}

void EngineInstances::start(int supervisor, const wire::NewInstance& start) {
  instances_.erase(supervisor);
  instances_.emplace(supervisor, Instance{DecisionEngine(start.seed, start.settings), start.settings.slices});
}

void EngineInstances::handle(int supervisor, Micros now, std::vector<Event>& events,
                             std::vector<Action>& actions) {
  const auto running = instances_.find(supervisor);
  if (running == instances_.end() || events.empty()) return;
  const std::vector<Action> more = running->second.engine.handle(now, events);
  actions.insert(actions.end(), more.begin(), more.end());
  events.clear();
}

}  // namespace peargrade::simulator
