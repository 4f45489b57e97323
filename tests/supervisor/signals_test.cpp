// Signals that arrive before the handlers are installed and after they are removed.
#include "supervisor/signals.h"

#include <gtest/gtest.h>

#include <csignal>
#include <cstdlib>

#include "net/net.h"

namespace peargrade::supervisor {
namespace {

struct SignalsDeathTest : testing::Test {
  SignalsDeathTest() { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
};

// A process that receives signal `number` after its handlers were removed.
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

TEST_F(SignalsDeathTest, NoSignalEndsTheProcessBetweenTheLastTurnAndTheExit) {
  for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
    EXPECT_EXIT(endThenRaise(number), testing::ExitedWithCode(0), "") << number;
}

[[noreturn]] void raiseThenServe() {
  Signals::block();
  for (const int number : {SIGHUP, SIGUSR1, SIGTERM}) raise(number);
  const net::EventBase base = net::makeBase();
  int reloads = 0;
  int explains = 0;
  Signals signals(base.get());
  signals.onReload([&] { ++reloads; });
  signals.onExplain([&] { ++explains; });
  while (!signals.stopping() || reloads == 0 || explains == 0) event_base_loop(base.get(), EVLOOP_ONCE);
  std::exit(reloads == 1 && explains == 1 ? 0 : 1);
}

TEST_F(SignalsDeathTest, PendingSignalsAreHandledOnceHandlersAreInstalled) {
  EXPECT_EXIT(raiseThenServe(), testing::ExitedWithCode(0), "");
}

}  // namespace
}  // namespace peargrade::supervisor
