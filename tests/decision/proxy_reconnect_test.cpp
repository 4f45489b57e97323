// Proxies that disconnect and connect again hold the ejections that the engine believes to be in force.
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

/// When the engine learns that a stream broke.
enum class BreakReport {
  AtOnce,
  AtReconnect,       // the break is reported together with the new connection
  MissedByTheWatch,  // the watch was silent from before the break until after the new connection
};

struct ReconnectCase {
  std::string name;
  BreakReport report;
  /// Time between the removal of the server from the list and the new connection.
  Micros disconnectedFor;
};

/// Number of seeds of the generated days. A longer run is started by hand with this environment variable.
constexpr char kSeedsVariable[] = "PEARGRADE_RECONNECT_SEEDS";
constexpr int kDefaultSeeds = 200;

int seedCount() {
  const char* const seeds = std::getenv(kSeedsVariable);
  return seeds != nullptr ? std::atoi(seeds) : kDefaultSeeds;
}

/// Three proxies, each with the ejections that it has applied. A proxy keeps them over a broken stream.
class ProxyReconnectFixture {
 protected:
  static constexpr Micros kStep = 250 * kMillisecond;
  static constexpr ProxyId kProxies = 3;
  static constexpr ProxyId kReconnecting = 2;

  void start() {
    supervisor.acknowledgesUpdates = false;  // this fixture sends the acknowledgements
    for (ProxyId proxy = 0; proxy < kProxies; ++proxy) connected.insert(proxy);
    handle(supervisor.startEvents(8));
    run(4 * kSecond);
  }
  void handle(const std::vector<Event>& events) { deliver(supervisor.handle(events)); }
  void step() {
    supervisor.now += kStep;
    std::vector<Event> events{TimerFired{"sweep"}};
    events.insert(events.end(), acknowledgements_.begin(), acknowledgements_.end());
    acknowledgements_.clear();
    supervisor.appendLoadReports(events);
    handle(events);
  }
  void run(Micros duration) {
    for (const Micros end = supervisor.now + duration; supervisor.now < end;) step();
  }
  /// Runs until the engine has published `state` for `server`.
  void runUntil(const ServerId& server, EjectionState state) {
    const Micros end = supervisor.now + 10 * kSecond;
    while (supervisor.now < end && (published.count(server) == 0 || published[server] != state)) step();
    ASSERT_EQ(published.count(server), 1U) << server;
    ASSERT_EQ(published[server], state) << server;
  }
  void drain(const ServerId& server) { deliver(supervisor.updateEndpoint(server, EndpointState::Draining)); }
  void restart(const ServerId& server) {
    deliver(supervisor.updateEndpoint(server, EndpointState::Ready, supervisor.now));
  }
  static Endpoint removed(const ServerId& server) {
    Endpoint endpoint;
    endpoint.server = server;
    endpoint.state = EndpointState::Removed;
    return endpoint;
  }
  /// Replaces the engine by a new one. The proxies keep the ejections that they have applied.
  void restartSupervisor() {
    acknowledgements_.clear();
    supervisor.engine = DecisionEngine(2, supervisor.settings);
    std::vector<Event> events{supervisor.endpointList(EndpointListKind::Cached),
                              supervisor.endpointList(EndpointListKind::Full)};
    for (const ProxyId proxy : connected) events.push_back(ProxyConnected{proxy, 0, 5, false});
    for (const TableId slice : std::set<TableId>(supervisor.assignedSlices)) {
      events.push_back(SliceAssignment{slice, true});
      for (const auto* tables : {&supervisor.routes, &supervisor.routesToEjectedServers}) {
        if (tables->count(slice) == 0) continue;
        for (const auto& [server, weight] : tables->at(slice))
          events.push_back(StoredRoute{slice, server, weight});
      }
    }
    handle(events);
  }

  SimulatedSupervisor supervisor{testSettings()};
  std::set<ProxyId> connected;
  std::map<ProxyId, std::set<ServerId>> ejectedAt;
  std::map<ServerId, EjectionState> published;
  int readmissionCount = 0;

 private:
  void deliver(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
      if (const auto* ejection = std::get_if<SetEjection>(&action)) deliver(*ejection);
      if (const auto* request = std::get_if<AcknowledgementRequest>(&action)) acknowledge(*request);
    }
  }
  void deliver(const SetEjection& ejection) {
    published[ejection.server] = ejection.state;
    readmissionCount += ejection.state == EjectionState::Readmitted ? 1 : 0;
    for (const ProxyId proxy : connected) {
      if (ejection.state == EjectionState::Ejected)
        ejectedAt[proxy].insert(ejection.server);
      else
        ejectedAt[proxy].erase(ejection.server);
    }
  }
  void acknowledge(const AcknowledgementRequest& request) {
    for (const ProxyId proxy : connected)
      acknowledgements_.push_back(UpdateAcknowledged{proxy, request.updateId, kMillisecond});
  }

  std::vector<Event> acknowledgements_;
};

class ProxyReconnectAtRestart : public testing::Test, protected ProxyReconnectFixture {};

class ProxyReconnect : public testing::TestWithParam<ReconnectCase>, protected ProxyReconnectFixture {
 protected:
  /// From now on updates are lost for the proxy.
  void breakStream() {
    connected.erase(kReconnecting);
    if (GetParam().report == BreakReport::AtOnce) handle({ProxyDisconnected{kReconnecting}});
  }
  void connect() {
    connected.insert(kReconnecting);
    if (GetParam().report == BreakReport::MissedByTheWatch) return handle({AcknowledgementsMissed{}});
    if (GetParam().report == BreakReport::AtReconnect) handle({ProxyDisconnected{kReconnecting}});
    handle({ProxyConnected{kReconnecting, 0, 5, false}});
  }
};

// Guards against: a proxy whose stream broke before the readmission of a server ignores that server for good.
TEST_P(ProxyReconnect, ReadmissionReachesAProxyThatMissedIt) {
  start();
  drain("s_b");
  runUntil("s_b", EjectionState::Ejected);
  breakStream();
  runUntil("s_b", EjectionState::Readmitted);
  ASSERT_EQ(ejectedAt[kReconnecting], std::set<ServerId>{"s_b"});
  handle({EndpointListUpdate{EndpointListKind::Delta, 0, {removed("s_b")}}});
  run(GetParam().disconnectedFor);
  connect();
  run(2 * kSecond);
  restart("s_b");
  run(2 * kSecond);
  for (ProxyId proxy = 0; proxy < kProxies; ++proxy)
    EXPECT_EQ(ejectedAt[proxy], std::set<ServerId>()) << "proxy " << proxy;
}

// Guards against: repeated readmissions that no connected proxy has missed use up the channel.
TEST_P(ProxyReconnect, ReadmissionIsNotRepeatedForAProxyThatHasAppliedIt) {
  start();
  drain("s_b");
  runUntil("s_b", EjectionState::Readmitted);
  run(kSecond);
  const int readmissions = readmissionCount;
  breakStream();
  run(GetParam().disconnectedFor);
  connect();
  run(4 * kSecond);
  EXPECT_EQ(readmissionCount, readmissions);
}

// Guards against: proxies ignore a server for good that was ejected before the supervisor restarted, and that
// started again before the new supervisor process did.
TEST_F(ProxyReconnectAtRestart, ServerThatThePredecessorEjectedIsReadmitted) {
  start();
  drain("s_b");
  runUntil("s_b", EjectionState::Ejected);
  supervisor.endpoints["s_b"].state = EndpointState::Ready;
  supervisor.endpoints["s_b"].startedAt = supervisor.now;
  supervisor.now += 10 * kSecond;
  restartSupervisor();
  run(2 * kSecond);
  for (ProxyId proxy = 0; proxy < kProxies; ++proxy)
    EXPECT_EQ(ejectedAt[proxy], std::set<ServerId>()) << "proxy " << proxy;
}

TEST_F(ProxyReconnectAtRestart, NoReadmissionIsPublishedForServersThatWereNotRestarted) {
  start();
  restartSupervisor();
  run(4 * kSecond);
  EXPECT_EQ(readmissionCount, 0);
}

/// Draws drains and restarts of servers, breaks and reconnects of streams, and restarts of the supervisor.
class GeneratedReconnects : protected ProxyReconnectFixture {
 public:
  explicit GeneratedReconnects(unsigned seed) : random_(seed) {}

  /// Runs a generated day, at the end of which all servers are ready and all proxies are connected. Returns
  /// the servers that a proxy treats as ejected then.
  std::set<ServerId> run() {
    start();
    for (int k = 0; k < kSteps; ++k) {
      changeServers();
      changeStreams();
      if (chance(kSupervisorRestarts)) restartEngine();
      step();
    }
    for (const ServerId& server : std::set<ServerId>(draining_)) restartServer(server);
    for (const auto& [proxy, report] : std::map<ProxyId, BreakReport>(broken_)) reconnect(proxy, report);
    ProxyReconnectFixture::run(kSettlingTime);
    std::set<ServerId> ejected;
    for (const auto& [proxy, servers] : ejectedAt) ejected.insert(servers.begin(), servers.end());
    return ejected;
  }

 private:
  static constexpr int kSteps = 160;
  static constexpr Micros kSettlingTime = 12 * kSecond;
  static constexpr double kServerChanges = 0.08;
  static constexpr double kStreamChanges = 0.12;
  static constexpr double kSupervisorRestarts = 0.01;

  bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
  int below(int limit) { return std::uniform_int_distribution<int>(0, limit - 1)(random_); }

  /// The new engine is told of the connected proxies only.
  void restartEngine() {
    restartSupervisor();
    for (auto& [proxy, report] : broken_) report = BreakReport::AtOnce;
  }
  void changeServers() {
    if (!chance(kServerChanges)) return;
    const ServerId server =
        SimulatedSupervisor::serverName(below(static_cast<int>(supervisor.endpoints.size())));
    if (draining_.count(server) > 0) return restartServer(server);
    if (draining_.size() + 2 > supervisor.endpoints.size()) return;
    draining_.insert(server);
    drain(server);
  }
  void restartServer(const ServerId& server) {
    draining_.erase(server);
    restart(server);
  }
  void changeStreams() {
    if (!chance(kStreamChanges)) return;
    const ProxyId proxy = below(kProxies);
    if (const auto it = broken_.find(proxy); it != broken_.end()) return reconnect(proxy, it->second);
    const auto report = static_cast<BreakReport>(below(3));
    broken_[proxy] = report;
    connected.erase(proxy);
    if (report == BreakReport::AtOnce) handle({ProxyDisconnected{proxy}});
  }
  void reconnect(ProxyId proxy, BreakReport report) {
    broken_.erase(proxy);
    connected.insert(proxy);
    if (report == BreakReport::MissedByTheWatch) return handle({AcknowledgementsMissed{}});
    if (report == BreakReport::AtReconnect) handle({ProxyDisconnected{proxy}});
    handle({ProxyConnected{proxy, 0, 5, false}});
  }

  std::mt19937 random_;
  std::set<ServerId> draining_;
  std::map<ProxyId, BreakReport> broken_;
};

// Guards against: a crossing of drains, broken streams and restarts leaves a ready server ejected at a proxy.
TEST(GeneratedReconnectsTest, NoProxyTreatsAReadyServerAsEjectedInTheEnd) {
  for (int seed = 1; seed <= seedCount(); ++seed)
    EXPECT_EQ(GeneratedReconnects(static_cast<unsigned>(seed)).run(), std::set<ServerId>())
        << "seed " << seed;
}

INSTANTIATE_TEST_SUITE_P(
    StreamBreaks, ProxyReconnect,
    testing::Values(ReconnectCase{"ReportedAtOnce", BreakReport::AtOnce, 3 * kSecond},
                    ReconnectCase{"ReportedAfterTheReadmission", BreakReport::AtReconnect, 3 * kSecond},
                    ReconnectCase{"NeverReported", BreakReport::MissedByTheWatch, 3 * kSecond},
                    ReconnectCase{"LongerThanDepartedServersAreKept", BreakReport::AtOnce, 90 * kSecond}),
    [](const auto& info) { return info.param.name; });

}  // namespace
}  // namespace peargrade
