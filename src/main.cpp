#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <list>
#include <map>
#include <string>

#include "config/config.h"
#include "config/reload_check.h"
#include "log/log.h"
#include "operator/operator.h"
#include "sources/source_registry.h"
#include "supervisor/serve.h"
#include "supervisor/signals.h"
#include "version.h"

namespace {

using peargrade::config::Config;

std::string tableOf(const Config& c) {
  std::ostringstream text;
  text << "name       " << c.name << "\nlisten     " << c.listen.text() << "\ndiscovery  "
       << c.discovery.text() << "\nrelay      " << c.relay.text() << "\nlimits     " << c.limits.cores
       << " cores, " << c.limits.memoryMb << " MB, " << c.limits.sockets << " descriptors\nsettings   "
       << c.names.classes.size() << " classes, " << c.settings.slices << " slices, " << c.names.zones.size()
       << " zones, " << c.settings.supervisors << " supervisors\nknown      revision " << c.cachedList.version
       << ", " << c.cachedList.endpoints.size() << " servers\n";
  return text.str();
}

// What the words of a command say of both files.
struct Words {
  CLI::App* command = nullptr;
  std::string path, operatorPath;
  std::map<std::string, std::string> told;  // by variable: what an option or the variable says
};

}  // namespace

int main(int argc, char** argv) {
  // Before anything that could take time; whatever else than a supervisor this turns out to be ends by them.
  if (argc > 1 && std::string(argv[1]) == "serve") peargrade::supervisor::Signals::block();
  CLI::App app("peargrade: a traffic director for a fleet of sidecar proxies");
  app.require_subcommand(1);
  app.failure_message(CLI::FailureMessage::help);
  std::string level = "info";
  bool settings = false;
  std::list<Words> words;  // of each command its own: a variable counts for all of them, an option for one
  const auto withConfig = [&](CLI::App* command) {
    words.emplace_back();
    Words& own = words.back();
    own.command = command;
    command->add_option("-c,--config", own.path, "configuration file")->envname("NODE_CONFIG");
    command->add_option("--name", own.told["NODE_NAME"], "its name; before the file's")->envname("NODE_NAME");
    command->add_option("--listen", own.told["NODE_LISTEN"], "address to listen on; before the file's")
        ->envname("NODE_LISTEN");
    command->add_option("--discovery", own.told["NODE_DISCOVERY"], "discovery's address; before the file's")
        ->envname("NODE_DISCOVERY");
    command
        ->add_option("--operator", own.operatorPath,
                     "the operator's file; without it all that it sets is off")
        ->envname("PEARGRADE_OPERATOR");
    return command;
  };
  CLI::App* serve = withConfig(app.add_subcommand("serve", "run one supervisor until SIGTERM"));
  serve->add_option("--log-level", level, "least level that is logged: debug, info, warn, error, off")
      ->envname("NODE_LOG_LEVEL")
      ->check(CLI::IsMember({"debug", "info", "warn", "error", "off"}))
      ->capture_default_str();
  CLI::App* check = withConfig(app.add_subcommand("check", "read a configuration and say what it holds"));
  check->add_flag("--settings", settings, "list what the operator's file may hold, and end");
  CLI::App* version = app.add_subcommand("version", "print the version");
  CLI::App* srv = app.add_subcommand("srv", "SRV records");
  srv->require_subcommand(1);
  peargrade::sources::LookupCommand lookupAsked;
  CLI::App* lookup = srv->add_subcommand("lookup", "look a service up: answers, lifetimes, steps taken");
  lookup->add_option("name", lookupAsked.name, "such as _orders._tcp.example.org")->required();
  lookup->add_option("--server", lookupAsked.servers, "a name server, 127.0.0.1:53; may stand several times")
      ->required();
  lookup->add_flag("--json", lookupAsked.json, "as JSON");
  CLI::App* sourcesOf = app.add_subcommand("sources", "where the list of servers comes from");
  sourcesOf->require_subcommand(1);
  peargrade::sources::ExplainCommand explainAsked;
  CLI::App* explain = withConfig(sourcesOf->add_subcommand(
      "explain", "ask every source once: who says what of each server, which rule decides, until when"));
  explain->add_flag("--json", explainAsked.json, "as JSON");

  CLI::App* zone = app.add_subcommand("zone", "zone files and updates");
  zone->require_subcommand(1);
  peargrade::sources::ZoneCommand zoneAsked;
  const auto zoneCommand = [&](const char* verb, const char* says) {
    CLI::App* command = zone->add_subcommand(verb, says);
    command->callback([&zoneAsked, verb] { zoneAsked.verb = verb; });
    command->add_flag("--json", zoneAsked.json, "as JSON");
    return command;
  };
  const auto withFiles = [&](CLI::App* command, const char* name, int count) {
    command->add_option(name, zoneAsked.files)->required()->expected(count);
    command->add_option("--origin", zoneAsked.origin, "the zone, example.org")->required();
    return command;
  };
  for (CLI::App* command :
       {withFiles(zoneCommand("check", "read a zone file: every mistake, exit code 1"), "file", 1),
        withFiles(zoneCommand("show", "a zone file as it is understood"), "file", 1),
        withFiles(zoneCommand("diff", "what differs by meaning; exit code 1"), "files", 2)})
    command->add_option("--folder", zoneAsked.folder, "includes are kept within; else the file's own");
  CLI::App* update =
      withFiles(zoneCommand("update", "send a signed update: need, need-not, add, delete"), "script", 1);
  update->add_option("--server", zoneAsked.server, "where updates are taken, 127.0.0.1:5300")->required();
  update->add_option("--key", zoneAsked.key, "file of keys")->required();
  update->add_option("--name", zoneAsked.label, "which of them, if there are several");
  update->add_flag("--tcp", zoneAsked.tcp, "over TCP");
  CLI::App* accept = zoneCommand("accept", "take a zone file although its serial goes back");
  accept->add_option("--state", zoneAsked.state, "the folder that the operator's file names")->required();
  accept->add_option("--zone", zoneAsked.label, "the label of the zone")->required();
  accept->add_option("--serial", zoneAsked.serial, "the serial that is meant")->required();

  CLI11_PARSE(app, argc, argv);

  if (version->parsed()) {
    std::cout << "peargrade " << peargrade::kVersion << '\n';
    return 0;
  }
  if (settings) {
    std::cout << peargrade::op::tableOf(peargrade::op::schema());
    return 0;
  }
  peargrade::log::Log log(STDERR_FILENO, *peargrade::log::levelNamed(serve->parsed() ? level : "error"));
  if (lookup->parsed() || zone->parsed()) {
    try {
      // Names as the rest of the program has them.
      if (!zoneAsked.origin.empty() && zoneAsked.origin.back() == '.') zoneAsked.origin.pop_back();
      if (zone->parsed()) return peargrade::sources::load().zone(zoneAsked, log);
      return peargrade::sources::load().lookup(lookupAsked, log);
    } catch (const std::exception& e) {
      std::cerr << "peargrade: " << e.what() << '\n';
      return 1;
    }
  }
  const auto parsed =
      std::find_if(words.begin(), words.end(), [](const Words& w) { return w.command->parsed(); });
  const std::string& path = parsed->path;
  const std::string& operatorPath = parsed->operatorPath;
  const auto& told = parsed->told;
  if (path.empty()) {
    std::cerr << "--config is required\n" << parsed->command->help();
    return static_cast<int>(CLI::ExitCodes::RequiredError);
  }
  const auto environment = [&](const char* variable) {
    const auto it = told.find(variable);
    return it == told.end() ? std::nullopt : std::optional<std::string>(it->second);
  };
  try {
    const Config config = peargrade::config::load(path, environment);
    std::optional<peargrade::op::Operator> op;
    if (!operatorPath.empty()) op = peargrade::op::load(operatorPath, &config.names);
    if (op && op->settingsReload) {
      if (const auto objection = peargrade::config::validate(config))
        throw peargrade::ParseError(peargrade::ParseErrorCode::InvalidConfiguration, "", objection->message);
    }
    if (check->parsed()) {
      std::cout << tableOf(config);
      if (op) std::cout << "operator   " << operatorPath << '\n' << peargrade::op::tableOf(*op);
      return 0;
    }
    if (explain->parsed()) {
      if (!op) {
        std::cerr << "peargrade: sources explain needs --operator FILE\n";
        return 2;
      }
      explainAsked.discovery = config.discovery.text();
      return peargrade::sources::load().explain(explainAsked, *op, config.names, log);
    }
    const auto loadAgain = [&] {
      return peargrade::config::load(path, environment, peargrade::config::DiscoveryPrecedence::File);
    };
    peargrade::supervisor::MakeSources makeSources;
    if (op && op->sources()) makeSources = peargrade::sources::load().open;
    return peargrade::supervisor::serve(config, loadAgain, log, op ? &*op : nullptr, makeSources);
  } catch (const peargrade::ParseError& e) {
    if (e.code() == peargrade::ParseErrorCode::InvalidOperatorFile)
      std::cerr << "peargrade: the operator's file is wrong:\n" << e.what() << '\n';
    else
      std::cerr << "peargrade: the configuration is wrong (" << path << "):\n" << e.what() << '\n';
    return 2;
  } catch (const std::exception& e) {
    std::cerr << "peargrade: " << e.what() << '\n';
    return 1;
  }
}
