// The hotspot rule, evaluated report by report, and the capacity estimate.
#include "decision/hotspot_rule.h"

#include <cstdlib>

#include "component_fixture.h"

namespace peargrade::decision {
namespace {

/// Server "a" has most of the heat, server "b" little.
class HotspotRuleTest : public ComponentFixture {
 protected:
  HotspotRuleTest() {
    servers_["a"] = usableServer();
    servers_["b"] = usableServer();
    for (TableId table = 0; table < 4; ++table) addSlice(table, "a", 100);
    addSlice(4, "b", 100);
    report(100 * kMillisecond);
  }
  /// Records one report of each server, with the given latency of "a", and evaluates them.
  void report(Micros latency) {
    clock_.advanceTo(clock_.now() + settings_.reportInterval);
    for (auto& [id, server] : servers_) server.reports.byProxyZone.clear();
    pressure_.record({0, "a", 100, 0, latency, kSecond}, servers_);
    pressure_.record({0, "b", 100, 0, 100 * kMillisecond, kSecond}, servers_);
    estimate();
    hotspots_.detect(servers_);
  }
  std::size_t slicesOn(const ServerId& id) const {
    std::size_t count = 0;
    for (const auto& [table, slice] : slices_) count += slice.primary == id ? 1 : 0;
    return count;
  }
};

TEST_F(HotspotRuleTest, ServerIsHotAfterThreeConsecutiveSlowReports) {
  for (const int slowReports : {1, 2}) {
    report(500 * kMillisecond);
    hotspots_.relieve(servers_, slices_);
    EXPECT_EQ(slicesOn("a"), 4u) << slowReports;
  }
  report(500 * kMillisecond);
  hotspots_.relieve(servers_, slices_);
  EXPECT_EQ(slicesOn("a"), 3u);
  EXPECT_EQ(slicesOn("b"), 2u);
}

TEST_F(HotspotRuleTest, ReportOfLowLatencyResetsTheCount) {
  report(500 * kMillisecond);
  report(500 * kMillisecond);
  report(100 * kMillisecond);
  EXPECT_EQ(servers_["a"].hotspot.hotReports, 0);
  report(500 * kMillisecond);
  EXPECT_EQ(servers_["a"].hotspot.hotReports, 1);
}

TEST_F(HotspotRuleTest, LatencyUpToTwiceTheLeastIsNotSlow) {
  report(199 * kMillisecond);
  EXPECT_EQ(servers_["a"].hotspot.hotReports, 0);
  report(201 * kMillisecond);
  EXPECT_EQ(servers_["a"].hotspot.hotReports, 1);
}

TEST_F(HotspotRuleTest, NothingMigratesWhileAllServersAreHot) {
  servers_["a"].hotspot.hotReports = 3;
  servers_["b"].hotspot.hotReports = 3;
  hotspots_.relieve(servers_, slices_);
  EXPECT_EQ(slicesOn("a"), 4u);
}

TEST_F(HotspotRuleTest, RelievedServerWaitsOneToThreePeriods) {
  servers_["a"].hotspot.hotReports = 3;
  hotspots_.relieve(servers_, slices_);
  ASSERT_EQ(slicesOn("a"), 3u);
  const Micros wait = servers_["a"].migrations.nextMigrationOffAt - clock_.now();
  EXPECT_GE(wait, 2 * kSecond);
  EXPECT_LE(wait, 6 * kSecond);
  servers_["a"].hotspot.hotReports = 3;
  hotspots_.relieve(servers_, slices_);
  EXPECT_EQ(slicesOn("a"), 3u);
}

TEST_F(HotspotRuleTest, TargetMustHaveStartedTenSecondsAgo) {
  settings_.slowStartWindow = 0;
  servers_["a"].hotspot.hotReports = 3;
  servers_["b"].endpoint.startedAt = clock_.now() - 10 * kSecond + 1;
  hotspots_.relieve(servers_, slices_);
  EXPECT_EQ(slicesOn("a"), 4u);
  servers_["b"].endpoint.startedAt = clock_.now() - 10 * kSecond;
  hotspots_.relieve(servers_, slices_);
  EXPECT_EQ(slicesOn("a"), 3u);
}

TEST_F(HotspotRuleTest, OverloadedServerAtFairLoadLosesCapacity) {
  for (const ServerId id : {"c", "d"}) servers_[id] = usableServer();
  estimate();
  servers_["a"].reports.pressure = 0.56;
  capacity_.update(servers_);
  EXPECT_DOUBLE_EQ(servers_["a"].capacity.factor, 0.8);
  capacity_.update(servers_);
  EXPECT_DOUBLE_EQ(servers_["a"].capacity.factor, 0.8) << "reports do not show the change yet";
  clock_.advanceTo(clock_.now() + pressure_.settlingTime());
  servers_["a"].reports.pressure = 0.29;
  capacity_.update(servers_);
  EXPECT_DOUBLE_EQ(servers_["a"].capacity.factor, 0.81);
}

/// Three servers. The load of "a" is a share of the mean load; the server with median pressure is relaxed.
class CapacityEstimatorTest : public ComponentFixture {
 protected:
  double factorAt(std::int64_t permilleOfMean) {
    servers_.clear();
    slices_.clear();
    for (const ServerId id : {"a", "b", "c"}) servers_[id] = usableServer();
    addSlice(1, "a", permilleOfMean);
    addSlice(2, "b", 3000 - permilleOfMean);
    estimate();
    servers_["a"].reports.pressure = 0.56;
    capacity_.update(servers_);
    return servers_["a"].capacity.factor;
  }
};

TEST_F(CapacityEstimatorTest, LoadIsFairOverSevenTenthsOfTheMean) {
  EXPECT_EQ(factorAt(699), 1);
  EXPECT_DOUBLE_EQ(factorAt(705), 0.8);
}

}  // namespace
}  // namespace peargrade::decision
