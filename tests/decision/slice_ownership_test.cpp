// Slices that are assigned to the supervisor or taken from it, and handovers of single-owner slices.
#include <gtest/gtest.h>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

TEST(SliceOwnership, UnassignedSliceGetsNoMoreRoutes) {
  SimulatedSupervisor supervisor;
  supervisor.startAndRun(8, 2 * kSecond);
  supervisor.handle({SliceAssignment{0, false}});
  for (const Action& action : supervisor.updateEndpoint("s_a", EndpointState::Draining)) {
    const auto* route = std::get_if<SetRoute>(&action);
    EXPECT_TRUE(route == nullptr || route->table != 0);
  }
  EXPECT_NE(supervisor.primaryServer(4), "s_a") << "the other slice of s_a";
}

// ---- Single owner ----

Settings singleOwnerSettings() {
  Settings settings = testSettings();
  settings.sliceOwnership = SliceOwnership::SingleOwner;
  return settings;
}

TEST(SingleOwnerSlice, GetsNoBackup) {
  SimulatedSupervisor supervisor(singleOwnerSettings());
  supervisor.startAndRun(8, 5 * kSecond);
  for (TableId slice = 0; slice < 8; ++slice)
    EXPECT_EQ(supervisor.routes[slice].size(), 1U) << "slice " << slice;
}

// A handover waits for acknowledgements. If a watch that delivers no events loses them, nothing
// else would cause another acknowledgement request: the engine must send one of its own.
TEST(SingleOwnerSlice, GetsANewOwnerAlthoughAcknowledgementsOfTheRemovalWereMissed) {
  SimulatedSupervisor supervisor(singleOwnerSettings());
  supervisor.startAndRun(8, 8 * kSecond);
  supervisor.acknowledgesUpdates = false;
  supervisor.updateEndpoint("s_b", EndpointState::Draining);
  supervisor.run(2500 * kMillisecond);
  ASSERT_TRUE(supervisor.routes[1].empty());
  supervisor.acknowledgesUpdates = true;
  supervisor.handle({AcknowledgementsMissed{}});
  supervisor.run(supervisor.settings.drainGrace);
  EXPECT_EQ(supervisor.routes[1].size(), 1U);
}

// The route to the old owner is removed first. The route to the new owner is set only after every proxy has
// acknowledged the removal, or lost its lease, and writes in flight have ended.
TEST(SingleOwnerSlice, GetsANewOwnerOnlyAfterWritesToTheOldOwnerHaveEnded) {
  Settings settings = singleOwnerSettings();
  settings.inFlightWriteMax = 20 * kMillisecond;
  settings.lease = 1500 * kMillisecond;
  SimulatedSupervisor supervisor(settings);
  supervisor.acknowledgesUpdates = false;
  supervisor.startAndRun(8, 8 * kSecond);
  int updateId = -1;
  for (const Action& action : supervisor.updateEndpoint("s_b", EndpointState::Draining)) {
    if (const auto* request = std::get_if<AcknowledgementRequest>(&action)) updateId = request->updateId;
  }
  ASSERT_GE(updateId, 0);
  EXPECT_TRUE(supervisor.routes[1].empty());
  supervisor.handle(
      {UpdateAcknowledged{0, updateId, kMillisecond}, UpdateAcknowledged{1, updateId, kMillisecond}});
  supervisor.run(kSecond);
  EXPECT_TRUE(supervisor.routes[1].empty()) << "proxy 2 has not acknowledged";
  supervisor.handle({ProxyDisconnected{2}});
  supervisor.run(kSecond);
  EXPECT_TRUE(supervisor.routes[1].empty()) << "proxy 2 may still write under its lease";
  supervisor.run(kSecond);
  EXPECT_EQ(supervisor.routes[1].size(), 1U);
  EXPECT_NE(supervisor.primaryServer(1), "s_b");
}

}  // namespace
}  // namespace peargrade
