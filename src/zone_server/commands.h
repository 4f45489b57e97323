// `peargrade zone ...`: one run each, on standard output. Exit codes stand with each.
#pragma once

#include <string>
#include <vector>

#include "log/log.h"
#include "peargrade/decision_engine.h"

namespace peargrade::zone_server {

// One command line of `peargrade zone`.
struct ZoneCommand {
  std::string verb;  // check, show, diff, update, accept
  std::vector<std::string> files;
  std::string origin, folder, server, key, state, label;
  std::uint32_t serial = 0;
  bool json = false, tcp = false;
  Micros within = 5000000;
};

// check: 0 good, 1 mistakes. show: 0, 1 mistakes. diff: 0 the same, 1 different, 2 cannot be read. update: 0
// accepted, 1 refused, 3 no answer. accept: 0 noted, 1 not. Wrong words: 2.
int command(const ZoneCommand& asked, log::Log& log);

}  // namespace peargrade::zone_server
