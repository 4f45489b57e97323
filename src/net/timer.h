/// One-shot timers for the event loop.
#pragma once

#include <functional>

#include "net/handles.h"

namespace peargrade::net {

/// Calls a function once per schedule, on the event loop's thread. The function may schedule the timer again,
/// but must not destroy it.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> onFired);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Fires after `delay` microseconds. Replaces an earlier schedule. A negative delay counts as 0.
  void schedule(Micros delay);
  /// Cancels the schedule, if there is one.
  void cancel();
  /// Whether the timer is scheduled and has not fired yet.
  bool isScheduled() const;

 private:
  std::function<void()> onFired_;
  EventHandle event_;
};

}  // namespace peargrade::net
