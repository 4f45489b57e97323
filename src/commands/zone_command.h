/// `peargrade zone check|show|diff|update|accept`: checks zone files and sends signed updates.
#pragma once

#include <string>

#include "commands/command.h"
#include "sources/source_registry.h"

namespace peargrade::commands {

class ZoneCommand : public Command {
 public:
  explicit ZoneCommand(CLI::App& program);
  int run() override;

 private:
  void addFileCommands();
  void addUpdate();
  void addAccept();
  /// Adds a subcommand with the option `--json`.
  CLI::App* addVerb(const char* verb, const char* description);
  /// Adds a subcommand with `count` files in the positional argument `argument` and with the option
  /// `--origin`.
  CLI::App* addFileVerb(const char* verb, const char* description, const char* argument, int count);

  sources::ZoneCommand arguments_;
};

}  // namespace peargrade::commands
