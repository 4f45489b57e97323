/// `peargrade zone check|show|diff|update|accept`: zone files and signed updates.
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
  CLI::App* addVerb(const char* verb, const char* description);
  /// A verb with `count` files in the positional argument `argument`, and the option `--origin`.
  CLI::App* addFileVerb(const char* verb, const char* description, const char* argument, int count);

  sources::ZoneCommand arguments_;
};

}  // namespace peargrade::commands
