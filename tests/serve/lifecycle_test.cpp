// Tests of the process life cycle: start with and without peers, draining servers, a flood of connections,
// signals and shutdown.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <list>
#include <utility>

#include "serve_fixture.h"

namespace peargrade {
namespace {

class Lifecycle : public ServeTest {
 protected:
  // Starts with three servers, and waits for the first call to the relay.
  void startAndAwaitFirstCall() {
    addThreeServers();
    ASSERT_NO_FATAL_FAILURE(startSupervisor(config()));
    ASSERT_TRUE(loop.until([this] { return !relay.calls.empty(); })) << program->output();
  }
  // Drains s1 and waits for the resulting call to the relay.
  void drainAndAwaitCall(fakes::Relay::Fault fault) {
    const std::size_t callsBefore = relay.calls.size();
    relay.faults = {fault};
    discovery.set("s1", "east", "DRAINING");
    ASSERT_TRUE(loop.until([&] { return relay.calls.size() > callsBefore; })) << program->output();
  }
  void expectDrainServed() {
    discovery.set("s1", "east", "DRAINING");
    ASSERT_TRUE(loop.until([this] { return slice0LeftServer1(); })) << program->output();
  }
};

// ---- Start ----

// Over HTTP the discovery service sends changes only on a watch, so the supervisor must watch the list in
// this mode too.
TEST_F(Lifecycle, PushedEndpointListIsWatched) {
  addThreeServers();
  ASSERT_NO_FATAL_FAILURE(startSupervisor(replaced(config(), "\"on_request\"", "\"pushed\"")));
  expectDrainServed();
  stopSupervisor();
}

TEST_F(Lifecycle, DrainIsServedAndSigtermEndsTheProcess) {
  addThreeServers();
  ASSERT_NO_FATAL_FAILURE(startSupervisor(config()));
  expectDrainServed();
  stopSupervisor();
  EXPECT_TRUE(hasWritten("supervisor: stopping"));
  for (const char* connection :
       {" health-checker ended", " watch ended", " calls ended", "discovery: connection "})
    EXPECT_TRUE(hasWritten(connection)) << "no line for" << connection << " in\n" << program->output();
}

// A restarted supervisor has only its configuration and must answer heartbeats without its peers.
TEST_F(Lifecycle, HeartbeatsAreAnsweredSoonThoughRelayAndDiscoveryAreDown) {
  const net::Address closed{ownHost(), 1};
  const Micros start = net::steadyNow();
  ASSERT_NO_FATAL_FAILURE(
      startSupervisor(replaced(replaced(config(), discovery.address().text(), closed.text()),
                               relay.address().text(), ownHost() + ":2")));
  EXPECT_LT(net::steadyNow() - start, 15000000);
  stopSupervisor();
}

TEST_F(Lifecycle, HeartbeatsAreAnsweredSoonThoughRelayAndDiscoveryAreSilent) {
  relay.muteNews = true;
  discovery.mute = true;
  const Micros start = net::steadyNow();
  ASSERT_NO_FATAL_FAILURE(startSupervisor(config()));
  EXPECT_LT(net::steadyNow() - start, 10000000)
      << "nine in ten starts must answer within 10 s, for each cause of a restart";
  EXPECT_GE(relay.watches, 1);
  EXPECT_GE(discovery.requests.size(), 1U);
  stopSupervisor();
}

TEST_F(Lifecycle, StartWithAnOutdatedListServesWhatHasChangedSince) {
  listThreeServers();
  const std::string outdatedList = discovery.list(0);
  discovery.set("s1", "east", "DELETED");
  storeRoutes(false);
  launchSupervisor(replaced(config(), R"({"rev": 0, "all": true, "targets": []})", outdatedList));
  ASSERT_TRUE(loop.until([this] { return slice0LeftServer1(); })) << program->output();
  EXPECT_EQ(discovery.requests.at(0), "/catalog/members?follow=1&since=3");
  EXPECT_EQ(relay.slices[1].at("s2"), "1") << "a route to a ready server stays";
  stopSupervisor();
}

TEST_F(Lifecycle, AddressInUseEndsTheProcessWithAMessage) {
  const std::string relayAddress = relay.address().host + ":" + std::to_string(relay.address().port);
  launchSupervisor(replaced(config(), listenAddress.text(), relayAddress));
  EXPECT_EQ(program->wait(), 2);
  ASSERT_NO_FATAL_FAILURE(startSupervisor(replaced(config(), "\"relay\"", "\"unused\": 0, \"relay\"")));
  Program second(serveCommand());
  EXPECT_EQ(second.wait(), 1);
  EXPECT_TRUE(peargrade::hasWritten(second, "cannot listen on " + listenAddress.text())) << second.output();
}

// ---- Flood ----

// The smallest permitted limits, more connections than descriptors, messages that never end, and a log whose
// pipe is not read.
TEST_F(Lifecycle, FloodOfConnectionsAndAnUnreadLogLeaveItServing) {
  discovery.set("s1", "east", "SERVING");
  int unreadLog[2];
  ASSERT_EQ(pipe(unreadLog), 0);
  configFile.emplace(replaced(replaced(config(), "\"sockets\": 1024", "\"sockets\": 256"),
                              "\"memory_mb\": 192", "\"memory_mb\": 32"));
  std::vector<std::string> command = serveCommand();
  command.insert(command.end(), {"--log-level", "debug"});
  program = std::make_unique<Program>(command, std::vector<std::string>{}, unreadLog[1], 256);
  ASSERT_TRUE(awaitAnswer());

  const std::string joining = R"({"type":"telemetry","az":"east"})";
  const std::string startOfLargeMessage = std::string("\x00\x0f\x00\x00", 4) + std::string(200 << 10, ' ');
  const std::string startOfSmallMessage = std::string("\x00\x00\x08\x00", 4) + std::string(1000, ' ');
  std::list<fakes::Collector> flood;
  for (int connection = 0; connection < 2000; ++connection) {
    const bool identified = connection % 2 == 0;
    if (flood.size() >= 400) flood.pop_front();
    flood.emplace_back(loop.base.get(), listenAddress);
    if (identified) flood.back().send(joining);
    flood.back().sendRaw(identified ? startOfLargeMessage : startOfSmallMessage);
    for (int turn = 0; turn < 3; ++turn) event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  }

  const std::size_t answersBefore = client->received.size();
  ASSERT_TRUE(loop.until([&] {
    if (client->ended()) client = std::make_unique<fakes::Collector>(loop.base.get(), listenAddress);
    if (client->up()) client->send(R"({"type":"hb"})");
    return client->received.size() > answersBefore;
  }));
  EXPECT_FALSE(program->ended());
  EXPECT_LE(program->descriptors(), 256);
#ifndef __SANITIZE_ADDRESS__  // the address sanitizer multiplies memory use
  EXPECT_LT(program->peakMemoryMb(), 20);
  std::cout << "peak " << program->peakMemoryMb() << " MB, " << program->descriptors() << " descriptors\n";
#endif
  stopSupervisor();
  close(unreadLog[0]);
  close(unreadLog[1]);
}

// ---- Signals ----

// A named pipe as configuration file: the program blocks in reading it until the test writes to it.
class PendingConfig {
 public:
  PendingConfig() { EXPECT_EQ(mkfifo(path.c_str(), 0600), 0); }
  ~PendingConfig() {
    if (descriptor_ >= 0) close(descriptor_);
    std::remove(path.c_str());
  }
  PendingConfig(const PendingConfig&) = delete;
  PendingConfig& operator=(const PendingConfig&) = delete;

  /// Blocks until the program has opened the file.
  void awaitOpen() { descriptor_ = open(path.c_str(), O_WRONLY); }
  /// Writes the text and unblocks the program. A later reload reads the text from a regular file.
  void write(const std::string& text) {
    std::remove(path.c_str());
    std::ofstream(path) << text;
    EXPECT_EQ(::write(descriptor_, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(std::exchange(descriptor_, -1));
  }

  const std::string path = testing::TempDir() + "peargrade_" + std::to_string(getpid()) + "_pending.json";

 private:
  int descriptor_ = -1;
};

class SignalsDuringConfiguration : public Lifecycle, public testing::WithParamInterface<std::vector<int>> {};

TEST_P(SignalsDuringConfiguration, AreHandledOnceTheConfigurationIsRead) {
  PendingConfig pending;
  Program supervisor({PEARGRADE_PROGRAM, "serve", "-c", pending.path});
  pending.awaitOpen();
  for (const int signal : GetParam()) supervisor.signal(signal);
  pending.write(config());
  EXPECT_EQ(supervisor.wait(), 0) << supervisor.output();
  EXPECT_TRUE(peargrade::hasWritten(supervisor, "supervisor: stopping")) << supervisor.output();
}

INSTANTIATE_TEST_SUITE_P(Signals, SignalsDuringConfiguration,
                         testing::Values(std::vector<int>{SIGTERM}, std::vector<int>{SIGINT},
                                         std::vector<int>{SIGTERM, SIGTERM},
                                         std::vector<int>{SIGHUP, SIGTERM},
                                         std::vector<int>{SIGUSR1, SIGTERM}),
                         [](const auto& info) {
                           std::string name;
                           for (const int signal : info.param) name += sigabbrev_np(signal);
                           return name;
                         });

// SIGUSR1 requests an explanation of the merged sources, which exists in some configurations only.
TEST_F(Lifecycle, Sigusr1LeavesASupervisorWithNothingToExplainRunning) {
  ASSERT_NO_FATAL_FAILURE(startSupervisor(config()));
  program->signal(SIGUSR1);
  ASSERT_TRUE(answersHeartbeat()) << program->output();
  EXPECT_FALSE(program->ended());
  stopSupervisor();
}

TEST_F(Lifecycle, SigtermWaitsForTheCallInFlight) {
  ASSERT_NO_FATAL_FAILURE(startAndAwaitFirstCall());
  ASSERT_NO_FATAL_FAILURE(drainAndAwaitCall(fakes::Relay::Fault::Held));
  program->signal(SIGTERM);
  ASSERT_TRUE(loop.until([this] { return hasWritten("supervisor: ending"); })) << program->output();
  EXPECT_FALSE(program->ended()) << "the process must wait for the answer";
  relay.answerHeld();
  ASSERT_TRUE(loop.until([this] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0);
  EXPECT_TRUE(hasWritten(" calls " + std::to_string(relay.calls.size()) + " for ")) << program->output();
  EXPECT_TRUE(hasWritten(" 0 undelivered,")) << program->output();
}

// The wait for the call in flight is limited to far less than the time after which a process manager kills
// it.
TEST_F(Lifecycle, SigtermDoesNotWaitLongForARelayThatDoesNotAnswer) {
  ASSERT_NO_FATAL_FAILURE(startAndAwaitFirstCall());
  ASSERT_NO_FATAL_FAILURE(drainAndAwaitCall(fakes::Relay::Fault::Silent));
  for (int repetition = 0; repetition < 3; ++repetition) program->signal(SIGTERM);
  program->signal(SIGHUP);
  ASSERT_TRUE(loop.until([this] { return program->ended(); }, 5000000));
  EXPECT_EQ(program->wait(), 0) << program->output();
}

// The stopped process receives the drain and SIGTERM in the same turn of its event loop; the resulting update
// must still be sent.
TEST_F(Lifecycle, DrainReceivedTogetherWithSigtermIsServed) {
  addThreeServers();
  ASSERT_NO_FATAL_FAILURE(startSupervisor(config()));
  ASSERT_TRUE(loop.until([this] { return relay.slices[0].size() > 1; })) << "no backup was set";
  program->stop();
  discovery.set("s1", "east", "DRAINING");
  for (int turn = 0; turn < 20; ++turn)
    event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);  // sends the change
  program->signal(SIGTERM);
  program->signal(SIGCONT);
  ASSERT_TRUE(loop.until([this] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0) << program->output();
  EXPECT_TRUE(slice0LeftServer1()) << program->output();
}

}  // namespace
}  // namespace peargrade
