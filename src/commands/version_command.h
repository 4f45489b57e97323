/// `peargrade version`: prints the version.
#pragma once

#include "commands/command.h"

namespace peargrade::commands {

class VersionCommand : public Command {
 public:
  explicit VersionCommand(CLI::App& program);
  int run() override;
};

}  // namespace peargrade::commands
