// Parsing of a configuration: its fields, their precedence, and errors that name invalid fields.
#include "config/config.h"

#include <gtest/gtest.h>

#include "config_fixture.h"
#include "support/parse_checks.h"

namespace peargrade::config {
namespace {

TEST(Config, EveryFieldIsRead) {
  const Config config = parseWith(kValidConfig);
  EXPECT_EQ(config.name, "n3");
  EXPECT_EQ(config.listen.text(), "127.0.0.4:3000");
  EXPECT_EQ(config.discovery.text(), "127.2.0.1:8500");
  EXPECT_EQ(config.relay.text(), "127.2.0.2:6400");
  EXPECT_EQ(config.seed, 0x8c1f30d27a5be964ull);
  EXPECT_EQ(config.limits.memoryMb, 192);
  EXPECT_EQ(config.limits.sockets, 1024);
  EXPECT_EQ(config.settings.slices, 12);
  EXPECT_EQ(config.settings.supervisors, 2);
  EXPECT_EQ(config.names.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(config.names.classes, (std::vector<std::string>{"lookup"}));
  EXPECT_EQ(config.cachedList.kind, EndpointListKind::Cached);
  EXPECT_EQ(config.cachedList.version, 41);
  EXPECT_EQ(config.cachedList.endpoints.at(0).zone, 1);
}

TEST(Config, EnvironmentTakesPrecedenceOverTheFile) {
  const Config config =
      parseWith(kValidConfig, {{"NODE_NAME", "n9"}, {"NODE_LISTEN", "127.0.0.9:1"}, {"NODE_DISCOVERY", ""}});
  EXPECT_EQ(config.name, "n9");
  EXPECT_EQ(config.listen.text(), "127.0.0.9:1");
  EXPECT_EQ(config.discovery.text(), "127.2.0.1:8500") << "an empty variable counts as not set";
}

// The environment dates from the start of the process. A file that was replaced since is newer.
TEST(Config, FilesDiscoveryTakesPrecedenceOverTheEnvironmentOnAReload) {
  const Environment environment =
      environmentWith({{"NODE_DISCOVERY", "127.2.0.9:1"}, {"NODE_LISTEN", "127.0.0.9:1"}});
  EXPECT_EQ(parse(kValidConfig, environment).discovery.text(), "127.2.0.9:1");
  const Config config = parse(kValidConfig, environment, DiscoveryPrecedence::File);
  EXPECT_EQ(config.discovery.text(), "127.2.0.1:8500");
  EXPECT_EQ(config.listen.text(), "127.0.0.9:1") << "the listening address is still the environment's";
  const std::string withoutDiscovery = replaced(R"("discovery":"127.2.0.1:8500",)", "");
  EXPECT_EQ(parse(withoutDiscovery, environment, DiscoveryPrecedence::File).discovery.text(), "127.2.0.9:1");
}

struct InvalidConfig {
  const char* name;
  std::string text;
  const char* message;
};

class ConfigErrors : public testing::TestWithParam<InvalidConfig> {};

TEST_P(ConfigErrors, NameTheField) {
  const InvalidConfig& invalid = GetParam();
  expectParseError([&] { parseWith(invalid.text); }, invalid.message, invalid.text);
}

INSTANTIATE_TEST_SUITE_P(
    Config, ConfigErrors,
    testing::Values(
        InvalidConfig{"EmptyFile", "", "not JSON"},
        InvalidConfig{"NotAnObject", "[]", "configuration: is not an object"},
        InvalidConfig{"ListenMissing", replaced(R"("listen":"127.0.0.4:3000",)", ""),
                      "listen: is missing, and NODE_LISTEN is not set"},
        InvalidConfig{"ListenIsAName", replaced("127.0.0.4:3000", "localhost:3000"),
                      "listen: 'localhost:3000' is no address"},
        InvalidConfig{"ListenPortTooLarge", replaced("127.0.0.4:3000", "127.0.0.4:70000"), "listen: "},
        InvalidConfig{"DiscoveryWithoutPort", replaced("127.2.0.1:8500", "127.2.0.1"), "discovery: "},
        InvalidConfig{"RelayAddressMissing", replaced(R"({"address":"127.2.0.2:6400"})", "{}"),
                      "relay: 'address' is missing"},
        InvalidConfig{"RelayIsOwnAddress", replaced("127.2.0.2:6400", "127.0.0.4:3000"),
                      "relay.address: is the supervisor's own address"},
        InvalidConfig{"SeedNotHexadecimal", replaced("8c1f30d27a5be964", "seed"), "seed: "},
        InvalidConfig{"TooFewSockets", replaced("\"sockets\":1024", "\"sockets\":3"),
                      "limits: 'sockets' is out of range"},
        InvalidConfig{"NoSlices", replaced(R"("shards":12)", R"("shards":0)"), "settings.extra.shards"},
        InvalidConfig{"ClassWithoutName", replaced(R"("classes":[{"name":"lookup",)", R"("classes":[{)"),
                      "settings.classes: 'name' is missing"},
        InvalidConfig{"ClassWithASeparator", replaced("\"lookup\"", "\"look up\""),
                      "settings.classes: 'look up' is empty or contains a separator"},
        InvalidConfig{"ZoneTwice", replaced(R"(["a","b"])", R"(["a","a"])"),
                      "settings.zones: 'a' occurs twice"},
        InvalidConfig{"ZonesNotAnArray", replaced(R"(["a","b"])", R"("a")"),
                      "settings: 'zones' is not an array"},
        InvalidConfig{"CachedEndpointInUnknownZone", replaced(R"("az":"b")", R"("az":"c")"),
                      "'az' is no zone of the settings"},
        InvalidConfig{"CachedEndpointInUnknownState", replaced("SERVING", "FINE"),
                      "'state' has an unknown value"}),
    [](const auto& invalid) { return invalid.param.name; });

TEST(Config, AllInvalidFieldsAreNamedAtOnce) {
  std::string text = replaced("127.0.0.4:3000", "here");
  text.replace(text.find("127.2.0.2:6400"), 14, "there");
  text.replace(text.find("SERVING"), 7, "FINE");
  for (const char* const message :
       {"listen: 'here'", "\nrelay.address: 'there'", "\nknown: targets: 'state'"})
    expectParseError([&] { parseWith(text); }, message, text);
}

TEST(Config, RandomBytesAreAcceptedOrRejectedWithAParseError) {
  const MutationOutcome outcome =
      parseMutations(kValidConfig, 3, 5000, [](const std::string& text) { parseWith(text); });
  EXPECT_GT(outcome.accepted, 500);
  EXPECT_GT(outcome.rejected, 500);
}

TEST(Config, MissingFileIsNamed) {
  try {
    load("/nowhere/config.json", processEnvironment);
    ADD_FAILURE();
  } catch (const ParseError& error) {
    EXPECT_STREQ(error.what(), "NODE_CONFIG: cannot read '/nowhere/config.json'");
  }
}

}  // namespace
}  // namespace peargrade::config
