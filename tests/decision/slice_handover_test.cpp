// Handover of single-owner slices: when the old owner is removed and the new one is set.
#include "decision/slice_handover.h"

#include <gtest/gtest.h>

#include "component_settings.h"

namespace peargrade::decision {
namespace {

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
