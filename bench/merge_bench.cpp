// How the work of src/membership grows with the number of servers.
#include <benchmark/benchmark.h>

#include "membership/membership.h"

namespace peargrade::membership {
namespace {

constexpr Micros kSecond = 1000000;

std::string at(std::int64_t k) {
  return "10." + std::to_string(k / 65536) + "." + std::to_string(k / 256 % 256) + "." +
         std::to_string(k % 256) + ":3000";
}

Observation answer(std::int64_t servers, Micros now) {
  Observation o;
  o.kind = Observation::Kind::Complete;
  o.asOf = now;
  for (std::int64_t k = 0; k < servers; ++k) {
    Sighting s;
    s.endpoint = at(k);
    s.name = "host-" + std::to_string(k) + ".example.org";
    s.weight = 10;
    s.until = now + 60 * kSecond;
    o.seen.push_back(std::move(s));
  }
  return o;
}

std::vector<RosterEntry> rosterOf(std::int64_t servers) {
  std::vector<RosterEntry> all;
  for (std::int64_t k = 0; k < servers; ++k) {
    RosterEntry e;
    e.entry.server = "s-" + std::to_string(k);
    e.endpoint = at(k);
    all.push_back(std::move(e));
  }
  return all;
}

// A whole list of both sources into an empty membership.
void Start(benchmark::State& state) {
  const auto roster = rosterOf(state.range(0));
  const Observation o = answer(state.range(0), 1000 * kSecond);
  for (auto _ : state) {
    Membership m(Settings{}, {false}, true, {}, 1000 * kSecond);
    m.roster(EndpointListKind::Full, roster, 1000 * kSecond);
    m.observe(o, 1000 * kSecond);
    benchmark::DoNotOptimize(m.settle(1000 * kSecond));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(Start)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMillisecond)->Complexity();

// A complete answer that says the same again: what every refresh costs.
void Refresh(benchmark::State& state) {
  Micros now = 1000 * kSecond;
  Membership m(Settings{}, {false}, false, {}, now);
  m.observe(answer(state.range(0), now), now);
  m.settle(now);
  for (auto _ : state) {
    state.PauseTiming();
    now += kSecond;
    const Observation o = answer(state.range(0), now);
    state.ResumeTiming();
    m.observe(o, now);
    benchmark::DoNotOptimize(m.settle(now));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(Refresh)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMillisecond)->Complexity();

// One server of the roster starts to drain and is back.
void OneDrain(benchmark::State& state) {
  Micros now = 1000 * kSecond;
  Membership m(Settings{}, {false}, true, {}, now);
  auto roster = rosterOf(state.range(0));
  m.roster(EndpointListKind::Full, roster, now);
  m.observe(answer(state.range(0), now), now);
  m.settle(now);
  RosterEntry one = roster[roster.size() / 2];
  for (auto _ : state) {
    one.entry.state =
        one.entry.state == EndpointState::Ready ? EndpointState::Draining : EndpointState::Ready;
    m.roster(EndpointListKind::Delta, {one}, ++now);
    benchmark::DoNotOptimize(m.settle(now));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(OneDrain)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMicrosecond)->Complexity();

}  // namespace
}  // namespace peargrade::membership

BENCHMARK_MAIN();
