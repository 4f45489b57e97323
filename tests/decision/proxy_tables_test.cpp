// Deployments without slices: tables are per proxy, and servers leave them by ejection.
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

TEST(ProxyTables, DrainingServerIsEjectedAndReadmittedSomeTimeAfterItsRestart) {
  Settings settings = testSettings();
  settings.slices = 0;
  SimulatedSupervisor supervisor(settings);
  supervisor.startAndRun(0, 2 * kSecond);
  EXPECT_TRUE(
      setsEjection(supervisor.updateEndpoint("s_b", EndpointState::Draining), "s_b", EjectionState::Ejected));
  EXPECT_FALSE(setsEjection(supervisor.updateEndpoint("s_b", EndpointState::Ready, supervisor.now), "s_b",
                            EjectionState::Readmitted))
      << "it has only just started";
  bool readmitted = false;
  for (int step = 0; step < 60 && !readmitted; ++step) {
    supervisor.now += 250 * kMillisecond;
    readmitted = setsEjection(supervisor.handle({TimerFired{"sweep"}}), "s_b", EjectionState::Readmitted);
  }
  EXPECT_TRUE(readmitted);
}

}  // namespace
}  // namespace peargrade
