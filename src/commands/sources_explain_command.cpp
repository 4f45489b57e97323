#include "commands/sources_explain_command.h"

#include <unistd.h>

#include <iostream>

#include "commands/errors.h"

namespace peargrade::commands {

SourcesExplainCommand::SourcesExplainCommand(CLI::App& program)
    : Command(program.add_subcommand("sources", "inspect the sources of the list of servers")),
      explain_(app()->add_subcommand("explain",
                                     "query every source once; print for each server what each source lists, "
                                     "the deciding rule and its expiry")),
      options_(explain_) {
  app()->require_subcommand(1);
  explain_->add_flag("--json", arguments_.json, "print JSON");
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
