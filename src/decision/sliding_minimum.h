// The minimum over a sliding window.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "peargrade/types.h"

namespace peargrade::decision {

/// The least of the values that were added within a window, which moves when a value is added.
class SlidingMinimum {
 public:
  void add(Micros now, double value, Micros window) {
    while (!values_.empty() && values_.front().first < now - window) values_.pop_front();
    values_.emplace_back(now, value);
  }

  /// 0: no value. A value of 0 counts as none.
  [[nodiscard]] double minimum() const {
    double least = 0;
    for (const auto& [at, value] : values_) least = least == 0 ? value : std::min(least, value);
    return least;
  }

 private:
  std::deque<std::pair<Micros, double>> values_;
};

}  // namespace peargrade::decision
