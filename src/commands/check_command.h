/// `peargrade check`: validates the configuration and the operator's file and prints a summary.
#pragma once

#include "commands/command.h"
#include "commands/configuration_options.h"

namespace peargrade::commands {

class CheckCommand : public Command {
 public:
  explicit CheckCommand(CLI::App& program);
  int run() override;

 private:
  int printFiles(const LoadedFiles& files) const;

  ConfigurationOptions options_;
  bool listSettings_ = false;
};

}  // namespace peargrade::commands
