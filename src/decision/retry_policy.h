// Choice of the retry policy of a request class.
#pragma once

#include "peargrade/settings.h"

namespace peargrade::decision {

/// The retry policy of a class. Requests that are not idempotent are retried only if the failed attempt was
/// certainly not executed. RetryPolicy::AnyFailure also repeats attempts that timed out. In overload, or if
/// the attempt timeout is not shorter than the latency objective, such a retry only adds load, so it is not
/// used.
[[nodiscard]] inline RetryPolicy retryPolicyOf(const RequestClass& requestClass, const Settings& settings,
                                               bool isOverloaded) {
  const bool timesOutInTime = settings.attemptTimeoutObjectives < 1;
  const bool retriesAnyFailure =
      requestClass.idempotency == Idempotency::Idempotent && timesOutInTime && !isOverloaded;
  return retriesAnyFailure ? RetryPolicy::AnyFailure : RetryPolicy::IfNotExecuted;
}

}  // namespace peargrade::decision
