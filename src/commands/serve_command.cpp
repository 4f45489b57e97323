#include "commands/serve_command.h"

#include <unistd.h>

#include "sources/source_registry.h"
#include "supervisor/serve.h"

namespace peargrade::commands {

ServeCommand::ServeCommand(CLI::App& program)
    : Command(program.add_subcommand("serve", "run one supervisor until SIGTERM")), options_(app()) {
  app()
      ->add_option("--log-level", logLevel_, "lowest level that is logged: debug, info, warn, error, off")
      ->envname("NODE_LOG_LEVEL")
      ->check(CLI::IsMember({"debug", "info", "warn", "error", "off"}))
      ->capture_default_str();
}

int ServeCommand::run() {
  log::Log log(STDERR_FILENO, *log::levelNamed(logLevel_));
  return options_.loadAndRun([&](const LoadedFiles& files) { return serve(files, log); });
}

// The module with the sources other than discovery is loaded only if the operator's file declares one.
int ServeCommand::serve(const LoadedFiles& files, log::Log& log) const {
  const op::Operator* operatorSettings = files.operatorSettings();
  supervisor::MakeSources makeSources;
  if (operatorSettings != nullptr && operatorSettings->sources()) makeSources = sources::load().open;
  const auto reload = [this] { return options_.reload(); };
  return supervisor::serve(files.configuration, reload, log, operatorSettings, makeSources);
}

}  // namespace peargrade::commands
