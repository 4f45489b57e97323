// Measures the complete supervisor with fakes on loopback: the time from a changed DNS record to the update
// at the relay, the longest time for which a slice is unroutable under each fault compared with the roster as
// only source, and the memory needed for 5,000 servers. Prints tables for docs/results.md.
#include <CLI/CLI.hpp>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <memory>

#include "fakes/collector.h"
#include "fakes/discovery.h"
#include "fakes/nameserver.h"
#include "fakes/slice_coverage.h"
#include "support/loop.h"
#include "support/program.h"

namespace peargrade {
namespace {

using Fault = fakes::NameServer::Fault;
using Over = fakes::NameServer::Over;
constexpr Micros kSecond = 1000000;
constexpr int kServers = 6;

enum class Mode { RosterOnly, Both, RecordsOnly };

// A supervisor process with its fake peers.
struct Deployment {
  Loop loop;
  fakes::Relay relay{loop.base.get()};
  fakes::Discovery discovery{loop.base.get()};
  fakes::NameServer firstNameServer{loop.base.get()};
  fakes::NameServer secondNameServer{loop.base.get()};
  fakes::SliceCoverage coverage{relay, net::steadyNow};
  net::Address listen{ownHost(), 3000};
  std::unique_ptr<Written> config;
  std::unique_ptr<Written> operatorFile;
  std::unique_ptr<Program> program;
  std::unique_ptr<fakes::Collector> collector;
  Mode mode;
  std::uint32_t ttl;
  std::string dns =
      " try \"100ms\"\n tries 4\n tcp \"300ms\"\n ttl-floor \"200ms\"\n failure-hold \"200ms\"\n";
  std::string services;

  Deployment(Mode mode, std::uint32_t ttl) : mode(mode), ttl(ttl) {}

  static std::string host(int k) { return "bello-" + std::to_string(k) + ".example.org"; }
  static std::string ip(int k) { return "10.1." + std::to_string(k / 250) + "." + std::to_string(k % 250); }
  std::string id(int k) const {
    return mode == Mode::RecordsOnly ? ip(k) + ":3000" : "s" + std::to_string(k);
  }
  static std::string service(int number) { return "_o" + std::to_string(number) + "._tcp.example.org"; }

  void addRecord(int k, int number = 0) {
    for (auto* names : {&firstNameServer, &secondNameServer}) {
      names->srv(service(number), host(k), 3000, 0, 10, ttl);
      names->names[host(k)] = {{1, ip(k), 0, 0, 0, ttl}};
    }
  }
  void removeRecord(int k) {
    for (auto* names : {&firstNameServer, &secondNameServer}) {
      auto& all = names->names[service(0)];
      all.erase(std::remove_if(all.begin(), all.end(), [&](const auto& d) { return d.value == host(k); }),
                all.end());
    }
  }
  void start(int servers, int perService) {
    relay.proxies[0] = {"east", 5, true};
    for (int slice = 0; slice < 8; ++slice) relay.slices[slice] = {{id(slice % kServers), "1"}};
    for (int k = 0; k < servers; ++k) {
      if (mode != Mode::RosterOnly) addRecord(k, k / perService);
      if (mode != Mode::RecordsOnly) discovery.set(id(k), "east", "SERVING", 0, ip(k) + ":3000");
      coverage.runs(id(k));
    }
    std::ifstream in(PEARGRADE_EXAMPLE_CONFIG);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    text = replaced(text, "127.0.0.1:3000", listen.text());
    text = replaced(text, "127.0.0.1:8500", discovery.address().text());
    text = replaced(text, "127.0.0.1:6400", relay.address().text());
    config = std::make_unique<Written>("_bench.json", text);
    std::vector<std::string> words{PEARGRADE_PROGRAM, "serve", "-c", config->path};
    if (mode != Mode::RosterOnly) {
      for (int number = 0; number * perService < servers; ++number)
        services += " srv \"o" + std::to_string(number) + "\" {\n name \"" + service(number) +
                    "\"\n place zone=\"east\"\n }\n";
      operatorFile = std::make_unique<Written>(
          "_bench.kdl", std::string("version 1\nsources {\n roster ") +
                            (mode == Mode::RecordsOnly ? "false" : "true") + "\n dns {\n server \"" +
                            firstNameServer.address().text() + "\"\n server \"" +
                            secondNameServer.address().text() + "\"\n" + dns + " }\n" + services +
                            " merge {\n flap-turns 100\n }\n}\n");
      words.insert(words.end(), {"--operator", operatorFile->path});
    }
    const Micros from = net::steadyNow();
    program = std::make_unique<Program>(words);
    const bool up = until(30 * kSecond, [&] {
      if (!collector || collector->ended()) {
        collector = std::make_unique<fakes::Collector>(loop.base.get(), listen);
        collector->send(R"({"type":"hb"})");
      }
      return !collector->received.empty();
    });
    readyAfter = net::steadyNow() - from;
    if (!up) throw std::runtime_error("the program did not start:\n" + program->output());
  }
  Micros readyAfter = 0;

  bool until(Micros limit, const std::function<bool()>& holds) {
    return loop.until(
        [&] {
          coverage.sample();
          return holds();
        },
        limit);
  }
  bool used(const std::string& server) const {
    for (const auto& [slice, lines] : relay.slices) {
      if (lines.count(server) != 0) return true;
    }
    return false;
  }
  bool hasLogged(const std::string& part) const { return program->output().find(part) != std::string::npos; }
};

void fail(Deployment& deployment, const std::string& fault) {
  if (fault == "first name server silent") deployment.firstNameServer.fail(Fault::Silent);
  if (fault == "first name server SERVFAIL") deployment.firstNameServer.fail(Fault::ServFail);
  if (fault == "truncated, TCP good") {
    deployment.firstNameServer.fail(Fault::Truncated, Over::Udp);
    deployment.secondNameServer.fail(Fault::Truncated, Over::Udp);
  }
  for (auto* names : {&deployment.firstNameServer, &deployment.secondNameServer}) {
    if (fault == "truncated, no TCP") {
      names->fail(Fault::Truncated, Over::Udp);
      names->fail(Fault::Reset, Over::Tcp);
    }
    if (fault == "all silent") names->fail(Fault::Silent);
    if (fault == "all SERVFAIL") names->fail(Fault::ServFail);
    if (fault == "poison") names->fail(Fault::Poison);
  }
}

// Formats microseconds as milliseconds, or as a dash if the limit was exceeded (negative).
std::string formatMs(Micros span) { return span < 0 ? "-" : std::to_string(span / 1000); }

void following() {
  constexpr int kTrials = 5;
  std::cout << "| lifetime | fault | median ms | longest ms | of |\n| --- | --- | --- | --- | --- |\n";
  for (const std::uint32_t ttl : {0u, 1u, 3u}) {
    for (const std::string fault :
         {"none", "first name server silent", "first name server SERVFAIL", "truncated, TCP good"}) {
      std::vector<Micros> times;
      for (int trial = 0; trial < kTrials; ++trial) {
        Deployment deployment(Mode::RecordsOnly, ttl);
        deployment.start(kServers, 900);
        fail(deployment, fault);
        // The trials change the record at different ages of the cached answer.
        deployment.until(kSecond + trial * ttl * kSecond / kTrials + 37000, [] { return false; });
        deployment.removeRecord(1);
        const Micros from = net::steadyNow();
        // The server is no longer primary of any slice; a backup route of small weight may remain until the
        // next update.
        const auto moved = [&] {
          for (const auto& [slice, lines] : deployment.relay.slices) {
            const auto line = lines.find(deployment.id(1));
            if (line != lines.end() && std::atof(line->second.c_str()) >= 1) return false;
          }
          return true;
        };
        if (deployment.until(20 * kSecond, moved)) times.push_back(net::steadyNow() - from);
      }
      std::sort(times.begin(), times.end());
      std::cout << "| " << (ttl == 0 ? "0 (floor 200 ms)" : std::to_string(ttl) + " s") << " | " << fault
                << " | " << (times.empty() ? "-" : formatMs(times[times.size() / 2])) << " | "
                << (times.empty() ? "-" : formatMs(times.back())) << " | " << times.size() << " |\n"
                << std::flush;
    }
  }
}

// One server fails, and every reachable source reports that. Returns the longest time for which a slice was
// unroutable, or -1 if its routes were not moved within the limit. Sets `violated` if a rule of the slice
// coverage was violated or the program ended.
Micros unroutableAfterFailure(Mode mode, const std::string& fault, bool& violated) {
  constexpr Micros kLimit = 10 * kSecond;
  Deployment deployment(mode, 1);
  deployment.start(kServers, 900);
  deployment.until(2 * kSecond, [] { return false; });
  if (mode != Mode::RosterOnly) fail(deployment, fault);
  deployment.until(2 * kSecond, [] { return false; });
  if (fault == "half the zone lost") {
    for (int k = 3; k < kServers; ++k) deployment.removeRecord(k);
    deployment.until(2 * kSecond, [] { return false; });
  }
  deployment.coverage.leaves(deployment.id(0), kLimit);
  if (mode != Mode::RecordsOnly)
    deployment.discovery.set(deployment.id(0), "east", "DELETED", 0, Deployment::ip(0) + ":3000");
  if (mode != Mode::RosterOnly) deployment.removeRecord(0);
  const bool moved = deployment.until(kLimit, [&] { return !deployment.used(deployment.id(0)); });
  // If no source could report the failure, a remaining route is not a violation.
  violated = (moved && !deployment.coverage.wrongs().empty()) || deployment.program->ended();
  return moved ? deployment.coverage.worst() : -1;
}

void unroutable() {
  std::cout << "| fault of the name servers | roster alone (before) ms | roster and records ms | records "
               "alone ms |\n"
               "| --- | --- | --- | --- |\n";
  for (const std::string fault :
       {"none", "first name server silent", "first name server SERVFAIL", "truncated, TCP good",
        "truncated, no TCP", "all silent", "all SERVFAIL", "poison", "half the zone lost"}) {
    std::cout << "| " << fault;
    for (const Mode mode : {Mode::RosterOnly, Mode::Both, Mode::RecordsOnly}) {
      bool violated = false;
      const Micros worst = unroutableAfterFailure(mode, fault, violated);
      std::cout << " | " << (worst < 0 ? "not within 10 s" : formatMs(worst)) << (violated ? " RULE" : "")
                << std::flush;
    }
    std::cout << " |\n" << std::flush;
  }
}

void memory(int servers) {
  std::cout << "| servers | sources | ready after ms | all listed after ms | peak MB |\n| --- | --- | --- | "
               "--- | --- |\n";
  for (const Mode mode : {Mode::RosterOnly, Mode::Both, Mode::RecordsOnly}) {
    Deployment deployment(mode, 60);
    const Micros from = net::steadyNow();
    deployment.start(servers, 800);
    const int services = (servers + 799) / 800;
    const bool all = mode == Mode::RosterOnly || deployment.until(30 * kSecond, [&] {
      return deployment.hasLogged("srv o" + std::to_string(services - 1) + ": complete");
    });
    std::cout << "| " << servers << " | "
              << (mode == Mode::RosterOnly ? "roster alone"
                  : mode == Mode::Both     ? "roster and records"
                                           : "records alone")
              << " | " << formatMs(deployment.readyAfter) << " | "
              << (all ? formatMs(net::steadyNow() - from) : "-") << " | "
              << deployment.program->peakMemoryMb() << " |\n"
              << std::flush;
  }
}

}  // namespace
}  // namespace peargrade

int main(int argc, char** argv) {
  CLI::App app("Measures the sources of servers with fake peers");
  app.require_subcommand(1);
  int servers = 5000;
  app.add_subcommand("following", "time from a changed record to the update at the relay")
      ->callback(peargrade::following);
  app.add_subcommand("bare", "longest time for which a slice is unroutable, by fault")
      ->callback(peargrade::unroutable);
  CLI::App* memory = app.add_subcommand("memory", "resident memory and time until all servers are listed");
  memory->add_option("--servers", servers, "number of servers")->capture_default_str();
  memory->callback([&] { peargrade::memory(servers); });
  CLI11_PARSE(app, argc, argv);
  return 0;
}
