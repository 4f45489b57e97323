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
    ServiceRecord s;
    s.address = at(k);
    s.target = "host-" + std::to_string(k) + ".example.org";
    s.weight = 10;
    s.expiresAt = now + 60 * kSecond;
    o.records.push_back(std::move(s));
  }
  return o;
}

std::vector<RosterEntry> rosterOf(std::int64_t servers) {
  std::vector<RosterEntry> all;
  for (std::int64_t k = 0; k < servers; ++k) {
    RosterEntry e;
    e.endpoint.server = "s-" + std::to_string(k);
    e.address = at(k);
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
    m.applyRoster(EndpointListKind::Full, roster, 1000 * kSecond);
    m.applyRecords(o, 1000 * kSecond);
    benchmark::DoNotOptimize(m.reconcile(1000 * kSecond));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(Start)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMillisecond)->Complexity();

// A complete answer that says the same again: what every refresh costs.
void Refresh(benchmark::State& state) {
  Micros now = 1000 * kSecond;
  Membership m(Settings{}, {false}, false, {}, now);
  m.applyRecords(answer(state.range(0), now), now);
  m.reconcile(now);
  for (auto _ : state) {
    state.PauseTiming();
    now += kSecond;
    const Observation o = answer(state.range(0), now);
    state.ResumeTiming();
    m.applyRecords(o, now);
    benchmark::DoNotOptimize(m.reconcile(now));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(Refresh)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMillisecond)->Complexity();

// One server of the roster starts to drain and is back.
void OneDrain(benchmark::State& state) {
  Micros now = 1000 * kSecond;
  Membership m(Settings{}, {false}, true, {}, now);
  auto roster = rosterOf(state.range(0));
  m.applyRoster(EndpointListKind::Full, roster, now);
  m.applyRecords(answer(state.range(0), now), now);
  m.reconcile(now);
  RosterEntry one = roster[roster.size() / 2];
  for (auto _ : state) {
    one.endpoint.state =
        one.endpoint.state == EndpointState::Ready ? EndpointState::Draining : EndpointState::Ready;
    m.applyRoster(EndpointListKind::Delta, {one}, ++now);
    benchmark::DoNotOptimize(m.reconcile(now));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(OneDrain)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMicrosecond)->Complexity();

}  // namespace
}  // namespace peargrade::membership

BENCHMARK_MAIN();
