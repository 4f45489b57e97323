// Commands of the relay's APPLY call, and their encoding from the engine's actions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "peargrade/actions.h"

namespace peargrade::relay {

using discovery::Names;

/// One command of an APPLY call, with the action that it encodes.
struct Command {
  /// The encoded command as sent, without the separator between commands.
  std::string text;
  Action action;
};

using Commands = std::vector<Command>;

/// Sequence number of an APPLY call, ascending from 1; 0 means no call.
using CallId = std::uint64_t;

/// One APPLY call.
struct Call {
  CallId id = 0;
  Commands commands;
};

/// The update id that `command` requests an acknowledgement for, or nullopt if it requests none.
std::optional<int> requestedAcknowledgement(const Command& command);

/// Encodes an action of a table update. Returns nullopt for an action that has no relay command. `names` maps
/// request class indices to their names on the wire.
std::optional<Command> encodeCommand(const Action& action, const Names& names);

}  // namespace peargrade::relay
