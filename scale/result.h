// Records of a load test as JSON lines, one for each role. Metrics are means per member of the role, rates
// are per second. scale/README.md describes the metrics.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "scale/resource_usage.h"
#include "scale/scenario.h"

namespace peargrade::scale {

struct Record {
  std::string revision;
  std::string scenario;
  std::string role;
  std::string variable;  // that a sweep has set; empty: no sweep
  HostInfo host;
  double value = 0;  // of the variable
  int repetition = 1;
  std::uint64_t seed = 0;
  double seconds = 0;  // of the measurement
  std::map<std::string, double> sizes;
  std::map<std::string, double> metrics;
};

/// Sizes and rates of a scenario, by their names in a record.
std::map<std::string, double> sizesOf(const Scenario& scenario);
void writeRecord(std::ostream& out, const Record& record);
/// Throws std::runtime_error with file and line for an invalid record.
std::vector<Record> readRecords(const std::string& path);

/// A check on a run.
struct Property {
  std::string name;
  bool held = false;
  std::string details;  // the measured value and its limit
};

/// Nearest-rank quantile; 0 if there are no values. `share` is from 0 to 1.
double quantile(std::vector<double> values, double share);

}  // namespace peargrade::scale
