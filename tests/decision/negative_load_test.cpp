// Random restarts, removals and slice assignments with weighted endpoints. A negative load estimate once made
// Placement crash the process: the engine must handle every load estimate.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <string>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr int kSeed = 52;
constexpr int kSteps = 400;
constexpr Micros kStep = 250 * kMillisecond;

/// The random values of one step. All are drawn for every kind of step, so that the random sequence does not
/// depend on the kind.
struct Step {
  explicit Step(std::mt19937& random)
      : kind(static_cast<int>(random() % 16)),
        server(SimulatedSupervisor::serverName(static_cast<int>(random() % 26))),
        zone(static_cast<int>(random() % 2)),
        latency(static_cast<Micros>(50 + random() % 1500) * kMillisecond),
        failureRatio(static_cast<double>(random() % 10) / 10) {}

  int kind;
  std::string server;
  int zone;
  Micros latency;
  double failureRatio;
};

void changeEndpoints(SimulatedSupervisor& supervisor, const Step& step) {
  if (step.kind == 0) supervisor.updateEndpoint(step.server, EndpointState::Draining);
  if (step.kind == 1)
    supervisor.updateEndpoint(step.server, EndpointState::Ready, supervisor.now - step.latency);
  if (step.kind == 2) supervisor.updateEndpoint(step.server, EndpointState::Removed);
  if (step.kind == 7 && step.failureRatio > 0.7)
    supervisor.restart(supervisor.endpointList(EndpointListKind::Cached));
  if (step.kind == 8) supervisor.unreachableServers.insert(step.server);
}

void changeLoad(SimulatedSupervisor& supervisor, const Step& step, std::mt19937& random) {
  if (step.kind == 3) supervisor.latencies[step.server] = step.latency;
  if (step.kind == 4) supervisor.setFailureRatio(step.server, step.failureRatio);
  if (step.kind == 5) supervisor.zonePathDelays[{step.server, step.zone}] = step.latency;
  if (step.kind == 6) supervisor.failureRatios[{step.server, step.zone}] = step.failureRatio;
  if (step.kind == 9) supervisor.acknowledgesUpdates = step.failureRatio < 0.7;
  if (step.kind == 10) supervisor.reportsLoad = step.failureRatio < 0.8;
  if (step.kind == 11) {
    const int slice = static_cast<int>(random() % 30);
    const bool assigned = random() % 2 != 0;
    supervisor.handle({SliceAssignment{slice, assigned}});
  }
  if (step.kind == 12) {
    const int slice = static_cast<int>(random() % 30);
    const int requestClass = static_cast<int>(random() % 3);
    supervisor.requestRates[{slice, requestClass}] = static_cast<double>(random() % 40);
  }
}

void play() {
  std::mt19937 random(kSeed);
  Settings settings = testSettings();
  settings.endpointsHaveWeights = true;
  SimulatedSupervisor supervisor(settings, 8, kSeed);
  supervisor.start(24);
  for (int k = 0; k < kSteps; ++k) {
    const Step step(random);
    changeEndpoints(supervisor, step);
    changeLoad(supervisor, step, random);
    supervisor.run(kStep);
  }
}

// Runs in a child process, since the fault that it detects crashes the process.
TEST(NegativeLoad, RandomChangesOfServersAndSlicesDoNotCrash) {
  EXPECT_EXIT(
      {
        play();
        std::exit(0);
      },
      testing::ExitedWithCode(0), "")
      << "seed " << kSeed;
}

}  // namespace
}  // namespace peargrade
