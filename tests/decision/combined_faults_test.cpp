// Every pair of faults at the same time. The rules that a single supervisor can enforce must hold, and all
// slices must end up on servers that are listed as ready.
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr int kServers = 6;
constexpr int kSlices = 18;

struct Fault {
  const char* name;
  /// Injects the fault. `cachedList`: the endpoint list before the first fault.
  void (*inject)(SimulatedSupervisor&, const EndpointListUpdate& cachedList);
};

void reassignSlices(SimulatedSupervisor& supervisor) {
  constexpr int kReassigned = 4;
  std::vector<Event> events;
  events.reserve(std::size_t{3} * kReassigned);
  for (TableId slice = 0; slice < kReassigned; ++slice) events.push_back(SliceAssignment{slice, false});
  for (TableId slice = kSlices; slice < kSlices + kReassigned; ++slice) {
    events.push_back(SliceAssignment{slice, true});
    events.push_back(StoredRoute{slice, "s_d", 1});
    supervisor.routes[slice] = {{"s_d", 1}};
  }
  supervisor.handle(events);
}

void deliverReportsInABatch(SimulatedSupervisor& supervisor) {
  std::vector<Event> events;
  supervisor.now += 3 * kSecond;
  for (int report = 0; report < 6; ++report) supervisor.appendLoadReports(events);
  supervisor.handle(events);
}

void reconnectProxies(SimulatedSupervisor& supervisor) {
  supervisor.handle({ProxyDisconnected{0}, ProxyDisconnected{1}});
  supervisor.run(kSecond);
  supervisor.handle({ProxyConnected{0, 0, 5, false}, ProxyConnected{1, 1, 5, false}});
}

void failAllInZoneOne(SimulatedSupervisor& supervisor) {
  for (int server = 0; server < kServers; ++server)
    supervisor.failureRatios[{SimulatedSupervisor::serverName(server), 1}] = 1;
}

using Fleet = SimulatedSupervisor;
using List = EndpointListUpdate;

const Fault kFaults[] = {
    {"ServerFailsFast", [](Fleet& fleet, const List&) { fleet.setFailureRatio("s_b", 0.9); }},
    {"ServerAnswersNothing", [](Fleet& fleet, const List&) { fleet.setFailureRatio("s_c", 1); }},
    {"OneServerSlow", [](Fleet& fleet, const List&) { fleet.latencies["s_a"] = 900 * kMillisecond; }},
    {"TwoServersSlow",
     [](Fleet& fleet, const List&) {
       fleet.latencies["s_a"] = 700 * kMillisecond;
       fleet.latencies["s_c"] = 700 * kMillisecond;
     }},
    {"AllServersSlow", [](Fleet& fleet, const List&) { fleet.setLatencies(kServers, 800 * kMillisecond); }},
    {"AllFailFromOneZone", [](Fleet& fleet, const List&) { failAllInZoneOne(fleet); }},
    {"BatchedReports", [](Fleet& fleet, const List&) { deliverReportsInABatch(fleet); }},
    {"MissingReports", [](Fleet& fleet, const List&) { fleet.reportsLoad = false; }},
    {"ProxiesReconnect", [](Fleet& fleet, const List&) { reconnectProxies(fleet); }},
    {"RestartWithCachedList", [](Fleet& fleet, const List& cachedList) { fleet.restart(cachedList); }},
    {"ServerRestarts",
     [](Fleet& fleet, const List&) {
       fleet.updateEndpoint("s_d", EndpointState::Ready, fleet.now - 400 * kMillisecond);
     }},
    {"ServerRemoved", [](Fleet& fleet, const List&) { fleet.updateEndpoint("s_f", EndpointState::Removed); }},
    {"SlicesReassigned", [](Fleet& fleet, const List&) { reassignSlices(fleet); }},
    {"EndpointListFails",
     [](Fleet& fleet, const List&) {
       fleet.handle({EndpointListUpdate{EndpointListKind::Failed, 0, {}}});
     }},
};
constexpr int kFaultCount = sizeof kFaults / sizeof kFaults[0];

// ---- Checks ----

void expectNoRouteToDrainingServer(SimulatedSupervisor& supervisor) {
  for (const TableId slice : supervisor.assignedSlices)
    EXPECT_EQ(supervisor.routes[slice].count("s_e"), 0U)
        << "slice still routed to the draining server, slice " << slice;
}

void expectSlicesOnReadyServers(SimulatedSupervisor& supervisor) {
  for (const TableId slice : supervisor.assignedSlices) {
    ASSERT_FALSE(supervisor.routes[slice].empty()) << "no route, slice " << slice;
    const ServerId primary = supervisor.primaryServer(slice);
    ASSERT_EQ(supervisor.endpoints.count(primary), 1U) << "on a removed server, slice " << slice;
    EXPECT_EQ(supervisor.endpoints[primary].state, EndpointState::Ready) << "slice " << slice;
  }
}

void expectMessageLimitHolds(const SimulatedSupervisor& supervisor) {
  const Settings& settings = supervisor.settings;
  for (const Micros start : supervisor.updateTimes) {
    int updatesInWindow = 0;
    for (const Micros time : supervisor.updateTimes)
      updatesInWindow += time >= start && time < start + settings.messageWindow ? 1 : 0;
    EXPECT_LE(updatesInWindow, settings.messagesPerProxyMax);
  }
}

// Injects two faults, given by index, one second apart. In between s_e starts to drain, so that every run
// also checks that slices leave a draining server in time.
void injectFaults(std::pair<int, int> faults, const Settings& settings) {
  const Fault& first = kFaults[faults.first];
  const Fault& second = kFaults[faults.second];
  SCOPED_TRACE(std::string(first.name) + " with " + second.name);
  SimulatedSupervisor supervisor(settings, kServers);
  supervisor.startAndRun(kSlices, 8 * kSecond);
  const EndpointListUpdate cachedList = supervisor.endpointList(EndpointListKind::Cached);
  first.inject(supervisor, cachedList);
  supervisor.updateEndpoint("s_e", EndpointState::Draining);
  supervisor.run(kSecond);
  second.inject(supervisor, cachedList);
  supervisor.handle({supervisor.endpointList(EndpointListKind::Full)});
  supervisor.run(settings.drainGrace - settings.pushDelayMax);
  expectNoRouteToDrainingServer(supervisor);
  supervisor.run(20 * kSecond);
  ASSERT_NO_FATAL_FAILURE(expectSlicesOnReadyServers(supervisor));
  EXPECT_TRUE(supervisor.unassignedSlicesUpdated.empty())
      << "update of an unassigned slice, first " << *supervisor.unassignedSlicesUpdated.begin();
  expectMessageLimitHolds(supervisor);
}

// ---- All pairs ----

class CombinedFaults : public testing::TestWithParam<std::pair<int, int>> {};

std::vector<std::pair<int, int>> allPairs() {
  std::vector<std::pair<int, int>> pairs;
  for (int first = 0; first < kFaultCount; ++first) {
    for (int second = first + 1; second < kFaultCount; ++second) pairs.emplace_back(first, second);
  }
  return pairs;
}

TEST_P(CombinedFaults, RulesHold) { injectFaults(GetParam(), testSettings()); }

// With a twentieth of the throughput and of the pending routes, urgent updates must still be delivered in
// time.
TEST_P(CombinedFaults, RulesHoldOnASlowChannel) {
  Settings settings = testSettings();
  settings.routesPerSecond = 1500;
  settings.pendingRoutesMax = 1500;
  injectFaults(GetParam(), settings);
}

INSTANTIATE_TEST_SUITE_P(All, CombinedFaults, testing::ValuesIn(allPairs()), [](const auto& info) {
  return std::string(kFaults[info.param.first].name) + "And" + kFaults[info.param.second].name;
});

TEST(AllFaultsInSequence, RepeatedRunGivesTheSameDecisions) {
  const auto play = [] {
    SimulatedSupervisor supervisor(testSettings(), kServers);
    supervisor.startAndRun(kSlices, 5 * kSecond);
    for (const Fault& fault : kFaults) {
      fault.inject(supervisor, supervisor.endpointList(EndpointListKind::Cached));
      supervisor.run(kSecond);
    }
    return std::make_pair(supervisor.routes, supervisor.logLines);
  };
  EXPECT_EQ(play(), play());
}

}  // namespace
}  // namespace peargrade
