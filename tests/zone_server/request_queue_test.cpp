// Limits and order of the requests that wait to be processed.
#include "zone_server/request_queue.h"

#include <gtest/gtest.h>

#include <random>

namespace peargrade::zone_server {
namespace {

Request request(const std::string& message) { return {message, "", nullptr}; }

std::string popMessage(RequestQueue& queue) {
  const auto next = queue.pop();
  return next ? next->message : "";
}

// Guards against: one sender at full speed keeps the requests of the others waiting.
TEST(RequestQueueTest, SourcesAreServedInTurn) {
  RequestQueue queue({});
  for (int k = 0; k < 5; ++k) queue.push("flood", request("f" + std::to_string(k)));
  queue.push("other", request("o"));
  EXPECT_EQ(popMessage(queue), "f0");
  EXPECT_EQ(popMessage(queue), "o");
  EXPECT_EQ(popMessage(queue), "f1");
  queue.forget("flood");
  EXPECT_EQ(popMessage(queue), "");
  EXPECT_TRUE(queue.empty());
}

TEST(RequestQueueTest, SourceLeavesRoomForTheOthers) {
  RequestQueue queue({1000, 1 << 20, 100, 1 << 20});
  const auto fill = [&](const std::string& source) {
    int added = 0;
    while (queue.push(source, request("x"))) ++added;
    return added;
  };
  EXPECT_EQ(fill("a"), 50);
  EXPECT_EQ(fill("b"), 25);
  EXPECT_EQ(fill("c"), 12);
  EXPECT_TRUE(queue.accepts("d", 1));
}

TEST(RequestQueueTest, BytesOfASourceAreLimited) {
  RequestQueue queue({16, 1000, 100, 10000});
  EXPECT_TRUE(queue.push("a", request(std::string(2000, 'x'))))
      << "one message is accepted whatever its size";
  EXPECT_FALSE(queue.push("a", request("x")));
  EXPECT_TRUE(queue.push("b", request(std::string(600, 'x'))));
  EXPECT_FALSE(queue.push("b", request(std::string(600, 'x'))));
  EXPECT_TRUE(queue.push("b", request(std::string(300, 'x'))));
}

TEST(RequestQueueTest, StaysWithinItsLimitsUnderRandomUse) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    std::mt19937 random(seed);
    RequestQueue queue({8, 500, 50, 4000});
    std::size_t waiting = 0;
    std::map<std::string, std::size_t> bySource;
    for (int step = 0; step < 5000; ++step) {
      const std::string source = std::to_string(random() % 20);
      if (random() % 3 != 0) {
        const bool added = queue.push(source, request(source + ":" + std::string(random() % 100, 'x')));
        waiting += added ? 1 : 0;
        bySource[source] += added ? 1 : 0;
      } else if (random() % 50 == 0) {
        queue.forget(source);
        waiting -= std::exchange(bySource[source], 0);
      } else if (const auto next = queue.pop()) {
        --waiting;
        --bySource[next->message.substr(0, next->message.find(':'))];
      }
      ASSERT_EQ(queue.size(), waiting) << "seed " << seed;
      ASSERT_LE(waiting, 50u) << "seed " << seed;
      ASSERT_EQ(queue.sizeOf(source), bySource[source]) << "seed " << seed;
      ASSERT_LE(bySource[source], 8u) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace peargrade::zone_server
