// Tests the start of the process. Run it with --gtest_repeat=500 to get the distribution of the start time.
#include <gtest/gtest.h>

#include <fstream>
#include <iostream>
#include <string>

#include "serve_fixture.h"

namespace peargrade {
namespace {

/// A restarted supervisor must answer within this time, in microseconds.
constexpr Micros kReadyLimit = 10000000;
constexpr Micros kMillisecond = 1000;

/// Number of threads of a process, or 0 if the process is not found.
int threadCount(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  const std::string key = "Threads:";
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, key.size(), key) == 0) return std::stoi(line.substr(key.size()));
  }
  return 0;
}

// Without an operator's file the process has a single thread, which therefore never waits for another one.
TEST_F(ServeTest, ProcessIsReadyInTimeAndHasOneThread) {
  addThreeServers();
  const Micros startedAt = net::steadyNow();
  startSupervisor(config());
  const Micros readyAfter = net::steadyNow() - startedAt;
  std::cout << "ready after " << readyAfter / kMillisecond << " ms\n";
  EXPECT_LT(readyAfter, kReadyLimit);
  EXPECT_EQ(threadCount(program->pid()), 1);
  stopSupervisor();
}

}  // namespace
}  // namespace peargrade
