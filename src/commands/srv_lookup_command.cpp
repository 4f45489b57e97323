#include "commands/srv_lookup_command.h"

#include <unistd.h>

#include "commands/errors.h"
#include "log/log.h"

namespace peargrade::commands {

SrvLookupCommand::SrvLookupCommand(CLI::App& program)
    : Command(program.add_subcommand("srv", "SRV records")) {
  app()->require_subcommand(1);
  CLI::App* lookup = app()->add_subcommand("lookup", "look a service up: answers, lifetimes, steps taken");
  lookup->add_option("name", arguments_.name, "such as _orders._tcp.example.org")->required();
  lookup->add_option("--server", arguments_.servers, "a name server, 127.0.0.1:53; may stand several times")
      ->required();
  lookup->add_flag("--json", arguments_.json, "as JSON");
}

int SrvLookupCommand::run() {
  log::Log log(STDERR_FILENO, log::Level::Error);
  return reportingErrors([&] { return sources::load().lookup(arguments_, log); });
}

}  // namespace peargrade::commands
