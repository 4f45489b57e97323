// Several supervisors of one simulated fleet, which decide independently of each other on delayed load
// reports. The load that all of them together place on a warming server must stay below the overload factor
// of the settings. Generated from fixed seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>

#include "decision/random.h"
#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr int kSupervisors = 5;
constexpr int kSlices = 24;
constexpr int kServers = 12;
constexpr Micros kStep = 250 * kMillisecond;

class RecoveryRamp : public testing::TestWithParam<std::uint64_t> {
 protected:
  int randomBelow(int limit) { return static_cast<int>(random.next() % static_cast<std::uint64_t>(limit)); }
  /// Random request rate of a slice, log-normally distributed: the hottest of a hundred slices has five times
  /// the mean rate.
  int requestRate() {
    double normal = -6;
    for (int k = 0; k < 12; ++k) normal += random.uniform();
    return 2 * static_cast<int>(std::lround(5 * std::exp(0.7 * normal)));
  }

  RecoveryRamp() {
    settings.slices = kSupervisors * kSlices;
    for (int k = 0; k < kSupervisors; ++k) {
      supervisors.emplace_back(settings, kServers, 100 * GetParam() + static_cast<std::uint64_t>(k));
      SimulatedSupervisor& supervisor = supervisors.back();
      for (int slice = 0; slice < kSlices; ++slice) {
        supervisor.requestRates[{slice, 0}] = requestRate();
        meanServerRate += supervisor.requestRates[{slice, 0}] / kServers;
      }
      supervisor.reportsLoad = false;  // this test delays the reports
      supervisor.start(kSlices);
    }
    reportDelay = (200 + randomBelow(1300)) * kMillisecond;
  }
  void step() {
    for (std::size_t k = 0; k < supervisors.size(); ++k) {
      SimulatedSupervisor& supervisor = supervisors[k];
      std::vector<Event> reports;
      if ((supervisor.now / kStep) % 2 == 0) supervisor.appendLoadReports(reports);
      delayedReports[k].emplace_back(supervisor.now + reportDelay, std::move(reports));
      while (!delayedReports[k].empty() && delayedReports[k].front().first <= supervisor.now) {
        supervisor.pendingEvents.insert(supervisor.pendingEvents.end(),
                                        delayedReports[k].front().second.begin(),
                                        delayedReports[k].front().second.end());
        delayedReports[k].pop_front();
      }
      supervisor.run(kStep);
    }
    expectNoOverload();
  }
  /// The load of a warming server, relative to its current capacity, must not exceed the overload factor on
  /// average over overloadDurationMax.
  void expectNoOverload() {
    for (auto& [name, started] : startTimes) {
      double rate = 0;
      for (const SimulatedSupervisor& supervisor : supervisors) {
        for (int slice = 0; slice < kSlices; ++slice)
          rate += supervisor.primaryServer(slice) == name ? supervisor.requestRates.at({slice, 0}) : 0;
      }
      const double age =
          static_cast<double>(supervisors[0].now - started) / static_cast<double>(settings.slowStartWindow);
      const double warmUpFraction =
          settings.initialCapacity + (1 - settings.initialCapacity) * std::min(1.0, age);
      auto& window = recentLoads[name];
      window.push_back(rate / (warmUpFraction * meanServerRate));
      if (window.size() > static_cast<std::size_t>(settings.overloadDurationMax / kStep)) window.pop_front();
      double mean = 0;
      for (const double load : window)
        mean += load * static_cast<double>(kStep) / static_cast<double>(settings.overloadDurationMax);
      maxLoad = std::max(maxLoad, mean);
      EXPECT_LE(mean, settings.overloadFactor)
          << name << " at " << (supervisors[0].now - started) / kMillisecond << " ms";
    }
  }
  void startServers(int count) {
    for (int k = 0; k < count; ++k) {
      const std::string name =
          SimulatedSupervisor::serverName(static_cast<int>(kServers + startTimes.size()));
      startTimes[name] = supervisors[0].now - (300 + randomBelow(2500)) * kMillisecond;
      for (SimulatedSupervisor& supervisor : supervisors)
        supervisor.updateEndpoint(name, EndpointState::Ready, startTimes[name]);
    }
  }

  decision::Random random{GetParam()};
  Settings settings = testSettings();
  std::vector<SimulatedSupervisor> supervisors;
  std::vector<std::deque<std::pair<Micros, std::vector<Event>>>> delayedReports{kSupervisors};
  std::map<std::string, Micros> startTimes;               // of the warming servers
  std::map<std::string, std::deque<double>> recentLoads;  // of the warming servers, relative to capacity
  double meanServerRate = 0;                              // requests a second
  double maxLoad = 0;
  Micros reportDelay = 0;
};

TEST_P(RecoveryRamp, SupervisorsTogetherDoNotOverloadAWarmingServer) {
  for (int k = 0; k < 60; ++k) step();
  int drained = 0;
  for (int wave = 0; wave < 3; ++wave) {
    startServers(1 + randomBelow(2));
    for (int k = randomBelow(8); k > 0; --k) step();
    for (int n = 1 + randomBelow(2); n > 0; --n, ++drained) {
      for (SimulatedSupervisor& supervisor : supervisors)
        supervisor.updateEndpoint(SimulatedSupervisor::serverName(drained), EndpointState::Draining);
    }
    for (int k = randomBelow(20); k > 0; --k) step();
  }
  for (int k = 0; k < 40; ++k) step();
  RecordProperty("most", std::to_string(maxLoad));
  EXPECT_GT(maxLoad, 0.3) << "no warming server received slices";
  for (const SimulatedSupervisor& supervisor : supervisors) {
    for (int slice = 0; slice < kSlices; ++slice)
      EXPECT_GE(supervisor.primaryServer(slice), SimulatedSupervisor::serverName(drained))
          << "on a drained server";
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RecoveryRamp, testing::Range<std::uint64_t>(1, 25),
                         [](const auto& info) { return "Seed" + std::to_string(info.param); });

}  // namespace
}  // namespace peargrade
