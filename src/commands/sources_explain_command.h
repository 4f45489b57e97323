/// `peargrade sources explain`: prints what each source lists for each server, and the rule that decides.
#pragma once

#include "commands/command.h"
#include "commands/configuration_options.h"
#include "log/log.h"
#include "sources/source_registry.h"

namespace peargrade::commands {

class SourcesExplainCommand : public Command {
 public:
  explicit SourcesExplainCommand(CLI::App& program);
  int run() override;

 private:
  int explain(const LoadedFiles& files, log::Log& log);

  CLI::App* explain_;
  ConfigurationOptions options_;
  sources::ExplainCommand arguments_;
};

}  // namespace peargrade::commands
