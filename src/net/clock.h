/// The clock for delays, timeouts and ages.
#pragma once

#include "peargrade/types.h"

namespace peargrade::net {

/// Returns the time of a monotonic clock with an arbitrary origin, in microseconds.
Micros steadyNow();

}  // namespace peargrade::net
