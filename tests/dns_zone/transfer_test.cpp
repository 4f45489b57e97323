// Transfer and Secondary without sockets: full and incremental transfers, transfers cut at every point, and
// bounded waits.
#include "dns_zone/transfer.h"

#include <gtest/gtest.h>

#include <random>

#include "dns_zone/secondary.h"
#include "dns_zone/test_records.h"

namespace peargrade::dns_zone {
namespace {

constexpr Micros kSecond = 1000000;

Zone version(std::uint32_t serial, unsigned seed) {
  Zone z("example.org");
  z.add(soa(serial));
  std::mt19937 random(seed);
  for (int k = 0; k < 12; ++k)
    z.add({"h" + std::to_string(random() % 8) + ".example.org", Type::A, 60,
           *encodeField(Type::A, 0, "10.0.0." + std::to_string(random() % 6))});
  return z;
}
std::vector<RawRecord> fullTransfer(const Zone& z) {
  std::vector<RawRecord> all;
  for (const Record& r : z.all()) all.push_back(rawOf(r));
  all.push_back(rawOf(soa(z.serial())));
  return all;
}
std::vector<RawRecord> changes(const std::vector<Zone>& versions) {
  std::vector<RawRecord> all{rawOf(soa(versions.back().serial()))};
  for (std::size_t k = 0; k + 1 < versions.size(); ++k) {
    const Difference d = difference(versions[k], versions[k + 1]);
    all.push_back(rawOf(soa(versions[k].serial())));
    for (const Record& r : d.removed) {
      if (r.type != Type::SOA) all.push_back(rawOf(r));
    }
    all.push_back(rawOf(soa(versions[k + 1].serial())));
    for (const Record& r : d.added) {
      if (r.type != Type::SOA) all.push_back(rawOf(r));
    }
  }
  all.push_back(rawOf(soa(versions.back().serial())));
  return all;
}
Message message(std::vector<RawRecord> answer) {
  Message m;
  m.response = true;
  m.answer = std::move(answer);
  return m;
}
// Feeds the records in messages of `perMessage` records; returns the state after the last message.
Transfer::State feed(Transfer& t, const std::vector<RawRecord>& all, std::size_t perMessage) {
  Transfer::State state = Transfer::State::More;
  for (std::size_t k = 0; k < all.size() && state == Transfer::State::More; k += perMessage)
    state = t.take(message({all.begin() + static_cast<long>(k),
                            all.begin() + static_cast<long>(std::min(all.size(), k + perMessage))}));
  return state;
}

TEST(Transfer, FullZoneInAnyMessageSizesIsDoneOnlyAtItsEnd) {
  const Zone z = version(9, 1);
  const auto all = fullTransfer(z);
  for (std::size_t per = 1; per <= all.size(); ++per) {
    Transfer t("example.org", nullptr);
    EXPECT_EQ(feed(t, all, per), Transfer::State::Done) << t.why();
    EXPECT_EQ(t.zone(), z);
  }
  for (std::size_t cut = 0; cut < all.size(); ++cut) {
    Transfer t("example.org", nullptr);
    EXPECT_EQ(feed(t, {all.begin(), all.begin() + static_cast<long>(cut)}, 2), Transfer::State::More) << cut;
  }
}

TEST(Transfer, ChangesOfSeveralVersionsYieldTheNewestZone) {
  for (unsigned seed = 1; seed < 40; ++seed) {
    const std::vector<Zone> versions{version(5, seed), version(6, seed + 100), version(9, seed + 200)};
    const auto all = changes(versions);
    for (const std::size_t per : {1u, 3u, 1000u}) {
      Transfer t("example.org", &versions[0]);
      EXPECT_EQ(feed(t, all, per), Transfer::State::Done) << t.why();
      EXPECT_EQ(t.zone(), versions[2]);
    }
    for (std::size_t cut = 2; cut < all.size(); ++cut) {
      Transfer t("example.org", &versions[0]);
      EXPECT_EQ(feed(t, {all.begin(), all.begin() + static_cast<long>(cut)}, 1000), Transfer::State::More);
    }
  }
}

TEST(Transfer, DistinguishesInapplicableChangesFromFailures) {
  const std::vector<Zone> versions{version(5, 1), version(6, 2)};
  const Zone other = version(4, 7);
  Transfer base("example.org", &other);
  EXPECT_EQ(feed(base, changes(versions), 5), Transfer::State::Unfit) << "changes based on another serial";
  auto missing = changes(versions);
  missing.insert(missing.begin() + 2, rawOf({"absent.example.org", Type::A, 1, std::string("\1\2\3\4", 4)}));
  Transfer removal("example.org", &versions[0]);
  EXPECT_EQ(feed(removal, missing, 5), Transfer::State::Unfit);
  Transfer back("example.org", &versions[1]);
  EXPECT_EQ(feed(back, changes({versions[1], versions[0]}), 5), Transfer::State::Unfit)
      << "a decreasing serial";
  for (const Rcode rcode : {Rcode::NotImp, Rcode::Refused, Rcode::FormErr}) {
    Message m = message({});
    m.rcode = rcode;
    Transfer t("example.org", &versions[0]), w("example.org", nullptr);
    EXPECT_EQ(t.take(m), Transfer::State::Unfit);
    EXPECT_EQ(w.take(m), Transfer::State::Failed);
  }
  Transfer same("example.org", &versions[0]);
  EXPECT_EQ(feed(same, {rawOf(soa(5))}, 5), Transfer::State::UpToDate);
  Transfer answered("example.org", &versions[0]);
  EXPECT_EQ(feed(answered, fullTransfer(versions[1]), 4), Transfer::State::Done)
      << "a full zone in answer to IXFR";
  EXPECT_EQ(answered.zone(), versions[1]);
}

TEST(Transfer, MalformedTransfersFail) {
  const Zone z = version(9, 1);
  const auto failing = [&](const std::vector<RawRecord>& all, std::size_t maxRecords = 1000) {
    Transfer t("example.org", nullptr, maxRecords);
    EXPECT_EQ(feed(t, all, 3), Transfer::State::Failed);
    EXPECT_FALSE(t.why().empty());
  };
  auto all = fullTransfer(z);
  failing({all.begin() + 1, all.end()});
  auto outside = all;
  outside[2].name = "other.org";
  failing(outside);
  auto cls = all;
  cls[2].cls = 3;
  failing(cls);
  auto data = all;
  data[2].data = "x";
  failing(data);
  auto soaInside = all;
  soaInside.insert(soaInside.begin() + 3, rawOf(soa(8)));
  failing(soaInside);
  failing(all, 5);
  auto afterEnd = all;
  afterEnd.push_back(all[2]);
  Transfer t("example.org", nullptr);
  EXPECT_EQ(feed(t, afterEnd, 1000), Transfer::State::Failed);
  auto unknown = all;  // records of unsupported types (MX) are skipped
  unknown.insert(unknown.begin() + 2, RawRecord{"example.org", 15, kIn, 60, "abc"});
  Transfer u("example.org", nullptr);
  EXPECT_EQ(feed(u, unknown, 3), Transfer::State::Done);
}

Soa soaTimers(std::uint32_t serial) { return {serial, 3600, 600, 86400, 30}; }
using Do = Secondary::Step::Do;

TEST(Secondary, QueriesAtRefreshAndTransfersANewerZone) {
  Secondary s({});
  EXPECT_EQ(s.begin(soaTimers(5), 0, 0).what, Do::AskSoa);
  EXPECT_EQ(s.expiresAt(), 86400 * kSecond);
  const auto same = s.answered(5, 10 * kSecond);
  EXPECT_EQ(same.what, Do::Wait);
  EXPECT_EQ(same.at, 3610 * kSecond);
  EXPECT_EQ(s.expiresAt(), 86410 * kSecond);
  s.due(3610 * kSecond);
  const auto newer = s.answered(6, 3611 * kSecond);
  EXPECT_EQ(newer.what, Do::Transfer);
  EXPECT_FALSE(newer.whole);
  EXPECT_TRUE(s.unfit(3612 * kSecond).whole);
  EXPECT_EQ(s.transferred(soaTimers(6), 3613 * kSecond).what, Do::Wait);
  s.due(0);
  EXPECT_TRUE(s.answered(3, 0).whole) << "an earlier serial: AXFR, for SerialPolicy to decide";
  EXPECT_EQ(s.refused(0).what, Do::Wait);
}

TEST(Secondary, RequestsAFullTransferWithoutAStoredZone) {
  Secondary s({});
  const auto step = s.begin(std::nullopt, 0, 0);
  EXPECT_EQ(step.what, Do::Transfer);
  EXPECT_TRUE(step.whole);
  EXPECT_EQ(s.expiresAt(), 0);
}

TEST(Secondary, AttemptsEachPrimaryBeforeWaitingAndBacksOff) {
  Secondary::Settings settings;
  settings.primaries = 3;
  Secondary s(settings);
  EXPECT_EQ(s.begin(soaTimers(5), 0, 0).primary, 0u);
  EXPECT_EQ(s.failed(0).primary, 1u);
  EXPECT_EQ(s.failed(0).primary, 2u);
  const auto wait = s.failed(0);
  EXPECT_EQ(wait.what, Do::Wait);
  EXPECT_EQ(wait.at, settings.minRetry);
  Micros last = 0;
  for (int round = 0; round < 20; ++round) {
    s.due(0);
    s.failed(0);
    s.failed(0);
    const Micros at = s.failed(0).at;
    EXPECT_GE(at, last);
    EXPECT_LE(at, 600 * kSecond) << "at most the retry time of the SOA";
    last = at;
  }
  EXPECT_EQ(s.expiresAt(), 86400 * kSecond) << "failures do not extend the expiry";
}

TEST(Secondary, NotifyCausesAQueryAtOnceOrAfterTheCurrentOne) {
  Secondary::Settings settings;
  settings.primaries = 2;
  Secondary s(settings);
  s.begin(soaTimers(5), 0, 0);
  EXPECT_FALSE(s.notified(1, 0).has_value());
  const auto after = s.answered(5, 0);
  EXPECT_EQ(after.what, Do::AskSoa);
  EXPECT_EQ(after.primary, 1u);
  EXPECT_EQ(s.answered(5, 0).what, Do::Wait);
  const auto now = s.notified(0, 5);
  ASSERT_TRUE(now.has_value());
  EXPECT_EQ(now->what, Do::AskSoa);
  EXPECT_EQ(now->primary, 0u);
}

}  // namespace
}  // namespace peargrade::dns_zone
