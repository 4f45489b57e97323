// Polls and watches of the endpoint list, and their failures.
#include "discovery/discovery.h"

#include <gtest/gtest.h>

#include "discovery_fixture.h"

namespace peargrade::discovery {
namespace {

TEST_F(DiscoveryTest, WatchResumesAfterTheCachedListAndDeliversChanges) {
  service.set("s1", "a", "SERVING");
  service.set("s2", "b", "SERVING");
  start(1);
  EXPECT_TRUE(service.requests.empty()) << "no request is sent before the decision module asks for one";
  ASSERT_TRUE(watchUntil(1));
  EXPECT_EQ(service.requests.at(0), "/catalog/members?follow=1&since=1");
  EXPECT_EQ(updates()[0].kind, EndpointListKind::Delta);
  ASSERT_EQ(updates()[0].endpoints.size(), 1u);
  EXPECT_EQ(updates()[0].endpoints[0].server, "s2");
  service.set("s1", "a", "DRAINING");
  ASSERT_TRUE(untilUpdates(2));
  EXPECT_EQ(updates()[1].endpoints.at(0).state, EndpointState::Draining);
}

TEST_F(DiscoveryTest, ObjectsSplitIntoBytesAndEmptyLinesAreReassembled) {
  service.set("s1", "a", "SERVING");
  start();
  ASSERT_TRUE(watchUntil(1));
  const std::string lines =
      "\n"
      R"({"rev":2,"all":false,"targets":[{"uid":"s2","az":"a","state":"SERVING"}]})"
      "\n\n"
      R"({"rev":3,"all":false,"targets":[]})"
      "\n";
  for (const char byte : lines) {
    service.raw(std::string(1, byte));
    event_base_loop(loop.base.get(), EVLOOP_NONBLOCK);
  }
  ASSERT_TRUE(untilUpdates(3));
  EXPECT_EQ(updates()[1].endpoints.at(0).server, "s2");
  EXPECT_EQ(updates()[2].version, 3);
}

TEST_F(DiscoveryTest, PollDeliversTheFullListOnce) {
  service.set("s1", "a", "SERVING");
  service.set("s2", "a", "DELETED");
  start(1);
  request(PollEndpoints{});
  ASSERT_TRUE(untilUpdates(1));
  EXPECT_EQ(service.requests.at(0), "/catalog/members");
  EXPECT_EQ(updates()[0].kind, EndpointListKind::Full);
  EXPECT_EQ(updates()[0].endpoints.size(), 1u);
}

TEST_F(DiscoveryTest, PollDuringAWatchSuspendsTheWatch) {
  service.set("s1", "a", "SERVING");
  start();
  ASSERT_TRUE(watchUntil(1));
  request(PollEndpoints{});
  ASSERT_TRUE(until([&] { return service.requests.size() == 3 && updates().size() == 3; }));
  EXPECT_EQ(service.requests[1], "/catalog/members");
  EXPECT_EQ(service.requests[2], "/catalog/members?follow=1&since=1");
  EXPECT_EQ(failures(), 0u);
}

TEST_F(DiscoveryTest, RejectionResetAndEndOfAWatchAreOneFailureEach) {
  service.set("s1", "a", "SERVING");
  start();
  service.statuses = {503};
  ASSERT_TRUE(watchUntil(1));
  EXPECT_EQ(updates()[0].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=bad-answer (status 503)"));
  ASSERT_TRUE(watchUntil(2));
  EXPECT_EQ(updates()[1].kind, EndpointListKind::Full);
  service.endWatches();
  ASSERT_TRUE(untilUpdates(3));
  EXPECT_EQ(updates()[2].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=peer-closed"));
  ASSERT_TRUE(watchUntil(4));
  service.raw(R"({"rev":2,"all":fal)");
  service.breakWatches();
  ASSERT_TRUE(untilUpdates(5));
  EXPECT_EQ(updates()[4].kind, EndpointListKind::Failed);
  EXPECT_EQ(log.count(" ended code="), 3u);
}

TEST_F(DiscoveryTest, RefusedConnectionIsAFailureForEachRequest) {
  {
    fakes::Discovery gone(loop.base.get());
    startAt(gone.address());
  }
  for (std::size_t attempt = 1; attempt <= 3; ++attempt) {
    ASSERT_TRUE(watchUntil(attempt));
    EXPECT_EQ(updates().back().kind, EndpointListKind::Failed);
  }
}

// A service that disappears without a TCP reset stops sending empty lines.
TEST_F(DiscoveryTest, SilentWatchFailsAfterTheIdleTimeout) {
  service.set("s1", "a", "SERVING");
  service.emptyLines = false;
  Limits limits;
  limits.idleTimeout = 100000;
  start(0, limits);
  ASSERT_TRUE(watchUntil(2));
  EXPECT_EQ(updates()[1].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=silent"));
  service.mute = true;
  ASSERT_TRUE(watchUntil(3));
  EXPECT_EQ(updates()[2].kind, EndpointListKind::Failed);
}

// The deltas of a service with a lower revision do not apply to the cached list.
TEST_F(DiscoveryTest, RegressedRevisionRequestsTheFullList) {
  service.rev = 50;
  service.set("s1", "a", "SERVING");
  start(99);
  ASSERT_TRUE(watchUntil(1));
  EXPECT_EQ(updates()[0].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=revision-regressed"));
  ASSERT_TRUE(watchUntil(2));
  EXPECT_EQ(updates()[1].kind, EndpointListKind::Full);
  EXPECT_EQ(service.requests.back(), "/catalog/members?follow=1");
}

TEST_F(DiscoveryTest, InvalidObjectOrTooLongLineFailsTheRequest) {
  service.set("s1", "a", "SERVING");
  Limits limits;
  limits.objectBytesMax = 1000;
  start(0, limits);
  ASSERT_TRUE(watchUntil(1));
  service.raw("{\"rev\":\"x\"}\n");
  ASSERT_TRUE(untilUpdates(2));
  EXPECT_EQ(updates()[1].kind, EndpointListKind::Failed);
  EXPECT_TRUE(log.has("code=bad-message"));
  ASSERT_TRUE(watchUntil(3));
  service.raw(std::string(5000, ' '));
  ASSERT_TRUE(untilUpdates(4));
  EXPECT_TRUE(log.has("code=too-long"));
}

TEST_F(DiscoveryTest, CancelledWatchIsNotAFailure) {
  service.set("s1", "a", "SERVING");
  start();
  ASSERT_TRUE(watchUntil(1));
  request(WatchEndpoints{false});
  ASSERT_TRUE(until([&] { return service.watching() == 0; }));
  EXPECT_EQ(updates().size(), 1u);
  EXPECT_TRUE(log.has("code=discarded"));
}

TEST_F(DiscoveryTest, UnansweredConnectionAttemptFailsAfterTheConnectTimeout) {
  const Listener full(0);
  const sockaddr_in address = full.address.socket();
  std::vector<int> queued;  // fill the listener's queue, so that further connection attempts hang
  for (int k = 0; k < 4; ++k) {
    queued.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    static_cast<void>(connect(queued.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address));
  }
  Limits limits;
  limits.idleTimeout = 60000000;
  limits.connectTimeout = 50000;
  startAt(full.address, 0, limits);
  request(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return log.has("code=connect-timeout"); }));
  EXPECT_EQ(updates().back().kind, EndpointListKind::Failed);
  for (const int descriptor : queued) close(descriptor);
}

// An update counts as delivered after 6 s even if it did not arrive. Within that time a silent watch must be
// detected, requested again (the decision module waits 0.5 s after a first failure) and connected, with 2 s
// left to publish routes.
TEST(DiscoveryLimits, SilentWatchIsReopenedWithTimeToPublishRoutes) {
  const Limits limits;
  EXPECT_GT(limits.idleTimeout, 2500000) << "discovery sends an empty line every 2 s";
  EXPECT_LE(limits.idleTimeout + 500000 + limits.connectTimeout, 4000000);
}

}  // namespace
}  // namespace peargrade::discovery
