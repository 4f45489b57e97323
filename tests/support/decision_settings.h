// Settings of a typical deployment, for tests of the decision engine.
#pragma once

#include "peargrade/settings.h"
#include "peargrade/types.h"

namespace peargrade {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1000 * kMillisecond;

/// Time limits, rules and update channel of a deployment with shared slices. Request classes and slices are
/// not set.
Settings deploymentSettings();

/// deploymentSettings() with 24 slices and three request classes: 0 and 1 are idempotent, 1 has six times the
/// priority weight of 0, 2 is a write that must not be repeated.
Settings testSettings();

}  // namespace peargrade
