/// The program `peargrade`. Its commands are in src/commands.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <exception>
#include <string>

#include "commands/command_registry.h"
#include "commands/errors.h"
#include "supervisor/signals.h"

namespace {

int run(int argc, char** argv) {
  // Block signals first, so that a signal that arrives before the supervisor is ready stays pending. Other
  // commands keep the default action.
  if (argc > 1 && std::string(argv[1]) == "serve") peargrade::supervisor::Signals::block();

  CLI::App app("peargrade: a traffic director for a fleet of sidecar proxies");
  app.require_subcommand(1);
  app.failure_message(CLI::FailureMessage::help);
  const auto commands = peargrade::commands::addCommands(app);
  CLI11_PARSE(app, argc, argv);
  const auto given =
      std::find_if(commands.begin(), commands.end(), [](const auto& command) { return command->isGiven(); });
  return (*given)->run();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "peargrade: %s\n", error.what());
    return peargrade::commands::kExitFailure;
  }
}
