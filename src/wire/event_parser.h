/// Parser for the events of the simulator protocol.
#pragma once

#include <string>

#include "wire/codec.h"
#include "wire/fields.h"

namespace peargrade::wire {

/// Parses a JSON object with a single key, the event's wire name. `where`: the location to name in errors.
/// Throws ParseError.
Input parseInput(const Value& value, const std::string& where);

}  // namespace peargrade::wire
