// The address of discovery changes while a watch is open.
#include <gtest/gtest.h>

#include "discovery_fixture.h"

namespace peargrade::discovery {
namespace {

class AddressChange : public DiscoveryTest {
 protected:
  /// Opens a watch on `service`, which has the old address.
  void watchOld(std::int64_t knownVersion = 0) {
    service.set("s1", "a", "SERVING");
    start(knownVersion);
    ASSERT_TRUE(watchUntil(1));
  }
};

TEST_F(AddressChange, OldWatchStaysActiveUntilTheNewOneDelivers) {
  fakes::Discovery next{loop.base.get()};
  next.set("s1", "a", "SERVING");
  watchOld(1);
  next.mute = true;
  discovery->moveTo(next.address());
  ASSERT_TRUE(until([&] { return next.requests.size() == 1; }));
  EXPECT_EQ(next.requests[0], "/catalog/members?follow=1&since=1");
  service.set("s2", "a", "SERVING");
  ASSERT_TRUE(untilUpdates(2)) << "the old watch still delivers";
  next.mute = false;
  next.set("s2", "a", "SERVING");
  service.endWatches();  // the old address closes before the new one has delivered
  discovery->moveTo(service.address());
  discovery->moveTo(next.address());
  ASSERT_TRUE(until([&] { return next.watching() == 1 && service.watching() == 0; }));
  next.set("s1", "a", "DRAINING");
  ASSERT_TRUE(until([&] { return !updates().empty() && updates().back().version == 3; }));
  for (const EndpointListUpdate& update : updates()) {
    EXPECT_NE(update.kind, EndpointListKind::Full) << "the full list was not needed";
  }
  EXPECT_EQ(updates().back().endpoints.at(0).state, EndpointState::Draining);
  EXPECT_TRUE(log.has("code=moved"));
}

// The successor's first list may be older than what the old watch has delivered.
TEST_F(AddressChange, SuccessorBehindTheOldWatchChangesNothing) {
  fakes::Discovery next{loop.base.get()};
  next.set("s1", "a", "SERVING");
  watchOld();
  service.set("s2", "a", "SERVING");
  service.set("s2", "a", "DRAINING");
  ASSERT_TRUE(until([&] { return updates().back().version == 3; }));
  discovery->moveTo(next.address());  // requests changes since 3, and receives revision 1
  ASSERT_TRUE(until([&] { return log.has("code=revision-regressed"); }))
      << "older than the version it was requested from";
  EXPECT_EQ(service.watching(), 1u) << "the old watch stays active";
  next.set("s2", "a", "SERVING");
  next.set("s2", "a", "DRAINING");
  ASSERT_TRUE(until([&] { return next.watching() == 1 && service.watching() == 0; }));
  EXPECT_EQ(failures(), 0u);
}

TEST_F(AddressChange, RefusingAddressIsRetriedUntilItAccepts) {
  watchOld();
  auto next = std::make_unique<fakes::Discovery>(loop.base.get());
  const net::Address address = next->address();
  next.reset();
  discovery->moveTo(address);
  ASSERT_TRUE(until([&] { return log.count("code=refused") >= 2; }));
  EXPECT_EQ(service.watching(), 1u);
  next = std::make_unique<fakes::Discovery>(loop.base.get(), address.host, address.port);
  next->set("s1", "a", "SERVING");
  ASSERT_TRUE(until([&] { return next->watching() == 1 && service.watching() == 0; }));
  EXPECT_EQ(failures(), 0u);
  next->endWatches();
  ASSERT_TRUE(until([&] { return updates().back().kind == EndpointListKind::Failed; }));
  request(WatchEndpoints{true});
  ASSERT_TRUE(until([&] { return next->watching() == 1; })) << "requests go to the new address";
}

class AddressChangeManual : public ManualDiscoveryTest {};

// Both connections are reset in the same iteration of the event loop, in either order.
TEST_F(AddressChangeManual, WatchAndSuccessorThatEndTogetherAreOneFailure) {
  for (const bool successorFirst : {false, true}) {
    events.events.clear();
    fakes::ManualServer next;
    startManual(3000000);
    peer->send(kHeader + fullListChunk());
    ASSERT_TRUE(untilUpdates(1));
    const auto old = std::move(peer);
    discovery->moveTo(next.address());
    std::unique_ptr<fakes::ManualPeer> successor;
    ASSERT_TRUE(until([&] {
      if (!successor) successor = next.accept();
      return successor && !successor->read().empty();
    }));
    (successorFirst ? successor : old)->reset();
    (successorFirst ? old : successor)->reset();
    ASSERT_TRUE(until([&] { return failures() == 1; }));
    request(WatchEndpoints{true});
    ASSERT_TRUE(until([&] {
      successor = next.accept();
      return successor != nullptr;
    })) << "requests go to the new address";
    EXPECT_EQ(failures(), 1u);
  }
}

}  // namespace
}  // namespace peargrade::discovery
