// UpdateBudget: message and pending limits.
#include "decision/update_budget.h"

#include <gtest/gtest.h>

#include "component_settings.h"

namespace peargrade::decision {
namespace {

class UpdateBudgetTest : public testing::Test {
 protected:
  UpdateBudgetTest() {
    clock_.advanceTo(1000 * kSecond);
    settings_.slices = 0;
    settings_.routesPerSecond = 100;
    settings_.pendingRoutesMax = 1000;
    settings_.messageOverheadRoutes = 7;
    settings_.messagesPerProxyMax = 10;
    settings_.messageWindow = 10 * kSecond;
    for (ProxyId proxy = 0; proxy < 10; ++proxy) channel_.connect(proxy, 0);
  }

  Settings settings_ = componentSettings();
  Clock clock_;
  UpdateChannel channel_;
  UpdateBudget budget_{settings_, clock_, channel_};
};

TEST_F(UpdateBudgetTest, MessageOverheadIncludesFleetRatiosAndAcknowledgementRequest) {
  EXPECT_EQ(budget_.messageOverhead(), 7 + 2 + 1);
}

TEST_F(UpdateBudgetTest, LessUrgentUpdatesHaveLessCapacity) {
  EXPECT_DOUBLE_EQ(budget_.capacityLeft(UpdatePriority::Critical), 90 - 10);
  EXPECT_DOUBLE_EQ(budget_.capacityLeft(UpdatePriority::Backup), 25 - 10);
  budget_.send(30);
  EXPECT_DOUBLE_EQ(budget_.capacityLeft(UpdatePriority::Critical), 60 - 10);
  EXPECT_LT(budget_.capacityLeft(UpdatePriority::Backup), 0);
}

TEST_F(UpdateBudgetTest, UpdatesWithoutEvacuationsAreSentAtMostEveryHalfSecond) {
  budget_.send(1);
  EXPECT_FALSE(budget_.canSend(UpdatePriority::Migration, 1, false));
  EXPECT_TRUE(budget_.canSend(UpdatePriority::Evacuation, 1, false));
  clock_.advanceTo(clock_.now() + 500 * kMillisecond);
  EXPECT_TRUE(budget_.canSend(UpdatePriority::Migration, 1, false));
}

TEST_F(UpdateBudgetTest, MessageLimitDelaysLessUrgentUpdatesFirst) {
  for (int message = 0; message < 7; ++message) budget_.send(1);
  EXPECT_FALSE(budget_.canSend(UpdatePriority::Evacuation, 1, false));
  EXPECT_TRUE(budget_.canSend(UpdatePriority::Critical, 1, false));
  clock_.advanceTo(clock_.now() + 10 * kSecond);
  EXPECT_TRUE(budget_.canSend(UpdatePriority::Evacuation, 1, false));
}

TEST_F(UpdateBudgetTest, UpdateWaitsForAQuarterOfAMessageUnlessItIsARetry) {
  budget_.send(60);
  EXPECT_LT(budget_.capacityLeft(UpdatePriority::Critical), 0.25 * 90);
  EXPECT_FALSE(budget_.canSend(UpdatePriority::Critical, 50, false));
  EXPECT_TRUE(budget_.canSend(UpdatePriority::Critical, 10, false))
      << "there is capacity for the complete update";
  EXPECT_TRUE(budget_.canSend(UpdatePriority::Critical, 50, true));
}

TEST_F(UpdateBudgetTest, WithSlicesEveryProxyOfTheFleetCountsAsReceiver) {
  EXPECT_EQ(budget_.receivers(), 10);
  settings_.proxies = 40;
  EXPECT_EQ(budget_.receivers(), 10);
  settings_.slices = 5;
  EXPECT_EQ(budget_.receivers(), 40);
}

}  // namespace
}  // namespace peargrade::decision
