// The relay client over sockets, with a relay that fails in different ways.
#include "relay/relay_client.h"

#include <gtest/gtest.h>

#include "fakes/relay.h"
#include "relay/relay_client_fixture.h"

namespace peargrade::relay {
namespace {

TEST_F(RelayClientTest, WatchEventsReachTheDispatcherAndUpdatesReachTheRelay) {
  fakeRelay.proxies[17] = {"a", 21.5, true};
  fakeRelay.slices[5] = {{"s", "1.0"}};
  start();
  ASSERT_TRUE(until([&] { return otherEvents() == 3; }));
  EXPECT_EQ(seen.all<ProxyConnected>().at(0).proxy, 17);
  EXPECT_EQ(seen.all<StoredRoute>().at(0).server, "s");
  update({SetRoute{5, "t", 1}, AcknowledgementRequest{3}, Log{"no command"}});
  ASSERT_TRUE(until([&] { return fakeRelay.orders.size() == 2; }));
  EXPECT_EQ(fakeRelay.calls.at(0), "put,5,t,1;fence,3,0");
  fakeRelay.done(17, 3, 12.5);
  ASSERT_TRUE(until([&] { return otherEvents() == 4; }));
  EXPECT_EQ(seen.all<UpdateAcknowledged>().at(0).delay, 12500);
}

// A slice whose routes have not arrived yet looks to the engine like a slice without a routing table.
TEST_F(RelayClientTest, SliceAndItsRoutesArePostedTogether) {
  Limits limits;
  limits.batchDelay = 2000000;
  limits.batchDelayMax = 4000000;
  start(limits);
  ASSERT_TRUE(untilWatchCount());
  const std::string lines = "* owner 5 1\r\n* entry 5 s 1.0\r\n* entry 5 t 0.001\r\n";
  for (const char byte : lines) {
    fakeRelay.raw(std::string(1, byte));
    for (int k = 0; k < 4; ++k) event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
    EXPECT_FALSE(dispatcher.hasEvents()) << "posted before the batch delay has passed";
  }
  ASSERT_TRUE(until([&] { return otherEvents() == 3; }));
  EXPECT_EQ(eventIterations, 1u);
}

TEST_F(RelayClientTest, CommandsKeepTheirOrderThroughEveryFault) {
  Limits limits;
  limits.replyTimeout = 60000;
  limits.throttledDelay = 1000;
  fakeRelay.faults = {Fault::Throttled,  Fault::BreakBefore, Fault::None,
                      Fault::BreakAfter, Fault::Garbage,     Fault::Silent,
                      Fault::None,       Fault::BreakAfter,  Fault::BreakBefore};
  for (int t = 0; t < 100; ++t) fakeRelay.slices[t];
  start(limits);
  ASSERT_TRUE(untilWatchCount());
  std::map<std::string, std::string> last;
  int k = 0;
  while (k < 200 || !fakeRelay.faults.empty()) {
    const std::string host = "s" + std::to_string(++k % 3);
    update({SetRoute{7, host, static_cast<double>(k)}, AcknowledgementRequest{k}});
    last[host] = std::to_string(k);
    ASSERT_TRUE(until([&] { return unacceptedActions.empty(); })) << k;
  }
  EXPECT_EQ(fakeRelay.slices[7], last) << "no command is lost, and none overwrites a newer one";
  EXPECT_EQ(incompleteDeliveries, 7u);
  int lastUpdateId = 0;
  for (const std::string& order : fakeRelay.orders) {
    if (order.compare(0, 6, "fence,") != 0) continue;
    EXPECT_GE(std::atoi(order.c_str() + 6), lastUpdateId);
    lastUpdateId = std::atoi(order.c_str() + 6);
  }
}

// The outcome of the call is unknown. It is reported once the relay is reachable again.
TEST_F(RelayClientTest, UnansweredCallIsReportedOnceANewConnectionIsUp) {
  ASSERT_NO_FATAL_FAILURE(startWithUnansweredCall());
  ASSERT_TRUE(until([&] { return fakeRelay.orders.size() == 2; }));
  EXPECT_EQ(fakeRelay.calls, (std::vector<std::string>{"put,7,s,1;fence,1,0", "put,7,s,1;fence,1,0"}));
  EXPECT_TRUE(log.has("calls ended code=no-answer"));
  EXPECT_EQ(incompleteDeliveries, 1u);
  EXPECT_EQ(seen.all<UpdateDelivery>().at(0).messages, 1) << "the call may have been executed";
}

// The supervisor stalls beyond its timeouts. The reply and the heartbeat arrived in time and are read late,
// so neither connection may be closed.
TEST_F(RelayClientTest, StalledSupervisorDoesNotTimeOutAResponsiveRelay) {
  const Listener listener(8);
  Limits limits;
  limits.replyTimeout = 1000000;
  limits.watchIdleTimeout = 1000000;
  relay = std::make_unique<RelayClient>(loop.base.get(), listener.address, names, 100, 1, dispatcher,
                                        *log.log, limits);
  evutil_make_socket_nonblocking(listener.fd);
  const auto accepted = [&] {
    int fd = -1;
    EXPECT_TRUE(until([&] { return (fd = accept(listener.fd, nullptr, nullptr)) >= 0; }));
    evutil_make_socket_nonblocking(fd);
    return fd;
  };
  const auto readAll = [&](int fd, const std::string& end) {
    std::string text;
    EXPECT_TRUE(until([&] {
      char piece[1000];
      const ssize_t n = read(fd, piece, sizeof piece);
      if (n > 0) text.append(piece, static_cast<std::size_t>(n));
      return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
    }));
  };
  const int watch = accepted();
  readAll(watch, "WATCH\r\n");
  ASSERT_EQ(write(watch, "OK\r\n", 4), 4);
  update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  const int calls = accepted();
  readAll(calls, "fence,1,0\r\n");
  ASSERT_EQ(write(calls, "OK 2\r\n", 6), 6);
  ASSERT_EQ(write(watch, "*\r\n", 3), 3);
  const Micros end = net::steadyNow() + 1050000;  // longer than both timeouts
  while (net::steadyNow() < end) {
  }
  ASSERT_TRUE(until([&] { return relay->counts().answered == 1; }));
  EXPECT_EQ(log.count(" ended code="), 0u) << log.text;
  for (int fd : {watch, calls}) close(fd);
}

TEST_F(RelayClientTest, CallConfirmedByAProxyIsNotRepeated) {
  fakeRelay.proxies[1] = {"a", 1, true};
  Limits limits;
  limits.reconnectDelayMin = 2000000;  // so that the acknowledgement arrives first
  start(limits);
  ASSERT_TRUE(until([&] { return otherEvents() == 1; }));
  fakeRelay.onOrder = [&](const std::string& order) {
    if (order == "fence,1,0") fakeRelay.done(1, 1, 5);
  };
  fakeRelay.faults = {Fault::BreakAfter};
  update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return relay->counts().confirmed == 1; }));
  update({SetRoute{8, "s", 1}, AcknowledgementRequest{2}});
  ASSERT_TRUE(until([&] { return fakeRelay.calls.size() == 2; }));
  EXPECT_EQ(fakeRelay.calls[1], "put,8,s,1;fence,2,0");
}

// An acknowledgement of a proxy that is not connected is corrupt and must not confirm a call.
TEST_F(RelayClientTest, AcknowledgementOfAnUnknownProxyConfirmsNothing) {
  Limits limits;
  limits.reconnectDelayMin = 300000;  // so that the acknowledgement arrives first
  start(limits);
  ASSERT_TRUE(untilWatchCount());
  fakeRelay.faults = {Fault::BreakBefore};
  update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return fakeRelay.calls.size() == 1; }));
  fakeRelay.done(4711, 1, 5);
  ASSERT_TRUE(until([&] { return fakeRelay.orders.size() == 2; })) << "reported as incomplete and sent again";
  EXPECT_EQ(relay->counts().confirmed, 0u);
}

TEST_F(RelayClientTest, ClosedIdleConnectionLosesNoCommand) {
  start();
  ASSERT_TRUE(untilWatchCount());
  update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return relay->counts().answered == 1; }));
  fakeRelay.closeCalls();
  ASSERT_TRUE(until([&] { return log.has("calls ended code=idle-closed"); }));
  update({SetRoute{7, "s", 2}, AcknowledgementRequest{2}});
  ASSERT_TRUE(until([&] { return fakeRelay.orders.size() == 4; }));
  EXPECT_EQ(fakeRelay.calls.size(), 2u);
}

TEST_F(RelayClientTest, ReconnectedWatchLosesAndRepeatsNothing) {
  fakeRelay.proxies = {{1, {"a", 1, true}}, {2, {"b", 1, true}}};
  fakeRelay.slices[5] = {{"s", "1"}};
  Limits limits;
  limits.replayDuration = 0;
  start(limits);
  ASSERT_TRUE(until([&] { return otherEvents() == 4; }));
  update({SetRoute{5, "t", 0.5}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return fakeRelay.orders.size() == 2; }));
  for (auto& [id, proxy] : fakeRelay.proxies) proxy.standing = false;
  fakeRelay.proxies.erase(1);
  fakeRelay.breakNews();
  ASSERT_TRUE(untilWatchCount(2));
  fakeRelay.life();
  ASSERT_TRUE(until([&] { return otherEvents() == 5; }));
  EXPECT_EQ(seen.all<ProxyDisconnected>().at(0).proxy, 1);
  EXPECT_EQ(seen.all<ProxyConnected>().size(), 2u);
  EXPECT_EQ(seen.all<SliceAssignment>().size(), 1u);
  EXPECT_TRUE(log.has("watch ended code=reset"));
}

// Acknowledgements sent while the former watch was silent are not replayed: the engine must request them
// again.
TEST_F(RelayClientTest, ReplacedWatchReportsThatAcknowledgementsMayHaveBeenMissed) {
  Limits limits;
  limits.watchIdleTimeout = 100000;
  start(limits);
  ASSERT_TRUE(untilWatchCount());
  EXPECT_TRUE(seen.all<AcknowledgementsMissed>().empty()) << "the first watch cannot have missed any";
  fakeRelay.lifeSigns = false;  // the watch stays open without heartbeats
  ASSERT_TRUE(untilWatchCount(2));
  EXPECT_TRUE(until([&] { return seen.all<AcknowledgementsMissed>().size() == 1; }));
}

// A replay that confirms one call must not confirm another call that is lost later during the same watch.
TEST_F(RelayClientTest, CallLostAfterAReplayShowedAnEarlierOneIsReportedAsIncomplete) {
  fakeRelay.slices[5] = {{"s", "1"}};
  Limits limits;
  limits.replayDuration = 0;
  limits.reconnectDelayMin = 300000;  // so that a watch event arrives before the lost call is reported
  start(limits);
  ASSERT_TRUE(until([&] { return otherEvents() == 2; }));
  fakeRelay.faults = {Fault::BreakAfter};
  dispatcher.dispatch(
      {SetRoute{5, "t", 1}, AcknowledgementRequest{1}});  // the fixture does not send it again
  ASSERT_TRUE(until([&] { return incompleteDeliveries == 1; }));
  fakeRelay.breakNews();
  ASSERT_TRUE(untilWatchCount(2));
  fakeRelay.life();
  fakeRelay.faults = {Fault::BreakBefore};
  update({SetEjection{"s", EjectionState::Ejected}, AcknowledgementRequest{2}});
  ASSERT_TRUE(until([&] { return relay->counts().undelivered == 2; }));
  fakeRelay.life();
  EXPECT_TRUE(until([&] { return fakeRelay.orders.size() == 4; })) << "the ejection is sent again";
  EXPECT_EQ(incompleteDeliveries, 2u);
  EXPECT_EQ(relay->counts().confirmed, 0u);
}

// Guards against: a lost call that was not executed counts as executed, because the store shows the effect of
// an earlier lost call of which it repeats a part.
TEST_F(RelayClientTest, LostCallIsNotConfirmedByTheEffectOfAnEarlierLostCall) {
  constexpr std::size_t kLostBefore = 5;  // so that the calls' backoff is far longer than that of the watch
  fakeRelay.slices = {{5, {{"s", "1"}}}, {6, {{"t", "1"}}}};
  Limits limits;
  limits.replayDuration = 0;
  limits.reconnectDelayMin = 5000;
  relay = std::make_unique<RelayClient>(loop.base.get(), fakeRelay.address(), names, 100, 1, dispatcher,
                                        *log.log, limits);
  ASSERT_TRUE(until([&] { return otherEvents() == 4; }));
  fakeRelay.faults = std::deque<Fault>(kLostBefore, Fault::BreakBefore);
  fakeRelay.faults.insert(fakeRelay.faults.end(), {Fault::BreakAfter, Fault::BreakBefore});
  fakeRelay.onCall = [&](const std::string&) {  // the next call repeats the first removal and adds one
    if (fakeRelay.calls.size() == kLostBefore + 1)
      unacceptedActions = {SetRoute{5, "s", 0}, SetRoute{6, "t", 0}, AcknowledgementRequest{2}};
  };
  update({SetRoute{5, "s", 0}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return relay->counts().undelivered == kLostBefore + 2; }));
  EXPECT_FALSE(fakeRelay.slices[6].empty()) << "the second removal was not executed";
  fakeRelay.breakNews();
  ASSERT_TRUE(untilWatchCount(2));
  fakeRelay.life();
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  EXPECT_TRUE(fakeRelay.slices[6].empty()) << "the second removal was sent again";
  EXPECT_EQ(relay->counts().confirmed, 0u);
}

// A relay that vanishes without a reset sends no more heartbeats.
TEST_F(RelayClientTest, SilentWatchIsReconnected) {
  fakeRelay.lifeSigns = false;
  Limits limits;
  limits.watchIdleTimeout = 100000;
  start(limits);
  ASSERT_TRUE(untilWatchCount(3));
  EXPECT_TRUE(log.has("watch ended code=silent"));
}

TEST_F(RelayClientTest, UpdatesWaitWhileTheRelayRefusesConnections) {
  fakeRelay.refuse(true);
  start();
  update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(
      until([&] { return log.has("watch ended code=refused") && log.has("calls ended code=refused"); }));
  EXPECT_TRUE(seen.all<UpdateDelivery>().empty())
      << "reported only once the relay is reachable, when the engine builds the replacement update";
  unacceptedActions = {SetRoute{7, "s", 2}, AcknowledgementRequest{2}};
  fakeRelay.refuse(false);
  ASSERT_TRUE(until([&] { return fakeRelay.orders.size() == 2; }));
  EXPECT_EQ(fakeRelay.calls, std::vector<std::string>{"put,7,s,2;fence,2,0"});
  EXPECT_EQ(seen.all<UpdateDelivery>().at(0).messages, 0) << "no part of it was sent";
  ASSERT_TRUE(untilWatchCount());
}

TEST_F(RelayClientTest, MalformedWatchEventEndsTheWatchWithACode) {
  Limits limits;
  limits.lineBytesMax = 200;
  start(limits);
  ASSERT_TRUE(untilWatchCount());
  fakeRelay.raw("* attach one\r\n");
  ASSERT_TRUE(untilWatchCount(2));
  EXPECT_TRUE(log.has("watch ended code=bad-message"));
  fakeRelay.raw(std::string(300, 'x'));
  ASSERT_TRUE(untilWatchCount(3));
  EXPECT_TRUE(log.has("watch ended code=too-long"));
}

// Guards against: a watch that reports routes to ever new servers fills the memory and delays the engine.
TEST_F(RelayClientTest, WatchWithTooManyRoutesOfASliceIsEnded) {
  fakeRelay.slices[5] = {{"s", "1"}};
  start();
  ASSERT_TRUE(until([&] { return otherEvents() == 2; }));
  std::string lines;
  for (int k = 0; k < 1023; ++k) lines += "* entry 5 x" + std::to_string(k) + " 0.1\r\n";
  fakeRelay.raw(lines);
  ASSERT_TRUE(until([&] { return seen.all<StoredRoute>().size() == 1024; }));
  EXPECT_EQ(fakeRelay.watches, 1) << "as many as the limit";
  fakeRelay.raw("* entry 5 y 0.1\r\n");
  ASSERT_TRUE(untilWatchCount(2));
  EXPECT_TRUE(log.has("watch ended code=bad-message"));
  EXPECT_TRUE(log.has("more than 1024 routes of slice 5"));
}

TEST_F(RelayClientTest, SingleInvalidReplyLosesNothingAndRepeatedOnesDoNotBlockLaterUpdates) {
  fakeRelay.faults = {Fault::Invalid};
  start();
  ASSERT_TRUE(untilWatchCount());
  update({SetRoute{7, "s", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); })) << "no command is lost";
  EXPECT_EQ(fakeRelay.orders.size(), 2u);
  EXPECT_EQ(fakeRelay.calls.size(), 2u);
  fakeRelay.faults = std::deque<Fault>(UpdateCalls::kInvalidRepliesMax, Fault::Invalid);
  update({SetRoute{7, "s", 2}, AcknowledgementRequest{2}});
  ASSERT_TRUE(until([&] {
    return log.has("as 'invalid' repeatedly; dropping the update that begins with: put,7,s,2") &&
           unacceptedActions.empty();
  }));
  update({SetRoute{8, "s", 1}, AcknowledgementRequest{3}});
  ASSERT_TRUE(until([&] { return fakeRelay.orders.size() == 4; }));
}

// A corrupt acknowledgement must not close the watch, because the supervisor would not see the proxies until
// a new one is open.
TEST_F(RelayClientTest, MalformedAcknowledgementDoesNotEndTheWatch) {
  fakeRelay.proxies[17] = {"a", 21.5, true};
  start();
  ASSERT_TRUE(until([&] { return otherEvents() == 1; }));
  for (const char* line : {"* done", "* done x 1 2", "* done 17 nan 2", "* done 17 -1 2",
                           "* done 17 99999999999 2", "* done 17 5", "* done 17 5 ?"})
    fakeRelay.raw(std::string(line) + "\r\n");
  fakeRelay.done(17, 3, 12.5);
  ASSERT_TRUE(until([&] { return seen.all<UpdateAcknowledged>().size() == 1; }));
  EXPECT_EQ(seen.all<UpdateAcknowledged>()[0].updateId, 3);
  EXPECT_EQ(fakeRelay.watches, 1);
  EXPECT_EQ(log.count("unreadable acknowledgements ignored"), 3u)
      << "logged for the first, second and fourth of seven";
}

TEST_F(RelayClientTest, CommandRejectedTwiceIsDroppedAndLogged) {
  fakeRelay.servers = {"s"};
  start();
  ASSERT_TRUE(untilWatchCount());
  update({SetRoute{7, "s", 1}, SetRoute{7, "unlisted", 1}, SetRoute{8, "s", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  EXPECT_EQ(fakeRelay.calls.back(), "put,7,s,1;put,8,s,1;fence,1,0");
  EXPECT_TRUE(log.has("dropping it: put,7,unlisted,1"));
}

}  // namespace
}  // namespace peargrade::relay
