// Update delivery: decisions while the outcome of an update is awaited, after incomplete deliveries, and
// after missed acknowledgements.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <variant>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

// The routes and ejections of an update as sorted text, such as "3 s_b removed" and "s_b ejected".
std::vector<std::string> describe(const std::vector<Action>& actions) {
  std::vector<std::string> entries;
  for (const Action& action : actions) {
    if (const auto* route = std::get_if<SetRoute>(&action)) {
      const char* change = route->weight > 0 ? " set" : " removed";
      entries.push_back(std::to_string(route->table) + " " + route->server + change);
    }
    if (const auto* ejection = std::get_if<SetEjection>(&action)) {
      const char* change = ejection->state == EjectionState::Ejected ? " ejected" : " readmitted";
      entries.push_back(ejection->server + change);
    }
  }
  std::sort(entries.begin(), entries.end());
  return entries;
}

// The id of the update that these actions form; -1 if they form none.
int updateIdOf(const std::vector<Action>& actions) {
  for (const Action& action : actions) {
    if (const auto* request = std::get_if<AcknowledgementRequest>(&action)) return request->updateId;
  }
  return -1;
}

class UpdateDeliveryTest : public testing::Test {
 protected:
  static Settings deliveryReportedSettings() {
    Settings settings = testSettings();
    settings.deliveryReported = true;
    return settings;
  }

  std::vector<Action> advanceAndHandle(const std::vector<Event>& events) {
    supervisor.now += 20 * kMillisecond;
    return supervisor.handle(events);
  }
  // Starts with 8 slices. The first update is accepted and acknowledged.
  void start() {
    supervisor.acknowledgesUpdates = false;
    const int updateId = updateIdOf(supervisor.handle(supervisor.startEvents(8)));
    std::vector<Event> events{UpdateDelivery{updateId, DeliveryOutcome::Accepted, 1}};
    appendAcknowledgements(events, updateId);
    advanceAndHandle(events);
    supervisor.now += 2 * kSecond;
  }
  static void appendAcknowledgements(std::vector<Event>& events, int updateId) {
    for (ProxyId proxy = 0; proxy < 3; ++proxy)
      events.push_back(UpdateAcknowledged{proxy, updateId, kMillisecond});
  }
  std::vector<Action> reportOutcome(const std::vector<Action>& update, DeliveryOutcome outcome,
                                    int messages = 1) {
    return advanceAndHandle({UpdateDelivery{updateIdOf(update), outcome, messages}});
  }
  // Resets the proxies to these routes, as if later updates had not been delivered.
  void revertProxiesTo(const std::map<TableId, SimulatedSupervisor::RouteTable>& routes) {
    supervisor.routes = routes;
    supervisor.ejectedServers.clear();
    supervisor.routesToEjectedServers.clear();
  }

  Settings settings = deliveryReportedSettings();
  SimulatedSupervisor supervisor{settings};
};

TEST_F(UpdateDeliveryTest, NextUpdateWaitsForTheOutcomeOfTheLast) {
  start();
  const std::vector<Action> first = supervisor.updateEndpoint("s_b", EndpointState::Draining);
  ASSERT_FALSE(describe(first).empty());
  EXPECT_TRUE(describe(supervisor.updateEndpoint("s_c", EndpointState::Draining)).empty());
  EXPECT_TRUE(describe(advanceAndHandle({TimerFired{"sweep"}})).empty());
  const int otherId = updateIdOf(first) - 1;
  EXPECT_TRUE(describe(advanceAndHandle({UpdateDelivery{otherId, DeliveryOutcome::Accepted, 1}})).empty())
      << "outcome of another update";
  EXPECT_FALSE(describe(reportOutcome(first, DeliveryOutcome::Accepted)).empty())
      << "the held decision is made at once, not at the next timer";
  EXPECT_EQ(supervisor.primaryCount("s_c"), 0);
}

TEST_F(UpdateDeliveryTest, UndeliveredRoutesAreSentAgainTogetherWithNewerOnes) {
  start();
  const auto routesBefore = supervisor.routes;
  const std::vector<Action> first = supervisor.updateEndpoint("s_b", EndpointState::Draining);
  supervisor.updateEndpoint("s_c", EndpointState::Draining);
  revertProxiesTo(routesBefore);
  const std::vector<std::string> next = describe(reportOutcome(first, DeliveryOutcome::Incomplete));
  for (TableId slice = 0; slice < 8; ++slice) {
    const auto& table = supervisor.routes[slice];
    EXPECT_FALSE(table.empty()) << "slice " << slice;
    EXPECT_EQ(table.count("s_b") + table.count("s_c"), 0U) << "slice " << slice;
  }
  std::set<std::string> changed;
  for (const std::string& entry : next) changed.insert(entry.substr(0, entry.rfind(' ')));
  EXPECT_EQ(changed.size(), next.size()) << "a route is set twice in one update";
}

TEST_F(UpdateDeliveryTest, UndeliveredRoutesOfAReassignedSliceAreNotRepeated) {
  start();
  const std::vector<Action> first = supervisor.updateEndpoint("s_b", EndpointState::Draining);
  advanceAndHandle({SliceAssignment{1, false}, SliceAssignment{1, true}, StoredRoute{1, "s_a", 1}});
  for (const std::string& entry : describe(reportOutcome(first, DeliveryOutcome::Incomplete)))
    EXPECT_TRUE(entry.compare(0, 2, "1 ") != 0 || entry.find("s_b") == std::string::npos) << entry;
}

// An update whose delivery is unknown may be in the channel, so capacity is needed for it and for its
// repetition. The test uses a drain because less urgent updates would wait for other reasons.
TEST_F(UpdateDeliveryTest, UpdateOfUnknownOutcomeCountsAsInFlightInAdditionToItsRepetition) {
  settings.pendingRoutesMax = 400;
  supervisor = SimulatedSupervisor(settings);
  start();
  std::vector<Action> update = supervisor.updateEndpoint("s_b", EndpointState::Draining);
  double pendingRoutes = 0;
  int messages = 0;
  for (int step = 0; step < 200; ++step) {
    const auto entries = std::count_if(update.begin(), update.end(), [](const Action& action) {
      return std::holds_alternative<SetRoute>(action) || std::holds_alternative<SetEjection>(action) ||
             std::holds_alternative<SetAdmission>(action);
    });
    if (entries > 0) {
      ++messages;
      pendingRoutes += 3 * (settings.messageOverheadRoutes + 1 + static_cast<double>(entries));
    }
    EXPECT_LE(pendingRoutes, settings.pendingRoutesMax) << "step " << step;
    update = reportOutcome(update, DeliveryOutcome::Incomplete);  // this channel never transmits anything
  }
  EXPECT_GE(messages, 2);
}

TEST_F(UpdateDeliveryTest, UpdateWithoutMessagesUsesNoChannelCapacity) {
  start();
  std::vector<Action> update = supervisor.updateEndpoint("s_b", EndpointState::Draining);
  for (int attempt = 0; attempt < 100; ++attempt) {
    update = reportOutcome(update, DeliveryOutcome::Incomplete, 0);
    ASSERT_GE(describe(update).size(), 4U) << "attempt " << attempt;
  }
}

// The removal of the old owner must be delivered and then acknowledged by all proxies, including those that
// connected in the meantime.
TEST_F(UpdateDeliveryTest, SingleOwnerSliceGetsNoNewOwnerWhileTheRemovalOfTheOldOneIsUndelivered) {
  settings.sliceOwnership = SliceOwnership::SingleOwner;
  settings.inFlightWriteMax = 20 * kMillisecond;
  supervisor = SimulatedSupervisor(settings);
  start();
  std::vector<Action> update = supervisor.updateEndpoint("s_b", EndpointState::Draining);
  const std::vector<std::string> removals = describe(update);
  ASSERT_GE(removals.size(), 2U);
  advanceAndHandle(
      {ProxyConnected{0, 0, 5, false}, ProxyConnected{1, 1, 5, false}, ProxyConnected{2, 0, 5, false}});
  supervisor.now += 2 * kSecond;
  update = reportOutcome(update, DeliveryOutcome::Incomplete);
  EXPECT_EQ(describe(update), removals);
  const int updateId = updateIdOf(update);
  EXPECT_TRUE(describe(advanceAndHandle(
                           {UpdateDelivery{updateId, DeliveryOutcome::Accepted, 1}, TimerFired{"sweep"}}))
                  .empty());
  std::vector<Event> acknowledgements;
  appendAcknowledgements(acknowledgements, updateId);
  advanceAndHandle(acknowledgements);
  supervisor.now += kSecond;
  EXPECT_EQ(describe(advanceAndHandle({TimerFired{"sweep"}})).size(), removals.size()) << "the new owners";
}

// ---- Updates that use most of the channel's capacity ----

class LargeUpdateDelivery : public UpdateDeliveryTest {
 protected:
  static constexpr int kServers = 60;
  static constexpr int kProxies = 3;
  static constexpr TableId kSlices = 120;

  LargeUpdateDelivery() {
    settings.slices = kSlices;
    settings.pendingRoutesMax = kProxies * 180;
    settings.routesPerSecond = settings.pendingRoutesMax / 1.5;
    supervisor = SimulatedSupervisor(settings, kServers);
    supervisor.reportsLoad = false;
    supervisor.acknowledgesUpdates = false;
  }

  bool isOutcomeAwaited() const { return updateIdOf(update) >= 0; }
  // Reports that the last update was accepted; proxies acknowledge it half a second later.
  void acceptUpdate() {
    const int updateId = updateIdOf(update);
    update = reportOutcome(update, DeliveryOutcome::Accepted);
    supervisor.now += 500 * kMillisecond;
    std::vector<Event> events;
    appendAcknowledgements(events, updateId);
    events.push_back(TimerFired{"sweep"});
    const std::vector<Action> next = supervisor.handle(events);
    if (!isOutcomeAwaited()) update = next;
  }
  // Sets half of the servers to draining. Returns the update of the endpoint list.
  EndpointListUpdate drainHalfTheFleet() {
    EndpointListUpdate draining{EndpointListKind::Delta, 0, {}};
    for (int index = 0; index < kServers / 2; ++index) {
      Endpoint& endpoint = supervisor.endpoints[SimulatedSupervisor::serverName(index)];
      endpoint.state = EndpointState::Draining;
      draining.endpoints.push_back(endpoint);
    }
    return draining;
  }

  // The actions of the last step. They form an update while its outcome is awaited.
  std::vector<Action> update;
};

// Guards against repeating the update only as one message: the channel would have no capacity for it until
// acknowledgements arrive, and the drain grace would expire.
TEST_F(LargeUpdateDelivery, UndeliveredUpdateIsSentAgainInPartsAndDrainsStayWithinTheirGrace) {
  update = supervisor.handle(supervisor.startEvents(kSlices));
  for (int step = 0; step < 40 && isOutcomeAwaited(); ++step) acceptUpdate();
  const EndpointListUpdate draining = drainHalfTheFleet();
  supervisor.now += 2 * kSecond;
  const Micros drainStart = supervisor.now;
  const auto routesBefore = supervisor.routes;
  update = supervisor.handle({draining});
  ASSERT_GE(static_cast<double>(describe(update).size()), 0.5 * settings.pendingRoutesMax / kProxies);
  revertProxiesTo(routesBefore);
  update = reportOutcome(update, DeliveryOutcome::Incomplete);
  for (int step = 0; step < 40 && supervisor.now - drainStart < settings.drainGrace; ++step) {
    if (isOutcomeAwaited()) {
      acceptUpdate();
      continue;
    }
    supervisor.now += 100 * kMillisecond;
    update = supervisor.handle({TimerFired{"sweep"}});
  }
  for (TableId slice = 0; slice < kSlices; ++slice) {
    EXPECT_FALSE(supervisor.routes[slice].empty()) << "slice " << slice;
    for (const auto& [server, weight] : supervisor.routes[slice])
      EXPECT_EQ(supervisor.endpoints[server].state, EndpointState::Ready) << "slice " << slice;
  }
}

/// A channel whose capacity is too small for all routes of a drain of half of the servers.
class MissedAcknowledgementsTest : public testing::Test {
 protected:
  static constexpr int kServers = 20;
  static constexpr int kDraining = 10;
  static constexpr int kSlices = 120;

  static Settings narrowChannelSettings() {
    Settings settings = testSettings();
    settings.slices = kSlices;
    settings.routesPerSecond = 160;
    settings.pendingRoutesMax = 240;
    return settings;
  }
  void drain(int first, int end) {
    EndpointListUpdate update{EndpointListKind::Delta, 0, {}};
    for (int index = first; index < end; ++index) {
      Endpoint& endpoint = supervisor.endpoints[SimulatedSupervisor::serverName(index)];
      endpoint.state = EndpointState::Draining;
      update.endpoints.push_back(endpoint);
    }
    supervisor.handle({update});
  }
  /// Half of the servers drain in two steps while acknowledgements are lost, as with a watch that delivers no
  /// more events. The first step fills the channel.
  void drainWithoutAcknowledgements() {
    supervisor.startAndRun(kSlices, 20 * kSecond);
    supervisor.acknowledgesUpdates = false;
    drain(0, kDraining / 2);
    supervisor.run(500 * kMillisecond);
    drain(kDraining / 2, kDraining);
    supervisor.run(2 * kSecond);
    supervisor.acknowledgesUpdates = true;
  }
  /// Slices whose requests may still go to a draining server.
  int slicesOnDrainingServers() const {
    int count = 0;
    for (int index = 0; index < kDraining; ++index) {
      const ServerId server = SimulatedSupervisor::serverName(index);
      for (const auto& [slice, table] : supervisor.routes) count += static_cast<int>(table.count(server));
    }
    return count;
  }

  Settings settings = narrowChannelSettings();
  SimulatedSupervisor supervisor{settings, kServers};
};

// Without the event, the engine would treat the channel as full until the slowest rate has emptied it.
TEST_F(MissedAcknowledgementsTest, DrainEndsWithinItsGraceOnceAcknowledgementsArriveAgain) {
  drainWithoutAcknowledgements();
  ASSERT_GT(slicesOnDrainingServers(), 0)
      << "the channel has capacity for the complete drain, so the test has no effect";
  supervisor.handle({AcknowledgementsMissed{}});
  supervisor.run(settings.drainGrace);
  EXPECT_EQ(slicesOnDrainingServers(), 0);
}

TEST_F(MissedAcknowledgementsTest, NoAcknowledgementRequestIsSentIfNothingIsInFlight) {
  supervisor.startAndRun(kSlices, 20 * kSecond);
  supervisor.run(20 * kSecond);
  const std::size_t updates = supervisor.updateTimes.size();
  supervisor.handle({AcknowledgementsMissed{}});
  supervisor.run(kSecond);
  EXPECT_EQ(supervisor.updateTimes.size(), updates);
}

}  // namespace
}  // namespace peargrade
