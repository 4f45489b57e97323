// Growth of the processor time of one decision.
#include <gtest/gtest.h>
#include <time.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr int kSlices = 24;
constexpr int kRepetitions = 3;

double threadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// Processor time, in seconds, of the first decision after the relay has reported `routesPerSlice` routes of
/// each slice to servers that the endpoint list does not contain.
double decisionCost(int routesPerSlice) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(kSlices, 8 * kSecond);
  std::vector<Event> routes;
  for (TableId slice = 0; slice < kSlices; ++slice) {
    const std::string prefix = "unlisted-" + std::to_string(slice) + "-";
    for (int route = 0; route < routesPerSlice; ++route)
      routes.push_back(StoredRoute{slice, prefix + std::to_string(route), 1});
  }
  supervisor.handle(routes);
  supervisor.now += 250 * kMillisecond;
  const double startedAt = threadCpuSeconds();
  supervisor.handle({TimerFired{"sweep"}});
  return threadCpuSeconds() - startedAt;
}

double leastDecisionCost(int routesPerSlice) {
  double least = decisionCost(routesPerSlice);
  for (int repetition = 1; repetition < kRepetitions; ++repetition)
    least = std::min(least, decisionCost(routesPerSlice));
  return least;
}

// Guards against: a decision about many servers to eject takes seconds, so that heartbeats and drains wait
// for it. 1,024 is the limit of the stored routes of a slice.
TEST(DecisionCost, GrowsLessThanQuadraticallyWithTheServersToEject) {
  constexpr int kFew = 64;
  constexpr int kMany = 1024;
  const double few = leastDecisionCost(kFew);
  const double many = leastDecisionCost(kMany);
  const double growth = std::log(many / few) / std::log(static_cast<double>(kMany) / kFew);
  EXPECT_LT(growth, 1.5) << few << " s for " << kFew << " routes of a slice, " << many << " s for " << kMany;
}

}  // namespace
}  // namespace peargrade
