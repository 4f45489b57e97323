// The in-flight accounting of the update channel, update by update.
#include "decision/update_channel.h"

#include <gtest/gtest.h>

#include "decision/clock.h"

namespace peargrade::decision {
namespace {

/// Ten proxies that connected long before the first update.
class UpdateChannelTest : public testing::Test {
 protected:
  UpdateChannelTest() {
    for (ProxyId p = 0; p < 10; ++p) channel.connect(p, at);
  }
  /// Each update goes a second after the one before; time alone lets nothing leave.
  int send(double routes) { return channel.send(at += kSecond, routes, 10, 0); }
  double inFlight() const { return channel.routesInFlight(at, 0); }

  Micros at = 1000 * kSecond;
  UpdateChannel channel;
};

TEST_F(UpdateChannelTest, AcknowledgementAfterADisconnectionProvesNothingOfEarlierUpdates) {
  const int first = send(20);
  const int before = send(30);
  for (ProxyId p = 3; p < 10; ++p) channel.disconnect(p, at + 1);
  channel.connect(20, at + 1);
  const int after = send(40);
  EXPECT_EQ(inFlight(), 10 * 20 + 10 * 30 + 4 * 40);
  channel.acknowledge(20, after);  // moved forward by what was in flight to the seven that disconnected
  EXPECT_EQ(inFlight(), 10 * 20 + 10 * 30 + 3 * 40);
  channel.acknowledge(0, before);  // sent to the same ten as the first one, which has left
  EXPECT_DOUBLE_EQ(inFlight(), 2 * 30 + 7 * 30 * 2 / 3. + 3 * 40);
  channel.acknowledge(1, after);  // a proxy applies its own in order
  EXPECT_DOUBLE_EQ(inFlight(), 30 + 7 * 30 / 3. + 2 * 40);
  EXPECT_LT(first, before);
}

TEST_F(UpdateChannelTest, RoutesToDisconnectedProxiesStayInFlightUntilLaterUpdatesHaveLeft) {
  send(20);
  for (ProxyId p = 3; p < 10; ++p) channel.disconnect(p, at);
  EXPECT_EQ(inFlight(), 10 * 20);
  const int second = send(30);
  channel.acknowledge(0, second);  // overtook up to 140 routes
  EXPECT_DOUBLE_EQ(inFlight(), 2 * 20 + 7 * 20 * 2 / 3. + 2 * 30);
  send(30);
  const int fourth = send(30);  // 180 routes behind the first
  channel.acknowledge(0, fourth);
  EXPECT_EQ(inFlight(), 2 * 30);
}

TEST_F(UpdateChannelTest, EverythingStaysInFlightWhenNoConnectedProxyReceivedIt) {
  const int first = send(20);
  for (ProxyId p = 0; p < 10; ++p) channel.disconnect(p, at);
  EXPECT_EQ(inFlight(), 10 * 20);
  channel.connect(20, at + 1);  // proves nothing of what was sent before it
  EXPECT_TRUE(channel.acknowledge(20, first));
  EXPECT_EQ(inFlight(), 10 * 20);
}

TEST_F(UpdateChannelTest, DisconnectionDuringADeliveryCountsTheRoutesThatWentOut) {
  send(20);
  channel.awaitDelivery();
  channel.disconnect(9, at);
  channel.recordDelivery(at, 2, 5, 10);  // in two messages: one more overhead of 5
  EXPECT_EQ(inFlight(), 10 * 25);
  send(30);
  channel.awaitDelivery();
  channel.disconnect(8, at);
  channel.recordDelivery(at, 0, 5, 10);
  EXPECT_EQ(inFlight(), 10 * 25);
}

TEST_F(UpdateChannelTest, UpdatesSentBeforeADisconnectionWasReadMayHaveMovedForward) {
  send(30);
  const int crossing = send(40);  // the proxies had disconnected by then
  for (ProxyId p = 3; p < 10; ++p) channel.disconnect(p, at);
  channel.acknowledge(0, crossing);
  EXPECT_DOUBLE_EQ(inFlight(), 2 * 70 + 7 * 70 * 2 / 3.);
}

TEST(UpdateChannelConnectionTest, UpdatesSentBeforeAConnectionWasReadAreInFlightToTheProxy) {
  UpdateChannel channel;
  channel.connect(1, 0);
  channel.send(kSecond, 10, 1, 0);
  channel.connect(2, kSecond - kMillisecond);
  EXPECT_EQ(channel.routesInFlight(2 * kSecond, 0), 10) << "no more than was counted then";
  channel.send(2 * kSecond, 5, 2, 0);
  EXPECT_EQ(channel.routesInFlight(2 * kSecond, 0), 10 + 2 * 5);
  channel.connect(3, 3 * kSecond);
  EXPECT_EQ(channel.routesInFlight(3 * kSecond, 0), 10 + 2 * 5)
      << "nothing is in flight to one that connects later";
  channel.connect(1, 3 * kSecond);
  EXPECT_EQ(channel.routesInFlight(3 * kSecond, 0), 10 + 2 * 5)
      << "announced again: its connection never broke";
}

TEST(UpdateChannelRecordsTest, UpdatesThatEveryProxyAcknowledgedAreForgotten) {
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
  EXPECT_LE(channel.trackedUpdates(), 4u) << "what one proxy has not acknowledged stays";
  EXPECT_EQ(channel.routesInFlight(1e10, 1000), 2 * 10 + 3 * 10);
  channel.acknowledge(0, late);
  EXPECT_EQ(channel.routesInFlight(1e10, 1000), 2 * 10) << "what was sent before it has left for all";
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
