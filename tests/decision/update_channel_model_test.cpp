// Model tests of the pending limit. A model of the update channel counts the routes in flight as the wire
// protocol defines them, while connections, disconnections, drains, restarts and incomplete deliveries are
// generated from fixed seeds. Sizes range from ten proxies to a large fleet.
#include <gtest/gtest.h>

#include <deque>
#include <functional>

#include "decision/random.h"
#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

/// A draining server is ready again, as a new process, after this time.
constexpr Micros kRestartAfterDrain = 9 * kSecond;

struct Case {
  int proxies;
  int slices;
  std::uint64_t seed;
};

class UpdateChannelModel : public testing::TestWithParam<Case> {
 protected:
  /// The message of an update to each of its receivers.
  struct Message {
    double routes;
    int updateId;
    std::set<ProxyId> receivers;  // those to which it has not been transmitted yet
  };

  /// A random integer from 0 to `limit` - 1.
  int randomBelow(int limit) { return static_cast<int>(random.next() % static_cast<std::uint64_t>(limit)); }
  bool occurs(double probability) { return random.uniform() < probability; }
  void schedule(Micros delay, std::function<void()> task) {
    scheduledTasks.emplace(supervisor->now + delay, std::move(task));
  }
  /// Adds an event to the batch of the next step.
  void addEvent(Event event) { events.push_back(std::move(event)); }

  void createSupervisor() {
    const Case& parameters = GetParam();
    settings.slices = parameters.slices;
    settings.proxies = parameters.proxies;
    settings.deliveryReported = true;
    settings.routesPerSecond = std::max(30000.0, parameters.slices * parameters.proxies / 6.0);
    settings.pendingRoutesMax = 1.5 * settings.routesPerSecond;
    settings.messageOverheadRoutes = 16;
    settings.messagesPerProxyMax = 30;
    supervisor = std::make_unique<SimulatedSupervisor>(settings, 20, parameters.seed);
    supervisor->acknowledgesUpdates = false;
    supervisor->reportsLoad = false;
  }

  /// The relay sends an update: one message, an overhead and the routes, to each proxy that is connected now.
  void sendMessages(const std::vector<Action>& update) {
    Message message{settings.messageOverheadRoutes + static_cast<double>(settings.classes.size()), 0,
                    connected};
    for (const Action& action : update) {
      const auto* admission = std::get_if<SetAdmission>(&action);
      // The ratios of the fleet are part of the overhead.
      message.routes += admission == nullptr || admission->table != kAllTables;
      if (const auto* request = std::get_if<AcknowledgementRequest>(&action))
        message.updateId = request->updateId;
    }
    inFlight += message.routes * static_cast<double>(message.receivers.size());
    enqueue(std::move(message));
    maxPendingShare = std::max(maxPendingShare, inFlight / settings.pendingRoutesMax);
    EXPECT_LE(inFlight, settings.pendingRoutesMax)
        << "at " << (supervisor->now - startedAt) / kMillisecond << " ms";
  }
  virtual void enqueue(Message message) { channel.push_back(std::move(message)); }
  /// Delivers the update in `actions`, if there is one. Depending on `unknownShare`, it may be delayed for up
  /// to 6 s, and its delivery may be reported as incomplete whether it is sent or not.
  void deliver(const std::vector<Action>& actions) {
    std::vector<Action> update;
    for (const Action& action : actions) {
      if (!std::holds_alternative<Log>(action) && !std::holds_alternative<SetTimer>(action))
        update.push_back(action);
    }
    if (update.empty() || !std::holds_alternative<AcknowledgementRequest>(update.back())) return;
    const int updateId = std::get<AcknowledgementRequest>(update.back()).updateId;
    const bool isUnknown = occurs(unknownShare);
    const bool isSent = !isUnknown || occurs(0.5);
    const Micros sendDelay = (occurs(unknownShare) ? randomBelow(6000) : 1 + randomBelow(40)) * kMillisecond;
    if (isSent) schedule(sendDelay, [=] { sendMessages(update); });
    schedule(sendDelay + (isUnknown ? 150 : 3) * kMillisecond, [=] {
      addEvent(
          UpdateDelivery{updateId, !isUnknown ? DeliveryOutcome::Accepted : DeliveryOutcome::Incomplete, 1});
    });
  }
  /// The supervisor receives the event up to 300 ms after the connection.
  void connect(ProxyId proxy) {
    connected.insert(proxy);
    schedule(randomBelow(300) * kMillisecond, [=] { addEvent(ProxyConnected{proxy, proxy % 2, 5, false}); });
  }
  virtual void disconnect(ProxyId proxy) {
    connected.erase(proxy);
    for (Message& message : channel) inFlight -= message.receivers.erase(proxy) > 0 ? message.routes : 0;
    schedule(randomBelow(300) * kMillisecond, [=] { addEvent(ProxyDisconnected{proxy}); });
  }
  /// Up to `count` servers start to drain at the same time, and restart later.
  void drain(int count) {
    for (int k = 0; k < count; ++k) {
      const std::string name = SimulatedSupervisor::serverName(randomBelow(20));
      EndpointListUpdate draining{EndpointListKind::Delta, 0, {supervisor->endpoints[name]}};
      draining.endpoints[0].state = EndpointState::Draining;
      addEvent(draining);
      schedule(kRestartAfterDrain, [=] {
        EndpointListUpdate restarted{EndpointListKind::Delta, 0, {supervisor->endpoints[name]}};
        restarted.endpoints[0].startedAt = supervisor->now;
        addEvent(restarted);
      });
    }
  }
  void step(Micros span) {
    supervisor->now += span;
    while (!scheduledTasks.empty() && scheduledTasks.begin()->first <= supervisor->now) {
      const auto task = scheduledTasks.begin()->second;
      scheduledTasks.erase(scheduledTasks.begin());
      task();
    }
    transmit(settings.routesPerSecond / slowdown * static_cast<double>(span) / kSecond);
    deliver(supervisor->handle(std::exchange(events, {TimerFired{"sweep"}})));
  }
  /// Transmits about `capacity` routes from the channel to the proxies, which acknowledge them later.
  virtual void transmit(double capacity) {
    while (!channel.empty() && capacity > 0) {
      Message& message = channel.front();
      for (; !message.receivers.empty() && capacity >= 0; capacity -= message.routes) {
        const ProxyId proxy = *message.receivers.begin();
        message.receivers.erase(message.receivers.begin());
        inFlight -= message.routes;
        const int updateId = message.updateId;
        if (proxy % 20 != 7)  // one proxy in 20 never acknowledges updates
          schedule(100 * kMillisecond + randomBelow(600) * kMillisecond, [=] {
            if (!isWatchSilent) addEvent(UpdateAcknowledged{proxy, updateId, kMillisecond});
          });
      }
      if (message.receivers.empty()) channel.pop_front();
    }
  }
  /// Starts the supervisor with the servers, slices and proxies of the parameters, and drains some servers.
  void start() {
    createSupervisor();
    const Case& parameters = GetParam();
    std::vector<Event> startEvents = supervisor->startEvents(parameters.slices);
    for (Event& event : startEvents) {  // `connect` adds the events of the proxies
      if (!std::holds_alternative<ProxyConnected>(event)) addEvent(std::move(event));
    }
    for (int proxy = 0; proxy < parameters.proxies; ++proxy) connect(proxy);
    step(20 * kMillisecond);
    drain(6);
    step(10 * kMillisecond);
  }
  /// Runs without further faults at the stated speed of the channel, and checks that no update is delayed
  /// forever: every slice ends up with routes to ready servers only.
  void expectAllSlicesRouted() {
    slowdown = 1;
    unknownShare = 0;
    for (int k = 0; k < 200; ++k) step(250 * kMillisecond);
    for (int slice = 0; slice < GetParam().slices; ++slice) {
      EXPECT_FALSE(supervisor->routes[slice].empty()) << slice;
      for (const auto& [server, weight] : supervisor->routes[slice])
        EXPECT_EQ(supervisor->endpoints[server].state, EndpointState::Ready) << slice;
    }
  }

  Settings settings = testSettings();
  std::unique_ptr<SimulatedSupervisor> supervisor;
  decision::Random random{GetParam().seed};
  const Micros startedAt = 1000 * kSecond;
  std::multimap<Micros, std::function<void()>> scheduledTasks;  // by due time
  std::vector<Event> events;                                    // of the next step
  std::set<ProxyId> connected;
  std::deque<Message> channel;
  double inFlight = 0;         // routes in flight, summed over the proxies
  double slowdown = 1;         // how many times slower the channel is than the settings state
  double unknownShare = 0;     // share of the updates whose delivery is unknown
  bool isWatchSilent = false;  // whether acknowledgements are lost
  double maxPendingShare = 0;  // largest number of routes in flight, as a share of the pending limit
};

TEST_P(UpdateChannelModel, PendingLimitHoldsAndEveryDrainingServerIsLeft) {
  start();
  const Case& parameters = GetParam();
  for (int round = 0; round < 8; ++round) {
    slowdown = 1 + random.uniform() * (parameters.seed % 2 == 1 ? 7 : 1);
    unknownShare = round % 2 == 1 ? 0.4 : 0;
    for (int k = 0; k < 4; ++k) {
      if (occurs(0.6)) drain(1 + randomBelow(5));
      const bool isMassReconnection = occurs(0.3);
      for (int proxy = 0; proxy < parameters.proxies; ++proxy) {
        if (!occurs(isMassReconnection ? 0.4 : 0.01)) continue;
        if (connected.count(proxy) > 0) disconnect(proxy);
        schedule(isMassReconnection ? 2 * kSecond : randomBelow(4000) * kMillisecond, [=] {
          if (connected.count(proxy) == 0) connect(proxy);
        });
      }
      for (int k2 = 0; k2 < 10; ++k2) step(100 * kMillisecond + randomBelow(150) * kMillisecond);
      if (HasFailure()) return;
    }
  }
  expectAllSlicesRouted();
}

// The acknowledgement requests that replace lost acknowledgements must not exceed the pending limit.
TEST_P(UpdateChannelModel, PendingLimitHoldsWhereTheWatchFallsSilent) {
  start();
  for (int round = 0; round < 12; ++round) {
    slowdown = 1 + random.uniform() * 7;
    isWatchSilent = round % 3 != 0;
    if (occurs(0.6)) drain(1 + randomBelow(5));
    for (int k = 0; k < 15; ++k) {
      step(100 * kMillisecond + randomBelow(150) * kMillisecond);
    }
    if (std::exchange(isWatchSilent, false)) addEvent(AcknowledgementsMissed{});
    if (HasFailure()) return;
  }
  expectAllSlicesRouted();
}

INSTANTIATE_TEST_SUITE_P(Sizes, UpdateChannelModel,
                         testing::Values(Case{10, 40, 1}, Case{10, 40, 2}, Case{150, 200, 3},
                                         Case{150, 200, 4}, Case{500, 280, 5}, Case{500, 280, 6},
                                         Case{2400, 285, 7}, Case{2400, 285, 8}, Case{2400, 1400, 9}),
                         [](const auto& info) {
                           return "Proxies" + std::to_string(info.param.proxies) + "Seed" +
                                  std::to_string(info.param.seed);
                         });

/// A channel in which each copy of a message gets a position in the queue when it is sent. Copies for a proxy
/// that disconnects keep their positions and still use transmission time, but messages sent later get
/// positions that are earlier by the size of these copies: they overtake copies sent before to other proxies.
/// The copies for one proxy stay in order.
class OvertakingChannelModel : public UpdateChannelModel {
 protected:
  /// The copy of a message for one proxy.
  struct Copy {
    ProxyId receiver;
    int connection;  // number of the receiver's connection when the copy was sent
    int updateId;
    double routes;
    double position;  // transmitted once transmittedPosition has reached this
  };

  void enqueue(Message message) override {
    for (const ProxyId proxy : message.receivers) {
      endPosition = std::max(endPosition, transmittedPosition) + message.routes;
      copies[proxy].push_back({proxy, connections[proxy], message.updateId, message.routes, endPosition});
    }
  }
  /// The supervisor receives the event up to 300 ms later. If the proxy reconnects and the event of the new
  /// connection is due before, both events are received together.
  void disconnect(ProxyId proxy) override {
    connected.erase(proxy);
    ++connections[proxy];
    for (Copy& copy : copies[proxy]) {
      endPosition -= copy.routes;
      copiesToDisconnected.push_back(copy);
    }
    copies[proxy].clear();
    unreportedDisconnections.insert(proxy);
    schedule(randomBelow(300) * kMillisecond, [=] {
      if (unreportedDisconnections.erase(proxy) > 0) addEvent(ProxyDisconnected{proxy});
    });
  }
  void reconnect(ProxyId proxy) {
    connected.insert(proxy);
    schedule(randomBelow(300) * kMillisecond, [=, connection = connections[proxy]] {
      if (connections[proxy] != connection) return;
      if (unreportedDisconnections.erase(proxy) > 0) {
        addEvent(ProxyDisconnected{proxy});
        ++lateDisconnectionEvents;
      }
      addEvent(ProxyConnected{proxy, proxy % 2, 5, true});
      reportedConnections[proxy] = connection;
    });
  }
  void transmit(double capacity) override {
    transmittedPosition += capacity;
    for (auto& [proxy, queue] : copies) {
      for (; !queue.empty() && queue.front().position <= transmittedPosition; queue.pop_front()) {
        inFlight -= queue.front().routes;
        if (proxy % 20 == 7) continue;  // one proxy in 20 never acknowledges updates
        schedule(100 * kMillisecond + randomBelow(600) * kMillisecond, [this, copy = queue.front()] {
          if (connections[copy.receiver] == copy.connection &&
              reportedConnections[copy.receiver] == copy.connection)
            addEvent(UpdateAcknowledged{copy.receiver, copy.updateId, kMillisecond});
        });
      }
    }
    for (std::size_t k = 0; k < copiesToDisconnected.size();) {
      if (copiesToDisconnected[k].position > transmittedPosition) {
        ++k;
        continue;
      }
      inFlight -= copiesToDisconnected[k].routes;
      copiesToDisconnected[k] = copiesToDisconnected.back();
      copiesToDisconnected.pop_back();
    }
  }
  /// Drains a server, but at most 10 of 20 at the same time: without ready servers there are no routes to
  /// send.
  void drainOneOfHalf() {
    while (!drainTimes.empty() && drainTimes.front() < supervisor->now - 9 * kSecond) drainTimes.pop_front();
    if (drainTimes.size() >= 10) return;
    drainTimes.push_back(supervisor->now);
    drain(1);
  }
  /// Disconnects most proxies. Each reconnects after at most 3.2 s.
  void disconnectMost() {
    for (int proxy = 0; proxy < GetParam().proxies; ++proxy) {
      if (connected.count(proxy) == 0 || !occurs(0.7)) continue;
      disconnect(proxy);
      schedule((occurs(0.3) ? randomBelow(200) : 1200 + randomBelow(2000)) * kMillisecond,
               [=] { reconnect(proxy); });
    }
  }

  std::map<ProxyId, std::deque<Copy>> copies;  // queued copies for connected proxies
  std::vector<Copy> copiesToDisconnected;      // queued copies for proxies that disconnected
  std::map<ProxyId, int> connections;          // number of connections of each proxy so far
  std::map<ProxyId, int> reportedConnections;  // the same, as far as their events were added
  std::deque<Micros> drainTimes;               // of the last 9 s
  std::set<ProxyId> unreportedDisconnections;  // disconnected proxies whose event was not added yet
  double transmittedPosition = 0;              // copies up to this position of the queue were transmitted
  double endPosition = 0;                      // end of the queue
  int lateDisconnectionEvents = 0;             // disconnections reported only with the next connection
};

TEST_P(OvertakingChannelModel, PendingLimitHoldsWhenMostProxiesAreKilledAndReconnect) {
  start();
  for (int round = 0; round < 10; ++round) {
    slowdown = 1 + random.uniform() * 7;
    for (int k = 0; k < 10; ++k) {
      drainOneOfHalf();
      step(100 * kMillisecond + randomBelow(150) * kMillisecond);
    }
    disconnectMost();
    for (int k = 0; k < 40; ++k) {
      if (occurs(0.3)) drainOneOfHalf();
      step(50 * kMillisecond + randomBelow(150) * kMillisecond);
    }
    if (HasFailure()) return;
  }
  EXPECT_GT(lateDisconnectionEvents, 0);
  EXPECT_GT(maxPendingShare, GetParam().proxies < 100 ? 0 : 0.5) << "the channel was never filled";
  expectAllSlicesRouted();
}

// If every server drains in turn, all may be ejected at the same time. Once all are ready again, the first
// must be readmitted within the time for which a slice may be unroutable.
TEST_P(OvertakingChannelModel, ServersAreReadmittedAfterAllOfThemDrained) {
  start();
  for (int round = 0; round < 10; ++round) {
    slowdown = 1 + random.uniform() * 7;
    for (int k = 0; k < 10; ++k) {
      drain(1);
      step(100 * kMillisecond + randomBelow(150) * kMillisecond);
    }
    disconnectMost();
    for (int k = 0; k < 40; ++k) {
      if (occurs(0.3)) drain(1);
      step(50 * kMillisecond + randomBelow(150) * kMillisecond);
    }
  }
  for (Micros end = supervisor->now + kRestartAfterDrain; supervisor->now < end;) step(100 * kMillisecond);
  for (Micros end = supervisor->now + settings.unroutableMax; supervisor->now < end;)
    step(100 * kMillisecond);
  EXPECT_LT(supervisor->ejectedServers.size(), supervisor->endpoints.size());
  expectAllSlicesRouted();
}

INSTANTIATE_TEST_SUITE_P(Sizes, OvertakingChannelModel,
                         testing::Values(Case{10, 40, 1}, Case{150, 200, 3}, Case{500, 280, 5},
                                         Case{500, 280, 6}, Case{2400, 285, 7}, Case{2400, 285, 8},
                                         Case{150, 200, 125}),
                         [](const auto& info) {
                           return "Proxies" + std::to_string(info.param.proxies) + "Seed" +
                                  std::to_string(info.param.seed);
                         });

}  // namespace
}  // namespace peargrade
