// Update scheduling: the message limit, priorities, and the limit of pending routes in the update channel.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <variant>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

// Whether an action counts as a route in the update channel.
bool isUpdateEntry(const Action& action) {
  return std::holds_alternative<SetRoute>(action) || std::holds_alternative<SetAdmission>(action) ||
         std::holds_alternative<SetEjection>(action);
}

// Size of the message of these actions to one proxy, in routes, overhead included; 0 if there is no message.
double messageSize(const std::vector<Action>& actions, const Settings& settings) {
  const auto entries = std::count_if(actions.begin(), actions.end(), isUpdateEntry);
  return entries > 0 ? settings.messageOverheadRoutes + 1 + static_cast<double>(entries) : 0;
}

// An update of the endpoint list in which servers 0 to `serverCount` - 1 are draining.
EndpointListUpdate drainingUpdate(const SimulatedSupervisor& supervisor, int serverCount) {
  EndpointListUpdate update;
  update.kind = EndpointListKind::Delta;
  for (int server = 0; server < serverCount; ++server) {
    update.endpoints.push_back(supervisor.endpoints.at(SimulatedSupervisor::serverName(server)));
    update.endpoints.back().state = EndpointState::Draining;
  }
  return update;
}

// ---- Message limit ----

TEST(UpdateScheduling, RollingDeployStaysWithinTheMessageLimitOfEachProxy) {
  Settings settings = testSettings();
  settings.messagesPerProxyMax = 8;
  SimulatedSupervisor supervisor(settings, 12);
  supervisor.startAndRun(24, 3 * kSecond);
  for (int index = 0; index < 11; ++index) {
    const ServerId server = SimulatedSupervisor::serverName(index);
    supervisor.updateEndpoint(server, EndpointState::Draining);
    supervisor.run(500 * kMillisecond);
    supervisor.updateEndpoint(server, EndpointState::Ready, supervisor.now);
    supervisor.run(250 * kMillisecond);
  }
  const std::vector<Micros>& updateTimes = supervisor.updateTimes;
  for (const Micros start : updateTimes) {
    const auto updatesInWindow = std::count_if(updateTimes.begin(), updateTimes.end(), [&](Micros time) {
      return time >= start && time < start + settings.messageWindow;
    });
    EXPECT_LE(updatesInWindow, 8);
  }
}

// Each connection of a proxy makes the supervisor send the admission ratios again.
TEST(UpdateScheduling, RoutineUpdatesLeaveMessageCapacityForADrain) {
  SimulatedSupervisor supervisor;
  supervisor.start(16);
  for (ProxyId proxy = 10; proxy < 50; ++proxy) {
    supervisor.handle({ProxyConnected{proxy, 0, 1, true}});
    supervisor.run(250 * kMillisecond);
  }
  supervisor.updateEndpoint("s_b", EndpointState::Draining);
  for (TableId slice = 0; slice < 16; ++slice)
    EXPECT_EQ(supervisor.routes[slice].count("s_b"), 0U) << "slice " << slice;
}

// ---- Priorities ----

// Under overload there are always admission ratios and migrations to publish: readmission must not wait until
// all of them are sent.
TEST(UpdateScheduling, ReadmissionIsSentBeforeAdmissionRatiosAndMigrations) {
  Settings settings = testSettings();
  settings.routesPerSecond = 60;  // 20 per second to each of three proxies
  settings.pendingRoutesMax = 120;
  settings.messagesPerProxyMax = 0;
  SimulatedSupervisor supervisor(settings, 12);
  supervisor.startAndRun(48, 12 * kSecond);
  supervisor.updateEndpoints(0, 4, EndpointState::Removed);
  supervisor.run(500 * kMillisecond);
  ASSERT_EQ(supervisor.ejectedServers.size(), 4U);
  for (int server = 4; server < 12; ++server)
    supervisor.latencies[SimulatedSupervisor::serverName(server)] = 1500 * kMillisecond;
  supervisor.updateEndpoints(0, 4, EndpointState::Ready, supervisor.now - 500 * kMillisecond);
  supervisor.run(2 * kSecond);
  EXPECT_TRUE(supervisor.ejectedServers.empty()) << supervisor.ejectedServers.size();
}

// ---- Limit of pending routes ----

TEST(UpdateScheduling, FullChannelDelaysUpdates) {
  Settings settings = testSettings();
  settings.routesPerSecond = 20;
  settings.pendingRoutesMax = 60;
  SimulatedSupervisor supervisor(settings);
  supervisor.acknowledgesUpdates = false;
  supervisor.startAndRun(8, 250 * kMillisecond);  // the first update fills the channel
  const std::size_t updates = supervisor.updateTimes.size();
  supervisor.updateEndpoint("s_b", EndpointState::Draining);
  EXPECT_EQ(supervisor.updateTimes.size(), updates);
  supervisor.run(5 * kSecond);
  EXPECT_EQ(supervisor.updateTimes.size(), updates) << "no acknowledgement shows that the channel is empty";
  supervisor.acknowledgesUpdates = true;
  for (ProxyId proxy = 0; proxy < 3; ++proxy)
    supervisor.pendingEvents.push_back(UpdateAcknowledged{proxy, 1, kMillisecond});
  supervisor.run(5 * kSecond);
  EXPECT_EQ(supervisor.primaryCount("s_b"), 0);
}

// The channel sends an update to all connected proxies, even if the supervisor has not read their events yet.
TEST(UpdateScheduling, FirstUpdatesCountForProxiesThatTheSupervisorDoesNotKnowYet) {
  Settings settings = testSettings();
  settings.slices = 500;
  settings.proxies = 300;
  SimulatedSupervisor supervisor(settings, 20);
  supervisor.acknowledgesUpdates = false;
  double pendingRoutes = 0;
  const auto handle = [&](const std::vector<Event>& events) {
    pendingRoutes += settings.proxies * messageSize(supervisor.handle(events), settings);
  };
  handle(supervisor.startEvents(500));  // three known proxies; every slice needs a backup route
  EXPECT_LE(pendingRoutes, settings.pendingRoutesMax);

  std::vector<Event> connections{TimerFired{"sweep"}};
  for (ProxyId proxy = 3; proxy < settings.proxies; ++proxy)
    connections.push_back(ProxyConnected{proxy, proxy % 2, 5, false});
  supervisor.now += 10 * kMillisecond;
  handle(connections);
  supervisor.now += 10 * kMillisecond;
  handle({drainingUpdate(supervisor, 15)});
  EXPECT_LE(pendingRoutes, settings.pendingRoutesMax);
}

// A large fleet. The parameter is the factor by which the channel is slower than the settings state.
class UpdateSchedulingAtFullSize : public testing::TestWithParam<double> {
 protected:
  static constexpr int kProxies = 300;
  static constexpr int kServers = 280;
  static constexpr TableId kSlices = 1000;
  static constexpr Micros kStep = 250 * kMillisecond;

  static Settings fullSizeSettings() {
    Settings settings = testSettings();
    settings.slices = 2 * kSlices;
    settings.routesPerSecond = 100000;
    settings.pendingRoutesMax = 100000;
    settings.drainGrace = 3 * kSecond;
    settings.messagesPerProxyMax = 0;
    return settings;
  }

  void start() {
    std::vector<Event> events = supervisor.startEvents(kSlices);
    for (ProxyId proxy = 3; proxy < kProxies; ++proxy)
      events.push_back(ProxyConnected{proxy, proxy % 2, 5, true});
    supervisor.acknowledgesUpdates = false;  // this fixture sends the acknowledgements
    handle(std::move(events));
  }
  void handle(std::vector<Event> events) {
    drainChannel();
    appendAcknowledgements(events);
    enqueue(supervisor.handle(events));
  }
  void run(Micros duration) {
    const Micros end = supervisor.now + duration;
    while (supervisor.now < end) {
      supervisor.now += kStep;
      std::vector<Event> events{TimerFired{"sweep"}};
      if (supervisor.now / kStep % 2 == 0) supervisor.appendLoadReports(events);
      handle(std::move(events));
    }
  }

  const Settings settings = fullSizeSettings();
  SimulatedSupervisor supervisor{settings, kServers};
  double maxPendingRoutes = 0;

 private:
  double channelRate() const { return settings.routesPerSecond / GetParam(); }

  void drainChannel() {
    const Micros elapsed = supervisor.now - lastDrainedAt_;
    pendingRoutes_ = std::max(0.0, pendingRoutes_ - channelRate() * static_cast<double>(elapsed) / kSecond);
    lastDrainedAt_ = supervisor.now;
  }
  void appendAcknowledgements(std::vector<Event>& events) {
    while (!acknowledgementTimes_.empty() && acknowledgementTimes_.begin()->first <= supervisor.now) {
      for (ProxyId proxy = 0; proxy < kProxies; ++proxy)
        events.push_back(UpdateAcknowledged{proxy, acknowledgementTimes_.begin()->second, kMillisecond});
      acknowledgementTimes_.erase(acknowledgementTimes_.begin());
    }
  }
  void enqueue(const std::vector<Action>& actions) {
    pendingRoutes_ += kProxies * messageSize(actions, settings);
    maxPendingRoutes = std::max(maxPendingRoutes, pendingRoutes_);
    const auto transmission = static_cast<Micros>(pendingRoutes_ / channelRate() * kSecond);
    for (const Action& action : actions) {
      const auto* request = std::get_if<AcknowledgementRequest>(&action);
      if (request != nullptr)
        acknowledgementTimes_[supervisor.now + settings.pushDelay + transmission] = request->updateId;
    }
  }

  double pendingRoutes_ = 0;
  Micros lastDrainedAt_ = supervisor.now;
  // Update ids by the time at which all proxies acknowledge the update.
  std::map<Micros, int> acknowledgementTimes_;
};

TEST_P(UpdateSchedulingAtFullSize, PendingRoutesStayWithinTheirLimitAndDrainsWithinTheirGrace) {
  constexpr int kDrainingServers = 90;
  start();
  run(10 * kSecond);
  handle({drainingUpdate(supervisor, kDrainingServers)});
  run(static_cast<Micros>(2 * kSecond * GetParam()));  // longer where the channel is slower
  for (TableId slice = 0; slice < kSlices; ++slice) {
    EXPECT_FALSE(supervisor.routes[slice].empty()) << "slice " << slice;
    for (int server = 0; server < kDrainingServers; ++server) {
      EXPECT_EQ(supervisor.routes[slice].count(SimulatedSupervisor::serverName(server)), 0U)
          << "slice " << slice;
    }
  }
  supervisor.setLatencies(kServers, 1500 * kMillisecond);
  run(15 * kSecond);
  EXPECT_LE(maxPendingRoutes, settings.pendingRoutesMax);
  EXPECT_LT(supervisor.admissionRatio(kAllTables, 0), 0.9) << "ratio that applies to all slices";
}

INSTANTIATE_TEST_SUITE_P(SlowdownFactors, UpdateSchedulingAtFullSize, testing::Values(1.0, 2.0, 4.0, 6.0),
                         [](const auto& info) {
                           return "Times" + std::to_string(static_cast<int>(info.param));
                         });

}  // namespace
}  // namespace peargrade
