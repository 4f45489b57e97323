// How a supervisor's time grows with the servers on its list, without sockets: a decision of the module, and
// a second of reports read and taken in. Google Benchmark fits both to the number of servers; that ratio is
// the figure, the times are this machine's.
#include <benchmark/benchmark.h>

#include "clients/messages.h"
#include "config/config.h"
#include "scale/fleet_layout.h"

namespace peargrade::scale {
namespace {

constexpr int kZones = 6, kProxies = 300;
constexpr Micros kSecond = 1000000;

// A supervisor with its list, its proxies and its slices.
struct World {
  Scenario scenario;
  config::Config config;
  std::unique_ptr<DecisionEngine> engine;
  Micros now = 1000 * kSecond;
  std::vector<std::string> reports;  // of one second

  explicit World(int servers) {
    scenario.sizes.servers = servers;
    scenario.sizes.zones = kZones;
    scenario.sizes.proxies = kProxies;
    const net::Address local{"127.0.0.1", 1}, other{"127.0.0.1", 2}, third{"127.0.0.1", 3};
    config =
        config::parse(configText(scenario, 0, local, other, third), [](const char*) { return std::nullopt; });
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
    for (int p = 0; p < kProxies; ++p) events.push_back(ProxyConnected{p, p % kZones, 1, false});
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
  void report() {
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
  World world(static_cast<int>(state.range(0)));
  for (auto _ : state) world.report();
  state.SetComplexityN(state.range(0));
}

void decision(benchmark::State& state) {
  World world(static_cast<int>(state.range(0)));
  world.report();
  for (auto _ : state) {
    state.PauseTiming();
    world.report();
    state.ResumeTiming();
    world.decide();
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
