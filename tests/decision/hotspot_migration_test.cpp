// The hotspot rule: a server that is slow and has more heat than its share loses one slice at a time.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr Micros kHighLatency = 350 * kMillisecond;

// All slices of the fleet belong to this supervisor.
Settings settingsWithSlices(int slices) {
  Settings settings = testSettings();
  settings.slices = slices;
  return settings;
}

// Of four servers with four slices each, s_a has the slices 0, 4, 8 and 12: slice 0 is the hottest, and slice
// 4 is the coolest one above half of it.
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

// Two for the primary server, two for the backup.
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

TEST_F(HotspotRule, NextMigrationOffAServerWaitsOneToThreeReportIntervals) {
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

// ---- Other traffic ----

TEST(HotspotRuleThresholds, SlowServerBelowItsShareKeepsItsSlices) {
  SimulatedSupervisor supervisor;
  supervisor.requestRates[{0, 0}] = 2;
  supervisor.startAndRun(16, 6 * kSecond);
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.run(6 * kSecond);
  EXPECT_EQ(supervisor.countLogLines(": hot"), 0);
}

// A server that is slow from its first report on has no low latency of its own: the fleet's is the reference.
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
  supervisor.requestRates[{0, 0}] = 200;  // alone more than a server's share of all
  supervisor.startAndRun(4, 6 * kSecond);
  supervisor.latencies["s_a"] = kHighLatency;
  supervisor.run(8 * kSecond);
  EXPECT_EQ(supervisor.primaryServer(0), "s_a");
}

}  // namespace
}  // namespace peargrade
