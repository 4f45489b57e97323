#include "supervisor/supervisor.h"

namespace peargrade::supervisor {

void Supervisor::turn(Micros now) {
  std::vector<Event> events;
  for (std::string& token : timers_.take(now)) events.push_back(TimerFired{std::move(token)});
  for (Event& event : dispatcher_.take()) events.push_back(std::move(event));
  if (events.empty()) return;
  if (seen_) {
    for (const Event& event : events) seen_(event);
  }
  for (const Action& action : dispatcher_.dispatch(engine_.handle(now, events))) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      if (!timers_.set(now + timer->delay, timer->token)) log_.warn("supervisor") << "too many timers";
    } else if (const auto* line = std::get_if<Log>(&action)) {
      log_.info("module") << line->text;
    } else {
      log_.warn("supervisor") << "an action that this protocol cannot carry was left out";
    }
  }
}

}  // namespace peargrade::supervisor
