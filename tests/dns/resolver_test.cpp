// The resolver with fake name servers on loopback, over UDP and TCP.
#include "dns/resolver.h"

#include <fcntl.h>
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "fakes/nameserver.h"
#include "support/loop.h"

namespace peargrade::dns {
namespace {

using Fault = fakes::NameServer::Fault;
using Over = fakes::NameServer::Over;
constexpr Micros kSecond = 1000000;
constexpr char kName[] = "_o._tcp.example.org";

struct ResolverTest : testing::Test {
  Loop loop;
  ReadLog log;
  fakes::NameServer one{loop.base.get()}, two{loop.base.get()};
  Settings settings;
  Micros now = 1000 * kSecond;
  std::mt19937 random{5};
  std::unique_ptr<Resolver> resolver;

  ResolverTest() {
    settings.tryFor = 60000;  // the fake servers answer at once; limits the time of tests with a silent one
    settings.tryMost = 100000;
    settings.tcpFor = 150000;
    for (auto* server : {&one, &two}) {
      for (int k = 0; k < 4; ++k) {
        const std::string host = "bello-" + std::to_string(k) + ".example.org";
        server->srv(kName, host, 3000);
        server->a(host, "10.1.0." + std::to_string(k));
      }
    }
  }
  void start(bool both = true) {
    settings.servers = {one.address()};
    if (both) settings.servers.push_back(two.address());
    resolver = std::make_unique<Resolver>(
        loop.base.get(), settings, [this] { return now; },
        [this] { return static_cast<std::uint32_t>(random()); }, *log.log);
  }
  Result resolve(const Question& q, bool bypassCache = false) {
    Result result;
    bool done = false;
    resolver->resolve(
        q,
        [&](const Result& r) {
          result = r;
          done = true;
        },
        bypassCache);
    EXPECT_TRUE(loop.until([&] { return done; })) << q.text();
    return result;
  }
  Service service(bool bypassCache = false) {
    Service result;
    bool done = false;
    resolver->lookup(
        kName,
        [&](const Service& s) {
          result = s;
          done = true;
        },
        bypassCache);
    EXPECT_TRUE(loop.until([&] { return done; }));
    return result;
  }
};

TEST_F(ResolverTest, ServiceLookupReturnsTargetsAndAddresses) {
  start();
  const Service s = service();
  EXPECT_EQ(s.kind, Service::Kind::Complete);
  ASSERT_EQ(s.targets.size(), 4u);
  EXPECT_EQ(s.targets[2].name, "bello-2.example.org");
  EXPECT_EQ(s.targets[2].addresses, std::vector<std::string>{"10.1.0.2"});
  EXPECT_EQ(s.until, now + 60 * kSecond);
}

TEST_F(ResolverTest, EachQueryUsesARandomIdAndPort) {
  start(false);
  std::set<int> ids, ports;
  for (int k = 0; k < 40; ++k) resolve({"bello-0.example.org", Type::A}, true);
  for (const auto& seen : one.seen) {
    ids.insert(seen.id);
    ports.insert(seen.port);
  }
  EXPECT_GT(ids.size(), 35u);
  EXPECT_GT(ports.size(), 35u);
}

TEST_F(ResolverTest, ConcurrentCallsShareOneQueryAndLaterOnesUseTheCache) {
  start(false);
  int answers = 0;
  for (int k = 0; k < 10; ++k)
    resolver->resolve({"bello-0.example.org", Type::A}, [&](const Result&) { ++answers; });
  ASSERT_TRUE(loop.until([&] { return answers == 10; }));
  EXPECT_EQ(one.asked("bello-0.example.org", 1), 1u);
  resolve({"bello-0.example.org", Type::A});
  EXPECT_EQ(one.asked("bello-0.example.org", 1), 1u);
  now += 61 * kSecond;
  resolve({"bello-0.example.org", Type::A});
  EXPECT_EQ(one.asked("bello-0.example.org", 1), 2u) << "the result has expired";
}

TEST_F(ResolverTest, QuestionsAboveTheConcurrencyLimitAreQueued) {
  settings.inFlight = 4;
  for (int k = 0; k < 50; ++k) one.a("h" + std::to_string(k) + ".example.org", "10.2.0.1");
  start(false);
  int answers = 0;
  std::size_t maxUnderWay = 0;
  for (int k = 0; k < 50; ++k)
    resolver->resolve({"h" + std::to_string(k) + ".example.org", Type::A}, [&](const Result& r) {
      answers += r.kind == Result::Kind::Data;
      maxUnderWay = std::max(maxUnderWay, resolver->underWay());
    });
  EXPECT_EQ(resolver->underWay(), 4u);
  ASSERT_TRUE(loop.until([&] { return answers == 50; }));
  EXPECT_LE(maxUnderWay, 4u);
}

TEST_F(ResolverTest, LongAnswerIsFetchedOverTcp) {
  for (int k = 4; k < 60; ++k) one.srv(kName, "bello-" + std::to_string(k) + ".example.org", 3000);
  start(false);
  const Result r = resolve({kName, Type::SRV});
  EXPECT_EQ(r.kind, Result::Kind::Data);
  EXPECT_TRUE(r.complete);
  EXPECT_EQ(r.records.size(), 60u);
  ASSERT_EQ(one.seen.size(), 2u);
  EXPECT_FALSE(one.seen[0].tcp);
  EXPECT_TRUE(one.seen[1].tcp);
  EXPECT_TRUE(log.has("connection " + one.address().text() + " ended code=discarded"));
}

// A part of the records arrives over UDP and TCP fails: the result must not be reported as complete.
TEST_F(ResolverTest, TruncatedAnswerWithoutTcpIsIncomplete) {
  start();
  for (auto* server : {&one, &two}) {
    server->fail(Fault::Truncated, Over::Udp);
    server->fail(Fault::Reset, Over::Tcp);
  }
  const Result r = resolve({kName, Type::SRV});
  EXPECT_EQ(r.kind, Result::Kind::Data);
  EXPECT_FALSE(r.complete);
  EXPECT_EQ(r.records.size(), 2u);
  EXPECT_EQ(resolver->cache().refreshAt({kName, Type::SRV}), now + settings.failureHold)
      << "retried after the initial backoff";
}

TEST_F(ResolverTest, CnameChainsAcrossAnswersAreFollowedUpToTheLimit) {
  one.cname("alias.example.org", "end.example.net", 7);
  one.names["end.example.net"] = {{1, "10.3.0.1", 0, 0, 0, 60}};
  start(false);
  const Result r = resolve({"alias.example.org", Type::A});
  ASSERT_EQ(r.records.size(), 1u);
  EXPECT_EQ(r.until, now + 7 * kSecond) << "the minimum TTL of the chain";
  EXPECT_EQ(one.asked("end.example.net", 1), 1u);
  for (int k = 0; k < 12; ++k)
    one.cname("c" + std::to_string(k) + ".example.net", "c" + std::to_string(k + 1) + ".example.net");
  EXPECT_EQ(resolve({"c0.example.net", Type::A}).kind, Result::Kind::Failed);
}

TEST_F(ResolverTest, NegativeAnswersAreCachedForTheTtlOfTheSoa) {
  start(false);
  EXPECT_EQ(resolve({"none.example.org", Type::A}).kind, Result::Kind::None);
  EXPECT_EQ(resolve({"bello-0.example.org", Type::AAAA}).kind, Result::Kind::None);
  now += 4 * kSecond;
  resolve({"none.example.org", Type::A});
  EXPECT_EQ(one.asked("none.example.org", 1), 1u);
  now += 2 * kSecond;
  resolve({"none.example.org", Type::A});
  EXPECT_EQ(one.asked("none.example.org", 1), 2u);
}

TEST_F(ResolverTest, StaleAnswersAreServedWithinTheirLimitWhileAllServersFail) {
  settings.staleFor = 100 * kSecond;
  start();
  resolve({"bello-0.example.org", Type::A});
  one.fail(Fault::ServFail);
  two.fail(Fault::Refused);
  now += 70 * kSecond;
  const Result stale = resolve({"bello-0.example.org", Type::A});
  EXPECT_TRUE(stale.stale);
  EXPECT_EQ(stale.records.at(0).value, "10.1.0.0");
  const std::size_t queries = one.seen.size() + two.seen.size();
  resolve({"bello-0.example.org", Type::A});
  EXPECT_EQ(one.seen.size() + two.seen.size(), queries) << "the failed question is in backoff";
  now += 100 * kSecond;
  EXPECT_EQ(resolve({"bello-0.example.org", Type::A}).kind, Result::Kind::Failed);
  one.heal();
  now += 40 * kSecond;
  EXPECT_EQ(resolve({"bello-0.example.org", Type::A}).kind, Result::Kind::Data);
}

TEST_F(ResolverTest, SilentServerCostsOneTimeoutAndIsThenInBackoff) {
  one.fail(Fault::Silent);
  start();
  EXPECT_EQ(resolve({"bello-0.example.org", Type::A}).kind, Result::Kind::Data);
  const std::size_t before = one.seen.size();
  EXPECT_EQ(before, 1u);
  resolve({"bello-1.example.org", Type::A});
  EXPECT_EQ(one.seen.size(), before) << "in backoff";
  one.refuse(true);
  now += 5 * kSecond;
  resolve({"bello-2.example.org", Type::A});
  EXPECT_EQ(resolve({"bello-3.example.org", Type::A}).kind, Result::Kind::Data);
}

TEST_F(ResolverTest, UnrequestedRecordsAreNotCached) {
  one.fail(Fault::Poison);
  start(false);
  const Service s = service();
  ASSERT_EQ(s.targets.size(), 4u);
  for (const Target& t : s.targets) {
    ASSERT_EQ(t.addresses.size(), 1u);
    EXPECT_EQ(t.addresses[0].substr(0, 7), "10.1.0.") << "the forged address record was not requested";
  }
}

struct Case {
  const char* name;
  Fault fault;
  Over over;
};
// With any fault of the first server, the second one answers.
struct ServerFault : ResolverTest, testing::WithParamInterface<Case> {};
TEST_P(ServerFault, IsCompensatedByTheOtherServer) {
  one.fail(GetParam().fault, GetParam().over);
  if (GetParam().over == Over::Tcp) one.fail(Fault::Truncated, Over::Udp);
  start();
  const Result r = resolve({kName, Type::SRV});
  EXPECT_EQ(r.kind, Result::Kind::Data);
  EXPECT_TRUE(r.complete);
  EXPECT_EQ(r.records.size(), 4u);
  EXPECT_FALSE(one.seen.empty());
}
INSTANTIATE_TEST_SUITE_P(
    All, ServerFault,
    testing::Values(
        Case{"Silent", Fault::Silent, Over::Both}, Case{"TruncatedBare", Fault::TruncatedBare, Over::Udp},
        Case{"ServFail", Fault::ServFail, Over::Both}, Case{"Refused", Fault::Refused, Over::Both},
        Case{"FormErr", Fault::FormErr, Over::Both}, Case{"Lame", Fault::LameReferral, Over::Both},
        Case{"OldServer", Fault::OldServer, Over::Both}, Case{"WrongId", Fault::WrongId, Over::Both},
        Case{"WrongName", Fault::WrongName, Over::Both}, Case{"WrongType", Fault::WrongType, Over::Both},
        Case{"WrongClass", Fault::WrongClass, Over::Both},
        Case{"NoResponseBit", Fault::NoResponseBit, Over::Both},
        Case{"Malformed", Fault::Malformed, Over::Both}, Case{"Loop", Fault::Loop, Over::Both},
        Case{"Oversized", Fault::Oversized, Over::Udp},
        Case{"Contradiction", Fault::Contradiction, Over::Both},
        Case{"AliasLoop", Fault::AliasLoop, Over::Both}, Case{"NxWithData", Fault::NxWithData, Over::Both},
        Case{"TcpReset", Fault::Reset, Over::Tcp}, Case{"TcpHalf", Fault::HalfAnswer, Over::Tcp},
        Case{"TcpSilent", Fault::Silent, Over::Tcp}, Case{"TcpPieces", Fault::Pieces, Over::Tcp},
        Case{"TcpMalformed", Fault::Malformed, Over::Tcp}),
    [](const auto& info) { return std::string(info.param.name); });

// If all servers fail, each question still gets a result within the lookup timeout.
TEST_F(ResolverTest, EachQuestionGetsAResultIfAllServersFail) {
  for (const Case& c : {Case{"", Fault::Silent, Over::Both}, Case{"", Fault::WrongId, Over::Both},
                        Case{"", Fault::Malformed, Over::Both}, Case{"", Fault::Loop, Over::Both}}) {
    one.heal();
    two.heal();
    one.fail(c.fault);
    two.fail(c.fault);
    start();
    EXPECT_EQ(resolve({kName, Type::SRV}).kind, Result::Kind::Failed);
    EXPECT_EQ(resolver->underWay(), 0u);
  }
}

TEST_F(ResolverTest, AllSocketsAreClosed) {
  const auto open = [] {
    int count = 0;
    for (int fd = 0; fd < 256; ++fd) count += fcntl(fd, F_GETFD) >= 0;
    return count;
  };
  start();
  const int before = open();
  one.fail(Fault::Truncated, Over::Udp);
  two.fail(Fault::Silent);
  for (int k = 0; k < 5; ++k) {
    service(true);
    now += 100 * kSecond;
  }
  one.heal();
  service(true);
  loop.until([&] { return open() <= before; }, 2 * kSecond);
  EXPECT_LE(open(), before);
}

}  // namespace
}  // namespace peargrade::dns
