// The whole supervisor against fakes on loopback: how soon a changed record is an order at the relay, how
// long the worst bucket is bare under each fault beside the single source of before, and what memory 5,000
// servers take. Prints tables for docs/results.md.
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

struct World {
  Loop loop;
  fakes::Relay relay{loop.base.get()};
  fakes::Discovery discovery{loop.base.get()};
  fakes::NameServer one{loop.base.get()}, two{loop.base.get()};
  fakes::SliceCoverage coverage{relay, net::steadyNow};
  net::Address listen{ownHost(), 3000};
  std::unique_ptr<Written> config, operatorFile;
  std::unique_ptr<Program> program;
  std::unique_ptr<fakes::Collector> collector;
  Mode mode;
  std::uint32_t ttl;
  std::string dns =
      " try \"100ms\"\n tries 4\n tcp \"300ms\"\n ttl-floor \"200ms\"\n failure-hold \"200ms\"\n";
  std::string services;

  World(Mode mode, std::uint32_t ttl) : mode(mode), ttl(ttl) {}

  static std::string host(int k) { return "bello-" + std::to_string(k) + ".example.org"; }
  static std::string ip(int k) { return "10.1." + std::to_string(k / 250) + "." + std::to_string(k % 250); }
  std::string id(int k) const {
    return mode == Mode::RecordsOnly ? ip(k) + ":3000" : "s" + std::to_string(k);
  }
  static std::string service(int number) { return "_o" + std::to_string(number) + "._tcp.example.org"; }

  void record(int k, int number = 0) {
    for (auto* names : {&one, &two}) {
      names->srv(service(number), host(k), 3000, 0, 10, ttl);
      names->names[host(k)] = {{1, ip(k), 0, 0, 0, ttl}};
    }
  }
  void unrecord(int k) {
    for (auto* names : {&one, &two}) {
      auto& all = names->names[service(0)];
      all.erase(std::remove_if(all.begin(), all.end(), [&](const auto& d) { return d.value == host(k); }),
                all.end());
    }
  }
  void start(int servers, int perService) {
    relay.proxies[0] = {"east", 5, true};
    for (int slice = 0; slice < 8; ++slice) relay.slices[slice] = {{id(slice % kServers), "1"}};
    for (int k = 0; k < servers; ++k) {
      if (mode != Mode::RosterOnly) record(k, k / perService);
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
                            one.address().text() + "\"\n server \"" + two.address().text() + "\"\n" + dns +
                            " }\n" + services + " merge {\n flap-turns 100\n }\n}\n");
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
  bool said(const std::string& part) const { return program->output().find(part) != std::string::npos; }
};

void fail(World& w, const std::string& fault) {
  if (fault == "first name server silent") w.one.fail(Fault::Silent);
  if (fault == "first name server SERVFAIL") w.one.fail(Fault::ServFail);
  if (fault == "truncated, TCP good") {
    w.one.fail(Fault::Truncated, Over::Udp);
    w.two.fail(Fault::Truncated, Over::Udp);
  }
  for (auto* names : {&w.one, &w.two}) {
    if (fault == "truncated, no TCP") {
      names->fail(Fault::Truncated, Over::Udp);
      names->fail(Fault::Reset, Over::Tcp);
    }
    if (fault == "all silent") names->fail(Fault::Silent);
    if (fault == "all SERVFAIL") names->fail(Fault::ServFail);
    if (fault == "poison") names->fail(Fault::Poison);
  }
}

// Milliseconds, or a dash where it did not come within the limit.
std::string ms(Micros span) { return span < 0 ? "-" : std::to_string(span / 1000); }

void following() {
  constexpr int kTrials = 5;
  std::cout << "| lifetime | fault | median ms | longest ms | of |\n| --- | --- | --- | --- | --- |\n";
  for (const std::uint32_t ttl : {0u, 1u, 3u}) {
    for (const std::string fault :
         {"none", "first name server silent", "first name server SERVFAIL", "truncated, TCP good"}) {
      std::vector<Micros> took;
      for (int trial = 0; trial < kTrials; ++trial) {
        World w(Mode::RecordsOnly, ttl);
        w.start(kServers, 900);
        fail(w, fault);
        // Any part of the lifetime may have passed when the record changes.
        w.until(kSecond + trial * ttl * kSecond / kTrials + 37000, [] { return false; });
        w.unrecord(1);
        const Micros from = net::steadyNow();
        // It is nobody's home any more; a small line to it as a standby goes with the next orders.
        const auto moved = [&] {
          for (const auto& [slice, lines] : w.relay.slices) {
            const auto line = lines.find(w.id(1));
            if (line != lines.end() && std::atof(line->second.c_str()) >= 1) return false;
          }
          return true;
        };
        if (w.until(20 * kSecond, moved)) took.push_back(net::steadyNow() - from);
      }
      std::sort(took.begin(), took.end());
      std::cout << "| " << (ttl == 0 ? "0 (floor 200 ms)" : std::to_string(ttl) + " s") << " | " << fault
                << " | " << (took.empty() ? "-" : ms(took[took.size() / 2])) << " | "
                << (took.empty() ? "-" : ms(took.back())) << " | " << took.size() << " |\n"
                << std::flush;
    }
  }
}

// One server dies; every source that can be heard tells so. How long is its bucket bare?
Micros bareAfterDeath(Mode mode, const std::string& fault, bool& wrong) {
  constexpr Micros kLimit = 10 * kSecond;
  World w(mode, 1);
  w.start(kServers, 900);
  w.until(2 * kSecond, [] { return false; });
  if (mode != Mode::RosterOnly) fail(w, fault);
  w.until(2 * kSecond, [] { return false; });
  if (fault == "half the zone lost") {
    for (int k = 3; k < kServers; ++k) w.unrecord(k);
    w.until(2 * kSecond, [] { return false; });
  }
  w.coverage.leaves(w.id(0), kLimit);
  if (mode != Mode::RecordsOnly) w.discovery.set(w.id(0), "east", "DELETED", 0, World::ip(0) + ":3000");
  if (mode != Mode::RosterOnly) w.unrecord(0);
  const bool moved = w.until(kLimit, [&] { return !w.used(w.id(0)); });
  // Where nobody could tell of the death, that a line stood is no broken rule.
  wrong = (moved && !w.coverage.wrongs().empty()) || w.program->ended();
  return moved ? w.coverage.worst() : -1;
}

void bare() {
  std::cout << "| fault of the name servers | roster alone (before) ms | roster and records ms | records "
               "alone ms |\n"
               "| --- | --- | --- | --- |\n";
  for (const std::string fault :
       {"none", "first name server silent", "first name server SERVFAIL", "truncated, TCP good",
        "truncated, no TCP", "all silent", "all SERVFAIL", "poison", "half the zone lost"}) {
    std::cout << "| " << fault;
    for (const Mode mode : {Mode::RosterOnly, Mode::Both, Mode::RecordsOnly}) {
      bool wrong = false;
      const Micros worst = bareAfterDeath(mode, fault, wrong);
      std::cout << " | " << (worst < 0 ? "not within 10 s" : ms(worst)) << (wrong ? " RULE" : "")
                << std::flush;
    }
    std::cout << " |\n" << std::flush;
  }
}

void memory(int servers) {
  std::cout << "| servers | sources | ready after ms | all listed after ms | peak MB |\n| --- | --- | --- | "
               "--- | --- |\n";
  for (const Mode mode : {Mode::RosterOnly, Mode::Both, Mode::RecordsOnly}) {
    World w(mode, 60);
    const Micros from = net::steadyNow();
    w.start(servers, 800);
    const int services = (servers + 799) / 800;
    const bool all = mode == Mode::RosterOnly || w.until(30 * kSecond, [&] {
      return w.said("srv o" + std::to_string(services - 1) + ": complete");
    });
    std::cout << "| " << servers << " | "
              << (mode == Mode::RosterOnly ? "roster alone"
                  : mode == Mode::Both     ? "roster and records"
                                           : "records alone")
              << " | " << ms(w.readyAfter) << " | " << (all ? ms(net::steadyNow() - from) : "-") << " | "
              << w.program->peakMemoryMb() << " |\n"
              << std::flush;
  }
}

}  // namespace
}  // namespace peargrade

int main(int argc, char** argv) {
  CLI::App app("measurements of the sources of servers, on fakes");
  app.require_subcommand(1);
  int servers = 5000;
  app.add_subcommand("following", "from a changed record to the order")->callback(peargrade::following);
  app.add_subcommand("bare", "how long the worst bucket is bare, by fault")->callback(peargrade::bare);
  CLI::App* memory = app.add_subcommand("memory", "resident memory and time to list all");
  memory->add_option("--servers", servers, "how many")->capture_default_str();
  memory->callback([&] { peargrade::memory(servers); });
  CLI11_PARSE(app, argc, argv);
  return 0;
}
