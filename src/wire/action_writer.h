/// Actions of the simulator's wire.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "peargrade/actions.h"

namespace peargrade::wire {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// Writes `action` as an object with a single key, its name on the wire.
void writeAction(JsonWriter& writer, const Action& action);

}  // namespace peargrade::wire
