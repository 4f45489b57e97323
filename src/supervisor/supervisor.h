// Owns the module: gathers what came in one turn of the loop into one `handle`, keeps its timers, and gives
// its actions to the exchange. It decides nothing.
#pragma once

#include <functional>

#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "supervisor/timers.h"

namespace peargrade::supervisor {

class Supervisor {
 public:
  Supervisor(std::uint64_t seed, const Settings& settings, dispatch::Dispatcher& exchange, log::Log& log)
      : engine_(seed, settings), dispatcher_(exchange), log_(log) {}

  // One turn: due timers and the events that came, as one batch. Nothing to do, nothing done.
  void turn(Micros now);
  // When the next timer is due.
  std::optional<Micros> nextTimer() const { return timers_.next(); }
  // Sees each event just before the module does.
  void onEvent(std::function<void(const Event&)> seen) { seen_ = std::move(seen); }

 private:
  DecisionEngine engine_;
  dispatch::Dispatcher& dispatcher_;
  log::Log& log_;
  Timers timers_;
  std::function<void(const Event&)> seen_;
};

}  // namespace peargrade::supervisor
