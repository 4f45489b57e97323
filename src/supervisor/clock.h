// The clock that gives the decision engine its time.
#pragma once

#include <chrono>

#include "peargrade/types.h"

namespace peargrade::supervisor {

/// Monotonic Unix time in microseconds. The system time is read once at construction and advanced by the
/// steady clock, so that an adjustment of the system clock causes no jump. Unix time is needed for the
/// comparison with the start times in the endpoint list.
class Clock {
 public:
  Micros now() const {
    const auto elapsed = std::chrono::steady_clock::now() - steadyStart_;
    return unixStart_ + std::chrono::duration_cast<std::chrono::microseconds>(elapsed).count();
  }

 private:
  std::chrono::steady_clock::time_point steadyStart_ = std::chrono::steady_clock::now();
  Micros unixStart_ = std::chrono::duration_cast<std::chrono::microseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
};

}  // namespace peargrade::supervisor
