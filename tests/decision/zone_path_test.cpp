// Latency and failures that a network path between zones adds must not be attributed to the servers.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

TEST(ZonePath, SlowAndLossyPathBetweenZonesNeitherMigratesSlicesNorShedsLoad) {
  SimulatedSupervisor supervisor(testSettings(), 6);
  supervisor.startAndRun(24, 8 * kSecond);
  const auto routesBefore = supervisor.routes;
  for (const auto& [server, endpoint] : supervisor.endpoints) {
    if (endpoint.zone != 0) continue;
    supervisor.zonePathDelays[{server, 1}] = 1200 * kMillisecond;
    supervisor.failureRatios[{server, 1}] = 0.25;
  }
  supervisor.run(20 * kSecond);
  EXPECT_EQ(supervisor.routes, routesBefore);
  for (const auto& [tableClass, ratio] : supervisor.admissionRatios)
    EXPECT_EQ(ratio, 1) << "table " << tableClass.first;
}

}  // namespace
}  // namespace peargrade
