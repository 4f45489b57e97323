// Tests of a supervisor process with an SRV service as a source, against fakes of its peers: no slice is
// without a usable route for longer than the settings allow, and no route leads to a draining server after
// its grace period. Size: 8 slices, 6 servers, TTLs of 1 s.
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
constexpr Micros kMaxUnroutedTime = 5 * kSecond;    // blackholeUs of the example
constexpr Micros kDrainGrace = 2 * kSecond;         // drainGraceUs of the example
constexpr Micros kSocketLatencyAllowance = 300000;  // latency added by the sockets
constexpr char kName[] = "_o._tcp.example.org";

struct SourcesProcess : testing::Test {
  Loop loop;
  fakes::Relay relay{loop.base.get()};
  fakes::Discovery discovery{loop.base.get()};
  fakes::NameServer names{loop.base.get()};
  fakes::SliceCoverage coverage{relay, net::steadyNow};
  net::Address listen{ownHost(), 3000};
  std::unique_ptr<Written> config;
  std::unique_ptr<Written> operatorFile;
  std::unique_ptr<Program> program;
  std::unique_ptr<fakes::Collector> collector;

  static std::string hostName(int k) { return "bello-" + std::to_string(k) + ".example.org"; }
  static std::string addressOf(int k) { return "10.1.0." + std::to_string(k) + ":3000"; }

  void addRecord(int k, std::uint32_t ttl = 1) {
    names.srv(kName, hostName(k), 3000, 0, 10, ttl);
    names.a(hostName(k), "10.1.0." + std::to_string(k), ttl);
  }
  void removeRecord(int k) {
    auto& all = names.names[kName];
    all.erase(std::remove_if(all.begin(), all.end(), [&](const auto& d) { return d.value == hostName(k); }),
              all.end());
  }
  // Starts the supervisor and waits for the log text `waitFor`. The relay initially assigns the slices to the
  // six servers in turn, under the names by which the supervisor will list them.
  void startSupervisor(bool roster, const std::string& merge = "",
                       const std::string& waitFor = "srv orders: complete") {
    relay.proxies[0] = {"east", 5, true};
    for (int slice = 0; slice < 8; ++slice)
      relay.slices[slice] = {{roster ? "s" + std::to_string(slice % 6) : addressOf(slice % 6), "1"}};
    for (int k = 0; k < 6; ++k) {
      addRecord(k);
      coverage.runs(roster ? "s" + std::to_string(k) : addressOf(k));
      if (roster) discovery.set("s" + std::to_string(k), "east", "SERVING", 0, addressOf(k));
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
    ASSERT_TRUE(sampleUntil([&] {
      if (!collector || collector->ended()) {
        collector = std::make_unique<fakes::Collector>(loop.base.get(), listen);
        collector->send(R"({"type":"hb"})");
      }
      return !collector->received.empty() && hasLogged(waitFor);
    })) << program->output();
  }
  // Runs the loop until `holds`, sampling the slice coverage at each turn.
  bool sampleUntil(const std::function<bool()>& holds) {
    return loop.until([&] {
      coverage.sample();
      return holds();
    });
  }
  void runFor(Micros span) {
    const Micros end = net::steadyNow() + span;
    sampleUntil([&] { return net::steadyNow() >= end; });
  }
  bool hasLogged(const std::string& part) const { return program->output().find(part) != std::string::npos; }
  bool hasRoute(const std::string& server) const {
    for (const auto& [slice, lines] : relay.slices) {
      if (lines.count(server) != 0) return true;
    }
    return false;
  }
  void expectRulesKept() {
    EXPECT_LE(coverage.worst(), kMaxUnroutedTime + kSocketLatencyAllowance) << coverage.where() << "\n"
                                                                            << program->output();
    for (const std::string& violation : coverage.wrongs()) ADD_FAILURE() << violation;
    EXPECT_FALSE(program->ended()) << program->output();
    program->signal(SIGTERM);
    EXPECT_EQ(program->wait(), 0) << program->output();
    std::cout << "longest time without a usable route " << coverage.worst() / 1000 << " ms\n";
  }
};

// The UDP answer is truncated and lists half of the servers; the full answer over TCP cannot be fetched.
TEST_F(SourcesProcess, TruncatedAnswerWithHalfOfTheServersMovesNoSlices) {
  startSupervisor(false);
  names.fail(Fault::Truncated, Over::Udp);
  names.fail(Fault::Reset, Over::Tcp);
  ASSERT_TRUE(sampleUntil([&] { return hasLogged("srv orders: partial code=truncated"); }))
      << program->output();
  runFor(3 * kSecond);
  for (int k = 0; k < 6; ++k) EXPECT_TRUE(hasRoute(addressOf(k))) << addressOf(k);
  EXPECT_EQ(coverage.worst(), 0);
  expectRulesKept();
}

// The records expire while the roster still reports the servers as running.
TEST_F(SourcesProcess, ExpiredRecordsOfServersInTheRosterMoveNoSlices) {
  startSupervisor(true, "stale \"0s\"\nstep-every \"100ms\"");
  names.fail(Fault::Silent);
  ASSERT_TRUE(sampleUntil([&] { return hasLogged("srv orders: failed"); })) << program->output();
  runFor(3 * kSecond);
  for (int k = 0; k < 6; ++k) EXPECT_TRUE(hasRoute("s" + std::to_string(k)));
  EXPECT_EQ(coverage.worst(), 0);
  expectRulesKept();
}

TEST_F(SourcesProcess, DrainInTheRosterHoldsWhileRecordsStillListTheServer) {
  startSupervisor(true);
  discovery.set("s0", "east", "DRAINING", 0, addressOf(0));
  coverage.leaves("s0", kDrainGrace + kSocketLatencyAllowance);
  ASSERT_TRUE(sampleUntil([&] { return !hasRoute("s0"); })) << program->output();
  runFor(3 * kSecond);
  EXPECT_FALSE(hasRoute("s0"));
  EXPECT_FALSE(hasRoute(addressOf(0)));
  expectRulesKept();
}

TEST_F(SourcesProcess, ServerRemovedFromTheRecordsLosesItsRoutesWithinTheTtl) {
  startSupervisor(false);
  removeRecord(1);
  coverage.leaves(addressOf(1), kDrainGrace + kSocketLatencyAllowance + kSecond);
  ASSERT_TRUE(sampleUntil([&] { return !hasRoute(addressOf(1)); })) << program->output();
  expectRulesKept();
}

// The name server loses most of its zone: no server is removed before a second answer confirms the loss, and
// no slice is without a usable route afterwards.
TEST_F(SourcesProcess, ZoneThatLosesMostServersIsConfirmedAndEverySliceKeepsARoute) {
  startSupervisor(false, "confirm-within \"3s\"");
  for (int k = 2; k < 6; ++k) removeRecord(k);
  for (int k = 2; k < 6; ++k) coverage.leaves(addressOf(k), 2 * kMaxUnroutedTime);
  ASSERT_TRUE(sampleUntil([&] {
    return !hasRoute(addressOf(2)) && !hasRoute(addressOf(3)) && !hasRoute(addressOf(4)) &&
           !hasRoute(addressOf(5));
  })) << program->output();
  EXPECT_TRUE(hasLogged("code=removed"));
  expectRulesKept();
}

// All name servers refuse from the start: the servers come from the roster alone.
TEST_F(SourcesProcess, RosterIsUsedWhenNoNameServerAnswers) {
  names.refuse(true);
  startSupervisor(true, "", "srv orders: failed");
  runFor(kSecond);
  discovery.set("s2", "east", "DRAINING", 0, addressOf(2));
  coverage.leaves("s2", kDrainGrace + kSocketLatencyAllowance);
  ASSERT_TRUE(sampleUntil([&] { return !hasRoute("s2"); })) << program->output();
  expectRulesKept();
}

TEST_F(SourcesProcess, Sigusr1LogsTheExplanationOfEachServer) {
  startSupervisor(true);
  program->signal(SIGUSR1);
  ASSERT_TRUE(sampleUntil([&] {
    return hasLogged("s3 is ready code=roster; roster: ready; srv orders: listed as bello-3");
  })) << program->output();
  expectRulesKept();
}

struct SourcesCommands : SourcesProcess {};

TEST_F(SourcesCommands, LookupPrintsAnswersTtlsAndSteps) {
  for (int k = 0; k < 3; ++k) addRecord(k, 30);
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
  Program invalid({PEARGRADE_PROGRAM, "srv", "lookup", "a..b", "--server", names.address().text()});
  EXPECT_EQ(invalid.wait(), 2) << invalid.output();
}

// Scripts use the exit code to find out whether a service exists.
TEST_F(SourcesCommands, LookupWithoutResultReportsTheReasonInItsExitCode) {
  names.a("address-only.example.org", "10.1.0.9");
  names.srv("_closed._tcp.example.org", "", 0);  // target ".": the service is not offered
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

TEST_F(SourcesCommands, ExplainPrintsSourceAndRuleForEachServer) {
  startSupervisor(true);
  addRecord(6);
  discovery.set("s1", "east", "DRAINING", 0, addressOf(1));
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
