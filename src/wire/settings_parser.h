/// The settings object as the simulator's wire (`info`) and a configuration (`settings`) carry it.
#pragma once

#include <string>

#include "peargrade/settings.h"
#include "wire/fields.h"

namespace peargrade::wire {

/// Translates the wire's names and units; unknown fields are ignored. `where`: the place that errors name.
/// Throws ParseError.
Settings parseSettings(const Value& value, const std::string& where);

}  // namespace peargrade::wire
