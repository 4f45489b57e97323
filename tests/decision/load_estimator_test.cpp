// Estimated heat of slices, servers and cohorts; planned ejections.
#include "decision/load_estimator.h"

#include <random>

#include "component_fixture.h"
#include "decision/ejection_planner.h"
#include "decision/update_budget.h"

namespace peargrade::decision {
namespace {

constexpr int kSeed = 5;

class LoadEstimatorTest : public ComponentFixture {
 protected:
  LoadEstimatorTest() {
    for (const ServerId id : {"a", "b", "c"}) servers_[id] = usableServer();
  }
};

TEST_F(LoadEstimatorTest, RequestsCountWithTheCostOfTheirClass) {
  addSlice(1, "a", 100);
  slices_.emplace(2, publishedSlice("b"));
  load_.record({2, 1, 100, 0, kSecond}, slices_);
  settings_.slices = 2;
  estimate();
  EXPECT_DOUBLE_EQ(servers_["b"].load.ownHeat, 2 * servers_["a"].load.ownHeat);
  EXPECT_DOUBLE_EQ(load_.fleetHeat(), 3 * servers_["a"].load.ownHeat);
  EXPECT_DOUBLE_EQ(load_.meanLoad(), load_.fleetHeat() / 3);
}

TEST_F(LoadEstimatorTest, ReportsOfUnknownSlicesAndClassesAreIgnored) {
  load_.record({7, 0, 100, 0, kSecond}, slices_);
  addSlice(1, "a", 0);
  load_.record({1, 2, 100, 0, kSecond}, slices_);
  load_.record({1, -1, 100, 0, kSecond}, slices_);
  estimate();
  EXPECT_EQ(servers_["a"].load.ownHeat, 0);
}

TEST_F(LoadEstimatorTest, NewSliceHasTheMeanHeatUntilItIsReported) {
  addSlice(1, "a", 100);
  addSlice(2, "a", 300);
  slices_.emplace(3, SliceState(clock_.now(), 2));
  slices_.at(3).primary = "b";
  estimate();
  EXPECT_DOUBLE_EQ(servers_["b"].load.ownHeat, servers_["a"].load.ownHeat / 2);
}

TEST_F(LoadEstimatorTest, ServersThatChangedWithinFiveSecondsFormACohort) {
  addSlice(1, "a", 100);
  servers_["a"].changedAt = clock_.now() - 5 * kSecond;
  servers_["b"].changedAt = clock_.now() - 1;
  servers_["c"].changedAt = clock_.now();
  estimate();
  EXPECT_EQ(servers_["a"].load.cohort, servers_["b"].load.cohort);
  EXPECT_NE(servers_["a"].load.cohort, servers_["c"].load.cohort);
}

TEST_F(LoadEstimatorTest, OtherSupervisorsAddHeatToACohortInProportionToOwnHeat) {
  for (const ServerId id : {"a", "b", "c"}) servers_[id].changedAt = clock_.now();
  addSlice(1, "a", 100);
  settings_.slices = 4;
  estimate();
  const double own = servers_["a"].load.ownHeat;
  EXPECT_DOUBLE_EQ(load_.fleetScale(), 4);
  EXPECT_DOUBLE_EQ(load_.heatOn(servers_["a"]), own + 3 * own / 3);
  EXPECT_DOUBLE_EQ(load_.heatOn(servers_["b"]), 3 * own / 3);
}

// A supervisor may be assigned more slices than the settings state for the fleet. With a scale below 1 the
// heat of other supervisors would be negative, and Placement would find no coolest server.
TEST_F(LoadEstimatorTest, MoreSlicesThanInTheSettingsAddNoNegativePeerHeat) {
  for (const ServerId id : {"a", "b", "c"}) servers_[id].changedAt = clock_.now();
  addSlice(1, "a", 100);
  addSlice(2, "a", 100);
  settings_.slices = 1;
  estimate();
  EXPECT_DOUBLE_EQ(load_.fleetScale(), 1);
  EXPECT_EQ(load_.heatOn(servers_["b"]), 0);
  EXPECT_GE(load_.projectedLoad(servers_["b"]), 0);
}

// Subtracting the heat of one slice after the other can make the sum negative by rounding. Placement found no
// coolest server then.
TEST_F(LoadEstimatorTest, MigrationOfAllSlicesLeavesNoNegativeHeat) {
  SliceState idle(clock_.now(), settings_.classes.size());
  idle.primary = "c";
  std::mt19937 random(kSeed);
  for (int draw = 0; draw < 50; ++draw) {
    slices_.clear();
    for (TableId slice = 1; slice <= 7; ++slice)
      addSlice(slice, "a", static_cast<std::int64_t>(1 + random() % 1000));
    estimate();
    for (auto& [table, slice] : slices_) migrator_.migrate(servers_, table, slice, "b", "test");
    EXPECT_GE(servers_["a"].load.ownHeat, 0) << "draw " << draw << " of seed " << kSeed;
    EXPECT_GE(load_.projectedLoad(servers_["a"]), 0) << "draw " << draw << " of seed " << kSeed;
    const ServerId coolest = placement_.coolest(servers_, idle, 1, [](const ServerState&) { return true; });
    EXPECT_EQ(coolest, "a") << "draw " << draw << " of seed " << kSeed;
  }
}

/// A published table whose only route is to a draining server.
class EjectionPlannerTest : public ComponentFixture {
 protected:
  EjectionPlannerTest() {
    settings_.drainGrace = 2 * kSecond;
    settings_.pushDelayMax = 500 * kMillisecond;
    servers_["a"] = usableServer();
    servers_["a"].endpoint.state = EndpointState::Draining;
    servers_["a"].departedAt = clock_.now();
    servers_["b"] = usableServer();
    addSlice(1, "a", 100);
    endpoints_.apply({EndpointListKind::Delta, 0, {}}, servers_);
  }
  std::vector<SetEjection> planAfter(Micros span) {
    clock_.advanceTo(servers_["a"].departedAt + span);
    return planner_.plan(servers_, slices_);
  }

  UpdateChannel channel_;
  UpdateBudget budget_{settings_, clock_, channel_};
  EjectionPlanner planner_{settings_, clock_, endpoints_, load_, budget_};
};

TEST_F(EjectionPlannerTest, IndispensableServerIsEjectedJustBeforeTheDrainGraceRunsOut) {
  EXPECT_TRUE(planAfter(1200 * kMillisecond).empty());
  const std::vector<SetEjection> ejections = planAfter(1200 * kMillisecond + 1);
  ASSERT_EQ(ejections.size(), 1u);
  EXPECT_EQ(ejections[0].server, "a");
  EXPECT_EQ(ejections[0].state, EjectionState::Ejected);
}

TEST_F(EjectionPlannerTest, ServerIsEjectedImmediatelyIfItsTableHasARoutableOne) {
  slices_.at(1).published.insert_or_assign("b", PublishedRoute::delivered(0.001));
  EXPECT_EQ(planAfter(0).size(), 1u);
}

TEST_F(EjectionPlannerTest, ServerIsReadmittedOnceNoTableHoldsAStaleRouteToIt) {
  servers_["a"].endpoint.state = EndpointState::Ready;
  servers_["a"].ejection.publish(EjectionState::Ejected, 1);
  slices_.at(1).desired = {{"b", 1}};
  EXPECT_TRUE(planAfter(0).empty());
  slices_.at(1).publish(SetRoute{1, "a", 0});
  const std::vector<SetEjection> ejections = planAfter(0);
  ASSERT_EQ(ejections.size(), 1u);
  EXPECT_EQ(ejections[0].state, EjectionState::Readmitted);
}

TEST_F(EjectionPlannerTest, ReadyServerIsReadmittedDespiteStaleRoutesIfNoServerIsUsable) {
  servers_["a"].endpoint.state = EndpointState::Ready;
  for (const ServerId id : {"a", "b"}) servers_[id].ejection.publish(EjectionState::Ejected, 1);
  slices_.at(1).desired = {{"b", 1}};
  slices_.at(1).primary = "b";
  slices_.at(1).published.insert_or_assign("b", PublishedRoute::delivered(1));
  EXPECT_EQ(planAfter(0).size(), 2u);
  servers_["b"].endpoint.state = EndpointState::Draining;
  const std::vector<SetEjection> ejections = planAfter(0);
  ASSERT_EQ(ejections.size(), 1u) << "a draining server stays ejected";
  EXPECT_EQ(ejections[0].server, "a");
}

TEST_F(EjectionPlannerTest, UnconfirmedEjectionIsPublishedAgain) {
  slices_.at(1).published.insert_or_assign("b", PublishedRoute::delivered(0.001));
  servers_["a"].ejection.publish(EjectionState::Ejected, 1);
  EXPECT_TRUE(planAfter(0).empty());
  servers_["a"].ejection.markUnconfirmed();
  EXPECT_EQ(planAfter(0).size(), 1u);
}

}  // namespace
}  // namespace peargrade::decision
