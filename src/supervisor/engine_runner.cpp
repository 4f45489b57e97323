#include "supervisor/engine_runner.h"

#include <string>
#include <utility>

namespace peargrade::supervisor {

EngineRunner::EngineRunner(std::uint64_t seed, const Settings& settings, dispatch::Dispatcher& dispatcher,
                           log::Log& log)
    : engine_(seed, settings), dispatcher_(dispatcher), log_(log) {}

void EngineRunner::turn(Micros now) {
  const std::vector<Event> batch = takeBatch(now);
  if (batch.empty()) return;
  if (observer_) {
    for (const Event& event : batch) observer_(event);
  }
  for (const Action& action : dispatcher_.dispatch(engine_.handle(now, batch))) {
    if (const auto* timer = std::get_if<SetTimer>(&action))
      setTimer(now, *timer);
    else if (const auto* message = std::get_if<Log>(&action))
      log_.info("module") << message->text;
    else
      log_.warn("supervisor") << "ignoring an action of the engine that no protocol supports";
  }
}

std::vector<Event> EngineRunner::takeBatch(Micros now) {
  std::vector<Event> batch;
  for (std::string& token : timers_.takeDue(now)) batch.push_back(TimerFired{std::move(token)});
  for (Event& event : dispatcher_.take()) batch.push_back(std::move(event));
  return batch;
}

void EngineRunner::setTimer(Micros now, const SetTimer& timer) {
  if (timers_.set(now + timer.delay, timer.token) == TimerQueue::SetResult::QueueFull)
    log_.warn("supervisor") << "timer discarded: the limit of " << TimerQueue::kCapacity
                            << " timers is reached";
}

}  // namespace peargrade::supervisor
