// Start of a supervisor: handling of stored routes and of the cached endpoint list.
#include <gtest/gtest.h>

#include <functional>
#include <utility>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr double kBackupWeightMax = 0.01;

TEST(Start, StoredRoutesAreKeptAndGetABackupInAnotherZone) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(8, 2 * kSecond);
  for (TableId slice = 0; slice < 8; ++slice) {
    const ServerId primary = supervisor.primaryServer(slice);
    EXPECT_EQ(primary, SimulatedSupervisor::serverName(slice % 4));
    ASSERT_EQ(supervisor.routes[slice].size(), 2U) << "slice " << slice;
    for (const auto& [server, weight] : supervisor.routes[slice]) {
      if (server == primary) continue;
      EXPECT_LT(weight, kBackupWeightMax);
      EXPECT_NE(supervisor.endpoints[server].zone, supervisor.endpoints[primary].zone);
    }
  }
}

TEST(Start, UnchangedFleetGetsNoFurtherRoutes) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(8, 3 * kSecond);
  const int routesSet = supervisor.routesSet;
  supervisor.run(30 * kSecond);
  EXPECT_EQ(supervisor.routesSet, routesSet);
}

TEST(Start, EqualSeedsAndEventsGiveEqualDecisions) {
  const auto simulate = [] {
    SimulatedSupervisor supervisor(testSettings(), 5, 7);
    supervisor.start(20);
    supervisor.latencies["s_b"] = 90 * kMillisecond;
    supervisor.run(5 * kSecond);
    supervisor.latencies["s_b"] = 900 * kMillisecond;
    supervisor.run(10 * kSecond);
    supervisor.updateEndpoint("s_c", EndpointState::Removed);
    supervisor.run(5 * kSecond);
    return std::make_pair(supervisor.routes, supervisor.logLines);
  };
  EXPECT_EQ(simulate(), simulate());
}

// ---- Cached list that names only s_a and s_b ----

using StoredRoutes = std::function<SimulatedSupervisor::RouteTable(TableId)>;

// Starts with four slices and one connected proxy. No current endpoint list has been received.
void startFromCachedList(SimulatedSupervisor& supervisor, bool newProxyIncarnation,
                         const StoredRoutes& storedRoutes) {
  EndpointListUpdate cached;
  cached.kind = EndpointListKind::Cached;
  cached.endpoints = {supervisor.endpoints["s_a"], supervisor.endpoints["s_b"]};
  std::vector<Event> events{cached, ProxyConnected{0, 0, 5, newProxyIncarnation}};
  for (TableId slice = 0; slice < 4; ++slice) {
    events.push_back(SliceAssignment{slice, true});
    supervisor.routes[slice] = storedRoutes(slice);
    for (const auto& [server, weight] : supervisor.routes[slice])
      events.push_back(StoredRoute{slice, server, weight});
  }
  supervisor.handle(events);
}

TEST(Start, PolledCachedListKeepsSlicesOnServersThatItDoesNotName) {
  Settings settings = testSettings();
  settings.endpointsOnRequest = true;
  SimulatedSupervisor supervisor(settings);
  startFromCachedList(supervisor, true, [](TableId slice) {
    return SimulatedSupervisor::RouteTable{{SimulatedSupervisor::serverName(slice), 1}};
  });
  supervisor.run(2 * kSecond);
  for (TableId slice = 0; slice < 4; ++slice)
    EXPECT_EQ(supervisor.primaryServer(slice), SimulatedSupervisor::serverName(slice));

  supervisor.endpoints.erase("s_d");
  supervisor.handle({supervisor.endpointList(EndpointListKind::Full)});
  EXPECT_NE(supervisor.primaryServer(3), "s_d") << "the current list does not name s_d either";
}

// Where changes are pushed, an unchanged list is not sent again: the supervisor must conclude from the cached
// list alone that s_d was removed.
TEST(Start, PushedCachedListBecomesCurrentWithoutFurtherUpdates) {
  SimulatedSupervisor supervisor;
  startFromCachedList(supervisor, false, [](TableId) {
    return SimulatedSupervisor::RouteTable{{"s_a", 1}, {"s_d", 0.001}};
  });
  supervisor.run(1250 * kMillisecond);
  for (TableId slice = 0; slice < 4; ++slice)
    EXPECT_EQ(supervisor.routes[slice].count("s_d"), 0U) << "slice " << slice;
}

}  // namespace
}  // namespace peargrade
