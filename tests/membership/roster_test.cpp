// Membership: additions, drains and removals by the roster, and their precedence over records.
#include <gtest/gtest.h>

#include "membership_fixture.h"

namespace peargrade::membership {
namespace {

using RosterMembership = MembershipTest;

TEST_F(RosterMembership, RosterAloneIsPublishedAsReceived) {
  start(true, {rosterEntry(1)}, {});
  EXPECT_FALSE(reconcile()) << "no source has reported yet";
  applyRoster(EndpointListKind::Delta, {});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1"}))
      << "an empty delta confirms that the list is current";
  applyRoster(EndpointListKind::Delta, {rosterEntry(2, EndpointState::Ready, 77)});
  EXPECT_EQ(list["s-2"].startedAt, 77);
  applyRoster(EndpointListKind::Delta, {rosterEntry(1, EndpointState::Draining)});
  EXPECT_EQ(list["s-1"].state, EndpointState::Draining);
  applyRoster(EndpointListKind::Full, {rosterEntry(3)});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-3"}));
}

TEST_F(RosterMembership, ExpiredRecordOfARunningRosterServerKeepsItListed) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2)});
  applyComplete({1, 2, 3}, 5 * kSecond);
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", "s-2", socketAddress(3)}));
  advance(3600 * kSecond);
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", "s-2"}))
      << "the server that only records list has left";
  EXPECT_EQ(explainedRule("s-1"), Rule::RosterExpired);
}

TEST_F(RosterMembership, CompleteResponseWithoutARosterServerKeepsItListed) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2)});
  applyComplete({1, 2});
  now += kSecond;
  applyComplete({2});
  now += kSecond;
  applyComplete({2});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", "s-2"}));
}

TEST_F(RosterMembership, DrainAndRemovalByTheRosterTakeEffectAtOnce) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2), rosterEntry(3)});
  applyComplete({1, 2, 3});
  applyRoster(EndpointListKind::Delta,
              {rosterEntry(1, EndpointState::Draining), rosterEntry(2, EndpointState::Removed)});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-3"}));
  EXPECT_EQ(list["s-1"].state, EndpointState::Draining);
  now += kSecond;
  applyComplete({1, 2, 3});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-3"}))
      << "records that still list them do not revoke it";
  EXPECT_EQ(explainedRule(socketAddress(2)), Rule::RosterGone);
}

TEST_F(RosterMembership, ServerRemovedByTheRosterReturnsAfterASeenRestart) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2)});
  applyComplete({1, 2});
  applyRoster(EndpointListKind::Delta, {rosterEntry(2, EndpointState::Removed)});
  now += kSecond;
  applyComplete({1, 2});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1"}));
  now += kSecond;
  applyComplete({1});  // the records no longer list server 2
  now += kSecond;
  applyComplete({1, 2});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", socketAddress(2)}));
  EXPECT_EQ(explainedRule(socketAddress(2)), Rule::TakenBack);
  EXPECT_EQ(list[socketAddress(2)].startedAt, now) << "the restart is a new start";
  applyRoster(EndpointListKind::Delta, {rosterEntry(2, EndpointState::Ready, now + 5)});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", "s-2"}))
      << "a server is published under one ID only";
}

// The source first lists the server while the roster drains it. Its response after the removal does not
// indicate a restart, because the source never left the server out.
TEST_F(RosterMembership, FirstResponseAfterARemovalByTheRosterDoesNotRevokeIt) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2)});
  applyRoster(EndpointListKind::Delta, {rosterEntry(2, EndpointState::Draining)});
  now += kSecond;
  applyComplete({1, 2});
  applyRoster(EndpointListKind::Delta, {rosterEntry(2, EndpointState::Removed)});
  now += kSecond;
  applyComplete({1, 2});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1"}));
}

TEST_F(RosterMembership, OneAddressUnderTwoTargetsIsOneServer) {
  start(true);
  Observation observation = response({1});
  observation.records.push_back(observation.records[0]);
  observation.records[1].target = "other.example.org";
  membership->applyRecords(observation, now);
  applyRoster(EndpointListKind::Full, {rosterEntry(1)});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1"}));
}

TEST_F(RosterMembership, ServerLaterListedByTheRosterChangesItsIdInOneUpdate) {
  start(true);
  applyRoster(EndpointListKind::Full, {});
  applyComplete({1});
  EXPECT_EQ(readyServers(), (std::set<std::string>{socketAddress(1)}));
  applyRoster(EndpointListKind::Delta, {rosterEntry(1)});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1"}));
  EXPECT_EQ(lastDecisions.size(), 2u);
}

TEST_F(RosterMembership, RosterServerThatChangesItsAddressKeepsItsId) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1)});
  applyComplete({1, 2});
  RosterEntry moved = rosterEntry(1);
  moved.address = socketAddress(2);
  applyRoster(EndpointListKind::Delta, {moved});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", socketAddress(1)}))
      << "only records list the old address now";
}

TEST_F(RosterMembership, ServersOfRecordsWaitForTheRosterAtTheStart) {
  start(true, {rosterEntry(1)});
  applyComplete({1, 2});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1"}));
  EXPECT_EQ(explainedRule(socketAddress(2)), Rule::RosterAwaited);
  advance(settings.rosterStartupTimeout);
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", socketAddress(2)}));
}

// After its return the server is listed by records and may be kept as one of the last ready servers.
TEST_F(RosterMembership, ServerThatReturnedAfterARemovalIsKeptAsTheLastReadyOne) {
  start(true);
  applyRoster(EndpointListKind::Full, {rosterEntry(1)});
  applyComplete({1});
  applyRoster(EndpointListKind::Delta, {rosterEntry(1, EndpointState::Removed)});
  now += kSecond;
  applyComplete({});
  now += kSecond;
  applyComplete({1});
  EXPECT_EQ(readyServers(), (std::set<std::string>{socketAddress(1)}));
  now += kSecond;
  applyComplete({});
  EXPECT_EQ(readyServers(), (std::set<std::string>{socketAddress(1)}));
  EXPECT_EQ(explainedRule(socketAddress(1)), Rule::KeepLeast);
}

// Two sources list the server, but only one has left it out since the removal. The restart is observed
// although the record of the other source expires later.
TEST_F(RosterMembership, RestartSeenByOneOfTwoSourcesIsEnough) {
  start(true, {}, {false, false});
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2)});
  applyRoster(EndpointListKind::Delta, {rosterEntry(2, EndpointState::Removed)});
  now += kSecond;
  applyComplete({1});
  now += kSecond;
  Observation other = response({1, 2}, 3600 * kSecond);
  other.source = 1;
  membership->applyRecords(other, now);
  applyComplete({1, 2}, 10 * kSecond);
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", socketAddress(2)}));
}

}  // namespace
}  // namespace peargrade::membership
