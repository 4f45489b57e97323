// What a run of the hollow fleet is: sizes, topology, rates, events and bounds, from a KDL file. Errors name
// the file, the line and what was expected. docs: scale/README.md
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "kdl/kdl.h"
#include "operator/schema.h"
#include "peargrade/decision_engine.h"
#include "scale/meters.h"

namespace peargrade::scale {

// A line "FILE:LINE:COLUMN: WHERE: found X, expected Y" for each thing that is wrong.
class Wrong : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

enum class Happening {
  BreakWatches,  // every watch at discovery is reset at once
  KillMachine,   // the supervisors of a control machine are killed at once and started again later
  Reload,        // every supervisor's configuration names another discovery, and is told by its signal
  Change,        // so many entries of the list change in one moment
};

struct Step {
  Happening what = Happening::Change;
  Micros at = 0;    // after the beginning of the measurement
  int count = 1;    // Change: entries
  Micros back = 0;  // KillMachine: the machine is there again so long after
  kdl::Place place;
};

struct Sizes {
  int supervisors = 1, machines = 1;  // control machines: a process for each
  int real = 0;                       // of the supervisors, as processes `peargrade serve`
  int servers = 10, services = 1, racks = 1;
  int slices = 2;  // in the charge of each supervisor
  int proxies = 10, zones = 2, regions = 1;
  int tenants = 0;  // nothing on the wire names them: a figure of the plan only
};

struct Scenario {
  std::string file, name;
  std::uint64_t seed = 1;
  Sizes sizes;
  Micros reportsEvery = 1000000;
  int reported = 0;             // servers of its service that a supervisor is told of; 0: all there are
  double requests = 1000;       // a second, over all servers
  double changesPerMinute = 0;  // entries of the list, one at a time
  Micros warmUp = 3000000, measured = 5000000, bound = 120000000;
  Micros settle = 0;     // after the measurement, for what events have set off
  bool checked = false;  // each supervisor's list is kept a second time and compared with discovery's
  std::vector<Step> events;
  kdl::Place sizesPlace;  // for what is too large
  int processesMost = 200;
};

// The schema, as a table for people.
std::string settingsTable();
Scenario parseScenario(const std::string& text, const std::string& file);
Scenario loadScenario(const std::string& path);

// Sets a size or a rate by its name in the file. Throws Wrong where there is none or it is out of range.
void set(Scenario& scenario, const std::string& variable, double value);
// After all that is set: what is a part of another size is no more than that.
void trim(Scenario& scenario);
// Its value now.
double valueOf(const Scenario& scenario, const std::string& variable);

// ---- What it would take ----

struct Needs {
  std::int64_t memoryBytes = 0;
  int processes = 0;
  std::int64_t descriptors = 0;  // of the process that needs most
};
Needs needsOf(const Scenario& scenario);
// Throws Wrong where it needs over half of the machine's memory, more processes than the scenario allows or
// more descriptors than a process may hold.
void refuseTooLarge(const Scenario& scenario, const Machine& machine);

}  // namespace peargrade::scale
