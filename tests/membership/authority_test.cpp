// Membership: records with authority, from a zone that this installation manages itself.
#include <gtest/gtest.h>

#include "membership_fixture.h"

namespace peargrade::membership {
namespace {

using RecordAuthority = MembershipTest;

TEST_F(RecordAuthority, DrainByRecordsOverridesTheRosterAtOnce) {
  start(true, {}, {true});
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2)});
  Observation observation = response({1, 2, 3}, 3600 * kSecond);
  membership->applyRecords(observation, now);
  reconcile();
  now += kSecond;
  observation.asOf = now;
  observation.records[0].state = EndpointState::Draining;
  observation.records[2].state = EndpointState::Draining;
  membership->applyRecords(observation, now);
  reconcile();
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-2"}));
  EXPECT_EQ(list["s-1"].state, EndpointState::Draining);
  EXPECT_EQ(list[socketAddress(3)].state, EndpointState::Draining);
  EXPECT_EQ(explainedRule("s-1"), Rule::RecordsDraining);
  // Neither a record that lists it as ready nor the roster, which never drained it, ends the drain.
  now += kSecond;
  membership->applyRecords(response({1, 2, 3}, 3600 * kSecond), now);
  reconcile();
  applyRoster(EndpointListKind::Delta, {rosterEntry(1)});
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-2"}));
  // A newer start from either source ends it.
  applyRoster(EndpointListKind::Delta, {rosterEntry(1, EndpointState::Ready, now)});
  now += kSecond;
  observation = response({1, 2, 3}, 3600 * kSecond);
  observation.records[2].startedAt = now;
  membership->applyRecords(observation, now);
  reconcile();
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-1", "s-2", socketAddress(3)}));
  EXPECT_EQ(list[socketAddress(3)].startedAt, now);
}

TEST_F(RecordAuthority, RemovalByRecordsOverridesOtherSources) {
  start(true, {}, {true, false});
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2), rosterEntry(3), rosterEntry(4)});
  applyComplete({1, 2, 3, 4}, 3600 * kSecond);
  Observation other = response({1, 5}, 3600 * kSecond);
  other.source = 1;
  membership->applyRecords(other, now);
  reconcile();
  now += kSecond;
  applyComplete({2, 3, 4}, 3600 * kSecond);
  EXPECT_EQ(readyServers(), (std::set<std::string>{"s-2", "s-3", "s-4", socketAddress(5)}));
  EXPECT_EQ(explainedRule("s-1"), Rule::RecordsGone);
  now += kSecond;
  applyComplete({1, 2, 3, 4}, 3600 * kSecond);
  EXPECT_EQ(readyServers().count("s-1"), 1u) << "a source may revoke its own removal";
}

TEST_F(RecordAuthority, ZoneThatEmptiesThePoolWaitsAndKeepsTheLastServer) {
  start(true, {}, {true});
  applyRoster(EndpointListKind::Full, {rosterEntry(1), rosterEntry(2), rosterEntry(3), rosterEntry(4)});
  applyComplete({1, 2, 3, 4}, 3600 * kSecond);
  now += kSecond;
  applyComplete({});
  EXPECT_EQ(readyServers().size(), 4u);
  advance(settings.confirmationTimeout);
  EXPECT_EQ(readyServers().size(), 3u) << "servers leave in steps";
  advance(3500 * kSecond);
  EXPECT_EQ(readyServers().size(), 1u);
}

TEST_F(RecordAuthority, StartStatedByAZoneIsKept) {
  start(false, {}, {true});
  applyComplete({1});
  now += kSecond;
  Observation observation = response({1, 2}, 3600 * kSecond);
  observation.records[0].startedAt = 500 * kSecond;
  observation.records[1].startedAt = now - 2 * kSecond;
  membership->applyRecords(observation, now);
  reconcile();
  EXPECT_EQ(list[socketAddress(1)].startedAt, 500 * kSecond)
      << "a stated start takes precedence over the first observation";
  EXPECT_EQ(list[socketAddress(2)].startedAt, now - 2 * kSecond);
  now += kSecond;
  membership->applyRecords(response({1, 2}, 3600 * kSecond), now);
  reconcile();
  EXPECT_EQ(list[socketAddress(2)].startedAt, now - 3 * kSecond)
      << "a record without a start does not change it";
}

TEST_F(RecordAuthority, ServerStartedAtTheMomentOfItsDrainIsDrained) {
  start(true, {}, {true});
  applyRoster(EndpointListKind::Full, {rosterEntry(1, EndpointState::Ready, now), rosterEntry(2)});
  Observation observation = response({1, 2}, 3600 * kSecond);
  observation.records[0].state = EndpointState::Draining;
  membership->applyRecords(observation, now);
  reconcile();
  EXPECT_EQ(explainedRule("s-1"), Rule::RecordsDraining);
}

}  // namespace
}  // namespace peargrade::membership
