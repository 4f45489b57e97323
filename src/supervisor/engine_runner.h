// Runs the decision engine: events and due timers in, actions out. It decides nothing.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "peargrade/decision_engine.h"
#include "supervisor/timer_queue.h"

namespace peargrade::supervisor {

/// Owns the engine and its timers. Each turn of the loop gives the engine one batch: the events of one turn
/// belong together, such as a slice and its routes.
class EngineRunner {
 public:
  EngineRunner(std::uint64_t seed, const Settings& settings, dispatch::Dispatcher& dispatcher, log::Log& log);

  /// Gives the engine the due timers, then the events that were posted, and carries out its actions. Does
  /// nothing where there is neither.
  void turn(Micros now);
  /// When the next timer is due; nothing: none is set.
  std::optional<Micros> nextTimer() const { return timers_.nextDue(); }
  /// Calls `observer` with each event just before the engine gets the batch; for measurements.
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
