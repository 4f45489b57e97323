// Deployments without slices: each proxy has its own table, and servers are taken out of all tables by
// ejection.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

bool setsEjection(const std::vector<Action>& actions, const ServerId& server, EjectionState state) {
  return std::any_of(actions.begin(), actions.end(), [&](const Action& action) {
    const auto* ejection = std::get_if<SetEjection>(&action);
    return ejection != nullptr && ejection->server == server && ejection->state == state;
  });
}

TEST(ProxyTables, DrainingServerIsEjectedAndReadmittedWithADelayAfterItsRestart) {
  Settings settings = testSettings();
  settings.slices = 0;
  SimulatedSupervisor supervisor(settings);
  supervisor.startAndRun(0, 2 * kSecond);
  EXPECT_TRUE(
      setsEjection(supervisor.updateEndpoint("s_b", EndpointState::Draining), "s_b", EjectionState::Ejected));
  EXPECT_FALSE(setsEjection(supervisor.updateEndpoint("s_b", EndpointState::Ready, supervisor.now), "s_b",
                            EjectionState::Readmitted))
      << "the server has just started";
  bool isReadmitted = false;
  for (int step = 0; step < 60 && !isReadmitted; ++step) {
    supervisor.now += 250 * kMillisecond;
    isReadmitted = setsEjection(supervisor.handle({TimerFired{"sweep"}}), "s_b", EjectionState::Readmitted);
  }
  EXPECT_TRUE(isReadmitted);
}

}  // namespace
}  // namespace peargrade
