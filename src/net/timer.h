/// One-shot timers of the event loop.
#pragma once

#include <functional>

#include "net/handles.h"

namespace peargrade::net {

/// Calls a function once, on the loop's thread. The function may schedule the timer again; it must not
/// destroy it.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> fired);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Fires after `delay` microseconds, in place of an earlier schedule.
  void schedule(Micros delay);
  void cancel();
  /// Whether it is scheduled and has not fired yet.
  bool isScheduled() const;

 private:
  std::function<void()> fired_;
  EventHandle event_;
};

}  // namespace peargrade::net
