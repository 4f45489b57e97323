// Membership: flap damping, limits, and publication of the full list.
#include <gtest/gtest.h>

#include "membership_fixture.h"

namespace peargrade::membership {
namespace {

using MembershipBounds = MembershipTest;

TEST_F(MembershipBounds, FlappingServerIsHeldBackWithoutDelayingADrain) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2)});
  applyComplete({1, 2, 3});
  for (int k = 0; k < 3; ++k) {
    now += kSecond;
    applyComplete({1, 2});
    EXPECT_EQ(readyServers().size(), 2u) << "a removal is never held back";
    now += kSecond;
    applyComplete({1, 2, 3});
  }
  EXPECT_EQ(readyServers().size(), 2u);
  EXPECT_EQ(explainedRule(socketAddress(3)), Rule::FlapHeld);
  applyRoster(EndpointListKind::Delta, {rosterEntry(1, EndpointState::Draining)});
  EXPECT_EQ(readyServers().size(), 1u);
  membership->applyRecords(response({1, 2, 3}, 3600 * kSecond), now);
  advance(settings.flapHoldTime);
  EXPECT_EQ(readyServers().size(), 2u);
}

TEST_F(MembershipBounds, HeldServerIsListedAtOnceWhenNoOtherIsReady) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1)});
  applyComplete({1, 3});
  for (int k = 0; k < 3; ++k) {
    now += kSecond;
    applyComplete({1});
    now += kSecond;
    applyComplete({1, 3});
  }
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1"}));
  applyRoster(EndpointListKind::Delta, {rosterEntry(1, EndpointState::Draining)});
  EXPECT_EQ(readyServers(), (std::set<std::string>{socketAddress(3)}));
}

TEST_F(MembershipBounds, ServersBeyondTheLimitAreRejected) {
  settings.serversMax = 5;
  start(false);
  applyComplete(range(100));
  EXPECT_EQ(readyServers().size(), 5u);
  EXPECT_EQ(membership->rejectedServers(), 95u);
}

TEST_F(MembershipBounds, RequestedFullListIsPublishedOnceASourceHasResponded) {
  start(false);
  membership->requestFullList();
  EXPECT_FALSE(reconcile()) << "no source has responded yet";
  applyComplete({1});
  EXPECT_FALSE(reconcile());
  membership->requestFullList();
  const auto update = membership->reconcile(now);
  ASSERT_TRUE(update.has_value());
  EXPECT_EQ(update->list.kind, EndpointListKind::Full);
  EXPECT_EQ(update->list.endpoints.size(), 1u);
}

TEST_F(MembershipBounds, AbsentServersAreForgottenAfterTheFlapWindow) {
  start(false);
  applyComplete(range(10));
  now += kSecond;
  applyComplete({0, 1, 2, 3, 4, 5, 6, 7});
  EXPECT_EQ(membership->explain(now).size(), 10u);
  advance(10 * kSecond);
  EXPECT_EQ(membership->explain(now).size(), 10u);
  membership->applyRecords(response(range(8), 3600 * kSecond), now);
  advance(settings.flapWindow + kSecond);
  EXPECT_EQ(membership->explain(now).size(), 8u);
}

}  // namespace
}  // namespace peargrade::membership
