// The clock of a supervisor.
#pragma once

#include <chrono>

#include "peargrade/types.h"

namespace peargrade::supervisor {

/// Unix time in microseconds that never jumps: read once at the start and advanced by the steady clock. It
/// compares with the start times of the endpoint list, which are Unix time.
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
