// The start of the process, seen from outside. By hand with --gtest_repeat=500 for the distribution of its
// time.
#include <gtest/gtest.h>

#include <fstream>
#include <iostream>
#include <string>

#include "serve_fixture.h"

namespace peargrade {
namespace {

/// A restarted supervisor has to answer within this time.
constexpr Micros kReadyWithin = 10000000;
constexpr Micros kMillisecond = 1000;

/// Threads of a process, as the kernel counts them; 0: not found.
int threadCount(pid_t process) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  const std::string key = "Threads:";
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, key.size(), key) == 0) return std::stoi(line.substr(key.size()));
  }
  return 0;
}

// Without an operator's file nothing in the process may wait for another thread, at its start or later.
TEST_F(ServeTest, ProcessIsReadyInTimeAndHasOneThread) {
  addThreeServers();
  const Micros startedAt = net::steadyNow();
  startSupervisor(config());
  const Micros readyAfter = net::steadyNow() - startedAt;
  std::cout << "ready after " << readyAfter / kMillisecond << " ms\n";
  EXPECT_LT(readyAfter, kReadyWithin);
  EXPECT_EQ(threadCount(program->pid()), 1);
  stopSupervisor();
}

}  // namespace
}  // namespace peargrade
