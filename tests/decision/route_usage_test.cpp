// Use of servers by routing tables, and when the state of a server is erased.
#include "decision/route_usage.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace peargrade::decision {
namespace {

TEST(RouteUsageTest, DepartedServersAreErasedOnceNoTableUsesThem) {
  ServerMap servers;
  for (const char* id : {"departed", "published", "desired", "ejected", "late", "ready"}) {
    servers[id].isListed = std::string(id) == "ready";
    servers[id].departedAt = std::string(id) == "ready" ? 0 : std::string(id) == "late" ? 90 : 10;
  }
  servers["ejected"].ejection.publish(EjectionState::Ejected, 1);
  SliceMap slices;
  SliceState slice(0, 1);
  slice.primary = "ready";
  slice.initialPrimary = "ready";
  slice.published.insert_or_assign("published", PublishedRoute::delivered(1));
  slice.desired = {{"desired", 1}};
  slices.emplace(1, slice);
  forgetDepartedServers(servers, slices, 50, 1);
  std::set<ServerId> kept;
  for (const auto& [id, server] : servers) kept.insert(id);
  EXPECT_EQ(kept, (std::set<ServerId>{"desired", "ejected", "late", "published", "ready"}));
}

// Guards against: a proxy that is disconnected over the departure of a server ignores its successor of the
// same id.
TEST(RouteUsageTest, DepartedServerIsKeptWhileADisconnectedProxyMayTreatItAsEjected) {
  ServerMap servers;
  for (const char* id : {"applied", "missed", "unconfirmed"}) servers[id].departedAt = 10;
  servers["applied"].ejection.publish(EjectionState::Readmitted, 4);
  servers["missed"].ejection.publish(EjectionState::Readmitted, 5);
  servers["unconfirmed"].ejection.publish(EjectionState::Readmitted, 4);
  servers["unconfirmed"].ejection.markUnconfirmed();
  forgetDepartedServers(servers, {}, 50, 4);
  EXPECT_EQ(servers.count("applied"), 0U);
  EXPECT_EQ(servers.count("missed"), 1U);
  EXPECT_EQ(servers.count("unconfirmed"), 1U);
  forgetDepartedServers(servers, {}, 50, std::nullopt);
  EXPECT_EQ(servers.count("missed"), 0U);
}

TEST(RouteUsageTest, RouteOfUnknownDeliveryMakesNoTableRoutable) {
  SliceMap slices;
  SliceState slice(0, 1);
  slice.primary = "a";
  slice.desired = {{"a", 1}};
  slice.published.insert_or_assign("a", PublishedRoute::unknownDelivery());
  slice.published.insert_or_assign("b", PublishedRoute::delivered(1));
  slices.emplace(1, slice);
  const auto onlyA = [](const ServerId& id) { return id == "a"; };
  EXPECT_EQ(routeUsage(slices, onlyA).indispensable, (std::set<ServerId>{"a", "b"}));
  EXPECT_EQ(routeUsage(slices, onlyA).stale, (std::set<ServerId>{"b"}));
  slices.at(1).publish(SetRoute{1, "a", 1});
  EXPECT_TRUE(routeUsage(slices, onlyA).indispensable.empty());
}

}  // namespace
}  // namespace peargrade::decision
