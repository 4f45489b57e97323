// The way into the sources of servers beyond discovery. What they need stands in a module of its own that is
// loaded only where an operator's file asks for it; the program knows this interface alone.
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

// All that a front works with; it outlives the front.
struct Dependencies {
  event_base* base = nullptr;
  const op::Operator* op = nullptr;
  const discovery::Names* names = nullptr;
  const EndpointListUpdate* known = nullptr;  // of the configuration, with the endpoints of its entries
  const std::vector<std::string>* knownEndpoints = nullptr;
  dispatch::Dispatcher* exchange = nullptr;
  log::Log* log = nullptr;
  std::function<Micros()> clock;  // Unix time that never jumps
};

// The sources while the program serves; it posts the list to the exchange.
class SourceRegistry {
 public:
  virtual ~SourceRegistry() = default;
  // What discovery tells, in place of the exchange.
  virtual void roster(const EndpointListUpdate& news, const std::vector<std::string>& endpoints) = 0;
  // SIGHUP: what the operator's file names is read anew (zone files, keys).
  virtual void reload() = 0;
  // A line in the log for each server: which source says what, which rule decided, until when.
  virtual void explain() = 0;
};

using zone_server::ZoneCommand;
// One command line of `peargrade srv lookup`. Times in microseconds.
struct LookupCommand {
  std::string name;
  std::vector<std::string> servers;
  bool json = false;
  Micros within = 6000000;
};
// One command line of `peargrade sources explain`. Times in microseconds.
struct ExplainCommand {
  std::string discovery;  // address; "": the roster is left out
  bool json = false;
  Micros within = 10000000;
};

// What the module exports under kEntry. Both are built from one tree; `build` tells them apart if they are
// not.
struct Module {
  const char* build;
  std::unique_ptr<SourceRegistry> (*open)(const Dependencies&);
  int (*lookup)(const LookupCommand&, log::Log&);
  int (*explain)(const ExplainCommand&, const op::Operator&, const discovery::Names&, log::Log&);
  int (*zone)(const ZoneCommand&, log::Log&);
};
inline constexpr char kEntry[] = "peargrade_sources_module";
inline constexpr char kFile[] = "peargrade_sources.so";

// Loads the module from the folder that the program lies in. Throws std::runtime_error with the reason.
const Module& load();

}  // namespace peargrade::sources
