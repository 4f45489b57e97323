/// Serialization of actions for the simulator protocol.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "peargrade/actions.h"

namespace peargrade::wire {

using JsonWriter = rapidjson::Writer<rapidjson::StringBuffer>;

/// Writes `action` as a JSON object with a single key, the action's wire name.
void writeAction(JsonWriter& writer, const Action& action);

}  // namespace peargrade::wire
