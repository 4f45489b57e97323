// Runs a scenario: starts the worker processes of the simulated fleet, triggers the scenario's events, and
// returns what each role held, sent, received and consumed during the measurement, with the checked
// properties.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scale/control_machine_worker.h"
#include "scale/result.h"
#include "scale/scenario.h"
#include "scale/supervisor_process.h"
#include "scale/worker.h"

namespace peargrade::scale {

struct RunResult {
  std::vector<Record>
      records;  // one for each role; the caller fills in revision, variable, value and repetition
  std::vector<Property> properties;
  bool allHeld() const;
};

class Fleet {
 public:
  /// `program`: path of peargrade, for supervisors that are processes of their own; may be empty if the
  /// scenario has none. `scenario` and `progress` must outlive the fleet. Throws ScenarioError if the fleet
  /// is too large for this host.
  Fleet(const Scenario& scenario, std::string program, std::ostream& progress);
  ~Fleet();

  /// Runs the scenario once. Throws WorkerError, TimeLimitExceeded or std::runtime_error.
  RunResult run();

 private:
  /// Measurements of all processes at one moment.
  struct Sample {
    Micros at = 0;
    Measurements discovery;
    Measurements relay;
    Measurements collectors;
    std::vector<Measurements> machines;
    std::vector<pid_t> machinePids;  // -1: killed
    std::vector<ResourceUsage> supervisorProcesses;
  };
  struct ListChange {
    double at = 0;  // microseconds, on steadyNow's clock
    std::int64_t revision = 0;
  };

  void start();
  void startSupervisorProcesses();
  void startMachine(std::size_t machine);
  void connectCollectors(const std::vector<int>& supervisors);
  bool allConnected();
  void checkProcesses();
  void waitUntil(const char* what, const std::function<bool()>& condition);
  void runEventsUntil(Micros end);
  Sample takeSample();

  void trigger(const ScenarioEvent& event);
  void changeEntries(int count);
  void killMachine(const ScenarioEvent& event);
  void restartMachine(std::size_t machine);
  void reloadConfigurations();

  Record makeRecord(const char* role, double seconds) const;
  Record simulatedSupervisorRecord(const Sample& from, const Sample& to, double members) const;
  Record supervisorProcessRecord(const Sample& from, const Sample& to) const;
  std::vector<Record> peerRecords(const Sample& from, const Sample& to) const;
  void addLatencies(Record& record);
  std::vector<Property> checkProperties(const Sample& end);
  double simulatedSupervisors() const;

  const Scenario& scenario_;
  std::string program_;
  std::string folder_;  // configurations and logs of the supervisor processes
  std::ostream& progress_;
  Micros deadline_;
  FleetAddresses addresses_;
  std::unique_ptr<WorkerProcess> discovery_;
  std::unique_ptr<WorkerProcess> relay_;
  std::unique_ptr<WorkerProcess> collectors_;
  std::vector<std::unique_ptr<WorkerProcess>> machines_;  // null while killed
  std::vector<std::vector<int>> supervisorsByMachine_;
  std::vector<std::unique_ptr<SupervisorProcess>> supervisorProcesses_;
  std::multimap<Micros, std::function<void()>> pendingEvents_;
  double firstListBytes_ = 0;
  std::vector<ListChange> listChanges_;
  std::vector<double> reloadSeconds_;
  std::vector<double> restartSeconds_;
  std::vector<double> rewatchSeconds_;
  double maxSecondsWithoutList_ = 0;
  int missingChanges_ = 0;  // pairs of a change and a supervisor that has not applied it
};

}  // namespace peargrade::scale
