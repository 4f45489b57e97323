// What a supervisor is told at its start: the environment and the file that NODE_CONFIG names.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "discovery/catalog.h"
#include "net/net.h"
#include "peargrade/director.h"

namespace peargrade::config {

// The text has a line for each field that is wrong: its name and what is wrong with it.
class Wrong : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Limits {
  double cores = 1;
  std::int64_t memoryMb = 192;
  int sockets = 1024;
};

struct Config {
  std::string name;
  net::Address listen, discovery, relay;
  std::uint64_t seed = 0;
  Limits limits;
  Settings settings;
  discovery::Names names;
  ListNews known;  // as cached; empty when there is none
};

// Looks a variable up; nothing when it is not set.
using Environment = std::function<std::optional<std::string>(const char*)>;
std::optional<std::string> processEnvironment(const char* name);

// The file's text and the environment together; a variable that is set goes before the same field of the
// file.
Config parse(const std::string& text, const Environment& environment);
// Reads the file first. Throws Wrong.
Config load(const std::string& path, const Environment& environment);

}  // namespace peargrade::config
