#include "commands/sources_explain_command.h"

#include <unistd.h>

#include <iostream>

#include "commands/errors.h"

namespace peargrade::commands {

SourcesExplainCommand::SourcesExplainCommand(CLI::App& program)
    : Command(program.add_subcommand("sources", "where the list of servers comes from")),
      explain_(app()->add_subcommand(
          "explain", "ask every source once: who says what of each server, which rule decides, until when")),
      options_(explain_) {
  app()->require_subcommand(1);
  explain_->add_flag("--json", arguments_.json, "as JSON");
}

int SourcesExplainCommand::run() {
  log::Log log(STDERR_FILENO, log::Level::Error);
  return options_.loadAndRun([&](const LoadedFiles& files) { return explain(files, log); });
}

int SourcesExplainCommand::explain(const LoadedFiles& files, log::Log& log) {
  if (!files.operatorFile) {
    std::cerr << "peargrade: sources explain needs --operator FILE\n";
    return kExitInvalidFile;
  }
  arguments_.discovery = files.configuration.discovery.text();
  return sources::load().explain(arguments_, *files.operatorFile, files.configuration.names, log);
}

}  // namespace peargrade::commands
