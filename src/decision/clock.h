// Units of time, and the time of the batch of events that the engine handles.
#pragma once

#include "peargrade/types.h"

namespace peargrade::decision {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

/// The time of the batch being handled. The engine advances it; components only read it.
class Clock {
 public:
  [[nodiscard]] Micros now() const { return now_; }
  void advanceTo(Micros now) { now_ = now; }

 private:
  Micros now_ = 0;
};

}  // namespace peargrade::decision
