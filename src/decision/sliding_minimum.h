// The minimum over a sliding time window.
#pragma once

#include <algorithm>
#include <deque>
#include <utility>

#include "peargrade/types.h"

namespace peargrade::decision {

/// The minimum of recently added values. Adding a value drops those that are older than the window.
class SlidingMinimum {
 public:
  void add(Micros now, double value, Micros window) {
    while (!values_.empty() && values_.front().first < now - window) values_.pop_front();
    values_.emplace_back(now, value);
  }

  /// The minimum of the values other than 0; 0 if there are none.
  [[nodiscard]] double minimum() const {
    double result = 0;
    for (const auto& [addedAt, value] : values_) result = result == 0 ? value : std::min(result, value);
    return result;
  }

 private:
  std::deque<std::pair<Micros, double>> values_;  // when each was added, and the value
};

}  // namespace peargrade::decision
