// The configuration: what is read, what goes before what, and a plain complaint for whatever is wrong.
#include "config/config.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace peargrade::config {
namespace {

const std::string kGood =
    R"({"name":"n3","listen":"127.0.0.4:3000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",)"
    R"("limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"relay":{"address":"127.2.0.2:6400"},)"
    R"("known":{"rev":41,"all":true,"targets":[{"uid":"s1","az":"b","state":"SERVING","boot_ms":0}]},)"
    R"("settings":{"classes":[{"name":"lookup","aimUs":800000,"effect":"repeatable"}],"zones":["a","b"],)"
    R"("kinds":["m1"],"groupSize":2,"extra":{"shards":12}}})";

Config read(const std::string& text, std::map<std::string, std::string> variables = {}) {
  return parse(text, [&](const char* name) -> std::optional<std::string> {
    const auto it = variables.find(name);
    return it == variables.end() ? std::nullopt : std::optional<std::string>(it->second);
  });
}

std::string with(const std::string& part, const std::string& other) {
  std::string text = kGood;
  const auto at = text.find(part);
  EXPECT_NE(at, std::string::npos) << part;
  return text.replace(at, part.size(), other);
}

TEST(Config, EveryFieldIsRead) {
  const Config c = read(kGood);
  EXPECT_EQ(c.name, "n3");
  EXPECT_EQ(c.listen.text(), "127.0.0.4:3000");
  EXPECT_EQ(c.discovery.text(), "127.2.0.1:8500");
  EXPECT_EQ(c.relay.text(), "127.2.0.2:6400");
  EXPECT_EQ(c.seed, 0x8c1f30d27a5be964ull);
  EXPECT_EQ(c.limits.memoryMb, 192);
  EXPECT_EQ(c.limits.sockets, 1024);
  EXPECT_EQ(c.settings.slices, 12);
  EXPECT_EQ(c.settings.supervisors, 2);
  EXPECT_EQ(c.names.zones, (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(c.names.classes, (std::vector<std::string>{"lookup"}));
  EXPECT_EQ(c.known.kind, EndpointListKind::Cached);
  EXPECT_EQ(c.known.version, 41);
  EXPECT_EQ(c.known.endpoints.at(0).zone, 1);
}

TEST(Config, EnvironmentGoesBeforeTheFile) {
  const Config c = read(kGood, {{"NODE_NAME", "n9"}, {"NODE_LISTEN", "127.0.0.9:1"}, {"NODE_DISCOVERY", ""}});
  EXPECT_EQ(c.name, "n9");
  EXPECT_EQ(c.listen.text(), "127.0.0.9:1");
  EXPECT_EQ(c.discovery.text(), "127.2.0.1:8500") << "an empty variable is not set";
}

// Guards against a variable of the start that pins an address for good: a file replaced since is newer.
TEST(Config, OnAReloadTheFilesDiscoveryGoesBeforeTheEnvironment) {
  const Environment environment = [](const char* name) -> std::optional<std::string> {
    const std::string n = name;
    if (n == "NODE_DISCOVERY") return "127.2.0.9:1";
    if (n == "NODE_LISTEN") return "127.0.0.9:1";
    return std::nullopt;
  };
  EXPECT_EQ(parse(kGood, environment).discovery.text(), "127.2.0.9:1");
  const Config c = parse(kGood, environment, Newer::File);
  EXPECT_EQ(c.discovery.text(), "127.2.0.1:8500");
  EXPECT_EQ(c.listen.text(), "127.0.0.9:1") << "the address it listens on is still the environment's";
  const Config bare = parse(with(R"("discovery":"127.2.0.1:8500",)", ""), environment, Newer::File);
  EXPECT_EQ(bare.discovery.text(), "127.2.0.9:1") << "where the file has none";
}

TEST(Config, WhatOnlyARestartTakesOverIsNamed) {
  const Config now = read(kGood);
  EXPECT_TRUE(needRestart(now, read(with("127.2.0.2:6400", "127.2.0.3:6400"))).empty());
  EXPECT_EQ(needRestart(now, read(with("\"n3\"", "\"n4\""))), std::vector<std::string>{"name"});
  EXPECT_EQ(needRestart(now, read(with("127.0.0.4:3000", "127.0.0.5:3000"))),
            std::vector<std::string>{"listen"});
  EXPECT_EQ(needRestart(now, read(with("\"memory_mb\":192", "\"memory_mb\":64"))),
            std::vector<std::string>{"limits"});
  EXPECT_EQ(needRestart(now, read(with("\"shards\":12", "\"shards\":13"))),
            std::vector<std::string>{"settings"});
}

TEST(Config, AVersionIsReadAndTheContentIsWhatARunningProgramTakesOver) {
  const Config now = read(kGood);
  EXPECT_FALSE(now.version.has_value());
  const Config seven = read(with("{\"name\"", "{\"version\":7,\"name\""));
  EXPECT_EQ(seven.version, 7);
  EXPECT_FALSE(seven.versionWrong);
  for (const char* wrong : {"-1", "1.5", "\"7\"", "[]", "99999999999999999999"})
    EXPECT_TRUE(read(with("{\"name\"", "{\"version\":" + std::string(wrong) + ",\"name\"")).versionWrong)
        << wrong;
  EXPECT_EQ(seven.content, now.content) << "the number is no content";
  EXPECT_EQ(read(with("\"known\":{", "\"known\": {")).content, now.content);
  EXPECT_EQ(read(with("8c1f30d27a5be964", "1")).content, now.content) << "for a start only";
  EXPECT_EQ(read(kGood, {{"NODE_DISCOVERY", "127.2.0.9:1"}}).content, now.content) << "as the file has it";
  for (const auto& [part, other] :
       {std::pair{"127.2.0.1:8500", "127.2.0.9:8500"}, std::pair{"127.2.0.2:6400", "127.2.0.9:6400"},
        std::pair{"\"aimUs\":800000", "\"aimUs\":900000"}})
    EXPECT_NE(read(with(part, other)).content, now.content) << part;
}

TEST(Config, WhatIsWrongIsNamedByItsField) {
  const std::pair<std::string, const char*> cases[] = {
      {"", "not JSON"},
      {"[]", "configuration: is not an object"},
      {with(R"("listen":"127.0.0.4:3000",)", ""), "listen: is missing, and NODE_LISTEN is not set"},
      {with("127.0.0.4:3000", "localhost:3000"), "listen: 'localhost:3000' is no address"},
      {with("127.0.0.4:3000", "127.0.0.4:70000"), "listen: "},
      {with("127.2.0.1:8500", "127.2.0.1"), "discovery: "},
      {with(R"({"address":"127.2.0.2:6400"})", "{}"), "relay: 'address' is missing"},
      {with("127.2.0.2:6400", "127.0.0.4:3000"), "relay.address: is the supervisor's own address"},
      {with("8c1f30d27a5be964", "seed"), "seed: "},
      {with("\"sockets\":1024", "\"sockets\":3"), "limits: 'sockets' is out of range"},
      {with(R"("shards":12)", R"("shards":0)"), "settings.extra.shards"},
      {with(R"("classes":[{"name":"lookup",)", R"("classes":[{)"), "settings.classes: 'name' is missing"},
      {with("\"lookup\"", "\"look up\""), "settings.classes: 'look up' cannot stand"},
      {with(R"(["a","b"])", R"(["a","a"])"), "settings.zones: 'a' is there twice"},
      {with(R"(["a","b"])", R"("a")"), "settings: 'zones' is not an array"},
      {with(R"("az":"b")", R"("az":"c")"), "'az' is no zone of the settings"},
      {with("SERVING", "FINE"), "'state' has an unknown value"},
  };
  for (const auto& [text, complaint] : cases) {
    try {
      read(text);
      ADD_FAILURE() << "taken: " << text;
    } catch (const ParseError& e) {
      EXPECT_NE(std::string(e.what()).find(complaint), std::string::npos) << complaint << " <- " << e.what();
    }
  }
}

TEST(Config, AllThatIsWrongIsNamedAtOnce) {
  std::string text = with("127.0.0.4:3000", "here");
  text.replace(text.find("127.2.0.2:6400"), 14, "there");
  text.replace(text.find("SERVING"), 7, "FINE");
  try {
    read(text);
    ADD_FAILURE();
  } catch (const ParseError& e) {
    for (const char* field : {"listen: 'here'", "\nrelay.address: 'there'", "\nknown: targets: 'state'"})
      EXPECT_NE(std::string(e.what()).find(field), std::string::npos) << e.what();
  }
}

// Property: whatever the file holds, it is taken or complained of; nothing else.
TEST(Config, RandomChangesNeverDoMoreThanComplain) {
  std::mt19937 random(3);
  int taken = 0, refused = 0;
  for (int round = 0; round < 5000; ++round) {
    std::string text = kGood;
    for (unsigned k = random() % 3; k > 0; --k)
      text[random() % text.size()] = static_cast<char>(random() % 256);
    try {
      read(text);
      ++taken;
    } catch (const ParseError&) {
      ++refused;
    }
  }
  EXPECT_GT(taken, 500);
  EXPECT_GT(refused, 500);
}

TEST(Config, AFileThatIsNotThereIsSaid) {
  try {
    load("/nowhere/config.json", processEnvironment);
    ADD_FAILURE();
  } catch (const ParseError& e) {
    EXPECT_STREQ(e.what(), "NODE_CONFIG: cannot read '/nowhere/config.json'");
  }
}

}  // namespace
}  // namespace peargrade::config
