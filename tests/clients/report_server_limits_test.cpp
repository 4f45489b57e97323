// Limits of the report server: age, connections, memory, unread replies, and work per event loop iteration.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <list>

#include "clients/report_server_fixture.h"
#include "fakes/manual_peer.h"

namespace peargrade::clients {
namespace {

TEST_F(ReportServerTest, RejectsSilentAndSlowUnidentifiedPeersByAge) {
  startWithManualClock();
  Collector silent(loop.base.get(), server->address());
  Collector slow(loop.base.get(), server->address());
  Collector good(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(good));
  ASSERT_TRUE(until([&] { return server->connections() == 3; }));
  const std::string frame = encodeFrame(kJoin);
  for (char byte : frame.substr(0, 9)) {  // sending single bytes does not extend the age limit
    slow.sendRaw(std::string(1, byte));
    good.send(kSliceReport);  // shows that the byte sent before it has been read
    const std::size_t before = seen.events.size();
    ASSERT_TRUE(until([&] { return seen.events.size() > before; }));
    advance(100000);
  }
  EXPECT_EQ(server->connections(), 3u) << "the age limit is not reached";
  advance(200000);
  advance(500000);
  ASSERT_TRUE(until([&] { return silent.ended() && slow.ended(); }));
  EXPECT_EQ(silent.received, std::vector<std::string>{R"({"type":"reject"})"});
  EXPECT_TRUE(log.has("unidentified ended code=unidentified"));
  EXPECT_TRUE(log.has("unidentified ended code=incomplete-message"));
  EXPECT_FALSE(good.ended());
}

// A corrupt length prefix below 1 MiB makes the decoder take the reports that follow for the body of one
// message. The time limit for a message ends this state.
TEST_F(ReportServerTest, ClosesACollectorWhoseMessageIsNotCompletedInTime) {
  startWithManualClock();
  Collector collector(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(collector));
  collector.sendRaw(std::string("\x00\x08\x00\x00", 4));
  collector.send(kSliceReport);
  Collector other(loop.base.get(), server->address());
  for (int k = 0; k < 2; ++k) {
    ASSERT_TRUE(joinAndReport(other));  // shows that everything sent before it has been read
    advance(400000);
    collector.send(kSliceReport);
  }
  EXPECT_EQ(server->connections(), 2u);
  advance(400000);
  ASSERT_TRUE(until([&] { return collector.ended(); }));
  EXPECT_TRUE(log.has("collector ended code=incomplete-message"));
}

// Input that arrived while the process was paused must be read before the age limits apply.
TEST_F(ReportServerTest, PauseOfTheSupervisorClosesNoConnection) {
  ReportServer::Limits limits;
  limits.sweepInterval = 100000;
  startSweepingWithManualClock(limits);
  Collector collector(loop.base.get(), server->address());
  ASSERT_TRUE(until([&] { return server->connections() == 1; }));
  advance(3000000);
  EXPECT_EQ(server->connections(), 1u) << "its join may not have been read yet";
  ASSERT_TRUE(joinAndReport(collector));
  advance(100000);
  EXPECT_EQ(server->connections(), 1u);
}

TEST_F(ReportServerTest, LimitsHealthCheckersByNumberAndByAge) {
  ReportServer::Limits limits;
  limits.connections = 16;
  startWithManualClock(limits);
  dispatcher.readinessTimedOut();
  Collector collector(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(collector));
  std::list<Collector> healthCheckers;
  for (int k = 0; k < 30; ++k) {
    healthCheckers.emplace_back(loop.base.get(), server->address());
    healthCheckers.back().send(kHeartbeat);
    ASSERT_TRUE(until([&] { return healthCheckers.back().received.size() == 1; }))
        << "every health checker must be answered";
    EXPECT_LE(server->connections(), 1u + 16 / 4 + 1);
  }
  EXPECT_EQ(log.count("health-checker ended code=connection-limit"), 26u);
  for (int k = 0; k < 21; ++k) advance(500000);
  EXPECT_EQ(server->connections(), 1u) << "the age limit closes the remaining health checkers";
  EXPECT_TRUE(log.has("health-checker ended code=heartbeats-only"));
  EXPECT_FALSE(collector.ended());
}

TEST_F(ReportServerTest, EvictsUnidentifiedPeersFirstAtTheConnectionLimit) {
  ReportServer::Limits limits;
  limits.connections = 8;
  start(limits);
  Collector collector(loop.base.get(), server->address());
  collector.send(kJoin);
  collector.send(kSliceReport);
  ASSERT_TRUE(until([&] { return seen.events.size() == 1; }));
  std::list<Collector> unidentified;
  for (int k = 0; k < 40; ++k) {
    unidentified.emplace_back(loop.base.get(), server->address());
    ASSERT_TRUE(until([&] { return unidentified.back().up(); }));
  }
  ASSERT_TRUE(until([&] { return log.count("code=connection-limit") == 33; }));
  EXPECT_EQ(server->connections(), 8u);
  Collector healthChecker(loop.base.get(), server->address());
  dispatcher.readinessTimedOut();
  healthChecker.send(kHeartbeat);
  collector.send(kSliceReport);
  ASSERT_TRUE(until([&] { return healthChecker.received.size() == 1 && seen.events.size() == 2; }));
}

TEST_F(ReportServerTest, BoundsIncompleteMessagesOverAllConnections) {
  ReportServer::Limits limits;
  limits.incompleteMessageBytes = 2 << 20;
  start(limits);
  std::list<Collector> peers;
  for (int k = 0; k < 4; ++k) {
    peers.emplace_back(loop.base.get(), server->address());
    join(peers.back());
    peers.back().sendRaw(std::string("\x00\x0f\x00\x00", 4) + std::string(900 << 10, ' '));
  }
  ASSERT_TRUE(until([&] { return log.count("incomplete messages exceed the memory limit") >= 2; }));
  Collector good(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(good));
}

TEST_F(ReportServerTest, ClosesAHealthCheckerThatDoesNotReadReplies) {
  ReportServer::Limits limits;
  limits.unsentReplyBytes = 4096;
  start(limits);
  dispatcher.readinessTimedOut();
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int small = 4096;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  const sockaddr_in at = server->address().socket();
  ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0);
  evutil_make_socket_nonblocking(fd);
  std::string many;
  for (int k = 0; k < 1000; ++k) many += encodeFrame(kHeartbeat);
  std::size_t sent = 0;
  ASSERT_TRUE(until([&] {
    const ssize_t n = send(fd, many.data() + sent, many.size() - sent, MSG_NOSIGNAL);
    if (n > 0) sent = (sent + static_cast<std::size_t>(n)) % many.size();
    return log.has("code=slow-reader");
  }));
  close(fd);
}

// A flood of connections must not delay other events.
TEST_F(ReportServerTest, AcceptsABoundedNumberOfConnectionsPerIteration) {
  start();
  Collector collector(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(collector));
  std::list<fakes::ManualPeer> flood;
  for (int k = 0; k < 400; ++k) flood.emplace_back(server->address());
  event_base_loop(loop.base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);  // one iteration
  EXPECT_GT(server->connections(), 1u);
  EXPECT_LE(server->connections(), 1u + 64);
  ASSERT_TRUE(until([&] { return server->connections() == 401; }));
}

TEST_F(ReportServerTest, ReadsABoundedNumberOfBytesPerPeerAndIteration) {
  start();
  dispatcher.readinessTimedOut();
  fakes::ManualPeer loud(server->address());
  Collector quiet(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(quiet));
  ASSERT_TRUE(until([&] { return server->connections() == 2; }));
  seen.events.clear();
  std::string many = encodeFrame(kJoin);
  while (many.size() < (200 << 10)) many += encodeFrame(kSliceReport);
  ASSERT_EQ(loud.send(many), many.size());
  quiet.send(kHeartbeat);
  std::size_t maxReportsPerIteration = 0;
  ASSERT_TRUE(until([&] {
    const std::size_t before = seen.events.size();
    event_base_loop(loop.base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
    seen.take(dispatcher);
    maxReportsPerIteration = std::max(maxReportsPerIteration, seen.events.size() - before);
    return quiet.received.size() == 1;
  }));
  EXPECT_LE(maxReportsPerIteration, (std::size_t{16} << 10) / 80)
      << "at most the reports that fit into 16 KiB";
}

}  // namespace
}  // namespace peargrade::clients
