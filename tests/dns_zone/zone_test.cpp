// Serial arithmetic, RRsets, differences, and validation of untrusted RDATA.
#include "dns_zone/zone.h"

#include <gtest/gtest.h>

#include <random>

#include "dns_zone/test_records.h"

namespace peargrade::dns_zone {
namespace {

Record a(const std::string& name, const std::string& address, std::uint32_t ttl = 60) {
  return {name, Type::A, ttl, *encodeField(Type::A, 0, address)};
}

// The cases of RFC 1982, section 5.2, for 32 bits.
TEST(Serial, ComparesAcrossTheWrapAround) {
  EXPECT_TRUE(later(1, 0));
  EXPECT_TRUE(later(0, 0xFFFFFFFFu));
  EXPECT_TRUE(later(100, 0xFFFFFFF0u));
  EXPECT_TRUE(later(0x7FFFFFFF, 0));
  EXPECT_FALSE(later(0x80000000u, 0)) << "2^31 apart: neither is later";
  EXPECT_FALSE(later(0, 0x80000000u));
  EXPECT_FALSE(later(5, 5));
  EXPECT_EQ(nextSerial(0xFFFFFFFFu), 1u);
}

TEST(Serial, OfTwoSerialsAtMostOneIsLater) {
  std::mt19937 random(1);
  for (int k = 0; k < 100000; ++k) {
    const std::uint32_t x = random(), y = random();
    EXPECT_FALSE(later(x, y) && later(y, x));
    EXPECT_TRUE(later(nextSerial(x), x));
  }
}

TEST(ZoneValue, StoresRecordsOnceWithOneTtlForTheRrset) {
  Zone z("example.org");
  EXPECT_TRUE(z.add(soa(5)));
  EXPECT_TRUE(z.add(a("b.example.org", "10.0.0.1")));
  EXPECT_FALSE(z.add(a("b.example.org", "10.0.0.1")));
  EXPECT_TRUE(z.add(a("b.example.org", "10.0.0.2", 5)));
  EXPECT_EQ(z.records(), 3u);
  EXPECT_EQ(z.find("b.example.org", Type::A)->ttl, 5u);
  EXPECT_TRUE(z.add(soa(6)));
  EXPECT_EQ(z.records(), 3u) << "an SOA replaces the existing one";
  EXPECT_EQ(z.serial(), 6u);
  EXPECT_EQ(z.all()[0].type, Type::SOA);
  EXPECT_TRUE(z.remove("b.example.org", Type::A, a("", "10.0.0.1").data));
  EXPECT_FALSE(z.remove("b.example.org", Type::A, a("", "10.0.0.1").data));
  EXPECT_TRUE(z.removeSet("b.example.org", Type::A));
  EXPECT_FALSE(z.hasName("b.example.org"));
  EXPECT_EQ(z.records(), 1u);
}

TEST(ZoneValue, DifferenceTurnsOneZoneIntoTheOther) {
  std::mt19937 random(2);
  for (int round = 0; round < 200; ++round) {
    Zone from("example.org"), to("example.org");
    for (Zone* z : {&from, &to}) {
      z->add(soa(static_cast<std::uint32_t>(random())));
      for (int k = 0; k < 20; ++k)
        z->add(a("h" + std::to_string(random() % 6) + ".example.org",
                 "10.0.0." + std::to_string(random() % 5), static_cast<std::uint32_t>(random() % 2 + 1)));
    }
    const Difference d = difference(from, to);
    for (const Record& r : d.removed) EXPECT_TRUE(from.remove(r.name, r.type, r.data));
    for (const Record& r : d.added) from.add(r);
    EXPECT_EQ(from, to);
    EXPECT_TRUE(difference(from, to).empty());
  }
}

TEST(ZoneValue, SameContentIgnoresTheSerial) {
  Zone x("example.org"), y("example.org");
  x.add(soa(1));
  y.add(soa(2));
  EXPECT_TRUE(x.sameContent(y));
  y.add(a("b.example.org", "10.0.0.1"));
  EXPECT_FALSE(x.sameContent(y));
}

TEST(UntrustedData, IsCanonicalizedOrRejected) {
  const std::string upper = std::string("\0\1\0\2\0\3", 6) + wireName("Bello.Example.ORG");
  EXPECT_EQ(canonicalData(Type::SRV, upper), std::string("\0\1\0\2\0\3", 6) + wireName("bello.example.org"));
  EXPECT_FALSE(canonicalData(Type::SRV, upper + "x").has_value());
  EXPECT_FALSE(canonicalData(Type::SRV, upper.substr(0, 5)).has_value());
  EXPECT_FALSE(canonicalData(Type::A, "abc").has_value());
  EXPECT_FALSE(canonicalData(Type::TXT, "").has_value());
  EXPECT_FALSE(canonicalData(Type::CNAME, wireName("sp ace.org")).has_value());
  std::mt19937 random(4);
  for (int k = 0; k < 20000; ++k) {
    std::string bytes(random() % 40, '\0');
    for (char& c : bytes) c = static_cast<char>(random());
    for (const Type type : {Type::A, Type::NS, Type::CNAME, Type::SOA, Type::TXT, Type::AAAA, Type::SRV}) {
      const auto data = canonicalData(type, bytes);
      if (!data) continue;
      EXPECT_EQ(canonicalData(type, *data), data);
      EXPECT_FALSE(textOf(type, *data).empty());
    }
  }
}

}  // namespace
}  // namespace peargrade::dns_zone
