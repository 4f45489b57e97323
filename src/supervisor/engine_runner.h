// Runs the decision engine: passes events and due timers to it and carries out its actions.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "peargrade/decision_engine.h"
#include "supervisor/timer_queue.h"

namespace peargrade::supervisor {

/// Owns the engine and its timers. The engine gets all events of one loop iteration as one batch, because
/// events that belong together, such as a slice and its routes, must be handled together.
class EngineRunner {
 public:
  EngineRunner(std::uint64_t seed, const Settings& settings, dispatch::Dispatcher& dispatcher, log::Log& log);

  /// Runs the engine on one batch, the due timers followed by the posted events, and carries out its actions.
  /// Does nothing if the batch is empty.
  void turn(Micros now);
  /// When the next timer is due; nullopt if none is set.
  std::optional<Micros> nextTimer() const { return timers_.nextDue(); }
  /// Sets a function that is called with each event just before the engine handles its batch; for
  /// measurements.
  void onEvent(std::function<void(const Event&)> observer) { observer_ = std::move(observer); }

 private:
  std::vector<Event> takeBatch(Micros now);
  void setTimer(Micros now, const SetTimer& timer);

  DecisionEngine engine_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  TimerQueue timers_;
  std::function<void(const Event&)> observer_;
};

}  // namespace peargrade::supervisor
