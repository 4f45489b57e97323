#include "commands/check_command.h"

#include <iostream>
#include <string>

namespace peargrade::commands {
namespace {

void printConfiguration(const config::Config& config) {
  std::cout << "name       " << config.name << '\n';
  std::cout << "listen     " << config.listen.text() << '\n';
  std::cout << "discovery  " << config.discovery.text() << '\n';
  std::cout << "relay      " << config.relay.text() << '\n';
  std::cout << "limits     " << config.limits.cores << " cores, " << config.limits.memoryMb << " MB, "
            << config.limits.sockets << " descriptors\n";
  std::cout << "settings   " << config.names.classes.size() << " classes, " << config.settings.slices
            << " slices, " << config.names.zones.size() << " zones, " << config.settings.supervisors
            << " supervisors\n";
  std::cout << "known      revision " << config.cachedList.version << ", "
            << config.cachedList.endpoints.size() << " servers\n";
}

}  // namespace

CheckCommand::CheckCommand(CLI::App& program)
    : Command(program.add_subcommand("check", "validate the configuration files and print a summary")),
      options_(app()) {
  app()->add_flag("--settings", listSettings_, "print all settings of the operator's file and exit");
}

int CheckCommand::run() {
  if (listSettings_) {
    std::cout << op::tableOf(op::schema());
    return 0;
  }
  return options_.loadAndRun([&](const LoadedFiles& files) { return printFiles(files); });
}

int CheckCommand::printFiles(const LoadedFiles& files) const {
  printConfiguration(files.configuration);
  if (files.operatorFile)
    std::cout << "operator   " << options_.operatorPath() << '\n' << op::tableOf(*files.operatorFile);
  return 0;
}

}  // namespace peargrade::commands
