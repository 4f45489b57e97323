// Benchmarks how the time of a supervisor grows with the number of listed servers, without sockets: one
// decision of the decision engine, and parsing and handling the load reports of one second. Google Benchmark
// fits the complexity of both in the number of servers; absolute times depend on the machine.
#include <benchmark/benchmark.h>

#include "clients/messages.h"
#include "config/config.h"
#include "scale/fleet_layout.h"

namespace peargrade::scale {
namespace {

constexpr int kZones = 6;
constexpr int kProxies = 300;
constexpr Micros kSecond = 1000000;

// A supervisor with its endpoint list, proxies and slices.
struct SupervisorFixture {
  Scenario scenario;
  config::Config config;
  std::unique_ptr<DecisionEngine> engine;
  Micros now = 1000 * kSecond;
  std::vector<std::string> reports;  // messages received in one second

  explicit SupervisorFixture(int servers) {
    scenario.sizes.servers = servers;
    scenario.sizes.zones = kZones;
    scenario.sizes.proxies = kProxies;
    const net::Address listen{"127.0.0.1", 1};
    const net::Address second{"127.0.0.1", 2};
    const net::Address third{"127.0.0.1", 3};
    config = config::parse(configText(scenario, 0, listen, second, third),
                           [](const char*) { return std::nullopt; });
    engine = std::make_unique<DecisionEngine>(1, config.settings);
    EndpointListUpdate list;
    list.version = 1;
    for (int k = 0; k < servers; ++k) {
      Endpoint entry;
      entry.server = serverName(scenario, k);
      entry.zone = zoneOf(scenario, k);
      list.endpoints.push_back(entry);
    }
    std::vector<Event> events{list};
    for (int proxy = 0; proxy < kProxies; ++proxy)
      events.push_back(ProxyConnected{proxy, proxy % kZones, 1, false});
    for (int k = 0; k < scenario.sizes.slices; ++k) {
      events.push_back(SliceAssignment{k, true});
      events.push_back(StoredRoute{k, serverName(scenario, initialServerOf(scenario, 0, k)), 1});
    }
    engine->handle(now, events);
    for (int zone = 0; zone < kZones; ++zone) {
      for (int k = 0; k < servers; ++k)
        reports.push_back(R"({"type":"upstream_stats","az":")" + zoneName(zone) + R"(","host":")" +
                          serverName(scenario, k) + R"(","n":5,"bad":0,"avg":90.5,"window":1000.0})");
    }
  }
  void handleReports() {
    std::vector<Event> events;
    for (const std::string& text : reports)
      events.push_back(
          std::get<ServerLoadReport>(clients::parseMessage(text, config.names, config.settings.slices)));
    now += kSecond;
    benchmark::DoNotOptimize(engine->handle(now, events));
  }
  void decide() {
    now += kSecond / 4;
    benchmark::DoNotOptimize(engine->handle(now, {TimerFired{"sweep"}}));
  }
};

void secondOfReports(benchmark::State& state) {
  SupervisorFixture fixture(static_cast<int>(state.range(0)));
  for (auto _ : state) fixture.handleReports();
  state.SetComplexityN(state.range(0));
}

void decision(benchmark::State& state) {
  SupervisorFixture fixture(static_cast<int>(state.range(0)));
  fixture.handleReports();
  for (auto _ : state) {
    state.PauseTiming();
    fixture.handleReports();
    state.ResumeTiming();
    fixture.decide();
  }
  state.SetComplexityN(state.range(0));
}

BENCHMARK(secondOfReports)->Arg(94)->Arg(188)->Arg(375)->Arg(750)->Arg(1500)->Arg(3000)->Complexity();
BENCHMARK(decision)
    ->Arg(94)
    ->Arg(188)
    ->Arg(375)
    ->Arg(750)
    ->Arg(1500)
    ->Arg(3000)
    ->Iterations(200)
    ->Complexity();

}  // namespace
}  // namespace peargrade::scale

BENCHMARK_MAIN();
