// Master files: accepted syntax, the position and text of each mistake, and that written files read back
// equal.
#include <gtest/gtest.h>

#include <random>

#include "dns_zone/master_file.h"

namespace peargrade::dns_zone {
namespace {

using Files = std::map<std::string, std::string>;

Reading read(const Files& files, const std::string& origin = "example.org") {
  return readMasterFile("zone", origin, [&](const std::string& path, std::string& text, std::string& why) {
    const auto at = files.find(path);
    if (at == files.end()) {
      why = "no such file";
      return false;
    }
    text = at->second;
    return true;
  });
}
const char kHead[] = "$TTL 60\n@ SOA ns hostmaster 7 1h 10m 1d 30\n";
Reading zoneOf(const std::string& body) { return read({{"zone", kHead + body}}); }

TEST(Master, ReadsTheSyntaxOfRfc1035) {
  const Reading r = read({{"zone", R"(; servers of the orders
$ORIGIN example.org.
$TTL 1m
@   IN SOA ns.example.org. hostmaster ( 2026120101 ; serial
        3600 600
        1d 30 )
    NS  ns
ns  A   10.0.0.1
_orders._tcp 10 IN SRV 0 10 3000 bello-7
             IN 10 SRV 0 20 3000 bello-8.example.org.
bello-7 A 10.1.0.7
        TXT "state=draining" "zone=east"
BELLO-8 AAAA 2001:db8::8
$ORIGIN deep
x CNAME @
)"}});
  ASSERT_TRUE(r.mistakes.empty()) << r.mistakes[0].text();
  EXPECT_EQ(r.zone.serial(), 2026120101u);
  EXPECT_EQ(r.zone.soa().expire, 86400u);
  const Zone::Set* srv = r.zone.find("_orders._tcp.example.org", Type::SRV);
  ASSERT_NE(srv, nullptr);
  EXPECT_EQ(srv->ttl, 10u);
  EXPECT_EQ(srv->data.size(), 2u);
  EXPECT_EQ(srvOf(*srv->data.begin())->target, "bello-7.example.org");
  EXPECT_EQ(textsOf(*r.zone.find("bello-7.example.org", Type::TXT)->data.begin()),
            (std::vector<std::string>{"state=draining", "zone=east"}));
  EXPECT_EQ(addressOf(Type::AAAA, *r.zone.find("bello-8.example.org", Type::AAAA)->data.begin()),
            "[2001:db8::8]");
  EXPECT_EQ(textOf(Type::CNAME, *r.zone.find("x.deep.example.org", Type::CNAME)->data.begin()),
            "deep.example.org.");
  EXPECT_EQ(r.zone.find("ns.example.org", Type::A)->ttl, 60u);
}

TEST(Master, IncludesAreConfinedToTheFolderAndHaveTheirOwnOrigin) {
  const Reading r = read({{"zone", std::string(kHead) + "$INCLUDE hosts east\nafter A 10.0.0.9\n"},
                          {"hosts", "$ORIGIN sub.east.example.org.\nb A 10.0.0.2\n"}});
  ASSERT_TRUE(r.mistakes.empty()) << r.mistakes[0].text();
  EXPECT_NE(r.zone.find("b.sub.east.example.org", Type::A), nullptr);
  EXPECT_NE(r.zone.find("after.example.org", Type::A), nullptr);
  EXPECT_EQ(r.files, (std::vector<std::string>{"zone", "hosts"}));
  for (const char* path : {"/etc/passwd", "../secret", "a/../../b", ".."}) {
    const Reading bad = zoneOf(std::string("$INCLUDE ") + path + "\n");
    ASSERT_EQ(bad.mistakes.size(), 1u) << path;
    EXPECT_NE(bad.mistakes[0].text().find("a path within the folder"), std::string::npos);
  }
  const Reading cycle =
      read({{"zone", std::string(kHead) + "$INCLUDE other\n"}, {"other", "$INCLUDE zone\n"}});
  ASSERT_FALSE(cycle.mistakes.empty());
  bool reported = false;
  for (const Mistake& m : cycle.mistakes) reported = reported || m.expected == "no cycle of includes";
  EXPECT_TRUE(reported);
}

struct InvalidFile {
  const char* name;
  const char* body;
  const char* message;
};
class MasterMistake : public testing::TestWithParam<InvalidFile> {};
TEST_P(MasterMistake, NamesFileLineAndColumn) {
  const Reading r = zoneOf(GetParam().body);
  ASSERT_EQ(r.mistakes.size(), 1u) << (r.mistakes.size() > 1 ? r.mistakes[1].text() : "");
  EXPECT_EQ(r.mistakes[0].text(), GetParam().message);
}
INSTANTIATE_TEST_SUITE_P(
    All, MasterMistake,
    testing::Values(
        InvalidFile{"Address", "a A 10.0.0.300\n",
                    "zone:3:5: found '10.0.0.300' as the address, expected an IPv4 address"},
        InvalidFile{"Port", "s SRV 0 0 70000 a\n",
                    "zone:3:11: found '70000' as the port, expected a whole number from 0 to 65535"},
        InvalidFile{"TooFew", "s SRV 0 0 80\n",
                    "zone:3:13: found the end of the record, expected the target, a domain name"},
        InvalidFile{"TooMany", "a A 10.0.0.1 10.0.0.2\n",
                    "zone:3:14: found '10.0.0.2', expected the end of the record"},
        InvalidFile{"Type", "a MX 10 b\n",
                    "zone:3:3: found 'MX', expected a type: A, AAAA, CNAME, NS, SOA, SRV or TXT"},
        InvalidFile{"Class", "a CH A 10.0.0.1\n", "zone:3:3: found 'CH', expected class IN"},
        InvalidFile{"Outside", "a.other.org. A 10.0.0.1\n",
                    "zone:3:1: found 'a.other.org', expected a name within example.org"},
        InvalidFile{"SecondSoa", "@ SOA a b 1 2 3 4 5\n", "zone:3:1: found a second SOA, expected one SOA"},
        InvalidFile{"CnameAtRecord", "a A 10.0.0.1\na CNAME b\n",
                    "zone:4:1: found a CNAME and other records of a.example.org, expected a CNAME alone"},
        InvalidFile{"RecordAtCname", "a CNAME b\na A 10.0.0.1\n",
                    "zone:4:1: found a CNAME and other records of a.example.org, expected a CNAME alone"},
        InvalidFile{"OpenParen", "a A ( 10.0.0.1\nb A 10.0.0.2\n",
                    "zone:3:5: found ( without ), expected ) before the end of the file"},
        InvalidFile{"OpenText", "a TXT \"x\nb A 10.0.0.1\n",
                    "zone:3:9: found the end of the line, expected \" at the end of the text"},
        InvalidFile{"CloseParen", "a A 10.0.0.1 )\n", "zone:3:14: found ')', expected ( before )"},
        InvalidFile{"Directive", "$GENERATE 1-9 a$ A 10.0.0.$\n",
                    "zone:3:1: found '$GENERATE', expected $ORIGIN, $TTL, $INCLUDE or a record"},
        InvalidFile{"Period", "$TTL soon\n",
                    "zone:3:6: found 'soon', expected seconds, or a number with s, m, h, d or w"},
        InvalidFile{"Name", "a..b A 10.0.0.1\n",
                    "zone:3:1: found 'a..b', expected a domain name of letters, digits, - and _"},
        InvalidFile{"Missing", "$INCLUDE gone\n",
                    "zone:3:10: found 'gone': no such file, expected a file that can be read"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(Master, RejectsFilesWithoutAnSoaOrATtl) {
  EXPECT_EQ(read({{"zone", "$TTL 5\na A 10.0.0.1\n"}}).mistakes.at(0).found, "no SOA");
  EXPECT_EQ(read({{"zone", "a A 10.0.0.1\n"}}).mistakes.at(0).found, "a record without a TTL");
  EXPECT_EQ(read({{"zone", " A 10.0.0.1\n"}}).mistakes.at(0).expected, "a name at the start of the line");
  EXPECT_EQ(read({}).mistakes.at(0).expected, "a file that can be read");
}

TEST(Master, WarnsOfValidButSuspectRecords) {
  const Reading r = zoneOf("s SRV 0 0 80 absent\na A 10.0.0.1\na A 10.0.0.1\na 5 A 10.0.0.2\n");
  EXPECT_TRUE(r.mistakes.empty());
  ASSERT_EQ(r.doubts.size(), 3u);
  EXPECT_EQ(r.doubts[2].found, "the target absent.example.org without an address");
}

TEST(Master, ReportsMistakesUpToTheLimit) {
  std::string body;
  for (int k = 0; k < 300; ++k) body += "a A x\n";
  EXPECT_EQ(zoneOf(body).mistakes.size(), 100u);
}

TEST(Master, WrittenFilesReadBackEqual) {
  std::mt19937 random(5);
  for (int round = 0; round < 50; ++round) {
    std::string body;
    for (int k = 0; k < 30; ++k) {
      const std::string host = "h" + std::to_string(random() % 20);
      body += "_s" + std::to_string(random() % 3) + "._tcp SRV " + std::to_string(random() % 3) + " " +
              std::to_string(random() % 100) + " 3000 " + host + "\n" + host + " A 10.0." +
              std::to_string(random() % 256) + "." + std::to_string(random() % 256) + "\n" + host +
              " TXT \"a b;(\\\"\\\\\" \"c=" + std::to_string(random() % 9) + "\"\n";
    }
    const Reading first = zoneOf(body);
    ASSERT_TRUE(first.mistakes.empty()) << first.mistakes[0].text();
    const Reading again = read({{"zone", writeMasterFile(first.zone)}});
    ASSERT_TRUE(again.mistakes.empty()) << again.mistakes[0].text();
    EXPECT_EQ(again.zone, first.zone);
  }
}

TEST(Master, RandomlyCorruptedFilesYieldOnlyMistakes) {
  const std::string good =
      std::string(kHead) + "a A 10.0.0.1\n_s._tcp SRV ( 0 0\n 80 a ) ; c\nb TXT \"x\\\"y\" z\n";
  std::mt19937 random(3);
  int refused = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string text = good;
    for (unsigned k = 1 + random() % 3; k > 0; --k)
      text[random() % text.size()] = static_cast<char>(random() % 256);
    const Reading r = read({{"zone", text}});
    refused += !r.mistakes.empty();
    for (const Mistake& m : r.mistakes) {
      EXPECT_FALSE(m.found.empty());
      EXPECT_FALSE(m.expected.empty());
    }
  }
  EXPECT_GT(refused, 1000);
}

}  // namespace
}  // namespace peargrade::dns_zone
