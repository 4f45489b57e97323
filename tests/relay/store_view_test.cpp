// The view of the relay's store across several watches, without sockets.
#include "relay/store_view.h"

#include <gtest/gtest.h>

#include "relay/update_calls.h"
#include "support/loop.h"

namespace peargrade::relay {
namespace {

struct StoreViewTest : testing::Test {
  StoreView view;
  std::vector<Event> events;
  void read(const std::vector<const char*>& lines) {
    for (const char* line : lines) view.apply(parseWatchEvent(line, testNames(), 100), events);
  }
  static Call call(CallId id, const std::vector<Action>& actions) {
    Call call{id, {}};
    for (const Action& action : actions) call.commands.push_back(*encodeCommand(action, testNames()));
    return call;
  }
  static constexpr CallId kNoCall = 1;
  void beginReplay() { view.beginReplay(kNoCall); }
  /// Sends calls whose outcome stays unknown, and starts the replay of a watch that is opened after them.
  void beginReplayAfter(const std::vector<Call>& unknownCalls) {
    for (const Call& unknown : unknownCalls) {
      view.onCallSent(unknown);
      view.onCallSettled({unknown.id, CallOutcome::Unknown, 0});
    }
    view.beginReplay(unknownCalls.back().id + 1);
  }
  void replaySliceFiveOnS() {
    beginReplay();
    read({"* owner 5 1", "* entry 5 s 1.0", "*"});
    view.endReplay(events);
    takeEventCount();
  }
  std::size_t takeEventCount() {
    const std::size_t n = events.size();
    events.clear();
    return n;
  }
};

TEST_F(StoreViewTest, ReplayWithoutChangesProducesNoEvents) {
  beginReplay();
  read({"* attach 1 a 2 1", "* owner 5 1", "* entry 5 s 1.0", "* owner 6 1", "*"});
  view.endReplay(events);
  EXPECT_EQ(takeEventCount(), 6u) << "with the completion of two slices";
  view.onCommandAccepted(*encodeCommand(SetRoute{5, "t", 0.5}, testNames()));
  beginReplay();
  read({"* attach 1 a 2 0", "* owner 5 1", "* entry 5 s 1.0", "* entry 5 t 0.5", "* owner 6 1", "*"});
  view.endReplay(events);
  EXPECT_EQ(takeEventCount(), 0u) << "no proxy connects twice and no slice is assigned twice";
}

TEST_F(StoreViewTest, ProxiesAndSlicesMissingFromAReplayAreRemoved) {
  beginReplay();
  read({"* attach 1 a 2 1", "* attach 2 a 2 1", "* owner 5 1", "* entry 5 s 1.0", "* owner 6 1"});
  view.endReplay(events);
  takeEventCount();
  beginReplay();
  read({"* attach 2 a 2 0", "* attach 3 b 2 1", "* owner 6 1"});
  EXPECT_EQ(takeEventCount(), 1u) << "the new proxy is reported during the replay";
  view.endReplay(events);
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(std::get<ProxyDisconnected>(events[0]).proxy, 1);
  EXPECT_EQ(std::get<SliceAssignment>(events[1]).slice, 5);
  EXPECT_FALSE(std::get<SliceAssignment>(events[1]).assigned);
}

// The proxy's own connection to the relay may have stayed up, so updates in flight to it must stay in flight.
TEST_F(StoreViewTest, NewIncarnationInAReplayConnectsWithoutADisconnect) {
  beginReplay();
  read({"* attach 1 a 2 1"});
  view.endReplay(events);
  takeEventCount();
  beginReplay();
  read({"* attach 1 a 2 1"});
  ASSERT_EQ(takeEventCount(), 1u);
  read({"*"});
  view.endReplay(events);
  read({"* attach 1 a 2 1"});
  ASSERT_EQ(events.size(), 2u) << "a second connect implies a disconnect";
  EXPECT_EQ(std::get<ProxyDisconnected>(events[0]).proxy, 1);
  EXPECT_EQ(std::get<ProxyConnected>(events[1]).proxy, 1);
}

TEST_F(StoreViewTest, SliceChangedByAnotherSupervisorIsReassigned) {
  beginReplay();
  read({"* owner 5 1", "* entry 5 s 1.0", "*"});
  view.endReplay(events);
  takeEventCount();
  beginReplay();
  read({"* owner 5 1", "* entry 5 t 1.0", "*"});
  ASSERT_EQ(events.size(), 4u);
  EXPECT_FALSE(std::get<SliceAssignment>(events[0]).assigned);
  EXPECT_TRUE(std::get<SliceAssignment>(events[1]).assigned);
  EXPECT_EQ(std::get<StoredRoute>(events[2]).server, "t");
  EXPECT_EQ(std::get<StoredRoutesComplete>(events[3]).slice, 5);
}

// Guards against: a slice whose route lines have not arrived yet is reported as one without routes.
TEST_F(StoreViewTest, RoutesOfASliceAreCompleteOnlyOnceAHeartbeatFollows) {
  beginReplay();
  read({"* owner 5 1"});
  ASSERT_EQ(events.size(), 1u);
  EXPECT_EQ(std::get<SliceAssignment>(events[0]).routes, StoredRoutes::Pending);
  read({"* entry 5 s 1.0", "* owner 6 1"});
  EXPECT_EQ(takeEventCount(), 3u);
  EXPECT_EQ(view.slicesAwaitingRoutes(), 2u);
  read({"*"});
  ASSERT_EQ(events.size(), 2u);
  EXPECT_EQ(std::get<StoredRoutesComplete>(events[0]).slice, 5);
  EXPECT_EQ(std::get<StoredRoutesComplete>(events[1]).slice, 6);
  EXPECT_EQ(view.slicesAwaitingRoutes(), 0u);
}

// Guards against: a watch that breaks between a slice and its routes leaves a slice that counts as empty.
TEST_F(StoreViewTest, RoutesOfASliceStayUnknownAcrossABrokenWatch) {
  beginReplay();
  read({"* owner 5 1"});
  takeEventCount();
  beginReplay();
  EXPECT_EQ(view.slicesAwaitingRoutes(), 1u);
  read({"* owner 5 1", "* entry 5 s 1.0", "*"});
  ASSERT_EQ(events.size(), 4u);
  EXPECT_EQ(std::get<SliceAssignment>(events[1]).routes, StoredRoutes::Pending);
  EXPECT_EQ(std::get<StoredRoute>(events[2]).server, "s");
  EXPECT_EQ(std::get<StoredRoutesComplete>(events[3]).slice, 5);
}

TEST_F(StoreViewTest, ReplayConfirmsCallOfUnknownOutcome) {
  beginReplay();
  read({"* owner 5 1", "* entry 5 s 1.0", "*"});
  view.endReplay(events);
  takeEventCount();
  const std::vector<Action> commands{SetRoute{5, "t", 1}, SetRoute{5, "s", 0}};
  beginReplayAfter({call(3, commands)});
  read({"* owner 5 1", "* entry 5 s 1.0", "*"});
  EXPECT_FALSE(view.confirmsCall(3));
  view.endReplay(events);
  beginReplayAfter({call(4, commands)});
  read({"* owner 5 1", "* entry 5 t 1.0", "*"});
  EXPECT_FALSE(view.confirmsCall(3)) << "the replay before has shown that it was not executed";
  EXPECT_TRUE(view.confirmsCall(4));
  EXPECT_EQ(takeEventCount(), 0u) << "the routes are those that the supervisor wrote";
}

// The routes of a later call must not confirm the earlier call of unknown outcome: its update would be lost.
TEST_F(StoreViewTest, RoutesOfALaterCallDoNotConfirmAnEarlierOne) {
  replaySliceFiveOnS();
  beginReplayAfter({call(3, {SetRoute{5, "t", 1}})});
  view.onCallSent(call(4, {SetRoute{5, "t", 0}, SetRoute{5, "u", 1}}));
  read({"* owner 5 1", "* entry 5 s 1.0", "* entry 5 u 1.0", "*"});
  EXPECT_EQ(takeEventCount(), 0u);
  EXPECT_FALSE(view.confirmsCall(3));
  EXPECT_TRUE(view.confirmsCall(4));
}

// Guards against: evidence of a lost call that was executed counts as evidence of a later lost call that
// repeats a part of it and was not executed.
TEST_F(StoreViewTest, EvidenceOfALostCallDoesNotConfirmALaterLostCallThatRepeatsIt) {
  beginReplay();
  read({"* owner 5 1", "* entry 5 s 1.0", "* owner 6 1", "* entry 6 t 1.0", "*"});
  view.endReplay(events);
  takeEventCount();
  const Call first = call(3, {SetRoute{5, "s", 0}});
  const Call second = call(4, {SetRoute{5, "s", 0}, SetRoute{6, "t", 0}});
  beginReplayAfter({first, second});
  read({"* owner 5 1", "* owner 6 1", "* entry 6 t 1.0", "*"});
  EXPECT_FALSE(view.confirmsCall(4));
  EXPECT_EQ(takeEventCount(), 0u) << "both tables are accounted for by own calls";
  view.endReplay(events);
  EXPECT_EQ(view.unknownCalls(), 0u) << "the store has shown all tables";
}

// Guards against: an update that is accepted ends the uncertainty about an earlier one of which it repeats a
// part only.
TEST_F(StoreViewTest, AcceptedCallSettlesALostOneOnlyInTheRoutesThatItSets) {
  beginReplay();
  read({"* owner 5 1", "* entry 5 s 1.0", "* owner 6 1", "* entry 6 t 1.0", "*"});
  view.endReplay(events);
  takeEventCount();
  view.onCallSent(call(3, {SetRoute{5, "s", 0}, SetRoute{6, "t", 0}}));
  view.onCallSettled({3, CallOutcome::Unknown, 0});
  const Call accepted = call(4, {SetRoute{5, "s", 0}});
  view.onCallSent(accepted);
  view.onCommandAccepted(accepted.commands[0]);
  view.onCallSettled({4, CallOutcome::Executed, 1});
  EXPECT_EQ(view.unknownCalls(), 1u);
  const Call repeated = call(5, {SetRoute{6, "t", 0}});
  view.onCallSent(repeated);
  view.onCommandAccepted(repeated.commands[0]);
  view.onCallSettled({5, CallOutcome::Executed, 1});
  EXPECT_EQ(view.unknownCalls(), 0u);
}

// Guards against: a replay read before its routes have arrived confirms the removal of an owner.
TEST_F(StoreViewTest, SliceWithoutRoutesIsNoEvidenceBeforeAHeartbeatFollows) {
  replaySliceFiveOnS();
  beginReplayAfter({call(3, {SetRoute{5, "s", 0}})});
  read({"* owner 5 1", "* owner 6 1"});
  EXPECT_FALSE(view.confirmsCall(3));
  read({"* entry 5 s 1.0", "*"});
  EXPECT_FALSE(view.confirmsCall(3));
}

// Guards against: a call that may be executed after the snapshot of a replay counts as not executed.
TEST_F(StoreViewTest, CallThatTheReplayMayNotContainStaysUnknown) {
  replaySliceFiveOnS();
  view.onCallSent(call(3, {SetRoute{5, "s", 0}}));
  view.onCallSettled({3, CallOutcome::Unknown, 0});
  view.beginReplay(3);
  read({"* owner 5 1", "* entry 5 s 1.0", "*"});
  view.endReplay(events);
  EXPECT_EQ(view.unknownCalls(), 1u);
  takeEventCount();
  view.beginReplay(4);
  read({"* owner 5 1", "*"});
  EXPECT_TRUE(view.confirmsCall(3));
  EXPECT_EQ(takeEventCount(), 0u);
}

TEST_F(StoreViewTest, RoutesThatEitherOfTwoCallsProducesConfirmNeither) {
  replaySliceFiveOnS();
  beginReplayAfter({call(3, {SetRoute{5, "t", 1}})});
  view.onCallSent(call(4, {SetRoute{5, "t", 1}}));
  read({"* owner 5 1", "* entry 5 s 1.0", "* entry 5 t 1.0", "*"});
  EXPECT_FALSE(view.confirmsCall(3));
  EXPECT_FALSE(view.confirmsCall(4));
}

// A call that this supervisor sends during a replay must not make its slice look reassigned: the slice would
// lose its admission ratios.
TEST_F(StoreViewTest, OwnCallsDuringAReplayDoNotReassignTheSlice) {
  beginReplay();
  read({"* owner 5 1", "* entry 5 s 1.0", "* owner 6 1", "* entry 6 s 1.0", "*"});
  view.endReplay(events);
  takeEventCount();
  const Command five = *encodeCommand(SetRoute{5, "t", 1}, testNames());
  const Command six = *encodeCommand(SetRoute{6, "t", 1}, testNames());
  beginReplay();
  view.onCallSent({1, {five}});
  view.onCommandAccepted(five);
  view.onCallSent({2, {six}});
  read({"* owner 5 1", "* entry 5 s 1.0", "* entry 5 t 1.0", "* owner 6 1", "* entry 6 s 1.0", "*"});
  EXPECT_EQ(takeEventCount(), 0u);
  EXPECT_FALSE(view.confirmsCall(0)) << "there was no unconfirmed call";
  EXPECT_TRUE(view.confirmsCall(1));
  EXPECT_FALSE(view.confirmsCall(2)) << "the store does not show it yet";
}

TEST_F(StoreViewTest, RoutesOfUnassignedSlicesAreIgnored) {
  beginReplay();
  read({"* entry 5 s 1.0", "* owner 5 0", "* detach 9", "* done 9 1 1"});
  EXPECT_EQ(takeEventCount(), 0u);
}

// Servers, proxies and slices change in every round; the view must hold only what the store holds.
TEST_F(StoreViewTest, RecordCountStaysBoundedOverManyChanges) {
  UpdateCalls calls(1000);
  calls.onAccepted([this](const Command& command) { view.onCommandAccepted(command); });
  calls.onSettled([this](const SettledCall& settled) { view.onCallSettled(settled); });
  std::size_t baselineViewRecords = 0;
  std::size_t baselineCallRecords = 0;
  for (int round = 0; round < 400; ++round) {
    const std::string now = "s" + std::to_string(round);
    const std::string before = "s" + std::to_string(round - 1);
    if (round % 10 == 0) view.beginReplay(calls.counts().calls + 1);
    for (int p = 0; p < 5; ++p) {
      view.apply(ProxyConnected{(round % 2) * 10 + p, 0, 1, true}, events);
      view.apply(ProxyDisconnected{(1 - round % 2) * 10 + p}, events);
    }
    if (round == 0) view.apply(SliceAssignment{7, true}, events);
    Commands update;
    for (const Action& a : std::vector<Action>{
             SetRoute{7, now, 1}, SetRoute{7, before, 0}, SetEjection{before, EjectionState::Ejected},
             SetEjection{before, EjectionState::Readmitted}, AcknowledgementRequest{round}})
      update.push_back(*encodeCommand(a, testNames()));
    calls.addUpdate(update);
    calls.beginCall();
    view.onCallSent(calls.inFlight());
    if (round % 7 == 0) {
      calls.onConnectionLost();
      calls.takeDelivery();
      calls.addUpdate(update);
      calls.beginCall();
      view.onCallSent(calls.inFlight());
    }
    calls.onReply("OK " + std::to_string(calls.inFlight().commands.size()));
    calls.takeDelivery();
    if (round % 10 == 0) {
      view.apply(SliceAssignment{7, true}, events);
      view.apply(StoredRoute{7, now, 1}, events);
      view.endReplay(events);
      view.onCommandAccepted(*encodeCommand(SetRoute{7, before, 0}, testNames()));
    }
    events.clear();
    if (round == 50) {
      baselineViewRecords = view.recordCount();
      baselineCallRecords = calls.recordCount();
    }
  }
  EXPECT_LE(view.recordCount(), baselineViewRecords + 2);
  EXPECT_LE(view.recordCount(), 10u) << "five proxies, one slice and its route";
  EXPECT_LE(calls.recordCount(), baselineCallRecords);
}

}  // namespace
}  // namespace peargrade::relay
