// UpdateChannel: routes in flight after single updates, acknowledgements, connections and disconnections.
#include "decision/update_channel.h"

#include <gtest/gtest.h>

#include "decision/clock.h"

namespace peargrade::decision {
namespace {

/// Ten proxies that connected long before the first update.
class UpdateChannelTest : public testing::Test {
 protected:
  UpdateChannelTest() {
    for (ProxyId p = 0; p < 10; ++p) channel.connect(p, now);
  }
  /// Each update is sent a second after the previous one. The slowest rate is 0, so only acknowledgements
  /// lower the count.
  int send(double routes) { return channel.send(now += kSecond, routes, 10, 0); }
  double inFlight() const { return channel.routesInFlight(now, 0); }

  Micros now = 1000 * kSecond;
  UpdateChannel channel;
};

TEST_F(UpdateChannelTest, AcknowledgementAfterADisconnectionDoesNotCoverEarlierUpdates) {
  const int first = send(20);
  const int before = send(30);
  for (ProxyId p = 3; p < 10; ++p) channel.disconnect(p, now + 1);
  channel.connect(20, now + 1);
  const int after = send(40);
  EXPECT_EQ(inFlight(), 10 * 20 + 10 * 30 + 4 * 40);
  // The update may have overtaken earlier ones: it moved forward by the routes in flight to the seven proxies
  // that disconnected.
  channel.acknowledge(20, after);
  EXPECT_EQ(inFlight(), 10 * 20 + 10 * 30 + 3 * 40);
  // Sent to the same ten proxies as the first update, which must have been transmitted before it.
  channel.acknowledge(0, before);
  EXPECT_DOUBLE_EQ(inFlight(), 2 * 30 + 7 * 30 * 2 / 3. + 3 * 40);
  channel.acknowledge(1, after);  // a proxy applies its own updates in order
  EXPECT_DOUBLE_EQ(inFlight(), 30 + 7 * 30 / 3. + 2 * 40);
  EXPECT_LT(first, before);
}

TEST_F(UpdateChannelTest, RoutesToDisconnectedProxiesStayInFlightUntilLaterUpdatesHaveLeft) {
  send(20);
  for (ProxyId p = 3; p < 10; ++p) channel.disconnect(p, now);
  EXPECT_EQ(inFlight(), 10 * 20);
  const int second = send(30);
  channel.acknowledge(0, second);  // may have overtaken up to 140 routes
  EXPECT_DOUBLE_EQ(inFlight(), 2 * 20 + 7 * 20 * 2 / 3. + 2 * 30);
  send(30);
  const int fourth = send(30);  // 180 routes after the first, so it cannot have overtaken it
  channel.acknowledge(0, fourth);
  EXPECT_EQ(inFlight(), 2 * 30);
}

TEST_F(UpdateChannelTest, UpdateStaysInFlightIfNoConnectedProxyReceivedIt) {
  const int first = send(20);
  for (ProxyId p = 0; p < 10; ++p) channel.disconnect(p, now);
  EXPECT_EQ(inFlight(), 10 * 20);
  channel.connect(20, now + 1);  // was not sent the update, so its acknowledgement shows nothing
  EXPECT_TRUE(channel.acknowledge(20, first));
  EXPECT_EQ(inFlight(), 10 * 20);
}

TEST_F(UpdateChannelTest, DisconnectionDuringADeliveryCountsTheRoutesThatWereSent) {
  send(20);
  channel.awaitDelivery();
  channel.disconnect(9, now);
  channel.recordDelivery(now, 2, 5, 10);  // the second message adds an overhead of 5 routes
  EXPECT_EQ(inFlight(), 10 * 25);
  send(30);
  channel.awaitDelivery();
  channel.disconnect(8, now);
  channel.recordDelivery(now, 0, 5, 10);
  EXPECT_EQ(inFlight(), 10 * 25);
}

TEST_F(UpdateChannelTest, UpdatesSentBeforeADisconnectionEventMayHaveMovedForward) {
  send(30);
  const int crossing = send(40);  // the proxies have disconnected, but the event is not read yet
  for (ProxyId p = 3; p < 10; ++p) channel.disconnect(p, now);
  channel.acknowledge(0, crossing);
  EXPECT_DOUBLE_EQ(inFlight(), 2 * 70 + 7 * 70 * 2 / 3.);
}

TEST(UpdateChannelConnectionTest, UpdatesSentBeforeAConnectionEventAreInFlightToTheProxy) {
  UpdateChannel channel;
  channel.connect(1, 0);
  channel.send(kSecond, 10, 1, 0);
  channel.connect(2, kSecond - kMillisecond);
  EXPECT_EQ(channel.routesInFlight(2 * kSecond, 0), 10)
      << "limited by the routes that were queued when the update was sent";
  channel.send(2 * kSecond, 5, 2, 0);
  EXPECT_EQ(channel.routesInFlight(2 * kSecond, 0), 10 + 2 * 5);
  channel.connect(3, 3 * kSecond);
  EXPECT_EQ(channel.routesInFlight(3 * kSecond, 0), 10 + 2 * 5)
      << "nothing is in flight to a proxy that connects later";
  channel.connect(1, 3 * kSecond);
  EXPECT_EQ(channel.routesInFlight(3 * kSecond, 0), 10 + 2 * 5)
      << "proxy 1 is announced again, but did not disconnect";
}

TEST(UpdateChannelRecordsTest, RecordsOfUpdatesThatEveryProxyAcknowledgedAreErased) {
  UpdateChannel channel;
  for (int p = 0; p < 3; ++p) channel.connect(p, 0);
  for (int k = 0; k < 5000; ++k) {
    const int update = channel.send(k * kSecond, 10, 3, 1000);
    EXPECT_GT(channel.routesInFlight(k * kSecond, 1000), 0);
    for (int p = 0; p < 3; ++p) channel.acknowledge(p, update);
    EXPECT_EQ(channel.routesInFlight(k * kSecond, 1000), 0);
    ASSERT_LE(channel.trackedUpdates(), 2u);
  }
  const int early = channel.send(1e10, 10, 3, 1000);
  const int late = channel.send(1e10, 10, 3, 1000);
  channel.acknowledge(1, early);
  EXPECT_LE(channel.trackedUpdates(), 4u) << "updates that a proxy has not acknowledged are kept";
  EXPECT_EQ(channel.routesInFlight(1e10, 1000), 2 * 10 + 3 * 10);
  channel.acknowledge(0, late);
  EXPECT_EQ(channel.routesInFlight(1e10, 1000), 2 * 10) << "earlier updates were transmitted to all proxies";
}

TEST(UpdateChannelRecordsTest, AcknowledgementOfAnUnknownUpdateChangesNothing) {
  UpdateChannel channel;
  channel.connect(1, 0);
  const int update = channel.send(kSecond, 10, 1, 1000);
  EXPECT_FALSE(channel.acknowledge(1, update + 5));
  EXPECT_FALSE(channel.acknowledge(9, update)) << "unknown proxy";
  EXPECT_EQ(channel.routesInFlight(kSecond, 1000), 10);
  EXPECT_TRUE(channel.acknowledge(1, update));
  EXPECT_EQ(channel.routesInFlight(kSecond, 1000), 0);
}

}  // namespace
}  // namespace peargrade::decision
