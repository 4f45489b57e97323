// Events that refer to unknown ids, arrive late or contain extreme values.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

TEST(UnexpectedEvents, UnknownServersSlicesClassesAndProxiesChangeNothing) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(8, 3 * kSecond);
  const auto routesBefore = supervisor.routes;
  supervisor.handle({ServerLoadReport{0, "s_unknown", 9, 9, 0, kSecond},
                     SliceLoadReport{23, 0, 9, 0, kSecond}, SliceLoadReport{0, 7, 9, 0, kSecond},
                     StoredRoute{23, "s_a", 1}, ProxyDisconnected{77}, UpdateAcknowledged{77, 3, 5},
                     ServerLoadReport{0, "s_a", 0, 0, 0, 0}, TimerFired{"unknown"}, GossipReceived{1, "x"},
                     HealthCheckResult{"s_unknown", HealthCheckOutcome::ConnectionLost, 0}});
  supervisor.run(3 * kSecond);
  EXPECT_EQ(supervisor.routes, routesBefore);
}

TEST(UnexpectedEvents, BatchOfDelayedReportsMigratesNothing) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(8, 6 * kSecond);
  const auto routesBefore = supervisor.routes;
  supervisor.now += 8 * kSecond;
  std::vector<Event> events;
  for (int report = 0; report < 16; ++report) supervisor.appendLoadReports(events);
  events.push_back(TimerFired{"sweep"});
  supervisor.handle(events);
  supervisor.run(4 * kSecond);
  EXPECT_EQ(supervisor.routes, routesBefore);
}

// The parameter is the id of the new server: it sorts before or after the ids of the others.
class ServerWithoutInitialCapacity : public testing::TestWithParam<const char*> {};

// An initial capacity of 0 and a start time in the future must not make estimates infinite or NaN.
TEST_P(ServerWithoutInitialCapacity, ReceivesAllSlicesIfNoOtherServerIsReady) {
  Settings settings = testSettings();
  settings.initialCapacity = 0;
  settings.slices = 40;  // this supervisor has 8
  SimulatedSupervisor supervisor(settings, 2);
  supervisor.startAndRun(8, 12 * kSecond);
  supervisor.updateEndpoint(GetParam(), EndpointState::Ready, supervisor.now + kSecond);
  for (const char* server : {"s_a", "s_b"}) supervisor.updateEndpoint(server, EndpointState::Draining);
  supervisor.run(6 * kSecond);
  for (TableId slice = 0; slice < 8; ++slice)
    EXPECT_EQ(supervisor.primaryServer(slice), GetParam()) << "slice " << slice;
}

INSTANTIATE_TEST_SUITE_P(Ids, ServerWithoutInitialCapacity, testing::Values("s_0", "s_z"),
                         [](const auto& info) { return std::string(info.param); });

}  // namespace
}  // namespace peargrade
