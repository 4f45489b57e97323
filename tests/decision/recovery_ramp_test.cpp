// Several supervisors of one simulated fleet: each decides alone, on delayed load reports. What all of them
// together put on a server that has just started stays below the rule's overload factor. Generated from fixed
// seeds.
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
  int pick(int n) { return static_cast<int>(chance.next() % static_cast<std::uint64_t>(n)); }
  /// Log-normal request rates, as unequal as those of the sites: the hottest of a hundred at five times the
  /// mean.
  int requestRate() {
    double normal = -6;
    for (int k = 0; k < 12; ++k) normal += chance.uniform();
    return 2 * static_cast<int>(std::lround(5 * std::exp(0.7 * normal)));
  }

  RecoveryRamp() {
    settings.slices = kSupervisors * kSlices;
    for (int k = 0; k < kSupervisors; ++k) {
      all.emplace_back(settings, kServers, 100 * GetParam() + static_cast<std::uint64_t>(k));
      SimulatedSupervisor& s = all.back();
      for (int t = 0; t < kSlices; ++t) {
        s.requestRates[{t, 0}] = requestRate();
        fairRate += s.requestRates[{t, 0}] / kServers;
      }
      s.reportsLoad = false;  // this test delays the reports
      s.start(kSlices);
    }
    reportDelay = (200 + pick(1300)) * kMillisecond;
  }
  void step() {
    for (std::size_t k = 0; k < all.size(); ++k) {
      SimulatedSupervisor& s = all[k];
      std::vector<Event> reports;
      if ((s.now / kStep) % 2 == 0) s.appendLoadReports(reports);
      delayedReports[k].emplace_back(s.now + reportDelay, std::move(reports));
      while (!delayedReports[k].empty() && delayedReports[k].front().first <= s.now) {
        s.pendingEvents.insert(s.pendingEvents.end(), delayedReports[k].front().second.begin(),
                               delayedReports[k].front().second.end());
        delayedReports[k].pop_front();
      }
      s.run(kStep);
    }
    expectNoOverload();
  }
  /// A warming server may be sent the overload factor times its capacity, on the mean over any span of the
  /// rule.
  void expectNoOverload() {
    for (auto& [name, started] : warming) {
      double sent = 0;
      for (const SimulatedSupervisor& s : all) {
        for (int t = 0; t < kSlices; ++t) sent += s.primaryServer(t) == name ? s.requestRates.at({t, 0}) : 0;
      }
      const double age =
          static_cast<double>(all[0].now - started) / static_cast<double>(settings.slowStartWindow);
      const double warmUpFraction =
          settings.initialCapacity + (1 - settings.initialCapacity) * std::min(1.0, age);
      auto& span = loads[name];
      span.push_back(sent / (warmUpFraction * fairRate));
      if (span.size() > static_cast<std::size_t>(settings.overloadDurationMax / kStep)) span.pop_front();
      double mean = 0;
      for (const double part : span)
        mean += part * static_cast<double>(kStep) / static_cast<double>(settings.overloadDurationMax);
      most = std::max(most, mean);
      EXPECT_LE(mean, settings.overloadFactor)
          << name << " at " << (all[0].now - started) / kMillisecond << " ms";
    }
  }
  void startServers(int count) {
    for (int k = 0; k < count; ++k) {
      const std::string name = SimulatedSupervisor::serverName(static_cast<int>(kServers + warming.size()));
      warming[name] = all[0].now - (300 + pick(2500)) * kMillisecond;
      for (SimulatedSupervisor& s : all) s.updateEndpoint(name, EndpointState::Ready, warming[name]);
    }
  }

  decision::Random chance{GetParam()};
  Settings settings = testSettings();
  std::vector<SimulatedSupervisor> all;
  std::vector<std::deque<std::pair<Micros, std::vector<Event>>>> delayedReports{kSupervisors};
  std::map<std::string, Micros> warming;            // when each started
  std::map<std::string, std::deque<double>> loads;  // requests against capacity, lately
  double fairRate = 0;                              // requests a second of a server, on the mean
  double most = 0;
  Micros reportDelay = 0;
};

TEST_P(RecoveryRamp, SupervisorsTogetherDoNotOverloadAWarmingServer) {
  for (int k = 0; k < 60; ++k) step();
  int drained = 0;
  for (int wave = 0; wave < 3; ++wave) {
    startServers(1 + pick(2));
    for (int k = pick(8); k > 0; --k) step();
    for (int n = 1 + pick(2); n > 0; --n, ++drained) {
      for (SimulatedSupervisor& s : all)
        s.updateEndpoint(SimulatedSupervisor::serverName(drained), EndpointState::Draining);
    }
    for (int k = pick(20); k > 0; --k) step();
  }
  for (int k = 0; k < 40; ++k) step();
  RecordProperty("most", std::to_string(most));
  EXPECT_GT(most, 0.3) << "no warming server received slices";
  for (const SimulatedSupervisor& s : all) {
    for (int t = 0; t < kSlices; ++t)
      EXPECT_GE(s.primaryServer(t), SimulatedSupervisor::serverName(drained)) << "on a drained server";
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RecoveryRamp, testing::Range<std::uint64_t>(1, 25),
                         [](const auto& info) { return "Seed" + std::to_string(info.param); });

}  // namespace
}  // namespace peargrade
