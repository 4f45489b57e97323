// Admission control of a simulated supervisor: admission ratios while servers miss their latency objective or
// are warming up.
#include <gtest/gtest.h>

#include <algorithm>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

TEST(AdmissionControl, OverloadFirstShedsTheClassWithTheLowestPriorityWeightPerCost) {
  SimulatedSupervisor supervisor;
  for (TableId slice = 0; slice < 12; ++slice) supervisor.requestRates[{slice, 1}] = 10;
  supervisor.startAndRun(12, 6 * kSecond);
  supervisor.setLatencies(4, 900 * kMillisecond);
  supervisor.run(6 * kSecond);
  for (TableId slice = 0; slice < 12; ++slice) {
    ASSERT_GT(supervisor.admissionRatios.count({slice, 0}), 0U);
    EXPECT_LT(supervisor.admissionRatio(slice, 0), 1);
    EXPECT_GT(supervisor.admissionRatio(slice, 1), supervisor.admissionRatio(slice, 0));
  }
}

// Guards against a limit that falls only by its normal step of 10 %: a server that receives twice the load
// that it can answer would stay overloaded for too long.
TEST(AdmissionControl, ServerOverItsLatencyObjectiveReceivesLessThanItAnswers) {
  SimulatedSupervisor supervisor(testSettings(), 8);
  supervisor.startAndRun(24, 8 * kSecond);
  supervisor.reportsLoad = false;  // until the estimate of the former load has decayed
  supervisor.run(6 * kSecond);
  supervisor.reportsLoad = true;
  supervisor.latencies["s_a"] = 2000 * kMillisecond;
  supervisor.setFailureRatio("s_a", 0.7);
  double lowestRatio = 1;
  for (int step = 0; step < 12; ++step) {
    supervisor.run(250 * kMillisecond);
    if (supervisor.primaryServer(0) == "s_a")
      lowestRatio = std::min(lowestRatio, supervisor.admissionRatio(0, 0));
  }
  EXPECT_LT(lowestRatio, 0.3);
}

TEST(AdmissionControl, RatiosReturnToOneWhenLatencyIsLowAgain) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(12, 6 * kSecond);
  supervisor.setLatencies(4, 700 * kMillisecond);
  supervisor.run(5 * kSecond);
  supervisor.setLatencies(4, 100 * kMillisecond);
  supervisor.run(40 * kSecond);
  for (const auto& [tableClass, ratio] : supervisor.admissionRatios)
    EXPECT_EQ(ratio, 1) << "table " << tableClass.first;
}

// ---- Warming servers ----

// The only remaining server is warming up: it receives all slices, but only a part of their requests.
TEST(AdmissionControl, WarmingServerReceivesNoMoreThanItsCapacity) {
  SimulatedSupervisor supervisor(testSettings(), 3);
  supervisor.startAndRun(12, 8 * kSecond);
  supervisor.updateEndpoint("s_b", EndpointState::Ready, supervisor.now - 100 * kMillisecond);
  supervisor.updateEndpoint("s_a", EndpointState::Removed);
  supervisor.updateEndpoint("s_c", EndpointState::Removed);
  supervisor.run(2 * kSecond);
  EXPECT_EQ(supervisor.primaryCount("s_b"), 12);
  for (TableId slice = 0; slice < 12; ++slice)
    EXPECT_LT(supervisor.admissionRatio(slice, 0), 0.5) << "slice " << slice;
}

TEST(AdmissionControl, WarmingServerAdmitsNoLargerShareThanWarmServersUnderOverload) {
  Settings settings = testSettings();
  settings.healthChecksAllowed = true;
  SimulatedSupervisor supervisor(settings, 4);
  supervisor.startUnderOverload(16, 15 * kSecond);
  supervisor.updateEndpoint("s_e", EndpointState::Ready, supervisor.now - 6 * kSecond);
  supervisor.latencies["s_e"] = 100 * kMillisecond;
  supervisor.run(4 * kSecond);
  double highestRatioOfOthers = 0;
  for (TableId slice = 0; slice < 16; ++slice) {
    if (supervisor.primaryServer(slice) == "s_e") continue;
    highestRatioOfOthers = std::max(highestRatioOfOthers, supervisor.admissionRatio(slice, 0));
  }
  EXPECT_LT(highestRatioOfOthers, 1);
  ASSERT_GT(supervisor.primaryCount("s_e"), 0);
  for (TableId slice = 0; slice < 16; ++slice) {
    if (supervisor.primaryServer(slice) != "s_e") continue;
    EXPECT_LE(supervisor.admissionRatio(slice, 0), highestRatioOfOthers + 0.1) << "slice " << slice;
  }
}

// All loaded warm servers are removed. The only warm server left, s_e, has carried little load, so its heat
// does not show how much heat the warming server s_b can sustain.
TEST(AdmissionControl, HeatLimitOfWarmingServersDoesNotJumpUnderOverload) {
  SimulatedSupervisor supervisor(testSettings(), 4);
  supervisor.startUnderOverload(16, 15 * kSecond);
  supervisor.updateEndpoint("s_e", EndpointState::Ready, supervisor.now - 15 * kSecond);  // warm in a second
  supervisor.updateEndpoint("s_b", EndpointState::Ready, supervisor.now - 3 * kSecond);
  supervisor.updateEndpoint("s_a", EndpointState::Removed);
  supervisor.updateEndpoint("s_c", EndpointState::Removed);
  supervisor.updateEndpoint("s_d", EndpointState::Removed);
  supervisor.latencies["s_e"] = 100 * kMillisecond;
  supervisor.latencies["s_b"] = 100 * kMillisecond;
  supervisor.run(2 * kSecond);
  EXPECT_GE(supervisor.primaryCount("s_b"), 1);
  for (TableId slice = 0; slice < 16; ++slice) {
    if (supervisor.primaryServer(slice) != "s_b") continue;
    EXPECT_LT(supervisor.admissionRatio(slice, 0), 0.5) << "slice " << slice;
  }
}

}  // namespace
}  // namespace peargrade
