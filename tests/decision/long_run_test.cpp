// Long runs: memory stays bounded while the servers of the fleet are replaced repeatedly.
#include <gtest/gtest.h>
#include <malloc.h>

#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr TableId kSlices = 16;

std::string successorName(int round, int index) {
  return "r" + std::to_string(round) + "_" + std::to_string(index);
}

// The round in which a server started; -1: before the first round.
int startRound(const ServerId& server) {
  return server.compare(0, 1, "r") == 0 ? std::atoi(server.c_str() + 1) : -1;
}

// Starts four new servers, then drains and removes all others.
void replaceFleet(SimulatedSupervisor& supervisor, int round) {
  for (int index = 0; index < 4; ++index)
    supervisor.updateEndpoint(successorName(round, index), EndpointState::Ready, supervisor.now);
  supervisor.run(8 * kSecond);
  const std::map<ServerId, Endpoint> listed = supervisor.endpoints;
  for (const auto& [server, endpoint] : listed) {
    if (startRound(server) < round) supervisor.updateEndpoint(server, EndpointState::Draining);
  }
  supervisor.run(4 * kSecond);
  const std::map<ServerId, Endpoint> draining = supervisor.endpoints;
  for (const auto& [server, endpoint] : draining) {
    if (endpoint.state == EndpointState::Draining) supervisor.updateEndpoint(server, EndpointState::Removed);
  }
  supervisor.run(4 * kSecond);
}

// Clears what SimulatedSupervisor itself accumulates, since it would count as growth.
void clearRecords(SimulatedSupervisor& supervisor) {
  supervisor.logLines.clear();
  supervisor.updateTimes.clear();
  supervisor.routesToEjectedServers.clear();
}

TEST(LongRun, RepeatedFleetReplacementDoesNotGrowMemory) {
  SimulatedSupervisor supervisor;
  supervisor.start(kSlices);
  std::vector<std::size_t> allocatedBytes;
  for (int round = 0; round < 30; ++round) {
    replaceFleet(supervisor, round);
    for (TableId slice = 0; slice < kSlices; ++slice)
      EXPECT_EQ(startRound(supervisor.primaryServer(slice)), round) << "slice " << slice;
    clearRecords(supervisor);
#if defined(__GLIBC__) && !defined(__SANITIZE_ADDRESS__)
    allocatedBytes.push_back(mallinfo2().uordblks);
#endif
  }
  if (allocatedBytes.empty()) return;
  EXPECT_LT(static_cast<double>(allocatedBytes.back()), 1.1 * static_cast<double>(allocatedBytes[8]))
      << allocatedBytes[8] << " " << allocatedBytes.back();
}

}  // namespace
}  // namespace peargrade
