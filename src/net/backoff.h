/// Exponential backoff between connection attempts.
#pragma once

#include <cstdint>
#include <random>

#include "peargrade/types.h"

namespace peargrade::net {

/// Computes delays that double after each failed attempt, with jitter so that clients do not reconnect at the
/// same moment.
class Backoff {
 public:
  /// `initial` and `max`: first and largest upper bound of a delay, in microseconds. `seed`: seed of the
  /// jitter.
  Backoff(Micros initial, Micros max, std::uint64_t seed)
      : initial_(initial), max_(max), current_(initial), random_(seed) {}

  /// Returns the next delay in microseconds, between half of the current upper bound and the bound itself.
  /// Then doubles the bound, up to `max`.
  Micros next();
  /// Resets the bound to `initial`. To be called after a successful attempt.
  void reset() { current_ = initial_; }

 private:
  Micros initial_;
  Micros max_;
  Micros current_;  // upper bound of the next delay
  std::mt19937_64 random_;
};

}  // namespace peargrade::net
