// peargrade_scale: runs a scenario of the hollow fleet, sweeps one variable, climbs the ladder of sizes, and
// fits what came of it. Results are JSON lines; progress goes to standard error.
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

constexpr int kRuleBroken = 4, kOutOfTime = 3, kWrong = 2, kFailed = 1;

// What every run of a fleet is told beside its scenario.
struct Asked {
  std::string file, out, program, revision, variable;
  std::vector<std::string> settings;
  std::vector<double> values;
  int repetitions = 1;
};

// Of the checkout that the program is run in.
std::string revisionHere() {
  std::string text;
  if (FILE* git = popen("git rev-parse --short HEAD 2>/dev/null", "r")) {
    std::array<char, 64> piece{};
    if (std::fgets(piece.data(), piece.size(), git) != nullptr) text = piece.data();
    pclose(git);
  }
  while (!text.empty() && text.back() == '\n') text.pop_back();
  return text.empty() ? "unknown" : text;
}

std::string programBeside() {
  std::string path(4096, '\0');
  const ssize_t size = readlink("/proc/self/exe", path.data(), path.size());
  path.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
  return path.substr(0, path.rfind('/')) + "/peargrade";
}

// "servers=94", as the scenario's file names it.
void apply(Scenario& scenario, const std::string& setting) {
  const auto equals = setting.find('=');
  double value = 0;
  std::istringstream in(equals == std::string::npos ? "" : setting.substr(equals + 1));
  if (!(in >> value)) throw Wrong("--set: found '" + setting + "', expected NAME=NUMBER");
  set(scenario, setting.substr(0, equals), value);
}

Scenario scenarioOf(const Asked& asked) {
  Scenario scenario = loadScenario(asked.file);
  for (const std::string& setting : asked.settings) apply(scenario, setting);
  trim(scenario);
  return scenario;
}

// Runs once; writes its records. False: a property did not hold.
bool runOnce(const Scenario& scenario, const Asked& asked, std::ostream& out, double value, int repetition) {
  Fleet fleet(scenario, asked.program, std::cerr);
  Report report = fleet.run();
  for (Record& record : report.records) {
    record.revision = asked.revision;
    record.variable = asked.variable;
    record.value = value;
    record.repetition = repetition;
    write(out, record);
  }
  for (const Property& p : report.properties)
    std::cerr << scenario.name << ": " << (p.held ? "held    " : "BROKEN  ") << p.name << ": " << p.figure
              << '\n';
  return report.held();
}

// The file is added to, so that a sweep that was broken off keeps what it has.
int runAll(const Asked& asked, const std::vector<std::pair<double, Scenario>>& scenarios) {
  std::ofstream file;
  if (!asked.out.empty()) {
    file.open(asked.out, std::ios::app);
    if (!file) throw std::runtime_error("cannot write " + asked.out);
  }
  bool held = true;
  for (int repetition = 1; repetition <= asked.repetitions; ++repetition) {
    for (auto [value, scenario] : scenarios) {
      scenario.seed += static_cast<std::uint64_t>(repetition - 1);
      std::cerr << "repetition " << repetition << (asked.variable.empty() ? "" : ", " + asked.variable + " ");
      if (!asked.variable.empty()) std::cerr << value;
      std::cerr << '\n';
      held = runOnce(scenario, asked, asked.out.empty() ? std::cout : file, value, repetition) && held;
    }
  }
  return held ? 0 : kRuleBroken;
}

int run(const Asked& asked) { return runAll(asked, {{0, scenarioOf(asked)}}); }

int sweep(const Asked& asked) {
  std::vector<std::pair<double, Scenario>> scenarios;
  for (const double value : asked.values) {
    scenarios.emplace_back(value, scenarioOf(asked));
    set(scenarios.back().second, asked.variable, value);
    trim(scenarios.back().second);
    refuseTooLarge(scenarios.back().second, machine());
  }
  return runAll(asked, scenarios);
}

// All sizes that grow with the plan, at a part of it.
int ladder(Asked asked) {
  std::vector<std::pair<double, Scenario>> scenarios;
  for (const double part : asked.values) {
    Scenario scenario = scenarioOf(asked);
    for (const char* name :
         {"supervisors", "servers", "services", "racks", "proxies", "machines", "tenants", "requests"}) {
      const double whole = valueOf(scenario, name);
      if (whole > 1) set(scenario, name, std::max(1.0, std::round(whole * part)));
    }
    trim(scenario);
    refuseTooLarge(scenario, machine());
    scenarios.emplace_back(part, scenario);
  }
  asked.variable = "ladder";
  return runAll(asked, scenarios);
}

struct FitAsked {
  std::string file, variable, role, metric;
};

int fitAll(const FitAsked& asked) {
  std::map<std::pair<std::string, std::string>, std::vector<Point>> byFigure;
  for (const Record& r : readRecords(asked.file)) {
    if (r.variable != asked.variable || (!asked.role.empty() && r.role != asked.role)) continue;
    const auto slash = r.scenario.find('/');
    const std::string role = r.role + (slash == std::string::npos ? "" : r.scenario.substr(slash));
    for (const auto& [name, value] : r.metrics) {
      if (asked.metric.empty() || asked.metric == name) byFigure[{role, name}].push_back({r.value, value});
    }
  }
  if (byFigure.empty())
    throw std::runtime_error(asked.file + ": found no result of a sweep of '" + asked.variable +
                             "', expected one");
  std::cout << "| role | figure | at nothing | per " << asked.variable
            << " | left over | noise | power | values (runs) | growth | furthest from the line |\n"
               "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (const auto& [figure, points] : byFigure) {
    const Fit f = fit(points);
    std::cout << "| " << figure.first << " | " << figure.second << " | " << std::setprecision(4) << f.base
              << " | " << f.slope << " | " << std::setprecision(3) << 100 * f.residual << "% | "
              << 100 * f.noise << "% | " << f.power << " | " << f.values << " (" << f.points << ") | "
              << nameOf(f.growth) << " | " << 100 * f.worst << "% at " << f.worstAt << " |\n";
  }
  return 0;
}

struct CompareAsked {
  std::string file, variable;
  double tolerance = 0.25;
};

// Slopes of the hollow supervisors beside those of the real ones in the same runs.
int compare(const CompareAsked& asked) {
  std::map<std::string, std::vector<Point>> hollow, real;
  for (const Record& r : readRecords(asked.file)) {
    if (r.variable != asked.variable || r.role != "supervisor") continue;
    auto& side = r.scenario.find('/') == std::string::npos ? hollow : real;
    for (const auto& [name, value] : r.metrics) side[name].push_back({r.value, value});
  }
  if (real.empty())
    throw std::runtime_error(asked.file + ": found no real supervisors, expected some beside the hollow");
  bool within = true;
  std::cout << "| figure | hollow: at nothing, per " << asked.variable << " | real: at nothing, per "
            << asked.variable
            << " | slopes differ by | tolerance |\n"
               "| --- | --- | --- | --- | --- |\n";
  for (const auto& [name, points] : real) {
    const Fit there = fit(points), here = fit(hollow[name]);
    const double off = here.slope / there.slope - 1;
    within = within && std::abs(off) <= asked.tolerance;
    std::cout << "| " << name << " | " << std::setprecision(4) << here.base << ", " << here.slope << " | "
              << there.base << ", " << there.slope << " | " << std::setprecision(3) << 100 * off << "% | "
              << 100 * asked.tolerance << "% |\n";
  }
  return within ? 0 : kRuleBroken;
}

/// What the command line asks for, and the exit code of the command that was run.
struct CommandLine {
  Asked asked;
  FitAsked fit;
  CompareAsked compare;
  int exitCode = 0;
};

CLI::App* addFleetCommand(CLI::App& app, CommandLine& line, const char* name, const char* description) {
  Asked& asked = line.asked;
  CLI::App* command = app.add_subcommand(name, description);
  command->add_option("scenario", asked.file, "a KDL file, as in scale/scenarios/")->required();
  command->add_option("--set", asked.settings, "NAME=NUMBER: a size or rate in place of the file's");
  command->add_option("--out", asked.out, "file that results are added to; else standard output");
  command->add_option("--repetitions", asked.repetitions, "of the whole")
      ->check(CLI::Range(1, 100))
      ->capture_default_str();
  command->add_option("--program", asked.program, "peargrade, for real supervisors")->capture_default_str();
  command->add_option("--revision", asked.revision, "told in results; else that of the checkout here");
  return command;
}

void addFleetCommands(CLI::App& app, CommandLine& line) {
  addFleetCommand(app, line, "run", "run a scenario")->callback([&line] { line.exitCode = run(line.asked); });

  CLI::App* sweeping =
      addFleetCommand(app, line, "sweep", "run a scenario with one size or rate at several values");
  sweeping->add_option("--variable", line.asked.variable, "its name in the file")->required();
  sweeping->add_option("--values", line.asked.values, "23,94,188")->required()->delimiter(',');
  sweeping->callback([&line] { line.exitCode = sweep(line.asked); });

  CLI::App* climbing =
      addFleetCommand(app, line, "ladder", "run a scenario with all that grows at parts of it");
  climbing->add_option("--parts", line.asked.values, "0.0625,0.125,0.25,0.5,1")
      ->delimiter(',')
      ->check(CLI::Range(0.001, 1.0));
  climbing->callback([&line] {
    if (line.asked.values.empty()) line.asked.values = {0.0625, 0.125, 0.25, 0.5, 1};
    line.exitCode = ladder(line.asked);
  });
}

void addAnalysisCommands(CLI::App& app, CommandLine& line) {
  CLI::App* fitting = app.add_subcommand("fit", "how each figure of a sweep grows");
  fitting->add_option("results", line.fit.file, "as a sweep wrote them")->required();
  fitting->add_option("--variable", line.fit.variable, "what was swept")->required();
  fitting->add_option("--role", line.fit.role, "of this role only");
  fitting->add_option("--metric", line.fit.metric, "this figure only");
  fitting->callback([&line] { line.exitCode = fitAll(line.fit); });

  CLI::App* comparing = app.add_subcommand("compare", "hollow supervisors' slopes beside real ones'");
  comparing->add_option("results", line.compare.file, "of a sweep with real supervisors")->required();
  comparing->add_option("--variable", line.compare.variable, "what was swept")->required();
  comparing->add_option("--tolerance", line.compare.tolerance, "by which slopes may differ, as a share")
      ->capture_default_str();
  comparing->callback([&line] { line.exitCode = compare(line.compare); });

  app.add_subcommand("settings", "list what a scenario's file may hold")->callback([] {
    std::cout << settingsTable();
  });
}

int runCommandLine(int argc, char** argv) {
  CLI::App app("the hollow fleet: supervisors by the hundred on loopback, their peers hollow");
  app.require_subcommand(1);
  CommandLine line;
  line.asked.program = programBeside();
  addFleetCommands(app, line);
  addAnalysisCommands(app, line);
  app.parse_complete_callback([&line] {
    if (line.asked.revision.empty()) line.asked.revision = revisionHere();
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
  } catch (const Wrong& e) {
    std::cerr << "peargrade_scale: refused:\n" << e.what() << '\n';
    return kWrong;
  } catch (const OutOfTime& e) {
    std::cerr << "peargrade_scale: the run has ended by its bound: " << e.what() << '\n';
    return kOutOfTime;
  } catch (const std::exception& e) {
    std::cerr << "peargrade_scale: " << e.what() << '\n';
    return kFailed;
  }
}
