// Tests of sources::Sources in this process, against a fake name server: SRV services are looked up on
// schedule, and their servers become the list that the dispatcher passes on.
#include "sources/sources.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>

#include <random>

#include "fakes/nameserver.h"
#include "support/loop.h"
#include "support/server_list.h"

namespace peargrade::sources {
namespace {

constexpr Micros kSecond = 1000000;
constexpr char kName[] = "_o._tcp.example.org";

op::Place place(const char* net, int bits, const char* zone, const char* kind = "") {
  op::Place p;
  in_addr address{};
  inet_pton(AF_INET, net, &address);
  p.mask = bits == 0 ? 0 : ~std::uint32_t{0} << (32 - bits);
  p.net = ntohl(address.s_addr) & p.mask;
  p.zone = zone;
  p.kind = kind;
  return p;
}

TEST(LocalityMap, FirstNetworkThatContainsTheAddressGivesItsLocality) {
  const discovery::Names names = testNames();
  const locality::LocalityMap places({place("10.1.0.0", 16, "b", "m2"), place("0.0.0.0", 0, "a")}, names);
  membership::ServiceRecord record;
  ASSERT_TRUE(places.locate("10.1.2.3", record));
  EXPECT_EQ(record.zone, 1);
  EXPECT_EQ(record.kind, 1);
  ASSERT_TRUE(places.locate("10.2.2.3", record));
  EXPECT_EQ(record.zone, 0);
  ASSERT_TRUE(places.locate("[::1]", record)) << "a network of prefix length 0 contains every address";
  EXPECT_FALSE(locality::LocalityMap({place("10.1.0.0", 16, "b")}, names).locate("[::1]", record));
  EXPECT_FALSE(locality::LocalityMap({place("10.1.0.0", 16, "b")}, names).locate("10.2.0.1", record));
}

TEST(ToObservation, EachAddressOfATargetIsARecordAndUnresolvedTargetsAreNamed) {
  dns::Service service;
  service.kind = dns::Service::Kind::Complete;
  service.asOf = 7;
  service.targets = {{"a.org", 1, 5, 80, {"10.1.0.1", "10.9.0.1"}, true, 50},
                     {"b.org", 2, 0, 81, {}, false, 60}};
  std::size_t unmappedAddresses = 0;
  const auto observation = toObservation(
      service, 3, locality::LocalityMap({place("10.1.0.0", 16, "a")}, testNames()), unmappedAddresses);
  EXPECT_EQ(observation.kind, membership::Observation::Kind::Complete);
  EXPECT_EQ(observation.source, 3u);
  ASSERT_EQ(observation.records.size(), 1u);
  EXPECT_EQ(observation.records[0].address, "10.1.0.1:80");
  EXPECT_EQ(observation.records[0].priority, 1);
  EXPECT_EQ(observation.records[0].expiresAt, 50);
  EXPECT_EQ(observation.unresolvedTargets, std::set<std::string>{"b.org"});
  EXPECT_EQ(unmappedAddresses, 1u);
}

struct SourcesTest : testing::Test {
  Loop loop;
  ReadLog log;
  fakes::NameServer names{loop.base.get()};
  discovery::Names configuredNames = testNames();
  dispatch::Dispatcher dispatcher;
  Seen seen;
  op::Operator op;
  EndpointListUpdate cachedList;
  std::vector<std::string> cachedAddresses;
  Micros now = 1000 * kSecond;
  std::mt19937 random{9};
  std::unique_ptr<Sources> sources;

  SourcesTest() {
    op.roster = false;
    op.dns.tryFor = 50000;
    op.dns.tcpFor = 100000;
    op.dns.tries = 2;
    op.dns.ttlLeast = 100000;
    op.dns.failureHold = 50000;
    op.srv.push_back({"orders", kName, {place("0.0.0.0", 0, "a")}});
    for (int k = 0; k < 6; ++k) addServer(k);
  }
  void addServer(int k) {
    const std::string host = "bello-" + std::to_string(k) + ".example.org";
    names.srv(kName, host, 3000, 0, 10, 1);
    names.a(host, "10.1.0." + std::to_string(k), 1);
  }
  void start() {
    op.dns.servers = {names.address()};
    Dependencies dependencies{loop.base.get(),  &op,
                              &configuredNames, &cachedList,
                              &cachedAddresses, &dispatcher,
                              log.log.get(),    [this] { return now + net::steadyNow() - startTime; }};
    sources =
        std::make_unique<Sources>(dependencies, [this] { return static_cast<std::uint32_t>(random()); });
    dispatcher.dispatch({WatchEndpoints{true}});
  }
  const Micros startTime = net::steadyNow();
  // The servers in the updates that the dispatcher has passed on.
  std::map<ServerId, EndpointState> list() {
    seen.take(dispatcher);
    return serverList(seen);
  }
};

TEST_F(SourcesTest, ServersOfAServiceAreListed) {
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  EXPECT_EQ(list().begin()->first, "10.1.0.0:3000");
  EXPECT_TRUE(log.has("srv orders: complete code=answer, 6 targets"));
  EXPECT_TRUE(log.has("10.1.0.5:3000 ready code=records"));
  EXPECT_FALSE(dispatcher.ready());
  dispatcher.relayConnected();
  EXPECT_TRUE(dispatcher.ready()) << "the list is known and the relay is connected";
}

TEST_F(SourcesTest, ChangedRecordsAreFollowedWithinTheirTtl) {
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  addServer(6);
  names.names[kName].erase(names.names[kName].begin());
  ASSERT_TRUE(loop.until([&] { return list().count("10.1.0.6:3000") == 1; }));
  EXPECT_EQ(list().count("10.1.0.0:3000"), 0u);
}

// The UDP answer lists half of the servers with the TC bit set, and the retry over TCP fails.
TEST_F(SourcesTest, TruncatedAnswerRemovesNoServers) {
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  names.fail(fakes::NameServer::Fault::Truncated, fakes::NameServer::Over::Udp);
  names.fail(fakes::NameServer::Fault::Reset, fakes::NameServer::Over::Tcp);
  const std::size_t before = names.seen.size();
  ASSERT_TRUE(loop.until([&] { return names.seen.size() > before + 12; }));
  EXPECT_EQ(list().size(), 6u);
  EXPECT_TRUE(log.has("srv orders: partial code=truncated, 3 targets"));
  names.heal();
  addServer(6);
  ASSERT_TRUE(loop.until([&] { return list().size() == 7; }));
}

// A name server lost most of its zone: servers are removed only after a second answer has confirmed the loss.
TEST_F(SourcesTest, AnswerThatRemovesMostServersIsConfirmedByASecondLookup) {
  op.merge.confirmationTimeout = 3600 * kSecond;
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  names.names[kName].resize(1);
  ASSERT_TRUE(loop.until([&] { return sources->membership().awaitsConfirmation(); }));
  EXPECT_EQ(list().size(), 6u);
  const std::size_t before = names.asked("bello-0.example.org", 1);
  ASSERT_TRUE(loop.until([&] { return list().size() == 1; }));
  EXPECT_GT(names.asked("bello-0.example.org", 1), before)
      << "the confirming lookup resolves the addresses again as well, instead of using the cache";
}

TEST_F(SourcesTest, UnreachableNameServersRemoveNoServersWithinTheStaleLimit) {
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  names.refuse(true);
  ASSERT_TRUE(loop.until([&] { return log.has("srv orders: failed"); }));
  now += 30 * kSecond;
  ASSERT_TRUE(loop.until([&] { return sources->resolver().counts().failed > 3; }));
  EXPECT_EQ(list().size(), 6u);
  names.refuse(false);
  now += 31 * kSecond;  // past the longest hold of a failed name server and of a failed question
  ASSERT_TRUE(loop.until([&] { return log.count("srv orders: complete") == 2; }));
  EXPECT_EQ(list().size(), 6u);
}

TEST_F(SourcesTest, RosterTakesPrecedenceOverRecordsAndBothAreExplained) {
  op.roster = true;
  start();
  Endpoint e;
  e.server = "s-1";
  e.state = EndpointState::Draining;
  sources->roster({EndpointListKind::Full, 1, {e}}, {"10.1.0.1:3000"});
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  EXPECT_EQ(list().at("s-1"), EndpointState::Draining);
  EXPECT_EQ(list().count("10.1.0.1:3000"), 0u);
  sources->explain();
  EXPECT_TRUE(
      log.has("s-1 is draining code=roster-draining; roster: draining; srv orders: listed as "
              "bello-1.example.org priority 0 weight 10"));
  EXPECT_TRUE(log.has("10.1.0.2:3000 is ready code=records for "));
}

TEST_F(SourcesTest, AddressesOutsideAllLocalitiesAreLeftOutAndLogged) {
  op.srv[0].places = {place("10.1.0.0", 30, "a")};
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 4; }));
  EXPECT_TRUE(log.has("srv orders: 2 addresses left out code=no-place"));
}

}  // namespace
}  // namespace peargrade::sources
