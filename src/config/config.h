/// Configuration of a supervisor: a JSON file, whose path is in NODE_CONFIG, and environment variables.
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

/// Resources of the machine that the supervisor may use. Field `limits` of the file.
struct Limits {
  bool operator!=(const Limits& other) const {
    return cores != other.cores || memoryMb != other.memoryMb || sockets != other.sockets;
  }

  double cores = 1;
  std::int64_t memoryMb = 192;  // MiB
  int sockets = 1024;           // descriptors
};

/// A configuration whose fields are each valid by themselves. validate() and checkReload() make further
/// checks.
struct Config {
  std::string name;
  net::Address listen;
  net::Address discovery;
  net::Address relay;
  std::uint64_t seed = 0;
  Limits limits;
  Settings settings;
  /// `settings` of the file, as JSON.
  std::string settingsText;
  /// `version`, set by the author of the file; nothing if it is missing or invalid.
  std::optional<std::int64_t> version;
  /// The file has a `version` that is not a whole number of 0 or more. An error only if a reload applies
  /// settings.
  bool versionIsInvalid = false;
  /// Hash of the fields that a reload may apply, from the file without the environment.
  std::uint64_t contentHash = 0;
  /// Zones, kinds and classes of `settings`.
  discovery::Names names;
  /// `known`: the cached endpoint list; empty if the file has none.
  EndpointListUpdate cachedList;
  /// Socket addresses of the endpoints of `cachedList`, in the same order; "" for an endpoint without one.
  std::vector<std::string> cachedAddresses;
};

/// Looks up an environment variable; nothing if it is not set.
using Environment = std::function<std::optional<std::string>(const char*)>;
/// Reads a variable of this process.
std::optional<std::string> processEnvironment(const char* name);

/// Which address of discovery takes precedence if both the file and the environment have one. The
/// environment's does at the start. On a reload the file is newer than the environment, so the file's does.
enum class DiscoveryPrecedence { Environment, File };

/// Parses the text of a file, with the overrides of the environment. Throws ParseError with a line for each
/// invalid field.
Config parse(const std::string& text, const Environment& environment,
             DiscoveryPrecedence precedence = DiscoveryPrecedence::Environment);
/// Reads and parses the file at `path`. Throws ParseError also if it cannot be read or is empty.
Config load(const std::string& path, const Environment& environment,
            DiscoveryPrecedence precedence = DiscoveryPrecedence::Environment);

/// Names of the fields that differ between `current` and `next` and that only a restart applies.
std::vector<std::string> fieldsNeedingRestart(const Config& current, const Config& next);

}  // namespace peargrade::config
