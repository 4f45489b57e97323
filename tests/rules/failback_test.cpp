// Several supervisors against one reference fleet: each decides alone, on reports that come late; what all of
// them together put on a server that has just started stays under what the rule allows. Generated from fixed
// seeds.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>

#include "state.h"
#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr int kSupervisors = 5, kSlices = 24, kServers = 12;
constexpr Micros kStep = 250 * kMillisecond;

class Fleet : public testing::TestWithParam<std::uint64_t> {
 protected:
  int pick(int n) { return static_cast<int>(chance.next() % static_cast<std::uint64_t>(n)); }
  // Rates that are as unequal as those of the sites: the hottest of a hundred at some five times the mean.
  int rate() {
    double normal = -6;
    for (int k = 0; k < 12; ++k) normal += chance.uniform();
    return 2 * static_cast<int>(std::lround(5 * std::exp(0.7 * normal)));
  }

  Fleet() {
    settings.slices = kSupervisors * kSlices;
    for (int k = 0; k < kSupervisors; ++k) {
      all.emplace_back(settings, kServers, 100 * GetParam() + static_cast<std::uint64_t>(k));
      SimulatedSupervisor& s = all.back();
      for (int t = 0; t < kSlices; ++t) {
        s.requestRates[{t, 0}] = rate();
        even += s.requestRates[{t, 0}] / kServers;
      }
      s.reportsLoad = false;  // here they come late
      s.start(kSlices);
    }
    late = (200 + pick(1300)) * kMillisecond;
  }
  void step() {
    for (std::size_t k = 0; k < all.size(); ++k) {
      SimulatedSupervisor& s = all[k];
      std::vector<Event> reports;
      if ((s.now / kStep) % 2 == 0) s.appendLoadReports(reports);
      onTheWay[k].emplace_back(s.now + late, std::move(reports));
      while (!onTheWay[k].empty() && onTheWay[k].front().first <= s.now) {
        s.pendingEvents.insert(s.pendingEvents.end(), onTheWay[k].front().second.begin(),
                               onTheWay[k].front().second.end());
        onTheWay[k].pop_front();
      }
      s.run(kStep);
    }
    check();
  }
  // A server that started may be sent its factor times what it can do, on the mean of any span of the rule.
  void check() {
    for (auto& [name, started] : cold) {
      double sent = 0;
      for (const SimulatedSupervisor& s : all) {
        for (int t = 0; t < kSlices; ++t) sent += s.primaryServer(t) == name ? s.requestRates.at({t, 0}) : 0;
      }
      const double age =
          static_cast<double>(all[0].now - started) / static_cast<double>(settings.slowStartWindow);
      const double warmth = settings.initialCapacity + (1 - settings.initialCapacity) * std::min(1.0, age);
      auto& span = over[name];
      span.push_back(sent / (warmth * even));
      if (span.size() > static_cast<std::size_t>(settings.overloadDurationMax / kStep)) span.pop_front();
      double mean = 0;
      for (const double part : span) mean += part * kStep / settings.overloadDurationMax;
      most = std::max(most, mean);
      EXPECT_LE(mean, settings.overloadFactor)
          << name << " at " << (all[0].now - started) / kMillisecond << " ms";
    }
  }
  void startCold(int count) {
    for (int k = 0; k < count; ++k) {
      const std::string name = SimulatedSupervisor::serverName(static_cast<int>(kServers + cold.size()));
      cold[name] = all[0].now - (300 + pick(2500)) * kMillisecond;
      for (SimulatedSupervisor& s : all) s.updateEndpoint(name, EndpointState::Ready, cold[name]);
    }
  }

  Rng chance{GetParam()};
  Settings settings = testSettings();
  std::vector<SimulatedSupervisor> all;
  std::vector<std::deque<std::pair<Micros, std::vector<Event>>>> onTheWay{kSupervisors};
  std::map<std::string, Micros> cold;              // when it started
  std::map<std::string, std::deque<double>> over;  // what it is sent against what it can do, lately
  double even = 0;                                 // requests a second of one server
  double most = 0;
  Micros late = 0;
};

TEST_P(Fleet, TogetherHeapNoMoreOnAColdServerThanItStands) {
  for (int k = 0; k < 60; ++k) step();
  int drained = 0;
  for (int wave = 0; wave < 3; ++wave) {
    startCold(1 + pick(2));
    for (int k = pick(8); k > 0; --k) step();
    for (int n = 1 + pick(2); n > 0; --n, ++drained) {
      for (SimulatedSupervisor& s : all)
        s.updateEndpoint(SimulatedSupervisor::serverName(drained), EndpointState::Draining);
    }
    for (int k = pick(20); k > 0; --k) step();
  }
  for (int k = 0; k < 40; ++k) step();
  RecordProperty("most", std::to_string(most));
  EXPECT_GT(most, 0.3) << "no cold server was given anything";
  for (const SimulatedSupervisor& s : all) {
    for (int t = 0; t < kSlices; ++t)
      EXPECT_GE(s.primaryServer(t), SimulatedSupervisor::serverName(drained)) << "left behind";
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, Fleet, testing::Range<std::uint64_t>(1, 25),
                         [](const auto& info) { return "Seed" + std::to_string(info.param); });

}  // namespace
}  // namespace peargrade
