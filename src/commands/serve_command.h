/// `peargrade serve`: runs one supervisor until SIGTERM.
#pragma once

#include <string>

#include "commands/command.h"
#include "commands/configuration_options.h"
#include "log/log.h"

namespace peargrade::commands {

class ServeCommand : public Command {
 public:
  explicit ServeCommand(CLI::App& program);
  int run() override;

 private:
  int serve(const LoadedFiles& files, log::Log& log) const;

  ConfigurationOptions options_;
  std::string logLevel_ = "info";
};

}  // namespace peargrade::commands
