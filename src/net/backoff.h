/// Exponential backoff between attempts to connect.
#pragma once

#include <cstdint>
#include <random>

#include "peargrade/types.h"

namespace peargrade::net {

/// Waits that double after each failure, with jitter so that peers do not reconnect in step.
class Backoff {
 public:
  /// `initial` and `max` bound the wait before jitter, in microseconds. `seed` determines the jitter.
  Backoff(Micros initial, Micros max, std::uint64_t seed)
      : initial_(initial), max_(max), current_(initial), random_(seed) {}

  /// The next wait in microseconds: between half of the current bound and all of it. Doubles the bound.
  Micros next();
  /// Starts again from the initial wait; called after a success.
  void reset() { current_ = initial_; }

 private:
  Micros initial_;
  Micros max_;
  Micros current_;
  std::mt19937_64 random_;
};

}  // namespace peargrade::net
