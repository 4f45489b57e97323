// Monotonic Unix time of a supervisor.
#include "supervisor/clock.h"

#include <gtest/gtest.h>

#include <chrono>

namespace peargrade::supervisor {
namespace {

TEST(Clock, IsMonotonicUnixTime) {
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

}  // namespace
}  // namespace peargrade::supervisor
