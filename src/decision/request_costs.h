// The cost of a request for a server, by request class.
#pragma once

#include <cstddef>
#include <vector>

#include "peargrade/settings.h"

namespace peargrade::decision {

/// The settings do not specify the cost of a request. The latency objective of its class is used instead,
/// since operators give expensive requests more time.
class RequestCosts {
 public:
  explicit RequestCosts(const Settings& settings) { update(settings); }

  void update(const Settings& settings);
  [[nodiscard]] std::size_t classes() const { return costs_.size(); }
  /// Cost of a request: the latency objective of its class, in seconds.
  [[nodiscard]] double of(std::size_t requestClass) const { return costs_[requestClass]; }
  [[nodiscard]] double maxCost() const;
  /// Classes in the order in which they are shed: by priority weight per cost, ascending.
  [[nodiscard]] const std::vector<std::size_t>& shedOrder() const { return shedOrder_; }

 private:
  std::vector<double> costs_;
  std::vector<std::size_t> shedOrder_;
};

}  // namespace peargrade::decision
