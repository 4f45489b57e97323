// Requests for the endpoint list by a simulated supervisor: watches, and backoff when discovery fails.
#include <gtest/gtest.h>

#include <map>
#include <vector>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

Settings requestedListSettings() {
  Settings settings = testSettings();
  settings.endpointsOnRequest = true;
  return settings;
}

EndpointListUpdate failedRequest() { return {EndpointListKind::Failed, 0, {}}; }

TEST(EndpointPolling, ListIsWatchedAtStartAndAgainAfterFailuresWithBackoff) {
  const Settings settings = requestedListSettings();
  SimulatedSupervisor supervisor(settings);
  supervisor.start(8);
  ASSERT_EQ(supervisor.watchTimes.size(), 1U);
  for (int failure = 0; failure < 4; ++failure) {
    supervisor.handle({failedRequest()});
    supervisor.run(3 * kSecond);
  }
  ASSERT_EQ(supervisor.watchTimes.size(), 5U);
  EXPECT_LT(supervisor.watchTimes[1] - supervisor.watchTimes[0], kSecond);
  for (std::size_t k = 1; k < supervisor.watchTimes.size(); ++k)
    EXPECT_LE(supervisor.watchTimes[k] - supervisor.watchTimes[k - 1], settings.pollDeadline);
}

TEST(EndpointPolling, SupervisorsWhoseRequestsFailTogetherRetryAtDifferentTimes) {
  std::vector<SimulatedSupervisor> supervisors;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    supervisors.emplace_back(requestedListSettings(), 4, seed);
    supervisors.back().start(4);
  }
  std::map<Micros, int> retriesAt;  // from the third retry on
  for (SimulatedSupervisor& supervisor : supervisors) {
    for (int step = 0; step < 120; ++step) {
      if (supervisor.watchTimes.back() == supervisor.now) supervisor.handle({failedRequest()});
      supervisor.run(250 * kMillisecond);
    }
    for (std::size_t k = 3; k < supervisor.watchTimes.size(); ++k) ++retriesAt[supervisor.watchTimes[k]];
  }
  for (const auto& [time, retries] : retriesAt) EXPECT_LE(retries, 20) << "at " << time;
}

TEST(EndpointPolling, PushedListIsNotRequested) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(8, 5 * kSecond);
  EXPECT_TRUE(supervisor.watchTimes.empty());
}

}  // namespace
}  // namespace peargrade
