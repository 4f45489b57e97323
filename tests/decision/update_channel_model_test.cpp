// The pending limit against a model of the update channel that counts routes as the wire's page says:
// generated connections, disconnections, drains, restarts and incomplete deliveries, from fixed seeds, at
// sizes from a few proxies to a fleet.
#include <gtest/gtest.h>

#include <deque>
#include <functional>

#include "decision/random.h"
#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

/// A server that drains is back, as a new process, after this time.
constexpr Micros kBackAfterDrain = 9 * kSecond;

struct Case {
  int proxies;
  int slices;
  std::uint64_t seed;
};

class UpdateChannelModel : public testing::TestWithParam<Case> {
 protected:
  /// One message of an update, as far as it has not left.
  struct Message {
    double routes;
    int updateId;
    std::set<ProxyId> to;
  };

  int pick(int n) { return static_cast<int>(chance.next() % static_cast<std::uint64_t>(n)); }
  bool likely(double p) { return chance.uniform() < p; }
  void schedule(Micros delay, std::function<void()> task) {
    agenda.emplace(supervisor->now + delay, std::move(task));
  }
  void post(Event event) { events.push_back(std::move(event)); }

  void begin() {
    const Case& c = GetParam();
    settings.slices = c.slices;
    settings.proxies = c.proxies;
    settings.deliveryReported = true;
    settings.routesPerSecond = std::max(30000.0, c.slices * c.proxies / 6.0);
    settings.pendingRoutesMax = 1.5 * settings.routesPerSecond;
    settings.messageOverheadRoutes = 16;
    settings.messagesPerProxyMax = 30;
    supervisor = std::make_unique<SimulatedSupervisor>(settings, 20, c.seed);
    supervisor->acknowledgesUpdates = false;
    supervisor->reportsLoad = false;
  }

  /// The relay sends an update: a message of an overhead and its routes to each proxy connected by then.
  void sendMessages(const std::vector<Action>& update) {
    Message m{settings.messageOverheadRoutes + static_cast<double>(settings.classes.size()), 0, connected};
    for (const Action& a : update) {
      const auto* admission = std::get_if<SetAdmission>(&a);
      m.routes +=
          admission == nullptr || admission->table != kAllTables;  // the fleet's ratios are in the overhead
      if (const auto* request = std::get_if<AcknowledgementRequest>(&a)) m.updateId = request->updateId;
    }
    inFlight += m.routes * static_cast<double>(m.to.size());
    enqueue(std::move(m));
    most = std::max(most, inFlight / settings.pendingRoutesMax);
    EXPECT_LE(inFlight, settings.pendingRoutesMax)
        << "at " << (supervisor->now - startedAt) / kMillisecond << " ms";
  }
  virtual void enqueue(Message m) { channel.push_back(std::move(m)); }
  /// Each update is delivered, or its delivery is unknown and it was sent or not, or it is delayed for long.
  void deliver(const std::vector<Action>& out) {
    std::vector<Action> update;
    for (const Action& a : out) {
      if (!std::holds_alternative<Log>(a) && !std::holds_alternative<SetTimer>(a)) update.push_back(a);
    }
    if (update.empty() || !std::holds_alternative<AcknowledgementRequest>(update.back())) return;
    const int updateId = std::get<AcknowledgementRequest>(update.back()).updateId;
    const bool isUnknown = likely(unknownShare);
    const bool isSent = !isUnknown || likely(0.5);
    const Micros sentAfter = (likely(unknownShare) ? pick(6000) : 1 + pick(40)) * kMillisecond;
    if (isSent) schedule(sentAfter, [=] { sendMessages(update); });
    schedule(sentAfter + (isUnknown ? 150 : 3) * kMillisecond, [=] {
      post(UpdateDelivery{updateId, !isUnknown ? DeliveryOutcome::Accepted : DeliveryOutcome::Incomplete, 1});
    });
  }
  void connect(ProxyId p) {
    connected.insert(p);
    schedule(pick(300) * kMillisecond, [=] {
      post(ProxyConnected{p, p % 2, 5, false});
    });  // its event comes later
  }
  virtual void disconnect(ProxyId p) {
    connected.erase(p);
    for (Message& m : channel) inFlight -= m.to.erase(p) > 0 ? m.routes : 0;
    schedule(pick(300) * kMillisecond, [=] { post(ProxyDisconnected{p}); });
  }
  /// Servers drain together, and restart.
  void drain(int count) {
    for (int k = 0; k < count; ++k) {
      const std::string name = SimulatedSupervisor::serverName(pick(20));
      EndpointListUpdate draining{EndpointListKind::Delta, 0, {supervisor->endpoints[name]}};
      draining.endpoints[0].state = EndpointState::Draining;
      post(draining);
      schedule(kBackAfterDrain, [=] {
        EndpointListUpdate back{EndpointListKind::Delta, 0, {supervisor->endpoints[name]}};
        back.endpoints[0].startedAt = supervisor->now;
        post(back);
      });
    }
  }
  void step(Micros span) {
    supervisor->now += span;
    while (!agenda.empty() && agenda.begin()->first <= supervisor->now) {
      const auto task = agenda.begin()->second;
      agenda.erase(agenda.begin());
      task();
    }
    drainChannel(settings.routesPerSecond / slow * static_cast<double>(span) / kSecond);
    deliver(supervisor->handle(std::exchange(events, {TimerFired{"sweep"}})));
  }
  virtual void drainChannel(double capacity) {
    while (!channel.empty() && capacity > 0) {
      Message& m = channel.front();
      for (; !m.to.empty() && capacity >= 0; capacity -= m.routes) {
        const ProxyId p = *m.to.begin();
        m.to.erase(m.to.begin());
        inFlight -= m.routes;
        const int updateId = m.updateId;
        if (p % 20 != 7)  // some never answer
          schedule(100 * kMillisecond + pick(600) * kMillisecond, [=] {
            if (!isWatchSilent) post(UpdateAcknowledged{p, updateId, kMillisecond});
          });
      }
      if (m.to.empty()) channel.pop_front();
    }
  }
  /// The servers, slices and proxies that every test begins with, and a first drain.
  void start() {
    begin();
    const Case& c = GetParam();
    std::vector<Event> ev = supervisor->startEvents(c.slices);
    for (Event& e : ev) {  // the proxies connect before their events
      if (!std::holds_alternative<ProxyConnected>(e)) post(std::move(e));
    }
    for (int p = 0; p < c.proxies; ++p) connect(p);
    step(20 * kMillisecond);
    drain(6);
    step(10 * kMillisecond);
  }
  /// The channel is as fast as stated again, and nothing more happens: no update is held back for good.
  void expectAllServed() {
    slow = 1;
    unknownShare = 0;
    for (int k = 0; k < 200; ++k) step(250 * kMillisecond);
    for (int t = 0; t < GetParam().slices; ++t) {
      EXPECT_FALSE(supervisor->routes[t].empty()) << t;
      for (const auto& [server, w] : supervisor->routes[t])
        EXPECT_EQ(supervisor->endpoints[server].state, EndpointState::Ready) << t;
    }
  }

  Settings settings = testSettings();
  std::unique_ptr<SimulatedSupervisor> supervisor;
  decision::Random chance{GetParam().seed};
  const Micros startedAt = 1000 * kSecond;
  std::multimap<Micros, std::function<void()>> agenda;
  std::vector<Event> events;
  std::set<ProxyId> connected;
  std::deque<Message> channel;
  double inFlight = 0;         // routes, of all proxies
  double slow = 1;             // times slower than the settings say
  double unknownShare = 0;     // of the updates
  bool isWatchSilent = false;  // acknowledgements are lost
  double most = 0;             // routes in flight at a time, as a share of the pending limit
};

TEST_P(UpdateChannelModel, PendingLimitHoldsAndEveryDrainingServerIsLeft) {
  start();
  const Case& c = GetParam();
  for (int round = 0; round < 8; ++round) {
    slow = 1 + chance.uniform() * (c.seed % 2 == 1 ? 7 : 1);
    unknownShare = round % 2 == 1 ? 0.4 : 0;
    for (int k = 0; k < 4; ++k) {
      if (likely(0.6)) drain(1 + pick(5));
      const bool crowd = likely(0.3);
      for (int p = 0; p < c.proxies; ++p) {
        if (!likely(crowd ? 0.4 : 0.01)) continue;
        if (connected.count(p) > 0) disconnect(p);
        schedule(crowd ? 2 * kSecond : pick(4000) * kMillisecond, [=] {
          if (connected.count(p) == 0) connect(p);
        });
      }
      for (int k2 = 0; k2 < 10; ++k2) step(100 * kMillisecond + pick(150) * kMillisecond);
      if (HasFailure()) return;
    }
  }
  expectAllServed();
}

// What makes up for lost acknowledgements must not overfill the channel.
TEST_P(UpdateChannelModel, PendingLimitHoldsWhereTheWatchFallsSilent) {
  start();
  for (int round = 0; round < 12; ++round) {
    slow = 1 + chance.uniform() * 7;
    isWatchSilent = round % 3 != 0;
    if (likely(0.6)) drain(1 + pick(5));
    for (int k = 0; k < 15; ++k) {
      step(100 * kMillisecond + pick(150) * kMillisecond);
    }
    if (std::exchange(isWatchSilent, false)) post(AcknowledgementsMissed{});
    if (HasFailure()) return;
  }
  expectAllServed();
}

INSTANTIATE_TEST_SUITE_P(Sizes, UpdateChannelModel,
                         testing::Values(Case{10, 40, 1}, Case{10, 40, 2}, Case{150, 200, 3},
                                         Case{150, 200, 4}, Case{500, 280, 5}, Case{500, 280, 6},
                                         Case{2400, 285, 7}, Case{2400, 285, 8}, Case{2400, 1400, 9}),
                         [](const auto& info) {
                           return "Proxies" + std::to_string(info.param.proxies) + "Seed" +
                                  std::to_string(info.param.seed);
                         });

/// A channel where each copy of a message has its turn from when it is sent. Copies for a proxy that
/// disconnects still take theirs, but what is sent later moves forward by as much: it overtakes copies sent
/// before to other proxies. A proxy's own copies stay in order.
class OvertakingChannelModel : public UpdateChannelModel {
 protected:
  struct Copy {
    ProxyId to;
    int connection;
    int updateId;
    double routes;
    double turn;
  };

  void enqueue(Message m) override {
    for (const ProxyId p : m.to) {
      end = std::max(end, served) + m.routes;
      copies[p].push_back({p, connections[p], m.updateId, m.routes, end});
    }
  }
  /// The event comes late, or with its connection where the proxy is back before that.
  void disconnect(ProxyId p) override {
    connected.erase(p);
    ++connections[p];
    for (Copy& c : copies[p]) {
      end -= c.routes;
      dead.push_back(c);
    }
    copies[p].clear();
    unread.insert(p);
    schedule(pick(300) * kMillisecond, [=] {
      if (unread.erase(p) > 0) post(ProxyDisconnected{p});
    });
  }
  void reconnect(ProxyId p) {
    connected.insert(p);
    schedule(pick(300) * kMillisecond, [=, connection = connections[p]] {
      if (connections[p] != connection) return;
      if (unread.erase(p) > 0) {
        post(ProxyDisconnected{p});
        ++crossed;
      }
      post(ProxyConnected{p, p % 2, 5, true});
      known[p] = connection;
    });
  }
  void drainChannel(double capacity) override {
    served += capacity;
    for (auto& [p, queue] : copies) {
      for (; !queue.empty() && queue.front().turn <= served; queue.pop_front()) {
        inFlight -= queue.front().routes;
        if (p % 20 == 7) continue;  // some never answer
        schedule(100 * kMillisecond + pick(600) * kMillisecond, [this, c = queue.front()] {
          if (connections[c.to] == c.connection && known[c.to] == c.connection)
            post(UpdateAcknowledged{c.to, c.updateId, kMillisecond});
        });
      }
    }
    for (std::size_t k = 0; k < dead.size();) {
      if (dead[k].turn > served) {
        ++k;
        continue;
      }
      inFlight -= dead[k].routes;
      dead[k] = dead.back();
      dead.pop_back();
    }
  }
  /// Half of the servers stay: without any there would be nothing to update.
  void drainSome() {
    while (!drains.empty() && drains.front() < supervisor->now - 9 * kSecond) drains.pop_front();
    if (drains.size() >= 10) return;
    drains.push_back(supervisor->now);
    drain(1);
  }
  void killMost() {
    for (int p = 0; p < GetParam().proxies; ++p) {
      if (connected.count(p) == 0 || !likely(0.7)) continue;
      disconnect(p);
      schedule((likely(0.3) ? pick(200) : 1200 + pick(2000)) * kMillisecond, [=] { reconnect(p); });
    }
  }

  std::map<ProxyId, std::deque<Copy>> copies;
  std::vector<Copy> dead;
  std::map<ProxyId, int> connections;  // of each proxy so far
  std::map<ProxyId, int> known;        // the same, as far as events were read
  std::deque<Micros> drains;           // of the last 9 s
  std::set<ProxyId> unread;            // its leaving is not events yet
  double served = 0, end = 0;          // of all lines: those whose turn has come, and the next turn
  int crossed = 0;                     // came back before its leaving was events
};

TEST_P(OvertakingChannelModel, PendingLimitHoldsWhenMostProxiesAreKilledAndReconnect) {
  start();
  for (int round = 0; round < 10; ++round) {
    slow = 1 + chance.uniform() * 7;
    for (int k = 0; k < 10; ++k) {
      drainSome();
      step(100 * kMillisecond + pick(150) * kMillisecond);
    }
    killMost();
    for (int k = 0; k < 40; ++k) {
      if (likely(0.3)) drainSome();
      step(50 * kMillisecond + pick(150) * kMillisecond);
    }
    if (HasFailure()) return;
  }
  EXPECT_GT(crossed, 0);
  EXPECT_GT(most, GetParam().proxies < 100 ? 0 : 0.5) << "the channel was never filled";
  expectAllServed();
}

// Where every server drains in turn, all may be ejected at once: once all are ready again, the first is
// readmitted within the time for which a slice may be unroutable.
TEST_P(OvertakingChannelModel, ServersAreReadmittedAfterAllOfThemDrained) {
  start();
  for (int round = 0; round < 10; ++round) {
    slow = 1 + chance.uniform() * 7;
    for (int k = 0; k < 10; ++k) {
      drain(1);
      step(100 * kMillisecond + pick(150) * kMillisecond);
    }
    killMost();
    for (int k = 0; k < 40; ++k) {
      if (likely(0.3)) drain(1);
      step(50 * kMillisecond + pick(150) * kMillisecond);
    }
  }
  for (Micros end = supervisor->now + kBackAfterDrain; supervisor->now < end;) step(100 * kMillisecond);
  for (Micros end = supervisor->now + settings.unroutableMax; supervisor->now < end;)
    step(100 * kMillisecond);
  EXPECT_LT(supervisor->ejectedServers.size(), supervisor->endpoints.size());
  expectAllServed();
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
