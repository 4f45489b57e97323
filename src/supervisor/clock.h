#pragma once

#include <chrono>

#include "peargrade/decision_engine.h"

namespace peargrade::supervisor {

// Unix time in microseconds that never jumps: read once at the start, carried on by the steady clock. What
// the list says of starts is in Unix time and so compares.
class Clock {
 public:
  Micros now() const {
    const auto gone = std::chrono::steady_clock::now() - steadyStart_;
    return start_ + std::chrono::duration_cast<std::chrono::microseconds>(gone).count();
  }

 private:
  std::chrono::steady_clock::time_point steadyStart_ = std::chrono::steady_clock::now();
  Micros start_ = std::chrono::duration_cast<std::chrono::microseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
};

}  // namespace peargrade::supervisor
