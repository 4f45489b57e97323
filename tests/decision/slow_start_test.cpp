// SlowStart: weights of servers, and the reduced capacity of servers that are warming up.
#include "decision/slow_start.h"

#include "component_fixture.h"

namespace peargrade::decision {
namespace {

class SlowStartTest : public ComponentFixture {
 protected:
  SlowStartTest() {
    servers_["warm"] = usableServer();
    servers_["cold"] = usableServer();
    servers_["cold"].endpoint.startedAt = clock_.now();
    servers_["cold"].changedAt = clock_.now();
    addSlice(1, "warm", 100);
    estimate();
  }
  ServerState& cold() { return servers_["cold"]; }
};

TEST_F(SlowStartTest, CapacityGrowsLinearlyFromItsInitialShare) {
  EXPECT_DOUBLE_EQ(slowStart_.warmUpFraction(cold()), 0.2);
  clock_.advanceTo(clock_.now() + 10 * kSecond);
  EXPECT_DOUBLE_EQ(slowStart_.warmUpFraction(cold()), 0.6);
  clock_.advanceTo(clock_.now() + 10 * kSecond);
  EXPECT_FALSE(slowStart_.isWarmingUp(cold()));
  EXPECT_EQ(slowStart_.warmUpFraction(cold()), 1);
}

TEST_F(SlowStartTest, RelaxedWarmingServerHasALargerRampFactor) {
  EXPECT_DOUBLE_EQ(slowStart_.rampFactor(cold()), 0.85 * 0.2);
  cold().reports.pressure = 0.29;
  EXPECT_DOUBLE_EQ(slowStart_.rampFactor(cold()), 0.2) << "half of the overload factor of 2";
  cold().reports.pressure = 0.31;
  EXPECT_DOUBLE_EQ(slowStart_.rampFactor(cold()), 0.85 * 0.2);
  EXPECT_EQ(slowStart_.rampFactor(servers_["warm"]), 1);
}

TEST_F(SlowStartTest, WarmingServerAbsorbsHeatUpToTwoThirdsOfItsOverloadLimit) {
  EXPECT_TRUE(slowStart_.canAbsorb(cold(), 1e9, 1)) << "the sustained heat of warm servers is unknown";
  admission_.adjust(servers_, load_, slowStart_);
  const double sustained = load_.heatOn(servers_["warm"]);
  ASSERT_GT(sustained, 0);
  ASSERT_DOUBLE_EQ(admission_.sustainedHeatPerWeight(), sustained);
  const double limit = 2 * 0.2 * sustained;
  EXPECT_TRUE(slowStart_.canAbsorb(cold(), 0.669 * limit, 1));
  EXPECT_FALSE(slowStart_.canAbsorb(cold(), 0.671 * limit, 1));
  EXPECT_FALSE(slowStart_.canAbsorb(cold(), 0.336 * limit, 2)) << "other supervisors may add as much";
  cold().load.ownHeat = 0.3 * limit;
  EXPECT_TRUE(slowStart_.canAbsorb(cold(), 0.369 * limit, 1));
  EXPECT_FALSE(slowStart_.canAbsorb(cold(), 0.371 * limit, 1));
  EXPECT_TRUE(slowStart_.canAbsorb(servers_["warm"], 1e9, 1));
}

TEST_F(SlowStartTest, ListedWeightCountsOnlyIfEndpointsHaveWeights) {
  servers_["warm"].endpoint.weight = 3;
  servers_["warm"].capacity.factor = 0.5;
  EXPECT_EQ(slowStart_.weight(servers_["warm"]), 0.5);
  settings_.endpointsHaveWeights = true;
  EXPECT_EQ(slowStart_.weight(servers_["warm"]), 1.5);
}

}  // namespace
}  // namespace peargrade::decision
