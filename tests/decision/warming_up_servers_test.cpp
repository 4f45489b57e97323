// Slow start: servers that have just started receive slices no faster than their capacity grows.
#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

TEST(SlowStart, RestartedServerIsFilledSlowlyAfterItsFirstSeconds) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(16, 8 * kSecond);
  supervisor.updateEndpoint("s_b", EndpointState::Ready, supervisor.now - 500 * kMillisecond);
  supervisor.run(kSecond);
  EXPECT_EQ(supervisor.primaryCount("s_b"), 0);
  supervisor.run(2 * kSecond);
  EXPECT_LE(supervisor.primaryCount("s_b"), 2);
  supervisor.run(30 * kSecond);
  EXPECT_GE(supervisor.primaryCount("s_b"), 2);
  EXPECT_GE(supervisor.countLogLines("recovering"), 2);
}

// Each of five supervisors has a fifth of the slices and must extrapolate its own heat to the fleet's.
// Otherwise the remaining servers would seem nearly idle, and the load of a new server with one slice would
// be overestimated.
TEST(SlowStart, SuccessorsOfAMassReplacementAreFilledByOneOfFiveSupervisors) {
  Settings settings = testSettings();
  settings.slices = 120;  // this supervisor has 24
  SimulatedSupervisor supervisor(settings, 12);
  supervisor.startAndRun(24, 12 * kSecond);
  supervisor.updateEndpoints(4, 12, EndpointState::Draining);
  supervisor.run(2 * kSecond);
  supervisor.updateEndpoints(4, 12, EndpointState::Removed);
  supervisor.updateEndpoints(12, 20, EndpointState::Ready, supervisor.now - 500 * kMillisecond);
  supervisor.run(30 * kSecond);
  int usedServers = 0;
  for (int server = 12; server < 20; ++server)
    usedServers += supervisor.primaryCount(SimulatedSupervisor::serverName(server)) > 0 ? 1 : 0;
  EXPECT_GE(usedServers, 7);
  const int slices = supervisor.primaryCount(12, 20);
  EXPECT_GE(slices, 12);
  EXPECT_LE(slices, 18);
}

// Number of slices on three warming servers of six, 24 s after their start, if they answer with `latency`.
int slicesOnWarmingServers(Micros latency) {
  const std::vector<ServerId> warming{"s_x", "s_y", "s_z"};
  Settings settings = testSettings();
  settings.slowStartWindow = 40 * kSecond;
  SimulatedSupervisor supervisor(settings, 3);
  supervisor.startAndRun(24, 12 * kSecond);
  for (const ServerId& server : warming)
    supervisor.updateEndpoint(server, EndpointState::Ready, supervisor.now - 500 * kMillisecond);
  for (const ServerId& server : warming) supervisor.latencies[server] = latency;
  supervisor.run(24 * kSecond);
  int slices = 0;
  for (const ServerId& server : warming) slices += supervisor.primaryCount(server);
  return slices;
}

// The initial capacity of the settings is a lower bound: a server whose latency stays low can carry more.
TEST(SlowStart, WarmingServerOfLowLatencyIsFilledBeyondTheInitialCapacity) {
  const int atLowLatency = slicesOnWarmingServers(100 * kMillisecond);
  const int atHighLatency = slicesOnWarmingServers(400 * kMillisecond);  // half of the latency objective
  EXPECT_GE(atLowLatency, atHighLatency + 1) << "at high latency: " << atHighLatency;
  EXPECT_GE(atLowLatency, 8) << "six at the initial capacity";
  EXPECT_LE(atLowLatency, 12) << "an even share of 24 slices";
}

// ---- Several supervisors ----

// Five supervisors with 24 slices each, which share twelve servers and decide independently of each other.
class SlowStartUnderFiveSupervisors : public testing::Test {
 protected:
  static constexpr int kSupervisors = 5;
  static constexpr int kServers = 12;
  static constexpr TableId kSlices = 24;

  SlowStartUnderFiveSupervisors() {
    Settings settings = testSettings();
    settings.slices = kSupervisors * kSlices;
    for (int k = 0; k < kSupervisors; ++k)
      supervisors.emplace_back(settings, kServers, static_cast<std::uint64_t>(40 + k));
  }

  void start() {
    for (SimulatedSupervisor& supervisor : supervisors) {
      supervisor.startAndRun(kSlices, 12 * kSecond);
    }
  }
  void run(Micros duration) {
    for (SimulatedSupervisor& supervisor : supervisors) supervisor.run(duration);
  }
  // Capacity of a server of this age, as a share of a warm server's.
  static double warmUpFraction(double ageSeconds) { return 0.15 + 0.85 * std::min(1.0, ageSeconds / 16); }

  std::vector<SimulatedSupervisor> supervisors;
};

TEST_F(SlowStartUnderFiveSupervisors, WarmingServersAreNotOverloadedTogether) {
  start();
  for (SimulatedSupervisor& supervisor : supervisors) {
    supervisor.updateEndpoints(6, 12, EndpointState::Removed);
    supervisor.updateEndpoints(12, 18, EndpointState::Ready, supervisor.now - 500 * kMillisecond);
  }
  const auto mostSlicesOfAServer = [this] {
    int most = 0;
    for (int server = 12; server < 18; ++server) {
      int slices = 0;
      for (const SimulatedSupervisor& supervisor : supervisors)
        slices += supervisor.primaryCount(SimulatedSupervisor::serverName(server));
      most = std::max(most, slices);
    }
    return most;
  };
  constexpr int kEvenShare = 10;  // 120 slices on twelve servers
  for (int second = 0; second < 30; ++second) {
    run(kSecond);
    EXPECT_LE(mostSlicesOfAServer(), kEvenShare * 2.5 * warmUpFraction(second + 1.5)) << "second " << second;
  }
  EXPECT_GE(mostSlicesOfAServer(), kEvenShare);
}

// If each supervisor migrated its hottest slice to the same warming server, their total heat would exceed its
// limit.
TEST_F(SlowStartUnderFiveSupervisors, OneWarmingServerDoesNotGetTheHottestSliceOfEach) {
  constexpr TableId kHotSlices = 5;  // one of the two slices on each draining server
  constexpr double kHotRate = 50;
  constexpr double kUsualRate = 10;
  const auto rateOf = [](TableId slice) { return slice < kHotSlices ? kHotRate : kUsualRate; };
  for (SimulatedSupervisor& supervisor : supervisors) {
    for (TableId slice = 0; slice < kHotSlices; ++slice) supervisor.requestRates[{slice, 0}] = kHotRate;
  }
  start();
  double evenRate = 0;  // mean requests a second per server
  for (SimulatedSupervisor& supervisor : supervisors) {
    for (TableId slice = 0; slice < kSlices; ++slice) evenRate += rateOf(slice) / kServers;
    supervisor.updateEndpoint("s_z", EndpointState::Ready, supervisor.now - 2100 * kMillisecond);
    supervisor.updateEndpoints(0, 5, EndpointState::Draining);
  }
  for (int step = 0; step < 40; ++step) {
    double rate = 0;
    for (const SimulatedSupervisor& supervisor : supervisors) {
      for (TableId slice = 0; slice < kSlices; ++slice)
        rate += supervisor.primaryServer(slice) == "s_z" ? rateOf(slice) : 0;
    }
    EXPECT_LE(rate, 2.5 * warmUpFraction(2.1 + 0.25 * step) * evenRate) << "step " << step;
    run(250 * kMillisecond);
  }
  for (const SimulatedSupervisor& supervisor : supervisors) {
    for (TableId slice = 0; slice < kSlices; ++slice)
      EXPECT_GE(supervisor.primaryServer(slice), SimulatedSupervisor::serverName(5))
          << "on a draining server";
  }
}

// ---- Overload ----

// Load that is shed never reaches a server: only admitted load counts against a warming server's limit.
TEST(SlowStart, ShedLoadDoesNotCountAgainstWarmingServers) {
  SimulatedSupervisor supervisor(testSettings(), 6);
  supervisor.startUnderOverload(24, 20 * kSecond);
  double admitted = 0;
  for (TableId slice = 0; slice < 24; ++slice) admitted += supervisor.admissionRatio(slice, 0) / 24;
  ASSERT_LT(admitted, 0.6);
  for (const char* server : {"s_x", "s_y", "s_z"})
    supervisor.updateEndpoint(server, EndpointState::Ready, supervisor.now - 3 * kSecond);
  supervisor.updateEndpoints(0, 3, EndpointState::Draining);
  EXPECT_GE(supervisor.primaryCount("s_x") + supervisor.primaryCount("s_y") + supervisor.primaryCount("s_z"),
            3);
}

// Under overload, other supervisors also place a first slice on the same server at the same time.
TEST(SlowStart, FirstSliceOfAWarmingServerCountsTwiceUnderOverload) {
  Settings settings = testSettings();
  settings.slices = 72;  // two other supervisors have as many
  settings.healthChecksAllowed = true;
  SimulatedSupervisor supervisor(settings, 6);
  supervisor.startUnderOverload(24, 10 * kSecond);
  supervisor.updateEndpoint("s_z", EndpointState::Ready, supervisor.now - 2 * kSecond);
  supervisor.run(250 * kMillisecond);
  supervisor.updateEndpoint("s_a", EndpointState::Removed);
  EXPECT_EQ(supervisor.primaryCount("s_z"), 0);
}

// Number of slices that a warming server gets when four of six other servers are removed.
int slicesOfAWarmingServer(Micros latencyOfOthers) {
  Settings settings = testSettings();
  settings.slices = 120;
  settings.healthChecksAllowed = true;
  SimulatedSupervisor supervisor(settings, 6);
  supervisor.startAndRun(120, 10 * kSecond);
  supervisor.setLatencies(6, latencyOfOthers);
  supervisor.run(8 * kSecond);
  supervisor.updateEndpoint("s_z", EndpointState::Ready, supervisor.now - 4 * kSecond);
  supervisor.run(250 * kMillisecond);  // its health check passes
  supervisor.updateEndpoints(0, 4, EndpointState::Removed);
  return supervisor.primaryCount("s_z");
}

TEST(SlowStart, WarmingServerGetsFewerSlicesUnderOverload) {
  const int withoutOverload = slicesOfAWarmingServer(100 * kMillisecond);
  const int underOverload = slicesOfAWarmingServer(900 * kMillisecond);
  EXPECT_LT(underOverload, withoutOverload);
  EXPECT_GT(underOverload, 0);
}

// ---- Restart of the supervisor ----

// A restarted supervisor has no load estimates yet and must not fill servers before it has. Under overload
// even a single slice can exceed the capacity of a warming server.
TEST(SlowStart, RestartedSupervisorDoesNotFillServersImmediately) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(16, 8 * kSecond);
  supervisor.updateEndpoint("s_b", EndpointState::Ready, supervisor.now - 500 * kMillisecond);
  supervisor.run(kSecond);
  EndpointListUpdate cached = supervisor.endpointList(EndpointListKind::Cached);
  for (Endpoint& endpoint : cached.endpoints) endpoint.startedAt = 0;  // from before the start of s_b
  supervisor.restart(cached);
  supervisor.handle({supervisor.endpointList(EndpointListKind::Full)});
  supervisor.run(8 * kSecond);
  EXPECT_EQ(supervisor.primaryCount("s_b"), 0);
  supervisor.run(30 * kSecond);
  EXPECT_GT(supervisor.primaryCount("s_b"), 0);
}

// Parameter: whether the cached list already contains the new servers.
class SlowStartAfterSupervisorRestart : public testing::TestWithParam<bool> {};

// Such a server has no route and has never answered this supervisor. It must be filled nevertheless.
TEST_P(SlowStartAfterSupervisorRestart, ServersStartedDuringTheDowntimeAreFilled) {
  const bool inCachedList = GetParam();
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(16, 8 * kSecond);
  EndpointListUpdate cached = supervisor.endpointList(EndpointListKind::Cached);
  for (const char* server : {"s_e", "s_f"}) {
    Endpoint endpoint;
    endpoint.server = server;
    endpoint.startedAt = supervisor.now;
    supervisor.endpoints[server] = endpoint;
  }
  if (inCachedList) cached = supervisor.endpointList(EndpointListKind::Cached);
  supervisor.now += 5 * kSecond;
  supervisor.restart(cached);
  supervisor.handle(
      {supervisor.endpointList(inCachedList ? EndpointListKind::Delta : EndpointListKind::Full)});
  supervisor.run(40 * kSecond);
  EXPECT_GE(supervisor.primaryCount("s_e"), 1);
  EXPECT_GE(supervisor.primaryCount("s_f"), 1);
}

INSTANTIATE_TEST_SUITE_P(Lists, SlowStartAfterSupervisorRestart, testing::Bool(),
                         [](const auto& info) { return info.param ? "InCachedList" : "NotInCachedList"; });

}  // namespace
}  // namespace peargrade
