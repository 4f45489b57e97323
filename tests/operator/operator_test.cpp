// Parsing of the operator's file: values, defaults, and errors that name the file, line, column, the value
// found and the value expected.
#include "operator/operator.h"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>

namespace peargrade::op {
namespace {

const discovery::Names kNames{{"east", "west"}, {"m1"}, {"lookup"}};

std::string example() {
  std::ifstream in(PEARGRADE_EXAMPLE_OPERATOR);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Text of the errors in a file, or "" if it is valid.
std::string errorsOf(const std::string& text) {
  try {
    parse(text, "op.kdl", &kNames);
  } catch (const ParseError& e) {
    return e.what();
  }
  return "";
}

std::string withSrv(const std::string& dns, const std::string& merge = "") {
  return "version 1\nsources {\n dns {\n server \"127.0.0.1:53\"\n" + dns +
         "\n }\n srv \"o\" { name \"_o._tcp.example.org\"; place zone=\"east\"; }\n merge {\n" + merge +
         "\n }\n}\n";
}

TEST(Operator, ExampleFileIsParsed) {
  const Operator o = parse(example(), "peargrade.kdl", &kNames);
  EXPECT_TRUE(o.roster);
  ASSERT_EQ(o.dns.servers.size(), 2u);
  EXPECT_EQ(o.dns.servers[1].text(), "127.0.0.2:5353");
  EXPECT_EQ(o.dns.tryFor, 400000);
  EXPECT_EQ(o.dns.staleFor, 600000000);
  ASSERT_EQ(o.srv.size(), 1u);
  EXPECT_EQ(o.srv[0].name, "_orders._tcp.example.org");
  ASSERT_EQ(o.srv[0].places.size(), 2u);
  EXPECT_EQ(o.srv[0].places[0].net, 0x0A010000u);
  EXPECT_EQ(o.srv[0].places[0].mask, 0xFFFF0000u);
  EXPECT_EQ(o.srv[0].places[1].mask, 0u);
  EXPECT_EQ(o.merge.removalStepInterval, 5000000);
}

TEST(Operator, OmittedFieldsHaveTheDefaultsOfTheirType) {
  const Operator o = parse("version 1", "f", nullptr);
  EXPECT_FALSE(o.sources());
  const dns::Settings d;
  EXPECT_EQ(o.dns.tryFor, d.tryFor);
  EXPECT_EQ(o.dns.ttlMost, d.ttlMost);
  EXPECT_EQ(o.dns.cacheBytes, d.cacheBytes);
  EXPECT_EQ(o.dns.records, d.records);
  const membership::Settings m;
  EXPECT_EQ(o.merge.staleRetention, m.staleRetention);
  EXPECT_EQ(o.merge.confirmationShare, m.confirmationShare);
  EXPECT_EQ(o.merge.flapReturnsMax, m.flapReturnsMax);
  EXPECT_EQ(o.merge.serversMax, m.serversMax);
}

struct InvalidFile {
  const char* name;
  std::string text;
  const char* error;
};
class OperatorErrors : public testing::TestWithParam<InvalidFile> {};
TEST_P(OperatorErrors, NamePlaceFoundAndExpected) { EXPECT_EQ(errorsOf(GetParam().text), GetParam().error); }

INSTANTIATE_TEST_SUITE_P(
    All, OperatorErrors,
    testing::Values(
        InvalidFile{
            "DurationWithoutUnit", withSrv("try 400"),
            "op.kdl:5:5: sources.dns.try: found 400, expected a duration with its unit (us, ms, s, m, h, "
            "d) from "
            "10ms to 10s"},
        InvalidFile{
            "DurationOutOfRange", withSrv("try \"400s\""),
            "op.kdl:5:5: sources.dns.try: found \"400s\", expected a duration with its unit (us, ms, s, "
            "m, h, d) "
            "from 10ms to 10s"},
        InvalidFile{
            "UnknownUnit", withSrv("cache-bytes \"8MB\""),
            "op.kdl:5:13: sources.dns.cache-bytes: found \"8MB\", expected a size with its unit (B, KiB, "
            "MiB, GiB) "
            "from 64KiB to 1GiB"},
        InvalidFile{"OutOfRange", withSrv("tries 99"),
                    "op.kdl:5:7: sources.dns.tries: found 99, expected a whole number from 1 to 16"},
        InvalidFile{"RepeatedField", withSrv("tries 3\ntries 4"),
                    "op.kdl:6:7: sources.dns.tries: found a second occurrence, expected at most one"},
        InvalidFile{"MissingVersion", "sources { }",
                    "op.kdl:1:1: version: found nothing, expected a whole number, 1"},
        InvalidFile{"UnknownWord", withSrv("", "weights \"both\""),
                    "op.kdl:9:9: sources.merge.weights: found \"both\", expected one of \"roster\", \"srv\""},
        InvalidFile{
            "UnknownProperty",
            "version 1\nsources {\n dns { server \"127.0.0.1:53\"; }\n srv \"o\" label=1 { name \"a.b\"; "
            "place zone=\"east\"; }\n}\n",
            "op.kdl:4:10: sources.srv: found 'label=', expected no such entry here"},
        InvalidFile{"TierLeaveShareBelowJoinShare", withSrv("", "tier-least 0.8"),
                    "op.kdl:8:2: sources.merge.tier-back: found less than tier-least, expected at least "
                    "tier-least, so that tiers do not alternate between joining and leaving"},
        InvalidFile{
            "MissingNameServer", "version 1\nsources {\n srv \"o\" { name \"a.b\"; place zone=\"east\"; }\n}",
            "op.kdl:2:1: sources.dns.server: found none, expected at least one name server, because there is "
            "an srv source"},
        InvalidFile{
            "UpdatesWithoutState",
            "version 1\nsources {\n zone \"z\" {\n origin \"a.org\"; service \"_o._tcp.a.org\"\n listen "
            "\"127.0.0.1:5300\"\n }\n}",
            "op.kdl:3:2: sources.zone.listen: found listen without state, keys or a grant, expected all "
            "three, because accepted updates are stored and must be signed by a key with a grant"},
        InvalidFile{
            "ServiceOutsideItsZone",
            "version 1\nsources {\n zone \"z\" {\n origin \"a.org\"; service \"_o._tcp.b.org\"\n folder "
            "\"x\"; "
            "file \"y\"\n }\n}",
            "op.kdl:4:26: sources.zone.service: found \"_o._tcp.b.org\", expected a name within a.org"},
        InvalidFile{
            "MissingSource", "version 1\nsources { roster false; }",
            "op.kdl:2:18: sources.roster: found false, and no other source, expected at least one source"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(Operator, AllErrorsOfAFileAreReportedTogether) {
  const std::string errors = errorsOf(
      "version 2\nsources {\n  dns {\n    server \"localhost\"\n    ttl 5\n  }\n  srv \"o\" {\n    name "
      "\"a..b\"\n"
      "    place zone=\"north\" net=\"10.1\"\n  }\n  roster \"yes\"\n}\nextra 1\nbad k=\n");
  std::vector<std::string> positions;
  std::istringstream lines(errors);
  for (std::string line; std::getline(lines, line);) positions.push_back(line.substr(0, line.find(": ")));
  EXPECT_EQ(positions.size(), 9u) << errors;
  for (const char* part : {"version", "dns.server", "'ttl'", "srv.name", "place.net", "place.zone", "roster",
                           "'extra'", "a value"})
    EXPECT_NE(errors.find(part), std::string::npos) << part << "\n" << errors;
}

TEST(Operator, UnreadableFileIsAParseError) {
  EXPECT_THROW(load("/nonexistent/op.kdl", nullptr), ParseError);
}

TEST(Operator, SettingsReloadIsOffByDefault) {
  EXPECT_FALSE(parse("version 1", "f", nullptr).settingsReload);
  EXPECT_FALSE(parse("version 1\nconfiguration {\n}\n", "f", nullptr).settingsReload);
  const Operator o = parse("version 1\nconfiguration {\n settings-reload true\n}\n", "f", nullptr);
  EXPECT_TRUE(o.settingsReload);
  EXPECT_FALSE(o.sources());
  EXPECT_EQ(errorsOf("version 1\nconfiguration {\n settings-reload \"on\"\n}\n"),
            "op.kdl:3:18: configuration.settings-reload: found \"on\", expected true or false");
}

TEST(Operator, TableListsSettingsOfEveryBlock) {
  const std::string table = tableOf(schema());
  for (const char* name : {"sources.dns.try\n", "sources.srv.place.net\n", "sources.merge.flap-hold\n",
                           "configuration.settings-reload\n"})
    EXPECT_NE(table.find(name), std::string::npos) << name;
}

}  // namespace
}  // namespace peargrade::op
