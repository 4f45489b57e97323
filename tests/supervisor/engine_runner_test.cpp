// Batches and timers of the engine, without sockets.
#include "supervisor/engine_runner.h"

#include <gtest/gtest.h>

#include "support/decision_settings.h"
#include "support/loop.h"

namespace peargrade::supervisor {
namespace {

struct EngineRunnerTest : testing::Test {
  ReadLog log;
  dispatch::Dispatcher dispatcher;
  Settings settings = testSettings();
  std::vector<dispatch::Dispatcher::TableUpdate> updates;
  int listRequests = 0;

  EngineRunnerTest() {
    dispatcher.onTableUpdate(
        [this](const dispatch::Dispatcher::TableUpdate& update) { updates.push_back(update); });
    dispatcher.onEndpointListRequest([this](dispatch::Dispatcher::EndpointListRequest) { ++listRequests; });
  }
  EndpointListUpdate list(EndpointListKind kind) {
    EndpointListUpdate update{kind, 1, {}};
    for (const char* name : {"s_a", "s_b", "s_c"}) {
      Endpoint e;
      e.server = name;
      update.endpoints.push_back(e);
    }
    return update;
  }
};

// If the engine received a slice without its routes, it would assign a new primary server to the slice.
TEST_F(EngineRunnerTest, EventsOfOneTurnAreOneBatch) {
  EngineRunner runner(1, settings, dispatcher, *log.log);
  dispatcher.post(list(EndpointListKind::Cached));
  dispatcher.post(list(EndpointListKind::Full));
  dispatcher.post(ProxyConnected{0, 0, 5, true});
  for (int t = 0; t < 6; ++t) {
    dispatcher.post(SliceAssignment{t, true});
    dispatcher.post(StoredRoute{t, t % 2 == 0 ? "s_a" : "s_b", 1});
  }
  runner.turn(1000000);
  for (const auto& update : updates) {
    for (const Action& a : update) {
      const auto* route = std::get_if<SetRoute>(&a);
      EXPECT_TRUE(route == nullptr || route->weight < 1) << "a primary server was changed";
    }
  }
}

TEST_F(EngineRunnerTest, EngineTimersFireWhenDueAndEmptyTurnsDoNothing) {
  settings.endpointsOnRequest = true;
  EngineRunner runner(1, settings, dispatcher, *log.log);
  runner.turn(500);
  EXPECT_FALSE(runner.nextTimer().has_value()) << "no event was posted";
  dispatcher.post(list(EndpointListKind::Cached));
  runner.turn(1000);
  EXPECT_EQ(listRequests, 1);
  for (int k = 0; k < 10; ++k) {
    const auto next = runner.nextTimer();
    ASSERT_TRUE(next.has_value());
    runner.turn(*next - 1);
    EXPECT_EQ(runner.nextTimer(), next) << "a timer must not fire before it is due";
    runner.turn(*next);
    EXPECT_GT(runner.nextTimer(), next);
  }
}

TEST_F(EngineRunnerTest, EngineRequestsAFailedEndpointListAgain) {
  settings.endpointsOnRequest = true;
  EngineRunner runner(1, settings, dispatcher, *log.log);
  dispatcher.post(list(EndpointListKind::Cached));
  runner.turn(1000);
  dispatcher.post(EndpointListUpdate{EndpointListKind::Failed, 0, {}});
  runner.turn(2000);
  while (listRequests < 2) {
    ASSERT_LT(*runner.nextTimer(), 20 * kSecond);
    runner.turn(*runner.nextTimer());
  }
}

}  // namespace
}  // namespace peargrade::supervisor
