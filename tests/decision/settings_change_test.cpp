// Settings that change while the supervisor runs: later decisions use the new settings, and unchanged
// settings do not change decisions.
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <random>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

// The slices of the only server cannot migrate, so the server is ejected only when its drain grace expires.
TEST(SettingsChange, DrainingServerIsEjectedWhenTheNewGraceExpires) {
  Settings settings = testSettings();
  settings.drainGrace = 60 * kSecond;
  SimulatedSupervisor supervisor(settings, 1);
  supervisor.startAndRun(4, 2 * kSecond);
  supervisor.updateEndpoint("s_a", EndpointState::Draining);
  supervisor.run(4 * kSecond);
  ASSERT_EQ(supervisor.ejections, 0) << "the first grace has not expired";
  settings.drainGrace = 2 * kSecond;
  supervisor.handle({SettingsChanged{settings}});
  supervisor.run(2 * kSecond);
  EXPECT_EQ(supervisor.ejections, 1);
}

// Mean admission ratio of a class over 24 slices.
double meanAdmissionRatio(const SimulatedSupervisor& supervisor, int requestClass) {
  double sum = 0;
  for (TableId slice = 0; slice < 24; ++slice) {
    const double sliceRatio = supervisor.admissionRatio(slice, requestClass);
    const double fleetRatio = supervisor.admissionRatio(kAllTables, requestClass);
    sum += std::min(sliceRatio, fleetRatio) / 24;
  }
  return sum;
}

// Guards against a shedding order that is computed from the first settings and not again after a change.
TEST(SettingsChange, LoadSheddingUsesTheNewPriorityWeights) {
  Settings settings = testSettings();
  SimulatedSupervisor supervisor(settings, 6);
  for (TableId slice = 0; slice < 24; ++slice) {
    supervisor.requestRates[{slice, 0}] = 10;
    supervisor.requestRates[{slice, 1}] = 10;
  }
  supervisor.startAndRun(24, 8 * kSecond);
  supervisor.setLatencies(6, 1200 * kMillisecond);
  supervisor.run(20 * kSecond);
  ASSERT_LT(meanAdmissionRatio(supervisor, 0), 0.7);
  ASSERT_GT(meanAdmissionRatio(supervisor, 1), meanAdmissionRatio(supervisor, 0));
  settings.classes[0].priorityWeight = 100;
  settings.classes[1].priorityWeight = 1;
  supervisor.handle({SettingsChanged{settings}});
  supervisor.run(10 * kSecond);
  EXPECT_LT(meanAdmissionRatio(supervisor, 1), meanAdmissionRatio(supervisor, 0));
}

TEST(SettingsChange, ClassThatIsNoLongerIdempotentGetsANewRetryPolicy) {
  Settings settings = testSettings();
  SimulatedSupervisor supervisor(settings);
  supervisor.startAndRun(24, 4 * kSecond);
  ASSERT_EQ((supervisor.retryPolicies[{kAllTables, 0}]), RetryPolicy::AnyFailure);
  settings.classes[0].idempotency = Idempotency::NonIdempotent;
  supervisor.handle({SettingsChanged{settings}});
  supervisor.run(2 * kSecond);
  EXPECT_EQ((supervisor.retryPolicies[{kAllTables, 0}]), RetryPolicy::IfNotExecuted);
}

TEST(SettingsChange, SettingsWithAnotherNumberOfClassesAreIgnored) {
  Settings settings = testSettings();
  SimulatedSupervisor supervisor(settings);
  supervisor.startAndRun(24, 2 * kSecond);
  settings.classes.resize(1);
  settings.classes[0].idempotency = Idempotency::NonIdempotent;
  supervisor.handle({SettingsChanged{settings}});
  supervisor.run(4 * kSecond);
  EXPECT_EQ((supervisor.retryPolicies[{kAllTables, 0}]), RetryPolicy::AnyFailure);
}

void expectSameDecisions(const SimulatedSupervisor& supervisor, const SimulatedSupervisor& reference) {
  ASSERT_EQ(supervisor.routes, reference.routes);
  ASSERT_EQ(supervisor.admissionRatios, reference.admissionRatios);
  ASSERT_EQ(supervisor.retryPolicies, reference.retryPolicies);
  ASSERT_EQ(supervisor.logLines, reference.logLines);
  ASSERT_EQ(supervisor.updateTimes, reference.updateTimes);
}

// Property: two supervisors handle the same random events. One of them also gets its unchanged settings again
// at each step, and must make the same decisions as the other.
TEST(SettingsChange, UnchangedSettingsDoNotChangeDecisions) {
  constexpr int kRuns = 20;
  constexpr int kSteps = 120;
  const unsigned seed = std::random_device{}();
  std::cout << "seed " << seed << '\n';
  std::mt19937 random(seed);
  for (int run = 0; run < kRuns; ++run) {
    SimulatedSupervisor supervisor(testSettings(), 6, seed);
    SimulatedSupervisor reference(testSettings(), 6, seed);
    supervisor.start(24);
    reference.start(24);
    for (int step = 0; step < kSteps; ++step) {
      SCOPED_TRACE("seed " + std::to_string(seed) + " run " + std::to_string(run) + " step " +
                   std::to_string(step));
      const ServerId server = SimulatedSupervisor::serverName(static_cast<int>(random() % 6));
      const Micros latency = static_cast<Micros>(50 + random() % 1500) * kMillisecond;
      const unsigned change = random() % 20;
      for (SimulatedSupervisor* each : {&supervisor, &reference}) {
        if (change == 0) each->updateEndpoint(server, EndpointState::Draining);
        if (change == 1) each->updateEndpoint(server, EndpointState::Ready, each->now - 3 * kSecond);
        if (change < 6) each->latencies[server] = latency;
      }
      EXPECT_TRUE(supervisor.handle({SettingsChanged{supervisor.settings}}).empty());
      supervisor.run(250 * kMillisecond);
      reference.run(250 * kMillisecond);
      ASSERT_NO_FATAL_FAILURE(expectSameDecisions(supervisor, reference));
    }
  }
}

}  // namespace
}  // namespace peargrade
