#include "membership/evaluation_schedule.h"

#include <algorithm>

namespace peargrade::membership {

void EvaluationSchedule::schedule(const std::string& address, Micros& evaluateAt, Micros at) {
  if (at == 0 || (evaluateAt != 0 && evaluateAt <= at)) return;
  cancel(address, evaluateAt);
  evaluateAt = at;
  addresses_.emplace(at, address);
}

void EvaluationSchedule::cancel(const std::string& address, Micros& evaluateAt) {
  if (evaluateAt == 0) return;
  addresses_.erase({evaluateAt, address});
  evaluateAt = 0;
}

EvaluationSchedule::Due EvaluationSchedule::takeDue(Micros now) {
  Due due;
  while (!addresses_.empty() && addresses_.begin()->first <= now) {
    due.addresses.push_back(addresses_.begin()->second);
    addresses_.erase(addresses_.begin());
  }
  while (!tiers_.empty() && *tiers_.begin() <= now) {
    due.tiers = true;
    tiers_.erase(tiers_.begin());
  }
  return due;
}

std::optional<Micros> EvaluationSchedule::next() const {
  if (addresses_.empty() && tiers_.empty()) return std::nullopt;
  if (addresses_.empty()) return *tiers_.begin();
  if (tiers_.empty()) return addresses_.begin()->first;
  return std::min(addresses_.begin()->first, *tiers_.begin());
}

}  // namespace peargrade::membership
