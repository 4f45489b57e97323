// Routing of actions to their receivers, and readiness of the supervisor.
#include "dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include <vector>

namespace peargrade::dispatch {
namespace {

TEST(Dispatcher, EachActionReachesItsSinkInOrder) {
  Dispatcher dispatcher;
  std::vector<Dispatcher::EndpointListRequest> lists;
  std::vector<Dispatcher::TableUpdate> updates;
  dispatcher.onEndpointListRequest(
      [&](Dispatcher::EndpointListRequest request) { lists.push_back(request); });
  dispatcher.onTableUpdate([&](const Dispatcher::TableUpdate& update) { updates.push_back(update); });
  const auto rest =
      dispatcher.dispatch({SetTimer{1, "t"}, SetRoute{1, "s", 1}, WatchEndpoints{true}, ClearTable{2},
                           SetEjection{"s", EjectionState::Ejected}, PollEndpoints{}, SetAdmission{},
                           AcknowledgementRequest{4}, WatchEndpoints{false}, Log{"x"}, HealthCheck{"s"}});
  ASSERT_EQ(updates.size(), 1u) << "the table actions of one batch stay together";
  ASSERT_EQ(updates[0].size(), 5u);
  EXPECT_TRUE(std::holds_alternative<SetRoute>(updates[0].front()));
  EXPECT_TRUE(std::holds_alternative<AcknowledgementRequest>(updates[0].back()));
  using Request = Dispatcher::EndpointListRequest;
  EXPECT_EQ(lists, (std::vector<Request>{Request::Watch, Request::Poll, Request::Unwatch}));
  EXPECT_EQ(rest.size(), 3u);
}

TEST(Dispatcher, ReadinessIsNotifiedOnce) {
  Dispatcher dispatcher;
  int notifications = 0;
  dispatcher.onReady([&] { ++notifications; });
  dispatcher.relayConnected();
  EXPECT_EQ(notifications, 0);
  dispatcher.endpointListKnown();
  dispatcher.endpointListKnown();
  dispatcher.readinessTimedOut();
  EXPECT_EQ(notifications, 1);
  EXPECT_TRUE(dispatcher.ready());
}

TEST(Dispatcher, UnavailablePeerDoesNotHoldUpReadiness) {
  Dispatcher dispatcher;
  dispatcher.readinessTimedOut();
  EXPECT_TRUE(dispatcher.ready());
}

}  // namespace
}  // namespace peargrade::dispatch
