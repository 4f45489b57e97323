// Interface between the program and the sources of servers beyond discovery. Their implementation, with the
// libraries that it needs, is a module that is loaded only if the operator's file configures sources or a
// command needs it. The program is compiled against this header only.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "discovery/catalog.h"
#include "dispatch/dispatcher.h"
#include "log/log.h"
#include "operator/operator.h"
#include "zone_server/commands.h"

namespace peargrade::sources {

/// What a SourceRegistry works with. The caller owns all of it and keeps it alive longer than the registry.
struct Dependencies {
  event_base* base = nullptr;
  const op::Operator* op = nullptr;
  const discovery::Names* names = nullptr;
  /// The cached list of servers in the configuration. The membership starts with it.
  const EndpointListUpdate* cachedList = nullptr;
  /// The addresses of the entries of `cachedList`, by the same index.
  const std::vector<std::string>* cachedAddresses = nullptr;
  dispatch::Dispatcher* dispatcher = nullptr;
  log::Log* log = nullptr;
  /// Unix time in microseconds, without jumps.
  std::function<Micros()> clock;
  /// Memory that updates may use in all zones together, in bytes.
  std::size_t zoneMemory = std::size_t{96} << 20;
};

/// The sources of a running supervisor. Posts the merged list of servers to the dispatcher.
class SourceRegistry {
 public:
  virtual ~SourceRegistry() = default;
  /// Receives a list from discovery, which is merged here instead of being posted to the dispatcher directly.
  /// `endpoints` has the addresses of the entries of `update`, by the same index.
  virtual void roster(const EndpointListUpdate& update, const std::vector<std::string>& endpoints) = 0;
  /// Rereads the files that the operator's file names (zone files, keys). Called on SIGHUP.
  virtual void reload() = 0;
  /// Logs one line for each server: the entry of every source, the deciding rule and how long it applies.
  virtual void explain() = 0;
};

using zone_server::ZoneCommand;

/// The arguments of `peargrade srv lookup`.
struct LookupCommand {
  std::string name;
  /// Addresses of the name servers.
  std::vector<std::string> servers;
  bool json = false;
  /// Limit of the lookup, in microseconds.
  Micros timeout = 6000000;
};

/// The arguments of `peargrade sources explain`.
struct ExplainCommand {
  /// Address of discovery; if empty, the roster is not read.
  std::string discovery;
  bool json = false;
  /// How long to wait for all sources, in microseconds.
  Micros timeout = 10000000;
};

/// The functions that the module exports under kModuleEntryPoint.
struct Module {
  /// Identifies the build of the module. Program and module share C++ types, so their builds must be the
  /// same.
  const char* build;
  std::unique_ptr<SourceRegistry> (*open)(const Dependencies&);
  int (*lookup)(const LookupCommand&, log::Log&);
  int (*explain)(const ExplainCommand&, const op::Operator&, const discovery::Names&, log::Log&);
  int (*zone)(const ZoneCommand&, log::Log&);
};
inline constexpr char kModuleEntryPoint[] = "peargrade_sources_module";
inline constexpr char kModuleFileName[] = "peargrade_sources.so";

/// Loads the module from the directory of the program's executable. Throws std::runtime_error if it cannot be
/// loaded or is from another build.
const Module& load();

}  // namespace peargrade::sources
