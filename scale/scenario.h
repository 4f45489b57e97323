// Scenario of a load test: sizes of the simulated fleet, load rates, timed events and limits, read from a KDL
// file. Errors name the file, the line and what was expected. `peargrade_scale settings` lists the format.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "kdl/kdl.h"
#include "operator/schema.h"
#include "peargrade/decision_engine.h"
#include "scale/resource_usage.h"

namespace peargrade::scale {

/// An invalid scenario. The message has a line "FILE:LINE:COLUMN: FIELD: found X, expected Y" for each fault.
class ScenarioError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

enum class EventKind {
  BreakWatches,  // resets every watch at discovery at once
  KillMachine,   // kills the supervisors of one control machine at once and restarts them later
  Reload,        // signals every supervisor to reload a configuration that names another discovery address
  Change,        // changes `count` entries of the endpoint list at once
};

struct ScenarioEvent {
  EventKind kind = EventKind::Change;
  Micros at = 0;            // after the start of the measurement
  int count = 1;            // Change: number of entries
  Micros restartAfter = 0;  // KillMachine: delay from the kill to the restart
  kdl::Place place;
};

struct Sizes {
  int supervisors = 1;
  int machines = 1;  // control machines, one process each
  int real = 0;      // how many of the supervisors are `peargrade serve` processes
  int servers = 10;
  int services = 1;
  int racks = 1;
  int slices = 2;  // assigned to each supervisor
  int proxies = 10;
  int zones = 2;
  int regions = 1;
  int tenants = 0;  // appears in the records only: the protocol has no tenants
};

struct Scenario {
  std::string file;
  std::string name;
  std::uint64_t seed = 1;
  Sizes sizes;
  Micros reportInterval = 1000000;
  int reportedServers = 0;  // servers of its service that a supervisor gets load reports on; 0: all servers
  double requestsPerSecond = 1000;  // over all servers
  double changesPerMinute = 0;      // changes of the endpoint list, one entry each
  Micros warmUp = 3000000;
  Micros measurement = 5000000;
  Micros timeLimit = 120000000;  // of the whole run
  Micros settle = 0;             // after the measurement, for events to take full effect
  bool verifyLists = false;      // keep a copy of each supervisor's list and compare it with discovery's
  std::vector<ScenarioEvent> events;
  kdl::Place sizesPlace;  // for errors about the size of the whole fleet
  int maxProcesses = 200;
};

/// The schema as a readable table.
std::string settingsTable();

/// Parses a scenario; `file` is its name in errors. Throws ScenarioError.
Scenario parseScenario(const std::string& text, const std::string& file);
/// Reads and parses the file at `path`. Throws ScenarioError.
Scenario loadScenario(const std::string& path);

/// Sets a size or a rate by its name in the file. Throws ScenarioError for an unknown name or a value out of
/// range.
void setVariable(Scenario& scenario, const std::string& variable, double value);

/// Lowers sizes that may not exceed another size to that size, for example machines to supervisors. To be
/// called after the last setVariable().
void clampDependentSizes(Scenario& scenario);

/// Current value of a size or a rate; 0 for an unknown name.
double variableValue(const Scenario& scenario, const std::string& variable);

// ---- Resources ----

struct ResourceNeeds {
  std::int64_t memoryBytes = 0;
  int processes = 0;
  std::int64_t descriptors = 0;  // of the process that needs the most
};
ResourceNeeds estimateNeeds(const Scenario& scenario);

/// Throws ScenarioError if the fleet needs over half of the host's memory, more processes than the scenario
/// allows or more descriptors than a process may have.
void checkFitsHost(const Scenario& scenario, const HostInfo& host);

}  // namespace peargrade::scale
