// The supervisor round the module, the exchange, the timers and the log; no sockets.
#include "supervisor/supervisor.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>

#include "supervisor/clock.h"
#include "supervisor/signals.h"
#include "support/loop.h"
#include "support/scene.h"

namespace peargrade::supervisor {
namespace {

TEST(Clock, IsUnixTimeAndOnlyGoesForward) {
  const Clock clock;
  const auto unixNow = std::chrono::duration_cast<std::chrono::microseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  Micros last = clock.now();
  EXPECT_NEAR(static_cast<double>(last), static_cast<double>(unixNow), 5e6);
  for (int k = 0; k < 1000; ++k) {
    const Micros now = clock.now();
    EXPECT_GE(now, last);
    last = now;
  }
}

TEST(Timers, ComeByDueTimeThenInTheOrderTheyWereSet) {
  Timers timers;
  EXPECT_FALSE(timers.next().has_value());
  timers.set(30, "c");
  timers.set(10, "a");
  timers.set(30, "d");
  timers.set(20, "b");
  EXPECT_EQ(timers.next(), 10);
  EXPECT_TRUE(timers.take(9).empty());
  EXPECT_EQ(timers.take(25), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(timers.take(30), (std::vector<std::string>{"c", "d"}));
}

TEST(Timers, AreBounded) {
  Timers timers;
  for (std::size_t k = 0; k < Timers::kMost; ++k) ASSERT_TRUE(timers.set(static_cast<Micros>(k), "t"));
  EXPECT_FALSE(timers.set(1, "t"));
}

TEST(Dispatcher, EachActionGoesToItsSideInSequence) {
  dispatch::Dispatcher exchange;
  std::vector<dispatch::Dispatcher::EndpointListRequest> lists;
  std::vector<dispatch::Dispatcher::TableUpdate> orders;
  exchange.onEndpointListRequest(
      [&](dispatch::Dispatcher::EndpointListRequest call) { lists.push_back(call); });
  exchange.onTableUpdate([&](const dispatch::Dispatcher::TableUpdate& o) { orders.push_back(o); });
  const auto rest =
      exchange.dispatch({SetTimer{1, "t"}, SetRoute{1, "s", 1}, WatchEndpoints{true}, ClearTable{2},
                         SetEjection{"s", EjectionState::Ejected}, PollEndpoints{}, SetAdmission{},
                         AcknowledgementRequest{4}, WatchEndpoints{false}, Log{"x"}, HealthCheck{"s"}});
  ASSERT_EQ(orders.size(), 1u) << "the orders of one reply stay together";
  ASSERT_EQ(orders[0].size(), 5u);
  EXPECT_TRUE(std::holds_alternative<SetRoute>(orders[0].front()));
  EXPECT_TRUE(std::holds_alternative<AcknowledgementRequest>(orders[0].back()));
  using Call = dispatch::Dispatcher::EndpointListRequest;
  EXPECT_EQ(lists, (std::vector<Call>{Call::Watch, Call::Poll, Call::Unwatch}));
  EXPECT_EQ(rest.size(), 3u);
}

TEST(Dispatcher, ReadinessIsToldOnce) {
  dispatch::Dispatcher exchange;
  int told = 0;
  exchange.onReady([&] { ++told; });
  exchange.relayConnected();
  EXPECT_EQ(told, 0);
  exchange.endpointListKnown();
  exchange.endpointListKnown();
  exchange.readinessTimedOut();
  EXPECT_EQ(told, 1);
  EXPECT_TRUE(exchange.ready());
}

TEST(Dispatcher, ADeadPeerDoesNotHoldUpReadiness) {
  dispatch::Dispatcher exchange;
  exchange.readinessTimedOut();
  EXPECT_TRUE(exchange.ready());
}

struct Round : testing::Test {
  ReadLog log;
  dispatch::Dispatcher exchange;
  Settings settings = plainSettings();
  std::vector<dispatch::Dispatcher::TableUpdate> orders;
  int watches = 0;

  Round() {
    exchange.onTableUpdate([this](const dispatch::Dispatcher::TableUpdate& o) { orders.push_back(o); });
    exchange.onEndpointListRequest([this](dispatch::Dispatcher::EndpointListRequest) { ++watches; });
  }
  EndpointListUpdate list(EndpointListKind mode) {
    EndpointListUpdate news{mode, 1, {}};
    for (const char* name : {"s_a", "s_b", "s_c"}) {
      Endpoint e;
      e.server = name;
      news.endpoints.push_back(e);
    }
    return news;
  }
};

// What came in one turn is one batch: the module sees a slice together with its lines and does not place it
// anew.
TEST_F(Round, OneTurnIsOneBatch) {
  Supervisor supervisor(1, settings, exchange, *log.log);
  exchange.post(list(EndpointListKind::Cached));
  exchange.post(list(EndpointListKind::Full));
  exchange.post(ProxyConnected{0, 0, 5, true});
  for (int t = 0; t < 6; ++t) {
    exchange.post(SliceAssignment{t, true});
    exchange.post(StoredRoute{t, t % 2 == 0 ? "s_a" : "s_b", 1});
  }
  supervisor.turn(1000000);
  for (const auto& reply : orders) {
    for (const Action& a : reply) {
      const auto* line = std::get_if<SetRoute>(&a);
      EXPECT_TRUE(line == nullptr || line->weight < 1) << "a home was moved";
    }
  }
}

TEST_F(Round, TimersOfTheModuleComeBackAndAnEmptyTurnDoesNothing) {
  settings.endpointsOnRequest = true;
  Supervisor supervisor(1, settings, exchange, *log.log);
  supervisor.turn(500);
  EXPECT_FALSE(supervisor.nextTimer().has_value()) << "nothing came";
  exchange.post(list(EndpointListKind::Cached));
  supervisor.turn(1000);
  EXPECT_EQ(watches, 1);
  for (int k = 0; k < 10; ++k) {
    const auto next = supervisor.nextTimer();
    ASSERT_TRUE(next.has_value());
    supervisor.turn(*next - 1);
    EXPECT_EQ(supervisor.nextTimer(), next) << "not before it is due";
    supervisor.turn(*next);
    EXPECT_GT(supervisor.nextTimer(), next);
  }
}

TEST_F(Round, AFailedListIsAskedForAgainByTheModule) {
  settings.endpointsOnRequest = true;
  Supervisor supervisor(1, settings, exchange, *log.log);
  exchange.post(list(EndpointListKind::Cached));
  supervisor.turn(1000);
  exchange.post(EndpointListUpdate{EndpointListKind::Failed, 0, {}});
  supervisor.turn(2000);
  while (watches < 2) {
    ASSERT_LT(*supervisor.nextTimer(), 20 * kSecond);
    supervisor.turn(*supervisor.nextTimer());
  }
}

TEST(Logging, LevelsFilterAndLinesStayLines) {
  ReadLog read;
  log::Log filtered(read.ends[1], log::Level::Warn);
  filtered.info("x") << "not this";
  filtered.warn("x") << "this\r\nand \x01 that";
  filtered.flush();
  EXPECT_EQ(read.count("\n"), 1u);
  EXPECT_TRUE(read.has(" warn x: this??and ? that\n")) << read.text;
  EXPECT_EQ(log::levelNamed("warn"), log::Level::Warn);
  EXPECT_FALSE(log::levelNamed("loud").has_value());
}

// Guards against a reader of the log that stalls: the supervisor goes on, lines are lost and counted.
TEST(Logging, AStalledReaderCostsLinesNotTime) {
  ReadLog read;
  for (int k = 0; k < 20000; ++k) {
    read.log->info("x") << "line " << k << std::string(100, '.');
    read.log->flush();
  }
  EXPECT_GT(read.log->dropped(), 10000u);
  read.read();
  read.log->info("x") << "after";
  EXPECT_TRUE(read.has("lines lost to a slow reader"));
  EXPECT_TRUE(read.has("x: after"));
}

TEST(Logging, EveryReasonHasACodeOfItsOwn) {
  std::set<std::string> codes;
  for (int k = 0; k <= static_cast<int>(log::CloseReason::Stopping); ++k)
    codes.insert(log::code(static_cast<log::CloseReason>(k)));
  EXPECT_EQ(codes.size(), static_cast<std::size_t>(log::CloseReason::Stopping) + 1);
  EXPECT_EQ(codes.count("unknown"), 0u);
}

// ---- Signals: what comes before and behind their time ----

struct SignalsDeathTest : testing::Test {
  SignalsDeathTest() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
};

// A life whose last turn is over when `number` comes.
[[noreturn]] void endThenRaise(int number) {
  {
    const net::EventBase base = net::makeBase();
    Signals signals(base.get());
    raise(SIGTERM);
    while (!signals.stopping()) event_base_loop(base.get(), EVLOOP_ONCE);
  }
  raise(number);
  std::exit(0);
}

TEST_F(SignalsDeathTest, BetweenTheLastTurnAndTheExitNoneEndsTheProcess) {
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
    EXPECT_EXIT(endThenRaise(number), testing::ExitedWithCode(0), "") << number;
}

[[noreturn]] void raiseThenServe() {
  Signals::hold();
  for (const int number : {SIGHUP, SIGUSR1, SIGTERM}) raise(number);
  const net::EventBase base = net::makeBase();
  int reloads = 0, explains = 0;
  Signals signals(base.get());
  signals.onReload([&] { ++reloads; });
  signals.onExplain([&] { ++explains; });
  while (!signals.stopping() || reloads == 0 || explains == 0) event_base_loop(base.get(), EVLOOP_ONCE);
  std::exit(reloads == 1 && explains == 1 ? 0 : 1);
}

TEST_F(SignalsDeathTest, WhatCameWhileTheyWereHeldIsServedOnceTheyAreTaken) {
  EXPECT_EXIT(raiseThenServe(), testing::ExitedWithCode(0), "");
}

}  // namespace
}  // namespace peargrade::supervisor
