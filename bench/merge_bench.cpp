// Benchmarks how the time of src/membership grows with the number of servers.
#include <benchmark/benchmark.h>

#include "membership/membership.h"

namespace peargrade::membership {
namespace {

constexpr Micros kSecond = 1000000;

std::string serverAddress(std::int64_t k) {
  return "10." + std::to_string(k / 65536) + "." + std::to_string(k / 256 % 256) + "." +
         std::to_string(k % 256) + ":3000";
}

Observation completeAnswer(std::int64_t servers, Micros now) {
  Observation observation;
  observation.kind = Observation::Kind::Complete;
  observation.asOf = now;
  for (std::int64_t k = 0; k < servers; ++k) {
    ServiceRecord record;
    record.address = serverAddress(k);
    record.target = "host-" + std::to_string(k) + ".example.org";
    record.weight = 10;
    record.expiresAt = now + 60 * kSecond;
    observation.records.push_back(std::move(record));
  }
  return observation;
}

std::vector<RosterEntry> makeRoster(std::int64_t servers) {
  std::vector<RosterEntry> all;
  for (std::int64_t k = 0; k < servers; ++k) {
    RosterEntry entry;
    entry.endpoint.server = "s-" + std::to_string(k);
    entry.address = serverAddress(k);
    all.push_back(std::move(entry));
  }
  return all;
}

// Applies the complete lists of both sources to an empty membership.
void Start(benchmark::State& state) {
  const auto roster = makeRoster(state.range(0));
  const Observation observation = completeAnswer(state.range(0), 1000 * kSecond);
  for (auto _ : state) {
    Membership membership(Settings{}, {false}, true, {}, 1000 * kSecond);
    membership.applyRoster(EndpointListKind::Full, roster, 1000 * kSecond);
    membership.applyRecords(observation, 1000 * kSecond);
    benchmark::DoNotOptimize(membership.reconcile(1000 * kSecond));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(Start)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMillisecond)->Complexity();

// Applies a complete answer without changes, as each refresh does.
void Refresh(benchmark::State& state) {
  Micros now = 1000 * kSecond;
  Membership membership(Settings{}, {false}, false, {}, now);
  membership.applyRecords(completeAnswer(state.range(0), now), now);
  membership.reconcile(now);
  for (auto _ : state) {
    state.PauseTiming();
    now += kSecond;
    const Observation observation = completeAnswer(state.range(0), now);
    state.ResumeTiming();
    membership.applyRecords(observation, now);
    benchmark::DoNotOptimize(membership.reconcile(now));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(Refresh)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMillisecond)->Complexity();

// One server of the roster changes between ready and draining.
void OneDrain(benchmark::State& state) {
  Micros now = 1000 * kSecond;
  Membership membership(Settings{}, {false}, true, {}, now);
  auto roster = makeRoster(state.range(0));
  membership.applyRoster(EndpointListKind::Full, roster, now);
  membership.applyRecords(completeAnswer(state.range(0), now), now);
  membership.reconcile(now);
  RosterEntry drained = roster[roster.size() / 2];
  for (auto _ : state) {
    drained.endpoint.state =
        drained.endpoint.state == EndpointState::Ready ? EndpointState::Draining : EndpointState::Ready;
    membership.applyRoster(EndpointListKind::Delta, {drained}, ++now);
    benchmark::DoNotOptimize(membership.reconcile(now));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(OneDrain)->Arg(1000)->Arg(5000)->Arg(20000)->Unit(benchmark::kMicrosecond)->Complexity();

}  // namespace
}  // namespace peargrade::membership

BENCHMARK_MAIN();
