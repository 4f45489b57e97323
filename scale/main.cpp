// peargrade_scale: a load test with a simulated fleet. Runs a scenario once, at several values of one
// variable or at several fractions of its sizes, and analyses the records. Records are JSON lines; progress
// goes to standard error.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

#include "scale/fit.h"
#include "scale/fleet.h"

namespace peargrade::scale {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitInvalidScenario = 2;
constexpr int kExitTimeLimit = 3;
constexpr int kExitPropertyViolated = 4;

/// Options of the commands that run a scenario.
struct RunOptions {
  std::string file;
  std::string out;  // empty: standard output
  std::string program;
  std::string revision;
  std::string variable;               // swept; empty: none
  std::vector<std::string> settings;  // NAME=NUMBER
  std::vector<double> values;         // of the variable, or fractions of the sizes
  int repetitions = 1;
};

/// Git revision of the current directory; "unknown" outside a checkout.
std::string currentRevision() {
  std::string text;
  if (FILE* git = popen("git rev-parse --short HEAD 2>/dev/null", "r")) {
    std::array<char, 64> buffer{};
    if (std::fgets(buffer.data(), buffer.size(), git) != nullptr) text = buffer.data();
    pclose(git);
  }
  while (!text.empty() && text.back() == '\n') text.pop_back();
  return text.empty() ? "unknown" : text;
}

/// Path of `peargrade` in the directory of this program.
std::string defaultProgram() {
  std::string path(4096, '\0');
  const ssize_t size = readlink("/proc/self/exe", path.data(), path.size());
  path.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return path.substr(0, path.rfind('/')) + "/peargrade";
}

/// Applies a setting of the form "servers=94".
void applySetting(Scenario& scenario, const std::string& setting) {
  const auto equals = setting.find('=');
  double value = 0;
  std::istringstream in(equals == std::string::npos ? "" : setting.substr(equals + 1));
  if (!(in >> value)) throw ScenarioError("--set: found '" + setting + "', expected NAME=NUMBER");
  setVariable(scenario, setting.substr(0, equals), value);
}

Scenario makeScenario(const RunOptions& options) {
  Scenario scenario = loadScenario(options.file);
  for (const std::string& setting : options.settings) applySetting(scenario, setting);
  clampDependentSizes(scenario);
  return scenario;
}

/// Runs the scenario once and writes its records. Returns false if a property was violated.
bool runOnce(const Scenario& scenario, const RunOptions& options, std::ostream& out, double value,
             int repetition) {
  Fleet fleet(scenario, options.program, std::cerr);
  RunResult result = fleet.run();
  for (Record& record : result.records) {
    record.revision = options.revision;
    record.variable = options.variable;
    record.value = value;
    record.repetition = repetition;
    writeRecord(out, record);
  }
  for (const Property& p : result.properties)
    std::cerr << scenario.name << ": " << (p.held ? "held    " : "BROKEN  ") << p.name << ": " << p.details
              << '\n';
  return result.allHeld();
}

/// Runs every scenario `repetitions` times. Appends to the output file, so that an interrupted sweep keeps
/// its records.
int runAll(const RunOptions& options, const std::vector<std::pair<double, Scenario>>& scenarios) {
  std::ofstream file;
  if (!options.out.empty()) {
    file.open(options.out, std::ios::app);
    if (!file) throw std::runtime_error("cannot open " + options.out + " for appending");
  }
  bool held = true;
  for (int repetition = 1; repetition <= options.repetitions; ++repetition) {
    for (auto [value, scenario] : scenarios) {
      scenario.seed += static_cast<std::uint64_t>(repetition - 1);
      std::cerr << "repetition " << repetition
                << (options.variable.empty() ? "" : ", " + options.variable + " ");
      if (!options.variable.empty()) std::cerr << value;
      std::cerr << '\n';
      held = runOnce(scenario, options, options.out.empty() ? std::cout : file, value, repetition) && held;
    }
  }
  return held ? 0 : kExitPropertyViolated;
}

int run(const RunOptions& options) { return runAll(options, {{0, makeScenario(options)}}); }

int sweep(const RunOptions& options) {
  std::vector<std::pair<double, Scenario>> scenarios;
  for (const double value : options.values) {
    scenarios.emplace_back(value, makeScenario(options));
    setVariable(scenarios.back().second, options.variable, value);
    clampDependentSizes(scenarios.back().second);
    checkFitsHost(scenarios.back().second, hostInfo());
  }
  return runAll(options, scenarios);
}

/// Runs the scenario with all of its main sizes scaled by each of the fractions.
int ladder(RunOptions options) {
  std::vector<std::pair<double, Scenario>> scenarios;
  for (const double fraction : options.values) {
    Scenario scenario = makeScenario(options);
    for (const char* name :
         {"supervisors", "servers", "services", "racks", "proxies", "machines", "tenants", "requests"}) {
      const double fullValue = variableValue(scenario, name);
      if (fullValue > 1) setVariable(scenario, name, std::max(1.0, std::round(fullValue * fraction)));
    }
    clampDependentSizes(scenario);
    checkFitsHost(scenario, hostInfo());
    scenarios.emplace_back(fraction, scenario);
  }
  options.variable = "ladder";
  return runAll(options, scenarios);
}

struct FitOptions {
  std::string file;
  std::string variable;
  std::string role;    // empty: all
  std::string metric;  // empty: all
};

/// Prints a table with the fit of each metric of a sweep.
int fitAll(const FitOptions& options) {
  std::map<std::pair<std::string, std::string>, std::vector<Point>> byMetric;
  for (const Record& record : readRecords(options.file)) {
    if (record.variable != options.variable || (!options.role.empty() && record.role != options.role))
      continue;
    const auto slash = record.scenario.find('/');
    const std::string role = record.role + (slash == std::string::npos ? "" : record.scenario.substr(slash));
    for (const auto& [name, value] : record.metrics) {
      if (options.metric.empty() || options.metric == name)
        byMetric[{role, name}].push_back({record.value, value});
    }
  }
  if (byMetric.empty())
    throw std::runtime_error(options.file + ": found no records of a sweep of '" + options.variable +
                             "', expected one or more");
  std::cout << "| role | metric | intercept | slope per " << options.variable
            << " | residual | noise | power | values (runs) | growth | largest deviation from the line |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& [metric, points] : byMetric) {
    const Fit f = fit(points);
    std::cout << "| " << metric.first << " | " << metric.second << " | " << std::setprecision(4)
              << f.intercept << " | " << f.slope << " | " << std::setprecision(3) << 100 * f.residual
              << "% | " << 100 * f.noise << "% | " << f.power << " | " << f.distinctX << " (" << f.points
              << ") | " << growthName(f.growth) << " | " << 100 * f.worstDeviation << "% at "
              << f.worstDeviationX << " |\n";
  }
  return 0;
}

struct CompareOptions {
  std::string file;
  std::string variable;
  double tolerance = 0.25;  // of the ratio of slopes from 1
};

/// Compares the slopes of simulated supervisors with those of supervisor processes in the same runs.
int compare(const CompareOptions& options) {
  std::map<std::string, std::vector<Point>> simulated, processes;
  for (const Record& record : readRecords(options.file)) {
    if (record.variable != options.variable || record.role != "supervisor") continue;
    auto& metrics = record.scenario.find('/') == std::string::npos ? simulated : processes;
    for (const auto& [name, value] : record.metrics) metrics[name].push_back({record.value, value});
  }
  if (processes.empty())
    throw std::runtime_error(options.file +
                             ": found no records of supervisor processes, expected a sweep with them");
  bool within = true;
  std::cout << "| metric | simulated: intercept, slope per " << options.variable
            << " | processes: intercept, slope per " << options.variable
            << " | slopes differ by | tolerance |\n"
               "| --- | --- | --- | --- | --- |\n";
  for (const auto& [name, points] : processes) {
    const Fit processFit = fit(points);
    const Fit simulatedFit = fit(simulated[name]);
    const double deviation = simulatedFit.slope / processFit.slope - 1;
    within = within && std::abs(deviation) <= options.tolerance;
    std::cout << "| " << name << " | " << std::setprecision(4) << simulatedFit.intercept << ", "
              << simulatedFit.slope << " | " << processFit.intercept << ", " << processFit.slope << " | "
              << std::setprecision(3) << 100 * deviation << "% | " << 100 * options.tolerance << "% |\n";
  }
  return within ? 0 : kExitPropertyViolated;
}

/// Options of all commands, and the exit code of the one that was run.
struct CommandLine {
  RunOptions run;
  FitOptions fit;
  CompareOptions compare;
  int exitCode = 0;
};

CLI::App* addFleetCommand(CLI::App& app, CommandLine& line, const char* name, const char* description) {
  RunOptions& options = line.run;
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("scenario", options.file, "a KDL file, as in scale/scenarios/")->required();
  command->add_option("--set", options.settings, "NAME=NUMBER: overrides a size or rate of the file");
  command->add_option("--out", options.out, "file to append the records to (default: standard output)");
  command->add_option("--repetitions", options.repetitions, "number of runs, with consecutive seeds")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  command->add_option("--program", options.program, "path of peargrade, for supervisor processes")
      ->capture_default_str();
  command->add_option("--revision", options.revision,
                      "revision in the records (default: of the current directory)");
  return command;
}

void addFleetCommands(CLI::App& app, CommandLine& line) {
  addFleetCommand(app, line, "run", "run a scenario")->callback([&line] { line.exitCode = run(line.run); });

  CLI::App* sweepCommand =
      addFleetCommand(app, line, "sweep", "run a scenario with one size or rate at several values");
  sweepCommand->add_option("--variable", line.run.variable, "name of the size or rate in the file")
      ->required();
  sweepCommand->add_option("--values", line.run.values, "for example 23,94,188")->required()->delimiter(',');
  sweepCommand->callback([&line] { line.exitCode = sweep(line.run); });

  CLI::App* ladderCommand =
      addFleetCommand(app, line, "ladder", "run a scenario with its sizes scaled by several fractions");
  ladderCommand->add_option("--parts", line.run.values, "fractions (default: 0.0625,0.125,0.25,0.5,1)")
      ->delimiter(',')
      ->check(CLI::Range(0.001, 1.0));
  ladderCommand->callback([&line] {
    if (line.run.values.empty()) line.run.values = {0.0625, 0.125, 0.25, 0.5, 1};
    line.exitCode = ladder(line.run);
  });
}

void addAnalysisCommands(CLI::App& app, CommandLine& line) {
  CLI::App* fitCommand = app.add_subcommand("fit", "fit the growth of each metric of a sweep");
  fitCommand->add_option("results", line.fit.file, "file with the records of a sweep")->required();
  fitCommand->add_option("--variable", line.fit.variable, "the swept variable")->required();
  fitCommand->add_option("--role", line.fit.role, "only this role");
  fitCommand->add_option("--metric", line.fit.metric, "only this metric");
  fitCommand->callback([&line] { line.exitCode = fitAll(line.fit); });

  CLI::App* compareCommand =
      app.add_subcommand("compare", "compare the slopes of simulated supervisors and supervisor processes");
  compareCommand
      ->add_option("results", line.compare.file,
                   "file with the records of a sweep that has supervisor processes")
      ->required();
  compareCommand->add_option("--variable", line.compare.variable, "the swept variable")->required();
  compareCommand
      ->add_option("--tolerance", line.compare.tolerance, "largest relative difference of the slopes")
      ->capture_default_str();
  compareCommand->callback([&line] { line.exitCode = compare(line.compare); });

  app.add_subcommand("settings", "list the settings of a scenario file")->callback([] {
    std::cout << settingsTable();
  });
}

int runCommandLine(int argc, char** argv) {
  CLI::App app("load test: hundreds of supervisors on loopback with simulated peers");
  app.require_subcommand(1);
  CommandLine line;
  line.run.program = defaultProgram();
  addFleetCommands(app, line);
  addAnalysisCommands(app, line);
  app.parse_complete_callback([&line] {
    if (line.run.revision.empty()) line.run.revision = currentRevision();
  });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e);
  }
  return line.exitCode;
}

}  // namespace
}  // namespace peargrade::scale

int main(int argc, char** argv) {
  using namespace peargrade::scale;
  try {
    return runCommandLine(argc, argv);
  } catch (const ScenarioError& e) {
    std::cerr << "peargrade_scale: invalid scenario:\n" << e.what() << '\n';
    return kExitInvalidScenario;
  } catch (const TimeLimitExceeded& e) {
    std::cerr << "peargrade_scale: the run exceeded its time limit: " << e.what() << '\n';
    return kExitTimeLimit;
  } catch (const std::exception& e) {
    std::cerr << "peargrade_scale: " << e.what() << '\n';
    return kExitFailed;
  }
}
