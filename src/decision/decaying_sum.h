// A sum with exponential decay.
#pragma once

#include <cmath>

#include "peargrade/types.h"

namespace peargrade::decision {

/// A sum that decays exponentially: an amount added one time constant ago counts 1/e. Every call on one
/// object has to name the same time constant, in microseconds.
class DecayingSum {
 public:
  void add(Micros now, double amount, Micros timeConstant) {
    sum_ = at(now, timeConstant) + amount;
    updatedAt_ = now;
  }

  [[nodiscard]] double at(Micros now, Micros timeConstant) const {
    if (sum_ == 0) return 0;
    return sum_ * std::exp(-static_cast<double>(now - updatedAt_) / static_cast<double>(timeConstant));
  }

 private:
  double sum_ = 0;
  Micros updatedAt_ = 0;
};

}  // namespace peargrade::decision
