#include "simulator/host.h"

#include <istream>
#include <ostream>
#include <utility>

namespace peargrade::simulator {
namespace {

// The slice an event is about, or -1.
TableId sliceOf(const Event& event) {
  if (const auto* e = std::get_if<SliceLoadReport>(&event)) return e->slice;
  if (const auto* e = std::get_if<SliceAssignment>(&event)) return e->slice;
  if (const auto* e = std::get_if<StoredRoute>(&event)) return e->slice;
  return -1;
}

}  // namespace

wire::Reply Host::answer(const wire::Batch& batch) {
  wire::Reply reply;
  reply.turn = batch.turn;
  for (const wire::InputGroup& group : batch.groups) {
    const std::string where =
        "batch " + std::to_string(batch.turn) + ": supervisor " + std::to_string(group.supervisor);
    std::vector<Event> events;
    std::vector<Action> out;
    auto running = instances_.find(group.supervisor);
    auto flush = [&] {
      if (running == instances_.end() || events.empty()) return;
      auto actions = running->second.engine.handle(batch.now, events);
      out.insert(out.end(), actions.begin(), actions.end());
      events.clear();
    };
    for (const wire::Input& input : group.input) {
      if (const auto* start = std::get_if<wire::NewInstance>(&input)) {
        flush();
        instances_.erase(group.supervisor);
        Instance fresh{DecisionEngine(start->seed, start->settings), start->settings.slices};
        running = instances_.emplace(group.supervisor, std::move(fresh)).first;
        continue;
      }
      if (running == instances_.end())
        throw ParseError(ParseErrorCode::InvalidMessage, where, "event for an unknown instance");
      if (std::holds_alternative<wire::Retire>(input)) {
        events.clear();
        out.clear();  // its queue dies with it
        instances_.erase(running);
        running = instances_.end();
        continue;
      }
      const Event& event = std::get<Event>(input);
      if (sliceOf(event) >= running->second.slices)
        throw ParseError(ParseErrorCode::InvalidMessage, where, "'tbl' is no slice here");
      events.push_back(event);
    }
    flush();
    if (!out.empty()) reply.groups.push_back({group.supervisor, std::move(out)});
  }
  return reply;
}

int serve(std::istream& in, std::ostream& out, std::ostream& err) {
  Host host;
  std::string line;
  while (std::getline(in, line)) {
    try {
      out << wire::writeReply(host.answer(wire::parseBatch(line))) << '\n' << std::flush;
    } catch (const ParseError& e) {
      err << "peargrade_simulator_adapter: " << e.what() << std::endl;
      return 1;
    }
  }
  return 0;
}

}  // namespace peargrade::simulator
