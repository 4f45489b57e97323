#include "commands/version_command.h"

#include <iostream>

#include "version.h"

namespace peargrade::commands {

VersionCommand::VersionCommand(CLI::App& program)
    : Command(program.add_subcommand("version", "print the version")) {}

int VersionCommand::run() {
  std::cout << "peargrade " << kVersion << '\n';
  return 0;
}

}  // namespace peargrade::commands
