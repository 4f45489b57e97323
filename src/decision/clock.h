// Time units, and the clock of the decision engine.
#pragma once

#include "peargrade/types.h"

namespace peargrade::decision {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

/// The time of the batch of events that is being handled. The engine advances it for each batch; components
/// only read it.
class Clock {
 public:
  [[nodiscard]] Micros now() const { return now_; }
  void advanceTo(Micros now) { now_ = now; }

 private:
  Micros now_ = 0;
};

}  // namespace peargrade::decision
