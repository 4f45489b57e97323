// Which failed attempts proxies retry.
#pragma once

#include "peargrade/settings.h"

namespace peargrade::decision {

/// The retry policy of a class. A retry never executes a request twice that must be executed once. Retries
/// after any failure also repeat attempts that timed out: in overload, or where the attempt timeout is not
/// within the latency objective, that only adds load.
[[nodiscard]] inline RetryPolicy retryPolicyOf(const RequestClass& requestClass, const Settings& settings,
                                               bool isOverloaded) {
  const bool isInTime = settings.attemptTimeoutObjectives < 1;
  const bool retriesAny = requestClass.idempotency == Idempotency::Idempotent && isInTime && !isOverloaded;
  return retriesAny ? RetryPolicy::AnyFailure : RetryPolicy::IfNotExecuted;
}

/// Whether both settings give the same retry policies: what was published then stands.
[[nodiscard]] bool haveSameRetryPolicies(const Settings& a, const Settings& b);

}  // namespace peargrade::decision
