/// The list of the program's commands.
#pragma once

#include <memory>
#include <vector>

#include "commands/command.h"

namespace peargrade::commands {

/// Declares every command on `app`, in the order of the help. `app` must outlive them.
std::vector<std::unique_ptr<Command>> addCommands(CLI::App& app);

}  // namespace peargrade::commands
