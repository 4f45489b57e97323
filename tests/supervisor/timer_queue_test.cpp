// Order and size limit of the engine's timers.
#include "supervisor/timer_queue.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace peargrade::supervisor {
namespace {

TEST(TimerQueue, OrdersByDueTimeThenByWhenTimersWereSet) {
  TimerQueue timers;
  EXPECT_FALSE(timers.nextDue().has_value());
  timers.set(30, "c");
  timers.set(10, "a");
  timers.set(30, "d");
  timers.set(20, "b");
  EXPECT_EQ(timers.nextDue(), 10);
  EXPECT_TRUE(timers.takeDue(9).empty());
  EXPECT_EQ(timers.takeDue(25), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(timers.takeDue(30), (std::vector<std::string>{"c", "d"}));
}

TEST(TimerQueue, IsBounded) {
  TimerQueue timers;
  for (std::size_t k = 0; k < TimerQueue::kCapacity; ++k)
    ASSERT_EQ(timers.set(static_cast<Micros>(k), "t"), TimerQueue::SetResult::Set);
  EXPECT_EQ(timers.set(1, "t"), TimerQueue::SetResult::QueueFull);
}

}  // namespace
}  // namespace peargrade::supervisor
