// The `peargrade zone` commands. Results are written to standard output, problems to standard error.
#pragma once

#include <string>
#include <vector>

#include "log/log.h"
#include "peargrade/decision_engine.h"

namespace peargrade::zone_server {

/// The parsed command line of one `peargrade zone` command.
struct ZoneCommand {
  std::string verb;  // check, show, diff, update, accept
  std::vector<std::string> files;
  std::string origin;
  std::string folder;  // of the zone files
  std::string server;  // HOST:PORT of an update
  std::string key;     // path of the key file
  std::string state;   // folder of the store
  std::string label;   // of the zone for accept, of the key for update
  std::uint32_t serial = 0;
  bool json = false;
  bool tcp = false;
  Micros within = 5000000;  // how long an update waits for an answer
};

/// Runs the command and returns its exit code.
/// check: 0 valid, 1 errors. show: 0 printed, 1 errors. diff: 0 equal, 1 different, 2 unreadable. update: 0
/// accepted, 1 refused, 2 invalid arguments or files, 3 no answer. accept: 0 recorded, 1 not written.
int command(const ZoneCommand& arguments, log::Log& log);

}  // namespace peargrade::zone_server
