// The rules of docs/membership.md one by one, each with the case that it exists for.
#include "membership/membership.h"

#include <gtest/gtest.h>

namespace peargrade::membership {
namespace {

constexpr Micros kSecond = 1000000;

std::string at(int k) { return "10.1.0." + std::to_string(k) + ":3000"; }

RosterEntry server(int k, EndpointState state = EndpointState::Ready, Micros startedAt = 0) {
  RosterEntry e;
  e.entry.server = "s-" + std::to_string(k);
  e.entry.state = state;
  e.entry.startedAt = startedAt;
  e.endpoint = at(k);
  return e;
}

struct List : testing::Test {
  Settings settings;
  Micros now = 1000 * kSecond;
  std::unique_ptr<Membership> m;
  std::map<ServerId, Endpoint> heard;  // as the module would hold it
  std::vector<Decision> last;

  void start(bool roster, std::vector<RosterEntry> known = {}, std::vector<bool> authority = {false}) {
    m = std::make_unique<Membership>(settings, authority, roster, known, now);
    for (const RosterEntry& k : known) heard[k.entry.server] = k.entry;
  }
  // Settles and takes over what is told.
  bool settle() {
    last.clear();
    const auto news = m->settle(now);
    if (!news) return false;
    last = news->decisions;
    if (news->list.kind == EndpointListKind::Full) heard.clear();
    for (const Endpoint& e : news->list.endpoints) {
      if (e.state == EndpointState::Removed)
        heard.erase(e.server);
      else
        heard[e.server] = e;
    }
    return true;
  }
  void pass(Micros span) {
    const Micros end = now + span;
    for (auto due = m->due(); due && *due <= end; due = m->due()) {
      now = std::max(now, *due);
      settle();
    }
    now = end;
    settle();
  }
  Observation answer(std::vector<int> servers, Micros life = 60 * kSecond,
                     Observation::Kind kind = Observation::Kind::Complete) {
    Observation o;
    o.kind = kind;
    o.asOf = now;
    for (int k : servers) {
      Sighting s;
      s.endpoint = at(k);
      s.name = "bello-" + std::to_string(k) + ".example.org";
      s.weight = 10;
      s.until = now + life;
      o.seen.push_back(s);
    }
    return o;
  }
  void complete(std::vector<int> servers, Micros life = 60 * kSecond) {
    m->observe(answer(std::move(servers), life), now);
    settle();
  }
  void partial(std::vector<int> servers, Micros life = 60 * kSecond) {
    m->observe(answer(std::move(servers), life, Observation::Kind::Partial), now);
    settle();
  }
  void roster(EndpointListKind mode, std::vector<RosterEntry> entries) {
    m->roster(mode, entries, now);
    settle();
  }
  std::set<std::string> ready() const {
    std::set<std::string> all;
    for (const auto& [id, e] : heard) {
      if (e.state == EndpointState::Ready) all.insert(id);
    }
    return all;
  }
  Rule ruleOf(const ServerId& id) const {
    for (const auto& e : m->explain(now)) {
      if (e.server == id) return e.rule;
    }
    ADD_FAILURE() << id << " is not explained";
    return Rule::Roster;
  }
  std::vector<int> upTo(int n, int from = 0) {
    std::vector<int> all;
    for (int k = from; k < n; ++k) all.push_back(k);
    return all;
  }
};

TEST_F(List, TheRosterAloneIsPassedOnAsItComes) {
  start(true, {server(1)}, {});
  EXPECT_FALSE(settle()) << "nothing was heard yet";
  roster(EndpointListKind::Delta, {});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1"})) << "an empty change is news that the list is fresh";
  roster(EndpointListKind::Delta, {server(2, EndpointState::Ready, 77)});
  EXPECT_EQ(heard["s-2"].startedAt, 77);
  roster(EndpointListKind::Delta, {server(1, EndpointState::Draining)});
  EXPECT_EQ(heard["s-1"].state, EndpointState::Draining);
  roster(EndpointListKind::Full, {server(3)});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-3"}));
}

// The hard case: a truncated answer that lists half the pool.
TEST_F(List, APartialAnswerAddsAndRefreshesAndTakesNothing) {
  start(false);
  complete(upTo(8));
  now += 10 * kSecond;
  partial({0, 1, 2, 3, 8});
  EXPECT_EQ(ready().size(), 9u);
  pass(55 * kSecond);
  EXPECT_EQ(ruleOf(at(0)), Rule::Records) << "refreshed";
  EXPECT_EQ(ruleOf(at(7)), Rule::Stale);
  EXPECT_EQ(ready().size(), 9u);
}

// The hard case: an expired record of a server that the roster still reports as running.
TEST_F(List, AnExpiredRecordOfAServerThatTheRosterRunsKeepsIt) {
  start(true);
  roster(EndpointListKind::Full, {server(1), server(2)});
  complete({1, 2, 3}, 5 * kSecond);
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", "s-2", at(3)}));
  pass(3600 * kSecond);
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", "s-2"})) << "the one that records alone knew has gone";
  EXPECT_EQ(ruleOf("s-1"), Rule::RosterExpired);
}

TEST_F(List, ACompleteAnswerThatLeavesOutWhatTheRosterRunsTakesNothing) {
  start(true);
  roster(EndpointListKind::Full, {server(1), server(2)});
  complete({1, 2});
  now += kSecond;
  complete({2});
  now += kSecond;
  complete({2});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", "s-2"}));
}

TEST_F(List, ExpiredServersGoAfterTheStaleBoundInStepsNeverAllAtOnce) {
  settings.stepShare = 0.2;
  start(false);
  complete(upTo(20), 10 * kSecond);
  pass(10 * kSecond + settings.staleFor - 1);
  EXPECT_EQ(ready().size(), 20u);
  pass(1);
  EXPECT_EQ(ready().size(), 16u);
  pass(settings.stepEvery);
  EXPECT_EQ(ready().size(), 13u) << "a fifth of those left";
  partial({19}, 60 * kSecond);
  EXPECT_EQ(ruleOf(at(19)), Rule::Records) << "heard of again: out of the queue";
  pass(40 * kSecond);
  EXPECT_TRUE(ready().count(at(19)) == 1);
  EXPECT_LE(ready().size(), 6u);
}

TEST_F(List, RecordsNeverTakeTheLastOnes) {
  settings.keepLeast = 2;
  start(false);
  complete({1, 2, 3}, 5 * kSecond);
  pass(3600 * kSecond);
  EXPECT_EQ(ready().size(), 2u);
  const std::string kept = *ready().begin();
  EXPECT_EQ(ruleOf(kept), Rule::KeepLeast);
  complete({7, 8, 9});
  EXPECT_EQ(ready(), (std::set<std::string>{at(7), at(8), at(9)})) << "others are there: they go";
}

TEST_F(List, AnEmptyCompleteAnswerDoesNotEmptyThePool) {
  start(false);
  complete(upTo(10));
  for (int k = 0; k < 5; ++k) {
    now += kSecond;
    complete({});
  }
  EXPECT_EQ(ready().size(), 1u) << "confirmed, and still one is left";
}

TEST_F(List, DrainingAndGoneByTheRosterWinAtOnce) {
  start(true);
  roster(EndpointListKind::Full, {server(1), server(2), server(3)});
  complete({1, 2, 3});
  roster(EndpointListKind::Delta, {server(1, EndpointState::Draining), server(2, EndpointState::Removed)});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-3"}));
  EXPECT_EQ(heard["s-1"].state, EndpointState::Draining);
  now += kSecond;
  complete({1, 2, 3});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-3"}))
      << "records that go on listing them do not take them back";
  EXPECT_EQ(ruleOf(at(2)), Rule::RosterGone);
}

TEST_F(List, WhatTheRosterTookOutComesBackOnceItIsSeenToStartAgain) {
  start(true);
  roster(EndpointListKind::Full, {server(1), server(2)});
  complete({1, 2});
  roster(EndpointListKind::Delta, {server(2, EndpointState::Removed)});
  now += kSecond;
  complete({1, 2});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1"}));
  now += kSecond;
  complete({1});  // the records have followed
  now += kSecond;
  complete({1, 2});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", at(2)}));
  EXPECT_EQ(ruleOf(at(2)), Rule::TakenBack);
  EXPECT_EQ(heard[at(2)].startedAt, now) << "cold from then";
  roster(EndpointListKind::Delta, {server(2, EndpointState::Ready, now + 5)});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", "s-2"})) << "one server under one name";
}

// A source of records that comes up late lists what the roster took out before: no start was seen.
TEST_F(List, AFirstAnswerAfterTheRosterTookAServerOutDoesNotBringItBack) {
  start(true);
  roster(EndpointListKind::Full, {server(1), server(2)});
  roster(EndpointListKind::Delta, {server(2, EndpointState::Draining)});
  now += kSecond;
  complete({1, 2});
  roster(EndpointListKind::Delta, {server(2, EndpointState::Removed)});
  now += kSecond;
  complete({1, 2});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1"}));
}

TEST_F(List, AServerThatRecordsAloneKnowIsColdFromWhenItWasFirstSeen) {
  start(false);
  complete({1});
  const Micros first = now;
  EXPECT_EQ(heard[at(1)].startedAt, first);
  now += 5 * kSecond;
  complete({1, 2});
  EXPECT_EQ(heard[at(1)].startedAt, first);
  EXPECT_EQ(heard[at(2)].startedAt, now);
}

TEST_F(List, AListServedAfterARestartDoesNotMakeTheKnownOnesCold) {
  start(false, {server(1), server(2, EndpointState::Ready, 42)});
  complete({1, 2, 3});
  EXPECT_EQ(heard[at(1)].startedAt, 0);
  EXPECT_EQ(heard[at(2)].startedAt, 42);
  EXPECT_EQ(heard[at(3)].startedAt, now) << "this one is new";
}

TEST_F(List, TheFirstAnswerMayBeDeclaredWarm) {
  settings.firstAnswerWarm = true;
  start(false);
  complete({1});
  EXPECT_EQ(heard[at(1)].startedAt, 0);
  now += kSecond;
  complete({1, 2});
  EXPECT_EQ(heard[at(2)].startedAt, now);
}

TEST_F(List, AnAnswerThatTakesMuchWaitsForASecondOne) {
  start(false);
  complete(upTo(10));
  now += kSecond;
  complete(upTo(5));
  EXPECT_EQ(ready().size(), 10u);
  EXPECT_EQ(ruleOf(at(9)), Rule::Confirm);
  complete(upTo(5));  // from the same moment: the same answer, not a second one
  EXPECT_EQ(ready().size(), 10u);
  now += kSecond;
  complete(upTo(6));
  EXPECT_EQ(ready().size(), 6u) << "what both left out has gone";
  EXPECT_EQ(ruleOf(at(5)), Rule::Records);
}

TEST_F(List, WithoutASecondAnswerItGoesInStepsAfterTheStatedTime) {
  start(false);
  complete(upTo(10), 3600 * kSecond);
  now += kSecond;
  complete(upTo(5), 3600 * kSecond);
  pass(settings.confirmWithin - 1);
  EXPECT_EQ(ready().size(), 10u);
  pass(1);
  EXPECT_EQ(ready().size(), 9u);
  pass(settings.stepEvery);
  EXPECT_EQ(ready().size(), 8u);
}

TEST_F(List, AnAnswerThatTakesLittleTakesItAtOnce) {
  start(false);
  complete(upTo(10));
  now += kSecond;
  complete(upTo(7));
  EXPECT_EQ(ready().size(), 7u);
}

TEST_F(List, TargetsWhoseAddressesAreNotKnownAreNotLeftOut) {
  start(false);
  complete(upTo(10));
  now += kSecond;
  Observation o = answer(upTo(9));
  o.unsure.insert("bello-9.example.org");
  m->observe(o, now);
  settle();
  EXPECT_EQ(ready().size(), 10u);
}

TEST_F(List, OneAddressUnderTwoNamesIsOneServer) {
  start(true);
  Observation o = answer({1});
  o.seen.push_back(o.seen[0]);
  o.seen[1].name = "other.example.org";
  m->observe(o, now);
  roster(EndpointListKind::Full, {server(1)});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1"}));
}

TEST_F(List, AServerThatTheRosterNamesLaterChangesItsNameInOneNews) {
  start(true);
  roster(EndpointListKind::Full, {});
  complete({1});
  EXPECT_EQ(ready(), (std::set<std::string>{at(1)}));
  roster(EndpointListKind::Delta, {server(1)});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1"}));
  EXPECT_EQ(last.size(), 2u);
}

TEST_F(List, AServerOfTheRosterThatMovesKeepsItsName) {
  start(true);
  roster(EndpointListKind::Full, {server(1)});
  complete({1, 2});
  RosterEntry moved = server(1);
  moved.endpoint = at(2);
  roster(EndpointListKind::Delta, {moved});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", at(1)})) << "the old address is records' alone now";
}

TEST_F(List, AtTheStartTheRosterIsWaitedForAWhile) {
  start(true, {server(1)});
  complete({1, 2});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1"}));
  EXPECT_EQ(ruleOf(at(2)), Rule::RosterAwaited);
  pass(settings.rosterFirst);
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", at(2)}));
}

TEST_F(List, WeightsAreSharesOfTheirTierAndSmallChangesAreNoNews) {
  start(false);
  Observation o = answer({1, 2, 3});
  o.seen[0].weight = 30;
  o.seen[1].weight = 10;
  o.seen[2].weight = 0;
  m->observe(o, now);
  settle();
  EXPECT_NEAR(heard[at(1)].weight, 2.25, 1e-9);
  EXPECT_NEAR(heard[at(2)].weight, 0.75, 1e-9);
  EXPECT_EQ(heard[at(3)].weight, 0.02) << "a very small share, not none";
  now += kSecond;
  o.asOf = now;
  o.seen[0].weight = 31;
  std::swap(o.seen[0], o.seen[2]);
  m->observe(o, now);
  EXPECT_FALSE(settle());
  now += kSecond;
  o.asOf = now;
  o.seen[2].weight = 60;
  m->observe(o, now);
  EXPECT_TRUE(settle());
}

Observation tiered(Observation o, int from, int tier) {
  for (std::size_t k = static_cast<std::size_t>(from); k < o.seen.size(); ++k) o.seen[k].tier = tier;
  return o;
}

TEST_F(List, ALowerTierJoinsOnlyWhenTheUpperFallsAndLeavesInSteps) {
  settings.rosterWeights = false;
  start(true);
  std::vector<RosterEntry> all;
  for (int k = 0; k < 10; ++k) all.push_back(server(k));
  roster(EndpointListKind::Full, all);
  m->observe(tiered(answer(upTo(10), 3600 * kSecond), 6, 20), now);
  settle();
  // Listed before records spoke of tiers: they leave in steps, as the upper tier is whole.
  pass(60 * kSecond);
  EXPECT_EQ(ready().size(), 6u);
  EXPECT_EQ(heard["s-9"].state, EndpointState::Draining);
  roster(EndpointListKind::Delta, {server(0, EndpointState::Draining), server(1, EndpointState::Draining),
                                   server(2, EndpointState::Removed)});
  EXPECT_EQ(ready().size(), 3u) << "half of the upper tier is left: not below the share";
  roster(EndpointListKind::Delta, {server(3, EndpointState::Draining)});
  EXPECT_EQ(ready().size(), 6u) << "below it: the lower tier joins at once";
  roster(EndpointListKind::Delta, {server(3), server(1), server(0)});
  pass(60 * kSecond);
  EXPECT_EQ(ready().size(), 5u);
  EXPECT_EQ(heard["s-9"].state, EndpointState::Draining);
}

TEST_F(List, AStandbyThatWasNeverNeededIsNotListed) {
  start(false);
  m->observe(tiered(answer(upTo(4)), 2, 20), now);
  settle();
  EXPECT_EQ(ready().size(), 2u);
  EXPECT_EQ(ruleOf(at(3)), Rule::Standby);
  now += kSecond;
  m->observe(tiered(answer({2, 3}), 0, 20), now);
  settle();
  now += kSecond;
  m->observe(tiered(answer({2, 3}), 0, 20), now);
  settle();
  EXPECT_EQ(ready(), (std::set<std::string>{at(2), at(3)})) << "the upper tier has gone";
}

TEST_F(List, AServerThatComesAndGoesIsHeldOutWithoutDelayingADrain) {
  start(true);
  roster(EndpointListKind::Full, {server(1), server(2)});
  complete({1, 2, 3});
  for (int k = 0; k < 3; ++k) {
    now += kSecond;
    complete({1, 2});
    EXPECT_EQ(ready().size(), 2u) << "going is never held";
    now += kSecond;
    complete({1, 2, 3});
  }
  EXPECT_EQ(ready().size(), 2u);
  EXPECT_EQ(ruleOf(at(3)), Rule::FlapHeld);
  roster(EndpointListKind::Delta, {server(1, EndpointState::Draining)});
  EXPECT_EQ(ready().size(), 1u);
  m->observe(answer({1, 2, 3}, 3600 * kSecond), now);
  pass(settings.flapHold);
  EXPECT_EQ(ready().size(), 2u);
}

TEST_F(List, AHeldServerIsTakenAtOnceWhenNobodyElseIsLeft) {
  start(true);
  roster(EndpointListKind::Full, {server(1)});
  complete({1, 3});
  for (int k = 0; k < 3; ++k) {
    now += kSecond;
    complete({1});
    now += kSecond;
    complete({1, 3});
  }
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1"}));
  roster(EndpointListKind::Delta, {server(1, EndpointState::Draining)});
  EXPECT_EQ(ready(), (std::set<std::string>{at(3)}));
}

// Gone by the roster, back by records: from then on it is theirs, and one of the last like any other.
TEST_F(List, AServerTakenBackIsKeptAsOneOfTheLast) {
  start(true);
  roster(EndpointListKind::Full, {server(1)});
  complete({1});
  roster(EndpointListKind::Delta, {server(1, EndpointState::Removed)});
  now += kSecond;
  complete({});
  now += kSecond;
  complete({1});
  EXPECT_EQ(ready(), (std::set<std::string>{at(1)}));
  now += kSecond;
  complete({});
  EXPECT_EQ(ready(), (std::set<std::string>{at(1)}));
  EXPECT_EQ(ruleOf(at(1)), Rule::KeepLeast);
}

// Two sources list it; only one has seen it go and come. Which of them has the longer lifetime does not
// matter.
TEST_F(List, OneSourceThatSawTheNewStartIsEnough) {
  start(true, {}, {false, false});
  roster(EndpointListKind::Full, {server(1), server(2)});
  roster(EndpointListKind::Delta, {server(2, EndpointState::Removed)});
  now += kSecond;
  complete({1});
  now += kSecond;
  Observation other = answer({1, 2}, 3600 * kSecond);
  other.source = 1;
  m->observe(other, now);
  complete({1, 2}, 10 * kSecond);
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", at(2)}));
}

TEST_F(List, ALowerTierDoesNotLeaveWithTheLastOnes) {
  settings.keepLeast = 3;
  start(false);
  complete({1, 2});
  now += kSecond;
  m->observe(tiered(answer({1, 2}, 3600 * kSecond), 1, 20), now);
  pass(60 * kSecond);
  EXPECT_EQ(ready().size(), 2u);
}

TEST_F(List, ALateAnswerIsLeftOut) {
  start(false);
  const Observation old = answer({1, 2, 3});
  now += kSecond;
  complete({1, 2});
  m->observe(old, now);
  settle();
  EXPECT_EQ(ready().size(), 2u);
}

TEST_F(List, OfTwoSourcesEachKeepsWhatTheOtherLeavesOut) {
  start(false, {}, {false, false});
  Observation o = answer({1, 2});
  m->observe(o, now);
  o = answer({2, 3});
  o.source = 1;
  m->observe(o, now);
  settle();
  EXPECT_EQ(ready().size(), 3u);
  now += kSecond;
  complete({1});
  EXPECT_EQ(ready().size(), 3u);
}

TEST_F(List, WhatIsHeldIsBounded) {
  settings.serversMost = 5;
  start(false);
  complete(upTo(100));
  EXPECT_EQ(ready().size(), 5u);
  EXPECT_EQ(m->overfull(), 95u);
}

TEST_F(List, TheWholeListComesWhenItIsAskedFor) {
  start(false);
  m->wanted();
  EXPECT_FALSE(settle()) << "nothing is known yet";
  complete({1});
  EXPECT_FALSE(settle());
  m->wanted();
  const auto news = m->settle(now);
  ASSERT_TRUE(news.has_value());
  EXPECT_EQ(news->list.kind, EndpointListKind::Full);
  EXPECT_EQ(news->list.endpoints.size(), 1u);
}

TEST_F(List, AbsentServersAreForgotten) {
  start(false);
  complete(upTo(10));
  now += kSecond;
  complete({0, 1, 2, 3, 4, 5, 6, 7});
  EXPECT_EQ(m->explain(now).size(), 10u);
  pass(10 * kSecond);
  EXPECT_EQ(m->explain(now).size(), 10u);
  m->observe(answer(upTo(8), 3600 * kSecond), now);
  pass(settings.flapSpan + kSecond);
  EXPECT_EQ(m->explain(now).size(), 8u);
}

// ---- Records with authority: a zone that this installation keeps ----

TEST_F(List, ADrainByRecordsWithAuthorityWinsOverTheRosterAtOnce) {
  start(true, {}, {true});
  roster(EndpointListKind::Full, {server(1), server(2)});
  Observation o = answer({1, 2, 3}, 3600 * kSecond);
  m->observe(o, now);
  settle();
  now += kSecond;
  o.asOf = now;
  o.seen[0].state = EndpointState::Draining;
  o.seen[2].state = EndpointState::Draining;
  m->observe(o, now);
  settle();
  EXPECT_EQ(ready(), (std::set<std::string>{"s-2"}));
  EXPECT_EQ(heard["s-1"].state, EndpointState::Draining);
  EXPECT_EQ(heard[at(3)].state, EndpointState::Draining);
  EXPECT_EQ(ruleOf("s-1"), Rule::RecordsDraining);
  // A zone that lists it as running again does not undrain it, nor does the roster that never knew.
  now += kSecond;
  m->observe(answer({1, 2, 3}, 3600 * kSecond), now);
  settle();
  roster(EndpointListKind::Delta, {server(1)});
  EXPECT_EQ(ready(), (std::set<std::string>{"s-2"}));
  // A newer start does, by either source.
  roster(EndpointListKind::Delta, {server(1, EndpointState::Ready, now)});
  now += kSecond;
  o = answer({1, 2, 3}, 3600 * kSecond);
  o.seen[2].startedAt = now;
  m->observe(o, now);
  settle();
  EXPECT_EQ(ready(), (std::set<std::string>{"s-1", "s-2", at(3)}));
  EXPECT_EQ(heard[at(3)].startedAt, now);
}

TEST_F(List, WhatRecordsWithAuthorityTakeOutIsGoneThoughOthersListIt) {
  start(true, {}, {true, false});
  roster(EndpointListKind::Full, {server(1), server(2), server(3), server(4)});
  complete({1, 2, 3, 4}, 3600 * kSecond);
  Observation other = answer({1, 5}, 3600 * kSecond);
  other.source = 1;
  m->observe(other, now);
  settle();
  now += kSecond;
  complete({2, 3, 4}, 3600 * kSecond);
  EXPECT_EQ(ready(), (std::set<std::string>{"s-2", "s-3", "s-4", at(5)}));
  EXPECT_EQ(ruleOf("s-1"), Rule::RecordsGone);
  now += kSecond;
  complete({1, 2, 3, 4}, 3600 * kSecond);
  EXPECT_EQ(ready().count("s-1"), 1u) << "what it took out itself it may put back";
}

TEST_F(List, AZoneThatEmptiesAPoolWaitsAndNeverTakesTheLastOne) {
  start(true, {}, {true});
  roster(EndpointListKind::Full, {server(1), server(2), server(3), server(4)});
  complete({1, 2, 3, 4}, 3600 * kSecond);
  now += kSecond;
  complete({});
  EXPECT_EQ(ready().size(), 4u);
  pass(settings.confirmWithin);
  EXPECT_EQ(ready().size(), 3u) << "in steps";
  pass(3500 * kSecond);
  EXPECT_EQ(ready().size(), 1u);
}

TEST_F(List, AColdServerNamedByAZoneKeepsItsStart) {
  start(false, {}, {true});
  complete({1});
  now += kSecond;
  Observation o = answer({1, 2}, 3600 * kSecond);
  o.seen[0].startedAt = 500 * kSecond;
  o.seen[1].startedAt = now - 2 * kSecond;
  m->observe(o, now);
  settle();
  EXPECT_EQ(heard[at(1)].startedAt, 500 * kSecond) << "the zone knows better than the first sighting";
  EXPECT_EQ(heard[at(2)].startedAt, now - 2 * kSecond);
  now += kSecond;
  m->observe(o = answer({1, 2}, 3600 * kSecond), now);
  settle();
  EXPECT_EQ(heard[at(2)].startedAt, now - 3 * kSecond) << "an update that says nothing of it leaves it";
}

}  // namespace
}  // namespace peargrade::membership
