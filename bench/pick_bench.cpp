// What is added to a request: the time that a proxy takes to pick a server from the tables that supervisors
// order. Proxies belong to the platform and are no part of this repository, so the pick measured here is a
// small REFERENCE PICK: the table of a route is drawn from twice by weight (prefix sums, binary search) and
// the drawn server with fewer outstanding requests is taken ("power of two choices", weighted).
//
// Each repetition times batches of picks one by one and gives percentiles over the batches, in nanoseconds a
// pick; a second pass times single picks, clock included, as an upper bound of the tail that a batch averages
// away. Results are appended as JSON lines in the form that scale/report reads.
#include <benchmark/benchmark.h>
#include <sys/sysinfo.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace peargrade {
namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int kBatchPicks = 16;       // picks between two readings of the clock
constexpr int kBatches = 200000;      // timed batches of a repetition
constexpr int kSinglePicks = 400000;  // picks timed one by one, clock included
constexpr int kKeys = 1 << 16;        // routes asked for are drawn beforehand, not within the measured time
constexpr int kRepetitions = 3;       // of each size
constexpr std::uint64_t kSeed = 7;    // of tables, routes and draws
constexpr std::uint32_t kBusyMost = 64;  // a server has 0 to 63 requests outstanding

// The table of one route: servers and the running sums of their weights.
struct RouteTable {
  std::vector<std::uint32_t> servers;
  std::vector<double> sums;  // sums[k]: weights of the lines 0 to k

  std::uint32_t draw(double at) const {
    const auto it = std::upper_bound(sums.begin(), sums.end(), at * sums.back());
    return servers[std::min<std::size_t>(static_cast<std::size_t>(it - sums.begin()), servers.size() - 1)];
  }
};

// xorshift64*, as cheap as a proxy's would be.
class FastRandom {
 public:
  explicit FastRandom(std::uint64_t seed) : state_(seed) {}
  double uniform() {  // in [0, 1)
    state_ ^= state_ >> 12;
    state_ ^= state_ << 25;
    state_ ^= state_ >> 27;
    return static_cast<double>((state_ * 0x2545F4914F6CDD1DULL) >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

// The tables of all routes as one proxy holds them, and the requests that it has outstanding at each server.
class ReferenceProxy {
 public:
  ReferenceProxy(int routes, int lines, int servers) : outstanding_(static_cast<std::size_t>(servers)) {
    std::mt19937_64 source(kSeed);
    std::vector<std::uint32_t> all(static_cast<std::size_t>(servers));
    for (std::size_t k = 0; k < all.size(); ++k) all[k] = static_cast<std::uint32_t>(k);
    std::uniform_real_distribution<double> weight(0.5, 2.0);
    for (int r = 0; r < routes; ++r) {
      std::shuffle(all.begin(), all.end(), source);
      RouteTable table;
      double sum = 0;
      for (int k = 0; k < lines; ++k) {
        table.servers.push_back(all[static_cast<std::size_t>(k)]);
        table.sums.push_back(sum += weight(source));
      }
      tables_.push_back(std::move(table));
    }
    for (std::uint32_t& busy : outstanding_) busy = static_cast<std::uint32_t>(source() % kBusyMost);
    for (int k = 0; k < kKeys; ++k)
      routes_.push_back(static_cast<std::uint32_t>(source() % static_cast<std::uint64_t>(routes)));
  }

  // The reference pick: two drawn by weight, the one with fewer requests outstanding.
  std::uint32_t pick() {
    const RouteTable& table = tables_[routes_[next_++ % kKeys]];
    const std::uint32_t first = table.draw(random_.uniform()), second = table.draw(random_.uniform());
    return outstanding_[second] < outstanding_[first] ? second : first;
  }

  // Bytes of tables and counters.
  std::size_t bytes() const {
    std::size_t sum = outstanding_.size() * sizeof(std::uint32_t);
    for (const RouteTable& t : tables_)
      sum += sizeof t + t.servers.size() * sizeof(std::uint32_t) + t.sums.size() * sizeof(double);
    return sum;
  }

 private:
  std::vector<RouteTable> tables_;
  std::vector<std::uint32_t> outstanding_, routes_;
  FastRandom random_{kSeed};
  std::size_t next_ = 0;
};

struct Options {
  std::string revision, results;
  int routes = 700, servers = 1500;
  std::vector<int> lines{2, 23, 188, 375, 750, 1500};
};
Options options;

double nanosecondsSince(SteadyClock::time_point from) {
  return std::chrono::duration<double, std::nano>(SteadyClock::now() - from).count();
}

double percentile(std::vector<double> values, double share) {
  const auto at = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

// One repetition's figures, in nanoseconds a pick.
struct PickTimes {
  double p50 = 0, p99 = 0, singleP99 = 0, seconds = 0;
};

PickTimes measure(ReferenceProxy& proxy, benchmark::State& state) {
  std::vector<double> batches;
  batches.reserve(kBatches);
  const auto start = SteadyClock::now();
  for (auto _ : state) {
    const auto from = SteadyClock::now();
    for (int k = 0; k < kBatchPicks; ++k) benchmark::DoNotOptimize(proxy.pick());
    const double took = nanosecondsSince(from);
    state.SetIterationTime(took / 1e9);
    batches.push_back(took / kBatchPicks);
  }
  std::vector<double> singles;
  singles.reserve(kSinglePicks);
  for (int k = 0; k < kSinglePicks; ++k) {
    const auto from = SteadyClock::now();
    benchmark::DoNotOptimize(proxy.pick());
    singles.push_back(nanosecondsSince(from));
  }
  const double seconds = nanosecondsSince(start) / 1e9;
  return {percentile(batches, 0.5), percentile(batches, 0.99), percentile(singles, 0.99), seconds};
}

// One line of results, see scale/report/results.py for the form.
void append(int lines, int repetition, const PickTimes& times, std::size_t bytes) {
  if (options.results.empty()) return;
  struct sysinfo machine {};
  sysinfo(&machine);
  const auto memoryMb = static_cast<std::uint64_t>(machine.totalram) * machine.mem_unit >> 20;
  std::ofstream out(options.results, std::ios::app);
  out << "{\"revision\":\"" << options.revision
      << "\",\"machine\":{\"cores\":" << std::thread::hardware_concurrency() << ",\"memory_mb\":" << memoryMb
      << "},\"scenario\":\"reference-pick\",\"role\":\"proxy\",\"variable\":\"lines\",\"value\":" << lines
      << ",\"repetition\":" << repetition << ",\"seed\":" << kSeed << ",\"seconds\":" << times.seconds
      << ",\"sizes\":{\"routes\":" << options.routes << ",\"servers\":" << options.servers
      << ",\"lines\":" << lines << "},\"metrics\":{\"pick_p50_ns\":" << times.p50
      << ",\"pick_p99_ns\":" << times.p99 << ",\"pick_single_p99_ns\":" << times.singleP99
      << ",\"state_entries\":" << static_cast<std::int64_t>(options.routes) * lines
      << ",\"state_bytes\":" << bytes << "}}\n";
}

void pickFrom(benchmark::State& state, int lines) {
  static int repetition = 0;
  repetition = repetition % kRepetitions + 1;
  ReferenceProxy proxy(options.routes, lines, options.servers);
  const PickTimes times = measure(proxy, state);
  state.counters["p50_ns"] = times.p50;
  state.counters["p99_ns"] = times.p99;
  state.counters["single_p99_ns"] = times.singleP99;
  append(lines, repetition, times, proxy.bytes());
}

}  // namespace
}  // namespace peargrade

int main(int argc, char** argv) {
  using peargrade::options;
  CLI::App app{"Times a reference pick of a server from a proxy's tables"};
  app.add_option("--revision", options.revision, "Commit measured, as the results name it")->required();
  app.add_option("--results", options.results, "File to which one JSON line a repetition is appended");
  app.add_option("--routes", options.routes, "Routes, each with a table")->check(CLI::PositiveNumber);
  app.add_option("--servers", options.servers, "Servers of the fleet")->check(CLI::PositiveNumber);
  app.add_option("--lines", options.lines, "Lines of a table, one size each")->check(CLI::PositiveNumber);
  CLI11_PARSE(app, argc, argv);
  for (const int lines : options.lines) {
    if (lines > options.servers) return std::fprintf(stderr, "more lines than servers: %d\n", lines), 2;
    const std::string name = "pick/lines:" + std::to_string(lines);
    benchmark::RegisterBenchmark(name.c_str(),
                                 [lines](benchmark::State& s) { peargrade::pickFrom(s, lines); })
        ->Iterations(peargrade::kBatches)
        ->Repetitions(peargrade::kRepetitions)
        ->UseManualTime();
  }
  int none = 1;
  benchmark::Initialize(&none, argv);
  benchmark::RunSpecifiedBenchmarks();
}
