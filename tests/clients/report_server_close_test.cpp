// Closing a connection while the peer still sends: replies and rejections must arrive, and lingering closes
// are limited.
#include <gtest/gtest.h>

#include <algorithm>
#include <list>

#include "clients/report_server_fixture.h"
#include "fakes/manual_peer.h"

namespace peargrade::clients {
namespace {

TEST_F(ReportServerTest, AnswersAHealthCheckerThatHasClosedItsHalf) {
  start();
  dispatcher.readinessTimedOut();
  for (int k = 0; k < 20; ++k) {
    fakes::ManualPeer healthChecker(server->address());
    healthChecker.send(encodeFrame(kHeartbeat));
    healthChecker.halfClose();
    ASSERT_TRUE(until([&] { return healthChecker.read(), healthChecker.ended(); }));
    EXPECT_EQ(healthChecker.read(), encodeFrame(R"({"type":"hb_ok"})"));
    EXPECT_FALSE(healthChecker.wasReset());
  }
}

// Closing a socket that has unread input sends a TCP reset, and the peer may then lose the rejection.
TEST_F(ReportServerTest, SendingPeerReceivesRejectionAndOrderlyClose) {
  startWithManualClock();
  for (const std::size_t extraBytes : {std::size_t{0}, std::size_t{1}, std::size_t{60000}}) {
    fakes::ManualPeer bad(server->address());
    bad.send("GET / HTTP/1.1\r\n\r\n" + std::string(extraBytes, 'x'));
    ASSERT_TRUE(until([&] { return log.has("code=bad-length"); }));
    bad.send("x");  // sent while the server closes its half
    ASSERT_TRUE(until([&] { return bad.read(), bad.ended(); }));
    EXPECT_EQ(bad.read(), encodeFrame(R"({"type":"reject"})")) << extraBytes;
    EXPECT_FALSE(bad.wasReset()) << extraBytes;
  }
  EXPECT_EQ(server->connections(), 0u);
}

TEST_F(ReportServerTest, BoundsLingeringClosesInBytesTimeAndNumber) {
  ReportServer::Limits limits;
  limits.connections = 16;
  startWithManualClock(limits);
  std::list<fakes::ManualPeer> bad;
  const auto closedPeers = [&] {
    return std::count_if(bad.begin(), bad.end(),
                         [](fakes::ManualPeer& p) { return p.send("x"), p.unheard(); });
  };
  for (int k = 0; k < 3; ++k) {
    bad.emplace_back(server->address());
    bad.back().send("GET / HTTP/1.1\r\n\r\n");
  }
  ASSERT_TRUE(until([&] { return log.count("code=bad-length") == 3; }));
  ASSERT_TRUE(until([&] { return bad.front().read(), bad.front().ended(); }));
  ASSERT_TRUE(until([&] {
    const std::string input(64 << 10, 'x');
    return bad.front().send(input), bad.front().unheard();
  })) << "the byte limit closes the first peer";
  advance(1000000);
  ASSERT_TRUE(until([&] { return closedPeers() == 3; })) << "the duration limit closes the others";
  for (int k = 0; k < 40; ++k) {
    bad.emplace_back(server->address());
    bad.back().send("GET / HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(until([&] { return log.count("code=bad-length") == 4 + static_cast<std::size_t>(k); }));
  }
  ASSERT_TRUE(until([&] { return closedPeers() >= 43 - 16; }))
      << "lingering closes count toward the connection limit";
  Collector good(loop.base.get(), server->address());
  ASSERT_TRUE(joinAndReport(good));
}

}  // namespace
}  // namespace peargrade::clients
