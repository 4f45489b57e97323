// Tests of configuration changes without a restart: SIGHUP applies new addresses and, if the operator's file
// allows it, new settings.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <utility>

#include "serve_fixture.h"

namespace peargrade {
namespace {

// ---- Addresses ----

class AddressReload : public ServeTest {
 protected:
  // Overwrites the configuration file and signals the supervisor.
  void reload(const std::string& text) {
    std::ofstream(configFile->path) << text;
    program->signal(SIGHUP);
  }
  void awaitOutput(const std::string& text) {
    ASSERT_TRUE(loop.until([&] { return hasWritten(text); })) << program->output();
  }
  void expectInvalidFilesIgnored(const std::string& good) {
    reload(good.substr(0, good.size() / 2));
    ASSERT_NO_FATAL_FAILURE(awaitOutput("new configuration unreadable, keeping the one in force"));
    reload(replaced(good, "\"address\"", "\"adress\""));
    ASSERT_NO_FATAL_FAILURE(awaitOutput("relay: 'address' is missing"));
    std::remove(configFile->path.c_str());
    program->signal(SIGHUP);
    ASSERT_NO_FATAL_FAILURE(awaitOutput("cannot read"));
    EXPECT_EQ(discovery.watching(), 1U);
  }
};

TEST_F(AddressReload, SighupMovesToOtherPeersAndKeepsClientsAndState) {
  addThreeServers(false);
  const std::string first = config();
  // The environment has the first address: an address from a reloaded file takes precedence over it.
  ASSERT_NO_FATAL_FAILURE(startSupervisor(first, {}, {"NODE_DISCOVERY=" + discovery.address().text()}));
  ASSERT_TRUE(loop.until([this] { return discovery.watching() == 1 && relay.watches == 1; }));
  fakes::Collector collector(loop.base.get(), listenAddress);
  collector.send(R"({"type":"telemetry","az":"east"})");
  ASSERT_NO_FATAL_FAILURE(expectInvalidFilesIgnored(first));

  fakes::Relay newRelay{loop.base.get()};
  fakes::Discovery newDiscovery{loop.base.get()};
  for (const char* server : {"s1", "s2", "s3"}) newDiscovery.set(server, "east", "SERVING");
  newRelay.proxies = relay.proxies;
  newRelay.slices = relay.slices;
  std::string moved = replaced(first, discovery.address().text(), newDiscovery.address().text());
  moved = replaced(moved, relay.address().text(), newRelay.address().text());
  moved = replaced(moved, "\"sockets\": 1024", "\"sockets\": 512");
  reload(moved);
  program->signal(SIGHUP);
  relay.refuse(true);
  ASSERT_TRUE(loop.until([&] { return newDiscovery.watching() == 1 && newRelay.watches == 1; }))
      << program->output();
  ASSERT_TRUE(loop.until([this] { return discovery.watching() == 0 && relay.open() == 0; }));
  EXPECT_TRUE(hasWritten("'limits' takes effect at a restart only")) << program->output();
  newDiscovery.set("s1", "east", "DRAINING");
  ASSERT_TRUE(loop.until([&] { return slice0LeftServer1(newRelay); })) << program->output();

  program->signal(SIGHUP);  // the file is unchanged
  ASSERT_TRUE(answersHeartbeat()) << "clients keep their connections";
  EXPECT_FALSE(collector.ended());
  EXPECT_EQ(newRelay.watches, 1);
  stopSupervisor();
  EXPECT_FALSE(hasWritten(": gone")) << "a listed server was treated as removed";
}

// ---- Settings ----

// Retry policies of failed lookups, as encoded in the relay protocol.
constexpr const char* kRetryIfNotExecuted = "1";
constexpr const char* kRetryAnyFailure = "2";

enum class Lookups { Idempotent, NotIdempotent };

// Tests with an operator's file that allows settings to be reloaded.
class SettingsReload : public ServeTest {
 protected:
  std::string versionedConfig(int version, Lookups lookups) const {
    const std::string text = replaced(config(), "\"name\": \"example\"",
                                      "\"version\": " + std::to_string(version) + R"(, "name": "n")");
    return lookups == Lookups::Idempotent ? text : replaced(text, "\"repeatable\"", "\"once\"");
  }
  void start(int version) {
    addThreeServers();
    ASSERT_NO_FATAL_FAILURE(
        startSupervisor(versionedConfig(version, Lookups::Idempotent), {"--operator", operatorFile.path}));
  }
  void awaitLookupRetryPolicy(const std::string& policy) {
    ASSERT_TRUE(loop.until([&] { return lookupRetryPolicy() == policy; })) << program->output();
  }
  void awaitBackup() {
    ASSERT_TRUE(loop.until([this] { return relay.slices[0].size() > 1; })) << program->output();
  }
  // Replaces the configuration file atomically.
  void replaceConfig(const std::string& text) {
    const std::string newPath = configFile->path + ".new";
    std::ofstream(newPath) << text;
    ASSERT_EQ(std::rename(newPath.c_str(), configFile->path.c_str()), 0);
  }
  void reload(const std::string& text) {
    ASSERT_NO_FATAL_FAILURE(replaceConfig(text));
    program->signal(SIGHUP);
  }
  // The retry policy for lookups in the last such update that the relay accepted.
  std::string lookupRetryPolicy() const {
    const std::string lookups = "gate,*,lookup,";
    std::string policy;
    for (const std::string& order : relay.orders) {
      if (order.compare(0, lookups.size(), lookups) == 0) policy = order.substr(order.rfind(',') + 1);
    }
    return policy;
  }

  const Written operatorFile{"_allowed.kdl", "version 1\nconfiguration {\n  settings-reload true\n}\n"};
};

TEST_F(SettingsReload, ValidSettingsTakeEffectWithoutARestartAndInvalidOnesAreRejected) {
  ASSERT_NO_FATAL_FAILURE(start(5));
  ASSERT_NO_FATAL_FAILURE(awaitLookupRetryPolicy(kRetryAnyFailure));
  EXPECT_TRUE(hasWritten("configuration in force: version 5 (content ")) << program->output();
  const std::string good = versionedConfig(6, Lookups::NotIdempotent);
  const std::pair<std::string, const char*> rejected[] = {
      {good.substr(0, good.size() / 2), "rejected (unreadable), keeping version 5 "},
      {versionedConfig(4, Lookups::NotIdempotent), "rejected (stale-version), keeping version 5 "},
      {versionedConfig(5, Lookups::NotIdempotent), "rejected (same-version), keeping version 5 "},
      {replaced(good, "\"shards\": 8", "\"shards\": 9"), "rejected (structure), keeping version 5 "},
      {replaced(good, "\"startCapacity\": 0.2", "\"startCapacity\": 2"),
       "rejected (out-of-range), keeping version 5 "}};
  for (const auto& [text, line] : rejected) {
    reload(text);
    const char* expected = line;
    ASSERT_TRUE(loop.until([&] { return hasWritten(expected); })) << expected << program->output();
  }
  EXPECT_EQ(lookupRetryPolicy(), kRetryAnyFailure) << "the last valid settings stay in effect";

  reload(good);
  ASSERT_NO_FATAL_FAILURE(awaitLookupRetryPolicy(kRetryIfNotExecuted));
  EXPECT_TRUE(hasWritten("configuration in force: version 6 (content ")) << program->output();
  ASSERT_TRUE(answersHeartbeat()) << "clients keep their connections";
  EXPECT_EQ(relay.watches, 1);
  EXPECT_EQ(discovery.watching(), 1U);
  stopSupervisor();
}

TEST_F(SettingsReload, UndeliveredUpdateAfterAChangeIsSentAgain) {
  ASSERT_NO_FATAL_FAILURE(start(1));
  reload(replaced(versionedConfig(2, Lookups::NotIdempotent), "\"on_request\"", "\"pushed\""));
  ASSERT_NO_FATAL_FAILURE(awaitLookupRetryPolicy(kRetryIfNotExecuted));
  ASSERT_NO_FATAL_FAILURE(awaitBackup());
  const std::size_t callsBefore = relay.calls.size();
  relay.faults = {fakes::Relay::Fault::BreakBefore};
  discovery.set("s1", "east", "DRAINING");
  ASSERT_TRUE(loop.until([&] { return relay.calls.size() > callsBefore + 1 && slice0LeftServer1(); }))
      << program->output();
  stopSupervisor();
}

TEST_F(SettingsReload, LastOfAHundredChangesTakesEffectAndNoDrainIsLost) {
  constexpr int kChanges = 100;
  constexpr int kDrainGraceUs = 2000000;
  ASSERT_NO_FATAL_FAILURE(start(0));
  ASSERT_NO_FATAL_FAILURE(awaitLookupRetryPolicy(kRetryAnyFailure));
  for (int version = 1; version <= kChanges; ++version) {
    const Lookups lookups = version == kChanges ? Lookups::NotIdempotent : Lookups::Idempotent;
    reload(replaced(versionedConfig(version, lookups), "\"drainGraceUs\": " + std::to_string(kDrainGraceUs),
                    "\"drainGraceUs\": " + std::to_string(kDrainGraceUs + version)));
    if (version == kChanges / 2) discovery.set("s1", "east", "DRAINING");
    event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  }
  const Micros lastChange = net::steadyNow();
  const std::string line = "configuration in force: version " + std::to_string(kChanges) + " (content ";
  ASSERT_TRUE(loop.until([&] { return hasWritten(line); })) << program->output();
  const Micros accepted = net::steadyNow() - lastChange;
  ASSERT_TRUE(loop.until([this] {
    return lookupRetryPolicy() == kRetryIfNotExecuted && slice0LeftServer1();
  })) << lookupRetryPolicy()
      << program->output();
  std::cout << "version " << kChanges << " logged after " << accepted / 1000
            << " ms, its update delivered after " << (net::steadyNow() - lastChange) / 1000 << " ms\n";
  EXPECT_FALSE(program->ended());
  EXPECT_FALSE(hasWritten("refused"));
  EXPECT_EQ(relay.watches, 1) << "the supervisor has reconnected";
  stopSupervisor();
}

TEST_F(SettingsReload, CheckValidatesSettingsLikeAReloadIfReloadIsAllowed) {
  const WrittenConfig file(
      replaced(versionedConfig(1, Lookups::Idempotent), "\"startCapacity\": 0.2", "\"startCapacity\": 2"));
  Program strict({PEARGRADE_PROGRAM, "check", "-c", file.path, "--operator", operatorFile.path});
  EXPECT_EQ(strict.wait(), 2);
  EXPECT_TRUE(peargrade::hasWritten(strict, "settings.rules.startCapacity: 2 is not from 0 to 1"))
      << strict.output();
  Program lenient({PEARGRADE_PROGRAM, "check", "-c", file.path});
  EXPECT_EQ(lenient.wait(), 0) << lenient.output();
}

// ---- Settings that change while the outcome of an update is unknown ----

class SettingsReloadDuringCall : public SettingsReload,
                                 public testing::WithParamInterface<fakes::Relay::Fault> {};

TEST_P(SettingsReloadDuringCall, LosesNoRouteAndAppliesTheNewSettings) {
  ASSERT_NO_FATAL_FAILURE(start(1));
  ASSERT_NO_FATAL_FAILURE(awaitLookupRetryPolicy(kRetryAnyFailure));
  ASSERT_NO_FATAL_FAILURE(awaitBackup());
  ASSERT_NO_FATAL_FAILURE(replaceConfig(versionedConfig(2, Lookups::NotIdempotent)));
  const std::size_t callsBefore = relay.calls.size();
  relay.faults = {GetParam()};
  discovery.set("s1", "east", "DRAINING");
  ASSERT_TRUE(loop.until([&] { return relay.calls.size() > callsBefore; })) << program->output();
  program->signal(SIGHUP);
  ASSERT_TRUE(loop.until([this] {
    return lookupRetryPolicy() == kRetryIfNotExecuted && slice0LeftServer1();
  })) << lookupRetryPolicy()
      << program->output();
  stopSupervisor();
}

std::string faultName(fakes::Relay::Fault fault) {
  using Fault = fakes::Relay::Fault;
  if (fault == Fault::Silent) return "NoAnswer";
  if (fault == Fault::BreakBefore) return "ConnectionLostBefore";
  return fault == Fault::BreakAfter ? "ConnectionLostAfter" : "MalformedAnswer";
}

INSTANTIATE_TEST_SUITE_P(Faults, SettingsReloadDuringCall,
                         testing::Values(fakes::Relay::Fault::Silent, fakes::Relay::Fault::BreakBefore,
                                         fakes::Relay::Fault::BreakAfter, fakes::Relay::Fault::Garbage),
                         [](const auto& info) { return faultName(info.param); });

}  // namespace
}  // namespace peargrade
