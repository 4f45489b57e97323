#include "decision/request_costs.h"

#include <algorithm>
#include <numeric>

#include "decision/clock.h"

namespace peargrade::decision {

void RequestCosts::update(const Settings& settings) {
  const std::vector<RequestClass>& classes = settings.classes;
  costs_.clear();
  costs_.reserve(classes.size());
  for (const RequestClass& requestClass : classes)
    costs_.push_back(static_cast<double>(requestClass.latencyObjective) / kSecond);
  shedOrder_.resize(classes.size());
  std::iota(shedOrder_.begin(), shedOrder_.end(), std::size_t{0});
  std::sort(shedOrder_.begin(), shedOrder_.end(), [&](std::size_t a, std::size_t b) {
    return classes[a].priorityWeight / costs_[a] < classes[b].priorityWeight / costs_[b];
  });
}

double RequestCosts::maxCost() const { return *std::max_element(costs_.begin(), costs_.end()); }

}  // namespace peargrade::decision
