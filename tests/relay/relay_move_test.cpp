// The relay client when the address of the relay changes.
#include <gtest/gtest.h>

#include "relay/relay_client_fixture.h"

namespace peargrade::relay {
namespace {

// A new configuration names another address. The old relay accepts no new connections and closes the open
// ones soon after, so the old watch must stay in use until the new relay accepts one.
TEST_F(RelayClientTest, OldWatchStaysInUseUntilTheNewOneIsOpen) {
  fakeRelay.proxies = {{1, {"a", 1, false}}, {2, {"b", 1, false}}};
  fakeRelay.slices[5] = {{"s", "1"}};
  start();
  ASSERT_TRUE(until([&] { return otherEvents() == 4; }));
  fakes::Relay next{loop.base.get()};
  next.refuse(true);
  relay->moveTo(next.address());
  fakeRelay.attach(3, {"a", 1, false});
  ASSERT_TRUE(until([&] { return seen.all<ProxyConnected>().size() == 3; }))
      << "the old watch is still in use";
  update({SetRoute{5, "t", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return log.has("ended code=refused"); }));
  next.proxies = fakeRelay.proxies;
  next.slices = fakeRelay.slices;
  next.refuse(false);
  ASSERT_TRUE(until([&] { return next.watches == 1 && fakeRelay.open() == 0; }));
  next.attach(4, {"a", 1, true});
  next.life();
  ASSERT_TRUE(until([&] { return seen.all<ProxyConnected>().size() == 4; }));
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  update({SetRoute{5, "u", 1}, AcknowledgementRequest{2}});
  ASSERT_TRUE(until([&] { return !next.orders.empty() && next.orders.back() == "fence,2,0"; }));
  EXPECT_EQ(next.slices[5].size(), 3u) << "pending commands go to the new address, none is lost";
  EXPECT_TRUE(seen.all<ProxyDisconnected>().empty()) << "no proxy may be reported as disconnected";
  EXPECT_EQ(seen.all<SliceAssignment>().size(), 1u) << "no slice may be assigned twice";
  EXPECT_TRUE(log.has("watch ended code=moved"));
}

TEST_F(RelayClientTest, CallInFlightIsAnsweredAtTheOldAddressAndLaterOnesGoToTheNew) {
  start();
  ASSERT_TRUE(untilWatchCount());
  fakeRelay.slices[5] = {};
  fakes::Relay next{loop.base.get()};
  fakeRelay.onOrder = [&](const std::string& order) {
    if (order == "fence,1,0") relay->moveTo(next.address());
  };
  update({SetRoute{5, "t", 1}, AcknowledgementRequest{1}});
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  update({SetRoute{5, "u", 1}, AcknowledgementRequest{2}});
  ASSERT_TRUE(until([&] { return next.watches == 1 && fakeRelay.orders.size() + next.orders.size() == 4; }));
  EXPECT_EQ(fakeRelay.orders.at(1), "fence,1,0");
  EXPECT_EQ(incompleteDeliveries, 0u);
  update({SetRoute{5, "v", 1}, AcknowledgementRequest{3}});
  ASSERT_TRUE(until([&] { return !next.orders.empty() && next.orders.back() == "fence,3,0"; }));
  ASSERT_TRUE(until([&] { return fakeRelay.open() == 0; })) << "no connection is left at the old address";
}

TEST_F(RelayClientTest, CallThatTheOldAddressNeverAnswersIsReportedAtTheNew) {
  ASSERT_NO_FATAL_FAILURE(startWithUnansweredCall());
  ASSERT_TRUE(until([&] { return fakeRelay.calls.size() == 1; }));
  fakes::Relay next{loop.base.get()};
  relay->moveTo(next.address());
  unacceptedActions.insert(unacceptedActions.begin() + 1, SetRoute{8, "s", 1});
  fakeRelay.refuse(true);
  ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
  EXPECT_EQ(next.calls, std::vector<std::string>{"put,7,s,1;put,8,s,1;fence,1,0"});
}

TEST_F(RelayClientTest, LatestOfSeveralMovesTakesEffect) {
  start();
  ASSERT_TRUE(untilWatchCount());
  fakes::Relay one{loop.base.get()};
  fakes::Relay two{loop.base.get()};
  relay->moveTo(one.address());
  relay->moveTo(two.address());
  relay->moveTo(two.address());
  ASSERT_TRUE(until([&] { return two.watches == 1 && fakeRelay.open() == 0 && one.open() == 0; }));
  relay->moveTo(fakeRelay.address());
  ASSERT_TRUE(until([&] { return fakeRelay.watches == 2 && two.open() == 0; }));
  EXPECT_EQ(two.watches, 1);
}

TEST_F(RelayClientTest, AtMostTwoConnectionsAreOpen) {
  start();
  ASSERT_TRUE(untilWatchCount());
  for (int k = 0; k < 50; ++k) {
    update({SetRoute{k, "s", 1}, AcknowledgementRequest{k}});
    ASSERT_TRUE(until([&] { return unacceptedActions.empty(); }));
    EXPECT_LE(fakeRelay.open(), 2u);
  }
}

}  // namespace
}  // namespace peargrade::relay
