// What a request costs a server, by class.
#pragma once

#include <cstddef>
#include <vector>

#include "peargrade/settings.h"

namespace peargrade::decision {

/// Cost of a request by class. No setting states it; the latency objective stands for it, since operators
/// grant heavier requests more time.
class RequestCosts {
 public:
  explicit RequestCosts(const Settings& settings) { update(settings); }

  void update(const Settings& settings);
  [[nodiscard]] std::size_t classes() const { return costs_.size(); }
  /// Seconds of latency objective.
  [[nodiscard]] double of(std::size_t requestClass) const { return costs_[requestClass]; }
  [[nodiscard]] double highest() const;
  /// Classes in the order in which they are shed: the least priority weight per cost first.
  [[nodiscard]] const std::vector<std::size_t>& shedOrder() const { return shedOrder_; }

 private:
  std::vector<double> costs_;
  std::vector<std::size_t> shedOrder_;
};

}  // namespace peargrade::decision
