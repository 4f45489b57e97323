// The resolver's decisions without a socket: servers, the life of a question, the cache, a service.
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

TEST(Servers, TheQuickOneIsAskedAndTheOthersNowAndThen) {
  Servers servers(2);
  servers.answered(0, 1000);
  servers.answered(1, 4000);
  EXPECT_EQ(servers.next(0, {}), 0u);
  int others = 0;
  for (int k = 0; k < 400; ++k) {
    const std::size_t at = servers.next(0, {});
    servers.answered(at, at == 0 ? 1000 : 4000);
    others += at == 1;
  }
  EXPECT_GT(others, 0);
  EXPECT_LT(others, 40);
}

TEST(Servers, WhatFailsIsHeldLongerEachTimeAndComesBack) {
  Servers servers(2);
  servers.answered(0, 1000);
  servers.answered(1, 9000);
  servers.failed(0, 0);
  EXPECT_EQ(servers.next(kSecond / 2, {}), 1u);
  EXPECT_EQ(servers.next(kSecond, {}), 0u);
  servers.failed(0, kSecond);
  EXPECT_EQ(servers.standings()[0].heldUntil, 3 * kSecond);
  for (int k = 0; k < 20; ++k) servers.failed(0, 0);
  EXPECT_EQ(servers.standings()[0].heldUntil, 30 * kSecond);
  servers.failed(1, 0);
  EXPECT_EQ(servers.next(0, {}), 1u) << "all are held: the one that is free first";
  EXPECT_EQ(servers.next(0, {1}), 0u) << "what was tried is not tried again while another is there";
}

TEST(Query, EachTryGoesToAnotherServerAndWaitsLonger) {
  const Settings s = settings(2);
  Servers servers(2);
  Query q(s, servers);
  const auto first = q.begin(0);
  const auto second = q.failed(400000, "timeout");
  EXPECT_EQ(first.what, Query::Step::Do::Udp);
  EXPECT_NE(first.server, second.server);
  EXPECT_EQ(second.wait, 2 * first.wait);
  q.failed(1, "timeout");
  EXPECT_EQ(q.failed(2, "timeout").what, Query::Step::Do::Udp);
  EXPECT_EQ(q.failed(3, "timeout").what, Query::Step::Do::Done) << "four tries in all";
  EXPECT_EQ(q.result().verdict, Verdict::ServFail);
  EXPECT_EQ(q.taken().size(), 4u);
}

TEST(Query, ATruncatedAnswerGoesToTcpAtTheSameServerAndServesIfThatFails) {
  const Settings s = settings(2);
  Servers servers(2);
  Query q(s, servers);
  bool ignored;
  const auto udp = q.begin(0);
  const auto tcp = q.answered(answer(Verdict::Truncated, 3), 1, ignored);
  EXPECT_EQ(tcp.what, Query::Step::Do::Tcp);
  EXPECT_EQ(tcp.server, udp.server);
  const auto other = q.failed(2, "reset");
  EXPECT_EQ(other.what, Query::Step::Do::Udp);
  EXPECT_NE(other.server, udp.server);
  q.answered(answer(Verdict::ServFail), 3, ignored);
  q.failed(4, "timeout");
  EXPECT_EQ(q.failed(5, "timeout").what, Query::Step::Do::Done);
  EXPECT_EQ(q.result().verdict, Verdict::Truncated);
  EXPECT_EQ(q.result().records.size(), 3u);
}

TEST(Query, StrangersAreIgnoredUntilTheyAreAnAttack) {
  const Settings s = settings(1);
  Servers servers(1);
  Query q(s, servers);
  q.begin(0);
  bool ignored;
  for (int k = 0; k < 32; ++k) {
    q.answered(answer(Verdict::Stranger), 1, ignored);
    ASSERT_TRUE(ignored);
  }
  q.answered(answer(Verdict::Stranger), 1, ignored);
  EXPECT_FALSE(ignored) << "another try has another port and id";
  EXPECT_EQ(q.answered(answer(Verdict::Answer, 1), 2, ignored).what, Query::Step::Do::Done);
  EXPECT_EQ(q.result().verdict, Verdict::Answer);
}

TEST(Query, AServerFromBeforeEdnsIsAskedOnceWithout) {
  const Settings s = settings(1);
  Servers servers(1);
  Query q(s, servers);
  q.begin(0);
  bool ignored;
  const auto plain = q.answered(answer(Verdict::FormErr), 1, ignored);
  EXPECT_FALSE(plain.edns);
  EXPECT_EQ(plain.what, Query::Step::Do::Udp);
  q.answered(answer(Verdict::FormErr), 2, ignored);
  EXPECT_EQ(servers.standings()[0].failures, 1);
}

Result data(std::size_t records = 1) {
  Result r;
  r.kind = Result::Kind::Data;
  r.complete = true;
  r.records.resize(records);
  return r;
}
const Question kQ{"a.example.org", Type::A};

TEST(Cache, LifetimesHaveAFloorAndACeilingAndTtlZeroIsTheFloor) {
  const Settings s = settings(1);
  Cache cache(s);
  EXPECT_EQ(cache.keep(kQ, data(), 0, 0, 0).until, s.ttlLeast);
  EXPECT_EQ(cache.keep(kQ, data(), 0x7FFFFFFF, 0, 0).until, s.ttlMost);
  Result none;
  none.kind = Result::Kind::None;
  EXPECT_EQ(cache.keep(kQ, none, 86400, 0, 0).until, s.negativeMost);
}

TEST(Cache, RefreshIsDueBeforeTheEndAndSpread) {
  const Settings s = settings(1);
  Cache cache(s);
  cache.keep(kQ, data(), 100, 0, 0);
  EXPECT_EQ(cache.refreshAt(kQ), 80 * kSecond);
  EXPECT_FALSE(cache.find(kQ, 79 * kSecond).refresh);
  EXPECT_TRUE(cache.find(kQ, 80 * kSecond).refresh);
  cache.keep(kQ, data(), 100, 0, 1);
  EXPECT_EQ(cache.refreshAt(kQ), 70 * kSecond);
  EXPECT_EQ(cache.find(kQ, 100 * kSecond).result, nullptr) << "not past its end";
}

TEST(Cache, FailuresHoldAQuestionLongerEachTimeAndLeaveTheStaleAnswer) {
  Settings s = settings(1);
  s.staleFor = 60 * kSecond;
  Cache cache(s);
  cache.keep(kQ, data(), 10, 0, 0);
  cache.failed(kQ, 10 * kSecond);
  EXPECT_EQ(cache.find(kQ, 10 * kSecond).askNotBefore, 11 * kSecond);
  cache.failed(kQ, 11 * kSecond);
  EXPECT_EQ(cache.find(kQ, 11 * kSecond).askNotBefore, 13 * kSecond);
  EXPECT_NE(cache.stale(kQ, 69 * kSecond), nullptr);
  EXPECT_EQ(cache.stale(kQ, 70 * kSecond), nullptr) << "within the stated bound only";
}

TEST(Cache, IsBoundedByEntriesAndBytesAndForgetsTheLeastUsed) {
  Settings s = settings(1);
  s.cacheEntries = 3;
  Cache cache(s);
  for (const char* name : {"a", "b", "c"}) cache.keep({name, Type::A}, data(), 100, 0, 0);
  cache.find({"a", Type::A}, 1);
  cache.keep({"d", Type::A}, data(), 100, 0, 0);
  EXPECT_EQ(cache.size(), 3u);
  EXPECT_NE(cache.find({"a", Type::A}, 1).result, nullptr);
  EXPECT_EQ(cache.find({"b", Type::A}, 1).result, nullptr);
  s.cacheEntries = 100000;
  s.cacheBytes = 65536;
  for (int k = 0; k < 2000; ++k) cache.keep({"n" + std::to_string(k), Type::A}, data(4), 100, 0, 0);
  EXPECT_LE(cache.bytes(), s.cacheBytes);
  EXPECT_GT(cache.size(), 10u);
  for (int k = 0; k < 2000; ++k) cache.failed({"f" + std::to_string(k), Type::A}, 0);
  EXPECT_LE(cache.bytes(), s.cacheBytes) << "failures weigh as well";
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

TEST(SrvLookup, TargetsWithTheirAddressesAndTheLeastLifetime) {
  SrvLookup lookup("_O._tcp.Example.org.");
  EXPECT_EQ(lookup.first().name, "_o._tcp.example.org");
  const auto questions = lookup.got(lookup.first(), srvResult({"a.org", "b.org"}));
  ASSERT_EQ(questions.size(), 4u);
  EXPECT_FALSE(lookup.done());
  lookup.got({"a.org", Type::A}, address("10.0.0.1"));
  lookup.got({"a.org", Type::AAAA}, address("::1"));
  lookup.got({"b.org", Type::A}, none());
  lookup.got({"b.org", Type::AAAA}, Result{});
  ASSERT_TRUE(lookup.done());
  const Service s = lookup.service();
  EXPECT_EQ(s.kind, Service::Kind::Complete);
  ASSERT_EQ(s.targets.size(), 2u);
  EXPECT_EQ(s.targets[0].addresses, (std::vector<std::string>{"10.0.0.1", "[::1]"}));
  EXPECT_EQ(s.targets[0].until, 30);
  EXPECT_TRUE(s.targets[0].sure);
  EXPECT_FALSE(s.targets[1].sure) << "one family could not be asked for";
}

TEST(SrvLookup, ADotSaysThatThereIsNoService) {
  SrvLookup lookup("_o._tcp.example.org");
  EXPECT_TRUE(lookup.got(lookup.first(), srvResult({""})).empty());
  ASSERT_TRUE(lookup.done());
  EXPECT_EQ(lookup.service().kind, Service::Kind::Complete);
  EXPECT_TRUE(lookup.service().targets.empty());
}

TEST(SrvLookup, StaleFailedAndTruncatedListsAreToldApart) {
  SrvLookup stale("s.org"), failed("s.org"), half("s.org");
  Result old = srvResult({"a.org"});
  old.stale = true;
  EXPECT_TRUE(stale.got(stale.first(), old).empty());
  EXPECT_EQ(stale.service().kind, Service::Kind::Failed);
  failed.got(failed.first(), Result{});
  EXPECT_EQ(failed.service().kind, Service::Kind::Failed);
  half.got(half.first(), srvResult({"a.org"}, false));
  half.got({"a.org", Type::A}, address("10.0.0.1"));
  half.got({"a.org", Type::AAAA}, none());
  EXPECT_EQ(half.service().kind, Service::Kind::Partial);
}

TEST(LookupSchedule, AWholeAnswerIsAskedForAgainBeforeItsLeastEnd) {
  const Settings s = settings(1);
  LookupSchedule pace(s);
  Service whole;
  whole.kind = Service::Kind::Complete;
  whole.until = 100 * kSecond;
  EXPECT_EQ(pace.after(whole, 0, 0, 0), 80 * kSecond);
  EXPECT_EQ(pace.after(whole, 0, 1, 0), 70 * kSecond);
  Target t;
  t.until = 10 * kSecond;
  whole.targets = {t};
  EXPECT_EQ(pace.after(whole, 0, 0, 0), 8 * kSecond);
  whole.targets[0].sure = false;
  EXPECT_EQ(pace.after(whole, 0, 0, 0), s.failureHold * 8 / 10) << "an address that could not be had: soon";
  whole.until = 0;
  EXPECT_EQ(pace.after(whole, 0, 0, 0), s.ttlLeast / 2) << "never at once";
}

TEST(LookupSchedule, FailuresHoldLongerEachTimeUpToTheirBoundUnlessASecondAnswerIsWaitedFor) {
  const Settings s = settings(1);
  LookupSchedule pace(s);
  const Service failed;
  EXPECT_EQ(pace.after(failed, 0, 0, 0), kSecond);
  EXPECT_EQ(pace.after(failed, 0, 0, 0), 2 * kSecond);
  EXPECT_EQ(pace.after(failed, 0, 0, kSecond / 2), kSecond / 2);
  for (int k = 0; k < 20; ++k) pace.after(failed, 0, 0, 0);
  EXPECT_EQ(pace.after(failed, 0, 0, 0), 30 * kSecond);
}

}  // namespace
}  // namespace peargrade::dns
