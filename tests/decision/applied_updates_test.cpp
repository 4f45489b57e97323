// The record of the updates that each proxy has applied.
#include "decision/applied_updates.h"

#include <gtest/gtest.h>

namespace peargrade::decision {
namespace {

class AppliedUpdatesTest : public testing::Test {
 protected:
  void send(int updates) {
    for (int update = 0; update < updates; ++update) applied_.recordSent();
  }

  Clock clock_;
  AppliedUpdates applied_{clock_};
};

TEST_F(AppliedUpdatesTest, ReconnectedProxyHasMissedTheUpdatesAfterItsLastAcknowledgement) {
  applied_.connect(1, true);
  send(5);
  applied_.acknowledge(1, 2);
  EXPECT_FALSE(applied_.takeMissed());
  applied_.disconnect(1);
  send(2);
  applied_.connect(1, false);
  send(1);
  const std::optional<UpdateRange> missed = applied_.takeMissed();
  ASSERT_TRUE(missed);
  EXPECT_FALSE(missed->contains(3)) << "the update that was acknowledged";
  EXPECT_TRUE(missed->contains(4)) << "lost on its way";
  EXPECT_TRUE(missed->contains(7)) << "sent while the proxy was disconnected";
  EXPECT_FALSE(missed->contains(8)) << "sent after the new connection";
  EXPECT_FALSE(applied_.takeMissed());
}

TEST_F(AppliedUpdatesTest, ProxyThatHasAppliedAllUpdatesMissesNone) {
  applied_.connect(1, true);
  send(3);
  applied_.acknowledge(1, 0);
  applied_.disconnect(1);
  applied_.connect(1, false);
  EXPECT_FALSE(applied_.takeMissed());
}

TEST_F(AppliedUpdatesTest, NewIncarnationHoldsNothingThatItCouldHaveMissed) {
  applied_.connect(1, true);
  applied_.disconnect(1);
  send(3);
  applied_.connect(1, true);
  EXPECT_FALSE(applied_.takeMissed());
}

TEST_F(AppliedUpdatesTest, UnknownProxyMayHaveMissedEveryUpdate) {
  send(3);
  applied_.connect(1, false);
  const std::optional<UpdateRange> missed = applied_.takeMissed();
  ASSERT_TRUE(missed);
  EXPECT_TRUE(missed->contains(1));
}

TEST_F(AppliedUpdatesTest, UnobservedReconnectsConcernTheProxyWithTheFewestUpdates) {
  applied_.connect(1, true);
  applied_.connect(2, true);
  send(4);
  applied_.acknowledge(1, 0);
  applied_.acknowledge(2, 1);
  applied_.recordUnobservedReconnects();
  const std::optional<UpdateRange> missed = applied_.takeMissed();
  ASSERT_TRUE(missed);
  EXPECT_FALSE(missed->contains(3));
  EXPECT_TRUE(missed->contains(4));
}

TEST_F(AppliedUpdatesTest, AcknowledgementOfAnUpdateThatWasNotSentIsIgnored) {
  applied_.connect(1, true);
  send(2);
  applied_.acknowledge(1, 3);
  applied_.acknowledge(2, 0);
  applied_.disconnect(1);
  EXPECT_EQ(applied_.appliedByDisconnected(), UpdateNumber{0});
  EXPECT_EQ(applied_.recordCount(), 1U);
}

TEST_F(AppliedUpdatesTest, RecordOfADisconnectedProxyExpires) {
  applied_.connect(1, true);
  applied_.disconnect(1);
  clock_.advanceTo(AppliedUpdates::kDisconnectedProxyRetention - 1);
  applied_.forgetExpired();
  EXPECT_EQ(applied_.appliedByDisconnected(), UpdateNumber{0});
  clock_.advanceTo(AppliedUpdates::kDisconnectedProxyRetention);
  applied_.forgetExpired();
  EXPECT_FALSE(applied_.appliedByDisconnected());
  EXPECT_EQ(applied_.recordCount(), 0U);
}

TEST_F(AppliedUpdatesTest, OnlyAProxyWithoutARecordThatIsNoNewIncarnationHasUnknownState) {
  clock_.advanceTo(7 * kSecond);
  applied_.connect(1, true);
  applied_.disconnect(1);
  applied_.connect(1, false);
  EXPECT_FALSE(applied_.unknownStateSince());
  applied_.connect(2, false);
  EXPECT_EQ(applied_.unknownStateSince(), 7 * kSecond);
  clock_.advanceTo(7 * kSecond + AppliedUpdates::kDisconnectedProxyRetention);
  applied_.forgetExpired();
  EXPECT_FALSE(applied_.unknownStateSince());
}

}  // namespace
}  // namespace peargrade::decision
