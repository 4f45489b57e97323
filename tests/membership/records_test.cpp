// Membership: records that list servers, leave them out or expire.
#include <gtest/gtest.h>

#include "membership_fixture.h"

namespace peargrade::membership {
namespace {

using RecordMembership = MembershipTest;

// A truncated response lists half of the pool and one new server.
TEST_F(RecordMembership, PartialResponseAddsAndRefreshesAndRemovesNothing) {
  start(false);
  applyComplete(range(8));
  now += 10 * kSecond;
  applyPartial({0, 1, 2, 3, 8});
  EXPECT_EQ(readyServers().size(), 9u);
  advance(55 * kSecond);
  EXPECT_EQ(explainedRule(socketAddress(0)), Rule::Records) << "refreshed";
  EXPECT_EQ(explainedRule(socketAddress(7)), Rule::Stale);
  EXPECT_EQ(readyServers().size(), 9u);
}

TEST_F(RecordMembership, ExpiredServersLeaveInStepsAfterTheStaleRetention) {
  settings.removalStepShare = 0.2;
  start(false);
  applyComplete(range(20), 10 * kSecond);
  advance(10 * kSecond + settings.staleRetention - 1);
  EXPECT_EQ(readyServers().size(), 20u);
  advance(1);
  EXPECT_EQ(readyServers().size(), 16u);
  advance(settings.removalStepInterval);
  EXPECT_EQ(readyServers().size(), 13u) << "a fifth of the remaining ready servers";
  applyPartial({19}, 60 * kSecond);
  EXPECT_EQ(explainedRule(socketAddress(19)), Rule::Records) << "listed again: no longer queued for removal";
  advance(40 * kSecond);
  EXPECT_TRUE(readyServers().count(socketAddress(19)) == 1);
  EXPECT_LE(readyServers().size(), 6u);
}

TEST_F(RecordMembership, RecordsNeverRemoveTheLastReadyServers) {
  settings.minimumReady = 2;
  start(false);
  applyComplete({1, 2, 3}, 5 * kSecond);
  advance(3600 * kSecond);
  EXPECT_EQ(readyServers().size(), 2u);
  const std::string remaining = *readyServers().begin();
  EXPECT_EQ(explainedRule(remaining), Rule::KeepLeast);
  applyComplete({7, 8, 9});
  EXPECT_EQ(readyServers(), (std::set<std::string>{socketAddress(7), socketAddress(8), socketAddress(9)}))
      << "the kept servers leave once others are ready";
}

TEST_F(RecordMembership, EmptyCompleteResponseDoesNotEmptyThePool) {
  start(false);
  applyComplete(range(10));
  for (int k = 0; k < 5; ++k) {
    now += kSecond;
    applyComplete({});
  }
  EXPECT_EQ(readyServers().size(), 1u) << "one server stays although the removal is confirmed";
}

TEST_F(RecordMembership, ServerOfRecordsStartsWhenItIsFirstListed) {
  start(false);
  applyComplete({1});
  const Micros first = now;
  EXPECT_EQ(list[socketAddress(1)].startedAt, first);
  now += 5 * kSecond;
  applyComplete({1, 2});
  EXPECT_EQ(list[socketAddress(1)].startedAt, first);
  EXPECT_EQ(list[socketAddress(2)].startedAt, now);
}

TEST_F(RecordMembership, CachedServersKeepTheirStart) {
  start(false, {rosterEntry(1), rosterEntry(2, EndpointState::Ready, 42)});
  applyComplete({1, 2, 3});
  EXPECT_EQ(list[socketAddress(1)].startedAt, 0);
  EXPECT_EQ(list[socketAddress(2)].startedAt, 42);
  EXPECT_EQ(list[socketAddress(3)].startedAt, now) << "not in the cached list";
}

TEST_F(RecordMembership, FirstResponseMayBeDeclaredWarm) {
  settings.firstResponseIsWarm = true;
  start(false);
  applyComplete({1});
  EXPECT_EQ(list[socketAddress(1)].startedAt, 0);
  now += kSecond;
  applyComplete({1, 2});
  EXPECT_EQ(list[socketAddress(2)].startedAt, now);
}

TEST_F(RecordMembership, LargeRemovalWaitsForConfirmation) {
  start(false);
  applyComplete(range(10));
  now += kSecond;
  applyComplete(range(5));
  EXPECT_EQ(readyServers().size(), 10u);
  EXPECT_EQ(explainedRule(socketAddress(9)), Rule::Confirm);
  applyComplete(range(5));  // same time as the first response: does not confirm it
  EXPECT_EQ(readyServers().size(), 10u);
  now += kSecond;
  applyComplete(range(6));
  EXPECT_EQ(readyServers().size(), 6u) << "both responses left them out";
  EXPECT_EQ(explainedRule(socketAddress(5)), Rule::Records);
}

TEST_F(RecordMembership, UnconfirmedRemovalHappensInStepsAfterTheTimeout) {
  start(false);
  applyComplete(range(10), 3600 * kSecond);
  now += kSecond;
  applyComplete(range(5), 3600 * kSecond);
  advance(settings.confirmationTimeout - 1);
  EXPECT_EQ(readyServers().size(), 10u);
  advance(1);
  EXPECT_EQ(readyServers().size(), 9u);
  advance(settings.removalStepInterval);
  EXPECT_EQ(readyServers().size(), 8u);
}

TEST_F(RecordMembership, SmallRemovalHappensAtOnce) {
  start(false);
  applyComplete(range(10));
  now += kSecond;
  applyComplete(range(7));
  EXPECT_EQ(readyServers().size(), 7u);
}

TEST_F(RecordMembership, UnresolvedTargetsDoNotCountAsLeftOut) {
  start(false);
  applyComplete(range(10));
  now += kSecond;
  Observation observation = response(range(9));
  observation.unresolvedTargets.insert("bello-9.example.org");
  membership->applyRecords(observation, now);
  reconcile();
  EXPECT_EQ(readyServers().size(), 10u);
}

TEST_F(RecordMembership, ResponseOlderThanTheLastCompleteOneIsIgnored) {
  start(false);
  const Observation old = response({1, 2, 3});
  now += kSecond;
  applyComplete({1, 2});
  membership->applyRecords(old, now);
  reconcile();
  EXPECT_EQ(readyServers().size(), 2u);
}

TEST_F(RecordMembership, ServerListedByOneOfTwoSourcesStaysListed) {
  start(false, {}, {false, false});
  Observation observation = response({1, 2});
  membership->applyRecords(observation, now);
  observation = response({2, 3});
  observation.source = 1;
  membership->applyRecords(observation, now);
  reconcile();
  EXPECT_EQ(readyServers().size(), 3u);
  now += kSecond;
  applyComplete({1});
  EXPECT_EQ(readyServers().size(), 3u);
}

// The longer lifetime applies, whichever response arrives first.
TEST_F(RecordMembership, TwoResponsesOfTheSameTimeKeepTheLongerLifetime) {
  start(false);
  applyPartial({1}, 60 * kSecond);
  applyPartial({1}, 5 * kSecond);
  advance(10 * kSecond);
  EXPECT_EQ(explainedRule(socketAddress(1)), Rule::Records);
}

}  // namespace
}  // namespace peargrade::membership
