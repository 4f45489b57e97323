// The front of the sources in process: services are looked up in time and become the module's list.
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

TEST(Places, TheFirstNetThatHoldsTheAddressSaysWhereItStands) {
  const discovery::Names names = testNames();
  const locality::LocalityMap places({place("10.1.0.0", 16, "b", "m2"), place("0.0.0.0", 0, "a")}, names);
  membership::ServiceRecord s;
  ASSERT_TRUE(places.locate("10.1.2.3", s));
  EXPECT_EQ(s.zone, 1);
  EXPECT_EQ(s.kind, 1);
  ASSERT_TRUE(places.locate("10.2.2.3", s));
  EXPECT_EQ(s.zone, 0);
  ASSERT_TRUE(places.locate("[::1]", s)) << "a net of length 0 holds every address";
  EXPECT_FALSE(locality::LocalityMap({place("10.1.0.0", 16, "b")}, names).locate("[::1]", s));
  EXPECT_FALSE(locality::LocalityMap({place("10.1.0.0", 16, "b")}, names).locate("10.2.0.1", s));
}

TEST(Observed, EachAddressOfATargetIsAServerAndUnsureOnesAreNamed) {
  dns::Service service;
  service.kind = dns::Service::Kind::Complete;
  service.asOf = 7;
  service.targets = {{"a.org", 1, 5, 80, {"10.1.0.1", "10.9.0.1"}, true, 50},
                     {"b.org", 2, 0, 81, {}, false, 60}};
  std::size_t misplaced = 0;
  const auto o =
      observed(service, 3, locality::LocalityMap({place("10.1.0.0", 16, "a")}, testNames()), misplaced);
  EXPECT_EQ(o.kind, membership::Observation::Kind::Complete);
  EXPECT_EQ(o.source, 3u);
  ASSERT_EQ(o.records.size(), 1u);
  EXPECT_EQ(o.records[0].address, "10.1.0.1:80");
  EXPECT_EQ(o.records[0].priority, 1);
  EXPECT_EQ(o.records[0].expiresAt, 50);
  EXPECT_EQ(o.unresolvedTargets, std::set<std::string>{"b.org"});
  EXPECT_EQ(misplaced, 1u);
}

struct Front : testing::Test {
  Loop loop;
  ReadLog log;
  fakes::NameServer names{loop.base.get()};
  discovery::Names settingsNames = testNames();
  dispatch::Dispatcher exchange;
  Seen seen;
  op::Operator op;
  EndpointListUpdate known;
  std::vector<std::string> endpoints;
  Micros now = 1000 * kSecond;
  std::mt19937 random{9};
  std::unique_ptr<Sources> sources;

  Front() {
    op.roster = false;
    op.dns.tryFor = 50000;
    op.dns.tcpFor = 100000;
    op.dns.tries = 2;
    op.dns.ttlLeast = 100000;
    op.dns.failureHold = 50000;
    op.srv.push_back({"orders", kName, {place("0.0.0.0", 0, "a")}});
    for (int k = 0; k < 6; ++k) server(k);
  }
  void server(int k) {
    const std::string host = "bello-" + std::to_string(k) + ".example.org";
    names.srv(kName, host, 3000, 0, 10, 1);
    names.a(host, "10.1.0." + std::to_string(k), 1);
  }
  void start() {
    op.dns.servers = {names.address()};
    Dependencies around{
        loop.base.get(), &op,       &settingsNames, &known,
        &endpoints,      &exchange, log.log.get(),  [this] { return now + net::steadyNow() - began; }};
    sources = std::make_unique<Sources>(around, [this] { return static_cast<std::uint32_t>(random()); });
    exchange.dispatch({WatchEndpoints{true}});
  }
  const Micros began = net::steadyNow();
  // What the module holds.
  std::map<ServerId, EndpointState> list() {
    seen.take(exchange);
    return serverList(seen);
  }
};

TEST_F(Front, AServiceBecomesTheList) {
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  EXPECT_EQ(list().begin()->first, "10.1.0.0:3000");
  EXPECT_TRUE(log.has("srv orders: complete code=answer, 6 targets"));
  EXPECT_TRUE(log.has("10.1.0.5:3000 ready code=records"));
  EXPECT_FALSE(exchange.ready());
  exchange.relayConnected();
  EXPECT_TRUE(exchange.ready()) << "the list is known, the relay is up";
}

TEST_F(Front, AChangedRecordIsFollowedWithinItsLifetime) {
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  server(6);
  names.names[kName].erase(names.names[kName].begin());
  ASSERT_TRUE(loop.until([&] { return list().count("10.1.0.6:3000") == 1; }));
  EXPECT_EQ(list().count("10.1.0.0:3000"), 0u);
}

// The hard case over the wire: half the pool, TC set, and no TCP.
TEST_F(Front, ATruncatedAnswerTakesNothing) {
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  names.fail(fakes::NameServer::Fault::Truncated, fakes::NameServer::Over::Udp);
  names.fail(fakes::NameServer::Fault::Reset, fakes::NameServer::Over::Tcp);
  const std::size_t before = names.seen.size();
  ASSERT_TRUE(loop.until([&] { return names.seen.size() > before + 12; }));
  EXPECT_EQ(list().size(), 6u);
  EXPECT_TRUE(log.has("srv orders: partial code=truncated, 3 targets"));
  names.heal();
  server(6);
  ASSERT_TRUE(loop.until([&] { return list().size() == 7; }));
}

// A name server that lost most of its zone: a second answer is asked for before anything goes.
TEST_F(Front, AnAnswerThatTakesMuchIsAskedForAgain) {
  op.merge.confirmationTimeout = 3600 * kSecond;
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  names.names[kName].resize(1);
  ASSERT_TRUE(loop.until([&] { return sources->membership().awaitsConfirmation(); }));
  EXPECT_EQ(list().size(), 6u);
  const std::size_t before = names.asked("bello-0.example.org", 1);
  ASSERT_TRUE(loop.until([&] { return list().size() == 1; }));
  EXPECT_GT(names.asked("bello-0.example.org", 1), before) << "its addresses as well, not from the cache";
}

TEST_F(Front, DeadNameServersTakeNothingWithinTheStaleBound) {
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 6; }));
  names.refuse(true);
  ASSERT_TRUE(loop.until([&] { return log.has("srv orders: failed"); }));
  now += 30 * kSecond;
  ASSERT_TRUE(loop.until([&] { return sources->resolver().counts().failed > 3; }));
  EXPECT_EQ(list().size(), 6u);
  names.refuse(false);
  now += 31 * kSecond;  // past the longest hold of the server and of the question
  ASSERT_TRUE(loop.until([&] { return log.count("srv orders: complete") == 2; }));
  EXPECT_EQ(list().size(), 6u);
}

TEST_F(Front, TheRosterGoesBeforeRecordsAndBothAreExplained) {
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

TEST_F(Front, AddressesThatNoPlaceHoldsAreLeftOutAndTold) {
  op.srv[0].places = {place("10.1.0.0", 30, "a")};
  start();
  ASSERT_TRUE(loop.until([&] { return list().size() == 4; }));
  EXPECT_TRUE(log.has("srv orders: 2 addresses left out code=no-place"));
}

}  // namespace
}  // namespace peargrade::sources
