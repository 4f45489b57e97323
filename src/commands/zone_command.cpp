#include "commands/zone_command.h"

#include <unistd.h>

#include "commands/errors.h"
#include "log/log.h"

namespace peargrade::commands {

ZoneCommand::ZoneCommand(CLI::App& program)
    : Command(program.add_subcommand("zone", "zone files and updates")) {
  app()->require_subcommand(1);
  addFileCommands();
  addUpdate();
  addAccept();
}

int ZoneCommand::run() {
  log::Log log(STDERR_FILENO, log::Level::Error);
  // Zone names are used without the final dot.
  std::string& origin = arguments_.origin;
  if (!origin.empty() && origin.back() == '.') origin.pop_back();
  return reportingErrors([&] { return sources::load().zone(arguments_, log); });
}

void ZoneCommand::addFileCommands() {
  CLI::App* check = addFileVerb("check", "read a zone file: every mistake, exit code 1", "file", 1);
  CLI::App* show = addFileVerb("show", "a zone file as it is understood", "file", 1);
  CLI::App* diff = addFileVerb("diff", "what differs by meaning; exit code 1", "files", 2);
  for (CLI::App* command : {check, show, diff})
    command->add_option("--folder", arguments_.folder, "includes are kept within; else the file's own");
}

void ZoneCommand::addUpdate() {
  CLI::App* update = addFileVerb("update", "send a signed update: need, need-not, add, delete", "script", 1);
  update->add_option("--server", arguments_.server, "where updates are taken, 127.0.0.1:5300")->required();
  update->add_option("--key", arguments_.key, "file of keys")->required();
  update->add_option("--name", arguments_.label, "which of them, if there are several");
  update->add_flag("--tcp", arguments_.tcp, "over TCP");
}

void ZoneCommand::addAccept() {
  CLI::App* accept = addVerb("accept", "take a zone file although its serial goes back");
  accept->add_option("--state", arguments_.state, "the folder that the operator's file names")->required();
  accept->add_option("--zone", arguments_.label, "the label of the zone")->required();
  accept->add_option("--serial", arguments_.serial, "the serial that is meant")->required();
}

CLI::App* ZoneCommand::addVerb(const char* verb, const char* description) {
  CLI::App* command = app()->add_subcommand(verb, description);
  command->callback([this, verb] { arguments_.verb = verb; });
  command->add_flag("--json", arguments_.json, "as JSON");
  return command;
}

CLI::App* ZoneCommand::addFileVerb(const char* verb, const char* description, const char* argument,
                                   int count) {
  CLI::App* command = addVerb(verb, description);
  command->add_option(argument, arguments_.files)->required()->expected(count);
  command->add_option("--origin", arguments_.origin, "the zone, example.org")->required();
  return command;
}

}  // namespace peargrade::commands
