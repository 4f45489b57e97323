// The JSON codec: every event is read as the wire writes it, every action is written as the wire wants it,
// and whatever is malformed is named instead of guessed.
#include "wire/codec.h"

#include <gtest/gtest.h>

#include <cctype>

namespace peargrade::wire {
namespace {

const char* kInfo =
    R"({"classes":[{"aimUs":800000,"effect":"repeatable","hardLimitUs":2500000,"worth":1.5},)"
    R"({"aimUs":1500000,"effect":"by_key","dedupScope":"cell","keyTtlUs":2000000,"hardLimitUs":5000000}],)"
    R"("groupSize":2,"registryMode":"on_request","weights":"rough","limits":{"probes":true},)"
    R"("extra":{"shards":7,"updateCap":20,"updateWindowUs":10000000,"mutating":[false,true],"egressPerS":30800.0,)"
    R"("pendingMax":100,"perMessage":8.0,"throttleBy":"per_second","unheardOf":[1,{"x":null}]},)"
    R"("rules":{"drainGraceUs":2800000,"startCapacity":0.15,"warmAfterUs":16000000},"newKey":{"a":1}})";

std::string batch(const std::string& events, int supervisor = 3) {
  return R"({"wallUs":1000,"turn":12,"groups":[{"supervisor":)" + std::to_string(supervisor) +
         R"(,"input":[)" + events + "]}]}";
}

template <class T>
T only(const std::string& event) {
  const Batch b = parseBatch(batch(event));
  EXPECT_EQ(b.groups.size(), 1u);
  EXPECT_EQ(b.groups.at(0).input.size(), 1u);
  return std::get<T>(std::get<Event>(b.groups.at(0).input.at(0)));
}

std::string complaint(const std::string& line) {
  try {
    parseBatch(line);
  } catch (const ParseError& e) {
    return e.what();
  }
  return "";
}

TEST(Codec, EmptyBatch) {
  const Batch b = parseBatch(R"({"wallUs":8412250,"turn":1,"groups":[]})");
  EXPECT_EQ(b.now, 8412250);
  EXPECT_EQ(b.turn, 1);
  EXPECT_TRUE(b.groups.empty());
  EXPECT_EQ(writeReply({1, {}}), R"({"turn":1,"groups":[]})");
}

TEST(Codec, SettingsAreReadAndUnknownKeysSkipped) {
  const Batch b = parseBatch(
      batch(R"({"newInstance":{"randomSeed":18446744073709551615,"info":)" + std::string(kInfo) + "}}"));
  const auto& n = std::get<NewInstance>(b.groups[0].input[0]);
  EXPECT_EQ(n.seed, 18446744073709551615ull);
  ASSERT_EQ(n.settings.classes.size(), 2u);
  EXPECT_EQ(n.settings.classes[0].latencyObjective, 800000);
  EXPECT_EQ(n.settings.classes[0].priorityWeight, 1.5);
  EXPECT_EQ(n.settings.classes[1].idempotency, Idempotency::WithIdempotencyKey);
  EXPECT_EQ(n.settings.classes[1].deduplicationScope, DeduplicationScope::Cell);
  EXPECT_FALSE(n.settings.classes[0].isWrite);
  EXPECT_TRUE(n.settings.classes[1].isWrite);
  EXPECT_EQ(n.settings.supervisors, 2);
  EXPECT_TRUE(n.settings.endpointsOnRequest);
  EXPECT_TRUE(n.settings.endpointsHaveWeights);
  EXPECT_TRUE(n.settings.healthChecksAllowed);
  EXPECT_FALSE(n.settings.gossipAllowed);
  EXPECT_EQ(n.settings.slices, 7);
  EXPECT_EQ(n.settings.messagesPerProxyMax, 20);
  EXPECT_EQ(n.settings.routesPerSecond, 30800);
  EXPECT_EQ(n.settings.admissionUnit, AdmissionUnit::RequestsPerSecond);
  EXPECT_EQ(n.settings.initialCapacity, 0.15);
  EXPECT_EQ(n.settings.slowStartWindow, 16000000);
  EXPECT_FALSE(n.settings.removalIsAdvisory) << "absent: gone binds";
}

TEST(Codec, GoneIsAdviceWhereItIsSet) {
  std::string info(kInfo);
  const std::string rules = "\"rules\":{";
  ASSERT_NE(info.find(rules), std::string::npos);
  info.insert(info.find(rules) + rules.size(), "\"goneIsAdvice\":true,");
  const Batch b = parseBatch(batch(R"({"newInstance":{"randomSeed":1,"info":)" + info + "}}"));
  EXPECT_TRUE(std::get<NewInstance>(b.groups[0].input[0]).settings.removalIsAdvisory);
}

TEST(Codec, EndpointListUpdate) {
  const auto news = only<EndpointListUpdate>(
      R"({"peersKnown":{"mode":"disk","rev":41,"entries":[{"w":1.5,"server":"s_a","startedAtUs":61,"group":4,)"
      R"("rackZone":1,"sku":2,"health":"L"},{"server":"s_b","health":"D"}]}})");
  EXPECT_EQ(news.kind, EndpointListKind::Cached);
  EXPECT_EQ(news.version, 41);
  ASSERT_EQ(news.endpoints.size(), 2u);
  EXPECT_EQ(news.endpoints[0].server, "s_a");
  EXPECT_EQ(news.endpoints[0].weight, 1.5);
  EXPECT_EQ(news.endpoints[0].startedAt, 61);
  EXPECT_EQ(news.endpoints[0].cell, 4);
  EXPECT_EQ(news.endpoints[0].zone, 1);
  EXPECT_EQ(news.endpoints[0].kind, 2);
  EXPECT_EQ(news.endpoints[0].state, EndpointState::Draining);
  EXPECT_EQ(news.endpoints[1].state, EndpointState::Removed);
  EXPECT_EQ(news.endpoints[1].startedAt, 0);
  EXPECT_EQ(only<EndpointListUpdate>(R"({"peersKnown":{"mode":"error"}})").kind, EndpointListKind::Failed);
}

TEST(Codec, ReportsAndStreams) {
  const auto r = only<ServerLoadReport>(
      R"({"upstreamStats":{"rackZone":2,"server":"s_a","total":14,"bad":1,"durationUs":48250,"windowUs":1000000}})");
  EXPECT_EQ(r.zone, 2);
  EXPECT_EQ(r.attempts, 14);
  EXPECT_EQ(r.failures, 1);
  EXPECT_EQ(r.meanLatency, 48250);
  EXPECT_EQ(r.window, 1000000);
  const auto d =
      only<SliceLoadReport>(R"({"activity":{"total":9,"tbl":6,"bad":2,"windowUs":500000,"cls":1}})");
  EXPECT_EQ(d.requests, 9);
  EXPECT_EQ(d.slice, 6);
  EXPECT_EQ(d.requestClass, 1);
  const auto u =
      only<ProxyLoadReport>(R"({"usage":{"sidecar":41,"cls":0,"bad":1,"total":9,"windowUs":2000000}})");
  EXPECT_EQ(u.proxy, 41);
  EXPECT_EQ(u.requests, 9);
  const auto joined = only<ProxyConnected>(R"({"enrolled":{"sidecar":41,"rackZone":1,"w":6.5,"on":true}})");
  EXPECT_EQ(joined.zone, 1);
  EXPECT_EQ(joined.expectedRequestRate, 6.5);
  EXPECT_TRUE(joined.newIncarnation);
  EXPECT_EQ(only<ProxyDisconnected>(R"({"parted":{"sidecar":41}})").proxy, 41);
  EXPECT_EQ(only<UpdateAcknowledged>(R"({"tookEffect":{"sidecar":1,"rev":9,"durationUs":5}})").updateId, 9);
}

TEST(Codec, ChargeLinesTimersProbesNotes) {
  EXPECT_TRUE(only<SliceAssignment>(R"({"charge":{"tbl":3,"on":true}})").assigned);
  EXPECT_FALSE(only<SliceAssignment>(R"({"charge":{"tbl":3}})").assigned);  // a false mark may be left out
  EXPECT_EQ(only<StoredRoute>(R"({"onRecord":{"tbl":3,"server":"s_a","w":0.25}})").weight, 0.25);
  EXPECT_EQ(only<TimerFired>(R"({"timeoutFired":{"handle":"sweep"}})").token, "sweep");
  EXPECT_EQ(only<HealthCheckResult>(R"({"echo":{"server":"s_a","ending":1,"durationUs":7}})").outcome,
            HealthCheckOutcome::Passed);
  EXPECT_EQ(only<HealthCheckResult>(R"({"echo":{"server":"s_a","ending":0}})").outcome,
            HealthCheckOutcome::Error);
  EXPECT_EQ(only<HealthCheckResult>(R"({"echo":{"server":"s_a","ending":5}})").outcome,
            HealthCheckOutcome::ConnectionLost);
  EXPECT_EQ(only<GossipReceived>(R"({"message":{"originPeer":1,"octets":"68690A"}})").payload, "hi\n");
  EXPECT_TRUE(std::holds_alternative<Retire>(parseBatch(batch(R"({"retire":{}})")).groups[0].input[0]));
}

TEST(Codec, EveryActionAsTheWireWantsIt) {
  Reply reply{12,
              {{3,
                {SetTimer{500000, "sweep"}, WatchEndpoints{true}, PollEndpoints{}, HealthCheck{"s_a"},
                 SendGossip{"hi\n"}, SetRoute{117, "s_b", 0.75}, ClearTable{4},
                 SetEjection{"s_a", EjectionState::Readmitted},
                 SetAdmission{kAllTables, 2, 0.5, RetryPolicy::IfNotExecuted},
                 AcknowledgementRequest{7, true}, Log{"two \"known\""}}}}};
  EXPECT_EQ(
      writeReply(reply),
      R"({"turn":12,"groups":[{"supervisor":3,"out":[{"schedule":{"waitUs":500000,"handle":"sweep"}},)"
      R"({"track":{"on":true}},{"lookup":{}},{"ping":{"server":"s_a"}},{"say":{"to":"*","octets":"68690a"}},)"
      R"({"setLine":{"tbl":117,"server":"s_b","w":0.75}},{"truncate":{"tbl":4}},)"
      R"({"pull":{"on":false,"server":"s_a"}},)"
      R"({"throttle":{"tbl":65535,"secondTry":1,"classes":2,"limit":0.5}},{"nonce":{"on":true,"rev":7}},)"
      R"({"print":{"text":"two \"known\""}}]}]})");
}

struct Bad {
  const char* line;
  const char* says;
};

// The complaint without what cannot stand in the name of a test.
std::string caseName(const testing::TestParamInfo<Bad>& info) {
  std::string name = std::to_string(info.index) + "_";
  for (const char* c = info.param.says; *c != 0; ++c) {
    if (std::isalnum(static_cast<unsigned char>(*c)) != 0) name += *c;
  }
  return name;
}

class CodecMalformed : public testing::TestWithParam<Bad> {};

TEST_P(CodecMalformed, IsNamed) {
  const std::string says = complaint(GetParam().line);
  EXPECT_NE(says.find(GetParam().says), std::string::npos) << "said: " << says;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, CodecMalformed,
    testing::Values(
        Bad{"", "not JSON"}, Bad{"{\"wallUs\":1", "not JSON"}, Bad{"[]", "not an object"},
        Bad{R"({"wallUs":1,"groups":[]})", "'turn' is missing"},
        Bad{R"({"turn":9,"groups":[]})", "batch 9: 'wallUs' is missing"},
        Bad{R"({"turn":9,"wallUs":1})", "batch 9: 'groups' is missing"},
        Bad{R"({"turn":9,"wallUs":1,"groups":{}})", "'groups' is not an array"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"input":[]}]})", "'supervisor' is missing"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":-1,"input":[]}]})",
            "'supervisor' is out of range"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"bogus":{}}]}]})",
            "batch 9: supervisor 2: unknown event 'bogus'"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"parted":{},"retire":{}}]}]})",
            "single key"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"parted":{}}]}]})",
            "parted: 'sidecar' is missing"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"parted":{"sidecar":70000}}]}]})",
            "'sidecar' is out of range"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"parted":{"sidecar":1.5}}]}]})",
            "'sidecar' is not a whole number"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"charge":{"tbl":1,"on":3}}]}]})",
            "'on' is not true or false"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"echo":{"server":"","ending":1}}]}]})",
            "'server' is not a server id"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"echo":{"server":"a b","ending":1}}]}]})",
            "'server' is not a server id"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"echo":{"server":"a","ending":9}}]}]})",
            "'ending' is out of range"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"peersKnown":{"mode":"odd"}}]}]})",
            "'mode' has an unknown value"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"peersKnown":{"mode":"diff"}}]}]})",
            "'entries' is missing"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"message":{"originPeer":1,"octets":"6"}}]}]})",
            "'octets' is not hex digits"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"newInstance":{"randomSeed":1}}]}]})",
            "'info' is missing"},
        Bad{R"({"turn":9,"wallUs":1,"groups":[{"supervisor":2,"input":[{"newInstance":{"randomSeed":1,"info":{}}}]}]})",
            "'classes' is missing"}),
    caseName);

}  // namespace
}  // namespace peargrade::wire
