#include "commands/zone_command.h"

#include <unistd.h>

#include "commands/errors.h"
#include "log/log.h"

namespace peargrade::commands {

ZoneCommand::ZoneCommand(CLI::App& program)
    : Command(program.add_subcommand("zone", "check zone files and send updates")) {
  app()->require_subcommand(1);
  addFileCommands();
  addUpdate();
  addAccept();
}

int ZoneCommand::run() {
  log::Log log(STDERR_FILENO, log::Level::Error);
  // The zone module expects names without the final dot.
  std::string& origin = arguments_.origin;
  if (!origin.empty() && origin.back() == '.') origin.pop_back();
  return reportingErrors([&] { return sources::load().zone(arguments_, log); });
}

void ZoneCommand::addFileCommands() {
  CLI::App* check = addFileVerb(
      "check", "validate a zone file; print its errors and exit with 1 if there are any", "file", 1);
  CLI::App* show = addFileVerb("show", "print the records of a zone file", "file", 1);
  CLI::App* diff =
      addFileVerb("diff", "compare the records of two zone files; exit with 1 if they differ", "files", 2);
  for (CLI::App* command : {check, show, diff})
    command->add_option("--folder", arguments_.folder,
                        "folder that must contain all includes; default: the folder of the file");
}

void ZoneCommand::addUpdate() {
  CLI::App* update = addFileVerb(
      "update", "send a signed update from a script of need, need-not, add and delete lines", "script", 1);
  update->add_option("--server", arguments_.server, "address that accepts updates, such as 127.0.0.1:5300")
      ->required();
  update->add_option("--key", arguments_.key, "key file")->required();
  update->add_option("--name", arguments_.label, "name of the key, if the file has several");
  update->add_flag("--tcp", arguments_.tcp, "send over TCP");
}

void ZoneCommand::addAccept() {
  CLI::App* accept =
      addVerb("accept", "accept a zone file although its serial is lower than the current one");
  accept->add_option("--state", arguments_.state, "state folder of the zone, as in the operator's file")
      ->required();
  accept->add_option("--zone", arguments_.label, "label of the zone")->required();
  accept->add_option("--serial", arguments_.serial, "serial of the zone file to accept")->required();
}

CLI::App* ZoneCommand::addVerb(const char* verb, const char* description) {
  CLI::App* command = app()->add_subcommand(verb, description);
  command->callback([this, verb] { arguments_.verb = verb; });
  command->add_flag("--json", arguments_.json, "print JSON");
  return command;
}

CLI::App* ZoneCommand::addFileVerb(const char* verb, const char* description, const char* argument,
                                   int count) {
  CLI::App* command = addVerb(verb, description);
  command->add_option(argument, arguments_.files)->required()->expected(count);
  command->add_option("--origin", arguments_.origin, "origin of the zone, such as example.org")->required();
  return command;
}

}  // namespace peargrade::commands
