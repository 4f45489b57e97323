// Encodes the engine's actions as commands of the relay's APPLY call.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "peargrade/actions.h"

namespace peargrade::relay {

using discovery::Names;

/// One command of an APPLY call, with the action that it carries.
struct Command {
  /// As it stands in the call, without a separator.
  std::string text;
  Action action;
};

using Commands = std::vector<Command>;

/// Number of an APPLY call, ascending from 1. 0: no call.
using CallId = std::uint64_t;

/// What one APPLY call carries.
struct Call {
  CallId id = 0;
  Commands commands;
};

/// The id that `command` asks the proxies to acknowledge; nothing for any other command.
std::optional<int> requestedAcknowledgement(const Command& command);

/// Encodes an action of a table update. Nothing for an action that is no command of the relay.
std::optional<Command> encodeCommand(const Action& action, const Names& names);

}  // namespace peargrade::relay
