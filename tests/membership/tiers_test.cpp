// Membership: tiers and weights of records (RFC 2782).
#include <gtest/gtest.h>

#include "membership_fixture.h"

namespace peargrade::membership {
namespace {

class TierMembership : public MembershipTest {
 protected:
  /// Sets the priority of the records from index `from` on.
  static Observation withPriority(Observation observation, std::size_t from, int priority) {
    for (std::size_t k = from; k < observation.records.size(); ++k)
      observation.records[k].priority = priority;
    return observation;
  }
};

TEST_F(TierMembership, WeightsAreRelativeToTheirTierAndSmallChangesAreNotPublished) {
  start(false);
  Observation observation = response({1, 2, 3});
  observation.records[0].weight = 30;
  observation.records[1].weight = 10;
  observation.records[2].weight = 0;
  membership->applyRecords(observation, now);
  reconcile();
  EXPECT_NEAR(list[socketAddress(1)].weight, 2.25, 1e-9);
  EXPECT_NEAR(list[socketAddress(2)].weight, 0.75, 1e-9);
  EXPECT_EQ(list[socketAddress(3)].weight, 0.02) << "a weight of 0 is a very small share, not none";
  now += kSecond;
  observation.asOf = now;
  observation.records[0].weight = 31;
  std::swap(observation.records[0], observation.records[2]);
  membership->applyRecords(observation, now);
  EXPECT_FALSE(reconcile());
  now += kSecond;
  observation.asOf = now;
  observation.records[2].weight = 60;
  membership->applyRecords(observation, now);
  EXPECT_TRUE(reconcile());
}

TEST_F(TierMembership, LowerTierJoinsWhenTheUpperOneFallsAndLeavesInSteps) {
  settings.weightSource = WeightSource::Records;
  start(true);
  std::vector<RosterEntry> entries;
  for (int k = 0; k < 10; ++k) entries.push_back(rosterEntry(k));
  applyRoster(EndpointListKind::Full, entries);
  membership->applyRecords(withPriority(response(range(10), 3600 * kSecond), 6, 20), now);
  reconcile();
  // Servers 6 to 9 were listed before records stated their tier. They leave in steps because the upper tier
  // is complete.
  advance(60 * kSecond);
  EXPECT_EQ(readyServers().size(), 6u);
  EXPECT_EQ(list["s-9"].state, EndpointState::Draining);
  applyRoster(EndpointListKind::Delta,
              {rosterEntry(0, EndpointState::Draining), rosterEntry(1, EndpointState::Draining),
               rosterEntry(2, EndpointState::Removed)});
  EXPECT_EQ(readyServers().size(), 3u)
      << "half of the upper tier is usable, which is not below tierJoinShare";
  applyRoster(EndpointListKind::Delta, {rosterEntry(3, EndpointState::Draining)});
  EXPECT_EQ(readyServers().size(), 6u) << "below tierJoinShare, the lower tier joins at once";
  applyRoster(EndpointListKind::Delta, {rosterEntry(3), rosterEntry(1), rosterEntry(0)});
  advance(60 * kSecond);
  EXPECT_EQ(readyServers().size(), 5u);
  EXPECT_EQ(list["s-9"].state, EndpointState::Draining);
}

TEST_F(TierMembership, StandbyTierIsNotListedUntilItIsNeeded) {
  start(false);
  membership->applyRecords(withPriority(response(range(4)), 2, 20), now);
  reconcile();
  EXPECT_EQ(readyServers().size(), 2u);
  EXPECT_EQ(explainedRule(socketAddress(3)), Rule::Standby);
  now += kSecond;
  membership->applyRecords(withPriority(response({2, 3}), 0, 20), now);
  reconcile();
  now += kSecond;
  membership->applyRecords(withPriority(response({2, 3}), 0, 20), now);
  reconcile();
  EXPECT_EQ(readyServers(), (std::set<std::string>{socketAddress(2), socketAddress(3)}))
      << "the upper tier is removed";
}

TEST_F(TierMembership, LowerTierDoesNotLeaveWithTheLastReadyServers) {
  settings.minimumReady = 3;
  start(false);
  applyComplete({1, 2});
  now += kSecond;
  membership->applyRecords(withPriority(response({1, 2}, 3600 * kSecond), 1, 20), now);
  advance(60 * kSecond);
  EXPECT_EQ(readyServers().size(), 2u);
}

}  // namespace
}  // namespace peargrade::membership
