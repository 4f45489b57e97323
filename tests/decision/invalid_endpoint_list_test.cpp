// Invalid endpoint lists: they lack servers that still answer, or name servers that do not exist.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

Settings advisoryRemovalSettings() {
  Settings settings = testSettings();
  settings.removalIsAdvisory = true;
  return settings;
}

// Six servers with four slices each. Removal is advisory: slices may stay on a removed server.
class InvalidEndpointList : public testing::Test {
 protected:
  InvalidEndpointList() { supervisor.startAndRun(24, 8 * kSecond); }

  SimulatedSupervisor supervisor{advisoryRemovalSettings(), 6};
};

// Guards against migrating all slices to the few servers that an invalid list still names.
TEST_F(InvalidEndpointList, MissingServersKeepTheirSlicesWhileTheyAnswer) {
  const auto routesBefore = supervisor.routes;
  const auto correctList = supervisor.endpoints;
  for (int server = 0; server < 5; ++server)
    supervisor.endpoints.erase(SimulatedSupervisor::serverName(server));
  supervisor.handle({supervisor.endpointList(EndpointListKind::Full)});
  supervisor.run(10 * kSecond);
  EXPECT_EQ(supervisor.routes, routesBefore);

  supervisor.endpoints = correctList;
  supervisor.handle({supervisor.endpointList(EndpointListKind::Full)});
  supervisor.run(5 * kSecond);
  EXPECT_EQ(supervisor.routes, routesBefore) << "after the correct list was received again";
}

TEST(AuthoritativeEndpointList, RemovedServerLosesItsSlicesAtOnce) {
  SimulatedSupervisor supervisor(testSettings(), 6);
  supervisor.startAndRun(24, 8 * kSecond);
  supervisor.updateEndpoint("s_a", EndpointState::Removed);
  EXPECT_EQ(supervisor.primaryCount("s_a"), 0);
}

// Half of the fleet fails, so no server is an outlier. The failing servers lose their slices because they are
// also missing from the list.
TEST_F(InvalidEndpointList, MissingServersLoseTheirSlicesWhenTheyStopAnswering) {
  for (int server = 0; server < 3; ++server) {
    supervisor.setFailureRatio(SimulatedSupervisor::serverName(server), 1);
    supervisor.endpoints.erase(SimulatedSupervisor::serverName(server));
  }
  supervisor.handle({supervisor.endpointList(EndpointListKind::Full)});
  supervisor.run(8 * kSecond);
  for (int server = 0; server < 3; ++server)
    EXPECT_EQ(supervisor.primaryCount(SimulatedSupervisor::serverName(server)), 0) << "server " << server;
}

TEST_F(InvalidEndpointList, RemovedServerThatWasDrainingLosesItsRoutesAlthoughRemovalIsAdvisory) {
  supervisor.updateEndpoint("s_a", EndpointState::Draining);
  supervisor.updateEndpoint("s_a", EndpointState::Removed);
  supervisor.run(10 * kSecond);
  for (TableId slice = 0; slice < 24; ++slice)
    EXPECT_EQ(supervisor.routes[slice].count("s_a"), 0U) << "slice " << slice;
}

// During a deployment, new servers replace draining ones. As many as have departed receive slices before any
// load report confirms them.
TEST_F(InvalidEndpointList, SuccessorsOfDrainingServersGetSlicesAtOnce) {
  supervisor.updateEndpoint("s_a", EndpointState::Draining);
  supervisor.updateEndpoint("s_z", EndpointState::Ready, supervisor.now - 17 * kSecond);
  supervisor.updateEndpoint("s_b", EndpointState::Draining);
  EXPECT_GE(supervisor.primaryCount("s_z"), 3);
}

// The parameter states whether health checks are allowed.
class NewEndpoint : public testing::TestWithParam<bool> {
 protected:
  static Settings settings() {
    Settings settings = advisoryRemovalSettings();
    settings.healthChecksAllowed = GetParam();
    return settings;
  }
};

TEST_P(NewEndpoint, GetsAtMostTrialSlicesIfItNeverAnswers) {
  SimulatedSupervisor supervisor(settings(), 6);
  supervisor.startAndRun(24, 8 * kSecond);
  for (const char* server : {"s_t", "s_u", "s_v", "s_w"}) {
    supervisor.unreachableServers.insert(server);
    supervisor.setFailureRatio(server, 1);
    supervisor.updateEndpoint(server, EndpointState::Ready, supervisor.now - 5 * kSecond);
  }
  supervisor.run(kSecond);
  supervisor.updateEndpoint("s_a", EndpointState::Draining);
  supervisor.updateEndpoint("s_b", EndpointState::Draining);
  int slices = 0;
  for (const ServerId& server : supervisor.unreachableServers) slices += supervisor.primaryCount(server);
  EXPECT_LE(slices, GetParam() ? 0 : 3);
  supervisor.run(20 * kSecond);
  EXPECT_LE(supervisor.healthCheckCounts["s_t"], 8) << "health checks without backoff";
  EXPECT_EQ(supervisor.healthCheckCounts["s_t"] > 0, GetParam());
}

TEST_P(NewEndpoint, GetsSlicesIfItAnswers) {
  SimulatedSupervisor supervisor(settings(), 4);
  supervisor.startAndRun(24, 8 * kSecond);
  supervisor.updateEndpoint("s_z", EndpointState::Ready, supervisor.now - 17 * kSecond);  // warm
  supervisor.run(kSecond);
  supervisor.updateEndpoint("s_a", EndpointState::Draining);
  supervisor.run(5 * kSecond);
  EXPECT_GE(supervisor.primaryCount("s_z"), 1);
  supervisor.updateEndpoint("s_b", EndpointState::Draining);
  EXPECT_GE(supervisor.primaryCount("s_z"), 3);
}

INSTANTIATE_TEST_SUITE_P(HealthChecks, NewEndpoint, testing::Bool(),
                         [](const auto& info) { return info.param ? "Allowed" : "NotAllowed"; });

}  // namespace
}  // namespace peargrade
