// The parts of the resolver that perform no I/O: server selection, query, cache, SRV lookup and lookup
// schedule.
#include <gtest/gtest.h>

#include "dns/cache.h"
#include "dns/lookup_schedule.h"
#include "dns/query.h"
#include "dns/servers.h"
#include "dns/srv.h"

namespace peargrade::dns {
namespace {

constexpr Micros kSecond = 1000000;

Settings settings(std::size_t servers) {
  Settings s;
  s.servers.resize(servers);
  return s;
}
Answer answer(Verdict verdict, std::size_t records = 0) {
  Answer a;
  a.verdict = verdict;
  a.records.resize(records);
  a.ttl = 10;
  return a;
}

TEST(Servers, FastestServerIsSelectedAndOthersAreProbed) {
  Servers servers(2);
  servers.recordAnswer(0, 1000);
  servers.recordAnswer(1, 4000);
  EXPECT_EQ(servers.select(0, {}), 0u);
  int probes = 0;
  for (int k = 0; k < 400; ++k) {
    const std::size_t server = servers.select(0, {});
    servers.recordAnswer(server, server == 0 ? 1000 : 4000);
    probes += server == 1;
  }
  EXPECT_GT(probes, 0);
  EXPECT_LT(probes, 40);
}

TEST(Servers, BackoffDoublesWithEachFailureAndEnds) {
  Servers servers(2);
  servers.recordAnswer(0, 1000);
  servers.recordAnswer(1, 9000);
  servers.recordFailure(0, 0);
  EXPECT_EQ(servers.select(kSecond / 2, {}), 1u);
  EXPECT_EQ(servers.select(kSecond, {}), 0u);
  servers.recordFailure(0, kSecond);
  EXPECT_EQ(servers.stats()[0].backoffUntil, 3 * kSecond);
  for (int k = 0; k < 20; ++k) servers.recordFailure(0, 0);
  EXPECT_EQ(servers.stats()[0].backoffUntil, 30 * kSecond);
  servers.recordFailure(1, 0);
  EXPECT_EQ(servers.select(0, {}), 1u) << "all in backoff: the one whose backoff ends first";
  EXPECT_EQ(servers.select(0, {1}), 0u) << "a tried server is not selected while an untried one remains";
}

TEST(Query, EachAttemptUsesAnotherServerAndALongerTimeout) {
  const Settings s = settings(2);
  Servers servers(2);
  Query q(s, servers);
  const auto first = q.begin(0);
  const auto second = q.onFailure(400000, "timeout");
  EXPECT_EQ(first.action, Query::Step::Action::Udp);
  EXPECT_NE(first.server, second.server);
  EXPECT_EQ(second.wait, 2 * first.wait);
  q.onFailure(1, "timeout");
  EXPECT_EQ(q.onFailure(2, "timeout").action, Query::Step::Action::Udp);
  EXPECT_EQ(q.onFailure(3, "timeout").action, Query::Step::Action::Done) << "four attempts in total";
  EXPECT_EQ(q.result().verdict, Verdict::ServFail);
  EXPECT_EQ(q.taken().size(), 4u);
}

TEST(Query, TruncatedAnswerIsRetriedOverTcpAndIsTheResultIfThatFails) {
  const Settings s = settings(2);
  Servers servers(2);
  Query q(s, servers);
  bool ignored;
  const auto udp = q.begin(0);
  const auto tcp = q.onAnswer(answer(Verdict::Truncated, 3), 1, ignored);
  EXPECT_EQ(tcp.action, Query::Step::Action::Tcp);
  EXPECT_EQ(tcp.server, udp.server);
  const auto other = q.onFailure(2, "reset");
  EXPECT_EQ(other.action, Query::Step::Action::Udp);
  EXPECT_NE(other.server, udp.server);
  q.onAnswer(answer(Verdict::ServFail), 3, ignored);
  q.onFailure(4, "timeout");
  EXPECT_EQ(q.onFailure(5, "timeout").action, Query::Step::Action::Done);
  EXPECT_EQ(q.result().verdict, Verdict::Truncated);
  EXPECT_EQ(q.result().records.size(), 3u);
}

TEST(Query, UnrelatedAnswersAreIgnoredUpToALimit) {
  const Settings s = settings(1);
  Servers servers(1);
  Query q(s, servers);
  q.begin(0);
  bool ignored;
  for (int k = 0; k < 32; ++k) {
    q.onAnswer(answer(Verdict::Unrelated), 1, ignored);
    ASSERT_TRUE(ignored);
  }
  q.onAnswer(answer(Verdict::Unrelated), 1, ignored);
  EXPECT_FALSE(ignored) << "the next attempt uses a new port and id";
  EXPECT_EQ(q.onAnswer(answer(Verdict::Answer, 1), 2, ignored).action, Query::Step::Action::Done);
  EXPECT_EQ(q.result().verdict, Verdict::Answer);
}

TEST(Query, ServerWithoutEdnsGetsOneQueryWithoutEdns) {
  const Settings s = settings(1);
  Servers servers(1);
  Query q(s, servers);
  q.begin(0);
  bool ignored;
  const auto plain = q.onAnswer(answer(Verdict::FormErr), 1, ignored);
  EXPECT_FALSE(plain.edns);
  EXPECT_EQ(plain.action, Query::Step::Action::Udp);
  q.onAnswer(answer(Verdict::FormErr), 2, ignored);
  EXPECT_EQ(servers.stats()[0].failures, 1);
}

Result data(std::size_t records = 1) {
  Result r;
  r.kind = Result::Kind::Data;
  r.complete = true;
  r.records.resize(records);
  return r;
}
const Question kQ{"a.example.org", Type::A};

TEST(Cache, LifetimesAreLimitedAndTtlZeroIsTheMinimum) {
  const Settings s = settings(1);
  Cache cache(s);
  EXPECT_EQ(cache.store(kQ, data(), 0, 0, 0).until, s.ttlLeast);
  EXPECT_EQ(cache.store(kQ, data(), 0x7FFFFFFF, 0, 0).until, s.ttlMost);
  Result none;
  none.kind = Result::Kind::None;
  EXPECT_EQ(cache.store(kQ, none, 86400, 0, 0).until, s.negativeMost);
}

TEST(Cache, RefreshIsDueBeforeExpiryWithJitter) {
  const Settings s = settings(1);
  Cache cache(s);
  cache.store(kQ, data(), 100, 0, 0);
  EXPECT_EQ(cache.refreshAt(kQ), 80 * kSecond);
  EXPECT_FALSE(cache.find(kQ, 79 * kSecond).refresh);
  EXPECT_TRUE(cache.find(kQ, 80 * kSecond).refresh);
  cache.store(kQ, data(), 100, 0, 1);
  EXPECT_EQ(cache.refreshAt(kQ), 70 * kSecond);
  EXPECT_EQ(cache.find(kQ, 100 * kSecond).result, nullptr) << "expired";
}

TEST(Cache, BackoffDoublesWithEachFailureAndKeepsTheStaleAnswer) {
  Settings s = settings(1);
  s.staleFor = 60 * kSecond;
  Cache cache(s);
  cache.store(kQ, data(), 10, 0, 0);
  cache.recordFailure(kQ, 10 * kSecond);
  EXPECT_EQ(cache.find(kQ, 10 * kSecond).backoffUntil, 11 * kSecond);
  cache.recordFailure(kQ, 11 * kSecond);
  EXPECT_EQ(cache.find(kQ, 11 * kSecond).backoffUntil, 13 * kSecond);
  EXPECT_NE(cache.stale(kQ, 69 * kSecond), nullptr);
  EXPECT_EQ(cache.stale(kQ, 70 * kSecond), nullptr) << "staleFor has passed";
}

TEST(Cache, IsLimitedInEntriesAndBytesAndEvictsTheLeastRecentlyUsed) {
  Settings s = settings(1);
  s.cacheEntries = 3;
  Cache cache(s);
  for (const char* name : {"a", "b", "c"}) cache.store({name, Type::A}, data(), 100, 0, 0);
  cache.find({"a", Type::A}, 1);
  cache.store({"d", Type::A}, data(), 100, 0, 0);
  EXPECT_EQ(cache.size(), 3u);
  EXPECT_NE(cache.find({"a", Type::A}, 1).result, nullptr);
  EXPECT_EQ(cache.find({"b", Type::A}, 1).result, nullptr);
  s.cacheEntries = 100000;
  s.cacheBytes = 65536;
  for (int k = 0; k < 2000; ++k) cache.store({"n" + std::to_string(k), Type::A}, data(4), 100, 0, 0);
  EXPECT_LE(cache.bytes(), s.cacheBytes);
  EXPECT_GT(cache.size(), 10u);
  for (int k = 0; k < 2000; ++k) cache.recordFailure({"f" + std::to_string(k), Type::A}, 0);
  EXPECT_LE(cache.bytes(), s.cacheBytes) << "failures count towards the size as well";
}

Result srvResult(const std::vector<std::string>& targets, bool complete = true) {
  Result r = data(0);
  r.complete = complete;
  r.until = 50;
  for (const std::string& t : targets) r.records.push_back({Type::SRV, 60, t, 1, 2, 80});
  return r;
}
Result address(const std::string& at) {
  Result r = data(0);
  r.until = 30;
  r.records.push_back({at.find(':') == std::string::npos ? Type::A : Type::AAAA, 60, at, 0, 0, 0});
  return r;
}
Result none() {
  Result r;
  r.kind = Result::Kind::None;
  r.complete = true;
  r.until = 20;
  return r;
}

TEST(SrvLookup, TargetsHaveAddressesAndTheEarliestExpiry) {
  SrvLookup lookup("_O._tcp.Example.org.");
  EXPECT_EQ(lookup.srvQuestion().name, "_o._tcp.example.org");
  const auto questions = lookup.onResult(lookup.srvQuestion(), srvResult({"a.org", "b.org"}));
  ASSERT_EQ(questions.size(), 4u);
  EXPECT_FALSE(lookup.done());
  lookup.onResult({"a.org", Type::A}, address("10.0.0.1"));
  lookup.onResult({"a.org", Type::AAAA}, address("::1"));
  lookup.onResult({"b.org", Type::A}, none());
  lookup.onResult({"b.org", Type::AAAA}, Result{});
  ASSERT_TRUE(lookup.done());
  const Service s = lookup.service();
  EXPECT_EQ(s.kind, Service::Kind::Complete);
  ASSERT_EQ(s.targets.size(), 2u);
  EXPECT_EQ(s.targets[0].addresses, (std::vector<std::string>{"10.0.0.1", "[::1]"}));
  EXPECT_EQ(s.targets[0].until, 30);
  EXPECT_TRUE(s.targets[0].sure);
  EXPECT_FALSE(s.targets[1].sure) << "the AAAA question failed";
}

TEST(SrvLookup, RootTargetMeansNoService) {
  SrvLookup lookup("_o._tcp.example.org");
  EXPECT_TRUE(lookup.onResult(lookup.srvQuestion(), srvResult({""})).empty());
  ASSERT_TRUE(lookup.done());
  EXPECT_EQ(lookup.service().kind, Service::Kind::Complete);
  EXPECT_TRUE(lookup.service().targets.empty());
}

TEST(SrvLookup, StaleAndFailedListsFailAndTruncatedListsArePartial) {
  SrvLookup stale("s.org"), failed("s.org"), truncated("s.org");
  Result old = srvResult({"a.org"});
  old.stale = true;
  EXPECT_TRUE(stale.onResult(stale.srvQuestion(), old).empty());
  EXPECT_EQ(stale.service().kind, Service::Kind::Failed);
  failed.onResult(failed.srvQuestion(), Result{});
  EXPECT_EQ(failed.service().kind, Service::Kind::Failed);
  truncated.onResult(truncated.srvQuestion(), srvResult({"a.org"}, false));
  truncated.onResult({"a.org", Type::A}, address("10.0.0.1"));
  truncated.onResult({"a.org", Type::AAAA}, none());
  EXPECT_EQ(truncated.service().kind, Service::Kind::Partial);
}

TEST(LookupSchedule, CompleteResultIsRefreshedBeforeItsEarliestExpiry) {
  const Settings s = settings(1);
  LookupSchedule schedule(s);
  Service complete;
  complete.kind = Service::Kind::Complete;
  complete.until = 100 * kSecond;
  EXPECT_EQ(schedule.after(complete, 0, 0, 0), 80 * kSecond);
  EXPECT_EQ(schedule.after(complete, 0, 1, 0), 70 * kSecond);
  Target t;
  t.until = 10 * kSecond;
  complete.targets = {t};
  EXPECT_EQ(schedule.after(complete, 0, 0, 0), 8 * kSecond);
  complete.targets[0].sure = false;
  EXPECT_EQ(schedule.after(complete, 0, 0, 0), s.failureHold * 8 / 10)
      << "an address question failed: retried soon";
  complete.until = 0;
  EXPECT_EQ(schedule.after(complete, 0, 0, 0), s.ttlLeast / 2) << "the delay has a minimum";
}

TEST(LookupSchedule, BackoffDoublesUpToItsLimitAndToTheMaximumDelay) {
  const Settings s = settings(1);
  LookupSchedule schedule(s);
  const Service failed;
  EXPECT_EQ(schedule.after(failed, 0, 0, 0), kSecond);
  EXPECT_EQ(schedule.after(failed, 0, 0, 0), 2 * kSecond);
  EXPECT_EQ(schedule.after(failed, 0, 0, kSecond / 2), kSecond / 2);
  for (int k = 0; k < 20; ++k) schedule.after(failed, 0, 0, 0);
  EXPECT_EQ(schedule.after(failed, 0, 0, 0), 30 * kSecond);
}

}  // namespace
}  // namespace peargrade::dns
