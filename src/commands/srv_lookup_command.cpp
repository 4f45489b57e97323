#include "commands/srv_lookup_command.h"

#include <unistd.h>

#include "commands/errors.h"
#include "log/log.h"

namespace peargrade::commands {

SrvLookupCommand::SrvLookupCommand(CLI::App& program)
    : Command(program.add_subcommand("srv", "query SRV records")) {
  app()->require_subcommand(1);
  CLI::App* lookup = app()->add_subcommand(
      "lookup", "look up a service; print the answers, their lifetimes and the queries");
  lookup->add_option("name", arguments_.name, "name of the service, such as _orders._tcp.example.org")
      ->required();
  lookup
      ->add_option("--server", arguments_.servers,
                   "address of a name server, such as 127.0.0.1:53; may be repeated")
      ->required();
  lookup->add_flag("--json", arguments_.json, "print JSON");
}

int SrvLookupCommand::run() {
  log::Log log(STDERR_FILENO, log::Level::Error);
  return reportingErrors([&] { return sources::load().lookup(arguments_, log); });
}

}  // namespace peargrade::commands
