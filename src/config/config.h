// What a supervisor is told at its start: the environment and the file that NODE_CONFIG names.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>

#include "discovery/catalog.h"
#include "errors/parse_error.h"
#include "net/net.h"
#include "peargrade/decision_engine.h"

namespace peargrade::config {

struct Limits {
  bool operator!=(const Limits& o) const {
    return cores != o.cores || memoryMb != o.memoryMb || sockets != o.sockets;
  }
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
  std::string settingsText;             // as the file has them
  std::optional<std::int64_t> version;  // of the file's content, by whoever writes it; nothing: not told
  bool versionWrong = false;            // `version` is there and is no whole number from 0 on
  std::uint64_t content = 0;            // hash of what a running program can take over, as the file has it
  discovery::Names names;
  EndpointListUpdate known;                 // as cached; empty when there is none
  std::vector<std::string> knownEndpoints;  // of its entries, in their order
};

// Looks a variable up; nothing when it is not set.
using Environment = std::function<std::optional<std::string>(const char*)>;
std::optional<std::string> processEnvironment(const char* name);

// At the start a variable that is set goes before the same field of the file. Where the file has been
// replaced since, the variable is older: the file's `discovery` goes before it then.
enum class Newer { Environment, File };
// The file's text and the environment together.
Config parse(const std::string& text, const Environment& environment, Newer newer = Newer::Environment);
// Reads the file first. Throws ParseError with a line for each field that is wrong.
Config load(const std::string& path, const Environment& environment, Newer newer = Newer::Environment);

// The fields of `now` that a running program does not take over from `then`, by name.
std::vector<std::string> needRestart(const Config& then, const Config& now);

}  // namespace peargrade::config
