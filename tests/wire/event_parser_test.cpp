// The parser of the simulator protocol's events.
#include "wire/event_parser.h"

#include <gtest/gtest.h>

#include "wire/sample_batch.h"

namespace peargrade::wire {
namespace {

// Parses a batch that contains only `event` and returns the event.
template <class T>
T parseSingleEvent(const std::string& event) {
  const Batch parsed = parseBatch(makeBatch(event));
  EXPECT_EQ(parsed.groups.size(), 1u);
  EXPECT_EQ(parsed.groups.at(0).inputs.size(), 1u);
  return std::get<T>(std::get<Event>(parsed.groups.at(0).inputs.at(0)));
}

TEST(ParseInput, ReadsEndpointListUpdates) {
  const auto update = parseSingleEvent<EndpointListUpdate>(
      R"({"peersKnown":{"mode":"disk","rev":41,"entries":[{"w":1.5,"server":"s_a","startedAtUs":61,"group":4,)"
      R"("rackZone":1,"sku":2,"health":"L"},{"server":"s_b","health":"D"}]}})");
  EXPECT_EQ(update.kind, EndpointListKind::Cached);
  EXPECT_EQ(update.version, 41);
  ASSERT_EQ(update.endpoints.size(), 2u);
  EXPECT_EQ(update.endpoints[0].server, "s_a");
  EXPECT_EQ(update.endpoints[0].weight, 1.5);
  EXPECT_EQ(update.endpoints[0].startedAt, 61);
  EXPECT_EQ(update.endpoints[0].cell, 4);
  EXPECT_EQ(update.endpoints[0].zone, 1);
  EXPECT_EQ(update.endpoints[0].kind, 2);
  EXPECT_EQ(update.endpoints[0].state, EndpointState::Draining);
  EXPECT_EQ(update.endpoints[1].state, EndpointState::Removed);
  EXPECT_EQ(update.endpoints[1].startedAt, 0);
  EXPECT_EQ(parseSingleEvent<EndpointListUpdate>(R"({"peersKnown":{"mode":"error"}})").kind,
            EndpointListKind::Failed);
}

TEST(ParseInput, ReadsLoadReportsAndProxyEvents) {
  const auto server = parseSingleEvent<ServerLoadReport>(
      R"({"upstreamStats":{"rackZone":2,"server":"s_a","total":14,"bad":1,"durationUs":48250,"windowUs":1000000}})");
  EXPECT_EQ(server.zone, 2);
  EXPECT_EQ(server.attempts, 14);
  EXPECT_EQ(server.failures, 1);
  EXPECT_EQ(server.meanLatency, 48250);
  EXPECT_EQ(server.window, 1000000);
  const auto slice = parseSingleEvent<SliceLoadReport>(
      R"({"activity":{"total":9,"tbl":6,"bad":2,"windowUs":500000,"cls":1}})");
  EXPECT_EQ(slice.requests, 9);
  EXPECT_EQ(slice.slice, 6);
  EXPECT_EQ(slice.requestClass, 1);
  const auto proxy = parseSingleEvent<ProxyLoadReport>(
      R"({"usage":{"sidecar":41,"cls":0,"bad":1,"total":9,"windowUs":2000000}})");
  EXPECT_EQ(proxy.proxy, 41);
  EXPECT_EQ(proxy.requests, 9);
  const auto joined =
      parseSingleEvent<ProxyConnected>(R"({"enrolled":{"sidecar":41,"rackZone":1,"w":6.5,"on":true}})");
  EXPECT_EQ(joined.zone, 1);
  EXPECT_EQ(joined.expectedRequestRate, 6.5);
  EXPECT_TRUE(joined.newIncarnation);
  EXPECT_EQ(parseSingleEvent<ProxyDisconnected>(R"({"parted":{"sidecar":41}})").proxy, 41);
  EXPECT_EQ(
      parseSingleEvent<UpdateAcknowledged>(R"({"tookEffect":{"sidecar":1,"rev":9,"durationUs":5}})").updateId,
      9);
}

TEST(ParseInput, ReadsAssignmentsRoutesTimersHealthChecksAndGossip) {
  EXPECT_TRUE(parseSingleEvent<SliceAssignment>(R"({"charge":{"tbl":3,"on":true}})").assigned);
  EXPECT_FALSE(
      parseSingleEvent<SliceAssignment>(R"({"charge":{"tbl":3}})").assigned);  // an absent field is false
  EXPECT_EQ(parseSingleEvent<StoredRoute>(R"({"onRecord":{"tbl":3,"server":"s_a","w":0.25}})").weight, 0.25);
  EXPECT_EQ(parseSingleEvent<TimerFired>(R"({"timeoutFired":{"handle":"sweep"}})").token, "sweep");
  EXPECT_EQ(
      parseSingleEvent<HealthCheckResult>(R"({"echo":{"server":"s_a","ending":1,"durationUs":7}})").outcome,
      HealthCheckOutcome::Passed);
  EXPECT_EQ(parseSingleEvent<HealthCheckResult>(R"({"echo":{"server":"s_a","ending":0}})").outcome,
            HealthCheckOutcome::Error);
  EXPECT_EQ(parseSingleEvent<HealthCheckResult>(R"({"echo":{"server":"s_a","ending":5}})").outcome,
            HealthCheckOutcome::ConnectionLost);
  EXPECT_EQ(parseSingleEvent<GossipReceived>(R"({"message":{"originPeer":1,"octets":"68690A"}})").payload,
            "hi\n");
  EXPECT_TRUE(std::holds_alternative<Retire>(parseBatch(makeBatch(R"({"retire":{}})")).groups[0].inputs[0]));
}

}  // namespace
}  // namespace peargrade::wire
