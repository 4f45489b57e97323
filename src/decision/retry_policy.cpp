#include "decision/retry_policy.h"

#include <algorithm>

namespace peargrade::decision {

bool haveSameRetryPolicies(const Settings& a, const Settings& b) {
  const auto isSame = [](const RequestClass& x, const RequestClass& y) {
    return x.idempotency == y.idempotency;
  };
  return a.attemptTimeoutObjectives == b.attemptTimeoutObjectives &&
         std::equal(a.classes.begin(), a.classes.end(), b.classes.begin(), b.classes.end(), isSame);
}

}  // namespace peargrade::decision
