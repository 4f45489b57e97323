// Benchmarks the latency added to a request: the time in which a proxy picks a server from the published
// routing tables. Proxies belong to the platform and are not part of this repository, so a small REFERENCE
// PICK is measured: two servers are drawn from the table of a route by weight (prefix sums, binary search),
// and the one with fewer outstanding requests is used (weighted "power of two choices").
//
// Each repetition times batches of picks and reports percentiles over the batches, in nanoseconds per pick. A
// second pass times single picks, including the clock, as an upper bound of the tail latency that batches
// average out. Results are appended as JSON lines in the format read by scale/report.
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

constexpr int kBatchPicks = 16;                  // picks between two readings of the clock
constexpr int kBatches = 200000;                 // timed batches per repetition
constexpr int kSinglePicks = 400000;             // picks timed individually, including the clock
constexpr int kKeys = 1 << 16;                   // requested routes, drawn before the measured time
constexpr int kRepetitions = 3;                  // per table size
constexpr std::uint64_t kSeed = 7;               // for tables, routes and draws
constexpr std::uint32_t kOutstandingLimit = 64;  // a server has fewer outstanding requests

// The table of one route: servers and the prefix sums of their weights.
struct RouteTable {
  std::vector<std::uint32_t> servers;
  std::vector<double> sums;  // sums[k]: sum of the weights 0 to k

  std::uint32_t draw(double at) const {
    const auto it = std::upper_bound(sums.begin(), sums.end(), at * sums.back());
    return servers[std::min<std::size_t>(static_cast<std::size_t>(it - sums.begin()), servers.size() - 1)];
  }
};

// xorshift64*: a generator cheap enough for the request path of a proxy.
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

// The tables of all routes in one proxy and its outstanding requests at each server.
class ReferenceProxy {
 public:
  ReferenceProxy(int routes, int lines, int servers) : outstanding_(static_cast<std::size_t>(servers)) {
    std::mt19937_64 source(kSeed);
    std::vector<std::uint32_t> all(static_cast<std::size_t>(servers));
    for (std::size_t k = 0; k < all.size(); ++k) all[k] = static_cast<std::uint32_t>(k);
    std::uniform_real_distribution<double> weight(0.5, 2.0);
    for (int route = 0; route < routes; ++route) {
      std::shuffle(all.begin(), all.end(), source);
      RouteTable table;
      double sum = 0;
      for (int k = 0; k < lines; ++k) {
        table.servers.push_back(all[static_cast<std::size_t>(k)]);
        table.sums.push_back(sum += weight(source));
      }
      tables_.push_back(std::move(table));
    }
    for (std::uint32_t& count : outstanding_)
      count = static_cast<std::uint32_t>(source() % kOutstandingLimit);
    for (int k = 0; k < kKeys; ++k)
      routes_.push_back(static_cast<std::uint32_t>(source() % static_cast<std::uint64_t>(routes)));
  }

  // The reference pick: draws two servers by weight and returns the one with fewer outstanding requests.
  std::uint32_t pick() {
    const RouteTable& table = tables_[routes_[next_++ % kKeys]];
    const std::uint32_t first = table.draw(random_.uniform());
    const std::uint32_t second = table.draw(random_.uniform());
    return outstanding_[second] < outstanding_[first] ? second : first;
  }

  // Memory of the tables and counters, in bytes.
  std::size_t bytes() const {
    std::size_t sum = outstanding_.size() * sizeof(std::uint32_t);
    for (const RouteTable& table : tables_)
      sum += sizeof table + table.servers.size() * sizeof(std::uint32_t) + table.sums.size() * sizeof(double);
    return sum;
  }

 private:
  std::vector<RouteTable> tables_;
  std::vector<std::uint32_t> outstanding_;  // requests by server
  std::vector<std::uint32_t> routes_;       // requested routes
  FastRandom random_{kSeed};
  std::size_t next_ = 0;
};

struct Options {
  std::string revision;
  std::string results;
  int routes = 700;
  int servers = 1500;
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

// Results of one repetition: percentiles in nanoseconds per pick, and its duration.
struct PickTimes {
  double p50 = 0;
  double p99 = 0;
  double singleP99 = 0;
  double seconds = 0;
};

PickTimes measure(ReferenceProxy& proxy, benchmark::State& state) {
  std::vector<double> batches;
  batches.reserve(kBatches);
  const auto start = SteadyClock::now();
  for (auto _ : state) {
    const auto from = SteadyClock::now();
    for (int k = 0; k < kBatchPicks; ++k) benchmark::DoNotOptimize(proxy.pick());
    const double elapsed = nanosecondsSince(from);
    state.SetIterationTime(elapsed / 1e9);
    batches.push_back(elapsed / kBatchPicks);
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

// Appends one line of results; scale/report/results.py documents the format.
void appendResult(int lines, int repetition, const PickTimes& times, std::size_t bytes) {
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
  appendResult(lines, repetition, times, proxy.bytes());
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
