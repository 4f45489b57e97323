// What a run resulted in, as JSON lines: one for each role. Figures are per member of the role, rates per
// second. scale/README.md lists them.
#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

#include "scale/meters.h"
#include "scale/scenario.h"

namespace peargrade::scale {

struct Record {
  std::string revision, scenario, role, variable;
  Machine machine;
  double value = 0;
  int repetition = 1;
  std::uint64_t seed = 0;
  double seconds = 0;
  std::map<std::string, double> sizes, metrics;
};

std::map<std::string, double> sizesOf(const Scenario& scenario);
void write(std::ostream& out, const Record& record);
// Throws std::runtime_error with file and line for what is no record.
std::vector<Record> readRecords(const std::string& path);

// What has to hold after a run.
struct Property {
  std::string name;
  bool held = false;
  std::string figure;  // as measured, with the bound
};

// Nearest rank; 0 of none. `share` from 0 to 1.
double quantile(std::vector<double> values, double share);

}  // namespace peargrade::scale
