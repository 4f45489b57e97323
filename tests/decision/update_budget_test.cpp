// UpdateBudget: message and pending limits. SliceHandover: handover of single-owner slices.
#include "decision/update_budget.h"

#include <gtest/gtest.h>

#include "component_settings.h"
#include "decision/slice_handover.h"

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

class SliceHandoverTest : public testing::Test {
 protected:
  SliceHandoverTest() {
    clock_.advanceTo(1000 * kSecond);
    settings_.sliceOwnership = SliceOwnership::SingleOwner;
    settings_.inFlightWriteMax = kSecond;
    settings_.lease = 3 * kSecond;
    slices_.emplace(1, publishedSlice("a"));
    slice().desired = {{"b", 1}};
  }
  SliceState& slice() { return slices_.at(1); }
  /// Publishes the removal of the old owner in update 5, to the proxies 1 and 2.
  void removeOldOwner() {
    slice().publish(SetRoute{1, "a", 0});
    handover_.beginHandover(slice(), {1, 2}, 5);
  }
  void advance(Micros span) { clock_.advanceTo(clock_.now() + span); }
  std::size_t nextRoutes() { return handover_.nextRoutes(1, slice()).size(); }

  Settings settings_ = componentSettings();
  Clock clock_;
  SliceHandover handover_{settings_, clock_};
  SliceMap slices_;
};

TEST_F(SliceHandoverTest, OldOwnerIsRemovedFirst) {
  const std::vector<Action> routes = handover_.nextRoutes(1, slice());
  ASSERT_EQ(routes.size(), 1u);
  EXPECT_EQ(std::get<SetRoute>(routes[0]).server, "a");
  EXPECT_EQ(std::get<SetRoute>(routes[0]).weight, 0);
}

TEST_F(SliceHandoverTest, NewOwnerIsSetOnceAllProxiesAcknowledgedAndWritesEnded) {
  removeOldOwner();
  EXPECT_EQ(nextRoutes(), 0u);
  handover_.recordAcknowledgement(slices_, 1, 5);
  handover_.recordAcknowledgement(slices_, 2, 4);
  advance(10 * kSecond);
  EXPECT_EQ(nextRoutes(), 0u) << "proxy 2 has only acknowledged an earlier update";
  handover_.recordAcknowledgement(slices_, 2, 5);
  advance(kSecond - 1);
  EXPECT_EQ(nextRoutes(), 0u);
  advance(1);
  EXPECT_EQ(nextRoutes(), 1u);
}

TEST_F(SliceHandoverTest, DisconnectedProxyDelaysTheNewOwnerUntilItsLeaseExpires) {
  removeOldOwner();
  handover_.recordAcknowledgement(slices_, 1, 5);
  handover_.recordDisconnection(slices_, 2);
  advance(4 * kSecond - 1);
  EXPECT_EQ(nextRoutes(), 0u);
  advance(1);
  EXPECT_EQ(nextRoutes(), 1u);
}

// Guards against: a new owner is set while a proxy that disconnected before the removal writes to the old
// one.
TEST_F(SliceHandoverTest, ProxyThatDisconnectedBeforeTheRemovalDelaysTheNewOwner) {
  handover_.recordDisconnection(slices_, 3);
  advance(kSecond);
  removeOldOwner();
  EXPECT_EQ(handover_.leaseCount(), 1u);
  handover_.recordAcknowledgement(slices_, 1, 5);
  handover_.recordAcknowledgement(slices_, 2, 5);
  advance(3 * kSecond - 1);
  EXPECT_EQ(nextRoutes(), 0u);
  advance(1);
  EXPECT_EQ(handover_.leaseCount(), 0u);
  EXPECT_EQ(nextRoutes(), 1u);
}

TEST_F(SliceHandoverTest, ProxyThatIsConnectedAgainAtTheRemovalHoldsNoLease) {
  handover_.recordDisconnection(slices_, 2);
  EXPECT_FALSE(handover_.recordConnection(slices_, 2, kSecond)) << "no handover";
  removeOldOwner();
  EXPECT_EQ(handover_.leaseCount(), 0u);
  handover_.recordAcknowledgement(slices_, 1, 5);
  handover_.recordAcknowledgement(slices_, 2, 5);
  advance(kSecond);
  EXPECT_EQ(nextRoutes(), 1u);
}

// Guards against: a proxy that connected unnoticed just before the removal writes to the old owner until the
// removal reaches it.
TEST_F(SliceHandoverTest, ProxyThatMayHaveConnectedBeforeTheRemovalHasToAcknowledge) {
  removeOldOwner();
  handover_.recordAcknowledgement(slices_, 1, 5);
  handover_.recordAcknowledgement(slices_, 2, 5);
  advance(kSecond);
  EXPECT_TRUE(handover_.recordConnection(slices_, 3, kSecond));
  EXPECT_EQ(nextRoutes(), 0u);
  advance(1);
  EXPECT_FALSE(handover_.recordConnection(slices_, 4, kSecond)) << "it reads a table without the old owner";
  handover_.recordAcknowledgement(slices_, 3, 6);
  advance(kSecond);
  EXPECT_EQ(nextRoutes(), 1u);
}

// Guards against: the proxies of the supervisor that had the slice before still write to its owner.
TEST_F(SliceHandoverTest, AssignedSliceGetsANewOwnerOnlyOnceLeasesOfTheFormerSupervisorHaveExpired) {
  handover_.recordAssignment(slice());
  removeOldOwner();
  handover_.recordAcknowledgement(slices_, 1, 5);
  handover_.recordAcknowledgement(slices_, 2, 5);
  advance(4 * kSecond - 1);
  EXPECT_EQ(nextRoutes(), 0u);
  advance(1);
  EXPECT_EQ(nextRoutes(), 1u);
}

TEST_F(SliceHandoverTest, SharedSlicesNeedNoHandover) {
  settings_.sliceOwnership = SliceOwnership::Shared;
  EXPECT_EQ(nextRoutes(), 0u);
}

}  // namespace
}  // namespace peargrade::decision
