#include "commands/command_registry.h"

#include "commands/check_command.h"
#include "commands/serve_command.h"
#include "commands/sources_explain_command.h"
#include "commands/srv_lookup_command.h"
#include "commands/version_command.h"
#include "commands/zone_command.h"

namespace peargrade::commands {

std::vector<std::unique_ptr<Command>> addCommands(CLI::App& app) {
  std::vector<std::unique_ptr<Command>> commands;
  commands.push_back(std::make_unique<ServeCommand>(app));
  commands.push_back(std::make_unique<CheckCommand>(app));
  commands.push_back(std::make_unique<VersionCommand>(app));
  commands.push_back(std::make_unique<SrvLookupCommand>(app));
  commands.push_back(std::make_unique<SourcesExplainCommand>(app));
  commands.push_back(std::make_unique<ZoneCommand>(app));
  return commands;
}

}  // namespace peargrade::commands
