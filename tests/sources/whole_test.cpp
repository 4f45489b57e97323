// The whole supervisor as a process with SRV as a source, against fakes: no slice is bare for longer than
// the settings allow, and nothing is sent to a server that drains. Size: 8 slices, 6 servers, lifetimes of 1
// s.
#include <gtest/gtest.h>

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
constexpr Micros kBareMax = 5 * kSecond;     // blackholeUs of the example
constexpr Micros kDrainGrace = 2 * kSecond;  // drainGraceUs of the example
constexpr Micros kSocketRoom = 300000;       // that the rules on sockets add
constexpr char kName[] = "_o._tcp.example.org";

struct Whole : testing::Test {
  Loop loop;
  fakes::Relay relay{loop.base.get()};
  fakes::Discovery discovery{loop.base.get()};
  fakes::NameServer names{loop.base.get()};
  fakes::SliceCoverage coverage{relay, net::steadyNow};
  net::Address listen{ownHost(), 3000};
  std::unique_ptr<Written> config, operatorFile;
  std::unique_ptr<Program> program;
  std::unique_ptr<fakes::Collector> collector;

  static std::string host(int k) { return "bello-" + std::to_string(k) + ".example.org"; }
  static std::string at(int k) { return "10.1.0." + std::to_string(k) + ":3000"; }

  void record(int k, std::uint32_t ttl = 1) {
    names.srv(kName, host(k), 3000, 0, 10, ttl);
    names.a(host(k), "10.1.0." + std::to_string(k), ttl);
  }
  void unrecord(int k) {
    auto& all = names.names[kName];
    all.erase(std::remove_if(all.begin(), all.end(), [&](const auto& d) { return d.value == host(k); }),
              all.end());
  }
  // Slices stand at the servers as they will be told.
  void start(bool roster, const std::string& merge = "",
             const std::string& waitFor = "srv orders: complete") {
    relay.proxies[0] = {"east", 5, true};
    for (int slice = 0; slice < 8; ++slice)
      relay.slices[slice] = {{roster ? "s" + std::to_string(slice % 6) : at(slice % 6), "1"}};
    for (int k = 0; k < 6; ++k) {
      record(k);
      coverage.runs(roster ? "s" + std::to_string(k) : at(k));
      if (roster) discovery.set("s" + std::to_string(k), "east", "SERVING", 0, at(k));
    }
    std::ifstream in(PEARGRADE_EXAMPLE_CONFIG);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    text = replaced(text, "127.0.0.1:3000", listen.text());
    text = replaced(text, "127.0.0.1:8500", discovery.address().text());
    text = replaced(text, "127.0.0.1:6400", relay.address().text());
    config = std::make_unique<Written>("_whole.json", text);
    operatorFile = std::make_unique<Written>(
        "_whole.kdl", std::string("version 1\nsources {\n roster ") + (roster ? "true" : "false") +
                          "\n dns {\n server \"" + names.address().text() +
                          "\"\n try \"100ms\"\n tries 2\n tcp \"200ms\"\n ttl-floor \"200ms\"\n failure-hold "
                          "\"200ms\"\n }\n"
                          " srv \"orders\" {\n name \"" +
                          kName + "\"\n place zone=\"east\"\n }\n merge {\n" + merge + "\n }\n}\n");
    program = std::make_unique<Program>(std::vector<std::string>{
        PEARGRADE_PROGRAM, "serve", "-c", config->path, "--operator", operatorFile->path});
    ASSERT_TRUE(until([&] {
      if (!collector || collector->ended()) {
        collector = std::make_unique<fakes::Collector>(loop.base.get(), listen);
        collector->send(R"({"type":"hb"})");
      }
      return !collector->received.empty() && said(waitFor);
    })) << program->output();
  }
  bool until(const std::function<bool()>& holds) {
    return loop.until([&] {
      coverage.sample();
      return holds();
    });
  }
  void pass(Micros span) {
    const Micros end = net::steadyNow() + span;
    until([&] { return net::steadyNow() >= end; });
  }
  bool said(const std::string& part) const { return program->output().find(part) != std::string::npos; }
  bool used(const std::string& server) const {
    for (const auto& [slice, lines] : relay.slices) {
      if (lines.count(server) != 0) return true;
    }
    return false;
  }
  void expectRulesKept() {
    EXPECT_LE(coverage.worst(), kBareMax + kSocketRoom) << coverage.where() << "\n" << program->output();
    for (const std::string& wrong : coverage.wrongs()) ADD_FAILURE() << wrong;
    EXPECT_FALSE(program->ended()) << program->output();
    program->signal(SIGTERM);
    EXPECT_EQ(program->wait(), 0) << program->output();
    std::cout << "worst bare " << coverage.worst() / 1000 << " ms\n";
  }
};

// The hard case: half the pool in a truncated answer, the rest out of reach.
TEST_F(Whole, ATruncatedAnswerThatListsHalfThePoolMovesNothing) {
  start(false);
  names.fail(Fault::Truncated, Over::Udp);
  names.fail(Fault::Reset, Over::Tcp);
  ASSERT_TRUE(until([&] { return said("srv orders: partial code=truncated"); })) << program->output();
  pass(3 * kSecond);
  for (int k = 0; k < 6; ++k) EXPECT_TRUE(used(at(k))) << at(k);
  EXPECT_EQ(coverage.worst(), 0);
  expectRulesKept();
}

// The hard case: records end, the roster goes on reporting the servers as running.
TEST_F(Whole, ExpiredRecordsOfServersThatTheRosterRunsMoveNothing) {
  start(true, "stale \"0s\"\nstep-every \"100ms\"");
  names.fail(Fault::Silent);
  ASSERT_TRUE(until([&] { return said("srv orders: failed"); })) << program->output();
  pass(3 * kSecond);
  for (int k = 0; k < 6; ++k) EXPECT_TRUE(used("s" + std::to_string(k)));
  EXPECT_EQ(coverage.worst(), 0);
  expectRulesKept();
}

TEST_F(Whole, ADrainOfTheRosterIsKeptThoughRecordsGoOnListing) {
  start(true);
  discovery.set("s0", "east", "DRAINING", 0, at(0));
  coverage.leaves("s0", kDrainGrace + kSocketRoom);
  ASSERT_TRUE(until([&] { return !used("s0"); })) << program->output();
  pass(3 * kSecond);
  EXPECT_FALSE(used("s0"));
  EXPECT_FALSE(used(at(0)));
  expectRulesKept();
}

TEST_F(Whole, AServerTakenOutOfTheRecordsIsLeftWithinItsLifetime) {
  start(false);
  unrecord(1);
  coverage.leaves(at(1), kDrainGrace + kSocketRoom + kSecond);
  ASSERT_TRUE(until([&] { return !used(at(1)); })) << program->output();
  expectRulesKept();
}

// Most of the zone is lost at the name server: nothing moves before a second answer, and then nothing is
// bare.
TEST_F(Whole, AZoneThatLosesMostServersIsAskedTwiceAndNeverLeavesASliceBare) {
  start(false, "confirm-within \"3s\"");
  for (int k = 2; k < 6; ++k) unrecord(k);
  for (int k = 2; k < 6; ++k) coverage.leaves(at(k), 2 * kBareMax);
  ASSERT_TRUE(until([&] { return !used(at(2)) && !used(at(3)) && !used(at(4)) && !used(at(5)); }))
      << program->output();
  EXPECT_TRUE(said("code=removed"));
  expectRulesKept();
}

// No name server from the start on: the roster alone serves.
TEST_F(Whole, WithoutAnyNameServerTheRosterServesAsBefore) {
  names.refuse(true);
  start(true, "", "srv orders: failed");
  pass(kSecond);
  discovery.set("s2", "east", "DRAINING", 0, at(2));
  coverage.leaves("s2", kDrainGrace + kSocketRoom);
  ASSERT_TRUE(until([&] { return !used("s2"); })) << program->output();
  expectRulesKept();
}

TEST_F(Whole, TheSignalForExplanationsWritesThemToTheLog) {
  start(true);
  program->signal(SIGUSR1);
  ASSERT_TRUE(until([&] {
    return said("s3 is ready code=roster; roster: ready; srv orders: listed as bello-3");
  })) << program->output();
  expectRulesKept();
}

struct Commands : Whole {};

TEST_F(Commands, LookupShowsAnswersLifetimesAndSteps) {
  for (int k = 0; k < 3; ++k) record(k, 30);
  names.fail(Fault::Truncated, Over::Udp, kName);
  for (const bool json : {false, true}) {
    std::vector<std::string> words{PEARGRADE_PROGRAM,     "srv", "lookup", kName, "--server",
                                   names.address().text()};
    if (json) words.push_back("--json");
    Program lookup(words);
    ASSERT_TRUE(loop.until([&] { return lookup.ended(); }));
    EXPECT_EQ(lookup.wait(), 0) << lookup.output();
    for (const std::string& part :
         {std::string(json ? "\"target\": \"bello-2.example.org\"" : "bello-2.example.org:3000 10.1.0.2"),
          std::string(json ? "\"over\": \"tcp\"" : " SRV tcp "), std::string("truncated"),
          std::string("complete")})
      EXPECT_NE(lookup.output().find(part), std::string::npos) << part << "\n" << lookup.output();
  }
  names.fail(Fault::ServFail);
  Program failed(
      {PEARGRADE_PROGRAM, "srv", "lookup", "other.example.org", "--server", names.address().text()});
  ASSERT_TRUE(loop.until([&] { return failed.ended(); }));
  EXPECT_EQ(failed.wait(), 1) << failed.output();
  Program wrong({PEARGRADE_PROGRAM, "srv", "lookup", "a..b", "--server", names.address().text()});
  EXPECT_EQ(wrong.wait(), 2) << wrong.output();
}

// Scripts tell by the exit code whether a service is there.
TEST_F(Commands, LookupThatFindsNothingSaysWhyByItsExitCode) {
  names.a("address-only.example.org", "10.1.0.9");
  names.srv("_closed._tcp.example.org", "", 0);  // the root as the target: not offered
  struct Case {
    const char* name;
    int exitCode;
    const char* outcome;
  };
  for (const Case& c :
       {Case{"absent.example.org", 4, "no-such-name"}, Case{"address-only.example.org", 5, "no-records"},
        Case{"_closed._tcp.example.org", 5, "no-records"}}) {
    for (const bool json : {false, true}) {
      std::vector<std::string> words{PEARGRADE_PROGRAM,     "srv", "lookup", c.name, "--server",
                                     names.address().text()};
      if (json) words.push_back("--json");
      Program lookup(words);
      ASSERT_TRUE(loop.until([&] { return lookup.ended(); }));
      EXPECT_EQ(lookup.wait(), c.exitCode) << lookup.output();
      EXPECT_NE(lookup.output().find(c.outcome), std::string::npos) << lookup.output();
    }
  }
}

TEST_F(Commands, ExplainNamesForEachServerSourceAndRule) {
  start(true);
  record(6);
  discovery.set("s1", "east", "DRAINING", 0, at(1));
  for (const bool json : {false, true}) {
    std::vector<std::string> words{PEARGRADE_PROGRAM, "sources",    "explain",         "-c",
                                   config->path,      "--operator", operatorFile->path};
    if (json) words.push_back("--json");
    Program explain(words);
    ASSERT_TRUE(loop.until([&] { return explain.ended(); }));
    EXPECT_EQ(explain.wait(), 0) << explain.output();
    for (const std::string& part :
         {std::string(json ? "\"rule\": \"roster-draining\"" : "s1 draining, rule roster-draining"),
          std::string(json ? "\"server\": \"10.1.0.6:3000\"" : "10.1.0.6:3000 ready, rule records"),
          std::string("listed as bello-1.example.org priority 0 weight 10")})
      EXPECT_NE(explain.output().find(part), std::string::npos) << part << "\n" << explain.output();
  }
}

}  // namespace
}  // namespace peargrade
