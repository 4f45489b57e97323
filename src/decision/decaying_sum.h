// A sum whose addends decay exponentially with their age.
#pragma once

#include <cmath>

#include "peargrade/types.h"

namespace peargrade::decision {

/// An addend that was added one time constant ago counts with 1/e of its value. All calls on one object must
/// pass the same time constant, in microseconds.
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
