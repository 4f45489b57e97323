/// Parser for the settings object of the simulator protocol (`info`) and of configuration files (`settings`).
#pragma once

#include <string>

#include "peargrade/settings.h"
#include "wire/fields.h"

namespace peargrade::wire {

/// Translates wire names and units; ignores unknown fields. `where`: the location to name in errors. Throws
/// ParseError.
Settings parseSettings(const Value& value, const std::string& where);

}  // namespace peargrade::wire
