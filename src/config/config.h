/// Configuration of a supervisor: environment variables and the JSON file that NODE_CONFIG names.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "errors/parse_error.h"
#include "net/net.h"
#include "peargrade/decision_engine.h"

namespace peargrade::config {

/// Resources of the machine that the supervisor may use: `limits`.
struct Limits {
  bool operator!=(const Limits& other) const {
    return cores != other.cores || memoryMb != other.memoryMb || sockets != other.sockets;
  }

  double cores = 1;
  std::int64_t memoryMb = 192;  // MiB
  int sockets = 1024;
};

/// A configuration whose fields are valid each by itself.
struct Config {
  std::string name;
  net::Address listen;
  net::Address discovery;
  net::Address relay;
  std::uint64_t seed = 0;
  Limits limits;
  Settings settings;
  /// `settings` as the file has it.
  std::string settingsText;
  /// `version`, set by whoever writes the file; nothing if the file has none or an invalid one.
  std::optional<std::int64_t> version;
  /// `version` is there and is not a whole number from 0 on. Matters only where a reload applies settings.
  bool versionIsInvalid = false;
  /// Hash of the fields that a reload may apply, as the file has them.
  std::uint64_t contentHash = 0;
  /// Zones, kinds and classes of `settings`.
  discovery::Names names;
  /// `known`: the endpoint list as last cached; empty if there is none.
  EndpointListUpdate cachedList;
  /// Socket addresses of its endpoints, in their order; "" where one is missing.
  std::vector<std::string> cachedAddresses;
};

/// Looks up an environment variable; nothing if it is not set.
using Environment = std::function<std::optional<std::string>(const char*)>;
/// The variables of this process.
std::optional<std::string> processEnvironment(const char* name);

/// Which address of discovery counts where both the file and the environment have one. At the start it is the
/// environment's; a file that was replaced since is newer than the environment.
enum class DiscoveryPrecedence { Environment, File };

/// Reads the text of a file together with the environment. Throws ParseError with a line for each invalid
/// field.
Config parse(const std::string& text, const Environment& environment,
             DiscoveryPrecedence precedence = DiscoveryPrecedence::Environment);
/// Reads the file at `path`. Throws ParseError also if it cannot be read or is empty.
Config load(const std::string& path, const Environment& environment,
            DiscoveryPrecedence precedence = DiscoveryPrecedence::Environment);

/// Names of the fields in which `next` differs from `current` and which only a restart applies.
std::vector<std::string> fieldsNeedingRestart(const Config& current, const Config& next);

}  // namespace peargrade::config
