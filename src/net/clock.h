/// The clock for waits and ages.
#pragma once

#include "peargrade/types.h"

namespace peargrade::net {

/// Microseconds of a monotonic clock with an arbitrary origin.
Micros steadyNow();

}  // namespace peargrade::net
