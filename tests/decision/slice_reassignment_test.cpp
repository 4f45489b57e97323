// Slices that are taken and given back while an update of their routes may still be executed.
#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr TableId kSlice = 1;
constexpr char kOldServer[] = "s_b";

/// The outcome of the update, and whether the engine learns of it before the slice is given back.
struct Delivery {
  const char* name;
  DeliveryOutcome outcome;
  bool isReportedFirst;
};

/// The relay writes the slice's lines before it executes an update, and the engine handles them after it has
/// sent the update, because the two cross each other on the way.
class SliceReassignment : public testing::TestWithParam<Delivery> {
 protected:
  static Settings reportedDeliveries(SliceOwnership ownership) {
    Settings settings = testSettings();
    settings.deliveryReported = true;
    settings.sliceOwnership = ownership;
    return settings;
  }

  void start() {
    handleAndDeliver(supervisor.startEvents(8));
    run(8 * kSecond);
  }
  /// Sends an update that takes the slice off its server. Returns the update's id.
  int drainOldServer() { return updateIdOf(supervisor.updateEndpoint(kOldServer, EndpointState::Draining)); }
  /// Gives the slice back with its routes of before the update, some time after the update was sent.
  void giveBackWithOldRoutes(int updateId) {
    const UpdateDelivery delivery{updateId, GetParam().outcome, 1};
    if (GetParam().isReportedFirst) handleAndDeliver({delivery});
    supervisor.now += 100 * kMillisecond;
    handleAndDeliver({SliceAssignment{kSlice, false}, SliceAssignment{kSlice, true, StoredRoutes::Pending},
                      StoredRoute{kSlice, kOldServer, 1}, StoredRoutesComplete{kSlice}});
    if (!GetParam().isReportedFirst) handleAndDeliver({delivery});
  }
  void run(Micros duration) {
    for (const Micros end = supervisor.now + duration; supervisor.now < end;) {
      supervisor.now += 250 * kMillisecond;
      std::vector<Event> events{TimerFired{"sweep"}};
      events.insert(events.end(), supervisor.pendingEvents.begin(), supervisor.pendingEvents.end());
      supervisor.pendingEvents.clear();
      handleAndDeliver(events);
    }
  }
  /// Handles events. The relay accepts each update that follows.
  void handleAndDeliver(std::vector<Event> events) {
    for (int updateId = 0; updateId >= 0; events = {UpdateDelivery{updateId, DeliveryOutcome::Accepted, 1}})
      updateId = updateIdOf(supervisor.handle(events));
  }
  static int updateIdOf(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* request = std::get_if<AcknowledgementRequest>(&action)) return request->updateId;
    }
    return -1;
  }
  const SimulatedSupervisor::RouteTable& storedRoutes() { return supervisor.routes[kSlice]; }

  SimulatedSupervisor supervisor;
};

class SharedSliceReassignment : public SliceReassignment {
 protected:
  SharedSliceReassignment() {
    supervisor.settings = reportedDeliveries(SliceOwnership::Shared);
    supervisor.engine = DecisionEngine(1, supervisor.settings);
  }
};

// Guards against: a server that a slice has got by an update that the slice's lines do not show keeps the
// slice when it drains.
TEST_P(SharedSliceReassignment, LeavesADrainingServerThatOnlyAnEarlierUpdateNames) {
  start();
  const int updateId = drainOldServer();
  ASSERT_GE(updateId, 0);
  const ServerId newServer = supervisor.primaryServer(kSlice);
  ASSERT_NE(newServer, kOldServer);
  supervisor.updateEndpoint(kOldServer, EndpointState::Ready);
  giveBackWithOldRoutes(updateId);
  run(2 * kSecond);
  handleAndDeliver({});
  supervisor.endpoints[newServer].state = EndpointState::Draining;
  handleAndDeliver({supervisor.endpointList(EndpointListKind::Full)});
  run(supervisor.settings.drainGrace);
  EXPECT_EQ(storedRoutes().count(newServer), 0U) << testing::PrintToString(storedRoutes());
  EXPECT_FALSE(storedRoutes().empty());
}

// An update is remembered for a bounded time: after it the stored routes are taken as they are reported.
TEST_P(SharedSliceReassignment, TakesTheStoredRoutesAsTheyAreLongAfterAnUpdate) {
  start();
  const int updateId = drainOldServer();
  handleAndDeliver({UpdateDelivery{updateId, DeliveryOutcome::Accepted, 1}});
  run(8 * kSecond);
  giveBackWithOldRoutes(updateId);
  EXPECT_EQ(supervisor.countLogLines("was assigned within"), 0);
}

class SingleOwnerSliceReassignment : public SliceReassignment {
 protected:
  SingleOwnerSliceReassignment() {
    supervisor.settings = reportedDeliveries(SliceOwnership::SingleOwner);
    supervisor.engine = DecisionEngine(1, supervisor.settings);
  }
};

// Guards against: a slice stays without an owner because its lines do not show that an update removed it.
TEST_P(SingleOwnerSliceReassignment, HasAnOwnerAfterARemovalThatItsLinesDoNotShow) {
  start();
  const int updateId = drainOldServer();
  ASSERT_GE(updateId, 0);
  ASSERT_TRUE(storedRoutes().empty());
  supervisor.updateEndpoint(kOldServer, EndpointState::Ready);
  giveBackWithOldRoutes(updateId);
  run(supervisor.settings.lease + 3 * kSecond);
  EXPECT_EQ(storedRoutes().size(), 1U);
}

const Delivery kDeliveries[] = {
    {"AcceptedBefore", DeliveryOutcome::Accepted, true},
    {"AcceptedAfter", DeliveryOutcome::Accepted, false},
    {"IncompleteBefore", DeliveryOutcome::Incomplete, true},
    {"IncompleteAfter", DeliveryOutcome::Incomplete, false},
};

INSTANTIATE_TEST_SUITE_P(Outcomes, SharedSliceReassignment, testing::ValuesIn(kDeliveries),
                         [](const auto& info) { return std::string(info.param.name); });
INSTANTIATE_TEST_SUITE_P(Outcomes, SingleOwnerSliceReassignment, testing::ValuesIn(kDeliveries),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace peargrade
