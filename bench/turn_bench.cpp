// Measures the time per call and the memory of the decision engine at fleet size in four phases: start,
// steady sweeps with load reports, a tenth of the servers draining at the same time, and all servers
// overloaded.
#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "support/simulated_supervisor.h"

namespace peargrade {
namespace {

constexpr Micros kStep = 250 * kMillisecond;

// Times of the engine calls of one phase, in milliseconds.
class TurnTimes {
 public:
  void measure(SimulatedSupervisor& supervisor, const std::vector<Event>& events) {
    const auto start = std::chrono::steady_clock::now();
    supervisor.engine.handle(supervisor.now, events);
    const std::chrono::duration<double, std::milli> time = std::chrono::steady_clock::now() - start;
    worst_ = std::max(worst_, time.count());
    sum_ += time.count();
    ++turns_;
  }
  void print(const char* phase) const {
    std::printf("  %-28s mean %8.2f ms  worst %8.2f ms\n", phase, sum_ / turns_, worst_);
  }

 private:
  double worst_ = 0;
  double sum_ = 0;
  int turns_ = 0;
};

struct FleetSize {
  int servers;
  int proxies;
  int slices;
  int assignedSlices;
};

Settings makeSettings(const FleetSize& size) {
  Settings settings = testSettings();
  settings.slices = size.slices;
  settings.proxies = size.proxies;
  settings.messageOverheadRoutes = 16;
  settings.routesPerSecond = size.slices * static_cast<double>(size.proxies) / 6;
  settings.pendingRoutesMax = 1.5 * settings.routesPerSecond;
  return settings;
}

TurnTimes measureStart(SimulatedSupervisor& supervisor, const FleetSize& size) {
  std::vector<Event> events = supervisor.startEvents(size.assignedSlices);
  for (ProxyId proxy = 3; proxy < size.proxies; ++proxy)
    events.push_back(ProxyConnected{proxy, proxy % 2, 5, true});
  TurnTimes times;
  times.measure(supervisor, events);
  return times;
}

void measureSweeps(SimulatedSupervisor& supervisor, const FleetSize& size, Micros duration,
                   TurnTimes& times) {
  const Micros end = supervisor.now + duration;
  while (supervisor.now < end) {
    supervisor.now += kStep;
    std::vector<Event> events{TimerFired{"sweep"}};
    if (supervisor.now / kStep % 2 == 0) supervisor.appendLoadReports(events);
    for (ProxyId proxy = 0; proxy < size.proxies; ++proxy)
      events.push_back(UpdateAcknowledged{proxy, 1, kMillisecond});
    times.measure(supervisor, events);
  }
}

EndpointListUpdate drainOfATenth(const SimulatedSupervisor& supervisor, const FleetSize& size) {
  EndpointListUpdate update{EndpointListKind::Delta, 0, {}};
  for (int server = 0; server < size.servers / 10; ++server) {
    update.endpoints.push_back(supervisor.endpoints.at(SimulatedSupervisor::serverName(server)));
    update.endpoints.back().state = EndpointState::Draining;
  }
  return update;
}

void measureFleet(const FleetSize& size) {
  std::printf("%d servers, %d proxies, %d of %d slices\n", size.servers, size.proxies, size.assignedSlices,
              size.slices);
  SimulatedSupervisor supervisor(makeSettings(size), size.servers);
  const TurnTimes start = measureStart(supervisor, size);
  TurnTimes steady;
  measureSweeps(supervisor, size, 15 * kSecond, steady);
  TurnTimes drain;
  drain.measure(supervisor, {drainOfATenth(supervisor, size)});
  measureSweeps(supervisor, size, 5 * kSecond, drain);
  TurnTimes overload;
  supervisor.setLatencies(size.servers, 1500 * kMillisecond);
  measureSweeps(supervisor, size, 15 * kSecond, overload);
  start.print("start");
  steady.print("steady");
  drain.print("a tenth drains");
  overload.print("all overloaded");
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf("  resident peak %ld MB, with the simulated fleet\n", usage.ru_maxrss / 1024);
}

}  // namespace
}  // namespace peargrade

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: %s SERVERS PROXIES SLICES ASSIGNED_SLICES\n", argv[0]);
    return 2;
  }
  peargrade::measureFleet({std::atoi(argv[1]), std::atoi(argv[2]), std::atoi(argv[3]), std::atoi(argv[4])});
}
