// The hotspot rule in a complete engine: a server with high latency and more heat than its fair share loses
// one slice at a time.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr Micros kHighLatency = 350 * kMillisecond;

// Settings of a fleet whose slices are all assigned to this supervisor.
Settings settingsWithSlices(int slices) {
  Settings settings = testSettings();
  settings.slices = slices;
  return settings;
}

// Four servers with four slices each. s_a has the slices 0, 4, 8 and 12: slice 0 is the hottest, and slice 4
// is the coolest one that has more than half of the heat of slice 0.
class HotspotRule : public testing::Test {
 protected:
  HotspotRule() {
    supervisor.requestRates[{0, 0}] = 32;
    supervisor.requestRates[{4, 0}] = 18;
    supervisor.requestRates[{8, 0}] = 12;
    supervisor.requestRates[{12, 0}] = 4;
    supervisor.startAndRun(16, 6 * kSecond);
  }

  SimulatedSupervisor supervisor{settingsWithSlices(16)};
};

TEST_F(HotspotRule, OnlyTheSliceNearestHalfOfTheHottestMigrates) {
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.run(4 * kSecond);
  EXPECT_EQ(supervisor.countLogLines(": hot"), 1);
  EXPECT_NE(supervisor.primaryServer(4), "s_a");
  EXPECT_EQ(supervisor.primaryServer(0), "s_a");
  EXPECT_EQ(supervisor.primaryServer(8), "s_a");
}

// Two changes of the primary route (new and old server) and two of the backup route.
TEST_F(HotspotRule, MigrationSetsAtMostFourRoutes) {
  const int routesSet = supervisor.routesSet;
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.run(4 * kSecond);
  ASSERT_EQ(supervisor.countLogLines(": hot"), 1);
  EXPECT_LE(supervisor.routesSet - routesSet, 4);
}

TEST_F(HotspotRule, FastServerAboveItsShareKeepsItsSlices) {
  supervisor.run(10 * kSecond);
  EXPECT_EQ(supervisor.countLogLines(": hot"), 0);
}

TEST_F(HotspotRule, NextMigrationOffAServerWaitsAtLeastOnePeriod) {
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.run(4 * kSecond);
  ASSERT_EQ(supervisor.countLogLines(": hot"), 1);
  supervisor.run(1500 * kMillisecond);
  EXPECT_EQ(supervisor.countLogLines(": hot"), 1);
}

TEST_F(HotspotRule, ServerStartedWithinTenSecondsIsNoTarget) {
  supervisor.updateEndpoint("s_e", EndpointState::Ready, supervisor.now);
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.run(4 * kSecond);
  EXPECT_EQ(supervisor.countLogLines("to s_e from s_a: hot"), 0);
}

// ---- Other distributions of load ----

TEST(HotspotRuleThresholds, SlowServerBelowItsShareKeepsItsSlices) {
  SimulatedSupervisor supervisor;
  supervisor.requestRates[{0, 0}] = 2;
  supervisor.startAndRun(16, 6 * kSecond);
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.run(6 * kSecond);
  EXPECT_EQ(supervisor.countLogLines(": hot"), 0);
}

// A server that is slow from its first report on has no low minimum latency of its own to compare with.
TEST(HotspotRuleThresholds, ServerSlowFromItsFirstReportIsComparedWithTheFleet) {
  SimulatedSupervisor supervisor(settingsWithSlices(16));
  supervisor.requestRates[{0, 0}] = 32;
  supervisor.requestRates[{4, 0}] = 18;
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.startAndRun(16, 8 * kSecond);
  EXPECT_GE(supervisor.countLogLines(": hot"), 1);
  EXPECT_NE(supervisor.primaryServer(4), "s_a");
}

TEST(HotspotRuleThresholds, NothingMigratesWhenAllServersAreSlow) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(16, 6 * kSecond);
  supervisor.setLatencies(4, 400 * kMillisecond);
  supervisor.run(6 * kSecond);
  EXPECT_EQ(supervisor.countLogLines(": hot"), 0);
}

TEST(HotspotRuleThresholds, SliceTooHotForAnyTargetStays) {
  SimulatedSupervisor supervisor(settingsWithSlices(4));
  supervisor.requestRates[{0, 0}] = 200;  // more than the fair share of a server
  supervisor.startAndRun(4, 6 * kSecond);
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.run(8 * kSecond);
  EXPECT_EQ(supervisor.primaryServer(0), "s_a");
}

}  // namespace
}  // namespace peargrade
