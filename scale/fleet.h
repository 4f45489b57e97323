// The whole hollow fleet: starts its parts, lets the scenario's events happen, and tells what each role held,
// sent, received and spent meanwhile, and which properties held.
#pragma once

#include <iosfwd>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scale/machinepart.h"
#include "scale/part.h"
#include "scale/real.h"
#include "scale/result.h"
#include "scale/scenario.h"

namespace peargrade::scale {

struct Report {
  std::vector<Record> records;  // a role each; revision, variable and repetition are the caller's
  std::vector<Property> properties;
  bool held() const;
};

class Fleet {
 public:
  // `program`: peargrade, for real supervisors; "" where the scenario has none. Progress goes to `progress`.
  Fleet(const Scenario& scenario, std::string program, std::ostream& progress);
  ~Fleet();

  // The whole run. Throws Failed, OutOfTime, Wrong (too large for this machine) or std::runtime_error.
  Report run();

 private:
  // All parts' accounts at one moment.
  struct Sample {
    Micros at = 0;
    Figures discovery, relay, collectors;
    std::vector<Figures> machines;
    std::vector<pid_t> processes;  // of the machines; -1: lost
    std::vector<Spent> reals;
  };
  struct Changed {
    double at = 0;  // microseconds
    std::int64_t revision = 0;
  };

  void start();
  void startReals();
  void startMachine(std::size_t machine);
  void meet(const std::vector<int>& supervisors);
  bool up();
  void check();
  void until(const char* what, const std::function<bool()>& holds);
  void pass(Micros until);
  Sample sample();

  void happens(const Step& step);
  void change(int entries);
  void kill(const Step& step);
  void back(std::size_t machine);
  void reload();

  Record record(const char* role, double seconds) const;
  Record supervisors(const Sample& from, const Sample& to, double members) const;
  Record reals(const Sample& from, const Sample& to) const;
  std::vector<Record> others(const Sample& from, const Sample& to) const;
  void addTimes(Record& record);
  std::vector<Property> properties(const Sample& end);
  double hollow() const;

  const Scenario& scenario_;
  std::string program_, folder_;
  std::ostream& progress_;
  Micros deadline_;
  Dependencies surroundings_;
  std::unique_ptr<Child> discovery_, relay_, collectors_;
  std::vector<std::unique_ptr<Child>> machines_;
  std::vector<std::vector<int>> onMachine_;  // supervisors
  std::vector<std::unique_ptr<Real>> reals_;
  std::multimap<Micros, std::function<void()>> agenda_;
  double firstListBytes_ = 0;
  std::vector<Changed> changed_;
  std::vector<double> reloadSeconds_;
  std::vector<double> backSeconds_, rewatchSeconds_;
  double withoutMost_ = 0;
  int notMoved_ = 0;
};

}  // namespace peargrade::scale
