// Outlier detection of a simulated supervisor: a server that fails far more often than the others loses its
// slices until its ejection time expires.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

// Four servers with three slices each, after the first load reports.
class OutlierDetection : public testing::Test {
 protected:
  OutlierDetection() { supervisor.startAndRun(12, 6 * kSecond); }

  SimulatedSupervisor supervisor;
};

TEST_F(OutlierDetection, ServerThatFailsFastLosesItsSlices) {
  supervisor.setFailureRatio("s_b", 0.9);
  supervisor.run(4 * kSecond);
  EXPECT_EQ(supervisor.primaryCount("s_b"), 0);
  EXPECT_EQ(supervisor.countLogLines("s_b is an outlier"), 1);
}

TEST_F(OutlierDetection, NoServerIsAnOutlierWhenMostFail) {
  for (int server = 0; server < 4; ++server)
    supervisor.setFailureRatio(SimulatedSupervisor::serverName(server), 0.8);
  supervisor.run(5 * kSecond);
  EXPECT_EQ(supervisor.countLogLines("is an outlier"), 0);
  for (int server = 0; server < 4; ++server)
    EXPECT_EQ(supervisor.primaryCount(SimulatedSupervisor::serverName(server)), 3);
}

TEST_F(OutlierDetection, ReportsOfAZoneWhereMostServersFailAreIgnored) {
  for (int server = 0; server < 3; ++server)
    supervisor.failureRatios[{SimulatedSupervisor::serverName(server), 1}] = 1;
  supervisor.run(5 * kSecond);
  EXPECT_EQ(supervisor.countLogLines("is an outlier"), 0);
}

TEST_F(OutlierDetection, SlowServerThatRejectsRequestsIsOverloadedRatherThanAnOutlier) {
  supervisor.setFailureRatio("s_b", 0.5);
  supervisor.latencies["s_b"] = 700 * kMillisecond;
  supervisor.run(3 * kSecond);
  EXPECT_EQ(supervisor.countLogLines("s_b is an outlier"), 0);
}

TEST_F(OutlierDetection, FailingServerIsEjectedRepeatedlyForGrowingTimes) {
  supervisor.setFailureRatio("s_b", 1);
  supervisor.run(60 * kSecond);
  EXPECT_GE(supervisor.countLogLines("s_b is an outlier"), 2);
  EXPECT_LE(supervisor.countLogLines("s_b is an outlier"), 4);
}

}  // namespace
}  // namespace peargrade
