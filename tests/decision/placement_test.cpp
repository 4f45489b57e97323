// Placement of slices that have no server, or whose server drains, is removed or restarts.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

TEST(Placement, SliceWithoutARouteIsPlacedOnTheCoolestServer) {
  SimulatedSupervisor supervisor;
  supervisor.requestRates[{3, 0}] = 2;  // s_d has the slices 3 and 7
  supervisor.requestRates[{7, 0}] = 2;
  supervisor.startAndRun(8, 8 * kSecond);
  supervisor.handle({SliceAssignment{9, true}});
  EXPECT_EQ(supervisor.primaryServer(9), "s_d");
}

TEST(Placement, SlicesOfARemovedServerAreSpreadByProjectedHeat) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(12, 8 * kSecond);  // three slices per server
  supervisor.updateEndpoint("s_a", EndpointState::Removed);
  EXPECT_EQ(supervisor.primaryCount("s_b"), 4);
  EXPECT_EQ(supervisor.primaryCount("s_c"), 4);
  EXPECT_EQ(supervisor.primaryCount("s_d"), 4);
}

// A server can be overloaded with little heat: on a slow machine, by expensive keys, or by slices of other
// supervisors.
TEST(Placement, OverloadedServerWithLowHeatIsNoTarget) {
  SimulatedSupervisor supervisor(testSettings(), 6);
  for (TableId slice = 0; slice < 24; ++slice)
    supervisor.requestRates[{slice, 0}] =
        slice % 6 == 1 ? 2 : 10;  // s_b gets a fifth of the traffic of the others
  supervisor.latencies["s_b"] = 2200 * kMillisecond;
  supervisor.startAndRun(24, 8 * kSecond);
  const int slicesBefore = supervisor.primaryCount("s_b");
  supervisor.updateEndpoint("s_a", EndpointState::Draining);
  supervisor.run(2 * kSecond);
  EXPECT_EQ(supervisor.primaryCount("s_a"), 0);
  EXPECT_LE(supervisor.primaryCount("s_b"), slicesBefore);
}

// When another supervisor fails, its slices are assigned to this one, which has no load reports of them. If
// they counted as idle, all of them would be placed on the same server.
TEST(Placement, NewlyAssignedSlicesCountWithMeanHeat) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(8, 8 * kSecond);
  std::vector<Event> events;
  for (TableId slice = 12; slice < 20; ++slice) {
    events.push_back(SliceAssignment{slice, true});
    events.push_back(StoredRoute{slice, "s_gone", 1});
    supervisor.routes[slice] = {{"s_gone", 1}};
  }
  supervisor.handle(events);
  for (int server = 0; server < 4; ++server)
    EXPECT_EQ(supervisor.primaryCount(SimulatedSupervisor::serverName(server)), 4) << "server " << server;
}

TEST(Placement, ServerOfHigherWeightTakesMoreSlices) {
  Settings settings = testSettings();
  settings.endpointsHaveWeights = true;
  SimulatedSupervisor supervisor(settings);
  supervisor.endpoints["s_d"].weight = 4;
  supervisor.startAndRun(8, 8 * kSecond);
  supervisor.updateEndpoint("s_a", EndpointState::Removed);
  EXPECT_EQ(supervisor.primaryCount("s_d"), 4);
}

// ---- Evacuation ----

class PlacementOfLeavingServer : public testing::TestWithParam<EndpointState> {};

TEST_P(PlacementOfLeavingServer, AllItsSlicesMigrateInTheSameUpdate) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(8, 8 * kSecond);
  supervisor.updateEndpoint("s_b", GetParam());
  for (TableId slice = 0; slice < 8; ++slice)
    EXPECT_EQ(supervisor.routes[slice].count("s_b"), 0U) << "slice " << slice;
}

INSTANTIATE_TEST_SUITE_P(States, PlacementOfLeavingServer,
                         testing::Values(EndpointState::Draining, EndpointState::Removed),
                         [](const auto& info) {
                           return info.param == EndpointState::Draining ? "Draining" : "Removed";
                         });

TEST(Placement, SlicesLeaveARestartedServerImmediately) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(12, 8 * kSecond);
  supervisor.updateEndpoint("s_b", EndpointState::Ready, supervisor.now - 500 * kMillisecond);
  EXPECT_EQ(supervisor.primaryCount("s_b"), 0);
  EXPECT_EQ(supervisor.countLogLines("restarted"), 3);
}

TEST(Placement, RepeatedUpdateOfARestartMigratesNothing) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(12, 8 * kSecond);
  const Micros startedAt = supervisor.now - 500 * kMillisecond;
  supervisor.updateEndpoint("s_b", EndpointState::Ready, startedAt);
  supervisor.run(kSecond);
  const int migrations = supervisor.countLogLines("restarted");
  supervisor.updateEndpoint("s_b", EndpointState::Ready, startedAt);
  EXPECT_EQ(supervisor.countLogLines("restarted"), migrations);
}

// A failing server has no load, so that it would be the coolest target once the warming servers are at their
// limit.
TEST(Placement, FailingServerIsNoTargetWhenWarmingServersAreAtTheirLimit) {
  Settings settings = testSettings();
  settings.slices = 120;
  SimulatedSupervisor supervisor(settings, 4);
  supervisor.startAndRun(24, 12 * kSecond);
  supervisor.setFailureRatio("s_a", 1);
  supervisor.run(4 * kSecond);
  ASSERT_EQ(supervisor.primaryCount("s_a"), 0);
  for (const char* server : {"s_x", "s_y"})
    supervisor.updateEndpoint(server, EndpointState::Ready, supervisor.now - 3 * kSecond);
  for (const char* server : {"s_b", "s_c", "s_d"}) supervisor.updateEndpoint(server, EndpointState::Draining);
  supervisor.run(kSecond);
  EXPECT_EQ(supervisor.countLogLines(" to s_a from"), 0);
  EXPECT_EQ(supervisor.primaryCount("s_x") + supervisor.primaryCount("s_y"), 24);
}

TEST(Placement, RoutesRemainIfNoServerIsReady) {
  SimulatedSupervisor supervisor(testSettings(), 1);
  supervisor.startAndRun(4, 2 * kSecond);
  supervisor.updateEndpoint("s_a", EndpointState::Draining);
  for (TableId slice = 0; slice < 4; ++slice) EXPECT_EQ(supervisor.primaryServer(slice), "s_a");
}

}  // namespace
}  // namespace peargrade
