// The program as others start it: the command line, a life from the start to SIGTERM, and the example.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <list>

#include "config/config.h"
#include "fakes/collector.h"
#include "fakes/discovery.h"
#include "fakes/relay.h"
#include "support/loop.h"
#include "support/program.h"

namespace peargrade {
namespace {

std::string exampleConfig() {
  std::ifstream in(PEARGRADE_EXAMPLE_CONFIG);
  return {std::istreambuf_iterator<char>(in), {}};
}

struct WrittenConfig : Written {
  explicit WrittenConfig(const std::string& text) : Written("_config.json", text) {}
};

TEST(CommandLine, VersionHelpAndUsage) {
  Program version({PEARGRADE_PROGRAM, "version"});
  EXPECT_EQ(version.wait(), 0);
  int major = -1, minor = -1, patch = -1;
  EXPECT_EQ(std::sscanf(version.output().c_str(), "peargrade %d.%d.%d", &major, &minor, &patch), 3)
      << version.output();
  Program help({PEARGRADE_PROGRAM, "--help"});
  EXPECT_EQ(help.wait(), 0);
  for (const char* word : {"serve", "check", "version"})
    EXPECT_NE(help.output().find(word), std::string::npos);
  for (const std::vector<std::string>& words :
       {std::vector<std::string>{PEARGRADE_PROGRAM},
        {PEARGRADE_PROGRAM, "what"},
        {PEARGRADE_PROGRAM, "serve"},
        {PEARGRADE_PROGRAM, "serve", "-c", "x", "--log-level", "loud"}}) {
    Program wrong(words);
    EXPECT_GT(wrong.wait(), 0);
    EXPECT_NE(wrong.output().find("--help"), std::string::npos) << wrong.output();
  }
}

TEST(CommandLine, CheckSaysWhatItUnderstoodOrWhatIsWrong) {
  Program good({PEARGRADE_PROGRAM, "check", "-c", PEARGRADE_EXAMPLE_CONFIG});
  EXPECT_EQ(good.wait(), 0);
  EXPECT_NE(good.output().find("listen     127.0.0.1:3000"), std::string::npos) << good.output();
  EXPECT_NE(good.output().find("8 slices, 2 zones"), std::string::npos) << good.output();
  Program variable({PEARGRADE_PROGRAM, "check"},
                   {"NODE_CONFIG=" PEARGRADE_EXAMPLE_CONFIG, "NODE_LISTEN=127.0.0.5:9"});
  EXPECT_EQ(variable.wait(), 0);
  EXPECT_NE(variable.output().find("listen     127.0.0.5:9"), std::string::npos) << variable.output();
  Program option({PEARGRADE_PROGRAM, "check", "--listen", "127.0.0.6:9"},
                 {"NODE_CONFIG=" PEARGRADE_EXAMPLE_CONFIG, "NODE_LISTEN=127.0.0.5:9"});
  EXPECT_EQ(option.wait(), 0);
  EXPECT_NE(option.output().find("listen     127.0.0.6:9"), std::string::npos) << option.output();
  const WrittenConfig wrong(replaced(exampleConfig(), "127.0.0.1:8500", "nowhere"));
  for (const char* command : {"check", "serve"}) {
    Program program({PEARGRADE_PROGRAM, command, "-c", wrong.path});
    EXPECT_EQ(program.wait(), 2);
    EXPECT_NE(program.output().find("\ndiscovery: 'nowhere' is no address"), std::string::npos);
  }
}

struct Life : testing::Test {
  Loop loop;
  fakes::Relay relay{loop.base.get()};
  fakes::Discovery discovery{loop.base.get()};
  net::Address listen{ownHost(), 3000};

  std::string config() {
    std::string text = replaced(exampleConfig(), "127.0.0.1:3000", listen.text());
    text = replaced(text, "127.0.0.1:8500", discovery.address().text());
    return replaced(text, "127.0.0.1:6400", relay.address().text());
  }
  // Three servers with a slice each, and a proxy.
  void threeServers() {
    for (const char* uid : {"s1", "s2", "s3"}) discovery.set(uid, "east", "SERVING");
    relay.proxies[0] = {"east", 5, true};
    relay.slices = {{0, {{"s1", "1"}}}, {1, {{"s2", "1"}}}, {2, {{"s3", "1"}}}};
  }
  // Dials until the supervisor listens, and sends a heartbeat.
  bool untilItAnswers(std::unique_ptr<fakes::Collector>& prober) {
    return loop.until([&] {
      if (!prober || prober->ended()) {
        prober = std::make_unique<fakes::Collector>(loop.base.get(), listen);
        prober->send(R"({"type":"hb"})");
      }
      return !prober->received.empty();
    });
  }
};

// Guards against a site whose settings say that lists are pushed: over HTTP nobody pushes to one that never
// asked, and such a supervisor never heard of a drain.
TEST_F(Life, TheListIsWatchedWhereTheSettingsSayThatItIsPushed) {
  threeServers();
  const WrittenConfig file(replaced(config(), "\"on_request\"", "\"pushed\""));
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  discovery.set("s1", "east", "DRAINING");
  const auto leads = [](const auto& line) {
    return line.first != "s1" && std::atof(line.second.c_str()) >= 1;
  };
  ASSERT_TRUE(loop.until([&] { return std::any_of(relay.slices[0].begin(), relay.slices[0].end(), leads); }))
      << program.output();
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
}

TEST_F(Life, ServesADrainAndEndsAtSigterm) {
  threeServers();
  const WrittenConfig file(config());
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  discovery.set("s1", "east", "DRAINING");
  ASSERT_TRUE(loop.until([&] {
    const auto& lines = relay.slices[0];
    for (const auto& [host, weight] : lines) {
      if (host != "s1" && std::atof(weight.c_str()) >= 1) return true;
    }
    return false;
  })) << program.output();
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
  const std::string output = program.output();
  EXPECT_NE(output.find("supervisor: stopping"), std::string::npos);
  for (const char* peer : {" health-checker ended", " news ended", " calls ended", "discovery: connection "})
    EXPECT_NE(output.find(peer), std::string::npos) << "no line for" << peer << " in\n" << output;
}

// A supervisor knows nothing but its configuration after a restart; neither peer has to be there.
TEST_F(Life, AnswersSoonThoughRelayAndDiscoveryAreDead) {
  const net::Address nobody{ownHost(), 1};
  const WrittenConfig file(replaced(replaced(config(), discovery.address().text(), nobody.text()),
                                    relay.address().text(), ownHost() + ":2"));
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  std::unique_ptr<fakes::Collector> prober;
  const Micros from = net::steadyNow();
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  EXPECT_LT(net::steadyNow() - from, 15000000);
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
}

// The same where both take a dial in and never say a word.
TEST_F(Life, AnswersSoonThoughRelayAndDiscoveryAreSilent) {
  relay.muteNews = discovery.mute = true;
  const WrittenConfig file(config());
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  std::unique_ptr<fakes::Collector> prober;
  const Micros from = net::steadyNow();
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  EXPECT_LT(net::steadyNow() - from, 10000000) << "nine in ten within 10 s, by cause";
  EXPECT_GE(relay.watches, 1);
  EXPECT_GE(discovery.requests.size(), 1u);
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0) << program.output();
}

// A supervisor that starts with an old list learns what left meanwhile, and serves the slices that stand
// there.
TEST_F(Life, StartsFromAnOutOfDateList) {
  for (const char* uid : {"s1", "s2", "s3"}) discovery.set(uid, "east", "SERVING");
  const std::string old = discovery.list(0);
  discovery.set("s1", "east", "DELETED");
  relay.proxies[0] = {"east", 5, false};
  relay.slices = {{0, {{"s1", "1"}}}, {1, {{"s2", "1"}}}, {2, {{"s3", "1"}}}};
  const WrittenConfig file(replaced(config(), R"({"rev": 0, "all": true, "targets": []})", old));
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  ASSERT_TRUE(loop.until([&] {
    for (const auto& [host, weight] : relay.slices[0]) {
      if (host != "s1" && std::atof(weight.c_str()) >= 1) return true;
    }
    return false;
  })) << program.output();
  EXPECT_EQ(discovery.requests.at(0), "/catalog/members?follow=1&since=3");
  EXPECT_EQ(relay.slices[1].at("s2"), "1") << "what is well stays";
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
}

// Guards against a flood at the smallest limits that are granted: more strangers than descriptors, each with
// a message begun, collectors with messages of 1 MiB that do not end, while nobody reads the log. The
// supervisor goes on answering, far within both limits.
TEST_F(Life, AFloodOfStrangersAndAnUnreadLogLeaveItServing) {
  discovery.set("s1", "east", "SERVING");
  int unread[2];
  ASSERT_EQ(pipe(unread), 0);
  const WrittenConfig file(replaced(replaced(config(), "\"sockets\": 1024", "\"sockets\": 256"),
                                    "\"memory_mb\": 192", "\"memory_mb\": 32"));
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path, "--log-level", "debug"}, {}, unread[1], 256);
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober));
  const std::string joining = R"({"type":"telemetry","az":"east"})";
  const std::string begun = std::string("\x00\x0f\x00\x00", 4) + std::string(200 << 10, ' ');
  const std::string half = std::string("\x00\x00\x08\x00", 4) + std::string(1000, ' ');
  std::list<fakes::Collector> flood;
  for (int k = 0; k < 2000; ++k) {
    if (flood.size() >= 400) flood.pop_front();
    flood.emplace_back(loop.base.get(), listen);
    if (k % 2 == 0) flood.back().send(joining);
    flood.back().sendRaw(k % 2 == 0 ? begun : half);
    for (int turn = 0; turn < 3; ++turn) event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  }
  const std::size_t before = prober->received.size();
  ASSERT_TRUE(loop.until([&] {
    if (prober->ended()) prober = std::make_unique<fakes::Collector>(loop.base.get(), listen);
    if (prober->up()) prober->send(R"({"type":"hb"})");
    return prober->received.size() > before;
  }));
  EXPECT_FALSE(program.ended());
  EXPECT_LE(program.descriptors(), 256);
#ifndef __SANITIZE_ADDRESS__  // it multiplies the memory
  EXPECT_LT(program.peakMemoryMb(), 20);
  std::cout << "peak " << program.peakMemoryMb() << " MB, " << program.descriptors() << " descriptors\n";
#endif
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0);
  close(unread[0]);
  close(unread[1]);
}

// A new configuration under load: both peers move, several times, with wrong and unchanged files between; no
// order is lost and no client notices.
TEST_F(Life, SighupMovesBothPeersAndKeepsClientsAndState) {
  for (const char* uid : {"s1", "s2", "s3"}) discovery.set(uid, "east", "SERVING");
  relay.proxies[0] = {"east", 5, false};
  relay.slices = {{0, {{"s1", "1"}}}, {1, {{"s2", "1"}}}, {2, {{"s3", "1"}}}};
  const std::string first = config();
  const WrittenConfig file(first);
  // The variable names the first address: it is older than the file that comes later.
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path},
                  {"NODE_DISCOVERY=" + discovery.address().text()});
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  ASSERT_TRUE(loop.until([&] { return discovery.watching() == 1 && relay.watches == 1; }));
  fakes::Collector collector(loop.base.get(), listen);
  collector.send(R"({"type":"telemetry","az":"east"})");

  const auto write = [&](const std::string& text) { std::ofstream(file.path) << text; };
  const auto said = [&](const char* part) { return program.output().find(part) != std::string::npos; };
  write(first.substr(0, first.size() / 2));
  program.signal(SIGHUP);
  ASSERT_TRUE(loop.until([&] { return said("new configuration left out, the old one holds"); }));
  write(replaced(first, "\"address\"", "\"adress\""));
  program.signal(SIGHUP);
  ASSERT_TRUE(loop.until([&] { return said("relay: 'address' is missing"); })) << program.output();
  std::remove(file.path.c_str());
  program.signal(SIGHUP);
  ASSERT_TRUE(loop.until([&] { return said("cannot read"); })) << program.output();
  EXPECT_EQ(discovery.watching(), 1u);

  fakes::Relay relay2{loop.base.get()};
  fakes::Discovery discovery2{loop.base.get()};
  for (const char* uid : {"s1", "s2", "s3"}) discovery2.set(uid, "east", "SERVING");
  relay2.proxies = relay.proxies;
  relay2.slices = relay.slices;
  std::string moved = replaced(first, discovery.address().text(), discovery2.address().text());
  moved = replaced(moved, relay.address().text(), relay2.address().text());
  moved = replaced(moved, "\"sockets\": 1024", "\"sockets\": 512");
  write(moved);
  program.signal(SIGHUP);
  program.signal(SIGHUP);
  relay.refuse(true);
  ASSERT_TRUE(loop.until([&] { return discovery2.watching() == 1 && relay2.watches == 1; }))
      << program.output();
  ASSERT_TRUE(loop.until([&] { return discovery.watching() == 0 && relay.open() == 0; }));
  EXPECT_TRUE(said("'limits' is taken over by a restart only")) << program.output();
  discovery2.set("s1", "east", "DRAINING");
  ASSERT_TRUE(loop.until([&] {
    for (const auto& [host, weight] : relay2.slices[0]) {
      if (host != "s1" && std::atof(weight.c_str()) >= 1) return true;
    }
    return false;
  })) << program.output();
  program.signal(SIGHUP);  // unchanged: nothing moves
  const std::size_t answers = prober->received.size();
  prober->send(R"({"type":"hb"})");
  ASSERT_TRUE(loop.until([&] { return prober->received.size() > answers; }))
      << "clients keep their connections";
  EXPECT_FALSE(collector.ended());
  EXPECT_EQ(relay2.watches, 1);
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0) << program.output();
  EXPECT_FALSE(said(": gone")) << "nothing is taken for gone that is there";
}

// ---- Settings that change without a restart ----

struct SettingsReload : Life {
  const Written allowed{"_allowed.kdl", "version 1\nconfiguration {\n  settings-reload true\n}\n"};

  // A configuration with a version; `repeats`: what may be done with a lookup that failed.
  std::string versioned(int version, bool repeats) {
    const std::string text = replaced(config(), "\"name\": \"example\"",
                                      "\"version\": " + std::to_string(version) + R"(, "name": "n")");
    return repeats ? text : replaced(text, "\"repeatable\"", "\"once\"");
  }
  // As whole as a rename makes it.
  static void replace(const std::string& path, const std::string& text) {
    std::ofstream(path + ".new") << text;
    ASSERT_EQ(std::rename((path + ".new").c_str(), path.c_str()), 0);
  }
  std::vector<std::string> serve(const std::string& path) const {
    return {PEARGRADE_PROGRAM, "serve", "-c", path, "--operator", allowed.path};
  }
  // The last rule for lookups that the relay has taken; 2: again after any failure, 1: only after proof.
  std::string rule() const {
    std::string last;
    for (const std::string& order : relay.orders) {
      if (order.compare(0, 14, "gate,*,lookup,") == 0) last = order.substr(order.rfind(',') + 1);
    }
    return last;
  }
  bool leftS1() {
    for (const auto& [host, weight] : relay.slices[0]) {
      if (host != "s1" && std::atof(weight.c_str()) >= 1) return true;
    }
    return false;
  }
  static bool said(const Program& program, const std::string& part) {
    return program.output().find(part) != std::string::npos;
  }
};

TEST_F(SettingsReload, ChangedSettingsAreInForceWithoutARestartAndWrongOnesNever) {
  threeServers();
  const WrittenConfig file(versioned(5, true));
  Program program(serve(file.path));
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  ASSERT_TRUE(loop.until([&] { return rule() == "2"; })) << program.output();
  EXPECT_TRUE(said(program, "configuration in force: version 5 (content ")) << program.output();
  const std::string good = versioned(6, false);
  const std::pair<std::string, const char*> refused[] = {
      {good.substr(0, good.size() / 2), "refused (unreadable), version 5 "},
      {versioned(4, false), "refused (stale-version), version 5 "},
      {versioned(5, false), "refused (same-version), version 5 "},
      {replaced(good, "\"shards\": 8", "\"shards\": 9"), "refused (structure), version 5 "},
      {replaced(good, "\"startCapacity\": 0.2", "\"startCapacity\": 2"),
       "refused (out-of-range), version 5 "}};
  for (const auto& [text, line] : refused) {
    replace(file.path, text);
    program.signal(SIGHUP);
    const char* part = line;
    ASSERT_TRUE(loop.until([&] { return said(program, part); })) << line << program.output();
  }
  EXPECT_EQ(rule(), "2") << "the last known good is in force";
  replace(file.path, good);
  program.signal(SIGHUP);
  ASSERT_TRUE(loop.until([&] { return rule() == "1"; })) << program.output();
  EXPECT_TRUE(said(program, "configuration in force: version 6 (content ")) << program.output();
  const std::size_t answers = prober->received.size();
  prober->send(R"({"type":"hb"})");
  ASSERT_TRUE(loop.until([&] { return prober->received.size() > answers; }))
      << "clients keep their connections";
  EXPECT_EQ(relay.watches, 1);
  EXPECT_EQ(discovery.watching(), 1u);
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0) << program.output();
}

// Guards against settings that change while it is not known what became of a reply: its orders are not lost,
// and what was decided by the old settings does not stay.
TEST_F(SettingsReload, AChangeAmidACallInDoubtLosesNoOrder) {
  using Fault = fakes::Relay::Fault;
  for (const Fault fault : {Fault::Silent, Fault::BreakBefore, Fault::BreakAfter, Fault::Garbage}) {
    threeServers();
    relay.orders.clear();
    const WrittenConfig file(versioned(1, true));
    Program program(serve(file.path));
    std::unique_ptr<fakes::Collector> prober;
    ASSERT_TRUE(untilItAnswers(prober)) << program.output();
    ASSERT_TRUE(loop.until([&] { return rule() == "2" && relay.slices[0].size() > 1; })) << program.output();
    replace(file.path, versioned(2, false));
    const std::size_t before = relay.calls.size();
    relay.faults = {fault};
    discovery.set("s1", "east", "DRAINING");
    ASSERT_TRUE(loop.until([&] { return relay.calls.size() > before; })) << program.output();
    program.signal(SIGHUP);
    ASSERT_TRUE(loop.until([&] { return rule() == "1" && leftS1(); }))
        << static_cast<int>(fault) << ' ' << rule() << program.output();
    program.signal(SIGTERM);
    EXPECT_EQ(program.wait(), 0) << program.output();
  }
}

// Guards against settings that come as the file has them: that replies are answered is this program's to say.
TEST_F(SettingsReload, BehindAChangeACallThatIsMissedIsStillOrderedAnew) {
  threeServers();
  const WrittenConfig file(versioned(1, true));
  Program program(serve(file.path));
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  replace(file.path, replaced(versioned(2, false), "\"on_request\"", "\"pushed\""));
  program.signal(SIGHUP);
  ASSERT_TRUE(loop.until([&] { return rule() == "1" && relay.slices[0].size() > 1; })) << program.output();
  const std::size_t before = relay.calls.size();
  relay.faults = {fakes::Relay::Fault::BreakBefore};
  discovery.set("s1", "east", "DRAINING");
  ASSERT_TRUE(loop.until([&] { return relay.calls.size() > before + 1 && leftS1(); })) << program.output();
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0) << program.output();
}

TEST_F(SettingsReload, OfABurstOfAHundredChangesTheLastIsInForceAndNoDrainIsLost) {
  constexpr int kChanges = 100;
  threeServers();
  const WrittenConfig file(versioned(0, true));
  Program program(serve(file.path));
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  ASSERT_TRUE(loop.until([&] { return rule() == "2"; })) << program.output();
  for (int version = 1; version <= kChanges; ++version) {
    const bool last = version == kChanges;  // only the last says something else of lookups
    replace(file.path, replaced(versioned(version, !last), "\"drainGraceUs\": 2000000",
                                "\"drainGraceUs\": " + std::to_string(2000000 + version)));
    program.signal(SIGHUP);
    if (version == kChanges / 2) discovery.set("s1", "east", "DRAINING");
    event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  }
  const Micros last = net::steadyNow();
  const std::string line = "configuration in force: version " + std::to_string(kChanges) + " (content ";
  ASSERT_TRUE(loop.until([&] { return said(program, line); })) << program.output();
  const Micros known = net::steadyNow() - last;
  ASSERT_TRUE(loop.until([&] { return rule() == "1" && leftS1(); })) << rule() << program.output();
  std::cout << "version " << kChanges << " told after " << known / 1000 << " ms, ordered by it after "
            << (net::steadyNow() - last) / 1000 << " ms\n";
  EXPECT_FALSE(program.ended());
  EXPECT_FALSE(said(program, "refused"));
  EXPECT_EQ(relay.watches, 1) << "no restart";
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0) << program.output();
}

// What a running supervisor would refuse is no start either, where settings may change; else it is as ever.
TEST_F(SettingsReload, CheckIsAsStrictAsATakeOver) {
  const WrittenConfig file(replaced(versioned(1, true), "\"startCapacity\": 0.2", "\"startCapacity\": 2"));
  Program strict({PEARGRADE_PROGRAM, "check", "-c", file.path, "--operator", allowed.path});
  EXPECT_EQ(strict.wait(), 2);
  EXPECT_TRUE(said(strict, "settings.rules.startCapacity: 2 is not from 0 to 1")) << strict.output();
  Program plain({PEARGRADE_PROGRAM, "check", "-c", file.path});
  EXPECT_EQ(plain.wait(), 0) << plain.output();
}

// ---- Signals that come between two lines ----

// A configuration that the program waits for: it opens the file, and what stands there comes when the test
// writes it. Until then the program is amid its configuration.
struct HeldConfig {
  std::string path = testing::TempDir() + "peargrade_" + std::to_string(getpid()) + "_held.json";
  int fd = -1;

  HeldConfig() { EXPECT_EQ(mkfifo(path.c_str(), 0600), 0); }
  ~HeldConfig() {
    if (fd >= 0) close(fd);
    std::remove(path.c_str());
  }
  HeldConfig(const HeldConfig&) = delete;
  HeldConfig& operator=(const HeldConfig&) = delete;
  void untilAsked() { fd = open(path.c_str(), O_WRONLY); }  // waits for the program to open it
  // A reload finds it in an ordinary file.
  void write(const std::string& text) {
    std::remove(path.c_str());
    std::ofstream(path) << text;
    EXPECT_EQ(::write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(std::exchange(fd, -1));
  }
};

// Guards against a signal that ends the process before its handler stands.
TEST_F(Life, SignalsDuringTheConfigurationWaitUntilTheyCanBeServed) {
  for (const std::vector<int>& signals :
       {std::vector<int>{SIGTERM}, {SIGINT}, {SIGTERM, SIGTERM}, {SIGHUP, SIGTERM}, {SIGUSR1, SIGTERM}}) {
    HeldConfig held;
    Program program({PEARGRADE_PROGRAM, "serve", "-c", held.path});
    held.untilAsked();
    for (const int number : signals) program.signal(number);
    held.write(config());
    EXPECT_EQ(program.wait(), 0) << signals.front() << ' ' << signals.size() << '\n' << program.output();
    EXPECT_NE(program.output().find("supervisor: stopping"), std::string::npos) << program.output();
  }
}

// A question of the operator's that only some supervisors can answer ends none of them.
TEST_F(Life, Sigusr1EndsNoSupervisorThatHasNothingToExplain) {
  const WrittenConfig file(config());
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  program.signal(SIGUSR1);
  const std::size_t before = prober->received.size();
  prober->send(R"({"type":"hb"})");
  ASSERT_TRUE(loop.until([&] { return prober->received.size() > before || program.ended(); }));
  EXPECT_FALSE(program.ended());
  program.signal(SIGTERM);
  EXPECT_EQ(program.wait(), 0) << program.output();
}

// Guards against orders that are decided and go with the process: a call under way is waited for.
TEST_F(Life, AtSigtermTheCallInHandIsFinished) {
  threeServers();
  const WrittenConfig file(config());
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  ASSERT_TRUE(loop.until([&] { return !relay.calls.empty(); })) << "the first rules";
  const std::size_t before = relay.calls.size();
  relay.faults = {fakes::Relay::Fault::Held};
  discovery.set("s1", "east", "DRAINING");
  ASSERT_TRUE(loop.until([&] { return relay.calls.size() > before; })) << program.output();
  program.signal(SIGTERM);
  ASSERT_TRUE(loop.until([&] { return program.output().find("supervisor: ending") != std::string::npos; }))
      << program.output();
  EXPECT_FALSE(program.ended()) << "it waits for the answer";
  relay.answerHeld();
  ASSERT_TRUE(loop.until([&] { return program.ended(); }));
  EXPECT_EQ(program.wait(), 0);
  EXPECT_NE(program.output().find(" calls " + std::to_string(relay.calls.size()) + " for "),
            std::string::npos)
      << program.output();
  EXPECT_NE(program.output().find(" 0 missed,"), std::string::npos) << program.output();
}

// Guards against a drain that is told in the same instant as the end: the process is stopped, both come, and
// it goes on. What the last turn decides still goes out.
TEST_F(Life, ADrainToldWithSigtermIsStillOrdered) {
  threeServers();
  const WrittenConfig file(config());
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  ASSERT_TRUE(loop.until([&] { return relay.slices[0].size() > 1; })) << "its standby stands";
  program.stop();
  discovery.set("s1", "east", "DRAINING");
  for (int turn = 0; turn < 20; ++turn) event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);  // it is written
  program.signal(SIGTERM);
  program.signal(SIGCONT);
  ASSERT_TRUE(loop.until([&] { return program.ended(); }));
  EXPECT_EQ(program.wait(), 0) << program.output();
  const auto leads = [](const auto& line) {
    return line.first != "s1" && std::atof(line.second.c_str()) >= 1;
  };
  EXPECT_TRUE(std::any_of(relay.slices[0].begin(), relay.slices[0].end(), leads)) << program.output();
}

// The same where the relay never answers: the end comes within its bound, long before a kill.
TEST_F(Life, AtSigtermARelayThatDoesNotAnswerIsNotWaitedForLong) {
  threeServers();
  const WrittenConfig file(config());
  Program program({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << program.output();
  ASSERT_TRUE(loop.until([&] { return !relay.calls.empty(); })) << "the first rules";
  const std::size_t before = relay.calls.size();
  relay.faults = {fakes::Relay::Fault::Silent};
  discovery.set("s1", "east", "DRAINING");
  ASSERT_TRUE(loop.until([&] { return relay.calls.size() > before; })) << program.output();
  for (int k = 0; k < 3; ++k) program.signal(SIGTERM);
  program.signal(SIGHUP);
  ASSERT_TRUE(loop.until([&] { return program.ended(); }, 5000000));
  EXPECT_EQ(program.wait(), 0) << program.output();
}

TEST_F(Life, AnAddressInUseEndsItWithAMessage) {
  const WrittenConfig file(
      replaced(config(), listen.text(), relay.address().host + ":" + std::to_string(relay.address().port)));
  Program same({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  EXPECT_EQ(same.wait(), 2);
  const WrittenConfig used(replaced(config(), "\"relay\"", "\"unused\": 0, \"relay\""));
  Program first({PEARGRADE_PROGRAM, "serve", "-c", used.path});
  std::unique_ptr<fakes::Collector> prober;
  ASSERT_TRUE(untilItAnswers(prober)) << first.output();
  Program second({PEARGRADE_PROGRAM, "serve", "-c", used.path});
  EXPECT_EQ(second.wait(), 1);
  EXPECT_NE(second.output().find("cannot listen on " + listen.text()), std::string::npos) << second.output();
}

// Both files wrong are one run each; the operator's file never starts half understood.
TEST(CommandLine, AWrongOperatorsFileEndsItBeforeAnythingListens) {
  const std::string path = testing::TempDir() + "peargrade_operator_" + std::to_string(getpid()) + ".kdl";
  std::ofstream(path) << "version 1\nsources {\n  dns { try 400; }\n  roster false\n}\n";
  for (const char* command : {"serve", "check"}) {
    Program wrong({PEARGRADE_PROGRAM, command, "-c", PEARGRADE_EXAMPLE_CONFIG},
                  {"PEARGRADE_OPERATOR=" + path});
    EXPECT_EQ(wrong.wait(), 2);
    EXPECT_NE(
        wrong.output().find(path + ":3:13: sources.dns.try: found 400, expected a duration with its unit"),
        std::string::npos)
        << wrong.output();
    EXPECT_NE(wrong.output().find(path + ":4:10: sources.roster: found"), std::string::npos)
        << wrong.output();
  }
  std::remove(path.c_str());
}

TEST(CommandLine, CheckReadsBothFilesTogether) {
  Program good(
      {PEARGRADE_PROGRAM, "check", "-c", PEARGRADE_EXAMPLE_CONFIG, "--operator", PEARGRADE_EXAMPLE_OPERATOR});
  EXPECT_EQ(good.wait(), 0) << good.output();
  EXPECT_NE(good.output().find("orders: _orders._tcp.example.org, 2 places"), std::string::npos)
      << good.output();
  Program table({PEARGRADE_PROGRAM, "check", "--settings"});
  EXPECT_EQ(table.wait(), 0);
  EXPECT_NE(table.output().find("sources.merge.step-every"), std::string::npos) << table.output();
}

// The example as its page says: two programs, one file.
TEST(Example, ToyAndSupervisorShowOrders) {
  const std::string host = ownHost();
  std::string text = replaced(exampleConfig(), "127.0.0.1:3000", host + ":3001");
  text = replaced(text, "127.0.0.1:8500", host + ":8500");
  text = replaced(text, "127.0.0.1:6400", host + ":6400");
  const WrittenConfig file(text);
  Program toy({PEARGRADE_TOY, "-c", file.path});
  Program supervisor({PEARGRADE_PROGRAM, "serve", "-c", file.path});
  Loop loop;
  EXPECT_TRUE(loop.until([&] { return toy.output().find("order: put,") != std::string::npos; }))
      << toy.output() << supervisor.output();
  EXPECT_FALSE(toy.ended());
  EXPECT_FALSE(supervisor.ended());
  supervisor.signal(SIGTERM);
  EXPECT_EQ(supervisor.wait(), 0) << supervisor.output();
}

}  // namespace
}  // namespace peargrade
