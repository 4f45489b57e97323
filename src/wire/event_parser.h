/// Events of the simulator's wire.
#pragma once

#include <string>

#include "wire/codec.h"
#include "wire/fields.h"

namespace peargrade::wire {

/// Parses an object with a single key, the event's name. `where`: the place that errors name. Throws
/// ParseError.
Input parseInput(const Value& value, const std::string& where);

}  // namespace peargrade::wire
